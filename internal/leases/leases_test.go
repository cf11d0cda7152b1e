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

// fixture is a store with a clock for several candidates for one key.
type fixture struct {
	store *storetest.Fake
	now   time.Time
}

func newFixture() *fixture {
	return &fixture{store: storetest.New(), now: time.Unix(1000, 0)}
}

func (f *fixture) manager(name string) *Manager {
	return New(Config{
		Store: f.store, Key: "leader/a", Instance: name, Exclusive: true,
		BootTime: func() time.Time { return f.now }, Log: slog.New(slog.DiscardHandler),
	})
}

// advance moves the clocks of the store and of all managers forward.
func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.store.Advance(d)
}

// Guards against two leaders: a second candidate takes the key although its holder
// keeps the lease alive, or a paused holder acts after another one has taken the key.
func TestOnlyOneLeader(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	first, second := f.manager("one"), f.manager("two")
	for range 30 {
		first.Tick(c.Context())
		second.Tick(c.Context())
		_, leads := first.FencingToken()
		c.Assert(leads, qt.IsTrue)
		_, alsoLeads := second.FencingToken()
		c.Assert(alsoLeads, qt.IsFalse)
		f.advance(time.Second)
	}
	firstToken, _ := first.FencingToken()
	// The first holder is paused while the second one keeps running.
	for range 30 {
		second.Tick(c.Context())
		f.advance(time.Second)
	}
	_, leads := first.FencingToken()
	c.Assert(leads, qt.IsFalse)
	secondToken, leads := second.FencingToken()
	c.Assert(leads, qt.IsTrue)
	c.Assert(secondToken > firstToken, qt.IsTrue)
}

// Guards against a lease without a holder that may act, because the response to
// the write of its key was lost.
func TestLostResponseToKeyWriteIsResolved(t *testing.T) {
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
	manager := f.manager("one")
	for range 10 {
		manager.Tick(c.Context())
		f.advance(time.Second)
	}
	_, leads := manager.FencingToken()
	c.Assert(leads, qt.IsTrue)
	c.Assert(f.store.Count(storetest.Swap), qt.Equals, 1)
}

// Guards against a leader that resigns and whose successor still has to wait until
// the lease expires.
func TestRevokedLeadershipIsFreeAtOnce(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	first, second := f.manager("one"), f.manager("two")
	first.Tick(c.Context())
	first.Revoke(c.Context())
	_, leads := first.FencingToken()
	c.Assert(leads, qt.IsFalse)
	second.Tick(c.Context())
	_, leads = second.FencingToken()
	c.Assert(leads, qt.IsTrue)
}

// Guards against callers that get no lease because another caller is acquiring it at
// the same time, and against a lease that is kept although it is not wanted.
func TestLeaseIsHeldWhileWanted(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	wanted := false
	manager := New(Config{
		Store: f.store, Key: "holder/a", Instance: "a", Wanted: func() bool { return wanted }, ReleaseUnwanted: true,
		BootTime: func() time.Time { return f.now }, Log: slog.New(slog.DiscardHandler),
	})
	manager.Tick(c.Context())
	c.Assert(f.store.Count(storetest.Grant), qt.Equals, 0)

	wanted = true
	held := make(chan bool)
	for range 8 {
		go func() {
			_, ok := manager.Acquire(c.Context())
			held <- ok
		}()
	}
	for range 8 {
		c.Assert(<-held, qt.IsTrue)
	}
	c.Assert(f.store.Count(storetest.Grant), qt.Equals, 1)

	wanted = false
	manager.Tick(c.Context())
	_, ok := manager.FencingToken()
	c.Assert(ok, qt.IsFalse)
	c.Assert(f.store.Count(storetest.Revoke), qt.Equals, 1)
}
