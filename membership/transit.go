package membership

import "time"

// ProcessTime is a time by the clock of one process. It is not comparable with that of
// another process.
type ProcessTime struct {
	// Started identifies the process: it is its start in Unix milliseconds by its own clock,
	// 0 when it is not known.
	Started int64
	// Elapsed is the time since the start by a monotonic clock.
	Elapsed time.Duration
}

// maxClockDrift is by how much two monotonic clocks may diverge in each second.
const maxClockDrift = time.Millisecond

// transitEstimator estimates how long the messages of one process wait on their way, for
// example behind other data on a slow link: the delay beyond that of the fastest message.
// Clocks need not be synchronised, because it compares only differences of times of the same
// clock. The zero value is ready to use.
type transitEstimator struct {
	started int64
	// reference is when the first message of the process arrived, referenceSent its Elapsed.
	reference     time.Time
	referenceSent time.Duration
	// fastest is the least delay of a message relative to that of the first one, as of
	// fastestAt.
	fastest   time.Duration
	fastestAt time.Time
}

// observe returns how long a message that arrives now has waited, 0 when it does not say when
// it was sent and for the first message of a process.
func (t *transitEstimator) observe(now time.Time, sent ProcessTime) time.Duration {
	if sent.Started == 0 {
		return 0
	}
	if sent.Started != t.started {
		*t = transitEstimator{started: sent.Started, reference: now, referenceSent: sent.Elapsed, fastestAt: now}
	}
	delay := now.Sub(t.reference) - (sent.Elapsed - t.referenceSent)
	drift := time.Duration(now.Sub(t.fastestAt).Seconds() * float64(maxClockDrift))
	t.fastest, t.fastestAt = min(delay, t.fastest+drift), now
	return delay - t.fastest
}
