package leases

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store/storetest"
)

// fixture is a store with its clock and candidates for one key.
type fixture struct {
	store *storetest.Fake
	now   time.Time
}

func newFixture() *fixture {
	return &fixture{store: storetest.New(), now: time.Unix(1000, 0)}
}

func (f *fixture) keeper(name string) *Manager {
	return New(Config{
		Store: f.store, Key: "leader/a", Instance: name, Exclusive: true,
		BootTime: func() time.Time { return f.now }, Log: slog.New(slog.DiscardHandler),
	})
}

// pass lets time pass for the store and all keepers.
func (f *fixture) pass(d time.Duration) {
	f.now = f.now.Add(d)
	f.store.Advance(d)
}

// Guards against two leaders: a second candidate takes the key although its
// holder keeps it, or a paused holder acts after another one took it.
func TestOnlyOneLeader(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	first, second := f.keeper("one"), f.keeper("two")
	for range 30 {
		first.Tick(c.Context())
		second.Tick(c.Context())
		_, leads := first.FencingToken()
		c.Assert(leads, qt.IsTrue)
		_, alsoLeads := second.FencingToken()
		c.Assert(alsoLeads, qt.IsFalse)
		f.pass(time.Second)
	}
	old, _ := first.FencingToken()
	// The first holder is paused while the second one goes on.
	for range 30 {
		second.Tick(c.Context())
		f.pass(time.Second)
	}
	_, leads := first.FencingToken()
	c.Assert(leads, qt.IsFalse)
	fence, leads := second.FencingToken()
	c.Assert(leads, qt.IsTrue)
	c.Assert(fence > old, qt.IsTrue)
}

// Guards against a leadership that nobody can use because the answer to the
// write of its key was lost.
func TestLostAnswerOfTheKeyIsSettled(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	lose := true
	f.store.After = func(_ context.Context, op storetest.Op, _ string) error {
		if op == storetest.Swap && lose {
			lose = false
			return errors.Join(store.ErrUnknownOutcome)
		}
		return nil
	}
	keeper := f.keeper("one")
	for range 10 {
		keeper.Tick(c.Context())
		f.pass(time.Second)
	}
	_, leads := keeper.FencingToken()
	c.Assert(leads, qt.IsTrue)
	c.Assert(f.store.Count(storetest.Swap), qt.Equals, 1)
}

// Guards against a resignation after which the next leader waits for the lease.
func TestRevokedLeadershipIsFreeAtOnce(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	first, second := f.keeper("one"), f.keeper("two")
	first.Tick(c.Context())
	first.Revoke(c.Context())
	_, leads := first.FencingToken()
	c.Assert(leads, qt.IsFalse)
	second.Tick(c.Context())
	_, leads = second.FencingToken()
	c.Assert(leads, qt.IsTrue)
}

// Guards against callers that are refused because another one has just asked for
// the lease, and against a lease that is kept although nothing needs it.
func TestLeaseIsHeldWhileWanted(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	wanted := false
	keeper := New(Config{
		Store: f.store, Key: "holder/a", Instance: "a", Wanted: func() bool { return wanted }, ReleaseUnwanted: true,
		BootTime: func() time.Time { return f.now }, Log: slog.New(slog.DiscardHandler),
	})
	keeper.Tick(c.Context())
	c.Assert(f.store.Count(storetest.Grant), qt.Equals, 0)

	wanted = true
	held := make(chan bool)
	for range 8 {
		go func() {
			_, ok := keeper.Acquire(c.Context())
			held <- ok
		}()
	}
	for range 8 {
		c.Assert(<-held, qt.IsTrue)
	}
	c.Assert(f.store.Count(storetest.Grant), qt.Equals, 1)

	wanted = false
	keeper.Tick(c.Context())
	_, ok := keeper.FencingToken()
	c.Assert(ok, qt.IsFalse)
	c.Assert(f.store.Count(storetest.Revoke), qt.Equals, 1)
}
