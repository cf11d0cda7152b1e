package entry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

// Servers holds the backend servers by pool and chooses among them. It implements
// Picker, HedgePolicy and StageBudgets.
type Servers struct {
	instance string
	location routing.Location
	link     *linkBudget
	logger   *slog.Logger
	now      func() time.Time

	mu    sync.RWMutex
	pools map[string]*serverPool
}

// NewServers returns the backend servers as seen by an instance. They are empty
// until the first call of Update. minLinkInstances is the least number of instances
// among which the link between regions is divided.
func NewServers(instance string, location routing.Location, minLinkInstances int, logger *slog.Logger, now func() time.Time) *Servers {
	return &Servers{
		instance: instance, location: location, logger: logger, now: now,
		link: newLinkBudget(minLinkInstances), pools: map[string]*serverPool{},
	}
}

// serverPool is the routing state of one pool. mu guards all fields.
type serverPool struct {
	mu     sync.Mutex
	pool   *routing.Pool
	hedger *routing.Hedger
	random *rand.Rand
	// servers holds the servers by their index in pool.
	servers map[routing.ServerIndex]backend.Server
}

// Update replaces the servers by those of the instance list. set has the slots of
// the pools and the capacity of the link; it is nil when there is no configuration
// yet.
func (s *Servers) Update(members []platform.Member, set *pipeline.Set) {
	byPool := map[string][]backend.Server{}
	var instances []routing.Instance
	for _, member := range members {
		switch {
		case member.State != platform.StateLive:
		case member.Role == platform.RoleBackend:
			byPool[member.Pool] = append(byPool[member.Pool], backendServer(member))
		case member.Region == s.location.Region:
			instances = append(instances, routing.Instance{ID: member.ID, FailureDomain: member.FailureDomain})
		}
	}
	s.mu.Lock()
	for name := range byPool {
		if s.pools[name] == nil {
			s.pools[name] = s.newPool()
		}
	}
	for name, p := range s.pools {
		p.setInstances(s.instance, instances)
		p.update(byPool[name], slotsOf(set, name), s.now())
	}
	s.mu.Unlock()
	s.link.update(set, len(instances))
}

func (s *Servers) newPool() *serverPool {
	pool := routing.NewPool(s.location)
	return &serverPool{
		pool:    pool,
		hedger:  routing.NewHedger(pool),
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		servers: map[routing.ServerIndex]backend.Server{},
	}
}

func slotsOf(set *pipeline.Set, pool string) int {
	if set == nil {
		return 1
	}
	configured, _ := set.Pool(pool)
	return max(1, configured.Slots)
}

func backendServer(member platform.Member) backend.Server {
	return backend.Server{
		ID:            member.ID,
		Address:       member.Address,
		Pool:          member.Pool,
		Region:        member.Region,
		FailureDomain: member.FailureDomain,
		Incarnation:   member.Incarnation,
	}
}

// setInstances sets the instances of the region, among which the next update divides
// the slots of the servers.
func (p *serverPool) setInstances(instance string, instances []routing.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.SetInstances(instance, instances)
}

func (p *serverPool) update(servers []backend.Server, slots int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make([]routing.Server, len(servers))
	for i, s := range servers {
		listed[i] = routing.Server{
			ID: s.ID, Region: s.Region, FailureDomain: s.FailureDomain, Slots: slots, Incarnation: s.Incarnation,
		}
	}
	p.pool.SetServers(listed, now)
	clear(p.servers)
	for _, s := range servers {
		if index, ok := p.pool.Index(s.ID); ok {
			p.servers[index] = s
		}
	}
}

func (s *Servers) findPool(pool string) *serverPool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools[pool]
}

// Pick implements Picker.
func (s *Servers) Pick(query Query) (PickedServer, bool) {
	p := s.findPool(query.Pool)
	if p == nil {
		return nil, false
	}
	now := s.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.routingQuery(query)
	q.AllowRemote = s.link.hasCapacity(query.LinkBytes, now)
	index, ok := p.pool.Pick(now, p.random, q)
	if !ok {
		return nil, false
	}
	call := &inFlightCall{servers: s, pool: p, index: index, server: p.servers[index], query: query, started: now}
	if !p.pool.Local(index) && !s.link.reserve(query.LinkBytes, now) {
		return nil, false
	}
	call.remote = !p.pool.Local(index)
	p.pool.Started(index, query.Class, now)
	return call, true
}

func (p *serverPool) routingQuery(query Query) routing.Query {
	q := routing.Query{Class: query.Class, AllowProbe: query.Idempotent, PreferRemote: query.CrossRegion, Remaining: query.Remaining}
	if query.PrefixKey != "" {
		q.Prefix = xxhash.Sum64String(query.PrefixKey)
	}
	for _, id := range query.Excluded {
		if index, ok := p.pool.Index(id); ok {
			q.Excluded = append(q.Excluded, index)
		}
	}
	return q
}

// inFlightCall implements PickedServer: a call in flight at a server of a pool.
type inFlightCall struct {
	servers *Servers
	pool    *serverPool
	index   routing.ServerIndex
	server  backend.Server
	query   Query
	started time.Time
	// remote is true for a server in another region.
	remote bool
}

func (c *inFlightCall) Server() backend.Server { return c.server }

func (c *inFlightCall) FirstByte() {
	took := c.servers.now().Sub(c.started)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.pool.FirstByte(c.index, c.query.Class, took)
}

func (c *inFlightCall) Done(err error, bytes int64) {
	now := c.servers.now()
	if c.remote {
		c.servers.link.settle(c.query, bytes)
	}
	c.pool.mu.Lock()
	result := routing.Result{Outcome: callOutcome(err), Latency: now.Sub(c.started)}
	c.pool.pool.Finished(c.index, c.query.Class, result, now)
	drained := errors.Is(err, backend.ErrDraining) && c.pool.pool.Drain(c.server.ID)
	c.pool.mu.Unlock()
	if drained {
		events.ServerDraining.Log(context.Background(), c.servers.logger,
			slog.String("server", c.server.ID), slog.String("pool", c.server.Pool))
	}
}

// callOutcome converts the error of a call to the outcome that routing counts for
// the server.
func callOutcome(err error) routing.Outcome {
	switch {
	case err == nil:
		return routing.Answered
	case errors.Is(err, context.Canceled):
		return routing.Abandoned
	case errors.Is(err, errClaimExpired), errors.Is(err, errCallerDisconnected):
		return routing.Refused
	case errors.Is(err, backend.ErrNotSent) && !errors.Is(err, context.DeadlineExceeded):
		return routing.Unreachable
	case backend.DefinitelyNotRun(err):
		return routing.Refused
	default:
		return routing.Failed
	}
}
