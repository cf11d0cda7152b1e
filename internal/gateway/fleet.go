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

// connectionLimitShare is the share of a server's connection limit that all instances
// together use, so that they stay below the limit while they disagree on the number of
// instances.
const connectionLimitShare = 0.8

// minServerConnections is the lowest limit of connections from one instance to one
// server.
const minServerConnections = 2

// Fleet holds the backend servers of the current view, and for their services the server
// pools, the schedulers of model servers and the retry budgets of this instance.
type Fleet struct {
	settings  settings.Gateway
	instances func() int

	mu               sync.Mutex
	random           *rand.Rand
	pools            map[string]*routing.Pool
	engineSchedulers map[string]*engine.Scheduler
	servers          map[string]upstream.Server
	budgets          map[string]*routing.RetryBudget
}

// NewFleet returns a fleet without servers.
func NewFleet(s settings.Gateway, cluster *Cluster) *Fleet {
	return &Fleet{
		settings: s, instances: cluster.InstanceCount,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pools:  map[string]*routing.Pool{}, engineSchedulers: map[string]*engine.Scheduler{},
		servers: map[string]upstream.Server{}, budgets: map[string]*routing.RetryBudget{},
	}
}

// Update replaces the servers by those of a new view.
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
			f.updateEngineScheduler(service, v.Servers[service.Name])
		default:
			f.updatePool(service.Name, v.Servers[service.Name])
		}
	}
}

func connectionLimit(service *route.Service, instances int) int {
	if service.MaxConnections == 0 {
		return 0
	}
	return max(minServerConnections, int(connectionLimitShare*float64(service.MaxConnections))/instances)
}

func (f *Fleet) updateEngineScheduler(service *route.Service, listed []view.Server) {
	scheduler := f.engineSchedulers[service.Name]
	if scheduler == nil {
		scheduler = engine.NewScheduler(f.settings.Region)
		f.engineSchedulers[service.Name] = scheduler
	}
	servers := make([]engine.Server, len(listed))
	for i, s := range listed {
		servers[i] = engine.Server{ID: s.ID, Region: f.settings.Regions[s.FailureDomain], FailureDomain: s.FailureDomain, Incarnation: s.Incarnation,
			CacheTokens: service.Engine.CacheTokens, CopyRate: service.Engine.CopyRate()}
	}
	scheduler.SetServers(servers)
}

func (f *Fleet) updatePool(service string, listed []view.Server) {
	pool := f.pools[service]
	if pool == nil {
		pool = routing.NewPool(routing.Location{Region: f.settings.Region, FailureDomain: f.settings.FailureDomain})
		f.pools[service] = pool
	}
	servers := make([]routing.Server, len(listed))
	for i, s := range listed {
		servers[i] = routing.Server{ID: s.ID, Region: f.settings.Regions[s.FailureDomain], FailureDomain: s.FailureDomain, Slots: s.Slots, Incarnation: s.Incarnation}
	}
	pool.SetServers(servers, time.Now())
}

// Server returns the address and connection limit of a server, and false when it is
// not in use.
func (f *Fleet) Server(id string) (upstream.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[id]
	return s, ok
}

// InRegion reports whether a failure domain is in this instance's region.
func (f *Fleet) InRegion(domain string) bool {
	return f.settings.Regions[domain] == f.settings.Region
}

// InUse reports whether the current view lists a server.
func (f *Fleet) InUse(id string) bool {
	_, ok := f.Server(id)
	return ok
}

// WithPool calls use with the pool of a plain service while it holds the lock. It
// returns false when there is no such pool.
func (f *Fleet) WithPool(service string, use func(*routing.Pool, *rand.Rand)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	pool := f.pools[service]
	if pool == nil {
		return false
	}
	use(pool, f.random)
	return true
}

// WithEngineScheduler calls use with the scheduler of the model servers of a service
// while it holds the lock. It returns false when there is no such scheduler.
func (f *Fleet) WithEngineScheduler(service string, use func(*engine.Scheduler)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	scheduler := f.engineSchedulers[service]
	if scheduler == nil {
		return false
	}
	use(scheduler)
	return true
}

// EngineServices returns the names of the services of model servers.
func (f *Fleet) EngineServices() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.engineSchedulers))
}

const (
	// retryRatioShare and retrySlackShare are the shares of the common retry budget that
	// the instances use. The rest covers retries by clients and changes in the number of
	// instances.
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

// AllowRetry takes one retry from the budget of a service. It returns false when the
// budget is used up.
func (f *Fleet) AllowRetry(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(service).Allow(time.Now())
}

// RandomFloat64 returns a random number in [0, 1).
func (f *Fleet) RandomFloat64() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

// newPlainQuery returns the query that picks a server for a plain request.
func newPlainQuery(remaining time.Duration, excluded []routing.ServerIndex) routing.Query {
	return routing.Query{Class: pipeline.ClassInteractive, AllowRemote: true, Remaining: remaining, Excluded: excluded}
}
