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

// SetInstances sets the instances of the region, among which the slots of its servers
// are divided. Each instance computes the same division from the same lists and
// prefers its own home slots, so that instances do not all choose the same server.
// Where lists differ, some slots have two owners for a while.
func (p *Pool) SetInstances(self string, instances []Instance) {
	p.self = self
	p.instances = slices.Clone(instances)
	slices.SortFunc(p.instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
}

// slotAllocator hands out slots in turns.
type slotAllocator struct {
	instances []Instance
	// remaining is how many slots each instance still gets.
	remaining []int
	next      int
}

func newSlotAllocator(instances []Instance, slots int) *slotAllocator {
	d := &slotAllocator{instances: instances, remaining: make([]int, len(instances))}
	for i := range d.remaining {
		d.remaining[i] = slots / len(instances)
		if i < slots%len(instances) {
			d.remaining[i]++
		}
	}
	return d
}

// allocate gives a slot to the next instance that wants one, of a failure domain or
// of any when it is empty.
func (d *slotAllocator) allocate(failureDomain string) (owner string, ok bool) {
	for range d.instances {
		i := d.next % len(d.instances)
		d.next++
		if d.remaining[i] > 0 && (failureDomain == "" || d.instances[i].FailureDomain == failureDomain) {
			d.remaining[i]--
			return d.instances[i].ID, true
		}
	}
	return "", false
}

// assignHomeSlots allocates the slots of the region's servers, first to instances of the
// server's failure domain. Slots of a server that long kinds may use are allocated
// one by one, so that long calls of all instances keep to their share of it.
func (p *Pool) assignHomeSlots() {
	p.home = p.home[:0]
	p.homeSlots = 0
	if len(p.instances) == 0 {
		return
	}
	near := slices.Clone(p.ordered[:p.tierEnd[tierRegion]])
	slices.SortFunc(near, func(a, b ServerIndex) int { return cmp.Compare(p.servers[a].ID, p.servers[b].ID) })
	d := newSlotAllocator(p.instances, p.slotsOf(near))
	type slot struct {
		server ServerIndex
		number int
	}
	var rest []slot
	for number, more := 0, true; more; number++ {
		more = false
		for _, i := range near {
			s := &p.servers[i]
			if number >= s.Slots || s.draining {
				continue
			}
			more = true
			if owner, ok := d.allocate(s.FailureDomain); ok {
				p.addHomeSlot(i, number, owner)
				continue
			}
			rest = append(rest, slot{i, number})
		}
	}
	for _, left := range rest {
		if owner, ok := d.allocate(""); ok {
			p.addHomeSlot(left.server, left.number, owner)
		}
	}
}

// addHomeSlot notes a home slot when the owner is this instance.
func (p *Pool) addHomeSlot(i ServerIndex, number int, owner string) {
	if owner != p.self {
		return
	}
	s := &p.servers[i]
	if s.home == 0 {
		p.home = append(p.home, i)
	}
	s.homeNumbers = append(s.homeNumbers, number)
	s.home++
	p.homeSlots++
	if float64(number) < s.longLimit() {
		s.homeLong++
	}
}

// HomeSlots returns the number of this instance's home slots, or an equal part
// of all slots when it has none.
func (p *Pool) HomeSlots() float64 {
	if p.homeSlots > 0 {
		return float64(p.homeSlots)
	}
	return float64(p.Slots()) / float64(max(1, len(p.instances)))
}

// pickHome returns the best server with a free home slot for the call. Among
// those whose score is within BoundedLoad of the lowest one, the prompt prefix
// decides by rendezvous hashing.
func (p *Pool) pickHome(t int64, q *Query) ServerIndex {
	lowest := math.Inf(1)
	for _, i := range p.home {
		if p.servers[i].hasFreeHomeSlot(i, q) {
			lowest = min(lowest, p.servers[i].homeScore(t, q.Class))
		}
	}
	best := noServer
	bestRank := 0.0
	for _, i := range p.home {
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
	if s.inFlight >= s.home || s.level > 0 || s.slowStartFrom != 0 || !s.eligible(i, q, strict) {
		return false
	}
	return classIndex(q.Class) != longIndex || s.long < s.homeLong
}

// homeScore is the place of the next home slot, times the relative latency.
// Long calls take slots with low numbers first and others those with high
// numbers. All instances do so, which spreads the long calls evenly over the
// servers although each instance sees only its own.
func (s *server) homeScore(t int64, class pipeline.Class) float64 {
	place := s.homeNumbers[s.long]
	if classIndex(class) != longIndex {
		place = s.Slots - 1 - s.homeNumbers[s.home-1-max(0, s.inFlight-s.long)]
	}
	return (float64(place+1) + s.excessLoad(t)) * s.scale
}

// overdueFactor is the multiple of the pool's 95th percentile after which a single
// running call is evidence against its server.
const overdueFactor = 1.5

// overdue reports whether the mean running call of a class is far older than
// nearly all answers of the pool.
func (p *Pool) overdue(s *server, t int64) bool {
	for class := range classCount {
		one := &s.latency[seriesTotal][class]
		limit := max(overdueFactor*float64(p.hedgeDelay[class]), lowerAbove*p.medians[seriesTotal][class])
		if one.running > 0 && limit > 0 && float64(t-one.startSum/int64(one.running)) > limit {
			return true
		}
	}
	return false
}

// overdueCheckInterval is how often running calls are looked at.
const overdueCheckInterval = int64(20 * time.Millisecond)

// checkOverdue lowers servers with overdue calls without waiting for their end.
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
