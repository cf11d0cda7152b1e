package entry

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

// Delay returns how long to wait for an answer before a hedge.
func (s *Servers) Delay(query Query) (time.Duration, bool) {
	p := s.find(query.Pool)
	if p == nil {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hedger.Delay(query.Class)
}

// Allow takes one hedge from the budget.
func (s *Servers) Allow(query Query) bool {
	p := s.find(query.Pool)
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hedger.Allow()
}

// StageBudget returns the time one call of a stage may take.
func (s *Servers) StageBudget(request *Request, stage int, remaining time.Duration) time.Duration {
	return s.plan(request).StageBudget(stage, remaining)
}

// plan returns the measured durations of a request's stages.
func (s *Servers) plan(request *Request) routing.Plan {
	plan := make(routing.Plan, len(request.Pipeline.Stages))
	for i := range plan {
		plan[i] = s.times(request.Pipeline.Stages[i].Pool, request.Kind.Class)
	}
	return plan
}

func (s *Servers) times(pool string, class pipeline.Class) routing.StageTimes {
	p := s.find(pool)
	if p == nil {
		return routing.StageTimes{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.Times(class)
}

// share returns this instance's part of the slots of a pool.
func (s *Servers) share(pool string) float64 {
	p := s.find(pool)
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.HomeSlots()
}

// remoteRoom reports whether a request may run in another region now.
func (s *Servers) remoteRoom(pool string, linkBytes int64) bool {
	now := s.now()
	p := s.find(pool)
	if p == nil || !s.link.room(linkBytes, now) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.HasRemoteCapacity(now)
}

// PeerCounts takes the calls that another instance has in flight at the servers
// of a pool. The slice must not be changed any more.
func (s *Servers) PeerCounts(instance, pool string, counts []routing.ServerCount) {
	if p := s.find(pool); p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pool.SetPeerCounts(instance, counts, s.now())
	}
}

// Counts returns the calls that this instance has in flight, by pool.
func (s *Servers) Counts() map[string][]routing.ServerCount {
	counts := map[string][]routing.ServerCount{}
	for name, p := range s.snapshot() {
		p.mu.Lock()
		counts[name] = p.pool.Counts()
		p.mu.Unlock()
	}
	return counts
}

// Drain takes a drain marker from another instance.
func (s *Servers) Drain(id string) {
	for _, p := range s.snapshot() {
		p.mu.Lock()
		p.pool.Drain(id)
		p.mu.Unlock()
	}
}

// Stragglers returns the servers whose weight this instance has lowered.
func (s *Servers) Stragglers() (ids []string) {
	for _, p := range s.snapshot() {
		p.mu.Lock()
		ids = append(ids, p.pool.Stragglers()...)
		p.mu.Unlock()
	}
	return ids
}

// PeerStragglers takes the servers that other instances see as stragglers, with
// the number of these instances.
func (s *Servers) PeerStragglers(seen map[string]int) {
	for _, p := range s.snapshot() {
		p.mu.Lock()
		p.pool.SetPeerStragglers(seen, s.now())
		p.mu.Unlock()
	}
}

func (s *Servers) snapshot() map[string]*serverPool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	pools := make(map[string]*serverPool, len(s.pools))
	for name, p := range s.pools {
		pools[name] = p
	}
	return pools
}

// InDomain returns the servers of a failure domain.
func (s *Servers) InDomain(failureDomain string) []backend.Server {
	var servers []backend.Server
	for _, p := range s.snapshot() {
		p.mu.Lock()
		for _, server := range p.servers {
			if server.FailureDomain == failureDomain {
				servers = append(servers, server)
			}
		}
		p.mu.Unlock()
	}
	return servers
}
