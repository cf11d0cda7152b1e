package stagework

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

// parallelToChain returns a schedule in which stage 0 runs in parallel with the chain of
// stages 1, 2 and 3. The model server needs the results of stages 0 and 3.
func parallelToChain(counts ...int) *StageSchedule {
	schedule := NewStageSchedule([][]int{nil, nil, {1}, {2}}, counts)
	schedule.SetTypicalDurations([]time.Duration{300 * ms, 300 * ms, 400 * ms, 400 * ms})
	return schedule
}

// Guards against results that are produced long before a parallel chain of stages ends,
// and meanwhile occupy memory that other requests need.
func TestStagesParallelToALongerChainStartLate(t *testing.T) {
	c := qt.New(t)
	schedule := parallelToChain(2, 1, 6, 10)
	c.Assert(schedule.StartDelay(1, epoch), qt.Equals, time.Duration(0))
	c.Assert(schedule.StartDelay(0, epoch), qt.Equals, 800*ms-startMargin)
	schedule.MarkStarted(1, epoch)
	c.Assert(schedule.StartDelay(0, epoch.Add(200*ms)), qt.Equals, 600*ms-startMargin)
	schedule.MarkEnded(1)
	schedule.MarkStarted(2, epoch.Add(250*ms))
	c.Assert(schedule.StartDelay(0, epoch.Add(250*ms)), qt.Equals, 500*ms-startMargin)
	// The chain is faster than its typical duration.
	schedule.MarkEnded(2)
	c.Assert(schedule.StartDelay(0, epoch.Add(300*ms)), qt.Equals, time.Duration(0))
}

// Guards against a delayed start of a stage that now takes longer than the chain
// parallel to it, so that the chain would wait for it.
func TestSlowStagesParallelToAChainStartAtOnce(t *testing.T) {
	c := qt.New(t)
	schedule := parallelToChain(2, 1, 6, 10)
	schedule.SetTypicalDurations([]time.Duration{1200 * ms, 300 * ms, 400 * ms, 400 * ms})
	c.Assert(schedule.StartDelay(0, epoch), qt.Equals, time.Duration(0))
	c.Assert(schedule.StartDelay(1, epoch), qt.Equals, time.Duration(0))
}

// Guards against a start delay for stages that the request omits, and against one for a
// stage with inputs.
func TestOmittedStagesCauseNoDelay(t *testing.T) {
	c := qt.New(t)
	schedule := parallelToChain(2, 0, 0, 0)
	c.Assert(schedule.StartDelay(0, epoch), qt.Equals, time.Duration(0))
	c.Assert(schedule.Tail(0), qt.Equals, time.Duration(0))
	schedule = NewStageSchedule([][]int{nil, {0}, nil}, []int{1, 1, 1})
	schedule.SetTypicalDurations([]time.Duration{ms, ms, time.Second})
	c.Assert(schedule.StartDelay(1, epoch), qt.Equals, time.Duration(0))
	c.Assert(schedule.AnyEnded(), qt.IsFalse)
	schedule.MarkEnded(0)
	c.Assert(schedule.AnyEnded(), qt.IsTrue)
}
