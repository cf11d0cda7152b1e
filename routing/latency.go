package routing

import (
	"slices"
	"time"
)

// latencySeries tracks the latency of one class at one server, in nanoseconds. mean
// is a moving average and samples decays, so that old measurements expire.
type latencySeries struct {
	mean    float64
	samples float64
	// running is the number of running calls and startSum the sum of their start times.
	// Their mean age shows a slow server before its first slow call ends.
	running  int
	startSum int64
}

const (
	// meanGain is the weight of a new sample in the moving average.
	meanGain = 0.2
	// minSamples is the number of samples below which the mean is not used.
	minSamples = 4
	// minRunning is the number of running calls below which their mean age is not
	// used.
	minRunning = 2
)

func (s *latencySeries) add(latency time.Duration) {
	gain := max(meanGain, 1/(s.samples+1))
	s.mean += gain * (float64(latency) - s.mean)
	s.samples++
}

// addAtLeast records a call that would have taken longer than latency. It is ignored
// if latency does not exceed the mean.
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

// estimate returns the estimated latency, and whether there is enough data for it.
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

// decayPeerCounts recomputes each server's calls in flight from other instances,
// weighted by the age of their reports. It removes expired reports.
func (p *Pool) decayPeerCounts(t int64) {
	for _, index := range p.ordered {
		s := &p.servers[index]
		s.peerInFlight, s.peerLong = 0, 0
	}
	for instance, received := range p.peerCounts {
		age := t - received.receivedAt
		if age >= peerLifetime {
			delete(p.peerCounts, instance)
			continue
		}
		share := min(1, float64(peerLifetime-age)/float64(peerLifetime-peerFreshness))
		for _, count := range received.counts {
			if index, ok := p.byID[count.ID]; ok {
				p.servers[index].peerInFlight += share * float64(count.InFlight)
				p.servers[index].peerLong += share * float64(count.Long)
			}
		}
	}
}

// computeMedians computes the median over the servers for each latency series.
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

// median sorts values and returns their median, the lower of the two middle ones, or
// 0 without values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
