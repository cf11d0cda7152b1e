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
	done     chan stagework.Done
	// abandoned cancels the job unless it is awaited again in time.
	abandoned *time.Timer
}

func newServiceQueue(service string) *serviceQueue {
	return &serviceQueue{
		service: service, queue: stagework.NewQueue(stagework.Shape{}),
		jobs: map[stagework.JobID]*stageJob{}, pending: map[stagework.JobID]*stageJob{},
	}
}

// wait estimates how long a new piece waits.
func (w *serviceQueue) wait() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Wait(time.Now())
}

// offer puts a job into the queue, or returns why it is refused and how long a new
// piece waits.
func (w *serviceQueue) offer(now time.Time, job *stageJob) (stagework.JobID, stagework.Refusal, time.Duration) {
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
		Deadline: job.deadline, FailureDomain: r.FailureDomain, Started: r.Started,
	})
	if !ok {
		return 0, refusal, w.queue.Wait(now)
	}
	w.jobs[w.last] = job
	return w.last, "", 0
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
