package routing

import (
	"slices"
	"time"
)

// latencySeries is the latency of one class at one server. mean and samples decay, so
// that old evidence lapses.
type latencySeries struct {
	mean    float64
	samples float64
	// running calls and the sum of their start times; their mean age is evidence
	// before the first slow call ends.
	running  int
	startSum int64
}

const (
	// meanGain is the weight of a new sample in the mean.
	meanGain = 0.2
	// minSamples is the number of samples below which a mean is no evidence.
	minSamples = 4
	// minRunning is the number of running calls whose mean age is evidence.
	minRunning = 2
)

func (s *latencySeries) add(latency time.Duration) {
	gain := max(meanGain, 1/(s.samples+1))
	s.mean += gain * (float64(latency) - s.mean)
	s.samples++
}

// addAtLeast takes a call that would have lasted longer than latency.
func (s *latencySeries) addAtLeast(latency time.Duration) {
	if float64(latency) > s.mean {
		s.add(latency)
	}
}

func (s *latencySeries) started(t int64) {
	s.running++
	s.startSum += t
}

func (s *latencySeries) finished(start int64) {
	s.running--
	s.startSum -= start
	if s.running == 0 {
		s.startSum = 0
	}
}

// estimate is the latency that the evidence shows, and whether there is enough.
func (s *latencySeries) estimate(t int64) (float64, bool) {
	estimate, enough := s.mean, s.samples >= minSamples
	if s.running < minRunning {
		return estimate, enough
	}
	age := float64(t - s.startSum/int64(s.running))
	if age > estimate {
		return age, true
	}
	return estimate, enough
}

func (p *Pool) decayPeerCounts(t int64) {
	for _, index := range p.ordered {
		s := &p.servers[index]
		s.peerInFlight, s.peerLong = 0, 0
	}
	for instance, view := range p.peerReports {
		age := t - view.receivedAt
		if age >= peerLifetime {
			delete(p.peerReports, instance)
			continue
		}
		share := min(1, float64(peerLifetime-age)/float64(peerLifetime-peerFreshness))
		for _, count := range view.counts {
			if index, ok := p.byID[count.ID]; ok {
				p.servers[index].peerInFlight += share * float64(count.InFlight)
				p.servers[index].peerLong += share * float64(count.Long)
			}
		}
	}
}

// computeMedians sets the pool median of each series.
func (p *Pool) computeMedians(t int64) {
	for kind := range seriesCount {
		for class := range classCount {
			p.scratch = p.scratch[:0]
			for _, index := range p.ordered {
				if estimate, ok := p.servers[index].latency[kind][class].estimate(t); ok {
					p.scratch = append(p.scratch, estimate)
				}
			}
			p.medians[kind][class] = median(p.scratch)
		}
	}
}

// median of values, which it sorts; the lower one of two. 0 without values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
