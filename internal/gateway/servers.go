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

// Servers holds the backend servers of the current view, and for their services the server
// pools, the schedulers of model servers and the retry budgets of this instance.
type Servers struct {
	settings      settings.Gateway
	instanceCount func() int

	mu               sync.Mutex
	random           *rand.Rand
	pools            map[string]*routing.Pool
	engineSchedulers map[string]*engine.Scheduler
	servers          map[string]upstream.Server
	budgets          map[string]*routing.RetryBudget
}

// NewServers returns Servers that are empty until the first Update.
func NewServers(s settings.Gateway, cluster *Cluster) *Servers {
	return &Servers{
		settings: s, instanceCount: cluster.InstanceCount,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pools:  map[string]*routing.Pool{}, engineSchedulers: map[string]*engine.Scheduler{},
		servers: map[string]upstream.Server{}, budgets: map[string]*routing.RetryBudget{},
	}
}

// Update replaces the servers by those of a new view.
func (s *Servers) Update(v *view.View) {
	if v.Table == nil {
		return
	}
	instances := s.instanceCount()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = map[string]upstream.Server{}
	for i := range v.Table.Services {
		service := &v.Table.Services[i]
		for _, server := range v.Servers[service.Name] {
			s.servers[server.ID] = upstream.Server{ID: server.ID, Incarnation: server.Incarnation, Address: server.Address, MaxConnections: connectionLimit(service, instances)}
		}
		switch {
		case service.StageProfile != nil:
		case service.Engine != nil:
			s.updateEngineScheduler(service, v.Servers[service.Name])
		default:
			s.updatePool(service.Name, v.Servers[service.Name])
		}
	}
}

func connectionLimit(service *route.Service, instances int) int {
	if service.MaxConnections == 0 {
		return 0
	}
	return max(minServerConnections, int(connectionLimitShare*float64(service.MaxConnections))/instances)
}

func (s *Servers) updateEngineScheduler(service *route.Service, listed []view.Server) {
	scheduler := s.engineSchedulers[service.Name]
	if scheduler == nil {
		scheduler = engine.NewScheduler(s.settings.Region)
		s.engineSchedulers[service.Name] = scheduler
	}
	servers := make([]engine.Server, len(listed))
	for i, server := range listed {
		servers[i] = engine.Server{ID: server.ID, Region: s.settings.Regions[server.FailureDomain], FailureDomain: server.FailureDomain, Incarnation: server.Incarnation, ColdPeriod: server.ColdPeriod,
			CacheTokens: service.Engine.CacheTokens, CopyRate: service.Engine.CopyRate(), Slots: service.Engine.Slots}
	}
	scheduler.SetServers(servers)
}

func (s *Servers) updatePool(service string, listed []view.Server) {
	pool := s.pools[service]
	if pool == nil {
		pool = routing.NewPool(routing.Location{Region: s.settings.Region, FailureDomain: s.settings.FailureDomain})
		s.pools[service] = pool
	}
	servers := make([]routing.Server, len(listed))
	for i, server := range listed {
		servers[i] = routing.Server{ID: server.ID, Region: s.settings.Regions[server.FailureDomain], FailureDomain: server.FailureDomain, Slots: server.Slots, Incarnation: server.Incarnation}
	}
	pool.SetServers(servers, time.Now())
}

// Server returns the address and connection limit of a server, and false when it is
// not in use.
func (s *Servers) Server(id string) (upstream.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, ok := s.servers[id]
	return server, ok
}

// InRegion reports whether a failure domain is in this instance's region.
func (s *Servers) InRegion(domain string) bool {
	return s.settings.Regions[domain] == s.settings.Region
}

// InUse reports whether the current view lists a server.
func (s *Servers) InUse(id string) bool {
	_, ok := s.Server(id)
	return ok
}

// WithPool calls use with the pool of a plain service while it holds the lock. It
// returns false when there is no such pool.
func (s *Servers) WithPool(service string, use func(*routing.Pool, *rand.Rand)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := s.pools[service]
	if pool == nil {
		return false
	}
	use(pool, s.random)
	return true
}

// WithEngineScheduler calls use with the scheduler of the model servers of a service
// while it holds the lock. It returns false when there is no such scheduler.
func (s *Servers) WithEngineScheduler(service string, use func(*engine.Scheduler)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	scheduler := s.engineSchedulers[service]
	if scheduler == nil {
		return false
	}
	use(scheduler)
	return true
}

// EngineServices returns the names of the services of model servers.
func (s *Servers) EngineServices() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.engineSchedulers))
}

const (
	// retryRatioShare and retrySlackShare are the shares of the common retry budget that
	// the instances use. The rest covers retries by clients and changes in the number of
	// instances.
	retryRatioShare = 0.5
	retrySlackShare = 0.4
)

// budget returns the retry budget of a service. It is called with the lock held.
func (s *Servers) budget(service string) *routing.RetryBudget {
	b := s.budgets[service]
	if b == nil {
		b = routing.NewRetryBudget(s.budgetConfig(s.instanceCount()), time.Now())
		s.budgets[service] = b
	}
	return b
}

// budgetConfig returns the share of one of several instances in the common retry budget.
func (s *Servers) budgetConfig(instances int) routing.RetryBudgetConfig {
	share := retrySlackShare * s.settings.RetrySlack / float64(instances)
	return routing.RetryBudgetConfig{
		Ratio:     retryRatioShare * s.settings.RetryRatio,
		PerSecond: share / s.settings.RetryWindowSeconds,
		Burst:     max(1, share),
	}
}

// ShareBudgets divides the common retry budgets among the instances that live now.
func (s *Servers) ShareBudgets() {
	instances, now := s.instanceCount(), time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.budgets {
		b.SetConfig(s.budgetConfig(instances), now)
	}
}

// CountRequest counts a request for the retry budget of its service.
func (s *Servers) CountRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).CountRequest(time.Now())
}

// AllowRetry takes one retry from the budget of a service. It returns false when the
// budget is used up.
func (s *Servers) AllowRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(service).Allow(time.Now())
}

// RandomFloat64 returns a random number in [0, 1).
func (s *Servers) RandomFloat64() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// newPlainQuery returns the query that picks a server for a plain request.
func newPlainQuery(remaining time.Duration, excluded []routing.ServerIndex) routing.Query {
	return routing.Query{Class: pipeline.ClassInteractive, AllowRemote: true, Remaining: remaining, Excluded: excluded}
}
