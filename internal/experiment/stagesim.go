package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/virtualtime"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// stageProfile describes the stage servers of the experiments.
var stageProfile = stagework.ServerProfile{
	Slots: 1, Batch: 8, CallTime: 200 * time.Millisecond, PieceTime: 20 * time.Millisecond,
	RoomBytes: 12 * stageResultBytes, ResultLife: 4 * time.Second,
}

const (
	// stageResultBytes is the size of a result. A server has room for twelve.
	stageResultBytes   = 1_500_000
	stageServers       = 4
	stageInstances     = 9
	stageTargetLatency = 900 * time.Millisecond
	stageDeadline      = 3 * time.Second
	// maxPieces is the largest number of pieces that a request needs.
	maxPieces = 6
	// firstEventDelay is the time from sending a request to its model server until the
	// server sends the first event.
	firstEventDelay = 350 * time.Millisecond
	// expiryInterval is how often Queue.Expire is called.
	expiryInterval = 25 * time.Millisecond
)

// stageArrival is one request that needs pieces of the stage.
type stageArrival struct {
	at       time.Duration
	instance int
	pieces   int
}

// stageArrivals returns requests at a rate per second, three times as many in the
// middle third.
func stageArrivals(perSecond float64, length time.Duration, seed uint64) (arrivals []stageArrival) {
	random := rand.New(rand.NewPCG(seed, 0))
	for at := time.Duration(0); ; {
		rate := perSecond
		if at > length/3 && at < 2*length/3 {
			rate *= 3
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return arrivals
		}
		arrivals = append(arrivals, stageArrival{at, random.IntN(stageInstances), 1 + random.IntN(maxPieces)})
	}
}

// stagePolicy describes how instances use the stage servers.
type stagePolicy struct {
	// queues is the number of queues among which the instances are divided.
	queues int
	// callPerRequest gives each request a call of its own.
	callPerRequest bool
	// resultHoldTime is the time from the end of a stage until its results are freed.
	resultHoldTime time.Duration
	// adjustJob changes a job before it is offered to the queue, such as the times that
	// the queue decides by; nil changes nothing.
	adjustJob func(j stagework.Job, now time.Time) stagework.Job
}

// stageSimulation simulates instances and stage servers in virtual time.
type stageSimulation struct {
	policy   stagePolicy
	events   virtualtime.EventQueue
	queues   []*stagework.Queue
	busy     map[string]bool
	requests map[stagework.JobID]stageRequest
	figures  stageFigures
}

type stageRequest struct {
	due, deadline time.Time
	pieces        int
}

// stageFigures counts requests by their outcome, calls and results.
type stageFigures struct {
	all, onTime, served, refused int
	calls, refusedCalls          int
	producedResults, usedResults int
	// totalRefusalDelay is the sum of the times from arrival to refusal.
	totalRefusalDelay time.Duration
}

// simulateStages simulates the arrivals under a policy.
func simulateStages(policy stagePolicy, arrivals []stageArrival) stageFigures {
	s := &stageSimulation{policy: policy, busy: map[string]bool{}, requests: map[stagework.JobID]stageRequest{}}
	var servers []stagework.Server
	for i := range stageServers {
		servers = append(servers, stagework.Server{ID: fmt.Sprint(i), FailureDomain: "d"})
	}
	for range policy.queues {
		q := stagework.NewQueue(stageProfile)
		q.SetServers(servers)
		s.queues = append(s.queues, q)
	}
	epoch := time.Unix(0, 0)
	for i, a := range arrivals {
		s.after(epoch, a.at, func(now time.Time) { s.arrive(stagework.JobID(i+1), a, now) })
	}
	end := arrivals[len(arrivals)-1].at + stageDeadline
	for at := time.Duration(0); at < end; at += expiryInterval {
		s.after(epoch, at, s.expire)
	}
	s.events.Run()
	return s.figures
}

func (s *stageSimulation) after(now time.Time, d time.Duration, run func(time.Time)) {
	s.events.At(now.Add(d), run)
}

func (s *stageSimulation) arrive(id stagework.JobID, request stageArrival, now time.Time) {
	r := stageRequest{now.Add(stageTargetLatency), now.Add(stageDeadline), request.pieces}
	s.figures.all++
	job := stagework.Job{ID: id, ResultBytes: stageResultBytes, FailureDomain: "d", Due: r.due, Deadline: r.deadline}
	for piece := range request.pieces {
		job.Pieces = append(job.Pieces, piece)
	}
	if s.policy.adjustJob != nil {
		job = s.policy.adjustJob(job, now)
	}
	if _, ok := s.queues[request.instance%len(s.queues)].Offer(now, job); !ok {
		s.figures.refused++
		return
	}
	s.requests[id] = r
	s.startCalls(now)
}

func (s *stageSimulation) expire(now time.Time) {
	for _, q := range s.queues {
		s.applyEffects(q, q.Expire(now), now)
	}
	s.startCalls(now)
}

// startCalls starts the calls that the queues have ready. A busy server refuses them.
func (s *stageSimulation) startCalls(now time.Time) {
	for _, q := range s.queues {
		for {
			if s.policy.callPerRequest {
				profile := stageProfile
				profile.Batch = max(1, q.WaitingOfFirstJob(now))
				q.SetProfile(profile)
			}
			call, ok := q.Next(now)
			if !ok {
				break
			}
			s.figures.calls++
			if s.busy[call.Server] {
				s.figures.refusedCalls++
				s.after(now, time.Millisecond, func(now time.Time) {
					q.Finished(now, call.ID, stagework.SameOutcome(stagework.Refused, len(call.Items)))
				})
				continue
			}
			s.busy[call.Server] = true
			s.after(now, stageProfile.CallDuration(len(call.Items)), func(now time.Time) { s.finishCall(q, call, now) })
		}
	}
}

func (s *stageSimulation) finishCall(q *stagework.Queue, call stagework.Call, now time.Time) {
	s.busy[call.Server] = false
	outcomes := make([]stagework.Outcome, len(call.Items))
	for i, item := range call.Items {
		outcomes[i].Handle = fmt.Sprintf("%s/%d-%d", call.Server, item.Job, item.Piece)
	}
	s.figures.producedResults += len(outcomes)
	s.applyEffects(q, q.Finished(now, call.ID, outcomes), now)
	s.startCalls(now)
}

func (s *stageSimulation) applyEffects(q *stagework.Queue, e stagework.Effects, now time.Time) {
	q.Freed(e.Orphans)
	for _, done := range e.Done {
		r := s.requests[done.Job]
		switch {
		case done.Refusal != "":
			s.figures.refused++
			s.figures.totalRefusalDelay += now.Sub(r.deadline.Add(-stageDeadline))
			continue
		case now.After(r.deadline):
		case now.After(r.due):
			s.figures.served++
			s.figures.usedResults += r.pieces
		default:
			s.figures.served++
			s.figures.onTime++
			s.figures.usedResults += r.pieces
		}
		s.after(now, s.policy.resultHoldTime, func(now time.Time) {
			q.Freed(done.Results)
			s.startCalls(now)
		})
	}
}
