package stagework

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/virtualtime"
)

// simulation plays requests of one stage against three servers in virtual time.
// Each request arrives at one of several instances, which use one queue together or
// one each.
type simulation struct {
	agenda virtualtime.Agenda
	queues []*Queue
	// perRequest lets no two requests share a call.
	perRequest bool
	busy       map[string]bool
	requests   map[JobID]Job
	// resultBytes is the size of a result, and usedAfter how long after a stage its
	// results are freed.
	resultBytes int64
	usedAfter   time.Duration
	onTime      int
	calls       int
	refused     int
}

const simulatedInstances = 9

func newSimulation(queues int, perRequest bool) *simulation {
	s := &simulation{perRequest: perRequest, busy: map[string]bool{}, requests: map[JobID]Job{}, resultBytes: 100_000, usedAfter: 250 * time.Millisecond}
	for range queues {
		s.queues = append(s.queues, queue("a", "a", "a"))
	}
	return s
}

func (s *simulation) after(now time.Time, d time.Duration, run func(time.Time)) {
	s.agenda.At(now.Add(d), run)
}

// burst lets requests arrive at a mean rate per second, three times as many from
// second 2 to 5.
func (s *simulation) burst(perSecond float64, until time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	id := JobID(0)
	for at := time.Duration(0); at < until; {
		rate := perSecond
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
		s.after(epoch, at, func(now time.Time) {
			j.Due, j.Deadline = now.Add(800*time.Millisecond), now.Add(3*time.Second)
			if _, ok := q.Offer(now, j); ok {
				s.requests[j.ID] = j
			}
			s.pump(now)
		})
	}
	for at := time.Duration(0); at < until+5*time.Second; at += 25 * time.Millisecond {
		s.after(epoch, at, func(now time.Time) {
			for _, q := range s.queues {
				q.Expire(now)
			}
			s.pump(now)
		})
	}
	s.agenda.Run()
}

// pump makes the calls that the queues ask for. A server that is busy refuses.
func (s *simulation) pump(now time.Time) {
	for _, q := range s.queues {
		for {
			if s.perRequest {
				q.shape.Batch = max(1, q.WaitingOfFirstJob(now))
			}
			call, ok := q.Next(now)
			if !ok {
				break
			}
			s.calls++
			if s.busy[call.Server] {
				s.refused++
				s.after(now, time.Millisecond, func(now time.Time) { q.Finished(now, call.ID, same(call, Refused)) })
				continue
			}
			s.busy[call.Server] = true
			s.after(now, shape.CallDuration(len(call.Items)), func(now time.Time) { s.end(q, call, now) })
		}
	}
}

func (s *simulation) end(q *Queue, call Call, now time.Time) {
	s.busy[call.Server] = false
	e := q.Finished(now, call.ID, produce(call))
	q.Freed(e.Orphans)
	for _, done := range e.Ended {
		if done.Refusal == "" && !now.After(s.requests[done.Job].Due) {
			s.onTime++
		}
		s.after(now, s.usedAfter, func(time.Time) { q.Freed(done.Results) })
	}
	s.pump(now)
}

// Guards against calls that carry the pieces of one request or of one instance only,
// under bursts of many small requests that need several stage servers: capacity
// exists only in full calls.
func TestSharedCallsCarryABurstOfSmallRequests(t *testing.T) {
	c := qt.New(t)
	shared, alone, single := newSimulation(1, false), newSimulation(simulatedInstances, false), newSimulation(1, true)
	for _, s := range []*simulation{shared, alone, single} {
		s.burst(8, 8*time.Second)
	}
	figures := fmt.Sprintf("on time: shared %d, each instance alone %d, a call for each request %d; calls %d, %d (refused %d), %d",
		shared.onTime, alone.onTime, single.onTime, shared.calls, alone.calls, alone.refused, single.calls)
	t.Log(figures)
	c.Assert(10*shared.onTime > 12*single.onTime, qt.IsTrue, qt.Commentf(figures))
	c.Assert(10*shared.onTime > 12*alone.onTime, qt.IsTrue, qt.Commentf(figures))
	c.Assert(shared.refused, qt.Equals, 0)
}

// Guards against calls that stay small under a burst of requests with large results,
// because the servers' memory is full of results that were fetched long ago.
func TestResultsFreedWhenFetchedLeaveRoomForFullCalls(t *testing.T) {
	c := qt.New(t)
	var fetch FetchEstimator
	early, late := newSimulation(1, false), newSimulation(1, false)
	for _, s := range []*simulation{early, late} {
		s.resultBytes = shape.RoomBytes / 12
	}
	early.usedAfter, late.usedAfter = fetch.Duration(shape, early.resultBytes), 350*time.Millisecond
	early.burst(12, 8*time.Second)
	late.burst(12, 8*time.Second)
	figures := fmt.Sprintf("on time: freed when fetched %d, with the first event %d; calls %d, %d", early.onTime, late.onTime, early.calls, late.calls)
	t.Log(figures)
	c.Assert(10*early.onTime > 11*late.onTime, qt.IsTrue, qt.Commentf(figures))
}
