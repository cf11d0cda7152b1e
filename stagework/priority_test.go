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

// Guards against the refusal of urgent jobs before the call of the least share. They then
// counted as behind all jobs that are due earlier, although only one call goes to such a job.
func TestUrgentJobsAreJudgedByPriorityBeforeTheLeastShare(t *testing.T) {
	c := qt.New(t)
	q := newQueue("a")
	q.SetPriorityOrder(true)
	for id := range JobID(20) {
		other := newJob(id, profile.Batch)
		other.Priority, other.Due, other.Deadline = 1, epoch.Add(4*time.Second), epoch.Add(time.Minute)
		offer(c, q, other)
	}
	q.Expire(epoch)
	c.Assert(q.Short(epoch), qt.IsTrue)
	q.lastCallID = leastShareCalls
	urgent := newJob(100, profile.Batch)
	urgent.Due, urgent.Deadline = epoch.Add(5*time.Second), epoch.Add(6*time.Second)
	offer(c, q, urgent)
	c.Assert(q.Expire(epoch).Done, qt.HasLen, 0)
}

// Guards against jobs that count as late by the duration of a full call after the order by
// priority is switched off.
func TestOrderByDueTimeReturnsWithoutPriorities(t *testing.T) {
	c := qt.New(t)
	q := newPriorityQueue(c, 2, 2*time.Second)
	small := newJob(2000, 1)
	small.Due = epoch.Add(300 * time.Millisecond)
	offer(c, q, small)
	q.WaitingOfFirstJob(epoch)
	c.Assert(q.missesDue(q.jobs[2000], epoch), qt.IsTrue)
	q.SetPriorityOrder(false)
	c.Assert(q.missesDue(q.jobs[2000], epoch), qt.IsFalse)
}
