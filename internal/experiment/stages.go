package experiment

import (
	"fmt"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

const (
	stageRequestsPerSecond = 12
	// stageArrivalPeriod is the time during which requests arrive.
	stageArrivalPeriod = 24 * time.Second
	// policyHeldToEvent frees results only at the first event of the model server.
	policyHeldToEvent = "held to the event"
)

// sharedQueuePolicy returns the policy of this system: all instances share one queue.
func sharedQueuePolicy() stagePolicy {
	var fetch stagework.FetchEstimator
	return stagePolicy{queues: 1, resultHoldTime: fetch.Duration(stageProfile, maxPieces*stageResultBytes)}
}

// stages sends many requests with a few pieces each to stage servers that reach their
// capacity only with full calls. The load includes a burst at three times the rate.
var stages = scenario{
	// policyHeldToEvent differs from PolicyColtsfootdrift only in when results are
	// freed.
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
		return simulateStages(p, stageArrivals(stageRequestsPerSecond, stageArrivalPeriod, seed)).figures(), nil
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

// admission uses the same burst, in which some requests can't be on time. It compares
// which requests wait, which are refused, and when.
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
				// With times this late the queue regards every job as on time, so
				// that only the order of arrival counts.
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
		return simulateStages(p, stageArrivals(stageRequestsPerSecond, stageArrivalPeriod, seed)).figures(), nil
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
		"pieces a call":   float64(f.producedResults) / float64(max(1, f.calls-f.refusedCalls)),
		"turned away":     float64(f.refusedCalls) / float64(max(1, f.calls)),
		"work wasted":     1 - float64(f.usedResults)/float64(max(1, f.producedResults)),
	}
}
