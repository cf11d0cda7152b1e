package entry

import (
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

// StageBudgets divides the remaining time of a request among its stages.
type StageBudgets interface {
	// StageBudget returns how long one call of a stage may take when remaining is
	// the time left until the deadline. stage is an index into the stages of the
	// request's pipeline.
	StageBudget(request *Request, stage int, remaining time.Duration) time.Duration
}

// HedgePolicy decides on hedges, the second calls of idempotent requests.
type HedgePolicy interface {
	// Delay returns how long to wait for an answer before a hedge, or false when
	// the call is not hedged.
	Delay(query Query) (time.Duration, bool)
	// Allow takes one hedge from the budget, and returns false when the budget is
	// used up. It is called after the delay.
	Allow(query Query) bool
}

// RetryBudget limits the retries of the instance.
type RetryBudget interface {
	// CountRequest counts the first attempt of a stage.
	CountRequest()
	// Allow takes one retry or resume from the budget, and returns false when the
	// budget is used up.
	Allow() bool
}

// generateWeight is the weight of a generate stage in weightedBudgets, where other
// stages have the weight 1, since generation takes most of a request's time.
const generateWeight = 4

// weightedBudgets is the default of StageBudgets. It divides the remaining time by
// weight among a stage and those after it in the pipeline file.
type weightedBudgets struct{}

func (weightedBudgets) StageBudget(request *Request, stage int, remaining time.Duration) time.Duration {
	var total time.Duration
	for _, later := range request.Pipeline.Stages[stage:] {
		total += stageWeight(later)
	}
	// Dividing before multiplying avoids an overflow.
	return remaining / total * stageWeight(request.Pipeline.Stages[stage])
}

func stageWeight(stage pipeline.Stage) time.Duration {
	if stage.Type == pipeline.StageGenerate {
		return generateWeight
	}
	return 1
}

// neverHedge is the default HedgePolicy.
type neverHedge struct{}

func (neverHedge) Delay(Query) (time.Duration, bool) { return 0, false }
func (neverHedge) Allow(Query) bool                  { return false }

// lockedRetryBudget makes a routing.RetryBudget safe for concurrent use, and passes
// it the current time.
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
	r.budget.CountRequest(now)
}

func (r *lockedRetryBudget) Allow() bool {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Allow(now)
}
