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

// Servers holds the backend servers by pool and chooses among them. It is the
// Picker, the Hedges and the StageBudgets of the request path.
type Servers struct {
	instance string
	location routing.Location
	link     *linkBudget
	logger   *slog.Logger
	now      func() time.Time

	mu    sync.RWMutex
	pools map[string]*serverPool
}

// NewServers returns an instance's view of the backend servers.
func NewServers(instance string, location routing.Location, linkSharers int, logger *slog.Logger, now func() time.Time) *Servers {
	return &Servers{
		instance: instance, location: location, logger: logger, now: now,
		link: newLinkBudget(linkSharers), pools: map[string]*serverPool{},
	}
}

// serverPool is one pool with its lock.
type serverPool struct {
	mu     sync.Mutex
	pool   *routing.Pool
	hedger *routing.Hedger
	random *rand.Rand
	// servers holds what a call needs to know, by index.
	servers map[routing.ServerIndex]backend.Server
}

// Update replaces the servers by those of the instance list. set gives the
// slots of the pools and the capacity of the link; nil when there is none yet.
func (s *Servers) Update(members []platform.Member, set *pipeline.Set) {
	byPool := map[string][]backend.Server{}
	var instances []routing.Instance
	for _, member := range members {
		switch {
		case member.State != platform.StateLive:
		case member.Role == platform.RoleBackend:
			byPool[member.Pool] = append(byPool[member.Pool], server(member))
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
		p.divide(s.instance, instances)
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

func server(member platform.Member) backend.Server {
	return backend.Server{
		ID:            member.ID,
		Address:       member.Address,
		Pool:          member.Pool,
		Region:        member.Region,
		FailureDomain: member.FailureDomain,
		Incarnation:   member.Incarnation,
	}
}

func (p *serverPool) divide(instance string, instances []routing.Instance) {
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
	p.pool.Update(listed, now)
	clear(p.servers)
	for _, s := range servers {
		if index, ok := p.pool.Index(s.ID); ok {
			p.servers[index] = s
		}
	}
}

func (s *Servers) find(pool string) *serverPool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools[pool]
}

// Pick chooses a server and counts a call in flight there.
func (s *Servers) Pick(query Query) (Picked, bool) {
	p := s.find(query.Pool)
	if p == nil {
		return nil, false
	}
	now := s.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.query(query)
	q.AllowRemote = s.link.room(query.LinkBytes, now)
	index, ok := p.pool.Pick(now, p.random, q)
	if !ok {
		return nil, false
	}
	picked := &pickedServer{servers: s, pool: p, index: index, server: p.servers[index], query: query, started: now}
	if !p.pool.Local(index) && !s.link.reserve(query.LinkBytes, now) {
		return nil, false
	}
	picked.remote = !p.pool.Local(index)
	p.pool.Started(index, query.Class, now)
	return picked, true
}

func (p *serverPool) query(query Query) routing.Query {
	q := routing.Query{Class: query.Class, AllowProbe: query.Idempotent, PreferRemote: query.Leave, Remaining: query.Remaining}
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

// pickedServer is a call in flight at a server of a pool.
type pickedServer struct {
	servers *Servers
	pool    *serverPool
	index   routing.ServerIndex
	server  backend.Server
	query   Query
	started time.Time
	remote  bool
}

func (c *pickedServer) Server() backend.Server { return c.server }

func (c *pickedServer) FirstByte() {
	took := c.servers.now().Sub(c.started)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.pool.FirstByte(c.index, c.query.Class, took)
}

func (c *pickedServer) Done(err error, bytes int64) {
	now := c.servers.now()
	if c.remote {
		c.servers.link.settle(c.query, bytes)
	}
	c.pool.mu.Lock()
	result := routing.Result{Outcome: outcomeOf(err), Latency: now.Sub(c.started)}
	c.pool.pool.Finished(c.index, c.query.Class, result, now)
	drained := errors.Is(err, backend.ErrDraining) && c.pool.pool.Drain(c.server.ID)
	c.pool.mu.Unlock()
	if drained {
		events.ServerDraining.Log(context.Background(), c.servers.logger,
			slog.String("server", c.server.ID), slog.String("pool", c.server.Pool))
	}
}

// outcomeOf says what the end of a call tells about the server.
func outcomeOf(err error) routing.Outcome {
	switch {
	case err == nil:
		return routing.Answered
	case errors.Is(err, context.Canceled):
		return routing.Abandoned
	case errors.Is(err, errClaimExpired), errors.Is(err, errCallerGone):
		return routing.Refused
	case errors.Is(err, backend.ErrNotSent) && !errors.Is(err, context.DeadlineExceeded):
		return routing.Unreachable
	case backend.DefinitelyNotRun(err):
		return routing.Refused
	default:
		return routing.Failed
	}
}
