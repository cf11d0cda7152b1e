package routing

import "time"

// straggler is the judgement of a server's latency.
type straggler struct {
	// relative is the latency as a multiple of the pool median.
	relative float64
	// level is the step of the lowered weight.
	level   int
	stepAt  int64
	good    int
	probeAt int64
	backoff int64
	// suspects counts calls in a row that were given up as too slow.
	suspects int
	// reported is true while other instances see the server as a straggler.
	reported bool
	// agreed is true while reportsToLower other instances do.
	agreed bool
	// byPeers is true when the weight was lowered because they agree.
	byPeers bool
}

// weights by level. Servers from levelProbed on get probes only.
var weights = [...]float64{1, 0.5, 0.2, 0.05}

const (
	levelProbed = 2

	// lowerAbove and raiseBelow are multiples of the pool median.
	lowerAbove = 3.0
	raiseBelow = 2.0
	// goodToRaise is the number of good answers in a row for one step up.
	goodToRaise = 2
	stepEvery   = int64(200 * time.Millisecond)

	probeEvery    = int64(time.Second)
	probeMaxEvery = int64(8 * time.Second)
	// picksPerProbe bounds probes to a share of the requests that leaves the
	// 99th percentile alone.
	picksPerProbe = 400

	// Bounds of the relative latency in the score.
	leastRelative = 0.5
	mostRelative  = 4.0

	maintainEvery = int64(100 * time.Millisecond)
	// sampleDecay per maintenance halves the samples in 7 s.
	sampleDecay = 0.99
	halveEvery  = int64(10 * time.Second)
	// Peers' counts are full value for peerFresh and gone after peerLife.
	peerFresh = int64(1500 * time.Millisecond)
	peerLife  = int64(5 * time.Second)
)

// refresh recomputes what changes slowly: peers' counts, medians and weights.
func (p *Pool) refresh(t int64) {
	p.maintainAt = t + maintainEvery
	if t >= p.halveAt {
		p.halveAt = t + halveEvery
		for i := range p.whole {
			p.whole[i].halve()
		}
	}
	p.agePeers(t)
	p.computeTimes()
	p.computeMedians(t)
	p.lowered = 0
	for _, index := range p.ordered {
		if p.servers[index].level > 0 {
			p.lowered++
		}
	}
	p.restoreExcess()
	for _, index := range p.ordered {
		p.refreshServer(&p.servers[index], t)
	}
}

func (p *Pool) refreshServer(s *server, t int64) {
	known := p.compare(s, t)
	if t-s.stepAt >= stepEvery {
		switch {
		case s.relative > lowerAbove:
			p.lower(s, t)
		case known && s.level > 0 && s.relative < raiseBelow:
			// The rest of the pool became as slow.
			p.step(s, t)
		}
	}
	if s.slowStartFrom != 0 && t-s.slowStartFrom >= int64(SlowStart) {
		s.slowStartFrom = 0
	}
	bounded := min(mostRelative, max(leastRelative, s.relative))
	if s.reported && !known {
		bounded = mostRelative
	}
	s.scale = bounded * float64(1+s.suspects) / (weights[s.level] * float64(s.Slots))
}

// suspect takes a call that was given up after a hedge: its server would have
// taken longer. It returns what to count as the latency.
func (p *Pool) suspect(s *server, class int, latency time.Duration, t int64) time.Duration {
	if latency < p.hedgeAfter[class] || p.hedgeAfter[class] == 0 {
		return 0
	}
	s.suspects++
	s.scale *= 2
	if s.suspects >= suspectsToLower && s.level < levelProbed {
		s.suspects = 0
		p.lower(s, t)
	}
	return censoredFactor * latency
}

const (
	// suspectsToLower is the number of calls given up in a row for one step down.
	suspectsToLower = 2
	// censoredFactor estimates the latency of a call that was given up.
	censoredFactor = 2
)

// compare sets the relative latency of a server to its highest ratio to a pool
// median, and reports whether there is any.
func (p *Pool) compare(s *server, t int64) (known bool) {
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

// lower takes one step down unless too much of the pool is lowered already.
func (p *Pool) lower(s *server, t int64) {
	if s.level == 0 {
		if float64(p.lowered+1) > MaxLoweredShare*float64(len(p.ordered)) {
			return
		}
		p.lowered++
		s.backoff = probeEvery
	}
	if s.level < len(weights)-1 {
		s.level++
	}
	s.stepAt = t
	s.good = 0
	s.probeAt = t + s.backoff
}

// lowerFully lowers a server to the last step at once. One that refuses
// connections fails so fast that it would look idle.
func (p *Pool) lowerFully(s *server, t int64) {
	p.lower(s, t)
	if s.level == 0 {
		return
	}
	s.level = len(weights) - 1
	s.backoff = min(2*s.backoff, probeMaxEvery)
	s.probeAt = t + s.backoff
	s.scale = 1 / (weights[s.level] * float64(s.Slots))
}

// restoreExcess restores servers when the pool shrank below the allowed share.
func (p *Pool) restoreExcess() {
	for _, index := range p.ordered {
		if float64(p.lowered) <= MaxLoweredShare*float64(len(p.ordered)) {
			return
		}
		if s := &p.servers[index]; s.level > 0 {
			s.straggler = straggler{relative: s.relative}
			p.lowered--
		}
	}
}

// judge uses the end of a call: for the pool's quantiles, and at a server with a
// lowered weight as the result of a probe.
func (p *Pool) judge(s *server, class int, result Result, t int64) {
	if s.level == 0 {
		if result.Outcome == Answered {
			p.whole[class].add(result.Latency)
		}
		return
	}
	// Without a median nothing is known to be slow.
	median := p.medians[seriesWhole][class]
	slow := median > 0 && float64(result.Latency) > raiseBelow*median
	if result.Outcome == Abandoned && !slow {
		return
	}
	if result.Outcome != Answered || slow {
		s.good = 0
		s.backoff = min(2*s.backoff, probeMaxEvery)
		s.probeAt = t + s.backoff
		return
	}
	s.good++
	s.probeAt = t
	if s.good >= goodToRaise {
		p.raise(s, t)
	}
}

// raise takes one step up and forgets the evidence that led to the steps down.
func (p *Pool) raise(s *server, t int64) {
	for kind := range s.latency {
		for class := range s.latency[kind] {
			s.latency[kind][class].samples = 0
		}
	}
	s.relative = 1
	p.step(s, t)
	s.scale = 1 / (weights[s.level] * float64(s.Slots))
}

// step takes one step up.
func (p *Pool) step(s *server, t int64) {
	s.level--
	s.good = 0
	s.stepAt = t
	s.backoff = probeEvery
	if s.level == 0 {
		p.lowered--
		s.byPeers = false
	}
}

// probe returns a server with a lowered weight that is due for a call.
func (p *Pool) probe(t int64, q *Query) ServerIndex {
	p.sinceProbe++
	if p.lowered == 0 || !q.AllowProbe || p.sinceProbe < picksPerProbe {
		return none
	}
	for _, i := range p.ordered[:p.tierEnd[tierRegion]] {
		s := &p.servers[i]
		due := s.level > 0 && s.inFlight == 0 && t >= s.probeAt
		if due && s.eligible(i, q, relaxed) {
			p.sinceProbe = 0
			return i
		}
	}
	return none
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
		before := s.agreed
		s.agreed = s.reported && seen[s.ID] >= reportsToLower
		if s.agreed && !before && s.level == 0 && !busy {
			p.lowerByPeers(s, now.UnixNano())
		}
	}
}

// reportsToLower is the number of instances that must agree. With one, overload
// spreads: in the experiment swing 0.89 instead of 0.96 of the capacity was used.
const reportsToLower = 2

// lowerByPeers lowers a server to probes unless too much of the pool is lowered.
func (p *Pool) lowerByPeers(s *server, t int64) {
	for range levelProbed {
		p.lower(s, t)
	}
	if s.level == 0 {
		return
	}
	s.byPeers = true
	s.scale = 1 / (weights[s.level] * float64(s.Slots))
}

// Stragglers returns the live servers whose weight is lowered on own evidence, for
// the peers. If it reported what peers report, a marker would never expire.
func (p *Pool) Stragglers() (ids []string) {
	for _, index := range p.ordered {
		if s := &p.servers[index]; s.level > 0 && !s.byPeers {
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
