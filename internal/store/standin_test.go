package store_test

import (
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// Guards against an adapter and a stand-in that implement the protocol differently.
func TestAdapterAgainstStandIn(t *testing.T) {
	c := qt.New(t)
	service := standin.NewStore()
	server := httptest.NewServer(service.Handler())
	c.Cleanup(server.Close)
	s, ctx := store.NewHTTP(server.Listener.Addr().String()), c.Context()

	_, err := s.Get(ctx, "job/01/a b")
	c.Assert(err, qt.ErrorIs, store.ErrNotFound)
	first, err := s.CompareAndSwap(ctx, "job/01/a b", 0, []byte{0, 1}, 0)
	c.Assert(err, qt.IsNil)
	_, err = s.CompareAndSwap(ctx, "job/01/a b", 0, nil, 0)
	c.Assert(err, qt.DeepEquals, error(&store.ConflictError{Key: "job/01/a b", Current: first}))
	lease, err := s.GrantLease(ctx, time.Minute)
	c.Assert(err, qt.IsNil)
	second, err := s.CompareAndSwap(ctx, "job/01/b", 0, []byte("x"), lease)
	c.Assert(err, qt.IsNil)
	list, err := s.List(ctx, "job/01/", "job/01/a b", 5)
	c.Assert(err, qt.IsNil)
	c.Assert(list, qt.DeepEquals, []store.Entry{{Key: "job/01/b", Value: []byte("x"), Version: second, Lease: lease}})
	watched, err := s.Watch(ctx, "job/", first)
	c.Assert(err, qt.IsNil)
	c.Assert(watched.Changed, qt.HasLen, 1)
	c.Assert(s.KeepAlive(ctx, lease), qt.IsNil)
	c.Assert(s.RevokeLease(ctx, lease), qt.IsNil)
	c.Assert(s.KeepAlive(ctx, lease), qt.ErrorIs, store.ErrNotFound)
	_, err = s.Get(ctx, "job/01/b")
	c.Assert(err, qt.ErrorIs, store.ErrNotFound)

	service.SetFaults(standin.StoreFaults{LoseNext: 1, WritesPerSecond: 300, ReadsPerSecond: 2000})
	_, err = s.CompareAndSwap(ctx, "job/01/c", 0, []byte("y"), 0)
	c.Assert(err, qt.ErrorIs, store.ErrUnknownOutcome)
	entry, err := s.Get(ctx, "job/01/c")
	c.Assert(err, qt.IsNil)
	c.Assert(s.Delete(ctx, "job/01/c", entry.Version), qt.IsNil)
	service.SetFaults(standin.StoreFaults{Outage: true, WritesPerSecond: 300, ReadsPerSecond: 2000})
	c.Assert(s.Delete(ctx, "job/01/a b", first), qt.ErrorIs, store.ErrUnavailable)
}
