package gateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootdrift/coltsfootdrift/regions"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// StagePlan describes the stages to run for one request.
type StagePlan struct {
	RequestID string
	PieceKey  string
	Table     *route.Table
	Route     *route.Route
	Graph     route.Graph
	Priority  int
	// Due is when the last stage should end, Deadline when it must end.
	Due      time.Time
	Deadline time.Time
	// FailureDomain is where the final results are used.
	FailureDomain string
	// Regions holds the regions other than the instance's own in which stages run, by service.
	Regions map[string]string
	// Allowed returns the regions in which the request may be served now; nil for all.
	Allowed func() regions.Set
	// DomainOf returns the failure domain in which a result is held.
	DomainOf func(result stagework.Result) string
}

// ownerKey returns the service and the region of the instance that schedules its calls for
// the plan.
func (p StagePlan) ownerKey(service string) regionKey {
	return regionKey{p.Regions[service], service}
}

// stageRun is the state of the stages of one request.
type stageRun struct {
	*StageRunner
	StagePlan
	ended   []chan struct{}
	mu      sync.Mutex
	results [][]stagework.Result
	// consumers counts for each stage the stages that still need its results.
	consumers []int
	// inputsFreed is true for the stages that no longer need their inputs.
	inputsFreed []bool
	schedule    *stagework.StageSchedule
	// changed is closed and replaced whenever a stage ends.
	changed chan struct{}
}

// Run runs all stages of a plan and returns the final results. After an
// error it has freed all results.
func (s *StageRunner) Run(ctx context.Context, plan StagePlan) ([]stagework.Result, error) {
	if err := s.admit(ctx, plan); err != nil {
		return nil, err
	}
	n := len(plan.Route.Stages)
	r := &stageRun{
		StageRunner: s, StagePlan: plan, ended: make([]chan struct{}, n), results: make([][]stagework.Result, n), consumers: make([]int, n), inputsFreed: make([]bool, n),
		schedule: stagework.NewStageSchedule(plan.Graph.After, plan.Graph.Counts), changed: make(chan struct{}),
	}
	for i := range n {
		r.ended[i] = make(chan struct{})
		for _, j := range plan.Graph.After[i] {
			r.consumers[j]++
		}
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for i, count := range plan.Graph.Counts {
		if count > 0 {
			group.Go(func() error { return r.runStage(groupCtx, i) })
		}
	}
	if err := group.Wait(); err != nil {
		s.recordWaste(ctx, plan, r.results)
		for i := range n {
			s.Free(plan.Regions, plan.Route.Stages[i].Service, r.results[i])
		}
		return nil, err
	}
	var final []stagework.Result
	for _, i := range plan.Graph.Final {
		final = append(final, r.results[i]...)
	}
	return final, nil
}

// runStage waits for the inputs of stage i and runs it.
func (r *stageRun) runStage(ctx context.Context, i int) error {
	var inputs []stagework.Result
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
	r.schedule.MarkEnded(i)
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.freeInputsOf(i)
	close(r.ended[i])
	return nil
}

// freeInputsOf frees those inputs of stage i that no other stage needs. Further calls
// for the same stage have no effect.
func (r *stageRun) freeInputsOf(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inputsFreed[i] {
		return
	}
	r.inputsFreed[i] = true
	for _, j := range r.Graph.After[i] {
		if r.consumers[j]--; r.consumers[j] == 0 {
			r.Free(r.Regions, r.Route.Stages[j].Service, r.results[j])
			r.results[j] = nil
		}
	}
}

// typicalTimes returns the current typical duration of each stage.
func (r *stageRun) typicalTimes() []time.Duration {
	times := make([]time.Duration, len(r.Route.Stages))
	for i, stage := range r.Route.Stages {
		times[i] = r.TypicalTime(r.Table, r.ownerKey(stage.Service), r.Priority)
	}
	return times
}

// waitToStart waits until stage i should start, and records its start.
func (r *stageRun) waitToStart(ctx context.Context, i int) error {
	for {
		typical := r.typicalTimes()
		r.mu.Lock()
		r.schedule.SetTypicalDurations(typical)
		now := time.Now()
		wait, changed := r.schedule.StartDelay(i, now), r.changed
		if wait == 0 {
			r.schedule.MarkStarted(i, now)
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
