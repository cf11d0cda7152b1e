package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"strings"
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

// testCluster is a set of instances with one store and one clock that a test advances.
type testCluster struct {
	fake *storetest.Fake
	// nowMS is the boot time and the wall time in milliseconds.
	nowMS   atomic.Int64
	members []string
	// successor is offered the jobs of an instance that shuts down.
	successor *instance
}

func newTestCluster() *testCluster {
	cluster := &testCluster{fake: storetest.New()}
	cluster.nowMS.Store(time.Unix(1_700_000_000, 0).UnixMilli())
	return cluster
}

func (cluster *testCluster) now() time.Time { return time.UnixMilli(cluster.nowMS.Load()) }

// advance moves the store and the clock forward in steps of 1 s and ticks the leases
// of the given instances.
func (cluster *testCluster) advance(c *qt.C, d time.Duration, active ...*instance) {
	for ; d > 0; d -= time.Second {
		cluster.nowMS.Add(time.Second.Milliseconds())
		cluster.fake.Advance(time.Second)
		for _, i := range active {
			i.lease.Tick(c.Context())
		}
	}
}

func (cluster *testCluster) FailureDomainInstances() []string { return cluster.members }
func (cluster *testCluster) OfferJobs(ctx context.Context, ids []string) {
	for _, id := range ids {
		_, _ = cluster.successor.HandOverJob(ctx, []byte(id))
	}
}

// instance is Jobs with a runner that a test controls.
type instance struct {
	*Jobs
	runs chan *testRun
}

// testRun is one call of the runner, which returns the value sent to result.
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

func (cluster *testCluster) instance(c *qt.C, name string) *instance {
	i := &instance{runs: make(chan *testRun, 8)}
	i.Jobs = New(Config{
		Instance: name, Store: cluster.fake, Members: cluster, Runner: i, BootTime: cluster.now, WallTime: cluster.now,
		Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	})
	return i
}

func (i *instance) submit(c *qt.C) string {
	id, err := i.Submit(c.Context(), Job{Organisation: "acme", Pipeline: "p", Kind: "k", Body: []byte(`{"a":1}`), Retention: time.Hour})
	c.Assert(err, qt.IsNil)
	return id
}

// Guards against leases of instances without jobs. In a large deployment most
// instances have none, and each lease costs a write every few seconds.
func TestInstanceWithoutJobsHoldsNoLease(t *testing.T) {
	c := qt.New(t)
	cluster := newTestCluster()
	a := cluster.instance(c, "a")
	cluster.advance(c, time.Minute, a)
	cluster.scan(c, a)
	c.Assert(cluster.fake.Count(storetest.Grant), qt.Equals, 0)

	id := a.submit(c)
	cluster.advance(c, time.Minute, a)
	_, leased := a.Counts()
	c.Assert(leased, qt.IsTrue)
	(<-a.runs).result <- Result{Outcome: "completed"}
	a.waitFinished(c, id)
	cluster.advance(c, leaseIdleTimeout+leases.TTL, a)
	_, leased = a.Counts()
	c.Assert(leased, qt.IsFalse)
	c.Assert(cluster.fake.Count(storetest.Grant), qt.Equals, 1)
}

// scan has one instance scan every shard.
func (cluster *testCluster) scan(c *qt.C, i *instance) {
	cluster.members = []string{i.Instance}
	i.Scan(c.Context())
}

func (i *instance) waitFinished(c *qt.C, id string) Status {
	status, err := i.Wait(c.Context(), id)
	c.Assert(err, qt.IsNil)
	c.Assert(status.Record.State, qt.Equals, job.StateFinished)
	return status
}

// Guards against a finished stage that runs again after its holder failed, and against
// a large result that is not split into pieces or not read back completely.
func TestTakeoverKeepsFinishedStages(t *testing.T) {
	c := qt.New(t)
	cluster := newTestCluster()
	a, b := cluster.instance(c, "a"), cluster.instance(c, "b")
	id := a.submit(c)
	var run *testRun
	select {
	case run = <-a.runs:
	case <-time.After(2 * job.MaxRuns * recordRetryDelay * 2):
		c.Fatal("the job did not run")
	}
	c.Assert(string(run.job.Body), qt.Equals, `{"a":1}`)
	large, err := json.Marshal(string(bytes.Repeat([]byte("x"), job.PieceBytes)))
	c.Assert(err, qt.IsNil)
	c.Assert(run.progress.StageDone(c.Context(), "s1", large), qt.IsNil)
	cluster.scan(c, b)
	status, err := b.Status(c.Context(), id)
	c.Assert(err, qt.IsNil)
	c.Assert(status.Record.Holder, qt.Equals, "a")
	cluster.advance(c, leases.TTL+time.Second, b)
	cluster.scan(c, b)
	second := <-b.runs
	c.Assert(bytes.Equal(second.progress.Results["s1"], large), qt.IsTrue)
	second.result <- Result{Outcome: "completed", Answer: large}
	status = b.waitFinished(c, id)
	c.Assert(bytes.Equal(status.Answer, large), qt.IsTrue)
	c.Assert(status.Record.Answer.Pieces, qt.Equals, 2)
	c.Assert(cluster.fake.Bytes(job.RecordPrefix), qt.Equals, 0)
	run.result <- Result{Outcome: "completed"}
}

// Guards against a holder that was paused until its lease expired and then records a
// stage, sends a non-idempotent call or ends the job, whether or not another instance
// has taken the job over.
func TestPausedHolderStops(t *testing.T) {
	for _, taken := range []bool{false, true} {
		c := qt.New(t)
		cluster := newTestCluster()
		a, b := cluster.instance(c, "a"), cluster.instance(c, "b")
		id := a.submit(c)
		run := <-a.runs
		cluster.advance(c, leases.TTL+time.Second, b)
		var second *testRun
		if taken {
			cluster.scan(c, b)
			second = <-b.runs
			// The former holder gets a new lease before its run has ended.
			a.lease.Tick(c.Context())
			a.lease.Tick(c.Context())
		}
		before, err := cluster.fake.Get(c.Context(), job.RecordKey(id))
		c.Assert(err, qt.IsNil)
		c.Assert(run.progress.BeforeNonIdempotentCall(), qt.IsFalse)
		c.Assert(run.progress.StageDone(c.Context(), "s1", json.RawMessage(`1`)), qt.IsNotNil)
		run.result <- Result{Outcome: "completed", Answer: []byte(`"a"`)}
		a.waitStopped(id)
		after, err := cluster.fake.Get(c.Context(), job.RecordKey(id))
		c.Assert(err, qt.IsNil)
		c.Assert(after.Version, qt.Equals, before.Version)
		if taken {
			second.result <- Result{Outcome: "completed", Answer: []byte(`"b"`)}
			c.Assert(string(b.waitFinished(c, id).Answer), qt.Equals, `"b"`)
		}
	}
}

// waitStopped waits until the instance no longer holds the job.
func (i *instance) waitStopped(id string) {
	i.mu.Lock()
	r := i.running[id]
	i.mu.Unlock()
	if r != nil {
		<-r.done
	}
}

// Guards against a record that a holder writes after it was paused between the check
// of its lease and the write, while another instance took the job over.
func TestHolderPausedDuringItsWrite(t *testing.T) {
	c := qt.New(t)
	cluster := newTestCluster()
	a, b := cluster.instance(c, "a"), cluster.instance(c, "b")
	id := a.submit(c)
	run := <-a.runs
	cluster.fake.Before = func(_ context.Context, op storetest.Op, key string) error {
		if op == storetest.Swap && key == job.RecordKey(id) {
			cluster.fake.Before = nil
			cluster.advance(c, leases.TTL+time.Second, b)
			cluster.scan(c, b)
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

// Guards against a non-idempotent call that is sent by two holders of a job.
func TestNonIdempotentCallIsNotRepeatedAfterTakeover(t *testing.T) {
	c := qt.New(t)
	cluster := newTestCluster()
	a, b := cluster.instance(c, "a"), cluster.instance(c, "b")
	id := a.submit(c)
	run := <-a.runs
	c.Assert(run.progress.BeforeNonIdempotentCall(), qt.IsTrue)
	cluster.advance(c, leases.TTL+time.Second, b)
	cluster.scan(c, b)
	c.Assert(b.waitFinished(c, id).Record.Outcome, qt.Equals, job.OutcomeUnknown)
	c.Assert(b.runs, qt.HasLen, 0)
	run.result <- Result{}
}

// Guards against a job that is accepted without a record, that runs although it was
// refused, or that runs twice because the response to the write of its record was
// lost.
func TestSubmitWithFailingStore(t *testing.T) {
	for _, phase := range []string{"down before", "response lost", "down after lost response"} {
		c := qt.New(t)
		cluster := newTestCluster()
		a := cluster.instance(c, "a")
		var mu sync.Mutex
		down, lose := phase == "down before", phase != "down before"
		cluster.fake.Before = func(context.Context, storetest.Op, string) error {
			mu.Lock()
			defer mu.Unlock()
			if down {
				return store.ErrUnavailable
			}
			return nil
		}
		cluster.fake.After = func(_ context.Context, op storetest.Op, key string) error {
			mu.Lock()
			defer mu.Unlock()
			if !lose || op != storetest.Swap || key[:len(job.RecordPrefix)] != job.RecordPrefix {
				return nil
			}
			lose = false
			down = phase == "down after lost response"
			return store.ErrUnknownOutcome
		}
		ctx, cancel := context.WithCancel(c.Context())
		if phase == "down after lost response" {
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
			cluster.scan(c, a)
			c.Assert(a.runs, qt.HasLen, 0)
			continue
		case "response lost":
			c.Assert(err, qt.IsNil)
		default:
			c.Assert(err, qt.ErrorIs, ErrUnresolved)
			cluster.scan(c, a)
		}
		run := <-a.runs
		run.result <- Result{Outcome: "completed", Answer: []byte(`1`)}
		c.Assert(string(a.waitFinished(c, id).Answer), qt.Equals, `1`)
		cluster.scan(c, a)
		c.Assert(a.runs, qt.HasLen, 0)
	}
}

// Guards against a planned shutdown that leaves jobs waiting until the lease expires,
// or that interrupts a non-idempotent call.
func TestCloseHandsJobsOver(t *testing.T) {
	c := qt.New(t)
	cluster := newTestCluster()
	a, b := cluster.instance(c, "a"), cluster.instance(c, "b")
	ids := []string{a.submit(c), a.submit(c)}
	sending, idle := <-a.runs, <-a.runs
	c.Assert(sending.progress.BeforeNonIdempotentCall(), qt.IsTrue)
	sending.result <- Result{Outcome: "completed", Answer: []byte(`1`)}
	cluster.successor = b
	a.Close(c.Context())
	second := <-b.runs
	second.result <- Result{Outcome: "completed", Answer: []byte(`2`)}
	var answers []string
	for _, id := range ids {
		answers = append(answers, string(b.waitFinished(c, id).Answer))
	}
	c.Assert(answers, qt.ContentEquals, []string{"1", "2"})
	c.Assert(idle.ctx.Err(), qt.IsNotNil)
	idle.result <- Result{}
	_, err := a.Submit(c.Context(), Job{Body: []byte(`{}`)})
	c.Assert(err, qt.ErrorIs, ErrNotAccepted)
}

// Guards against results that stay in the store after their retention, and against
// results that are deleted before it has passed.
func TestExpiredJobsAreDeleted(t *testing.T) {
	c := qt.New(t)
	cluster := newTestCluster()
	a := cluster.instance(c, "a")
	id := a.submit(c)
	(<-a.runs).result <- Result{Outcome: "completed", Answer: []byte(`1`)}
	a.waitFinished(c, id)
	for range 2 {
		cluster.scan(c, a)
	}
	a.waitFinished(c, id)
	cluster.nowMS.Add((2 * time.Hour).Milliseconds())
	_, err := a.Status(c.Context(), id)
	c.Assert(err, qt.ErrorIs, ErrNotFound)
	for range 2 {
		cluster.scan(c, a)
	}
	c.Assert(cluster.fake.Bytes(job.ResultPrefix), qt.Equals, 0)
}

// Guards against an accepted job that is reported as unknown because the store
// returned data from before its creation.
func TestMissingRecordOfNewJobIsUnavailable(t *testing.T) {
	c := qt.New(t)
	cluster := newTestCluster()
	a := cluster.instance(c, "a")
	id := job.NewID(cluster.now(), "random")
	_, err := a.Status(c.Context(), id)
	c.Assert(err, qt.ErrorIs, ErrUnavailable)
	cluster.advance(c, maxVisibilityDelay)
	_, err = a.Status(c.Context(), id)
	c.Assert(err, qt.ErrorIs, ErrNotFound)
}

// Guards against a job that ends without having run because the store returned stale data:
// a value that the record names exists, whatever a read says.
func TestStaleReadsDoNotEndAJob(t *testing.T) {
	c := qt.New(t)
	cluster := newTestCluster()
	a := cluster.instance(c, "a")
	var stale atomic.Int64
	stale.Store(2 * job.MaxRuns)
	cluster.fake.Before = func(_ context.Context, op storetest.Op, key string) error {
		if op == storetest.Get && strings.HasPrefix(key, job.ResultPrefix) && stale.Add(-1) >= 0 {
			return store.ErrNotFound
		}
		return nil
	}
	id := a.submit(c)
	var run *testRun
	select {
	case run = <-a.runs:
	case <-time.After(2 * job.MaxRuns * recordRetryDelay * 2):
		c.Fatal("the job did not run")
	}
	c.Assert(string(run.job.Body), qt.Equals, `{"a":1}`)
	run.result <- Result{Outcome: "completed"}
	status := a.waitFinished(c, id)
	c.Assert(status.Record.Outcome, qt.Equals, "completed")
	c.Assert(status.Record.Runs, qt.Equals, 1)
}
