package stagework

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	epoch = time.Unix(1000, 0)
	shape = ServerProfile{Slots: 1, Batch: 8, CallTime: 200 * time.Millisecond, PieceTime: 20 * time.Millisecond, RoomBytes: 12_000_000, ResultLife: 4 * time.Second}
)

func queue(domains ...string) *Queue {
	q := NewQueue(shape)
	var servers []Server
	for i, d := range domains {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), FailureDomain: d})
	}
	q.SetServers(servers)
	return q
}

// request returns a job with n pieces that is due in a second.
func request(id JobID, n int) Job {
	j := Job{ID: id, ResultBytes: 1000, Due: epoch.Add(time.Second), Deadline: epoch.Add(5 * time.Second), FailureDomain: "a"}
	for i := range n {
		j.Pieces = append(j.Pieces, i)
	}
	return j
}

func produce(call Call) []Outcome {
	outcomes := make([]Outcome, len(call.Items))
	for i, item := range call.Items {
		outcomes[i].Result = fmt.Sprintf("%s/%d-%d", call.Server, item.Job, item.Piece)
	}
	return outcomes
}

func same(call Call, status Status) []Outcome {
	outcomes := make([]Outcome, len(call.Items))
	for i := range outcomes {
		outcomes[i].Status = status
	}
	return outcomes
}

func offer(c *qt.C, q *Queue, j Job) {
	_, ok := q.Offer(epoch, j)
	c.Assert(ok, qt.IsTrue)
}

// Guards against one call for each request: the load of many small requests needs
// more calls than the servers can make.
func TestPiecesOfSeveralRequestsShareACall(t *testing.T) {
	c := qt.New(t)
	q := queue("a")
	for id := range JobID(3) {
		offer(c, q, request(id+1, 3))
	}
	call, ok := q.Next(epoch)
	c.Assert(ok, qt.IsTrue)
	c.Assert(len(call.Items), qt.Equals, 8)
	_, ok = q.Next(epoch)
	c.Assert(ok, qt.IsFalse, qt.Commentf("the only slot is taken"))
	e := q.Finished(epoch.Add(360*time.Millisecond), call.ID, produce(call))
	c.Assert(len(e.Ended), qt.Equals, 2)
	c.Assert(e.Ended[0].Results, qt.DeepEquals, []string{"s0/1-0", "s0/1-1", "s0/1-2"})
	rest, ok := q.Next(epoch.Add(360 * time.Millisecond))
	c.Assert(ok, qt.IsTrue)
	c.Assert(rest.Items, qt.DeepEquals, []Item{{Job: 3, Piece: 2}})
}

// Guards against a server that is sent pieces for whose results it has no memory.
func TestRoomForResultsIsReserved(t *testing.T) {
	c := qt.New(t)
	q := queue("a")
	heavy := request(1, 16)
	heavy.ResultBytes = 1_500_000
	offer(c, q, heavy)
	first, _ := q.Next(epoch)
	c.Assert(len(first.Items), qt.Equals, 8)
	now := epoch.Add(400 * time.Millisecond)
	q.Finished(now, first.ID, produce(first))
	_, ok := q.Next(now)
	c.Assert(ok, qt.IsFalse, qt.Commentf("the results of the first call fill the room"))
	q.Freed([]string{"s0/1-0", "s0/1-1"})
	second, ok := q.Next(now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(len(second.Items), qt.Equals, 2)
	later := now.Add(shape.ResultLife + time.Millisecond)
	q.Finished(later, second.ID, produce(second))
	third, ok := q.Next(later)
	c.Assert(ok, qt.IsTrue)
	c.Assert(len(third.Items), qt.Equals, 6, qt.Commentf("results end with their life"))
}

// Guards against work for a request that cannot be answered in time, and against
// a refusal of one that can.
func TestHopelessJobsAreRefusedBeforeTheirCall(t *testing.T) {
	c := qt.New(t)
	q := queue("a")
	hopeless := request(1, 8)
	hopeless.Deadline = epoch.Add(300 * time.Millisecond)
	why, ok := q.Offer(epoch, hopeless)
	c.Assert(ok, qt.IsFalse)
	c.Assert(why, qt.Equals, RefusedLate)
	offer(c, q, request(2, 8))
	_, _ = q.Next(epoch)
	waiting := request(3, 1)
	waiting.Deadline = epoch.Add(700 * time.Millisecond)
	offer(c, q, waiting)
	e := q.Expire(epoch.Add(600 * time.Millisecond))
	c.Assert(e.Ended, qt.DeepEquals, []EndedJob{{Job: 3, Refusal: RefusedLate}})
	why, ok = NewQueue(shape).Offer(epoch, request(4, 1))
	c.Assert(ok, qt.IsFalse)
	c.Assert(why, qt.Equals, RefusedNoServer)
}

// Guards against late requests that hold up those that can still be on time, under
// a burst that leaves both waiting.
func TestRequestsThatCanBeOnTimeGoFirst(t *testing.T) {
	c := qt.New(t)
	q := queue("a")
	late := request(1, 8)
	late.Due = epoch.Add(-time.Second)
	offer(c, q, late)
	offer(c, q, request(2, 8))
	call, _ := q.Next(epoch)
	c.Assert(call.Items[0].Job, qt.Equals, JobID(2))
}

// Guards against finished stages that are lost because new requests go first.
func TestStartedRequestsGoFirst(t *testing.T) {
	c := qt.New(t)
	q := queue("a")
	offer(c, q, request(1, 8))
	started := request(2, 8)
	started.Started = true
	offer(c, q, started)
	call, _ := q.Next(epoch)
	c.Assert(call.Items[0].Job, qt.Equals, JobID(2))
}

// Guards against pieces that wait behind a server that hangs, and against a result
// that two calls produced and nobody frees.
func TestPiecesOfOverdueCallsGoToAnotherServer(t *testing.T) {
	c := qt.New(t)
	q := queue("a", "a")
	offer(c, q, request(1, 2))
	stuck, _ := q.Next(epoch)
	now := epoch.Add(600 * time.Millisecond)
	q.Expire(now)
	again, ok := q.Next(now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(again.Server, qt.Not(qt.Equals), stuck.Server)
	e := q.Finished(now, again.ID, produce(again))
	c.Assert(len(e.Ended), qt.Equals, 1)
	e = q.Finished(now, stuck.ID, produce(stuck))
	c.Assert(e.Ended, qt.HasLen, 0)
	c.Assert(e.Orphans, qt.HasLen, 2)
}

// Guards against large results that cross failure domains although a server of
// the own one will be free soon, and against a request that waits for one although it
// would be late, or longer than the crossing costs.
func TestLargeResultsStayInTheirFailureDomain(t *testing.T) {
	c := qt.New(t)
	q := queue("a", "b")
	heavy := request(1, 1)
	heavy.ResultBytes = 6_000_000
	offer(c, q, heavy)
	first, _ := q.Next(epoch)
	c.Assert(first.Server, qt.Equals, "s0")
	heavy.ID = 2
	offer(c, q, heavy)
	_, ok := q.Next(epoch)
	c.Assert(ok, qt.IsFalse)
	urgent := heavy
	urgent.ID, urgent.Due = 3, epoch.Add(300*time.Millisecond)
	offer(c, q, urgent)
	call, ok := q.Next(epoch)
	c.Assert(ok, qt.IsTrue)
	c.Assert(call.Server, qt.Equals, "s1")
	c.Assert(call.Items, qt.DeepEquals, []Item{{Job: 3}})
	q.Finished(epoch, call.ID, produce(call))
	lighter := heavy
	lighter.ID, lighter.ResultBytes = 4, 1_000_000
	offer(c, q, lighter)
	call, ok = q.Next(epoch)
	c.Assert(ok, qt.IsTrue)
	c.Assert(call.Items, qt.DeepEquals, []Item{{Job: 4}})
}

// Guards against pieces that fetch large inputs from another failure domain.
func TestLargeInputsCountLikeResults(t *testing.T) {
	c := qt.New(t)
	q := queue("a", "b")
	offer(c, q, request(1, 1))
	first, _ := q.Next(epoch)
	c.Assert(first.Server, qt.Equals, "s0")
	fetching := request(2, 6)
	fetching.InputBytes = 1_000_000
	offer(c, q, fetching)
	_, ok := q.Next(epoch)
	c.Assert(ok, qt.IsFalse)
	q.Finished(epoch.Add(shape.CallDuration(1)), first.ID, produce(first))
	call, ok := q.Next(epoch.Add(shape.CallDuration(1)))
	c.Assert(ok, qt.IsTrue)
	c.Assert(call.Server, qt.Equals, "s0")
	c.Assert(call.Items, qt.HasLen, 6)
}

// Guards against a job that is tried forever at failing servers, and against one
// that is given up after the first failure.
func TestFailedPiecesAreTriedAgainAFewTimes(t *testing.T) {
	c := qt.New(t)
	q := queue("a")
	offer(c, q, request(1, 1))
	now := epoch
	var e Effects
	for range maxFailures + 1 {
		call, ok := q.Next(now)
		c.Assert(ok, qt.IsTrue)
		c.Assert(e.Ended, qt.HasLen, 0)
		e = q.Finished(now, call.ID, same(call, Failed))
		now = now.Add(maxFailurePause)
	}
	c.Assert(e.Ended, qt.DeepEquals, []EndedJob{{Job: 1, Refusal: RefusedFailed}})
}

// Guards against a cancelled request whose results stay in the memory of servers.
func TestCancelledJobsLeaveOrphans(t *testing.T) {
	c := qt.New(t)
	q := queue("a")
	offer(c, q, request(1, 10))
	first, _ := q.Next(epoch)
	now := epoch.Add(400 * time.Millisecond)
	q.Finished(now, first.ID, produce(first))
	second, _ := q.Next(now)
	c.Assert(q.Cancel(1).Orphans, qt.HasLen, 8)
	c.Assert(q.Finished(now, second.ID, produce(second)).Orphans, qt.HasLen, 2)
}

// Guards against the second answer to a call that is taken for the answer to the
// next one, which hands results to the wrong request.
func TestSecondAnswerToACallIsNotTheNextOnes(t *testing.T) {
	c := qt.New(t)
	q := queue("a")
	offer(c, q, request(1, 2))
	first, _ := q.Next(epoch)
	outcomes := produce(first)
	q.Finished(epoch, first.ID, outcomes)
	offer(c, q, request(2, 2))
	second, _ := q.Next(epoch)
	e := q.Finished(epoch, second.ID, outcomes)
	c.Assert(e.Ended, qt.HasLen, 0)
	c.Assert(e.Orphans, qt.HasLen, 0)
}

// Guards against calls that a server without room answers in vain, again and
// again, after the instance that knew of its results has gone.
func TestServersWithoutRoomAreTakenAsFull(t *testing.T) {
	c := qt.New(t)
	q := queue("a")
	heavy := request(1, 4)
	heavy.ResultBytes = 1_500_000
	offer(c, q, heavy)
	call, _ := q.Next(epoch)
	outcomes := produce(call)
	outcomes[2], outcomes[3] = Outcome{Status: NoRoom}, Outcome{Status: NoRoom}
	q.Finished(epoch, call.ID, outcomes)
	_, ok := q.Next(epoch)
	c.Assert(ok, qt.IsFalse)
	q.Freed([]string{outcomes[0].Result})
	again, ok := q.Next(epoch)
	c.Assert(ok, qt.IsTrue)
	c.Assert(again.Items, qt.HasLen, 1)
	q.Finished(epoch, again.ID, produce(again))
	last, ok := q.Next(epoch.Add(roomPause))
	c.Assert(ok, qt.IsTrue)
	c.Assert(last.Items, qt.HasLen, 1)
}

// Guards against full calls to a server that was slow, which make all their pieces
// late, each time that its slowness is forgotten.
func TestServersThatWereSlowAreProbedWithOnePiece(t *testing.T) {
	c := qt.New(t)
	q := queue("a")
	offer(c, q, request(1, 1))
	slow, _ := q.Next(epoch)
	now := epoch.Add(2 * time.Second)
	q.Finished(now, slow.ID, produce(slow))
	q.SetServers([]Server{{ID: "s0", FailureDomain: "a"}, {ID: "s1", FailureDomain: "a"}})
	now = now.Add(factorLife + time.Millisecond)
	for id := range JobID(2) {
		j := request(id+2, 4)
		j.Due, j.Deadline = now.Add(time.Second), now.Add(5*time.Second)
		_, ok := q.Offer(now, j)
		c.Assert(ok, qt.IsTrue)
	}
	probe, ok := q.Next(now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(probe.Server, qt.Equals, "s0")
	c.Assert(probe.Items, qt.HasLen, 1)
	rest, ok := q.Next(now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(rest.Server, qt.Equals, "s1")
	c.Assert(rest.Items, qt.HasLen, 7)
	now = now.Add(210 * time.Millisecond)
	q.Finished(now, probe.ID, produce(probe))
	offer(c, q, request(9, 4))
	full, ok := q.Next(now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(full.Server, qt.Equals, "s0")
}

// Guards against a server that rests because single pieces of its calls fail.
func TestErrorsOfSinglePiecesDoNotPauseTheirServer(t *testing.T) {
	c := qt.New(t)
	q := queue("a")
	offer(c, q, request(1, 4))
	call, _ := q.Next(epoch)
	outcomes := produce(call)
	outcomes[1] = Outcome{Status: Failed}
	q.Finished(epoch, call.ID, outcomes)
	again, ok := q.Next(epoch)
	c.Assert(ok, qt.IsTrue)
	c.Assert(again.Items, qt.DeepEquals, []Item{{Job: 1, Piece: 1}})
}

// Guards against inputs that are freed while a piece still waits for a call, and
// against pieces that are tried again without inputs.
func TestJobsWithoutInputsAreNotTriedAgain(t *testing.T) {
	c := qt.New(t)
	q := queue("a")
	first, second := request(1, 6), request(2, 6)
	offer(c, q, first)
	offer(c, q, second)
	call, _ := q.Next(epoch)
	c.Assert(call.FullyDispatched, qt.DeepEquals, []JobID{1})
	c.Assert(q.InputsFetched(2, call.ID), qt.IsFalse)
	q.Finished(epoch, call.ID, same(call, Refused))
	c.Assert(q.InputsFetched(1, call.ID), qt.IsFalse)
	later := epoch.Add(refusedPause)
	again, _ := q.Next(later)
	c.Assert(again.FullyDispatched, qt.DeepEquals, []JobID{1})
	c.Assert(q.InputsFetched(1, call.ID), qt.IsFalse)
	c.Assert(q.InputsFetched(1, again.ID), qt.IsTrue)
	c.Assert(q.InputsFetched(1, again.ID), qt.IsFalse)
	outcomes := produce(again)
	outcomes[0] = Outcome{Status: NoRoom}
	e := q.Finished(later, again.ID, outcomes)
	c.Assert(e.Ended, qt.DeepEquals, []EndedJob{{Job: 1, Refusal: RefusedInputGone}})
	c.Assert(e.Orphans, qt.HasLen, 5)
}

// Guards against inputs that are freed before a server begins, again and again.
func TestLostInputsLengthenTheFetchTime(t *testing.T) {
	c := qt.New(t)
	q := queue("a")
	offer(c, q, request(1, 1))
	call, _ := q.Next(epoch)
	c.Assert(call.FetchTime, qt.Equals, fetchLatency)
	c.Assert(q.InputsFetched(1, call.ID), qt.IsTrue)
	q.Finished(epoch, call.ID, same(call, InputGone))
	offer(c, q, request(2, 1))
	call, _ = q.Next(epoch)
	c.Assert(call.FetchTime, qt.Equals, 2*fetchLatency)
}

// Guards against a lack of memory for results that is not told, and against one that
// is told for ever.
func TestALackOfRoomIsTold(t *testing.T) {
	c := qt.New(t)
	q := queue("a")
	j := request(1, 8)
	j.ResultBytes = shape.RoomBytes / 4
	offer(c, q, j)
	c.Assert(q.RoomShort(epoch), qt.IsFalse)
	call, _ := q.Next(epoch)
	c.Assert(call.Items, qt.HasLen, 4)
	c.Assert(call.FullyDispatched, qt.HasLen, 0)
	c.Assert(q.RoomShort(epoch), qt.IsTrue)
	c.Assert(q.RoomShort(epoch.Add(shortLife)), qt.IsFalse)
}

// Guards against a handover that loses what has begun, or keeps what has not.
func TestHandOverKeepsWhatHasBegun(t *testing.T) {
	c := qt.New(t)
	q := queue("a")
	offer(c, q, request(1, 10))
	second := request(2, 3)
	second.Due = epoch.Add(3 * time.Second)
	offer(c, q, second)
	call, _ := q.Next(epoch)
	c.Assert(call.Items, qt.HasLen, 8)
	c.Assert(q.HandOver().Ended, qt.DeepEquals, []EndedJob{{Job: 2, Refusal: RefusedMoved}})
	later := epoch.Add(shape.CallDuration(8))
	c.Assert(q.Finished(later, call.ID, produce(call)).Ended, qt.HasLen, 0)
	rest, _ := q.Next(later)
	done := q.Finished(later, rest.ID, produce(rest)).Ended
	c.Assert(done, qt.HasLen, 1)
	c.Assert(done[0].Results, qt.HasLen, 10)
}
