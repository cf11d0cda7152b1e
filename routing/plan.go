package routing

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

const (
	// stageTimesMinSamples is the number of answers below which the duration of a
	// stage is unknown.
	stageTimesMinSamples = 10
	// fastQuantile is the quantile of the durations that counts as the least time a
	// stage needs.
	fastQuantile    = 0.1
	typicalQuantile = 0.5
)

// StageTimes is the measured duration of one stage.
type StageTimes struct {
	// Fast is the 10th percentile and Typical the median.
	Fast    time.Duration
	Typical time.Duration
	// Known is false while there are too few measurements.
	Known bool
}

// Times returns the measured duration of calls of a class to the pool, as of the
// last maintenance.
func (p *Pool) Times(class pipeline.Class) StageTimes {
	return p.times[classIndex(class)]
}

// computeTimes recomputes the values that are derived from the latency histograms.
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

// Plan divides a request's deadline among the stages of its pipeline. It lists them in
// the order in which they run.
type Plan []StageTimes

// minBudgetMultiple is the multiple of its typical duration that a stage may use as
// long as the later stages keep their typical duration. It prevents an ordinary
// delay from cutting off a short stage.
const minBudgetMultiple = 4

// StageBudget returns how much of the remaining time a stage may use: a part in
// proportion to its typical duration among the stages that are left, or more up to
// minBudgetMultiple times its typical duration if that leaves the later stages
// theirs. It returns remaining if the duration of one of these stages is unknown.
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

// Feasible reports whether the remaining time can suffice for a stage and those
// after it. A stage without measurements counts as taking no time.
func (p Plan) Feasible(stage int, remaining time.Duration) bool {
	var rest time.Duration
	for _, times := range p[stage:] {
		if times.Known {
			rest += times.Fast
		}
	}
	return remaining > 0 && remaining >= rest
}

// Typical returns the typical duration of the whole pipeline, and false if that of
// any stage is unknown.
func (p Plan) Typical() (typical time.Duration, known bool) {
	known = true
	for _, times := range p {
		typical += times.Typical
		known = known && times.Known
	}
	return typical, known
}
