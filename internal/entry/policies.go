package entry

import (
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

// StageBudgets divides what is left of a deadline among stages.
type StageBudgets interface {
	// StageBudget returns the time one call of a stage of the request's pipeline may
	// take, given what is left of the deadline.
	StageBudget(request *Request, stage int, remaining time.Duration) time.Duration
}

// Hedges decides on second calls for idempotent requests.
type HedgePolicy interface {
	// Delay returns how long to wait for an answer before a hedge, or false when
	// the call is not hedged.
	Delay(query Query) (time.Duration, bool)
	// Allow takes one hedge from the budget. It is asked after the delay.
	Allow(query Query) bool
}

// Retries is the retry budget of the instance.
type RetryBudget interface {
	// Request counts the first attempt of a stage.
	CountRequest()
	// Allow takes one retry or resume from the budget.
	Allow() bool
}

// generateWeight is the default share of a generate stage relative to another
// stage, since generation takes most of a request's time.
const generateWeight = 4

// weightedBudgets is the default of StageBudgets: shares by stage type among
// this stage and those after it in the file.
type weightedBudgets struct{}

func (weightedBudgets) StageBudget(request *Request, stage int, remaining time.Duration) time.Duration {
	var total time.Duration
	for _, later := range request.Pipeline.Stages[stage:] {
		total += stageWeight(later)
	}
	// Dividing first cannot overflow.
	return remaining / total * stageWeight(request.Pipeline.Stages[stage])
}

func stageWeight(stage pipeline.Stage) time.Duration {
	if stage.Type == pipeline.StageGenerate {
		return generateWeight
	}
	return 1
}

// noHedges is the default of Hedges.
type neverHedge struct{}

func (neverHedge) Delay(Query) (time.Duration, bool) { return 0, false }
func (neverHedge) Allow(Query) bool                  { return false }

// lockedRetries guards a retry budget by a mutex and gives it the time.
type lockedRetryBudget struct {
	mu     sync.Mutex
	budget *routing.RetryBudget
	now    func() time.Time
}

func newRetryBudget(now func() time.Time) *lockedRetryBudget {
	return &lockedRetryBudget{budget: routing.NewRetryBudget(routing.DefaultRetryBudget, now()), now: now}
}

func (r *lockedRetryBudget) CountRequest() {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Request(now)
}

func (r *lockedRetryBudget) Allow() bool {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Allow(now)
}
