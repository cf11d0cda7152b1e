package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Tiers of distance, nearest first.
const (
	tierFailureDomain = iota
	tierRegion
	tierRemote
	tierCount
)

func (p *Pool) tier(s Server) int {
	switch {
	case s.FailureDomain == p.location.FailureDomain:
		return tierFailureDomain
	case s.Region == p.location.Region:
		return tierRegion
	default:
		return tierRemote
	}
}

// noServer is returned when no server is eligible.
const noServer ServerIndex = -1

// excessLifetime is the time over which the excess load of a load report decays to
// 0, in nanoseconds.
const excessLifetime = int64(2 * time.Second)

// load returns the estimated number of calls at the server.
func (s *server) load(t int64) float64 {
	return float64(s.inFlight) + s.peerInFlight + s.excessLoad(t)
}

// excessLoad returns the load that the last load report showed beyond the known
// calls, decayed by its age.
func (s *server) excessLoad(t int64) float64 {
	if age := t - s.excessAt; s.excess > 0 && age < excessLifetime {
		return s.excess * (1 - float64(age)/float64(excessLifetime))
	}
	return 0
}

// score returns the expected relative duration of one more call; lower is better.
func (s *server) score(t int64) float64 {
	score := (s.load(t) + 1) * s.scale
	if s.slowStartFrom != 0 {
		score /= s.slowStart(t)
	}
	return score
}

// slowStart returns the weight of a server during its slow start, from 0.1 to 1.
func (s *server) slowStart(t int64) float64 {
	const minWeight = 0.1
	return min(1, max(minWeight, float64(t-s.slowStartFrom)/float64(SlowStart)))
}

// saturated reports whether the estimated load fills the server's slots.
func (s *server) saturated(t int64) bool {
	return s.load(t) >= float64(s.Slots)
}

// longLimit returns the number of slots that calls of the long class may use.
func (s *server) longLimit() float64 {
	return max(1, float64(int(LongShare*float64(s.Slots))))
}

// eligibilityMode is how strictly servers are excluded.
type eligibilityMode int

const (
	// strict excludes stragglers and counts the long calls of all instances.
	strict eligibilityMode = iota
	// relaxed includes stragglers and counts the long calls of this instance only.
	relaxed
)

func (s *server) eligible(i ServerIndex, q *Query, mode eligibilityMode) bool {
	if s.draining || slices.Contains(q.Excluded, i) || !q.Regions.Contains(s.Region) {
		return false
	}
	if mode == strict && s.level >= levelProbeOnly {
		return false
	}
	if q.Class != pipeline.ClassLong {
		return true
	}
	long := float64(s.long)
	if mode == strict {
		long += s.peerLong
	}
	return long < s.longLimit()
}

// Pick chooses a server for a call. It returns false if no server is eligible. It
// does not count the call as in flight; Started does.
func (p *Pool) Pick(now time.Time, random *rand.Rand, q Query) (ServerIndex, bool) {
	t := now.UnixNano()
	if t >= p.nextMaintenance {
		p.maintain(t)
	}
	if t >= p.nextOverdueCheck {
		p.checkOverdue(t)
	}
	if q.PreferRemote && q.AllowRemote {
		if i := p.pickRemote(t, random, &q); i != noServer {
			return i, true
		}
	}
	if i := p.pickProbe(t, &q); i != noServer {
		return i, true
	}
	if i := p.pickHome(t, &q); i != noServer {
		return i, true
	}
	if len(p.homeServers) > 0 {
		// Outside home slots, the prefix would send the calls of all instances to one
		// server.
		q.Prefix = 0
	}
	for mode := strict; mode <= relaxed; mode++ {
		if i := p.pickByTier(t, random, &q, mode); i != noServer {
			return i, true
		}
	}
	return noServer, false
}

// pickRemote returns an eligible server of another region with a free slot, or
// noServer.
func (p *Pool) pickRemote(t int64, random *rand.Rand, q *Query) ServerIndex {
	remote := p.ordered[p.tierEnd[tierRegion]:]
	if len(remote) == 0 {
		return noServer
	}
	i := p.choose(t, random, q, strict, remote)
	if i == noServer || p.servers[i].saturated(t) {
		return noServer
	}
	return i
}

// HasRemoteCapacity reports whether a server of another region, at full weight, is
// estimated to have a free slot.
func (p *Pool) HasRemoteCapacity(now time.Time) bool {
	for _, i := range p.ordered[p.tierEnd[tierRegion]:] {
		if s := &p.servers[i]; !s.draining && s.level == 0 && !s.saturated(now.UnixNano()) {
			return true
		}
	}
	return false
}

// pickByTier returns a server of the nearest tier with a free slot, or the one with
// the lowest score if all are saturated. Another region is used only when this
// instance's region has no eligible server or cannot answer within the deadline.
func (p *Pool) pickByTier(t int64, random *rand.Rand, q *Query, mode eligibilityMode) ServerIndex {
	best := noServer
	from := 0
	for tier := range tierCount {
		candidates := p.ordered[from:p.tierEnd[tier]]
		from = p.tierEnd[tier]
		if len(candidates) == 0 || (tier == tierRemote && !p.mayUseRemote(t, q, best)) {
			continue
		}
		chosen := p.choose(t, random, q, mode, candidates)
		if chosen == noServer {
			continue
		}
		if best == noServer || p.servers[chosen].score(t) < p.servers[best].score(t) {
			best = chosen
		}
		if !p.servers[best].saturated(t) {
			return best
		}
	}
	return best
}

// mayUseRemote reports whether a call may go to another region. local is the best
// server of this instance's region, or noServer.
func (p *Pool) mayUseRemote(t int64, q *Query, local ServerIndex) bool {
	if !q.AllowRemote {
		return false
	}
	if local == noServer {
		return true
	}
	return q.Remaining > 0 && p.expectedDuration(t, local, q.Class) > q.Remaining
}

// expectedDuration estimates how long a call to a server would take, including the
// wait for a slot.
func (p *Pool) expectedDuration(t int64, i ServerIndex, class pipeline.Class) time.Duration {
	s := &p.servers[i]
	waiting := max(0, s.load(t)+1-float64(s.Slots))
	median := p.medians[seriesTotal][classIndex(class)]
	return time.Duration(median * s.relative * (1 + waiting/float64(s.Slots)))
}

// choose returns the server that prefix affinity selects, or else the best of a few
// random candidates. If that one is saturated, it returns the best of all
// candidates.
func (p *Pool) choose(t int64, random *rand.Rand, q *Query, mode eligibilityMode, candidates []ServerIndex) ServerIndex {
	if q.Prefix != 0 {
		if i := p.pickByPrefix(t, q, mode, candidates); i != noServer {
			return i
		}
	}
	best := noServer
	bestScore := 0.0
	for range p.choices {
		i := p.sample(random, q, mode, candidates, best)
		if i == noServer {
			break
		}
		if score := p.servers[i].score(t); best == noServer || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best != noServer && p.servers[best].saturated(t) {
		return p.lowestScore(t, random, q, mode, candidates)
	}
	return best
}

// sample returns a random eligible server other than exclude, or noServer. It scans
// from a random position, so that it finds a server whenever there is one.
func (p *Pool) sample(random *rand.Rand, q *Query, mode eligibilityMode, candidates []ServerIndex, exclude ServerIndex) ServerIndex {
	start := random.IntN(len(candidates))
	for step := range candidates {
		position := start + step
		if position >= len(candidates) {
			position -= len(candidates)
		}
		i := candidates[position]
		if i != exclude && p.servers[i].eligible(i, q, mode) {
			return i
		}
	}
	return noServer
}

// lowestScore returns the eligible server with the lowest score, or noServer. The
// scan starts at a random position, so that ties do not always go to the same
// server.
func (p *Pool) lowestScore(t int64, random *rand.Rand, q *Query, mode eligibilityMode, candidates []ServerIndex) ServerIndex {
	best := noServer
	bestScore := 0.0
	start := random.IntN(len(candidates))
	for step := range candidates {
		position := start + step
		if position >= len(candidates) {
			position -= len(candidates)
		}
		i := candidates[position]
		s := &p.servers[i]
		if !s.eligible(i, q, mode) {
			continue
		}
		if score := s.score(t); best == noServer || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
