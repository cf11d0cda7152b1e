package entry

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/internal/claims"
	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/jobs"
	"github.com/coltsfootdrift/coltsfootdrift/internal/metrics"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
)

// state provides claims and durable work to an instance with a store.
var state = fx.Options(
	fx.Provide(newDirectory, newClaims, newJobs, provideState),
	fx.Invoke(runState),
)

// directory knows the other instances from the platform's list. The list lags,
// but all instances see the same one, so that they agree on the appenders.
type directory struct {
	entry         settings.Entry
	configuration ConfigurationSource

	mu     sync.RWMutex
	listed map[string]platform.Member
}

func newDirectory(entry settings.Entry, configuration ConfigurationSource, feed *ListFeed) *directory {
	d := &directory{entry: entry, configuration: configuration}
	feed.Observe(d.update)
	return d
}

func (d *directory) update(members []platform.Member) {
	listed := map[string]platform.Member{}
	for _, member := range members {
		if member.Role == platform.RoleEntry {
			listed[member.ID] = member
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = listed
}

// Appenders implements claims.Directory, in no particular order. A deployment
// without a store region uses all instances.
func (d *directory) Appenders() []string {
	region := ""
	if set := d.configuration.Current(); set != nil {
		region = set.Deployment.StoreRegion
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	var appenders []string
	for id, member := range d.listed {
		if member.State == platform.StateLive && (region == "" || member.Region == region) {
			appenders = append(appenders, id)
		}
	}
	return appenders
}

// Address implements claims.Directory.
func (d *directory) Address(instance string) (string, bool) {
	if instance == d.entry.Instance {
		return d.entry.PeerAddress, true
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	member, ok := d.listed[instance]
	return member.Address, ok
}

func newClaims(entry settings.Entry, access *StoreAccess, d *directory, client *peer.Client, m *metrics.Metrics, logger *slog.Logger) *claims.Claims {
	if access.Store == nil {
		return nil
	}
	peers := claims.Peers{Client: client, Directory: d}
	return claims.New(claims.Config{
		Instance: entry.Instance, Store: access.Store, Forwarder: peers, Awaiter: peers,
		BootTime: clock.Boot{}.Now, WallTime: time.Now, Scope: m.Scope, Log: logger,
		WriteInterval: claims.WriteInterval, RecordRetryInterval: claims.RecordRetryInterval,
	})
}

// jobService is what newJobs combines.
type jobService struct {
	fx.In
	Entry         settings.Entry
	Access        *StoreAccess
	Members       *Members
	Client        *peer.Client
	Configuration ConfigurationSource
	Executor      *Executor
	Admission     Admission
	Metrics       *metrics.Metrics
	Logger        *slog.Logger
}

func newJobs(s jobService) *jobs.Jobs {
	if s.Access.Store == nil {
		return nil
	}
	return jobs.New(jobs.Config{
		Instance: s.Entry.Instance, Store: s.Access.Store, Members: jobPeers{s.Members, s.Client},
		Runner:   JobRunner{Configuration: s.Configuration, Executor: s.Executor, Admission: s.Admission, Now: time.Now},
		BootTime: clock.Boot{}.Now, WallTime: time.Now, Scope: s.Metrics.Scope, Log: s.Logger,
	})
}

// provideState returns nil interfaces for an instance without a store, which
// then refuses at-most-once and durable requests.
func provideState(c *claims.Claims, j *jobs.Jobs) (Claims, Jobs) {
	if c == nil || j == nil {
		return nil, nil
	}
	granted := StoreClaims{c}
	return granted, StoreJobs{Jobs: j, Claims: granted}
}

// jobPeers offers the jobs of an instance that stops to the other members of its
// failure domain.
type jobPeers struct {
	members *Members
	client  *peer.Client
}

// FailureDomainInstances implements jobs.Members.
func (p jobPeers) FailureDomainInstances() []string { return p.members.Live() }

// JobsReleased implements jobs.Members. The members get the jobs in turn.
func (p jobPeers) JobsReleased(ctx context.Context, ids []string) {
	addresses := p.members.others()
	if len(addresses) == 0 {
		return
	}
	for i, id := range ids {
		// A job that is not taken is found by a scan.
		_, _ = p.client.HandOverJob(ctx, addresses[i%len(addresses)], []byte(id))
	}
}

// stateService is what runState starts and stops.
type stateService struct {
	fx.In
	Claims *claims.Claims
	Jobs   *jobs.Jobs
	Server *peer.Server
	Steps  *StopSteps
}

// runState serves claims and jobs to the other instances and runs durable work.
func runState(lc fx.Lifecycle, s stateService) {
	if s.Claims == nil || s.Jobs == nil {
		return
	}
	s.Server.HandleClaims(s.Claims)
	s.Server.HandleJobs(s.Jobs)
	s.Steps.Add(StopStep{StopJobs, "jobs", func(ctx context.Context) error {
		s.Jobs.Close(ctx)
		return nil
	}})
	s.Steps.Add(StopStep{StopClaims, "claims", func(ctx context.Context) error {
		if left := s.Claims.WaitRecorded(ctx); left > 0 {
			return fmt.Errorf("%d ends of claims are not recorded", left)
		}
		return nil
	}})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() { s.Jobs.Serve(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return nil
		},
	})
}
