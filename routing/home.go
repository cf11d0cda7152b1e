package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Instance is an entry instance of the region.
type Instance struct {
	ID            string
	FailureDomain string
}

// SetInstances sets the entry instances of the region. The next SetServers divides the
// slots of the region's servers among them. The slots assigned to this instance are
// its home slots: it prefers them, so that instances do not all choose the same
// server. Each instance computes the same division from the same lists of instances
// and servers. While their lists differ, some slots are assigned to two instances.
func (p *Pool) SetInstances(self string, instances []Instance) {
	p.self = self
	p.instances = slices.Clone(instances)
	slices.SortFunc(p.instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
}

// slotAllocator assigns slots to instances in round-robin order.
type slotAllocator struct {
	instances []Instance
	// remaining is the number of slots that each instance has yet to get.
	remaining []int
	next      int
}

func newSlotAllocator(instances []Instance, slots int) *slotAllocator {
	a := &slotAllocator{instances: instances, remaining: make([]int, len(instances))}
	for i := range a.remaining {
		a.remaining[i] = slots / len(instances)
		if i < slots%len(instances) {
			a.remaining[i]++
		}
	}
	return a
}

// allocate assigns a slot to the next instance with slots remaining in a failure
// domain, or in any if failureDomain is empty. It returns false if there is none.
func (a *slotAllocator) allocate(failureDomain string) (owner string, ok bool) {
	for range a.instances {
		i := a.next % len(a.instances)
		a.next++
		if a.remaining[i] > 0 && (failureDomain == "" || a.instances[i].FailureDomain == failureDomain) {
			a.remaining[i]--
			return a.instances[i].ID, true
		}
	}
	return "", false
}

// assignHomeSlots divides the slots of the region's servers among the instances,
// preferring those in the server's failure domain. Each slot that the long class may
// use is assigned to one instance, so that the long calls of all instances together
// stay within that class's share of a server.
func (p *Pool) assignHomeSlots() {
	p.homeServers = p.homeServers[:0]
	p.totalHomeSlots = 0
	if len(p.instances) == 0 {
		return
	}
	local := slices.Clone(p.ordered[:p.tierEnd[tierRegion]])
	slices.SortFunc(local, func(a, b ServerIndex) int { return cmp.Compare(p.servers[a].ID, p.servers[b].ID) })
	allocator := newSlotAllocator(p.instances, p.slotsOf(local))
	type slot struct {
		server ServerIndex
		number int
	}
	var unassigned []slot
	for number, more := 0, true; more; number++ {
		more = false
		for _, i := range local {
			s := &p.servers[i]
			if number >= s.Slots || s.draining {
				continue
			}
			more = true
			if owner, ok := allocator.allocate(s.FailureDomain); ok {
				p.addHomeSlot(i, number, owner)
				continue
			}
			unassigned = append(unassigned, slot{i, number})
		}
	}
	for _, free := range unassigned {
		if owner, ok := allocator.allocate(""); ok {
			p.addHomeSlot(free.server, free.number, owner)
		}
	}
}

// addHomeSlot records a home slot if the owner is this instance.
func (p *Pool) addHomeSlot(i ServerIndex, number int, owner string) {
	if owner != p.self {
		return
	}
	s := &p.servers[i]
	if s.homeSlots == 0 {
		p.homeServers = append(p.homeServers, i)
	}
	s.homeSlotNumbers = append(s.homeSlotNumbers, number)
	s.homeSlots++
	p.totalHomeSlots++
	if float64(number) < s.longLimit() {
		s.homeLongSlots++
	}
}

// HomeSlots returns the number of this instance's home slots, or its equal share of
// Slots when it has none.
func (p *Pool) HomeSlots() float64 {
	if p.totalHomeSlots > 0 {
		return float64(p.totalHomeSlots)
	}
	return float64(p.Slots()) / float64(max(1, len(p.instances)))
}

// pickHome returns the best server with a free home slot for the call, or noServer.
// Among servers whose score is at most BoundedLoad times the lowest one, the prompt
// prefix decides by rendezvous hashing.
func (p *Pool) pickHome(t int64, q *Query) ServerIndex {
	lowest := math.Inf(1)
	for _, i := range p.homeServers {
		if p.servers[i].hasFreeHomeSlot(i, q) {
			lowest = min(lowest, p.servers[i].homeScore(t, q.Class))
		}
	}
	best := noServer
	bestRank := 0.0
	for _, i := range p.homeServers {
		s := &p.servers[i]
		if !s.hasFreeHomeSlot(i, q) {
			continue
		}
		rank := s.homeScore(t, q.Class)
		if q.Prefix != 0 && rank <= BoundedLoad*lowest {
			rank = -float64(mix(s.hash ^ q.Prefix))
		}
		if best == noServer || rank < bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

// hasFreeHomeSlot reports whether a server has a free home slot for the call.
func (s *server) hasFreeHomeSlot(i ServerIndex, q *Query) bool {
	if s.inFlight >= s.homeSlots || s.level > 0 || s.slowStartFrom != 0 || !s.eligible(i, q, strict) {
		return false
	}
	return classIndex(q.Class) != classLong || s.long < s.homeLongSlots
}

// homeScore is the position of the server's next home slot plus its excess load,
// scaled by relative latency; lower is better. Long calls use slots with low numbers
// first, other calls those with high numbers. All instances do so, which spreads
// long calls evenly over the servers although each instance knows only its own
// calls.
func (s *server) homeScore(t int64, class pipeline.Class) float64 {
	position := s.homeSlotNumbers[s.long]
	if classIndex(class) != classLong {
		position = s.Slots - 1 - s.homeSlotNumbers[s.homeSlots-1-max(0, s.inFlight-s.long)]
	}
	return (float64(position+1) + s.excessLoad(t)) * s.scale
}

// overdueFactor is the multiple of the pool's 95th percentile latency above which
// even a single running call counts as a sign of a slow server.
const overdueFactor = 1.5

// overdue reports whether the mean age of a server's running calls of one class is
// far above the latency of nearly all answers of the pool. hedgeDelay is the 95th
// percentile.
func (p *Pool) overdue(s *server, t int64) bool {
	for class := range classCount {
		series := &s.latency[seriesTotal][class]
		limit := max(overdueFactor*float64(p.hedgeDelay[class]), lowerAbove*p.medians[seriesTotal][class])
		if series.running > 0 && limit > 0 && float64(t-series.startSum/int64(series.running)) > limit {
			return true
		}
	}
	return false
}

// overdueCheckInterval is the interval at which the age of running calls is checked,
// in nanoseconds.
const overdueCheckInterval = int64(20 * time.Millisecond)

// checkOverdue lowers the weight of servers with overdue calls, without waiting for
// these calls to end.
func (p *Pool) checkOverdue(t int64) {
	p.nextOverdueCheck = t + overdueCheckInterval
	for _, i := range p.ordered {
		s := &p.servers[i]
		if s.level < levelProbeOnly && s.inFlight > 0 && p.overdue(s, t) {
			p.lowerWeight(s, t)
			s.scale = maxRelative / (weights[s.level] * float64(s.Slots))
		}
	}
}
