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

// claimsAndJobsOptions provides claims and jobs to an instance with a store.
var claimsAndJobsOptions = fx.Options(
	fx.Provide(newDirectory, newClaims, newJobs, newClaimsAndJobs),
	fx.Invoke(runClaimsAndJobs),
)

// instanceDirectory implements claims.Directory with the platform's instance list.
// The list lags, but all instances read the same one, so that they agree on the
// appenders.
type instanceDirectory struct {
	entry         settings.Entry
	configuration ConfigurationSource

	mu     sync.RWMutex
	listed map[string]platform.Member
}

func newDirectory(entry settings.Entry, configuration ConfigurationSource, poller *InstanceListPoller) *instanceDirectory {
	d := &instanceDirectory{entry: entry, configuration: configuration}
	poller.Observe(d.update)
	return d
}

func (d *instanceDirectory) update(members []platform.Member) {
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

// Appenders implements claims.Directory. The IDs are in no particular order. In a
// deployment without a store region all live instances are appenders.
func (d *instanceDirectory) Appenders() []string {
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
func (d *instanceDirectory) Address(instance string) (string, bool) {
	if instance == d.entry.Instance {
		return d.entry.PeerAddress, true
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	member, ok := d.listed[instance]
	return member.Address, ok
}

func newClaims(entry settings.Entry, access *StoreAccess, d *instanceDirectory, client *peer.Client, m *metrics.Metrics, logger *slog.Logger) *claims.Claims {
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

// jobsParams are the dependencies of newJobs.
type jobsParams struct {
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

func newJobs(p jobsParams) *jobs.Jobs {
	if p.Access.Store == nil {
		return nil
	}
	return jobs.New(jobs.Config{
		Instance: p.Entry.Instance, Store: p.Access.Store, Members: jobPeers{p.Members, p.Client},
		Runner:   JobRunner{Configuration: p.Configuration, Executor: p.Executor, Admission: p.Admission, Now: time.Now},
		BootTime: clock.Boot{}.Now, WallTime: time.Now, Scope: p.Metrics.Scope, Log: p.Logger,
	})
}

// newClaimsAndJobs returns nil interfaces for an instance without a store, which
// then refuses at-most-once and durable requests.
func newClaimsAndJobs(c *claims.Claims, j *jobs.Jobs) (Claims, Jobs) {
	if c == nil || j == nil {
		return nil, nil
	}
	storeClaims := StoreClaims{c}
	return storeClaims, StoreJobs{Jobs: j, Claims: storeClaims}
}

// jobPeers implements jobs.Members. It offers the jobs of an instance that stops to
// the other members of its failure domain.
type jobPeers struct {
	members *Members
	client  *peer.Client
}

// FailureDomainInstances implements jobs.Members.
func (p jobPeers) FailureDomainInstances() []string { return p.members.Live() }

// OfferJobs implements jobs.Members. It distributes the jobs among the other
// members in turn (round robin).
func (p jobPeers) OfferJobs(ctx context.Context, ids []string) {
	addresses := p.members.peerAddresses()
	if len(addresses) == 0 {
		return
	}
	for i, id := range ids {
		// A job whose hand-over fails is found by a later scan of the store.
		_, _ = p.client.HandOverJob(ctx, addresses[i%len(addresses)], []byte(id))
	}
}

// claimsAndJobsParams are the dependencies of runClaimsAndJobs.
type claimsAndJobsParams struct {
	fx.In
	Claims *claims.Claims
	Jobs   *jobs.Jobs
	Server *peer.Server
	Steps  *StopSteps
}

// runClaimsAndJobs serves claims and jobs to the other instances and runs jobs.
func runClaimsAndJobs(lc fx.Lifecycle, p claimsAndJobsParams) {
	if p.Claims == nil || p.Jobs == nil {
		return
	}
	p.Server.HandleClaims(p.Claims)
	p.Server.HandleJobs(p.Jobs)
	p.Steps.Add(StopStep{StopJobs, "jobs", func(ctx context.Context) error {
		p.Jobs.Close(ctx)
		return nil
	}})
	p.Steps.Add(StopStep{StopClaims, "claims", func(ctx context.Context) error {
		if left := p.Claims.WaitRecorded(ctx); left > 0 {
			return fmt.Errorf("the outcomes of %d claims are not recorded", left)
		}
		return nil
	}})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() { p.Jobs.Serve(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return nil
		},
	})
}
