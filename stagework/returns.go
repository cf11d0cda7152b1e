package stagework

import "time"

// maxReturnShare is the share of the remaining time after which clients return at the
// latest, also when the refusal names a longer time.
const maxReturnShare = 1.0 / 3

// Return is when a refused caller may come back.
type Return struct {
	After time.Duration
	// Hopeless is true when no capacity is expected to be free for the request before the
	// client returns.
	Hopeless bool
}

// ReturnAfter returns when a refused request may come back, with the given time left until
// its deadline. The wait in the queues falls by at most the time that passes, so the
// request fits after its excess at the earliest. Callers are spread from then over the time
// in which the queues serve what waits now; u is uniform in [0, 1).
func (d ChainDecision) ReturnAfter(remaining time.Duration, u float64) Return {
	latest := time.Duration(maxReturnShare * float64(max(0, remaining)))
	if d.Excess > latest {
		return Return{After: d.Excess, Hopeless: true}
	}
	spread := min(d.Waiting, latest-d.Excess)
	return Return{After: d.Excess + time.Duration(u*float64(spread))}
}
