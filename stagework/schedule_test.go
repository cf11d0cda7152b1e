package stagework

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

// besideAChain has large results of stage 0 that the model server takes together with
// those at the end of the chain 1, 2, 3.
func besideAChain(counts ...int) *StageSchedule {
	p := NewStageSchedule([][]int{nil, nil, {1}, {2}}, counts)
	p.SetTypicalDurations([]time.Duration{300 * ms, 300 * ms, 400 * ms, 400 * ms})
	return p
}

// Guards against large results that wait for a longer chain of stages and take the
// memory that other requests need.
func TestStagesBesideALongerChainStartLate(t *testing.T) {
	c := qt.New(t)
	p := besideAChain(2, 1, 6, 10)
	c.Assert(p.StartDelay(1, epoch), qt.Equals, time.Duration(0))
	c.Assert(p.StartDelay(0, epoch), qt.Equals, 800*ms-startMargin)
	p.MarkStarted(1, epoch)
	c.Assert(p.StartDelay(0, epoch.Add(200*ms)), qt.Equals, 600*ms-startMargin)
	p.MarkEnded(1)
	p.MarkStarted(2, epoch.Add(250*ms))
	c.Assert(p.StartDelay(0, epoch.Add(250*ms)), qt.Equals, 500*ms-startMargin)
	// The chain is faster than usual.
	p.MarkEnded(2)
	c.Assert(p.StartDelay(0, epoch.Add(300*ms)), qt.Equals, time.Duration(0))
}

// Guards against a chain that waits for a stage which takes long now.
func TestSlowStagesBesideAChainStartAtOnce(t *testing.T) {
	c := qt.New(t)
	p := besideAChain(2, 1, 6, 10)
	p.SetTypicalDurations([]time.Duration{1200 * ms, 300 * ms, 400 * ms, 400 * ms})
	c.Assert(p.StartDelay(0, epoch), qt.Equals, time.Duration(0))
	c.Assert(p.StartDelay(1, epoch), qt.Equals, time.Duration(0))
}

// Guards against a wait for stages that the request skips, and against inputs that
// wait.
func TestSkippedStagesAreNotWaitedFor(t *testing.T) {
	c := qt.New(t)
	p := besideAChain(2, 0, 0, 0)
	c.Assert(p.StartDelay(0, epoch), qt.Equals, time.Duration(0))
	c.Assert(p.Tail(0), qt.Equals, time.Duration(0))
	p = NewStageSchedule([][]int{nil, {0}, nil}, []int{1, 1, 1})
	p.SetTypicalDurations([]time.Duration{ms, ms, time.Second})
	c.Assert(p.StartDelay(1, epoch), qt.Equals, time.Duration(0))
	c.Assert(p.AnyEnded(), qt.IsFalse)
	p.MarkEnded(0)
	c.Assert(p.AnyEnded(), qt.IsTrue)
}
