package gateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// Chain is the stages of one request.
type Chain struct {
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

// run is the state of a chain.
type run struct {
	*Stages
	Chain
	done    []chan struct{}
	mu      sync.Mutex
	results [][]string
	// users counts the stages that still need the results of each stage.
	users []int
	// released holds the stages whose inputs are not needed any more.
	released []bool
	progress *stagework.StageSchedule
	// changed is closed and replaced whenever a stage ends.
	changed chan struct{}
}

// Run runs all stages and returns the handles of the final results. After an error
// nothing is held.
func (s *Stages) Run(ctx context.Context, chain Chain) ([]string, error) {
	n := len(chain.Route.Stages)
	r := &run{
		Stages: s, Chain: chain, done: make([]chan struct{}, n), results: make([][]string, n), users: make([]int, n), released: make([]bool, n),
		progress: stagework.NewStageSchedule(chain.Graph.After, chain.Graph.Counts), changed: make(chan struct{}),
	}
	for i := range n {
		r.done[i] = make(chan struct{})
		for _, j := range chain.Graph.After[i] {
			r.users[j]++
		}
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for i, count := range chain.Graph.Counts {
		if count > 0 {
			group.Go(func() error { return r.stage(groupCtx, i) })
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

// stage waits for the inputs of a stage and runs it.
func (r *run) stage(ctx context.Context, i int) error {
	var inputs []string
	for _, j := range r.Graph.After[i] {
		select {
		case <-r.done[j]:
			r.mu.Lock()
			inputs = append(inputs, r.results[j]...)
			r.mu.Unlock()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := r.delay(ctx, i); err != nil {
		return err
	}
	started := time.Now()
	results, err := r.ask(ctx, i, inputs)
	if err != nil {
		return err
	}
	r.typical.learn(r.Route.Stages[i].Service, time.Since(started))
	r.mu.Lock()
	r.results[i] = results
	r.progress.MarkEnded(i)
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.release(i)
	close(r.done[i])
	return nil
}

// release frees the inputs of a stage that no other stage needs. It may be called
// more than once.
func (r *run) release(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released[i] {
		return
	}
	r.released[i] = true
	for _, j := range r.Graph.After[i] {
		if r.users[j]--; r.users[j] == 0 {
			r.Free(r.Route.Stages[j].Service, r.results[j])
			r.results[j] = nil
		}
	}
}

// typicalTimes returns the typical duration of each stage at this moment.
func (r *run) typicalTimes() []time.Duration {
	times := make([]time.Duration, len(r.Route.Stages))
	for i, stage := range r.Route.Stages {
		times[i] = r.Typical(r.Table, stage.Service)
	}
	return times
}

// delay waits while a stage need not start yet, and records its start.
func (r *run) delay(ctx context.Context, i int) error {
	for {
		typical := r.typicalTimes()
		r.mu.Lock()
		r.progress.SetTypicalDurations(typical)
		now := time.Now()
		wait, changed := r.progress.StartDelay(i, now), r.changed
		if wait == 0 {
			r.progress.MarkStarted(i, now)
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
