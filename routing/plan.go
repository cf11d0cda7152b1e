package routing

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

const (
	// stageTimesMinSamples is the number of answers below which a duration is unknown.
	stageTimesMinSamples = 10
	// fastQuantile of the durations is what a stage needs at the very least.
	fastQuantile    = 0.1
	typicalQuantile = 0.5
)

// StageTimes is the measured duration of one stage.
type StageTimes struct {
	Fast    time.Duration
	Typical time.Duration
	// Known is false while there are too few measurements.
	Known bool
}

// Times returns the measured durations of calls of a class to the pool, as of
// the last maintenance.
func (p *Pool) Times(class pipeline.Class) StageTimes {
	return p.times[classIndex(class)]
}

// computeTimes updates what is derived from the histograms.
func (p *Pool) computeTimes() {
	for class := range p.totalLatency {
		h := &p.totalLatency[class]
		p.times[class] = StageTimes{
			Fast:    h.quantile(fastQuantile),
			Typical: h.quantile(typicalQuantile),
			Known:   h.total >= stageTimesMinSamples,
		}
		p.hedgeDelay[class] = h.quantile(hedgeQuantile)
	}
}

// Plan divides a request's deadline among the stages of its pipeline, in the
// order in which they run.
type Plan []StageTimes

// minBudgetMultiple of its typical duration is what a stage may use if the later
// ones still have their typical time, so that a short stage is not cut off by
// an ordinary delay.
const minBudgetMultiple = 4

// StageBudget returns the share of the remaining time that a stage may use: as
// much as its typical duration has of the typical rest. It returns remaining
// while the duration of a stage is unknown.
func (p Plan) StageBudget(stage int, remaining time.Duration) time.Duration {
	var rest time.Duration
	for _, times := range p[stage:] {
		if !times.Known {
			return remaining
		}
		rest += times.Typical
	}
	if rest == 0 {
		return remaining
	}
	own := p[stage].Typical
	share := time.Duration(float64(remaining) * float64(own) / float64(rest))
	return max(share, min(minBudgetMultiple*own, remaining-(rest-own)))
}

// Feasible reports whether the remaining time can be enough for a stage and
// those after it. A stage without measurements is taken to need no time.
func (p Plan) Feasible(stage int, remaining time.Duration) bool {
	var rest time.Duration
	for _, times := range p[stage:] {
		if times.Known {
			rest += times.Fast
		}
	}
	return remaining > 0 && remaining >= rest
}

// Typical returns the typical duration of the whole pipeline, and false while
// that of a stage is unknown.
func (p Plan) Typical() (typical time.Duration, known bool) {
	known = true
	for _, times := range p {
		typical += times.Typical
		known = known && times.Known
	}
	return typical, known
}
