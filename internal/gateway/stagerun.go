package gateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// StagePlan is the stages of one request.
type StagePlan struct {
	RequestID string
	Key       string
	Table     *route.Table
	Route     *route.Route
	Graph     route.Graph
	Priority  int
	// Due and Deadline are when the last stage should and must end.
	Due      time.Time
	Deadline time.Time
	// FailureDomain is where the model server stands.
	FailureDomain string
	// DomainOf returns the failure domain in which a result is held.
	DomainOf func(result string) string
}

// stageRun is the state of a chain.
type stageRun struct {
	*StageRunner
	StagePlan
	ended   []chan struct{}
	mu      sync.Mutex
	results [][]string
	// consumers counts the stages that still need the results of each stage.
	consumers []int
	// inputsFreed holds the stages whose inputs are not needed any more.
	inputsFreed []bool
	progress    *stagework.Progress
	// changed is closed and replaced whenever a stage ends.
	changed chan struct{}
}

// Run runs all stages and returns the handles of the final results. After an error
// nothing is held.
func (s *StageRunner) Run(ctx context.Context, chain StagePlan) ([]string, error) {
	n := len(chain.Route.Stages)
	r := &stageRun{
		StageRunner: s, StagePlan: chain, ended: make([]chan struct{}, n), results: make([][]string, n), consumers: make([]int, n), inputsFreed: make([]bool, n),
		progress: stagework.NewProgress(chain.Graph.After, chain.Graph.Counts), changed: make(chan struct{}),
	}
	for i := range n {
		r.ended[i] = make(chan struct{})
		for _, j := range chain.Graph.After[i] {
			r.consumers[j]++
		}
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for i, count := range chain.Graph.Counts {
		if count > 0 {
			group.Go(func() error { return r.runStage(groupCtx, i) })
		}
	}
	if err := group.Wait(); err != nil {
		for i := range n {
			s.Free(chain.Route.Stages[i].Service, r.results[i])
		}
		return nil, err
	}
	var final []string
	for _, i := range chain.Graph.Final {
		final = append(final, r.results[i]...)
	}
	return final, nil
}

// runStage waits for the inputs of a stage and runs it.
func (r *stageRun) runStage(ctx context.Context, i int) error {
	var inputs []string
	for _, j := range r.Graph.After[i] {
		select {
		case <-r.ended[j]:
			r.mu.Lock()
			inputs = append(inputs, r.results[j]...)
			r.mu.Unlock()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := r.waitToStart(ctx, i); err != nil {
		return err
	}
	started := time.Now()
	results, err := r.requestStage(ctx, i, inputs)
	if err != nil {
		return err
	}
	r.stageTimes.observe(r.Route.Stages[i].Service, time.Since(started))
	r.mu.Lock()
	r.results[i] = results
	r.progress.End(i)
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.freeInputsOf(i)
	close(r.ended[i])
	return nil
}

// freeInputsOf frees the inputs of a stage that no other stage needs. It may be called
// more than once.
func (r *stageRun) freeInputsOf(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inputsFreed[i] {
		return
	}
	r.inputsFreed[i] = true
	for _, j := range r.Graph.After[i] {
		if r.consumers[j]--; r.consumers[j] == 0 {
			r.Free(r.Route.Stages[j].Service, r.results[j])
			r.results[j] = nil
		}
	}
}

// typicalTimes returns the typical duration of each stage at this moment.
func (r *stageRun) typicalTimes() []time.Duration {
	times := make([]time.Duration, len(r.Route.Stages))
	for i, stage := range r.Route.Stages {
		times[i] = r.TypicalTime(r.Table, stage.Service)
	}
	return times
}

// waitToStart waits while a stage need not start yet, and records its start.
func (r *stageRun) waitToStart(ctx context.Context, i int) error {
	for {
		typical := r.typicalTimes()
		r.mu.Lock()
		r.progress.SetTypical(typical)
		now := time.Now()
		wait, changed := r.progress.Delay(i, now), r.changed
		if wait == 0 {
			r.progress.Start(i, now)
		}
		r.mu.Unlock()
		if wait == 0 {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}
