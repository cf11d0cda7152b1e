package stagework

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/virtualtime"
)

// simulation runs requests of one stage against three servers in virtual time. Each
// request arrives at one of several instances, which share one queue or have one each.
type simulation struct {
	eventQueue virtualtime.EventQueue
	queues     []*Queue
	// perRequest is true when each call carries the pieces of one request only.
	perRequest bool
	busy       map[string]bool
	requests   map[JobID]Job
	// resultBytes is the size of a result. freedAfter is the time from the end of a
	// job until its results are freed.
	resultBytes int64
	freedAfter  time.Duration
	onTime      int
	calls       int
	refused     int
}

const simulatedInstances = 9

func newSimulation(queues int, perRequest bool) *simulation {
	s := &simulation{perRequest: perRequest, busy: map[string]bool{}, requests: map[JobID]Job{}, resultBytes: 100_000, freedAfter: 250 * time.Millisecond}
	for range queues {
		s.queues = append(s.queues, newQueue("a", "a", "a"))
	}
	return s
}

func (s *simulation) schedule(now time.Time, d time.Duration, run func(time.Time)) {
	s.eventQueue.At(now.Add(d), run)
}

// playBurst runs the simulation with requests that arrive at a mean rate, which is three
// times as high from second 2 to 5.
func (s *simulation) playBurst(meanPerSecond float64, until time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	id := JobID(0)
	for at := time.Duration(0); at < until; {
		rate := meanPerSecond
		if at >= 2*time.Second && at < 5*time.Second {
			rate *= 3
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		id++
		j := Job{ID: id, ResultBytes: s.resultBytes, FailureDomain: "a"}
		for p := range 1 + random.IntN(6) {
			j.Pieces = append(j.Pieces, p)
		}
		q := s.queues[random.IntN(simulatedInstances)%len(s.queues)]
		s.schedule(epoch, at, func(now time.Time) {
			j.Due, j.Deadline = now.Add(800*time.Millisecond), now.Add(3*time.Second)
			if _, ok := q.Offer(now, j); ok {
				s.requests[j.ID] = j
			}
			s.makeCalls(now)
		})
	}
	for at := time.Duration(0); at < until+5*time.Second; at += 25 * time.Millisecond {
		s.schedule(epoch, at, func(now time.Time) {
			for _, q := range s.queues {
				q.Expire(now)
			}
			s.makeCalls(now)
		})
	}
	s.eventQueue.Run()
}

// makeCalls makes the calls that the queues return. A busy server refuses them.
func (s *simulation) makeCalls(now time.Time) {
	for _, q := range s.queues {
		for {
			if s.perRequest {
				q.profile.Batch = max(1, q.WaitingOfFirstJob(now))
			}
			call, ok := q.Next(now)
			if !ok {
				break
			}
			s.calls++
			if s.busy[call.Server] {
				s.refused++
				s.schedule(now, time.Millisecond, func(now time.Time) { q.Finished(now, call.ID, sameOutcomes(call, Refused)) })
				continue
			}
			s.busy[call.Server] = true
			s.schedule(now, profile.CallDuration(len(call.Items)), func(now time.Time) { s.endCall(q, call, now) })
		}
	}
}

func (s *simulation) endCall(q *Queue, call Call, now time.Time) {
	s.busy[call.Server] = false
	e := q.Finished(now, call.ID, producedOutcomes(call))
	q.Freed(e.Orphans)
	for _, done := range e.Done {
		if done.Refusal == "" && !now.After(s.requests[done.Job].Due) {
			s.onTime++
		}
		s.schedule(now, s.freedAfter, func(time.Time) { q.Freed(done.Results) })
	}
	s.makeCalls(now)
}

// Guards against calls with the pieces of only one request or one instance. Servers
// reach their capacity only with full calls, so a burst of many small requests then
// overloads them.
func TestSharedQueueServesMoreRequestsInABurst(t *testing.T) {
	c := qt.New(t)
	shared, perInstance, perRequest := newSimulation(1, false), newSimulation(simulatedInstances, false), newSimulation(1, true)
	for _, s := range []*simulation{shared, perInstance, perRequest} {
		s.playBurst(8, 8*time.Second)
	}
	figures := fmt.Sprintf("on time: shared queue %d, queue per instance %d, call per request %d; calls %d, %d (refused %d), %d",
		shared.onTime, perInstance.onTime, perRequest.onTime, shared.calls, perInstance.calls, perInstance.refused, perRequest.calls)
	t.Log(figures)
	c.Assert(10*shared.onTime > 12*perRequest.onTime, qt.IsTrue, qt.Commentf(figures))
	c.Assert(10*shared.onTime > 12*perInstance.onTime, qt.IsTrue, qt.Commentf(figures))
	c.Assert(shared.refused, qt.Equals, 0)
}

// Guards against small calls under a burst of requests with large results. They occur
// when the servers' memory is occupied by results that were already fetched.
func TestResultsFreedWhenFetchedLeaveRoomForFullCalls(t *testing.T) {
	c := qt.New(t)
	var fetch FetchEstimator
	early, late := newSimulation(1, false), newSimulation(1, false)
	for _, s := range []*simulation{early, late} {
		s.resultBytes = profile.RoomBytes / 12
	}
	early.freedAfter, late.freedAfter = fetch.Duration(profile, early.resultBytes), 350*time.Millisecond
	early.playBurst(12, 8*time.Second)
	late.playBurst(12, 8*time.Second)
	figures := fmt.Sprintf("on time: freed when fetched %d, with the first event %d; calls %d, %d", early.onTime, late.onTime, early.calls, late.calls)
	t.Log(figures)
	c.Assert(10*early.onTime > 11*late.onTime, qt.IsTrue, qt.Commentf(figures))
}
