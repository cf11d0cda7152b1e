package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Executor runs requests through the stages of their pipelines. NewExecutor
// sets the fields that have defaults.
type Executor struct {
	Caller  backend.Caller
	Picker  Picker
	Budgets StageBudgets
	Hedges  Hedges
	Retries Retries
	Metrics *RequestMetrics
	Logger  *slog.Logger
	Now     func() time.Time
}

// NewExecutor returns an executor with default budgets, no hedges, and neither
// metrics nor log lines.
func NewExecutor(caller backend.Caller, picker Picker, now func() time.Time) *Executor {
	return &Executor{
		Caller:  caller,
		Picker:  picker,
		Budgets: weightedBudgets{},
		Hedges:  noHedges{},
		Retries: newRetries(now),
		Metrics: discardMetrics(),
		Logger:  slog.New(slog.DiscardHandler),
		Now:     now,
	}
}

// Options are the parts of an execution that differ between callers.
type Options struct {
	// Claim is the right to run the request once; nil for an idempotent kind.
	Claim Claim
	// Emit receives the pieces of the last stage's answer as they arrive; nil when
	// the answer is wanted whole.
	Emit func([]byte) error
	// Results holds stage results of an earlier execution; these stages do not
	// run again.
	Results map[string]json.RawMessage
	// StageDone is called with the result of each finished stage; an error ends
	// the execution. It may be called by several goroutines; nil for none.
	StageDone func(ctx context.Context, stage string, result json.RawMessage) error
}

// Result is what became of an execution.
type Result struct {
	Outcome Outcome
	// Answer is the whole answer; nil when it was emitted and no claim records it.
	Answer json.RawMessage
	// Problem is the answer for the caller unless the outcome is completed.
	Problem *Problem
}

// execution is the state of one running request.
type execution struct {
	*Executor
	request *Request
	options Options
	// last is the index of the stage whose result is the answer.
	last int
	// maybeRan counts attempts that may have run, onceMaybeRan those of once stages.
	maybeRan, onceMaybeRan atomic.Int32

	// mu guards the fields below.
	mu sync.Mutex
	// results holds the output of each finished stage by stage name.
	results map[string]json.RawMessage
	// detached is true once the departure of the caller no longer ends the
	// execution, because a once call was sent.
	detached bool
	// stopWatching ends the watch for the caller's departure; it returns false
	// when the caller has gone.
	stopWatching func() bool
}

// Execute runs all stages until the deadline. The end of parent cancels the
// execution unless a once call was sent: its outcome must be recorded.
func (e *Executor) Execute(parent context.Context, request *Request, options Options) Result {
	order, err := request.Pipeline.TopologicalOrder()
	if err != nil {
		return failedResult(notRun(500, ProblemInvalid, "invalid pipeline", err.Error()))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(parent), request.Deadline.Sub(e.Now()))
	defer cancel()
	x := &execution{
		Executor: e, request: request, options: options,
		last:    order[len(order)-1],
		results: make(map[string]json.RawMessage, len(order)),
	}
	x.stopWatching = context.AfterFunc(parent, cancel)
	defer x.stopWatching()
	if err := x.runAll(ctx, order); err != nil {
		return failedResult(x.problem(ctx, err))
	}
	return Result{Outcome: OutcomeCompleted, Answer: x.results[request.Pipeline.Stages[x.last].Name]}
}

func failedResult(problem *Problem) Result {
	return Result{Outcome: problem.Outcome, Problem: problem}
}

// runAll runs a chain of stages in this goroutine, and other pipelines with one
// goroutine per stage.
func (x *execution) runAll(ctx context.Context, order []int) error {
	if !isChain(x.request.Pipeline, order) {
		return x.runGraph(ctx, order)
	}
	for _, index := range order {
		if err := x.stage(ctx, index); err != nil {
			return err
		}
	}
	return nil
}

// isChain reports whether each stage reads the result of the one before it, so
// that no two stages can run in parallel.
func isChain(p *pipeline.Pipeline, order []int) bool {
	for i := 1; i < len(order); i++ {
		if !slices.Contains(p.Predecessors(order[i]), p.Stages[order[i-1]].Name) {
			return false
		}
	}
	return true
}

// runGraph starts each stage when its predecessors are done.
func (x *execution) runGraph(ctx context.Context, order []int) error {
	group, ctx := errgroup.WithContext(ctx)
	done := make(map[string]chan struct{}, len(order))
	for _, stage := range x.request.Pipeline.Stages {
		done[stage.Name] = make(chan struct{})
	}
	for _, index := range order {
		group.Go(func() error {
			for _, name := range x.request.Pipeline.Predecessors(index) {
				select {
				case <-done[name]:
				case <-ctx.Done():
					return context.Cause(ctx)
				}
			}
			if err := x.stage(ctx, index); err != nil {
				return err
			}
			close(done[x.request.Pipeline.Stages[index].Name])
			return nil
		})
	}
	return group.Wait()
}

// stage runs one stage, or takes its result from an earlier execution.
func (x *execution) stage(ctx context.Context, index int) error {
	stage := &x.request.Pipeline.Stages[index]
	if result, ok := x.options.Results[stage.Name]; ok {
		return x.reuse(ctx, index, result)
	}
	input, err := x.input(index)
	if err != nil {
		return &stageError{stage: stage.Name, err: err}
	}
	call := &stageCall{execution: x, index: index, stage: stage, input: input}
	if index == x.last {
		call.emit = x.options.Emit
	}
	started := x.Now()
	result, err := call.run(ctx)
	x.Metrics.stage(stage, x.Now().Sub(started), err)
	if err != nil {
		return &stageError{stage: stage.Name, err: err}
	}
	x.keep(stage.Name, result)
	if x.options.StageDone == nil {
		return nil
	}
	return x.options.StageDone(ctx, stage.Name, result)
}

func (x *execution) reuse(ctx context.Context, index int, result json.RawMessage) error {
	x.maybeRan.Add(1)
	if x.request.Pipeline.Stages[index].Once {
		x.onceMaybeRan.Add(1)
	}
	x.keep(x.request.Pipeline.Stages[index].Name, result)
	if index != x.last || x.options.Emit == nil {
		return nil
	}
	return x.options.Emit(asText(result))
}

func (x *execution) keep(stage string, result json.RawMessage) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.results[stage] = result
}

// input returns the caller's body for a first stage, and an object of the
// predecessors' results for the others.
func (x *execution) input(index int) (json.RawMessage, error) {
	predecessors := x.request.Pipeline.Predecessors(index)
	if len(predecessors) == 0 {
		return x.request.Body, nil
	}
	inputs := make(map[string]json.RawMessage, len(predecessors)+1)
	inputs["request"] = x.request.Body
	x.mu.Lock()
	for _, name := range predecessors {
		inputs[name] = x.results[name]
	}
	x.mu.Unlock()
	return json.Marshal(inputs)
}

// detach makes the execution outlive its caller, and returns false when the
// caller has already gone.
func (x *execution) detach() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.detached {
		x.detached = x.stopWatching()
	}
	return x.detached
}

func (x *execution) isDetached() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.detached
}
