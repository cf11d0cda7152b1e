package gateway

import (
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// serviceQueue is the queue of one stage service with its waiting jobs.
type serviceQueue struct {
	service string

	mu    sync.Mutex
	queue *stagework.Queue
	jobs  map[stagework.JobID]*stageJob
	// pending holds the jobs that no call of RunStage or AwaitStage waits for at present.
	// Their requesters are expected to call AwaitStage again.
	pending map[stagework.JobID]*stageJob
	lastID  stagework.JobID
	// regions holds the regions of the servers that get calls.
	regions []string
	// expiryScheduled is true while the timer of scheduleExpiry runs.
	expiryScheduled bool
}

// stageJob is a job with the request that it came from.
type stageJob struct {
	request  *peerpb.RunStageRequest
	deadline time.Time
	done     chan stagework.EndedJob
	// fetched is closed when the inputs may be freed. It is nil when the requester did
	// not set TellFetched.
	fetched chan struct{}
	// fetchReported is true once a response has said that the inputs may be freed. Only
	// the call of RunStage or AwaitStage that waits for the job uses it.
	fetchReported bool
	// abandonTimer cancels the job unless AwaitStage is called in time.
	abandonTimer *time.Timer
}

func newServiceQueue(service string) *serviceQueue {
	return &serviceQueue{
		service: service, queue: stagework.NewQueue(stagework.ServerProfile{}),
		jobs: map[stagework.JobID]*stageJob{}, pending: map[stagework.JobID]*stageJob{},
	}
}

// addQueueState adds to a response how long a new piece waits and whether memory for
// results is short.
func (q *serviceQueue) addQueueState(response *peerpb.RunStageResponse) *peerpb.RunStageResponse {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	waits := q.queue.Waits(now)
	response.WaitMs, response.RoomShort, response.CallMs = waits.All.Milliseconds(), q.queue.RoomShort(now), waits.Call.Milliseconds()
	for _, wait := range waits.Levels {
		response.LevelWaitMs = append(response.LevelWaitMs, wait.Milliseconds())
	}
	return response
}

// scheduleInputsFetched closes the fetched channel of each job whose last waiting pieces
// are in a call, once the call has had time to fetch the inputs. It is called with the
// lock held.
func (q *serviceQueue) scheduleInputsFetched(call stagework.Call) {
	for _, id := range call.FullyDispatched {
		job := q.jobs[id]
		if job == nil || !job.request.TellFetched {
			continue
		}
		time.AfterFunc(call.FetchTime, func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			if q.queue.InputsFetched(id, call.ID) {
				close(job.fetched)
			}
		})
	}
}

// enqueue adds a job to the queue and returns its ID, or returns why it is refused.
func (q *serviceQueue) enqueue(now time.Time, job *stageJob) (stagework.JobID, stagework.Refusal) {
	r := job.request
	job.deadline = now.Add(time.Duration(r.DeadlineMs) * time.Millisecond)
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.mayRun(r) {
		return 0, stagework.RefusedNoServer
	}
	q.lastID++
	pieces := make([]int, len(r.Pieces))
	for i, p := range r.Pieces {
		pieces[i] = int(p)
	}
	refusal, ok := q.queue.Offer(now, stagework.Job{
		ID: q.lastID, Pieces: pieces, ResultBytes: r.ResultBytes, Priority: int(r.Priority),
		Due:      now.Add(time.Duration(r.DueMs) * time.Millisecond),
		Deadline: job.deadline, FailureDomain: r.FailureDomain, Started: r.Started, InputBytes: r.InputBytes,
	})
	if !ok {
		return 0, refusal
	}
	q.jobs[q.lastID] = job
	return q.lastID, ""
}

// pieces returns the pieces that a call sends. It is called with the lock held.
func (q *serviceQueue) pieces(call stagework.Call, now time.Time) []Piece {
	pieces := make([]Piece, len(call.Items))
	for i, item := range call.Items {
		job := q.jobs[item.Job]
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
