package stagework

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that waits to its deadline although jobs that can be on time take
// all capacity: the pieces before it alone would let it end in time.
func TestLateJobIsRefusedWhileJobsOnTimeTakeAllCapacity(t *testing.T) {
	c := qt.New(t)
	q := newQueue("a")
	q.SetPriorityOrder(true)
	for id := JobID(1); id <= 2; id++ {
		late := newJob(id, profile.Batch)
		late.Due, late.Deadline = epoch, epoch.Add(time.Minute)
		offer(c, q, late)
	}
	now := epoch
	late := newJob(3, 1)
	late.Due = epoch
	q.Expire(now)
	_, ok := q.Offer(now, late)
	c.Assert(ok, qt.IsTrue, qt.Commentf("a shortage that just began"))
	for ; now.Before(epoch.Add(24 * time.Second)); now = now.Add(shortFor / 2) {
		q.Expire(now)
	}
	late.ID, late.Deadline = 4, now.Add(5*time.Second)
	refusal, ok := q.Offer(now, late)
	c.Assert(ok, qt.IsFalse)
	c.Assert(refusal, qt.Equals, RefusedLate)
	onTime := newJob(5, 1)
	onTime.Due, onTime.Deadline = now.Add(time.Second), now.Add(5*time.Second)
	_, ok = q.Offer(now, onTime)
	c.Assert(ok, qt.IsTrue)
	c.Assert(q.Waits(now).Late > 5*time.Second, qt.IsTrue)
	c.Assert(q.Waits(now).OnTime(0) < time.Second, qt.IsTrue)
}

// Guards against waits that follow the profile of the servers while memory for results allows
// fewer calls.
func TestWaitsFollowTheMeasuredRateWhileMemoryIsShort(t *testing.T) {
	c := qt.New(t)
	q := newQueue("a")
	q.SetPriorityOrder(true)
	for at := time.Duration(0); at < 2*time.Second; at += 500 * time.Millisecond {
		q.drain.record(epoch.Add(at), 1)
	}
	now := epoch.Add(2 * time.Second)
	profiled := q.waitBehind(now, 16)
	q.roomShortAt = now
	c.Assert(q.waitBehind(now, 16) > 10*profiled, qt.IsTrue)
	c.Assert(q.waitBehind(now, 16) < 10*time.Second, qt.IsTrue)
}
