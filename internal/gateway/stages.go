package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

const (
	// firstPieces is the number of pieces that a stage without measurements is
	// taken to have.
	firstPieces = 6
	// silenceLimit is how long an instance that forms calls may stay silent: it
	// answers within pendingAfter even when the stage has not ended.
	silenceLimit = pendingAfter + 350*time.Millisecond
	// toldLife is how long the state that a queue told is believed.
	toldLife = time.Second
	// maxCallers is the number of instances that are asked for one stage.
	maxCallers = 3
	// freeFlush collects the results that a request gives up.
	freeFlush = 3 * time.Millisecond
)

// RefusedError reports a stage that was not run to its end.
type RefusedError struct {
	Stage  int
	Reason stagework.Refusal
	// Wait is how long a new piece waits.
	Wait time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("stage %d was refused: %s", e.Stage, e.Reason)
}

// Stages runs the stages of requests.
type Stages struct {
	cluster *Cluster
	client  *peer.Client
	local   *StageCaller
	logger  *slog.Logger

	typical *averages

	mu   sync.Mutex
	free map[string][]string
	// told holds what the instances that form calls last told of their queues.
	told map[string]queueState
}

// queueState is how long a new piece of a service waited at a time, and whether
// memory for results was short.
type queueState struct {
	wait      time.Duration
	roomShort bool
	at        time.Time
}

// NewStages returns a Stages that asks the local caller or those of peers.
func NewStages(cluster *Cluster, client *peer.Client, local *StageCaller, logger *slog.Logger) *Stages {
	return &Stages{cluster: cluster, client: client, local: local, logger: logger, typical: newAverages(), free: map[string][]string{}, told: map[string]queueState{}}
}

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
	progress *stagework.Progress
	// changed is closed and replaced whenever a stage ends.
	changed chan struct{}
}

// Run runs all stages and returns the handles of the final results. After an error
// nothing is held.
func (s *Stages) Run(ctx context.Context, chain Chain) ([]string, error) {
	n := len(chain.Route.Stages)
	r := &run{
		Stages: s, Chain: chain, done: make([]chan struct{}, n), results: make([][]string, n), users: make([]int, n), released: make([]bool, n),
		progress: stagework.NewProgress(chain.Graph.After, chain.Graph.Counts), changed: make(chan struct{}),
	}
	r.progress.SetTypical(r.typicalTimes())
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

// Typical returns the typical duration of a stage of a service, or the longer one
// that its queue showed lately: a burst fills a queue before the mean follows.
func (s *Stages) Typical(table *route.Table, service string) time.Duration {
	var call time.Duration
	if described := table.Service(service); described != nil && described.Work != nil {
		call = stagework.Shape(*described.Work).CallDuration(min(firstPieces, described.Work.Batch))
	}
	known := s.typical.of(service)
	if known == 0 {
		known = call
	}
	s.mu.Lock()
	told := s.told[service]
	s.mu.Unlock()
	if time.Since(told.at) < toldLife {
		known = max(known, told.wait+call)
	}
	return known
}

// learn records what an instance that forms calls tells of its queue.
func (s *Stages) learn(service string, response *peerpb.RunStageResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[service] = queueState{time.Duration(response.WaitMs) * time.Millisecond, response.RoomShort, time.Now()}
}

// roomShort reports whether memory for the results of a service was short lately.
func (s *Stages) roomShort(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	told := s.told[service]
	return told.roomShort && time.Since(told.at) < toldLife
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
	r.progress.End(i)
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

// ask has a stage run by the instance that forms the calls of its service, or by
// the next one when that does not answer.
func (r *run) ask(ctx context.Context, i int, inputs []string) ([]string, error) {
	stage := r.Route.Stages[i]
	callers := r.cluster.Callers(stage.Service)
	var failed error
	for try, address := range callers {
		if try >= maxCallers {
			break
		}
		started := time.Now()
		response, err := r.askOne(ctx, address, i, r.request(i, inputs))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err != nil {
			failed = err
			r.cluster.Avoid(address)
			events.StagePeerFailed.Log(ctx, r.logger, slog.String("id", r.RequestID), slog.Int("stage", i), slog.String("address", address),
				slog.Int64("waited_ms", time.Since(started).Milliseconds()), slog.Any("error", err))
			continue
		}
		events.StageEnded.Log(ctx, r.logger, slog.String("id", r.RequestID), slog.Int("stage", i), slog.String("service", stage.Service),
			slog.Int("pieces", r.Graph.Counts[i]), slog.String("caller", address), slog.Int64("took_ms", time.Since(started).Milliseconds()),
			slog.Int64("left_ms", time.Until(r.Deadline).Milliseconds()), slog.Int64("queue_ms", response.WaitMs), slog.String("refusal", response.Refusal))
		r.learn(stage.Service, response)
		if response.Refusal != "" {
			return nil, &RefusedError{Stage: i, Reason: stagework.Refusal(response.Refusal), Wait: time.Duration(response.WaitMs) * time.Millisecond}
		}
		if len(response.Results) != r.Graph.Counts[i] {
			return nil, fmt.Errorf("stage %d has %d results for %d pieces", i, len(response.Results), r.Graph.Counts[i])
		}
		return response.Results, nil
	}
	return nil, errors.Join(&RefusedError{Stage: i, Reason: stagework.RefusedFailed}, failed)
}

// request describes a stage to the instance that runs it.
func (r *run) request(i int, inputs []string) *peerpb.RunStageRequest {
	stage := r.Route.Stages[i]
	r.mu.Lock()
	tail, begun := r.progress.Tail(i), r.progress.AnyEnded()
	r.mu.Unlock()
	request := &peerpb.RunStageRequest{
		Service: stage.Service, RequestId: r.RequestID, Stage: int32(i), Key: r.Key, Inputs: inputs,
		ResultBytes: stage.ResultBytes, Priority: int32(r.Priority),
		DueMs:      time.Until(r.Due.Add(-tail)).Milliseconds(),
		DeadlineMs: min(time.Until(r.Deadline.Add(-tail)), r.inputsLife(i)).Milliseconds(),
		Started:    begun,
	}
	for _, j := range r.Graph.After[i] {
		before := r.Route.Stages[j]
		request.InputBytes += int64(r.Graph.Counts[j]) * before.ResultBytes
		request.TellFetched = request.TellFetched || r.roomShort(before.Service)
	}
	request.FailureDomain = r.domain(request)
	for piece := range r.Graph.Counts[i] {
		request.Pieces = append(request.Pieces, int32(piece))
	}
	return request
}

// domain returns the failure domain in which a stage should run: where most of its
// inputs are, as each piece fetches all of them, or where its results are used when
// those are larger.
func (r *run) domain(request *peerpb.RunStageRequest) string {
	if request.InputBytes <= request.ResultBytes {
		return r.FailureDomain
	}
	held := map[string]int{}
	most := r.FailureDomain
	for _, input := range request.Inputs {
		at := r.DomainOf(input)
		if held[at]++; held[at] > held[most] {
			most = at
		}
	}
	return most
}

// inputsLife returns how long the inputs of a stage are kept, if they were made just
// now. A stage that waits longer would find them gone.
func (r *run) inputsLife(i int) time.Duration {
	life := time.Duration(math.MaxInt64)
	for _, j := range r.Graph.After[i] {
		if producer := r.Table.Service(r.Route.Stages[j].Service); producer != nil && producer.Work != nil && producer.Work.ResultLife > 0 {
			life = min(life, producer.Work.ResultLife)
		}
	}
	return life
}

// askOne asks one instance, or this one for an empty address, until the stage has
// ended. An instance that stays silent is given up.
func (r *run) askOne(ctx context.Context, address string, i int, request *peerpb.RunStageRequest) (*peerpb.RunStageResponse, error) {
	response, err := r.call(ctx, address, request)
	for err == nil && response.Pending != 0 {
		if response.InputsFetched {
			r.release(i)
		}
		response, err = r.await(ctx, address, &peerpb.AwaitStageRequest{Service: request.Service, Job: response.Pending})
	}
	return response, err
}

func (r *run) call(ctx context.Context, address string, request *peerpb.RunStageRequest) (*peerpb.RunStageResponse, error) {
	if address == "" {
		return r.local.RunStage(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, silenceLimit)
	defer cancel()
	return r.client.RunStage(ctx, address, request)
}

func (r *run) await(ctx context.Context, address string, request *peerpb.AwaitStageRequest) (*peerpb.RunStageResponse, error) {
	if address == "" {
		return r.local.AwaitStage(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, silenceLimit)
	defer cancel()
	return r.client.AwaitStage(ctx, address, request)
}

// Free gives up results of a service soon.
func (s *Stages) Free(service string, results []string) {
	if len(results) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.free[service]) == 0 {
		time.AfterFunc(freeFlush, func() { s.flush(service) })
	}
	s.free[service] = append(s.free[service], results...)
}

// flush tells the instance that forms the calls of a service, which counts the
// room for results, what is given up.
func (s *Stages) flush(service string) {
	s.mu.Lock()
	request := &peerpb.FreeResultsRequest{Service: service, Results: s.free[service]}
	delete(s.free, service)
	s.mu.Unlock()
	address := s.cluster.Callers(service)[0]
	if address == "" {
		s.local.FreeResults(request)
		return
	}
	if err := s.client.FreeResults(context.Background(), address, request); err != nil {
		s.cluster.Avoid(address)
		s.local.FreeResults(request)
	}
}
