package claims

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/claim"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store/storetest"
)

// manualClock is a boot-time and wall clock that a test advances.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (m *manualClock) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *manualClock) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}

func newClock() *manualClock { return &manualClock{now: time.Unix(1000, 0)} }

func newTestAppender(s store.Store) *Appender {
	clock := newClock()
	return newAppender(&chain{
		store: s, bootTime: clock.Now, wallTime: clock.Now, state: claim.NewShard(), writes: tally.NoopScope.Counter("w"),
	}, 0, newCounters(tally.NoopScope))
}

// network connects the instances of a test. An instance that is deleted from it can't
// be reached.
type network struct {
	instances     map[string]*Claims
	shardAppender string
	// loseResponses loses the responses to forwarded appends, which take effect.
	loseResponses bool
}

func (n *network) Appenders() []string { return []string{n.shardAppender} }

// Address returns the name itself.
func (n *network) Address(instance string) (string, bool) {
	return instance, n.instances[instance] != nil
}

func (n *network) AppendClaims(ctx context.Context, instance string, shard int, records [][]byte) ([][]byte, error) {
	results, err := n.instances[instance].AppendClaims(ctx, shard, records)
	if n.loseResponses {
		return nil, errors.New("connection reset")
	}
	return results, err
}

func (n *network) AwaitClaim(ctx context.Context, holder string, claim []byte) ([]byte, error) {
	return n.instances[holder].AwaitClaim(ctx, claim)
}

type testCluster struct {
	*network
	fake  *storetest.Fake
	clock *manualClock
}

func newTestCluster(names ...string) *testCluster {
	cluster := &testCluster{network: &network{instances: map[string]*Claims{}}, fake: storetest.New(), clock: newClock()}
	peers := Peers{Client: cluster, Directory: cluster}
	for _, name := range names {
		cluster.instances[name] = New(Config{
			Instance: name, Store: cluster.fake, Forwarder: peers, Awaiter: peers, BootTime: cluster.clock.Now, WallTime: cluster.clock.Now,
			Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler), RecordRetryInterval: time.Millisecond,
		})
	}
	return cluster
}

func (cluster *testCluster) claim(ctx context.Context, instance string, body byte) Reply {
	request := Request{ID: claim.NewID("acme", "p", "k", "key"), BodySHA256: claim.Digest{body}, Retention: time.Hour}
	return cluster.instances[instance].Claim(ctx, request)
}

// Guards against two instances that run the same key, and against a repeated request
// that gets neither the answer of the running attempt nor the recorded one.
func TestTwoInstancesWithOneKey(t *testing.T) {
	for _, size := range []int{2, claim.MaxInlineAnswerBytes + 1} {
		c := qt.New(t)
		cluster := newTestCluster("a", "b", "c")
		cluster.shardAppender = "b"
		grant := cluster.claim(c.Context(), "a", 1).Grant
		c.Assert(grant, qt.IsNotNil)
		c.Assert(cluster.claim(c.Context(), "b", 2).Refusal, qt.Equals, RefusedBodyMismatch)
		replies := make(chan Reply, 2)
		for _, name := range []string{"a", "b"} {
			go func() { replies <- cluster.claim(c.Context(), name, 1) }()
		}
		answer := strings.Repeat("x", size)
		c.Assert(grant.Finish(c.Context(), "completed", []byte(answer)), qt.IsNil)
		for range 2 {
			reply := <-replies
			c.Assert(reply.Answer, qt.IsNotNil)
			c.Assert(string(reply.Answer.Body) == answer, qt.IsTrue)
		}
		late := cluster.claim(c.Context(), "c", 1).Answer
		c.Assert(late, qt.IsNotNil)
		c.Assert(string(late.Body) == answer, qt.IsTrue)
		delete(cluster.instances, "a")
		gone := cluster.claim(c.Context(), "c", 1).Answer
		c.Assert(gone, qt.IsNotNil)
		c.Assert(gone.Outcome, qt.Equals, "completed")
		c.Assert(gone.SHA256, qt.Equals, late.SHA256)
		c.Assert(gone.Body != nil, qt.Equals, size <= claim.MaxInlineAnswerBytes)
	}
}

// Guards against a recorded answer that is reported as one of which only the digest
// was stored, because the store refused the read. The caller would never get it.
func TestUnreadAnswerIsNotReportedAsDigest(t *testing.T) {
	c := qt.New(t)
	cluster := newTestCluster("a", "b")
	grant := cluster.claim(c.Context(), "a", 1).Grant
	c.Assert(grant.Finish(c.Context(), "completed", []byte("answer")), qt.IsNil)
	failures := 1
	cluster.fake.Before = func(_ context.Context, op storetest.Op, _ string) error {
		if op == storetest.Get && failures > 0 {
			failures--
			return store.ErrUnavailable
		}
		return nil
	}
	c.Assert(string(cluster.claim(c.Context(), "b", 1).Answer.Body), qt.Equals, "answer")
	failures = 100
	c.Assert(cluster.claim(c.Context(), "b", 1).Refusal, qt.Equals, RefusedAnswerUnavailable)
}

// Guards against a key that runs again after its holder failed.
func TestFailedHolderLeavesOutcomeUnknown(t *testing.T) {
	c := qt.New(t)
	cluster := newTestCluster("a", "b")
	c.Assert(cluster.claim(c.Context(), "a", 1).Grant, qt.IsNotNil)
	delete(cluster.instances, "a")
	c.Assert(cluster.claim(c.Context(), "b", 1).Refusal, qt.Equals, RefusedOutcomeUnknown)
	cluster.clock.Advance(time.Hour)
	c.Assert(cluster.claim(c.Context(), "b", 1).Grant, qt.IsNotNil)
}

// Guards against a claim that is appended twice if the response of the shard's
// appender is lost, or not at all if the appender can't be reached.
func TestAppenderUnreachable(t *testing.T) {
	for _, lost := range []bool{true, false} {
		c := qt.New(t)
		cluster := newTestCluster("a", "b")
		cluster.shardAppender, cluster.loseResponses = "b", lost
		if !lost {
			cluster.shardAppender = "nobody"
		}
		c.Assert(cluster.claim(c.Context(), "a", 1).Grant, qt.IsNotNil)
		c.Assert(cluster.fake.Count(storetest.Swap), qt.Equals, 1)
	}
}

// Guards against a request with a key that, while the store is down, waits or gets
// another outcome than not_run, or that leaves a claim behind.
func TestStoreDownBeforeTheClaim(t *testing.T) {
	for _, appender := range []string{"a", "b"} {
		c := qt.New(t)
		cluster := newTestCluster("a", "b")
		cluster.shardAppender = appender
		cluster.fake.Before = func(context.Context, storetest.Op, string) error { return store.ErrUnavailable }
		c.Assert(cluster.claim(c.Context(), "a", 1).Refusal, qt.Equals, RefusedStoreUnavailable)
		c.Assert(cluster.instances["a"].unrecorded, qt.HasLen, 0)
		cluster.fake.Before = nil
		c.Assert(cluster.claim(c.Context(), "a", 1).Grant, qt.IsNotNil)
	}
}

// Guards against a key that stays claimed, or is granted while the outcome of its
// claim is unknown, if the response to the claim is lost and the store then goes down.
func TestStoreDownDuringTheClaim(t *testing.T) {
	c := qt.New(t)
	cluster := newTestCluster("a", "b")
	var down bool
	var mu sync.Mutex
	cluster.fake.Before = func(context.Context, storetest.Op, string) error {
		mu.Lock()
		defer mu.Unlock()
		if down {
			return store.ErrUnavailable
		}
		return nil
	}
	cluster.fake.After = func(_ context.Context, op storetest.Op, _ string) error {
		mu.Lock()
		defer mu.Unlock()
		if op == storetest.Swap && !down {
			down = true
			return store.ErrUnknownOutcome
		}
		return nil
	}
	c.Assert(cluster.claim(c.Context(), "a", 1).Refusal, qt.Equals, RefusedStoreUnavailable)
	c.Assert(cluster.claim(c.Context(), "a", 1).Refusal, qt.Equals, RefusedReleasePending)
	mu.Lock()
	cluster.fake.After = nil
	down = false
	mu.Unlock()
	c.Assert(cluster.instances["a"].WaitRecorded(c.Context()), qt.Equals, 0)
	c.Assert(cluster.claim(c.Context(), "b", 1).Grant, qt.IsNotNil)
}

// Guards against an outcome that is lost, or a key that runs again, if the store is
// down at the end of the run.
func TestStoreDownAfterTheClaim(t *testing.T) {
	for _, finish := range []bool{true, false} {
		c := qt.New(t)
		cluster := newTestCluster("a", "b")
		grant := cluster.claim(c.Context(), "a", 1).Grant
		c.Assert(grant, qt.IsNotNil)
		var mu sync.Mutex
		down := true
		cluster.fake.Before = func(context.Context, storetest.Op, string) error {
			mu.Lock()
			defer mu.Unlock()
			if down {
				return store.ErrUnavailable
			}
			return nil
		}
		if finish {
			c.Assert(grant.Finish(c.Context(), "completed", []byte("{}")), qt.ErrorIs, ErrNotAppended)
			c.Assert(string(cluster.claim(c.Context(), "a", 1).Answer.Body), qt.Equals, "{}")
		} else {
			c.Assert(grant.Release(c.Context()), qt.ErrorIs, ErrNotAppended)
			c.Assert(cluster.claim(c.Context(), "a", 1).Refusal, qt.Equals, RefusedReleasePending)
		}
		mu.Lock()
		down = false
		mu.Unlock()
		c.Assert(cluster.instances["a"].WaitRecorded(c.Context()), qt.Equals, 0)
		repeat := cluster.claim(c.Context(), "b", 1)
		c.Assert(repeat.Grant == nil, qt.Equals, finish)
		if finish {
			c.Assert(string(repeat.Answer.Body), qt.Equals, "{}")
		}
	}
}

// Guards against a call that is sent long after its claim was granted because the
// process was paused.
func TestGrantIsUnusableAfterAPause(t *testing.T) {
	c := qt.New(t)
	cluster := newTestCluster("a")
	grant := cluster.claim(c.Context(), "a", 1).Grant
	c.Assert(grant.Usable(), qt.IsTrue)
	cluster.clock.Advance(GrantLifetime)
	c.Assert(grant.Usable(), qt.IsFalse)
}

// Guards against an appender that is paused until its segment was sealed, expired and
// deleted, and that then creates the segment again and treats its own write as part of
// the chain.
func TestWriteOutsideTheChainDoesNotCount(t *testing.T) {
	c := qt.New(t)
	fake, clock := storetest.New(), newClock()
	appender := func(s store.Store) *chain {
		return &chain{store: s, bootTime: clock.Now, wallTime: clock.Now, state: claim.NewShard(), writes: tally.NoopScope.Counter("w")}
	}
	fill := func(a *Appender, n byte) {
		op := claim.Op{Kind: claim.OpClaim, ID: claim.ID{0, n}, Token: claim.Token{n}, Retention: time.Second,
			Holder: strings.Repeat("h", claim.SealSegmentBytes)}
		decision, err := a.Append(c.Context(), op, false)
		c.Assert(err, qt.IsNil)
		c.Assert(decision.Verdict, qt.Equals, claim.Granted)
	}
	other := newAppender(appender(fake), 0, newCounters(tally.NoopScope))
	fill(other, 1)
	pausing := &pausingStore{Fake: fake}
	paused := newAppender(appender(pausing), 0, newCounters(tally.NoopScope))
	contested := claim.Op{Kind: claim.OpClaim, ID: claim.ID{0, 99}, Token: claim.Token{98}, Holder: "other", Retention: time.Hour}
	pausing.pause = func() {
		fill(other, 2)
		clock.Advance(2 * claim.DeletionMargin)
		fill(other, 3)
		fill(other, 4)
		for range 2 {
			clock.Advance(2 * time.Second)
			_, err := other.Append(c.Context(), contested, false)
			c.Assert(err, qt.IsNil)
			contested.Token[1]++
		}
	}
	decision, err := paused.Append(c.Context(), claim.Op{
		Kind: claim.OpClaim, ID: contested.ID, Token: claim.Token{97}, Holder: "paused", Retention: time.Hour}, false)
	c.Assert(err, qt.IsNil)
	c.Assert(decision.Verdict, qt.Equals, claim.Running)
	c.Assert(decision.Token, qt.Equals, claim.Token{98})
	_, err = fake.Get(c.Context(), claim.SegmentKey(0, 2))
	c.Assert(err, qt.ErrorIs, store.ErrNotFound)
}

// pausingStore calls pause before its first write.
type pausingStore struct {
	*storetest.Fake
	pause func()
}

func (s *pausingStore) CompareAndSwap(ctx context.Context, key string, expect store.Version, value []byte, lease store.LeaseID) (store.Version, error) {
	if pause := s.pause; pause != nil {
		s.pause = nil
		pause()
	}
	return s.Fake.CompareAndSwap(ctx, key, expect, value, lease)
}

// Guards against instances that disagree on the appender of a shard and each write at
// the full rate, which together exceeds the store's limit.
func TestConflictsIncreaseBackoff(t *testing.T) {
	c := qt.New(t)
	fake := storetest.New()
	first, second := newTestAppender(fake), newTestAppender(fake)
	first.interval, second.interval = time.Microsecond, time.Microsecond
	write := func(a *Appender, key string) {
		op := claim.Op{Kind: claim.OpClaim, ID: claim.NewID("acme", "p", "k", key), Retention: time.Hour}
		_, err := a.appendBatch(c.Context(), []*pending{{op: op}})
		c.Assert(err, qt.IsNil)
	}
	for i := range 4 {
		write(first, fmt.Sprint("first", i))
		write(second, fmt.Sprint("second", i))
	}
	c.Assert(second.batchInterval() >= second.interval<<(maxBackoffStep-successBackoffSteps)/2, qt.IsTrue)
	for i := range maxBackoffStep {
		write(second, fmt.Sprint("alone", i))
	}
	c.Assert(second.batchInterval(), qt.Equals, second.interval)
}
