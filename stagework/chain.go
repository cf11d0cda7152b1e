package stagework

import "time"

// Waits are the expected waits in the queue of a service.
type Waits struct {
	// All is the wait of a new piece behind all waiting ones.
	All time.Duration
	// Levels is the wait of a new piece that can be on time, for each priority. The last
	// entry is for all lower priorities. It is empty unless the queue orders by priority.
	Levels []time.Duration
	// Late is the wait of a new piece that can't be on time.
	Late time.Duration
	// Call is the expected duration of the next call.
	Call time.Duration
}

// OnTime returns the expected wait of a job of a priority that can end by its due time.
func (w Waits) OnTime(priority int) time.Duration {
	if len(w.Levels) == 0 {
		return w.All
	}
	return w.Levels[min(max(0, priority), len(w.Levels)-1)]
}

// ChainStage is one stage of a chain.
type ChainStage struct {
	// Omitted is true when the request doesn't need the stage.
	Omitted bool
	// After lists the stages whose results it needs.
	After []int
	// Waits are the newest known waits of its service, Call is the duration of one call.
	Waits Waits
	Call  time.Duration
	// InputLife is how long its inputs are kept; 0 when it is unlimited.
	InputLife time.Duration
}

// ChainRequest is a request for which no stage has begun.
type ChainRequest struct {
	Priority int
	// Due is when the last stage should end, Deadline when it must end.
	Due      time.Time
	Deadline time.Time
	Stages   []ChainStage
}

// ChainDecision says whether the first stage of a request should begin.
type ChainDecision struct {
	// Excess is how much later than its deadline, and PastDue how much later than its due
	// time, the chain is expected to end; 0 when it ends by then.
	Excess  time.Duration
	PastDue time.Duration
	// Hold is how long the first stage should be held back, because a later one would wait
	// until its inputs are gone.
	Hold time.Duration
	// Waiting is the part of the expected time that the request waits in queues.
	Waiting time.Duration
}

// DecideChain estimates when the last stage of a request ends if its first one begins now.
// A request that can't be on time waits behind all that can.
func DecideChain(now time.Time, r ChainRequest) ChainDecision {
	d := r.estimate(now, func(w Waits) time.Duration { return w.OnTime(r.Priority) })
	if d.PastDue > 0 {
		return r.estimate(now, func(w Waits) time.Duration { return max(w.All, w.Late) })
	}
	return d
}

// estimate follows the stages with the given waits.
func (r ChainRequest) estimate(now time.Time, waitIn func(Waits) time.Duration) ChainDecision {
	ends := make([]time.Duration, len(r.Stages))
	waited := make([]time.Duration, len(r.Stages))
	var d ChainDecision
	var last time.Duration
	// Routes list stages in any order, so one pass for each stage finds the longest path.
	for range r.Stages {
		for i, stage := range r.Stages {
			if stage.Omitted {
				continue
			}
			var ready, before time.Duration
			for _, j := range stage.After {
				if ends[j] > ready {
					ready, before = ends[j], waited[j]
				}
			}
			wait := waitIn(stage.Waits)
			if len(stage.After) > 0 && stage.InputLife > 0 {
				d.Hold = max(d.Hold, wait-stage.InputLife/2)
			}
			ends[i], waited[i] = ready+wait+stage.Call, before+wait
			if ends[i] > last {
				last, d.Waiting = ends[i], waited[i]
			}
		}
	}
	d.Excess = max(0, now.Add(last).Sub(r.Deadline))
	d.PastDue = max(0, now.Add(last).Sub(r.Due))
	return d
}
