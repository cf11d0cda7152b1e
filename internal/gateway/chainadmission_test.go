package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// Guards against a first stage that begins although a later one can't end by the deadline,
// against a refusal by a state that is too old, and against callers that all return at once.
func TestRequestIsRefusedBeforeItsFirstStage(t *testing.T) {
	c := qt.New(t)
	s := NewStageRunner(nil, nil, nil, discardLogger(), tally.NoopScope)
	s.random = func() float64 { return 0.5 }
	table := route.NewTable(route.Configuration{
		Routes: []route.Route{{Name: "r", Stages: []route.Stage{{Service: "a"}, {Service: "b", After: []int{0}}}}},
		Services: []route.Service{
			{Name: "a", StageProfile: &stagework.ServerProfile{Batch: 8, CallTime: 100 * time.Millisecond}},
			{Name: "b", StageProfile: &stagework.ServerProfile{Batch: 8, CallTime: 100 * time.Millisecond}},
		},
	})
	plan := func(left time.Duration) StagePlan {
		return StagePlan{
			Table: table, Route: &table.Routes[0], Graph: route.Graph{Counts: []int{1, 1}, After: [][]int{nil, {0}}},
			Due: time.Now(), Deadline: time.Now().Add(left),
		}
	}
	s.recordQueueState(regionKey{key: "a"}, &peerpb.RunStageResponse{LevelWaitMs: []int64{0}})
	c.Assert(s.admit(context.Background(), plan(5*time.Second)), qt.IsNil)
	s.recordQueueState(regionKey{key: "b"}, &peerpb.RunStageResponse{WaitMs: 6000, LevelWaitMs: []int64{50}})
	c.Assert(s.admit(context.Background(), plan(7*time.Second)), qt.IsNil)
	var refused *RefusedError
	c.Assert(s.admit(context.Background(), plan(5*time.Second)), qt.ErrorAs, &refused)
	c.Assert(refused.AtOnce, qt.IsTrue)
	c.Assert(refused.Wait > 1200*time.Millisecond && refused.Wait < 1700*time.Millisecond, qt.IsTrue, qt.Commentf("%v", refused.Wait))
	c.Assert(refused.Hopeless, qt.IsFalse)
	c.Assert(s.admit(context.Background(), plan(time.Second)), qt.ErrorAs, &refused)
	c.Assert(refused.Hopeless, qt.IsTrue)

	elsewhere := plan(5 * time.Second)
	elsewhere.Regions = map[string]string{"b": "q"}
	c.Assert(s.admit(context.Background(), elsewhere), qt.IsNil, qt.Commentf("the queue of another region is not known"))
	s.recordQueueState(regionKey{"q", "b"}, &peerpb.RunStageResponse{WaitMs: 6000, LevelWaitMs: []int64{50}})
	c.Assert(s.admit(context.Background(), elsewhere), qt.ErrorAs, &refused)

	old := s.queueStates[regionKey{key: "b"}]
	old.reportedAt = time.Now().Add(-queueStateMaxAge)
	s.queueStates[regionKey{key: "b"}] = old
	c.Assert(s.admit(context.Background(), plan(5*time.Second)), qt.IsNil)
}

// Guards against a request that is held back for longer than a later stage is short.
func TestRequestIsHeldUntilALaterStageHasCapacity(t *testing.T) {
	c := qt.New(t)
	s := NewStageRunner(nil, nil, nil, discardLogger(), tally.NoopScope)
	table := route.NewTable(route.Configuration{
		Routes: []route.Route{{Name: "r", Stages: []route.Stage{{Service: "a"}, {Service: "b", After: []int{0}}}}},
		Services: []route.Service{
			{Name: "a", StageProfile: &stagework.ServerProfile{Batch: 8, ResultLife: 4 * time.Second}},
			{Name: "b", StageProfile: &stagework.ServerProfile{Batch: 8}},
		},
	})
	plan := StagePlan{
		Table: table, Route: &table.Routes[0], Graph: route.Graph{Counts: []int{1, 1}, After: [][]int{nil, {0}}},
		Due: time.Now(), Deadline: time.Now().Add(time.Minute),
	}
	s.recordQueueState(regionKey{key: "a"}, &peerpb.RunStageResponse{LevelWaitMs: []int64{0}})
	s.recordQueueState(regionKey{key: "b"}, &peerpb.RunStageResponse{WaitMs: 3000, LevelWaitMs: []int64{50}})
	admitted := make(chan error, 1)
	go func() { admitted <- s.admit(context.Background(), plan) }()
	select {
	case <-admitted:
		c.Fatal("the request was not held")
	case <-time.After(holdInterval / 2):
	}
	s.recordQueueState(regionKey{key: "b"}, &peerpb.RunStageResponse{WaitMs: 500, LevelWaitMs: []int64{50}})
	c.Assert(<-admitted, qt.IsNil)
}
