package store_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store/storetest"
	"github.com/coltsfootdrift/coltsfootdrift/quota"
)

// Guards against calls that are still sent to an unavailable store, and against a
// budget that does not detect that the store has recovered.
func TestBudgetedRefusesDuringOutageAndRecovers(t *testing.T) {
	c := qt.New(t)
	now, calls, down := time.Unix(1000, 0), 0, true
	fake := storetest.New()
	fake.Before = func(context.Context, storetest.Op, string) error {
		calls++
		if down {
			return store.ErrUnavailable
		}
		return nil
	}
	budget := quota.NewStoreBudget(quota.DefaultStoreLimits, 1, now)
	s := store.NewBudgeted(fake, budget, func() time.Time { return now }, tally.NoopScope)
	for range 20 {
		_, err := s.Get(c.Context(), "k")
		c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
	}
	c.Assert(calls, qt.Equals, 1)
	down = false
	now = now.Add(time.Second)
	_, err := s.CompareAndSwap(c.Context(), "k", 0, []byte("v"), 0)
	c.Assert(err, qt.IsNil)
	c.Assert(calls, qt.Equals, 2)
}
