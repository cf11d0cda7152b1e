package stagework

import "time"

// drainWindow is the time over which the rate of started pieces is measured.
const drainWindow = time.Second

// drainMeter measures how many pieces a queue starts per second. While memory for results is
// short, the profile of the servers says little about that. The zero value is ready to use.
type drainMeter struct {
	windowStart       time.Time
	current, previous int
}

// record counts started pieces.
func (m *drainMeter) record(now time.Time, pieces int) {
	m.advance(now)
	m.current += pieces
}

// perSecond returns the rate over the last one to two windows; 0 when it is unknown.
func (m *drainMeter) perSecond(now time.Time) float64 {
	m.advance(now)
	if m.previous == 0 {
		return 0
	}
	return float64(m.previous+m.current) / (drainWindow + now.Sub(m.windowStart)).Seconds()
}

func (m *drainMeter) advance(now time.Time) {
	switch elapsed := now.Sub(m.windowStart); {
	case elapsed >= 2*drainWindow:
		m.windowStart, m.previous, m.current = now, 0, 0
	case elapsed >= drainWindow:
		m.windowStart, m.previous, m.current = m.windowStart.Add(drainWindow), m.current, 0
	}
}

// limitToDrain returns the capacity of all servers in full calls per second, at most the
// measured one while memory for results is short.
func (q *Queue) limitToDrain(capacity float64, now time.Time) float64 {
	if !q.priorityOrder || !q.RoomShort(now) {
		return capacity
	}
	if measured := q.drain.perSecond(now) / float64(q.profile.Batch); measured > 0 {
		return min(capacity, measured)
	}
	return capacity
}

// leastLateShare is the share of the capacity that is assumed for jobs that can't be on time
// when fewer of their pieces were started.
const leastLateShare = 0.05

// shortageGrowth is how much longer a shortage is expected to last, relative to the time that
// it has lasted. Above it, requests are refused that could be served after a burst; below it,
// they wait in vain while it goes on.
const shortageGrowth = 0.25

// lateWait returns how long a new piece waits that can't be on time. Jobs that arrive later
// and can be on time overtake it, so it depends on the rate at which such pieces were started.
func (q *Queue) lateWait(now time.Time) time.Duration {
	onTime, late := 0, 0
	for _, j := range q.jobsByRank {
		if q.missesDue(j, now) {
			late += len(j.waiting)
		} else {
			onTime += len(j.waiting)
		}
	}
	return q.waitOfLate(now, onTime+late, late)
}

// waitOfLate returns how long a piece waits that can't be on time, behind the given numbers of
// pieces in all and of such pieces.
func (q *Queue) waitOfLate(now time.Time, ahead, late int) time.Duration {
	wait := q.waitBehind(now, ahead)
	if late < q.profile.Batch || !q.Short(now) {
		return wait
	}
	capacity := 0.0
	for _, s := range q.servers {
		if s.inUse {
			capacity += q.callsPerSecond(s) * float64(q.profile.Batch)
		}
	}
	if capacity == 0 {
		return wait
	}
	rate := max(q.lateDrain.perSecond(now), leastLateShare*capacity)
	lasts := shortageGrowth * now.Sub(q.shortSince).Seconds()
	during := float64(late) / rate
	if during > lasts {
		during = lasts + (float64(late)-lasts*rate)/capacity
	}
	return max(wait, time.Duration(during*float64(time.Second)))
}

// recordDrain counts the pieces of a call that starts.
func (q *Queue) recordDrain(c *call, now time.Time) {
	q.drain.record(now, len(c.Items))
	if !q.priorityOrder {
		return
	}
	late := 0
	for _, item := range c.Items {
		if q.missesDue(q.jobs[item.Job], now) {
			late++
		}
	}
	q.lateDrain.record(now, late)
}
