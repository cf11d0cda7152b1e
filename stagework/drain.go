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
