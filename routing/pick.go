package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Tiers of distance.
const (
	tierDomain = iota
	tierRegion
	tierRemote
	tierCount
)

func (p *Pool) tier(s Server) int {
	switch {
	case s.FailureDomain == p.location.FailureDomain:
		return tierDomain
	case s.Region == p.location.Region:
		return tierRegion
	default:
		return tierRemote
	}
}

const none ServerIndex = -1

// unseenLife is the time over which the correction of a load report ages out.
const unseenLife = int64(2 * time.Second)

// load is the number of calls that the server is believed to hold.
func (s *server) load(t int64) float64 {
	return float64(s.inFlight) + s.peers + s.excess(t)
}

// excess is the load that the last report showed beyond the counts.
func (s *server) excess(t int64) float64 {
	if age := t - s.unseenAt; s.unseen > 0 && age < unseenLife {
		return s.unseen * (1 - float64(age)/float64(unseenLife))
	}
	return 0
}

// score is the relative time that one more call would take; lower is better.
func (s *server) score(t int64) float64 {
	score := (s.load(t) + 1) * s.scale
	if s.slowStartFrom != 0 {
		score /= s.slowStart(t)
	}
	return score
}

// slowStart is the weight of a server that joined recently.
func (s *server) slowStart(t int64) float64 {
	const least = 0.1
	return min(1, max(least, float64(t-s.slowStartFrom)/float64(SlowStart)))
}

// saturated reports whether the server's slots are believed to be taken.
func (s *server) saturated(t int64) bool {
	return s.load(t) >= float64(s.Slots)
}

// longLimit is the number of slots that long kinds may take.
func (s *server) longLimit() float64 {
	return max(1, float64(int(LongShare*float64(s.Slots))))
}

// strictness is how much of what is known about servers excludes them.
type strictness int

const (
	// strict excludes stragglers and counts the long calls of all instances.
	strict strictness = iota
	// relaxed counts only the long calls of this instance.
	relaxed
)

func (s *server) eligible(i ServerIndex, q *Query, mode strictness) bool {
	if s.drained || slices.Contains(q.Excluded, i) {
		return false
	}
	if mode == strict && s.level >= levelProbed {
		return false
	}
	if q.Class != pipeline.ClassLong {
		return true
	}
	long := float64(s.long)
	if mode == strict {
		long += s.peersLong
	}
	return long < s.longLimit()
}

// Pick chooses a server for a call. It does not count the call; Started does.
func (p *Pool) Pick(now time.Time, random *rand.Rand, q Query) (ServerIndex, bool) {
	t := now.UnixNano()
	if t >= p.maintainAt {
		p.refresh(t)
	}
	if t >= p.overdueAt {
		p.checkOverdue(t)
	}
	if q.PreferRemote && q.AllowRemote {
		if i := p.pickRemote(t, random, &q); i != none {
			return i, true
		}
	}
	if i := p.probe(t, &q); i != none {
		return i, true
	}
	if i := p.pickHome(t, &q); i != none {
		return i, true
	}
	if len(p.home) > 0 {
		// Beyond their home slots, all instances would follow the prefix to one server.
		q.Prefix = 0
	}
	for mode := strict; mode <= relaxed; mode++ {
		if i := p.pickByTier(t, random, &q, mode); i != none {
			return i, true
		}
	}
	return none, false
}

// pickRemote chooses a server of another region that has room.
func (p *Pool) pickRemote(t int64, random *rand.Rand, q *Query) ServerIndex {
	far := p.ordered[p.tierEnd[tierRegion]:]
	if len(far) == 0 {
		return none
	}
	i := p.choose(t, random, q, strict, far)
	if i == none || p.servers[i].saturated(t) {
		return none
	}
	return i
}

// HasRemoteCapacity reports whether a server of another region is believed to have room.
func (p *Pool) HasRemoteCapacity(now time.Time) bool {
	for _, i := range p.ordered[p.tierEnd[tierRegion]:] {
		if s := &p.servers[i]; !s.drained && s.level == 0 && !s.saturated(now.UnixNano()) {
			return true
		}
	}
	return false
}

// pickByTier takes the nearest tier that has room. Another region is used only
// when the own region has no server or cannot answer within the deadline.
func (p *Pool) pickByTier(t int64, random *rand.Rand, q *Query, mode strictness) ServerIndex {
	best := none
	from := 0
	for tier := range tierCount {
		candidates := p.ordered[from:p.tierEnd[tier]]
		from = p.tierEnd[tier]
		if len(candidates) == 0 || (tier == tierRemote && !p.mayLeave(t, q, best)) {
			continue
		}
		chosen := p.choose(t, random, q, mode, candidates)
		if chosen == none {
			continue
		}
		if best == none || p.servers[chosen].score(t) < p.servers[best].score(t) {
			best = chosen
		}
		if !p.servers[best].saturated(t) {
			return best
		}
	}
	return best
}

// mayLeave reports whether a call may go to another region although local is
// the best server of the own region.
func (p *Pool) mayLeave(t int64, q *Query, local ServerIndex) bool {
	if !q.AllowRemote {
		return false
	}
	if local == none {
		return true
	}
	return q.Remaining > 0 && p.expected(t, local, q.Class) > q.Remaining
}

// expected estimates how long a call to a server would take.
func (p *Pool) expected(t int64, i ServerIndex, class pipeline.Class) time.Duration {
	s := &p.servers[i]
	waiting := max(0, s.load(t)+1-float64(s.Slots))
	median := p.medians[seriesWhole][classIndex(class)]
	return time.Duration(median * s.relative * (1 + waiting/float64(s.Slots)))
}

// choose compares random candidates, or follows the prompt prefix.
func (p *Pool) choose(t int64, random *rand.Rand, q *Query, mode strictness, candidates []ServerIndex) ServerIndex {
	if q.Prefix != 0 {
		if i := p.affine(t, q, mode, candidates); i != none {
			return i
		}
	}
	best := none
	bestScore := 0.0
	for range p.choices {
		i := p.sample(random, q, mode, candidates, best)
		if i == none {
			break
		}
		if score := p.servers[i].score(t); best == none || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best != none && p.servers[best].saturated(t) {
		return p.least(t, random, q, mode, candidates)
	}
	return best
}

// sample returns a random eligible server other than not. It walks on from a
// random place, so that it finds one whenever there is one.
func (p *Pool) sample(random *rand.Rand, q *Query, mode strictness, candidates []ServerIndex, not ServerIndex) ServerIndex {
	start := random.IntN(len(candidates))
	for step := range candidates {
		place := start + step
		if place >= len(candidates) {
			place -= len(candidates)
		}
		i := candidates[place]
		if i != not && p.servers[i].eligible(i, q, mode) {
			return i
		}
	}
	return none
}

// least returns the eligible server with the lowest score, the first one from a
// random place among equals.
func (p *Pool) least(t int64, random *rand.Rand, q *Query, mode strictness, candidates []ServerIndex) ServerIndex {
	best := none
	bestScore := 0.0
	start := random.IntN(len(candidates))
	for step := range candidates {
		place := start + step
		if place >= len(candidates) {
			place -= len(candidates)
		}
		i := candidates[place]
		s := &p.servers[i]
		if !s.eligible(i, q, mode) {
			continue
		}
		if score := s.score(t); best == none || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
