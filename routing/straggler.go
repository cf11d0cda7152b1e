package routing

import "time"

// stragglerState is the judgement of a server's latency.
type stragglerState struct {
	// relative is the latency as a multiple of the pool median.
	relative float64
	// level is the step of the lowered weight.
	level          int
	levelChangedAt int64
	goodAnswers    int
	nextProbe      int64
	probeBackoff   int64
	// abandonedSlow counts calls in a row that were given up as too slow.
	abandonedSlow int
	// reported is true while other instances see the server as a straggler.
	reported bool
	// peersAgree is true while reportsToLower other instances do.
	peersAgree bool
	// loweredByPeers is true when the weight was lowered because they agree.
	loweredByPeers bool
}

// weights by level. Servers from levelProbed on get probes only.
var weights = [...]float64{1, 0.5, 0.2, 0.05}

const (
	levelProbeOnly = 2

	// lowerAbove and raiseBelow are multiples of the pool median.
	lowerAbove = 3.0
	raiseBelow = 2.0
	// goodAnswersToRaise is the number of good answers in a row for one step up.
	goodAnswersToRaise = 2
	minStepInterval    = int64(200 * time.Millisecond)

	probeInterval    = int64(time.Second)
	maxProbeInterval = int64(8 * time.Second)
	// picksPerProbe bounds probes to a share of the requests that leaves the
	// 99th percentile alone.
	picksPerProbe = 400

	// Bounds of the relative latency in the score.
	minRelative = 0.5
	maxRelative = 4.0

	maintenanceInterval = int64(100 * time.Millisecond)
	// sampleDecay per maintenance halves the samples in 7 s.
	sampleDecay     = 0.99
	halvingInterval = int64(10 * time.Second)
	// Peers' counts are full value for peerFreshness and gone after peerLife.
	peerFreshness = int64(1500 * time.Millisecond)
	peerLifetime  = int64(5 * time.Second)
)

// maintain recomputes what changes slowly: peers' counts, medians and weights.
func (p *Pool) maintain(t int64) {
	p.nextMaintenance = t + maintenanceInterval
	if t >= p.nextHalving {
		p.nextHalving = t + halvingInterval
		for i := range p.totalLatency {
			p.totalLatency[i].halve()
		}
	}
	p.decayPeerCounts(t)
	p.computeTimes()
	p.computeMedians(t)
	p.lowered = 0
	for _, index := range p.ordered {
		if p.servers[index].level > 0 {
			p.lowered++
		}
	}
	p.restoreOverLimit()
	for _, index := range p.ordered {
		p.maintainServer(&p.servers[index], t)
	}
}

func (p *Pool) maintainServer(s *server, t int64) {
	known := p.updateRelative(s, t)
	if t-s.levelChangedAt >= minStepInterval {
		switch {
		case s.relative > lowerAbove:
			p.lowerWeight(s, t)
		case known && s.level > 0 && s.relative < raiseBelow:
			// The rest of the pool became as slow.
			p.raiseOneLevel(s, t)
		}
	}
	if s.slowStartFrom != 0 && t-s.slowStartFrom >= int64(SlowStart) {
		s.slowStartFrom = 0
	}
	bounded := min(maxRelative, max(minRelative, s.relative))
	if s.reported && !known {
		bounded = maxRelative
	}
	s.scale = bounded * float64(1+s.abandonedSlow) / (weights[s.level] * float64(s.Slots))
}

// recordAbandoned takes a call that was given up after a hedge: its server would have
// taken longer. It returns what to count as the latency.
func (p *Pool) recordAbandoned(s *server, class int, latency time.Duration, t int64) time.Duration {
	if latency < p.hedgeDelay[class] || p.hedgeDelay[class] == 0 {
		return 0
	}
	s.abandonedSlow++
	s.scale *= 2
	if s.abandonedSlow >= abandonedToLower && s.level < levelProbeOnly {
		s.abandonedSlow = 0
		p.lowerWeight(s, t)
	}
	return censoredFactor * latency
}

const (
	// abandonedToLower is the number of calls given up in a row for one step down.
	abandonedToLower = 2
	// censoredFactor estimates the latency of a call that was given up.
	censoredFactor = 2
)

// updateRelative sets the relative latency of a server to its highest ratio to a pool
// median, and reports whether there is any.
func (p *Pool) updateRelative(s *server, t int64) (known bool) {
	s.relative = 0
	for kind := range seriesCount {
		for class := range classCount {
			one := &s.latency[kind][class]
			if estimate, ok := one.estimate(t); ok && p.medians[kind][class] > 0 {
				s.relative = max(s.relative, estimate/p.medians[kind][class])
				known = true
			}
			one.samples *= sampleDecay
		}
	}
	if !known {
		s.relative = 1
	}
	return known
}

// lowerWeight takes one step down unless too much of the pool is lowered already.
func (p *Pool) lowerWeight(s *server, t int64) {
	if s.level == 0 {
		if float64(p.lowered+1) > MaxLoweredShare*float64(len(p.ordered)) {
			return
		}
		p.lowered++
		s.probeBackoff = probeInterval
	}
	if s.level < len(weights)-1 {
		s.level++
	}
	s.levelChangedAt = t
	s.goodAnswers = 0
	s.nextProbe = t + s.probeBackoff
}

// lowerToMinimum lowers a server to the last step at once. One that refuses
// connections fails so fast that it would look idle.
func (p *Pool) lowerToMinimum(s *server, t int64) {
	p.lowerWeight(s, t)
	if s.level == 0 {
		return
	}
	s.level = len(weights) - 1
	s.probeBackoff = min(2*s.probeBackoff, maxProbeInterval)
	s.nextProbe = t + s.probeBackoff
	s.scale = 1 / (weights[s.level] * float64(s.Slots))
}

// restoreOverLimit restores servers when the pool shrank below the allowed share.
func (p *Pool) restoreOverLimit() {
	for _, index := range p.ordered {
		if float64(p.lowered) <= MaxLoweredShare*float64(len(p.ordered)) {
			return
		}
		if s := &p.servers[index]; s.level > 0 {
			s.stragglerState = stragglerState{relative: s.relative}
			p.lowered--
		}
	}
}

// recordResult uses the end of a call: for the pool's quantiles, and at a server with a
// lowered weight as the result of a probe.
func (p *Pool) recordResult(s *server, class int, result Result, t int64) {
	if s.level == 0 {
		if result.Outcome == Answered {
			p.totalLatency[class].add(result.Latency)
		}
		return
	}
	// Without a median nothing is known to be slow.
	median := p.medians[seriesTotal][class]
	slow := median > 0 && float64(result.Latency) > raiseBelow*median
	if result.Outcome == Abandoned && !slow {
		return
	}
	if result.Outcome != Answered || slow {
		s.goodAnswers = 0
		s.probeBackoff = min(2*s.probeBackoff, maxProbeInterval)
		s.nextProbe = t + s.probeBackoff
		return
	}
	s.goodAnswers++
	s.nextProbe = t
	if s.goodAnswers >= goodAnswersToRaise {
		p.raiseWeight(s, t)
	}
}

// raiseWeight takes one step up and forgets the evidence that led to the steps down.
func (p *Pool) raiseWeight(s *server, t int64) {
	for kind := range s.latency {
		for class := range s.latency[kind] {
			s.latency[kind][class].samples = 0
		}
	}
	s.relative = 1
	p.raiseOneLevel(s, t)
	s.scale = 1 / (weights[s.level] * float64(s.Slots))
}

// raiseOneLevel takes one raiseOneLevel up.
func (p *Pool) raiseOneLevel(s *server, t int64) {
	s.level--
	s.goodAnswers = 0
	s.levelChangedAt = t
	s.probeBackoff = probeInterval
	if s.level == 0 {
		p.lowered--
		s.loweredByPeers = false
	}
}

// pickProbe returns a server with a lowered weight that is due for a call.
func (p *Pool) pickProbe(t int64, q *Query) ServerIndex {
	p.picksSinceProbe++
	if p.lowered == 0 || !q.AllowProbe || p.picksSinceProbe < picksPerProbe {
		return noServer
	}
	for _, i := range p.ordered[:p.tierEnd[tierRegion]] {
		s := &p.servers[i]
		due := s.level > 0 && s.inFlight == 0 && t >= s.nextProbe
		if due && s.eligible(i, q, relaxed) {
			p.picksSinceProbe = 0
			return i
		}
	}
	return noServer
}

// SetPeerStragglers replaces the servers that other instances see as stragglers, with
// the number of these instances, at no more servers than may be lowered. A server
// of which this instance has no evidence gets fewer calls while it is reported. A
// server is lowered to probes once several instances agree, because own evidence is
// older than theirs; probes restore it. Without that each instance finds a slow
// server by slow calls of its own.
func (p *Pool) SetPeerStragglers(seen map[string]int, now time.Time) {
	left := int(MaxLoweredShare * float64(len(p.ordered)))
	// Under overload servers look slow because of their queues.
	busy := p.overloaded()
	for _, index := range p.ordered {
		s := &p.servers[index]
		s.reported = left > 0 && seen[s.ID] > 0
		if s.reported {
			left--
		}
		before := s.peersAgree
		s.peersAgree = s.reported && seen[s.ID] >= reportsToLower
		if s.peersAgree && !before && s.level == 0 && !busy {
			p.lowerByPeers(s, now.UnixNano())
		}
	}
}

// reportsToLower is the number of instances that must agree. With one, overload
// spreads: in the experiment swing 0.89 instead of 0.96 of the capacity was used.
const reportsToLower = 2

// lowerByPeers lowers a server to probes unless too much of the pool is lowered.
func (p *Pool) lowerByPeers(s *server, t int64) {
	for range levelProbeOnly {
		p.lowerWeight(s, t)
	}
	if s.level == 0 {
		return
	}
	s.loweredByPeers = true
	s.scale = 1 / (weights[s.level] * float64(s.Slots))
}

// Stragglers returns the live servers whose weight is lowered on own evidence, for
// the peers. If it reported what peers report, a marker would never expire.
func (p *Pool) Stragglers() (ids []string) {
	for _, index := range p.ordered {
		if s := &p.servers[index]; s.level > 0 && !s.loweredByPeers {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// Lowered returns the number of live servers whose weight is lowered.
func (p *Pool) Lowered() int {
	lowered := 0
	for _, index := range p.ordered {
		if p.servers[index].level > 0 {
			lowered++
		}
	}
	return lowered
}
