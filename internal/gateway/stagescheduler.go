package gateway

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

const (
	// jobExpiryInterval is how often waiting jobs are checked for expiry.
	jobExpiryInterval = 25 * time.Millisecond
	// awaitPollTimeout is how long a call of RunStage or AwaitStage waits for its job. It
	// is answered then even while the job is pending, so that a peer can tell that this
	// instance is alive.
	awaitPollTimeout = 200 * time.Millisecond
	// abandonJobAfter is how long a pending job is kept without a call of AwaitStage.
	abandonJobAfter = time.Second
	// maxStageAnswerBytes bounds the answer of a stage server.
	maxStageAnswerBytes = 1 << 20
)

// StageScheduler batches the pieces of jobs of all instances of the region into calls
// to stage servers.
type StageScheduler struct {
	// process is the ID of this process, which differs between its starts. It is part of the
	// names of jobs, because the requesters of an earlier process may still ask for theirs.
	process     uuid.UUID
	protocol    Protocol
	client      *ServerClient
	servers     *Servers
	logger      *slog.Logger
	calls       tally.Counter
	callsFailed tally.Counter
	callTime    tally.Timer
	freer       *ResultFreer

	mu     sync.Mutex
	queues map[string]*serviceQueue
	// stopping is true once HandOver was called.
	stopping bool
}

// NewStageScheduler returns a scheduler without services.
func NewStageScheduler(protocol Protocol, client *ServerClient, servers *Servers, freer *ResultFreer, logger *slog.Logger, scope tally.Scope) *StageScheduler {
	return &StageScheduler{
		process: uuid.New(), protocol: protocol, client: client, servers: servers, freer: freer, logger: logger,
		calls: scope.Counter("stage_calls"), callsFailed: scope.Counter("stage_calls_refused"), callTime: scope.Timer("stage_call_time"),
		queues: map[string]*serviceQueue{},
	}
}

// Update applies the stage services and servers of a new view.
func (s *StageScheduler) Update(v *view.View) {
	if v.Table == nil {
		return
	}
	for i := range v.Table.Services {
		service := &v.Table.Services[i]
		if service.StageProfile == nil {
			continue
		}
		q := s.queueOf(service.Name, true)
		q.mu.Lock()
		q.queue.SetProfile(*service.StageProfile)
		q.queue.SetPriorityOrder(v.Table.SharedByPriorities(service.Name))
		inUse := s.regionServers(v.Servers[service.Name])
		q.queue.SetServers(inUse)
		effects := q.setRegions(s.regionsOf(inUse))
		q.mu.Unlock()
		s.applyEffects(q, effects)
		s.startCalls(q)
	}
}

// regionServers returns the servers of this instance's region, because results are too
// large for the link between regions. It returns all servers when the region has none.
func (s *StageScheduler) regionServers(listed []view.Server) []stagework.Server {
	var local, all []stagework.Server
	for _, server := range listed {
		converted := stagework.Server{ID: server.ID, FailureDomain: server.FailureDomain, Incarnation: server.Incarnation}
		all = append(all, converted)
		if s.servers.InRegion(server.FailureDomain) {
			local = append(local, converted)
		}
	}
	if len(local) > 0 {
		return local
	}
	return all
}

func (s *StageScheduler) queueOf(service string, create bool) *serviceQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[service]
	if q == nil && create {
		q = newServiceQueue(service)
		s.queues[service] = q
	}
	return q
}

// RunStage implements peer.StageHandler.
func (s *StageScheduler) RunStage(ctx context.Context, request *peerpb.RunStageRequest) (*peerpb.RunStageResponse, error) {
	q := s.queueOf(request.Service, false)
	if q == nil {
		return &peerpb.RunStageResponse{Refusal: string(stagework.RefusedNoServer)}, nil
	}
	if s.handedOver() && !request.Forced {
		return &peerpb.RunStageResponse{Refusal: string(stagework.RefusedMoved)}, nil
	}
	job := &stageJob{request: request, done: make(chan stagework.EndedJob, 1)}
	if request.TellFetched {
		job.fetched = make(chan struct{})
	}
	id, refusal := q.enqueue(time.Now(), job)
	if refusal != "" {
		return q.addQueueState(&peerpb.RunStageResponse{Refusal: string(refusal)}), nil
	}
	s.startCalls(q)
	s.scheduleExpiry(q)
	return s.awaitJob(ctx, q, id, job)
}

// HandOver refuses the jobs that have not started, so that their requesters send them
// to another instance. Two instances that schedule calls to the same servers would
// compete for memory and slots.
func (s *StageScheduler) HandOver() {
	s.mu.Lock()
	s.stopping = true
	queues := slices.Collect(maps.Values(s.queues))
	s.mu.Unlock()
	for _, q := range queues {
		q.mu.Lock()
		effects := q.queue.HandOver()
		q.mu.Unlock()
		s.applyEffects(q, effects)
	}
}

func (s *StageScheduler) handedOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// AwaitStage implements peer.StageHandler. It returns errForeignJob for a job that another
// process numbered: this one may have a job of the same number that belongs to another request.
func (s *StageScheduler) AwaitStage(ctx context.Context, request *peerpb.AwaitStageRequest) (*peerpb.RunStageResponse, error) {
	if !bytes.Equal(request.Process, s.process[:]) {
		return nil, errForeignJob
	}
	q := s.queueOf(request.Service, false)
	if q == nil {
		return nil, errUnknownJob
	}
	id := stagework.JobID(request.Job)
	q.mu.Lock()
	job := q.pending[id]
	delete(q.pending, id)
	q.mu.Unlock()
	if job == nil || !job.abandonTimer.Stop() {
		return nil, errUnknownJob
	}
	return s.awaitJob(ctx, q, id, job)
}

var (
	errUnknownJob = errors.New("unknown stage job")
	errForeignJob = errors.New("stage job of another process")
)

// awaitJob waits for the end of a job, at most for awaitPollTimeout. A job that is still
// pending then stays for the next AwaitStage.
func (s *StageScheduler) awaitJob(ctx context.Context, q *serviceQueue, id stagework.JobID, job *stageJob) (*peerpb.RunStageResponse, error) {
	timer := time.NewTimer(awaitPollTimeout)
	defer timer.Stop()
	fetched := job.fetched
	if job.fetchReported {
		fetched = nil
	}
	select {
	case done := <-job.done:
		return q.addQueueState(&peerpb.RunStageResponse{Results: encodeResults(done.Results), Refusal: string(done.Refusal)}), nil
	case <-fetched:
		job.fetchReported = true
		return s.keepPending(q, id, job, &peerpb.RunStageResponse{InputsFetched: true}), nil
	case <-timer.C:
		return s.keepPending(q, id, job, &peerpb.RunStageResponse{}), nil
	case <-ctx.Done():
		s.abandonJob(q, id, job)
		return nil, ctx.Err()
	}
}

// keepPending keeps a job for the next call of AwaitStage and returns the response that
// names it.
func (s *StageScheduler) keepPending(q *serviceQueue, id stagework.JobID, job *stageJob, response *peerpb.RunStageResponse) *peerpb.RunStageResponse {
	q.mu.Lock()
	q.pending[id] = job
	job.abandonTimer = time.AfterFunc(abandonJobAfter, func() { s.abandonJob(q, id, job) })
	q.mu.Unlock()
	response.Pending, response.PendingProcess = uint64(id), s.process[:]
	return q.addQueueState(response)
}

// abandonJob cancels a job whose requester no longer waits for it, and frees its results.
func (s *StageScheduler) abandonJob(q *serviceQueue, id stagework.JobID, job *stageJob) {
	q.mu.Lock()
	delete(q.pending, id)
	effects := q.queue.Cancel(id)
	delete(q.jobs, id)
	select {
	case done := <-job.done:
		effects.Orphans = append(effects.Orphans, done.Results...)
	default:
	}
	q.mu.Unlock()
	s.applyEffects(q, effects)
}

// FreeResults implements peer.StageHandler.
func (s *StageScheduler) FreeResults(request *peerpb.FreeResultsRequest) {
	s.freeResults(s.queueOf(request.Service, false), decodeResults(request.Results))
}

// freeResults frees results. Their memory counts as used until their producer has freed
// them, because a call that is sent earlier would find no memory.
func (s *StageScheduler) freeResults(q *serviceQueue, results []stagework.Result) {
	if len(results) == 0 {
		return
	}
	s.freer.Free(results, func(freed []stagework.Result) {
		if q == nil {
			return
		}
		q.mu.Lock()
		q.queue.Freed(freed)
		q.mu.Unlock()
		s.startCalls(q)
	})
}

// applyEffects passes the outcomes to the jobs that have ended and frees the results
// that no job needs.
func (s *StageScheduler) applyEffects(q *serviceQueue, effects stagework.Effects) {
	q.mu.Lock()
	for _, done := range effects.Done {
		if job := q.jobs[done.Job]; job != nil {
			delete(q.jobs, done.Job)
			job.done <- done
		}
	}
	q.mu.Unlock()
	s.freeResults(q, effects.Orphans)
}

// scheduleExpiry expires waiting jobs every jobExpiryInterval while there are any.
func (s *StageScheduler) scheduleExpiry(q *serviceQueue) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.expiryScheduled || len(q.jobs) == 0 {
		return
	}
	q.expiryScheduled = true
	time.AfterFunc(jobExpiryInterval, func() {
		q.mu.Lock()
		q.expiryScheduled = false
		effects := q.queue.Expire(time.Now())
		q.mu.Unlock()
		s.applyEffects(q, effects)
		s.startCalls(q)
		s.scheduleExpiry(q)
	})
}
