package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
	"github.com/coltsfootdrift/coltsfootdrift/ratelimit"
)

const (
	// permitTimeout bounds the call that asks for a permit.
	permitTimeout = 150 * time.Millisecond
	// maxPermitOwners is how many instances are asked for one permit when they don't answer.
	maxPermitOwners = 2
	// unreachableWait is how long a server with a limit gets no requests from this instance
	// after nobody could be asked for a permit.
	unreachableWait = 500 * time.Millisecond
)

// errServerLimited reports a request that was not sent because no permit was left under the
// limit that the server has named.
var errServerLimited = errors.New("limit of the server is used up")

// Permits keeps the limits that servers name for the requests of all instances together. Each
// request to such a server needs a permit. One instance gives them out, in the server's
// region: the one that also schedules the calls to the servers of a stage service or places
// the prompts of a service of model servers.
type Permits struct {
	settings   settings.Gateway
	cluster    *Cluster
	peerClient *peer.Client
	views      *view.Sync
	logger     *slog.Logger

	granted, denied, unreachable, malformed tally.Counter
	limited, cold                           tally.Gauge

	mu    sync.Mutex
	table *ratelimit.Table
	// allocators hold the permits that this instance gives out, by service.
	allocators map[string]*ratelimit.Allocator
	// askAgain holds, by the ID of a server, when this instance may next ask for a permit under
	// the limit that it knows.
	askAgain map[string]time.Time
	// evacuated holds the failure domains that the latest view evacuates.
	evacuated []string
	// malformedLogged holds, by the ID of a server, when a malformed limit was last logged.
	malformedLogged map[string]time.Time
}

// NewPermits returns the permits of an instance that knows no limits.
func NewPermits(s settings.Gateway, cluster *Cluster, peerClient *peer.Client, views *view.Sync, logger *slog.Logger, scope tally.Scope) *Permits {
	p := &Permits{
		settings: s, cluster: cluster, peerClient: peerClient, views: views, logger: logger,
		granted: scope.Counter("limit_permits_granted"), denied: scope.Counter("limit_permits_denied"),
		unreachable: scope.Counter("limit_permit_calls_failed"), malformed: scope.Counter("server_limits_malformed"),
		limited: scope.Gauge("limited_servers"), cold: scope.Gauge("cold_servers"),
		table: ratelimit.NewTable(), allocators: map[string]*ratelimit.Allocator{}, askAgain: map[string]time.Time{}, malformedLogged: map[string]time.Time{},
	}
	cluster.node.Observe(func(output membership.Output) {
		if received, ok := output.(membership.ServerLimitsReceived); ok {
			p.receive(received)
		}
	})
	return p
}

// Acquire takes a permit for one request to a server, which must be sent at once. It returns
// errServerLimited when there is none, and nil for a server without a limit.
func (p *Permits) Acquire(ctx context.Context, server string) error {
	listed, ok := p.views.Current().ByID(server)
	if !ok || !p.Limited(server) {
		return nil
	}
	if wait := p.waitToAsk(server); wait > 0 {
		return fmt.Errorf("%w for %v", errServerLimited, wait)
	}
	known := p.entry(listed)
	reply := p.ask(ctx, listed, known)
	if reply.granted {
		p.granted.Inc(1)
		return nil
	}
	p.denied.Inc(1)
	if !p.allocates(listed) && p.entry(listed) == known {
		p.postponeAsking(server, reply.wait)
	}
	return fmt.Errorf("%w for %v", errServerLimited, reply.wait)
}

func (p *Permits) postponeAsking(server string, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.askAgain[server] = time.Now().Add(wait)
}

// allocates reports whether this instance gives out the permits for a server.
func (p *Permits) allocates(server view.Server) bool {
	return p.inRegion(server) && p.cluster.Owner(p.ownerKey(server.Service)) == ""
}

// Limited reports whether requests to a server need permits.
func (p *Permits) Limited(server string) bool {
	_, limited := p.LimitOf(server)
	return limited
}

func (p *Permits) waitToAsk(server string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, time.Until(p.askAgain[server]))
}

// Wait returns how long this instance gets no permit for a server, as far as it knows; 0 when
// it may ask for one.
func (p *Permits) Wait(server string) time.Duration {
	listed, ok := p.views.Current().ByID(server)
	if !ok || !p.Limited(server) {
		return 0
	}
	if p.allocates(listed) {
		return p.allocatorWait(listed)
	}
	return p.waitToAsk(server)
}

// shortestWait returns the time until this instance may ask for a permit for the first of some
// servers.
func (p *Permits) shortestWait(servers []string) time.Duration {
	shortest := time.Duration(0)
	for i, id := range servers {
		if wait := p.Wait(id); i == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// allocatorWait returns how long this instance has no permit to give out for a server.
func (p *Permits) allocatorWait(server view.Server) time.Duration {
	share := p.cluster.LiveShare()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	rate, limited := p.table.Limit(now, server.ID)
	if !limited {
		return 0
	}
	allocator := p.allocator(server.Service)
	allocator.SetOwner(now, true)
	return p.table.BoundWait(now, server.ID, allocator.Wait(now, server.ID, rate, share))
}

// LimitedServers returns the IDs of the servers of a service that need permits.
func (p *Permits) LimitedServers(service string) (ids []string) {
	p.mu.Lock()
	limited := p.table.Limited(time.Now())
	p.mu.Unlock()
	for _, id := range limited {
		if server, ok := p.views.Current().ByID(id); ok && server.Service == service {
			ids = append(ids, id)
		}
	}
	return ids
}

// Unavailable returns the IDs of the servers of a service for which Wait is above 0.
func (p *Permits) Unavailable(service string) []string {
	return slices.DeleteFunc(p.LimitedServers(service), func(id string) bool { return p.Wait(id) == 0 })
}

func (p *Permits) inRegion(server view.Server) bool {
	return p.settings.Regions[server.FailureDomain] == p.settings.Region
}

// ownerKey returns the key whose owner gives out the permits for the servers of a service.
func (p *Permits) ownerKey(service string) string {
	if current := p.views.Current(); current != nil && current.Table != nil {
		if configured := current.Table.Service(service); configured != nil && configured.Engine != nil {
			return placementKey(service)
		}
	}
	return service
}

// allocator returns the allocator of a service. It is called with the lock held.
func (p *Permits) allocator(service string) *ratelimit.Allocator {
	a := p.allocators[service]
	if a == nil {
		a = ratelimit.NewAllocator()
		p.allocators[service] = a
	}
	return a
}

// permitReply is the answer to a request for a permit.
type permitReply struct {
	granted bool
	// wait is the time after which to ask again; 0 when a permit was granted.
	wait time.Duration
}

// ask asks the instance that gives out the permits for a server, whose limit is known here.
func (p *Permits) ask(ctx context.Context, server view.Server, known membership.ServerLimit) permitReply {
	request := &peerpb.AcquirePermitRequest{Service: server.Service, Limit: peer.EncodeServerLimit(known), ColdMs: p.coldRemaining(server.ID).Milliseconds()}
	if !p.inRegion(server) {
		if contact := p.cluster.RegionContacts()[p.settings.Regions[server.FailureDomain]]; contact != "" {
			request.FromOtherRegion = true
			reply, _ := p.call(ctx, contact, request) // without an answer, the reply says when to ask again
			return reply
		}
		request.CutOff = true
	}
	for range maxPermitOwners {
		address := p.cluster.Owner(p.ownerKey(server.Service))
		if address == "" {
			return p.grant(request)
		}
		reply, err := p.call(ctx, address, request)
		if err == nil || ctx.Err() != nil {
			return reply
		}
		p.cluster.Avoid(address)
	}
	return permitReply{wait: unreachableWait}
}

// entry returns the limit that a server has named, without a rate if it has named none.
func (p *Permits) entry(server view.Server) membership.ServerLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, named := p.table.Entry(server.ID)
	if !named {
		e.Server, e.Incarnation = server.ID, server.Incarnation
	}
	return membership.ServerLimit{Entry: e}
}

// call asks the instance at an address.
func (p *Permits) call(ctx context.Context, address string, request *peerpb.AcquirePermitRequest) (permitReply, error) {
	bounded, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	response, err := p.peerClient.AcquirePermit(bounded, address, request)
	if err == nil {
		return permitReply{granted: response.Granted, wait: time.Duration(response.WaitMs) * time.Millisecond}, nil
	}
	if ctx.Err() == nil {
		p.unreachable.Inc(1)
		events.PermitOwnerFailed.Log(ctx, p.logger, slog.String("server", request.Limit.Server), slog.String("address", address), slog.Any("error", err))
	}
	return permitReply{wait: unreachableWait}, err
}

// AcquirePermit implements peer.PermitHandler. An instance that does not give out the permits
// of the service forwards a request of another region to the one that does. One without a
// configuration does not know which that is, and returns peer.ErrUnsupported.
func (p *Permits) AcquirePermit(ctx context.Context, request *peerpb.AcquirePermitRequest) (*peerpb.AcquirePermitResponse, error) {
	current := p.views.Current()
	if current == nil || current.Table == nil {
		return nil, peer.ErrUnsupported
	}
	p.receive(membership.ServerLimitsReceived{Limits: []membership.ServerLimit{peer.DecodeServerLimit(request.Limit)}, Local: true})
	p.receiveCold(current.Table, request)
	address := p.cluster.Owner(p.ownerKey(request.Service))
	if address == "" || !p.toForward(request) {
		reply := p.grant(request)
		return &peerpb.AcquirePermitResponse{Granted: reply.granted, WaitMs: reply.wait.Milliseconds()}, nil
	}
	request.Forwarded = true
	return p.peerClient.AcquirePermit(ctx, address, request)
}

// toForward reports whether a request comes directly from another region.
func (p *Permits) toForward(request *peerpb.AcquirePermitRequest) bool {
	return request.FromOtherRegion && !request.Forwarded
}

// grant takes a permit from this instance.
func (p *Permits) grant(request *peerpb.AcquirePermitRequest) permitReply {
	owner := p.cluster.Owner(p.ownerKey(request.Service)) == ""
	share := p.cluster.LiveShare()
	if request.CutOff {
		share *= ratelimit.CutOffShare / float64(max(1, p.otherRegions()))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	rate, limited := p.table.Limit(now, request.Limit.GetServer())
	if !limited {
		return permitReply{granted: true}
	}
	allocator := p.allocator(request.Service)
	allocator.SetOwner(now, owner)
	wait, granted := allocator.Take(now, request.Limit.GetServer(), rate, share)
	return permitReply{granted: granted, wait: p.table.BoundWait(now, request.Limit.GetServer(), wait)}
}

// otherRegions returns the number of regions beside the server's that may use its limit.
func (p *Permits) otherRegions() int {
	regions := map[string]bool{}
	for _, region := range p.settings.Regions {
		regions[region] = true
	}
	return len(regions) - 1
}
