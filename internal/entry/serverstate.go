package entry

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

// Delay implements HedgePolicy.
func (s *Servers) Delay(query Query) (time.Duration, bool) {
	p := s.findPool(query.Pool)
	if p == nil {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hedger.Delay(query.Class)
}

// Allow implements HedgePolicy.
func (s *Servers) Allow(query Query) bool {
	p := s.findPool(query.Pool)
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hedger.Allow()
}

// StageBudget implements StageBudgets.
func (s *Servers) StageBudget(request *Request, stage int, remaining time.Duration) time.Duration {
	return s.plan(request).StageBudget(stage, remaining)
}

// plan returns the measured durations of a request's stages.
func (s *Servers) plan(request *Request) routing.Plan {
	plan := make(routing.Plan, len(request.Pipeline.Stages))
	for i := range plan {
		plan[i] = s.stageTimes(request.Pipeline.Stages[i].Pool, request.Kind.Class)
	}
	return plan
}

func (s *Servers) stageTimes(pool string, class pipeline.Class) routing.StageTimes {
	p := s.findPool(pool)
	if p == nil {
		return routing.StageTimes{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.Times(class)
}

// slotShare returns this instance's share of a pool's slots, as a number of slots.
func (s *Servers) slotShare(pool string) float64 {
	p := s.findPool(pool)
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.HomeSlots()
}

// hasRemoteCapacity reports whether a request may run in another region now, which
// takes capacity of the link and of the pool there.
func (s *Servers) hasRemoteCapacity(pool string, linkBytes int64) bool {
	now := s.now()
	p := s.findPool(pool)
	if p == nil || !s.link.hasCapacity(linkBytes, now) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.HasRemoteCapacity(now)
}

// SetPeerCounts sets the calls that another instance has in flight at the servers of
// a pool. The caller must not change the slice afterwards.
func (s *Servers) SetPeerCounts(instance, pool string, counts []routing.InFlightCount) {
	if p := s.findPool(pool); p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pool.SetPeerCounts(instance, counts, s.now())
	}
}

// InFlightCounts returns the calls that this instance has in flight, by pool and server.
func (s *Servers) InFlightCounts() map[string][]routing.InFlightCount {
	counts := map[string][]routing.InFlightCount{}
	for name, p := range s.snapshot() {
		p.mu.Lock()
		counts[name] = p.pool.InFlightCounts()
		p.mu.Unlock()
	}
	return counts
}

// Drain applies a drain marker that another instance reported.
func (s *Servers) Drain(id string) {
	for _, p := range s.snapshot() {
		p.mu.Lock()
		p.pool.Drain(id)
		p.mu.Unlock()
	}
}

// Stragglers returns the IDs of the servers whose weight this instance has lowered.
func (s *Servers) Stragglers() (ids []string) {
	for _, p := range s.snapshot() {
		p.mu.Lock()
		ids = append(ids, p.pool.Stragglers()...)
		p.mu.Unlock()
	}
	return ids
}

// SetPeerStragglers sets the stragglers that other instances reported. reports holds,
// by server ID, the number of instances that report the server.
func (s *Servers) SetPeerStragglers(reports map[string]int) {
	for _, p := range s.snapshot() {
		p.mu.Lock()
		p.pool.SetPeerStragglers(reports, s.now())
		p.mu.Unlock()
	}
}

// snapshot returns a copy of the map of pools.
func (s *Servers) snapshot() map[string]*serverPool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	pools := make(map[string]*serverPool, len(s.pools))
	for name, p := range s.pools {
		pools[name] = p
	}
	return pools
}

// InFailureDomain returns the servers of a failure domain.
func (s *Servers) InFailureDomain(failureDomain string) []backend.Server {
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
