package routing

import (
	"cmp"
	"slices"
	"time"
)

// Instance is an entry instance of the region.
type Instance struct {
	ID            string
	FailureDomain string
}

// Divide sets the instances of the region, among which the slots of its servers
// are divided. Each instance computes the same division from the same lists and
// prefers its own home slots, so that instances do not meet at the same server.
// Where lists differ, some slots have two owners for a while.
func (p *Pool) Divide(self string, instances []Instance) {
	p.self = self
	p.instances = slices.Clone(instances)
	slices.SortFunc(p.instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
}

// dealer hands out slots in turns.
type dealer struct {
	instances []Instance
	// left is how many slots each instance still gets.
	left []int
	next int
}

func newDealer(instances []Instance, slots int) *dealer {
	d := &dealer{instances: instances, left: make([]int, len(instances))}
	for i := range d.left {
		d.left[i] = slots / len(instances)
		if i < slots%len(instances) {
			d.left[i]++
		}
	}
	return d
}

// deal gives a slot to the next instance that wants one, of a failure domain or
// of any when it is empty.
func (d *dealer) deal(failureDomain string) (owner string, ok bool) {
	for range d.instances {
		i := d.next % len(d.instances)
		d.next++
		if d.left[i] > 0 && (failureDomain == "" || d.instances[i].FailureDomain == failureDomain) {
			d.left[i]--
			return d.instances[i].ID, true
		}
	}
	return "", false
}

// divide deals the slots of the region's servers, first to instances of the
// server's failure domain. Slots of a server that long kinds may use are dealt
// one by one, so that long calls of all instances keep to their share of it.
func (p *Pool) divide() {
	p.home = p.home[:0]
	p.homeSlots = 0
	if len(p.instances) == 0 {
		return
	}
	near := slices.Clone(p.ordered[:p.tierEnd[tierRegion]])
	slices.SortFunc(near, func(a, b ServerIndex) int { return cmp.Compare(p.servers[a].ID, p.servers[b].ID) })
	d := newDealer(p.instances, p.slotsOf(near))
	type slot struct {
		server ServerIndex
		number int
	}
	var rest []slot
	for number, more := 0, true; more; number++ {
		more = false
		for _, i := range near {
			s := &p.servers[i]
			if number >= s.Slots || s.drained {
				continue
			}
			more = true
			if owner, ok := d.deal(s.FailureDomain); ok {
				p.own(i, number, owner)
				continue
			}
			rest = append(rest, slot{i, number})
		}
	}
	for _, left := range rest {
		if owner, ok := d.deal(""); ok {
			p.own(left.server, left.number, owner)
		}
	}
}

// own notes a home slot when the owner is this instance.
func (p *Pool) own(i ServerIndex, number int, owner string) {
	if owner != p.self {
		return
	}
	s := &p.servers[i]
	if s.home == 0 {
		p.home = append(p.home, i)
	}
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

// roomyShare is the load per slot up to which a prompt prefix decides alone.
const roomyShare = 0.5

// pickRoomy returns the server of a prompt prefix while so many of its slots are
// free that calls of other instances, seen late, do not fill it.
func (p *Pool) pickRoomy(t int64, q *Query) ServerIndex {
	near := p.ordered[:p.tierEnd[tierRegion]]
	if q.Prefix == 0 || len(p.home) == 0 || classIndex(q.Class) == longIndex {
		return none
	}
	i := p.affine(t, q, strict, near)
	if i == none || p.servers[i].load(t)+1 > roomyShare*float64(p.servers[i].Slots) {
		return none
	}
	return i
}

// pickHome returns the best server with a free home slot for the call: the first
// one in rendezvous order of the prompt prefix, or the one with the lowest score.
func (p *Pool) pickHome(t int64, q *Query) ServerIndex {
	best := none
	bestScore := 0.0
	for _, i := range p.home {
		s := &p.servers[i]
		if s.inFlight >= s.home || s.level > 0 || s.slowStartFrom != 0 || !s.eligible(i, q, strict) {
			continue
		}
		if classIndex(q.Class) == longIndex && s.long >= s.homeLong {
			continue
		}
		score := s.score(t)
		if q.Prefix != 0 {
			score = -float64(mix(s.hash ^ q.Prefix))
		}
		if best == none || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// suspectAge is the multiple of the pool's 95th percentile after which a single
// running call is evidence against its server.
const suspectAge = 1.5

// overdue reports whether the mean running call of a class is far older than
// nearly all answers of the pool.
func (p *Pool) overdue(s *server, t int64) bool {
	for class := range classCount {
		one := &s.latency[seriesWhole][class]
		limit := max(suspectAge*float64(p.hedgeAfter[class]), lowerAbove*p.medians[seriesWhole][class])
		if one.running > 0 && limit > 0 && float64(t-one.startSum/int64(one.running)) > limit {
			return true
		}
	}
	return false
}

// overdueEvery is how often running calls are looked at.
const overdueEvery = int64(20 * time.Millisecond)

// checkOverdue lowers servers with overdue calls without waiting for their end.
func (p *Pool) checkOverdue(t int64) {
	p.overdueAt = t + overdueEvery
	for _, i := range p.ordered {
		s := &p.servers[i]
		if s.level < levelProbed && s.inFlight > 0 && p.overdue(s, t) {
			p.lower(s, t)
			s.scale = mostRelative / (weights[s.level] * float64(s.Slots))
		}
	}
}
