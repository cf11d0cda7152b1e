package experiment

import (
	"fmt"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

const (
	// stageRate is in requests per second.
	stageRate      = 12
	stageLength    = 24 * time.Second
	heldToTheEvent = "held to the event"
)

// sharedStages is the system's own policy.
func sharedStages() stagePolicy {
	var fetch stagework.FetchEstimator
	return stagePolicy{queues: 1, freedAfter: fetch.Duration(stageShape, mostPieces*stageResult)}
}

// Many requests with a few pieces each share stage servers whose capacity exists only
// in full calls, through a burst of three times the rate.
var stages = scenario{
	// The second policy differs from the own one only in when results are freed.
	policies: []string{PolicyOwn, heldToTheEvent, "instance alone", "call a request"},
	figures:  []string{"on time", "served", "pieces a call", "turned away"},
	goals:    []Goal{{Figure: "on time to best", AtLeast: true, Bound: 1.1}},
	trial: func(policy string, seed uint64) (map[string]float64, error) {
		p := sharedStages()
		switch policy {
		case PolicyOwn:
		case heldToTheEvent:
			p.freedAfter = firstEventAfter
		case "instance alone":
			p.queues = stageInstances
		case "call a request":
			p.alone = true
		default:
			return nil, fmt.Errorf("policy %q does not exist", policy)
		}
		return playStages(p, stageArrivals(stageRate, stageLength, seed)).figures(), nil
	},
	derive: func(byPolicy map[string]map[string]float64) {
		best := 0.0
		for policy, figures := range byPolicy {
			if policy != PolicyOwn && policy != heldToTheEvent {
				best = max(best, figures["on time"])
			}
		}
		byPolicy[PolicyOwn]["on time to best"] = byPolicy[PolicyOwn]["on time"] / best
	},
}

// The same burst, in which some requests can't be on time: who waits, who is refused,
// and when.
var admission = scenario{
	policies: []string{PolicyOwn, "first come", "by due time"},
	figures:  []string{"on time", "served", "refused", "refused after s", "work wasted"},
	goals:    []Goal{{Figure: "on time to best", AtLeast: true, Bound: 1}},
	trial: func(policy string, seed uint64) (map[string]float64, error) {
		p := sharedStages()
		switch policy {
		case PolicyOwn:
		case "first come":
			p.offered = func(j stagework.Job, now time.Time) stagework.Job {
				// All seem to be in time, so that only their order counts.
				j.Due, j.Deadline = now.Add(time.Hour), now.Add(2*time.Hour)
				return j
			}
		case "by due time":
			p.offered = func(j stagework.Job, _ time.Time) stagework.Job {
				j.Due = j.Due.Add(time.Hour)
				j.Started = true
				return j
			}
		default:
			return nil, fmt.Errorf("policy %q does not exist", policy)
		}
		return playStages(p, stageArrivals(stageRate, stageLength, seed)).figures(), nil
	},
	derive: stages.derive,
}

func (f stageFigures) figures() map[string]float64 {
	all := float64(max(1, f.all))
	return map[string]float64{
		"on time":         float64(f.onTime) / all,
		"served":          float64(f.served) / all,
		"refused":         float64(f.refused) / all,
		"refused after s": f.refusedAfter.Seconds() / float64(max(1, f.refused)),
		"pieces a call":   float64(f.produced) / float64(max(1, f.calls-f.turnedAway)),
		"turned away":     float64(f.turnedAway) / float64(max(1, f.calls)),
		"work wasted":     1 - float64(f.used)/float64(max(1, f.produced)),
	}
}
