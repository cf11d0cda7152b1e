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
	"github.com/coltsfootdrift/coltsfootdrift/internal/tcpprobe"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Executor runs requests through the stages of their pipelines. NewExecutor
// sets the fields that have defaults.
type Executor struct {
	Caller  backend.Caller
	Picker  Picker
	Budgets StageBudgets
	Hedges  HedgePolicy
	Retries RetryBudget
	Metrics *RequestMetrics
	Logger  *slog.Logger
	Now     func() time.Time
	// ServerEnded reports whether a server's process has ended.
	ServerEnded func(context.Context, backend.Server) bool
}

// NewExecutor returns an executor with default stage and retry budgets, without
// hedging, and with metrics and logs discarded.
func NewExecutor(caller backend.Caller, picker Picker, now func() time.Time) *Executor {
	return &Executor{
		Caller:  caller,
		Picker:  picker,
		Budgets: weightedBudgets{},
		Hedges:  neverHedge{},
		Retries: newRetryBudget(now),
		Metrics: discardMetrics(),
		Logger:  slog.New(slog.DiscardHandler),
		Now:     now,
		ServerEnded: func(ctx context.Context, server backend.Server) bool {
			return tcpprobe.Refused(ctx, server.Address)
		},
	}
}

// ExecutionOptions are the parameters of one execution.
type ExecutionOptions struct {
	// Claim grants the right to run the request once; nil for an idempotent kind.
	Claim Claim
	// Emit receives the chunks of the last stage's answer as they arrive. If it is
	// nil, the complete answer is returned.
	Emit func([]byte) error
	// Results holds stage results of an earlier execution by stage name; these
	// stages do not run again.
	Results map[string]json.RawMessage
	// StageDone is called with the result of each finished stage; an error ends
	// the execution. It may be called concurrently, and may be nil.
	StageDone func(ctx context.Context, stage string, result json.RawMessage) error
}

// Result is the result of an execution.
type Result struct {
	Outcome Outcome
	// Answer is the complete answer; nil when it was emitted and no claim records
	// it.
	Answer json.RawMessage
	// Problem is the error answer for the caller; nil when the outcome is completed.
	Problem *Problem
	// ServersEnded is true when backend servers ended under the request until it was given
	// up for that.
	ServersEnded bool
}

// execution is the state of one running request.
type execution struct {
	*Executor
	request *Request
	options ExecutionOptions
	// last is the index of the stage whose result is the answer.
	last int
	// maybeRan counts the attempts that may have run, and onceMaybeRan those of
	// non-idempotent stages (pipeline.Stage.Once) among them.
	maybeRan, onceMaybeRan atomic.Int32
	// endedServers counts the servers that ended under the request.
	endedServers atomic.Int32

	// mu guards the fields below.
	mu sync.Mutex
	// results holds the output of each finished stage by stage name.
	results map[string]json.RawMessage
	// detached is true once a disconnect of the caller no longer cancels the
	// execution, because a non-idempotent call was sent.
	detached bool
	// stopParentCancel keeps a disconnect of the caller from cancelling the
	// execution. It returns false when the caller has already disconnected.
	stopParentCancel func() bool
}

// Execute runs all stages until the deadline. When parent ends, the execution is
// cancelled unless a non-idempotent call was sent, whose outcome must be recorded.
func (e *Executor) Execute(parent context.Context, request *Request, options ExecutionOptions) Result {
	order, err := request.Pipeline.TopologicalOrder()
	if err != nil {
		return failedResult(notRunProblem(500, ProblemInvalid, "invalid pipeline", err.Error()))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(parent), request.Deadline.Sub(e.Now()))
	defer cancel()
	x := &execution{
		Executor: e, request: request, options: options,
		last:    order[len(order)-1],
		results: make(map[string]json.RawMessage, len(order)),
	}
	x.stopParentCancel = context.AfterFunc(parent, cancel)
	defer x.stopParentCancel()
	if err := x.runStages(ctx, order); err != nil {
		result := failedResult(x.problem(ctx, err))
		result.ServersEnded = x.endedServers.Load() >= maxEndedServers
		return result
	}
	return Result{Outcome: OutcomeCompleted, Answer: x.results[request.Pipeline.Stages[x.last].Name]}
}

func failedResult(problem *Problem) Result {
	return Result{Outcome: problem.Outcome, Problem: problem}
}

// runStages runs a chain of stages in the calling goroutine, and the stages of
// other pipelines in one goroutine each.
func (x *execution) runStages(ctx context.Context, order []int) error {
	if !isChain(x.request.Pipeline, order) {
		return x.runGraph(ctx, order)
	}
	for _, index := range order {
		if err := x.runStage(ctx, index); err != nil {
			return err
		}
	}
	return nil
}

// isChain reports whether each stage depends on the one before it, so that no two
// stages can run in parallel.
func isChain(p *pipeline.Pipeline, order []int) bool {
	for i := 1; i < len(order); i++ {
		if !slices.Contains(p.Predecessors(order[i]), p.Stages[order[i-1]].Name) {
			return false
		}
	}
	return true
}

// runGraph starts each stage when its predecessors have finished.
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
			if err := x.runStage(ctx, index); err != nil {
				return err
			}
			close(done[x.request.Pipeline.Stages[index].Name])
			return nil
		})
	}
	return group.Wait()
}

// runStage runs one stage, or reuses its result from an earlier execution.
func (x *execution) runStage(ctx context.Context, index int) error {
	stage := &x.request.Pipeline.Stages[index]
	if result, ok := x.options.Results[stage.Name]; ok {
		return x.reuseResult(ctx, index, result)
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
	x.Metrics.recordStage(stage, x.Now().Sub(started), err)
	if err != nil {
		return &stageError{stage: stage.Name, err: err}
	}
	x.storeResult(stage.Name, result)
	if x.options.StageDone == nil {
		return nil
	}
	return x.options.StageDone(ctx, stage.Name, result)
}

// reuseResult takes the result of a stage from an earlier execution. The stage
// counts as run when the outcome is determined.
func (x *execution) reuseResult(ctx context.Context, index int, result json.RawMessage) error {
	x.maybeRan.Add(1)
	if x.request.Pipeline.Stages[index].Once {
		x.onceMaybeRan.Add(1)
	}
	x.storeResult(x.request.Pipeline.Stages[index].Name, result)
	if index != x.last || x.options.Emit == nil {
		return nil
	}
	return x.options.Emit(asText(result))
}

func (x *execution) storeResult(stage string, result json.RawMessage) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.results[stage] = result
}

// input returns the input of a stage: the caller's body for a stage without
// predecessors, otherwise an object with the body under "request" and the results
// of the predecessors under their names.
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

// detach lets the execution continue after the caller disconnects. It returns
// false when the caller has already disconnected.
func (x *execution) detach() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.detached {
		x.detached = x.stopParentCancel()
	}
	return x.detached
}

func (x *execution) isDetached() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.detached
}
