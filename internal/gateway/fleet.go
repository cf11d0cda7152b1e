package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

// connectionShare is the part of a server's connections that all instances
// together may open, so that instances that disagree on their number stay below
// the limit.
const connectionShare = 0.8

// minConnections is the least number of connections to one server.
const minConnections = 2

// Fleet is the backend servers as this instance sees them.
type Fleet struct {
	settings  settings.Gateway
	instances func() int

	mu      sync.Mutex
	random  *rand.Rand
	plain   map[string]*routing.Pool
	engines map[string]*engine.Scheduler
	servers map[string]upstream.Server
	budgets map[string]*routing.RetryBudget
}

// NewFleet returns a fleet without servers.
func NewFleet(s settings.Gateway, cluster *Cluster) *Fleet {
	return &Fleet{
		settings: s, instances: cluster.Instances,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		plain:  map[string]*routing.Pool{}, engines: map[string]*engine.Scheduler{},
		servers: map[string]upstream.Server{}, budgets: map[string]*routing.RetryBudget{},
	}
}

// Update takes a new view.
func (f *Fleet) Update(v *view.View) {
	if v.Table == nil {
		return
	}
	instances := f.instances()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers = map[string]upstream.Server{}
	for i := range v.Table.Services {
		service := &v.Table.Services[i]
		for _, s := range v.Servers[service.Name] {
			f.servers[s.ID] = upstream.Server{ID: s.ID, Address: s.Address, MaxConnections: connectionLimit(service, instances)}
		}
		switch {
		case service.StageProfile != nil:
		case service.Engine != nil:
			f.updateEngines(service, v.Servers[service.Name])
		default:
			f.updatePlain(service.Name, v.Servers[service.Name])
		}
	}
}

func connectionLimit(service *route.Service, instances int) int {
	if service.MaxConnections == 0 {
		return 0
	}
	return max(minConnections, int(connectionShare*float64(service.MaxConnections))/instances)
}

func (f *Fleet) updateEngines(service *route.Service, listed []view.Server) {
	set := f.engines[service.Name]
	if set == nil {
		set = engine.NewScheduler(f.settings.Region)
		f.engines[service.Name] = set
	}
	servers := make([]engine.Server, len(listed))
	for i, s := range listed {
		servers[i] = engine.Server{ID: s.ID, Region: f.settings.Regions[s.FailureDomain], FailureDomain: s.FailureDomain, Incarnation: s.Incarnation,
			CacheTokens: service.Engine.CacheTokens, CopyRate: service.Engine.CopyRate()}
	}
	set.SetServers(servers)
}

func (f *Fleet) updatePlain(service string, listed []view.Server) {
	pool := f.plain[service]
	if pool == nil {
		pool = routing.NewPool(routing.Location{Region: f.settings.Region, FailureDomain: f.settings.FailureDomain})
		f.plain[service] = pool
	}
	servers := make([]routing.Server, len(listed))
	for i, s := range listed {
		servers[i] = routing.Server{ID: s.ID, Region: f.settings.Regions[s.FailureDomain], FailureDomain: s.FailureDomain, Slots: s.Slots, Incarnation: s.Incarnation}
	}
	pool.Update(servers, time.Now())
}

// Server returns where a server is reached, and false when it is not in use.
func (f *Fleet) Server(id string) (upstream.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[id]
	return s, ok
}

// Near reports whether a failure domain is in this instance's region.
func (f *Fleet) Near(domain string) bool {
	return f.settings.Regions[domain] == f.settings.Region
}

// InUse reports whether a server may get work.
func (f *Fleet) InUse(id string) bool {
	_, ok := f.Server(id)
	return ok
}

// Pool calls use with the pool of a plain service, or returns false when there is
// none.
func (f *Fleet) Pool(service string, use func(*routing.Pool, *rand.Rand)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	pool := f.plain[service]
	if pool == nil {
		return false
	}
	use(pool, f.random)
	return true
}

// Engines calls use with the model servers of a service, or returns false when
// there are none.
func (f *Fleet) Engines(service string, use func(*engine.Scheduler)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	set := f.engines[service]
	if set == nil {
		return false
	}
	use(set)
	return true
}

// EngineServices returns the names of the services of model servers.
func (f *Fleet) EngineServices() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.engines))
}

const (
	// retryRatioShare and retrySlackShare are the parts of the budget that all
	// instances share which are used, so that a client's own repeats and changes
	// in the number of instances stay within it.
	retryRatioShare = 0.5
	retrySlackShare = 0.4
)

// budget returns the retry budget of a service. It is called with the lock held.
func (f *Fleet) budget(service string) *routing.RetryBudget {
	b := f.budgets[service]
	if b == nil {
		share := retrySlackShare * f.settings.RetrySlack / float64(f.instances())
		b = routing.NewRetryBudget(routing.RetryBudgetConfig{
			Ratio:     retryRatioShare * f.settings.RetryRatio,
			PerSecond: share / f.settings.RetryWindowSeconds,
			Burst:     max(1, share),
		}, time.Now())
		f.budgets[service] = b
	}
	return b
}

// CountRequest counts a request for the retry budget of its service.
func (f *Fleet) CountRequest(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(service).Request(time.Now())
}

// AllowRetry takes one repeat from the budget of a service.
func (f *Fleet) AllowRetry(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(service).Allow(time.Now())
}

// Draw returns a random number in [0, 1).
func (f *Fleet) Draw() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

// plainQuery is the query of a plain request.
func plainQuery(remaining time.Duration, excluded []routing.ServerIndex) routing.Query {
	return routing.Query{Class: pipeline.ClassInteractive, Link: true, Remaining: remaining, Excluded: excluded}
}
