package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/leases"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store/storetest"
	"github.com/coltsfootdrift/coltsfootdrift/job"
)

// world is a fleet of instances on one store with clocks that a test advances.
type world struct {
	fake    *storetest.Fake
	wall    atomic.Int64
	members []string
	// heir takes over the jobs of an instance that stops.
	heir *instance
}

func newWorld() *world {
	w := &world{fake: storetest.New()}
	w.wall.Store(time.Unix(1_700_000_000, 0).UnixMilli())
	return w
}

func (w *world) now() time.Time { return time.UnixMilli(w.wall.Load()) }

// pass lets time pass for the store, the clocks and the given instances.
func (w *world) pass(c *qt.C, d time.Duration, awake ...*instance) {
	for ; d > 0; d -= time.Second {
		w.wall.Add(time.Second.Milliseconds())
		w.fake.Advance(time.Second)
		for _, i := range awake {
			i.keeper.Tick(c.Context())
		}
	}
}

func (w *world) FailureDomainInstances() []string { return w.members }
func (w *world) JobsReleased(ctx context.Context, ids []string) {
	for _, id := range ids {
		_, _ = w.heir.HandOverJob(ctx, []byte(id))
	}
}

// instance is Jobs with a runner that a test drives.
type instance struct {
	*Jobs
	runs chan *testRun
}

// testRun is one call of the runner, which ends when result is sent.
type testRun struct {
	ctx      context.Context
	job      Job
	progress Progress
	result   chan Result
}

func (i *instance) Run(ctx context.Context, j Job, progress Progress) Result {
	r := &testRun{ctx, j, progress, make(chan Result, 1)}
	i.runs <- r
	return <-r.result
}

func (w *world) instance(c *qt.C, name string) *instance {
	i := &instance{runs: make(chan *testRun, 8)}
	i.Jobs = New(Config{
		Instance: name, Store: w.fake, Members: w, Runner: i, BootTime: w.now, WallTime: w.now,
		Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	})
	return i
}

func (i *instance) submit(c *qt.C) string {
	id, err := i.Submit(c.Context(), Job{Organisation: "acme", Pipeline: "p", Kind: "k", Body: []byte(`{"a":1}`), Retention: time.Hour})
	c.Assert(err, qt.IsNil)
	return id
}

// Guards against a write every few seconds by each instance of a large fleet,
// most of which have no jobs.
func TestInstanceWithoutJobsHoldsNoLease(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	a := w.instance(c, "a")
	w.pass(c, time.Minute, a)
	w.scan(c, a)
	c.Assert(w.fake.Count(storetest.Grant), qt.Equals, 0)

	id := a.submit(c)
	w.pass(c, time.Minute, a)
	_, leased := a.Counts()
	c.Assert(leased, qt.IsTrue)
	(<-a.runs).result <- Result{Outcome: "completed"}
	a.finished(c, id)
	w.pass(c, leaseIdle+leases.TTL, a)
	_, leased = a.Counts()
	c.Assert(leased, qt.IsFalse)
	c.Assert(w.fake.Count(storetest.Grant), qt.Equals, 1)
}

// scan has one instance look at every shard.
func (w *world) scan(c *qt.C, i *instance) {
	w.members = []string{i.Instance}
	i.Scan(c.Context())
}

func (i *instance) finished(c *qt.C, id string) Status {
	status, err := i.Wait(c.Context(), id)
	c.Assert(err, qt.IsNil)
	c.Assert(status.Record.State, qt.Equals, job.StateFinished)
	return status
}

// Guards against a finished stage that runs again after its holder died, and a
// large result that is not split or not read back whole.
func TestTakeoverKeepsFinishedStages(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	a, b := w.instance(c, "a"), w.instance(c, "b")
	id := a.submit(c)
	run := <-a.runs
	c.Assert(string(run.job.Body), qt.Equals, `{"a":1}`)
	large, err := json.Marshal(string(bytes.Repeat([]byte("x"), job.PieceBytes)))
	c.Assert(err, qt.IsNil)
	c.Assert(run.progress.StageDone(c.Context(), "s1", large), qt.IsNil)
	w.scan(c, b)
	status, err := b.Status(c.Context(), id)
	c.Assert(err, qt.IsNil)
	c.Assert(status.Record.Holder, qt.Equals, "a")
	w.pass(c, leases.TTL+time.Second, b)
	w.scan(c, b)
	second := <-b.runs
	c.Assert(bytes.Equal(second.progress.Results["s1"], large), qt.IsTrue)
	second.result <- Result{Outcome: "completed", Answer: large}
	status = b.finished(c, id)
	c.Assert(bytes.Equal(status.Answer, large), qt.IsTrue)
	c.Assert(status.Record.Answer.Pieces, qt.Equals, 2)
	c.Assert(w.fake.Bytes(job.RecordPrefix), qt.Equals, 0)
	run.result <- Result{Outcome: "completed"}
}

// Guards against a holder that was paused for longer than its lease and then
// records a stage, sends a non-idempotent call or ends the job, whether or not
// another instance has taken the job over.
func TestPausedHolderStops(t *testing.T) {
	for _, taken := range []bool{false, true} {
		c := qt.New(t)
		w := newWorld()
		a, b := w.instance(c, "a"), w.instance(c, "b")
		id := a.submit(c)
		run := <-a.runs
		w.pass(c, leases.TTL+time.Second, b)
		var second *testRun
		if taken {
			w.scan(c, b)
			second = <-b.runs
			// The former holder gets a new lease before it notices.
			a.keeper.Tick(c.Context())
			a.keeper.Tick(c.Context())
		}
		before, err := w.fake.Get(c.Context(), job.RecordKey(id))
		c.Assert(err, qt.IsNil)
		c.Assert(run.progress.BeforeNonIdempotentCall(), qt.IsFalse)
		c.Assert(run.progress.StageDone(c.Context(), "s1", json.RawMessage(`1`)), qt.IsNotNil)
		run.result <- Result{Outcome: "completed", Answer: []byte(`"a"`)}
		a.waitStopped(id)
		after, err := w.fake.Get(c.Context(), job.RecordKey(id))
		c.Assert(err, qt.IsNil)
		c.Assert(after.Version, qt.Equals, before.Version)
		if taken {
			second.result <- Result{Outcome: "completed", Answer: []byte(`"b"`)}
			c.Assert(string(b.finished(c, id).Answer), qt.Equals, `"b"`)
		}
	}
}

// waitStopped returns once the job does not run at the instance.
func (i *instance) waitStopped(id string) {
	i.mu.Lock()
	r := i.running[id]
	i.mu.Unlock()
	if r != nil {
		<-r.done
	}
}

// Guards against a holder that is paused between the check of its lease and its
// write, while another instance takes the job over.
func TestHolderPausedDuringItsWrite(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	a, b := w.instance(c, "a"), w.instance(c, "b")
	id := a.submit(c)
	run := <-a.runs
	w.fake.Before = func(_ context.Context, op storetest.Op, key string) error {
		if op == storetest.Swap && key == job.RecordKey(id) {
			w.fake.Before = nil
			w.pass(c, leases.TTL+time.Second, b)
			w.scan(c, b)
		}
		return nil
	}
	c.Assert(run.progress.BeforeNonIdempotentCall(), qt.IsFalse)
	status, err := b.Status(c.Context(), id)
	c.Assert(err, qt.IsNil)
	c.Assert(status.Record.Holder, qt.Equals, "b")
	c.Assert(status.Record.NonIdempotentSent, qt.IsFalse)
	run.result <- Result{}
	(<-b.runs).result <- Result{}
}

// Guards against a non-idempotent call that is sent by two holders.
func TestOnceCallIsNotRepeatedAfterTakeover(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	a, b := w.instance(c, "a"), w.instance(c, "b")
	id := a.submit(c)
	run := <-a.runs
	c.Assert(run.progress.BeforeNonIdempotentCall(), qt.IsTrue)
	w.pass(c, leases.TTL+time.Second, b)
	w.scan(c, b)
	c.Assert(b.finished(c, id).Record.Outcome, qt.Equals, job.OutcomeUnknown)
	c.Assert(b.runs, qt.HasLen, 0)
	run.result <- Result{}
}

// Guards against a job that is accepted without a record, runs although it was
// refused, or runs twice because the answer of its record was lost.
func TestSubmitWithFailingStore(t *testing.T) {
	for _, phase := range []string{"down before", "answer lost", "down after lost answer"} {
		c := qt.New(t)
		w := newWorld()
		a := w.instance(c, "a")
		var mu sync.Mutex
		down, lose := phase == "down before", phase != "down before"
		w.fake.Before = func(context.Context, storetest.Op, string) error {
			mu.Lock()
			defer mu.Unlock()
			if down {
				return store.ErrUnavailable
			}
			return nil
		}
		w.fake.After = func(_ context.Context, op storetest.Op, key string) error {
			mu.Lock()
			defer mu.Unlock()
			if !lose || op != storetest.Swap || key[:len(job.RecordPrefix)] != job.RecordPrefix {
				return nil
			}
			lose = false
			down = phase == "down after lost answer"
			return store.ErrUnknownOutcome
		}
		ctx, cancel := context.WithCancel(c.Context())
		if phase == "down after lost answer" {
			cancel()
		}
		id, err := a.Submit(ctx, Job{Body: []byte(`{}`), Retention: time.Hour})
		cancel()
		mu.Lock()
		down = false
		mu.Unlock()
		switch phase {
		case "down before":
			c.Assert(err, qt.ErrorIs, ErrNotAccepted)
			w.scan(c, a)
			c.Assert(a.runs, qt.HasLen, 0)
			continue
		case "answer lost":
			c.Assert(err, qt.IsNil)
		default:
			c.Assert(err, qt.ErrorIs, ErrUnresolved)
			w.scan(c, a)
		}
		run := <-a.runs
		run.result <- Result{Outcome: "completed", Answer: []byte(`1`)}
		c.Assert(string(a.finished(c, id).Answer), qt.Equals, `1`)
		w.scan(c, a)
		c.Assert(a.runs, qt.HasLen, 0)
	}
}

// Guards against a planned stop after which jobs wait for the lease to lapse, or
// that cuts off a non-idempotent call.
func TestCloseHandsJobsOver(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	a, b := w.instance(c, "a"), w.instance(c, "b")
	ids := []string{a.submit(c), a.submit(c)}
	sending, idle := <-a.runs, <-a.runs
	c.Assert(sending.progress.BeforeNonIdempotentCall(), qt.IsTrue)
	sending.result <- Result{Outcome: "completed", Answer: []byte(`1`)}
	w.heir = b
	a.Close(c.Context())
	second := <-b.runs
	second.result <- Result{Outcome: "completed", Answer: []byte(`2`)}
	var answers []string
	for _, id := range ids {
		answers = append(answers, string(b.finished(c, id).Answer))
	}
	c.Assert(answers, qt.ContentEquals, []string{"1", "2"})
	c.Assert(idle.ctx.Err(), qt.IsNotNil)
	idle.result <- Result{}
	_, err := a.Submit(c.Context(), Job{Body: []byte(`{}`)})
	c.Assert(err, qt.ErrorIs, ErrNotAccepted)
}

// Guards against results that stay in the store after their retention, and
// against their deletion before it.
func TestExpiredJobsAreDeleted(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	a := w.instance(c, "a")
	id := a.submit(c)
	(<-a.runs).result <- Result{Outcome: "completed", Answer: []byte(`1`)}
	a.finished(c, id)
	for range 2 {
		w.scan(c, a)
	}
	a.finished(c, id)
	w.wall.Add((2 * time.Hour).Milliseconds())
	_, err := a.Status(c.Context(), id)
	c.Assert(err, qt.ErrorIs, ErrNotFound)
	for range 2 {
		w.scan(c, a)
	}
	c.Assert(w.fake.Bytes(job.ResultPrefix), qt.Equals, 0)
}

// Guards against an accepted job that is called unknown because the store answers
// from a time before it.
func TestMissingRecordOfNewJobIsUnavailable(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	a := w.instance(c, "a")
	id := job.NewID(w.now(), "random")
	_, err := a.Status(c.Context(), id)
	c.Assert(err, qt.ErrorIs, ErrUnavailable)
	w.pass(c, visibleAfter)
	_, err = a.Status(c.Context(), id)
	c.Assert(err, qt.ErrorIs, ErrNotFound)
}
