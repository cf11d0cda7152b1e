package stagework

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func chainOf(priority int, deadline time.Duration) ChainRequest {
	short := Waits{All: 2 * time.Second, Levels: []time.Duration{100 * time.Millisecond, time.Second}, Call: 300 * time.Millisecond}
	return ChainRequest{
		Priority: priority, Due: epoch.Add(1200 * time.Millisecond), Deadline: epoch.Add(deadline),
		Stages: []ChainStage{{Call: 300 * time.Millisecond}, {After: []int{0}, Waits: short, Call: 300 * time.Millisecond}, {Omitted: true, Call: time.Hour}},
	}
}

// Guards against a request that begins its first stage although a later one is short of
// capacity, and against a wait of less urgent requests that counts for an urgent one.
func TestChainIsJudgedByAllItsStages(t *testing.T) {
	c := qt.New(t)
	c.Assert(DecideChain(epoch, chainOf(0, 2*time.Second)), qt.Equals, ChainDecision{Waiting: 100 * time.Millisecond})
	late := DecideChain(epoch, chainOf(1, 2*time.Second))
	c.Assert(late, qt.Equals, ChainDecision{Excess: 600 * time.Millisecond, PastDue: 1400 * time.Millisecond, Waiting: 2 * time.Second})
	c.Assert(DecideChain(epoch, chainOf(1, 3*time.Second)).Excess, qt.Equals, time.Duration(0))
}

// Guards against callers that return all at once, before capacity is free, or for nothing.
func TestReturnsAreSpread(t *testing.T) {
	c := qt.New(t)
	d := ChainDecision{Excess: 600 * time.Millisecond, Waiting: 2 * time.Second}
	c.Assert(d.ReturnAfter(3*time.Second, 0), qt.Equals, Return{After: 600 * time.Millisecond})
	c.Assert(d.ReturnAfter(3*time.Second, 0.5), qt.Equals, Return{After: 800 * time.Millisecond})
	c.Assert(d.ReturnAfter(9*time.Second, 0.5), qt.Equals, Return{After: 1600 * time.Millisecond})
	c.Assert(d.ReturnAfter(time.Second, 0.5).Hopeless, qt.IsTrue)
}

// Guards against a first stage whose results are gone before a later one fetches them.
func TestChainIsHeldWhileItsInputsWouldBeLost(t *testing.T) {
	c := qt.New(t)
	request := chainOf(1, 5*time.Second)
	request.Stages[1].InputLife = 3 * time.Second
	c.Assert(DecideChain(epoch, request).Hold, qt.Equals, 500*time.Millisecond)
	request.Stages[1].InputLife = 5 * time.Second
	c.Assert(DecideChain(epoch, request).Hold, qt.Equals, time.Duration(0))
}
