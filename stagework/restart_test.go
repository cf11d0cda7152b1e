package stagework

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// restartServer replaces the only server of a queue by its next incarnation.
func restartServer(q *Queue) {
	q.SetServers([]Server{{ID: "s0", FailureDomain: "a", Incarnation: 1}})
}

// Guards against memory of a restarted server that counts as occupied by results that were
// lost with the restart, and against results that are handed out as if they still existed.
func TestARestartLosesResults(t *testing.T) {
	c := qt.New(t)
	for _, callEndsFirst := range []bool{true, false} {
		q := newQueue("a")
		heavy := newJob(1, 8)
		heavy.ResultBytes = 1_500_000
		offer(c, q, heavy)
		call, _ := q.Next(epoch)
		now := epoch.Add(400 * time.Millisecond)
		var e Effects
		if callEndsFirst {
			e = q.Finished(now, call.ID, producedOutcomes(call))
			c.Assert(e.Done[0].Results[0].Producer, qt.Equals, Producer{Server: "s0"})
			restartServer(q)
			offer(c, q, newJob(2, 8))
		} else {
			restartServer(q)
			e = q.Finished(now, call.ID, producedOutcomes(call))
			c.Assert(e.Done, qt.HasLen, 0)
		}
		c.Assert(e.Orphans, qt.HasLen, 0)
		next, ok := q.Next(now)
		c.Assert(ok, qt.IsTrue, qt.Commentf("the memory of the new incarnation is free"))
		c.Assert(next.Items, qt.HasLen, 8)
		c.Assert(next.Incarnation, qt.Equals, int64(1))
		done := q.Finished(now, next.ID, producedOutcomes(next)).Done
		c.Assert(done, qt.HasLen, 1)
		c.Assert(done[0].Results[0].Producer, qt.Equals, Producer{Server: "s0", Incarnation: 1})
	}
}

// Guards against a second call to a server with one slot while a call of its earlier
// incarnation has not ended, and against a count of calls that falls below 0 when it does.
func TestARestartFreesSlots(t *testing.T) {
	c := qt.New(t)
	q := newQueue("a")
	offer(c, q, newJob(1, 16))
	old, _ := q.Next(epoch)
	restartServer(q)
	_, ok := q.Next(epoch)
	c.Assert(ok, qt.IsTrue)
	q.Finished(epoch, old.ID, sameOutcomes(old, Failed))
	_, ok = q.Next(epoch)
	c.Assert(ok, qt.IsFalse, qt.Commentf("the slot of the new incarnation is in use"))
}
