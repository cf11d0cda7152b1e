package stagework

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a panic for a priority below 0, which a configuration may hold.
func TestWaitsCountNegativePriorityAsTheFirst(t *testing.T) {
	c := qt.New(t)
	q := newPriorityQueue(c, 5, 2*time.Second)
	first := newJob(2000, profile.Batch)
	first.Priority, first.Due, first.Deadline = -1, epoch.Add(2*time.Second), epoch.Add(time.Minute)
	offer(c, q, first)
	before := q.Waits(epoch).OnTime(0)
	q.jobs[2000].Priority = maxRankedPriority
	c.Assert(before > q.Waits(epoch).OnTime(0), qt.IsTrue)
}
