package stagework

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newPriorityQueue returns a queue that orders by priority, with one busy server, and holds
// urgent and other jobs of one full call each. The other ones are due earlier.
func newPriorityQueue(c *qt.C, jobs int, due time.Duration) *Queue {
	q := newQueue("a")
	q.SetPriorityOrder(true)
	offer(c, q, newJob(1000, profile.Batch))
	q.Next(epoch)
	for i := range jobs {
		urgent, other := newJob(JobID(i+1), profile.Batch), newJob(JobID(i+101), profile.Batch)
		urgent.Due, other.Due = epoch.Add(due), epoch.Add(due-500*time.Millisecond)
		urgent.Deadline, other.Deadline = epoch.Add(time.Minute), epoch.Add(time.Minute)
		other.Priority = 1
		offer(c, q, other)
		offer(c, q, urgent)
	}
	q.Expire(epoch)
	return q
}

// nextJob ends the running call at a time and returns the first job of the next one.
func nextJob(c *qt.C, q *Queue, at time.Duration) JobID {
	for id, running := range q.calls {
		q.Finished(epoch.Add(at), id, producedOutcomes(running.Call))
	}
	call, ok := q.Next(epoch.Add(at))
	c.Assert(ok, qt.IsTrue)
	return call.Items[0].Job
}

// Guards against less urgent jobs that take the capacity that urgent ones need, because they
// are due earlier.
func TestUrgentJobsGoFirstUnderShortage(t *testing.T) {
	c := qt.New(t)
	q := newPriorityQueue(c, 5, 2*time.Second)
	c.Assert(q.Short(epoch), qt.IsTrue)
	c.Assert(nextJob(c, q, 360*time.Millisecond), qt.Equals, JobID(1))
	waits := q.Waits(epoch.Add(360 * time.Millisecond))
	c.Assert(waits.OnTime(0) < waits.OnTime(1), qt.IsTrue, qt.Commentf("%v", waits))
}

// Guards against an order by priority that delays less urgent jobs while all can be on time.
func TestDueTimesOrderJobsWithoutShortage(t *testing.T) {
	c := qt.New(t)
	q := newPriorityQueue(c, 1, 4*time.Second)
	c.Assert(q.Short(epoch), qt.IsFalse)
	c.Assert(nextJob(c, q, 360*time.Millisecond), qt.Equals, JobID(101))
}

// Guards against a kind that gets no call for as long as more urgent jobs wait.
func TestLessUrgentJobsKeepTheirLeastShare(t *testing.T) {
	c := qt.New(t)
	q := newPriorityQueue(c, 15, 10*time.Second)
	others := 0
	for i := range leastShareCalls + 1 {
		q.shortAt = epoch.Add(time.Duration(i) * time.Millisecond)
		if nextJob(c, q, time.Duration(i)*time.Millisecond) > 100 {
			others++
		}
	}
	c.Assert(others, qt.Equals, 1)
}

// Guards against a request that waits to the end of its deadline behind more urgent ones that
// arrived after it, and against the refusal of the urgent ones in its place.
func TestLeastUrgentJobIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	q := newQueue("a")
	q.SetPriorityOrder(true)
	other := newJob(1, profile.Batch)
	other.Priority, other.Deadline = 1, epoch.Add(1800*time.Millisecond)
	offer(c, q, other)
	for id := JobID(2); id < 8; id++ {
		urgent := newJob(id, profile.Batch)
		urgent.Due = epoch.Add(3 * time.Second)
		offer(c, q, urgent)
	}
	c.Assert(q.Expire(epoch).Done, qt.HasLen, 0)
	q.jobs[1].Due = epoch
	c.Assert(q.Expire(epoch).Done, qt.DeepEquals, []EndedJob{{Job: 1, Refusal: RefusedLate}})
}

// Guards against a job that waits behind others with some of its pieces produced, whose
// results occupy memory meanwhile.
func TestBegunJobsAreFinishedFirst(t *testing.T) {
	c := qt.New(t)
	q := newQueue("a")
	q.SetPriorityOrder(true)
	begun := newJob(1, profile.Batch+1)
	begun.Priority = 1
	offer(c, q, begun)
	q.Next(epoch)
	urgent := newJob(2, profile.Batch)
	urgent.Due = epoch.Add(500 * time.Millisecond)
	offer(c, q, urgent)
	c.Assert(nextJob(c, q, 100*time.Millisecond), qt.Equals, JobID(1))
}
