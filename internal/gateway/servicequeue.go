package gateway

import (
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// serviceQueue is the queue of one stage service with the jobs that wait in it.
type serviceQueue struct {
	service string

	mu    sync.Mutex
	queue *stagework.Queue
	jobs  map[stagework.JobID]*stageJob
	// pending holds the jobs that a peer will await again.
	pending map[stagework.JobID]*stageJob
	last    stagework.JobID
	// reviewing is true while a review of waiting jobs is scheduled.
	reviewing bool
}

// stageJob is a job with what its pieces need.
type stageJob struct {
	request  *peerpb.RunStageRequest
	deadline time.Time
	done     chan stagework.EndedJob
	// fetched is closed when the inputs may be freed. It is nil when the requester
	// does not ask for that.
	fetched chan struct{}
	// told is true once the requester knows. Only the call that awaits the job uses it.
	told bool
	// abandoned cancels the job unless it is awaited again in time.
	abandoned *time.Timer
}

func newServiceQueue(service string) *serviceQueue {
	return &serviceQueue{
		service: service, queue: stagework.NewQueue(stagework.ServerProfile{}),
		jobs: map[stagework.JobID]*stageJob{}, pending: map[stagework.JobID]*stageJob{},
	}
}

// tell adds to a response how long a new piece waits and whether memory for results
// is short.
func (w *serviceQueue) tell(response *peerpb.RunStageResponse) *peerpb.RunStageResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	response.WaitMs, response.RoomShort = w.queue.EstimatedWait(now).Milliseconds(), w.queue.RoomShort(now)
	return response
}

// begun schedules the message that the inputs of jobs were fetched. It is called with
// the lock held.
func (w *serviceQueue) begun(call stagework.Call) {
	for _, id := range call.FullyDispatched {
		job := w.jobs[id]
		if job == nil || !job.request.TellFetched {
			continue
		}
		time.AfterFunc(call.FetchTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.queue.InputsFetched(id, call.ID) {
				close(job.fetched)
			}
		})
	}
}

// offer puts a job into the queue, or returns why it is refused.
func (w *serviceQueue) offer(now time.Time, job *stageJob) (stagework.JobID, stagework.Refusal) {
	r := job.request
	job.deadline = now.Add(time.Duration(r.DeadlineMs) * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	pieces := make([]int, len(r.Pieces))
	for i, p := range r.Pieces {
		pieces[i] = int(p)
	}
	refusal, ok := w.queue.Offer(now, stagework.Job{
		ID: w.last, Pieces: pieces, ResultBytes: r.ResultBytes, Priority: int(r.Priority),
		Due:      now.Add(time.Duration(r.DueMs) * time.Millisecond),
		Deadline: job.deadline, FailureDomain: r.FailureDomain, Started: r.Started, InputBytes: r.InputBytes,
	})
	if !ok {
		return 0, refusal
	}
	w.jobs[w.last] = job
	return w.last, ""
}

// pieces returns what a call sends. It is called with the lock held.
func (w *serviceQueue) pieces(call stagework.Call, now time.Time) []Piece {
	pieces := make([]Piece, len(call.Items))
	for i, item := range call.Items {
		job := w.jobs[item.Job]
		if job == nil {
			continue
		}
		r := job.request
		pieces[i] = Piece{
			RequestID: r.RequestId, Stage: int(r.Stage), Number: item.Piece,
			Remaining: job.deadline.Sub(now), Key: r.Key, Inputs: r.Inputs,
		}
	}
	return pieces
}
