package experiment

import (
	"fmt"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

const (
	// stageRate is in requests per second.
	stageRequestRate  = 12
	stageArrivalTime  = 24 * time.Second
	policyHeldToEvent = "held to the event"
)

// sharedStages is the system's own policy.
func sharedQueuePolicy() stagePolicy {
	var fetch stagework.FetchEstimator
	return stagePolicy{queues: 1, resultHoldTime: fetch.Duration(stageProfile, maxPieces*stageResultBytes)}
}

// Many requests with a few pieces each share stage servers whose capacity exists only
// in full calls, through a burst of three times the rate.
var stages = scenario{
	// The second policy differs from the own one only in when results are freed.
	policies: []string{PolicyColtsfootdrift, policyHeldToEvent, "instance alone", "call a request"},
	figures:  []string{"on time", "served", "pieces a call", "turned away"},
	goals:    []Goal{{Figure: "on time to best", AtLeast: true, Bound: 1.1}},
	trial: func(policy string, seed uint64) (map[string]float64, error) {
		p := sharedQueuePolicy()
		switch policy {
		case PolicyColtsfootdrift:
		case policyHeldToEvent:
			p.resultHoldTime = firstEventDelay
		case "instance alone":
			p.queues = stageInstances
		case "call a request":
			p.callPerRequest = true
		default:
			return nil, fmt.Errorf("policy %q does not exist", policy)
		}
		return simulateStages(p, stageArrivals(stageRequestRate, stageArrivalTime, seed)).figures(), nil
	},
	derive: func(byPolicy map[string]map[string]float64) {
		best := 0.0
		for policy, figures := range byPolicy {
			if policy != PolicyColtsfootdrift && policy != policyHeldToEvent {
				best = max(best, figures["on time"])
			}
		}
		byPolicy[PolicyColtsfootdrift]["on time to best"] = byPolicy[PolicyColtsfootdrift]["on time"] / best
	},
}

// The same burst, in which some requests can't be on time: who waits, who is refused,
// and when.
var admission = scenario{
	policies: []string{PolicyColtsfootdrift, "first come", "by due time"},
	figures:  []string{"on time", "served", "refused", "refused after s", "work wasted"},
	goals:    []Goal{{Figure: "on time to best", AtLeast: true, Bound: 1}},
	trial: func(policy string, seed uint64) (map[string]float64, error) {
		p := sharedQueuePolicy()
		switch policy {
		case PolicyColtsfootdrift:
		case "first come":
			p.adjustJob = func(j stagework.Job, now time.Time) stagework.Job {
				// All seem to be in time, so that only their order counts.
				j.Due, j.Deadline = now.Add(time.Hour), now.Add(2*time.Hour)
				return j
			}
		case "by due time":
			p.adjustJob = func(j stagework.Job, _ time.Time) stagework.Job {
				j.Due = j.Due.Add(time.Hour)
				j.Started = true
				return j
			}
		default:
			return nil, fmt.Errorf("policy %q does not exist", policy)
		}
		return simulateStages(p, stageArrivals(stageRequestRate, stageArrivalTime, seed)).figures(), nil
	},
	derive: stages.derive,
}

func (f stageFigures) figures() map[string]float64 {
	all := float64(max(1, f.all))
	return map[string]float64{
		"on time":         float64(f.onTime) / all,
		"served":          float64(f.served) / all,
		"refused":         float64(f.refused) / all,
		"refused after s": f.totalRefusalDelay.Seconds() / float64(max(1, f.refused)),
		"pieces a call":   float64(f.produced) / float64(max(1, f.calls-f.refusedCalls)),
		"turned away":     float64(f.refusedCalls) / float64(max(1, f.calls)),
		"work wasted":     1 - float64(f.used)/float64(max(1, f.produced)),
	}
}
