package routing

import "time"

// stragglerState is a server's state in straggler detection. Times are in Unix
// nanoseconds, probeBackoff is in nanoseconds.
type stragglerState struct {
	// relative is the latency as a multiple of the pool median.
	relative float64
	// level is the index of the current weight in weights.
	level          int
	levelChangedAt int64
	// goodAnswers counts consecutive good answers at a lowered weight.
	goodAnswers int
	// nextProbe is when the next probe is due, probeBackoff the interval after a bad one.
	nextProbe    int64
	probeBackoff int64
	// abandonedSlow counts consecutive calls that were cancelled after the hedge
	// delay.
	abandonedSlow int
	// reported is true while other instances report the server as a straggler.
	reported bool
	// peersAgree is true while at least reportsToLower other instances report it.
	peersAgree bool
	// loweredByPeers is true when the weight was lowered because of these reports.
	loweredByPeers bool
}

// weights lists the weights by level. Servers at levelProbeOnly or above get only
// probes.
var weights = [...]float64{1, 0.5, 0.2, 0.05}

// Intervals and lifetimes are in nanoseconds.
const (
	levelProbeOnly = 2

	// The weight is lowered above lowerAbove times the pool median and raised below
	// raiseBelow times the median.
	lowerAbove = 3.0
	raiseBelow = 2.0
	// goodAnswersToRaise is the number of consecutive good answers that raise the
	// weight by one level.
	goodAnswersToRaise = 2
	// minStepInterval is the minimum time from a change of the weight to the next one
	// by maintainServer.
	minStepInterval = int64(200 * time.Millisecond)

	// probeInterval is the interval between probes of a server. It doubles with each
	// bad probe, up to maxProbeInterval.
	probeInterval    = int64(time.Second)
	maxProbeInterval = int64(8 * time.Second)
	// picksPerProbe is the minimum number of picks per probe. It keeps the share of
	// probes so low that they do not affect the 99th percentile.
	picksPerProbe = 400

	// Bounds of the relative latency in the score.
	minRelative = 0.5
	maxRelative = 4.0

	// maintenanceInterval is the minimum interval between calls of Pool.maintain.
	maintenanceInterval = int64(100 * time.Millisecond)
	// sampleDecay multiplies the number of samples at each maintenance, which halves
	// it in 7 s.
	sampleDecay = 0.99
	// halvingInterval is the interval at which the counts of the latency histograms
	// are halved.
	halvingInterval = int64(10 * time.Second)
	// Calls reported by peers count in full up to the age peerFreshness, and not at all
	// from peerLifetime on.
	peerFreshness = int64(1500 * time.Millisecond)
	peerLifetime  = int64(5 * time.Second)
)

// maintain recomputes the values that change slowly: peers' counts, medians and
// weights.
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
			// The rest of the pool has become similarly slow.
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

// recordAbandoned counts a call that was cancelled after it had been hedged, and
// that would have taken longer. It returns the latency to record: 0 if the call
// ended before the hedge delay.
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
	// abandonedToLower is the number of consecutive calls cancelled after the hedge
	// delay that lower the weight by one level.
	abandonedToLower = 2
	// censoredFactor multiplies the latency of a cancelled call to estimate how long
	// it would have taken.
	censoredFactor = 2
)

// updateRelative sets the relative latency of a server to its highest ratio to a
// pool median, or to 1 if there is none, and reports whether there is one.
func (p *Pool) updateRelative(s *server, t int64) (known bool) {
	s.relative = 0
	for kind := range seriesCount {
		for class := range classCount {
			series := &s.latency[kind][class]
			if estimate, ok := series.estimate(t); ok && p.medians[kind][class] > 0 {
				s.relative = max(s.relative, estimate/p.medians[kind][class])
				known = true
			}
			series.samples *= sampleDecay
		}
	}
	if !known {
		s.relative = 1
	}
	return known
}

// lowerWeight lowers the weight by one level, unless too many servers of the pool
// are lowered already.
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

// lowerToMinimum lowers the weight to the last level at once. A server that refuses
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

// restoreOverLimit restores the full weight of servers while more than
// MaxLoweredShare are lowered, as after the pool has shrunk.
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

// recordResult uses the result of a call: at full weight for the pool's latency
// histogram, at a lowered weight as the result of a probe.
func (p *Pool) recordResult(s *server, class int, result Result, t int64) {
	if s.level == 0 {
		if result.Outcome == Answered {
			p.totalLatency[class].add(result.Latency)
		}
		return
	}
	// Without a pool median no answer counts as slow.
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

// raiseWeight raises the weight by one level and discards the samples that had
// lowered it.
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

// raiseOneLevel raises the weight by one level and keeps the samples.
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

// pickProbe returns a server with a lowered weight that is due for a probe, or
// noServer.
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

// SetPeerStragglers replaces the reports of stragglers by other instances. reports
// holds the number of instances that report each server. Reports count for no more
// servers than may be lowered. A reported server that this instance has not measured
// gets fewer calls. When several instances agree, the server is lowered to probes
// even against this instance's own measurements, because these are older; probes
// restore it. Without this, each instance would detect a slow server only through
// slow calls of its own.
func (p *Pool) SetPeerStragglers(reports map[string]int, now time.Time) {
	remaining := int(MaxLoweredShare * float64(len(p.ordered)))
	// Under overload, servers look slow because of their queues.
	overloaded := p.overloaded()
	for _, index := range p.ordered {
		s := &p.servers[index]
		s.reported = remaining > 0 && reports[s.ID] > 0
		if s.reported {
			remaining--
		}
		agreedBefore := s.peersAgree
		s.peersAgree = s.reported && reports[s.ID] >= reportsToLower
		if s.peersAgree && !agreedBefore && s.level == 0 && !overloaded {
			p.lowerByPeers(s, now.UnixNano())
		}
	}
}

// reportsToLower is the number of instances that must report a server before it is
// lowered. With 1, overload spreads: in the experiment swing, 0.89 instead of 0.96
// of the capacity was used.
const reportsToLower = 2

// lowerByPeers lowers a server to probes, unless too many servers of the pool are
// lowered already.
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

// Stragglers returns the IDs of the live servers whose weight is lowered on this
// instance's own measurements, to be reported to peers. Servers lowered on reports
// of peers are left out: if instances passed such reports on, they would never
// expire.
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
