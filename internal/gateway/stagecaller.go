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
	// expireInterval is how often waiting jobs are reviewed.
	expireInterval = 25 * time.Millisecond
	// pendingAfter is how long a call of a peer waits for its job before it is
	// answered, so that the peer knows that this instance lives.
	pendingAfter = 200 * time.Millisecond
	// abandonedAfter is how long a job is kept that no call waits for.
	abandonedAfter = time.Second
	// maxStageAnswer bounds the answer of a stage server.
	maxStageAnswer = 1 << 20
)

// StageCaller forms the calls of stage services from the jobs of all instances of
// the region.
type StageCaller struct {
	protocol Protocol
	upstream *upstream.Client
	fleet    *Fleet
	logger   *slog.Logger
	calls    tally.Counter
	refused  tally.Counter
	callTime tally.Timer
	freer    *Freer

	mu     sync.Mutex
	queues map[string]*serviceQueue
	// stopping is true once the queues were handed over.
	stopping bool
}

// NewStageCaller returns a caller without services.
func NewStageCaller(protocol Protocol, client *upstream.Client, fleet *Fleet, freer *Freer, logger *slog.Logger, scope tally.Scope) *StageCaller {
	return &StageCaller{
		protocol: protocol, upstream: client, fleet: fleet, freer: freer, logger: logger,
		calls: scope.Counter("stage_calls"), refused: scope.Counter("stage_calls_refused"), callTime: scope.Timer("stage_call_time"),
		queues: map[string]*serviceQueue{},
	}
}

// Update takes a new view.
func (s *StageCaller) Update(v *view.View) {
	if v.Table == nil {
		return
	}
	for i := range v.Table.Services {
		service := &v.Table.Services[i]
		if service.StageProfile == nil {
			continue
		}
		w := s.queueOf(service.Name, true)
		w.mu.Lock()
		w.queue.SetProfile(*service.StageProfile)
		w.queue.SetServers(s.nearServers(v.Servers[service.Name]))
		w.mu.Unlock()
		s.pump(w)
	}
}

// nearServers returns the servers of the region, or all when it has none: results
// are too large for the link between regions.
func (s *StageCaller) nearServers(listed []view.Server) []stagework.Server {
	var near, all []stagework.Server
	for _, server := range listed {
		converted := stagework.Server{ID: server.ID, FailureDomain: server.FailureDomain}
		all = append(all, converted)
		if s.fleet.Near(server.FailureDomain) {
			near = append(near, converted)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

func (s *StageCaller) queueOf(service string, create bool) *serviceQueue {
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
func (s *StageCaller) RunStage(ctx context.Context, request *peerpb.RunStageRequest) (*peerpb.RunStageResponse, error) {
	w := s.queueOf(request.Service, false)
	if w == nil {
		return &peerpb.RunStageResponse{Refusal: string(stagework.RefusedNoServer)}, nil
	}
	if s.handedOver() && !request.Forced {
		return &peerpb.RunStageResponse{Refusal: string(stagework.RefusedMoved)}, nil
	}
	job := &stageJob{request: request, done: make(chan stagework.EndedJob, 1)}
	if request.TellFetched {
		job.fetched = make(chan struct{})
	}
	id, refusal := w.offer(time.Now(), job)
	if refusal != "" {
		return w.tell(&peerpb.RunStageResponse{Refusal: string(refusal)}), nil
	}
	s.pump(w)
	s.review(w)
	return s.await(ctx, w, id, job)
}

// HandOver gives the stages that have not begun back to their requesters, which ask
// another instance. Two instances that form calls for the same servers take room and
// slots from each other.
func (s *StageCaller) HandOver() {
	s.mu.Lock()
	s.stopping = true
	queues := slices.Collect(maps.Values(s.queues))
	s.mu.Unlock()
	for _, w := range queues {
		w.mu.Lock()
		effects := w.queue.HandOver()
		w.mu.Unlock()
		s.apply(w, effects)
	}
}

func (s *StageCaller) handedOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// AwaitStage implements peer.StageHandler.
func (s *StageCaller) AwaitStage(ctx context.Context, request *peerpb.AwaitStageRequest) (*peerpb.RunStageResponse, error) {
	w := s.queueOf(request.Service, false)
	if w == nil {
		return nil, errUnknownJob
	}
	id := stagework.JobID(request.Job)
	w.mu.Lock()
	job := w.pending[id]
	delete(w.pending, id)
	w.mu.Unlock()
	if job == nil || !job.abandoned.Stop() {
		return nil, errUnknownJob
	}
	return s.await(ctx, w, id, job)
}

var errUnknownJob = errors.New("job of a stage is not known here")

// await waits for a job, but not for long.
func (s *StageCaller) await(ctx context.Context, w *serviceQueue, id stagework.JobID, job *stageJob) (*peerpb.RunStageResponse, error) {
	timer := time.NewTimer(pendingAfter)
	defer timer.Stop()
	fetched := job.fetched
	if job.told {
		fetched = nil
	}
	select {
	case done := <-job.done:
		return w.tell(&peerpb.RunStageResponse{Results: done.Results, Refusal: string(done.Refusal)}), nil
	case <-fetched:
		job.told = true
		return s.pending(w, id, job, &peerpb.RunStageResponse{InputsFetched: true}), nil
	case <-timer.C:
		return s.pending(w, id, job, &peerpb.RunStageResponse{}), nil
	case <-ctx.Done():
		s.abandon(w, id, job)
		return nil, ctx.Err()
	}
}

// pending keeps a job for the next call that awaits it.
func (s *StageCaller) pending(w *serviceQueue, id stagework.JobID, job *stageJob, response *peerpb.RunStageResponse) *peerpb.RunStageResponse {
	w.mu.Lock()
	w.pending[id] = job
	job.abandoned = time.AfterFunc(abandonedAfter, func() { s.abandon(w, id, job) })
	w.mu.Unlock()
	response.Pending = uint64(id)
	return w.tell(response)
}

// abandon ends a job that nobody waits for and frees its results.
func (s *StageCaller) abandon(w *serviceQueue, id stagework.JobID, job *stageJob) {
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
	s.apply(w, effects)
}

// FreeResults implements peer.StageHandler.
func (s *StageCaller) FreeResults(request *peerpb.FreeResultsRequest) {
	s.free(s.queueOf(request.Service, false), request.Results)
}

// free gives up results. Their memory is counted until their producer has given them
// up: a call that is sent before would find no room.
func (s *StageCaller) free(w *serviceQueue, results []string) {
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
		s.pump(w)
	})
}

// apply tells the waiting jobs their ends and frees what no job needs.
func (s *StageCaller) apply(w *serviceQueue, effects stagework.Effects) {
	w.mu.Lock()
	for _, done := range effects.Ended {
		if job := w.jobs[done.Job]; job != nil {
			delete(w.jobs, done.Job)
			job.done <- done
		}
	}
	w.mu.Unlock()
	s.free(w, effects.Orphans)
}

// review schedules a look at the waiting jobs, which repeats while there are any.
func (s *StageCaller) review(w *serviceQueue) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reviewing || len(w.jobs) == 0 {
		return
	}
	w.reviewing = true
	time.AfterFunc(expireInterval, func() {
		w.mu.Lock()
		w.reviewing = false
		effects := w.queue.Expire(time.Now())
		w.mu.Unlock()
		s.apply(w, effects)
		s.pump(w)
		s.review(w)
	})
}
