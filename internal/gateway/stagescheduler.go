package gateway

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

const (
	// jobExpiryInterval is how often waiting jobs are reviewed.
	jobExpiryInterval = 25 * time.Millisecond
	// awaitPollTimeout is how long a call of a peer waits for its job before it is
	// answered, so that the peer knows that this instance lives.
	awaitPollTimeout = 200 * time.Millisecond
	// abandonJobAfter is how long a job is kept that no call waits for.
	abandonJobAfter = time.Second
	// maxStageAnswerBytes bounds the answer of a stage server.
	maxStageAnswerBytes = 1 << 20
)

// StageScheduler forms the calls of stage services from the jobs of all instances of
// the region.
type StageScheduler struct {
	protocol    Protocol
	upstream    *upstream.Client
	fleet       *Fleet
	logger      *slog.Logger
	calls       tally.Counter
	callsFailed tally.Counter
	callTime    tally.Timer
	freer       *ResultFreer

	mu     sync.Mutex
	queues map[string]*serviceQueue
	// stopping is true once the queues were handed over.
	stopping bool
}

// NewStageScheduler returns a caller without services.
func NewStageScheduler(protocol Protocol, client *upstream.Client, fleet *Fleet, freer *ResultFreer, logger *slog.Logger, scope tally.Scope) *StageScheduler {
	return &StageScheduler{
		protocol: protocol, upstream: client, fleet: fleet, freer: freer, logger: logger,
		calls: scope.Counter("stage_calls"), callsFailed: scope.Counter("stage_calls_refused"), callTime: scope.Timer("stage_call_time"),
		queues: map[string]*serviceQueue{},
	}
}

// Update takes a new view.
func (s *StageScheduler) Update(v *view.View) {
	if v.Table == nil {
		return
	}
	for i := range v.Table.Services {
		service := &v.Table.Services[i]
		if service.Work == nil {
			continue
		}
		w := s.serviceQueue(service.Name, true)
		w.mu.Lock()
		w.queue.SetShape(*service.Work)
		w.queue.SetServers(s.regionServers(v.Servers[service.Name]))
		w.mu.Unlock()
		s.startCalls(w)
	}
}

// regionServers returns the servers of the region, or all when it has none: results
// are too large for the link between regions.
func (s *StageScheduler) regionServers(listed []view.Server) []stagework.Server {
	var near, all []stagework.Server
	for _, server := range listed {
		converted := stagework.Server{ID: server.ID, FailureDomain: server.FailureDomain}
		all = append(all, converted)
		if s.fleet.InRegion(server.FailureDomain) {
			near = append(near, converted)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

func (s *StageScheduler) serviceQueue(service string, create bool) *serviceQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.queues[service]
	if w == nil && create {
		w = newServiceQueue(service)
		s.queues[service] = w
	}
	return w
}

// RunStage implements peer.StageHandler.
func (s *StageScheduler) RunStage(ctx context.Context, request *peerpb.RunStageRequest) (*peerpb.RunStageResponse, error) {
	w := s.serviceQueue(request.Service, false)
	if w == nil {
		return &peerpb.RunStageResponse{Refusal: string(stagework.RefusedNoServer)}, nil
	}
	if s.handedOver() && !request.Forced {
		return &peerpb.RunStageResponse{Refusal: string(stagework.RefusedMoved)}, nil
	}
	job := &stageJob{request: request, done: make(chan stagework.Done, 1)}
	if request.TellFetched {
		job.fetched = make(chan struct{})
	}
	id, refusal := w.enqueue(time.Now(), job)
	if refusal != "" {
		return w.addQueueState(&peerpb.RunStageResponse{Refusal: string(refusal)}), nil
	}
	s.startCalls(w)
	s.scheduleExpiry(w)
	return s.awaitJob(ctx, w, id, job)
}

// HandOver gives the stages that have not begun back to their requesters, which ask
// another instance. Two instances that form calls for the same servers take room and
// slots from each other.
func (s *StageScheduler) HandOver() {
	s.mu.Lock()
	s.stopping = true
	queues := slices.Collect(maps.Values(s.queues))
	s.mu.Unlock()
	for _, w := range queues {
		w.mu.Lock()
		effects := w.queue.HandOver()
		w.mu.Unlock()
		s.applyEffects(w, effects)
	}
}

func (s *StageScheduler) handedOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// AwaitStage implements peer.StageHandler.
func (s *StageScheduler) AwaitStage(ctx context.Context, request *peerpb.AwaitStageRequest) (*peerpb.RunStageResponse, error) {
	w := s.serviceQueue(request.Service, false)
	if w == nil {
		return nil, errUnknownJob
	}
	id := stagework.JobID(request.Job)
	w.mu.Lock()
	job := w.pending[id]
	delete(w.pending, id)
	w.mu.Unlock()
	if job == nil || !job.abandonTimer.Stop() {
		return nil, errUnknownJob
	}
	return s.awaitJob(ctx, w, id, job)
}

var errUnknownJob = errors.New("job of a stage is not known here")

// awaitJob waits for a job, but not for long.
func (s *StageScheduler) awaitJob(ctx context.Context, w *serviceQueue, id stagework.JobID, job *stageJob) (*peerpb.RunStageResponse, error) {
	timer := time.NewTimer(awaitPollTimeout)
	defer timer.Stop()
	fetched := job.fetched
	if job.fetchReported {
		fetched = nil
	}
	select {
	case done := <-job.done:
		return w.addQueueState(&peerpb.RunStageResponse{Results: done.Results, Refusal: string(done.Refusal)}), nil
	case <-fetched:
		job.fetchReported = true
		return s.keepPending(w, id, job, &peerpb.RunStageResponse{InputsFetched: true}), nil
	case <-timer.C:
		return s.keepPending(w, id, job, &peerpb.RunStageResponse{}), nil
	case <-ctx.Done():
		s.abandonJob(w, id, job)
		return nil, ctx.Err()
	}
}

// keepPending keeps a job for the next call that awaits it.
func (s *StageScheduler) keepPending(w *serviceQueue, id stagework.JobID, job *stageJob, response *peerpb.RunStageResponse) *peerpb.RunStageResponse {
	w.mu.Lock()
	w.pending[id] = job
	job.abandonTimer = time.AfterFunc(abandonJobAfter, func() { s.abandonJob(w, id, job) })
	w.mu.Unlock()
	response.Pending = uint64(id)
	return w.addQueueState(response)
}

// abandonJob ends a job that nobody waits for and frees its results.
func (s *StageScheduler) abandonJob(w *serviceQueue, id stagework.JobID, job *stageJob) {
	w.mu.Lock()
	delete(w.pending, id)
	effects := w.queue.Cancel(id)
	delete(w.jobs, id)
	select {
	case done := <-job.done:
		effects.Orphans = append(effects.Orphans, done.Results...)
	default:
	}
	w.mu.Unlock()
	s.applyEffects(w, effects)
}

// FreeResults implements peer.StageHandler.
func (s *StageScheduler) FreeResults(request *peerpb.FreeResultsRequest) {
	s.freeResults(s.serviceQueue(request.Service, false), request.Results)
}

// freeResults gives up results. Their memory is counted until their producer has given them
// up: a call that is sent before would find no room.
func (s *StageScheduler) freeResults(w *serviceQueue, results []string) {
	if len(results) == 0 {
		return
	}
	s.freer.Free(results, func(freed []string) {
		if w == nil {
			return
		}
		w.mu.Lock()
		w.queue.Freed(freed)
		w.mu.Unlock()
		s.startCalls(w)
	})
}

// applyEffects tells the waiting jobs their ends and frees what no job needs.
func (s *StageScheduler) applyEffects(w *serviceQueue, effects stagework.Effects) {
	w.mu.Lock()
	for _, done := range effects.Done {
		if job := w.jobs[done.Job]; job != nil {
			delete(w.jobs, done.Job)
			job.done <- done
		}
	}
	w.mu.Unlock()
	s.freeResults(w, effects.Orphans)
}

// scheduleExpiry schedules a look at the waiting jobs, which repeats while there are any.
func (s *StageScheduler) scheduleExpiry(w *serviceQueue) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.expiryScheduled || len(w.jobs) == 0 {
		return
	}
	w.expiryScheduled = true
	time.AfterFunc(jobExpiryInterval, func() {
		w.mu.Lock()
		w.expiryScheduled = false
		effects := w.queue.Expire(time.Now())
		w.mu.Unlock()
		s.applyEffects(w, effects)
		s.startCalls(w)
		s.scheduleExpiry(w)
	})
}
