package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/coltsfootdrift/coltsfootdrift/internal/fixedseed"
)

var start = time.Unix(1000, 0)

// Guards against an instance that exceeds its share, and against shares that
// together exceed the store's limit.
func TestSharesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 390).Draw(t, "instances")
		budget := NewStoreBudget(DefaultStoreLimits, instances, start)
		now, granted := start, 0
		for range rapid.IntRange(1, 500).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if budget.Allow(now, StoreJobs, StoreWrite).Granted {
				granted++
			}
		}
		share := (DefaultStoreLimits.Writes - DefaultStoreLimits.Appends) / float64(instances)
		bound := share*now.Sub(start).Seconds() + max(share, 1)
		if float64(granted) > bound+1e-6 {
			t.Fatalf("%d writes granted, share allows %.1f", granted, bound)
		}
	})
}

// Guards against a call of a lower class that takes the token a waiting claim needs.
func TestHigherClassGetsTheNextToken(t *testing.T) {
	c := qt.New(t)
	budget := NewStoreBudget(DefaultStoreLimits, 140, start)
	c.Assert(budget.Allow(start, StoreConfiguration, StoreWrite).Granted, qt.IsTrue)
	verdict := budget.Allow(start, StoreClaims, StoreWrite)
	c.Assert(verdict.Granted, qt.IsFalse)
	budget.AddWaiting(StoreClaims, StoreWrite, 1)
	later := start.Add(verdict.RetryAfter)
	for _, class := range []StoreClass{StoreConfiguration, StoreLeases, StoreJobs} {
		c.Assert(budget.Allow(later, class, StoreWrite).Granted, qt.IsFalse)
	}
	c.Assert(budget.Allow(later, StoreClaims, StoreWrite).Granted, qt.IsTrue)
}

// Guards against job writes that use up the tokens for the keep-alives of the
// instance's lease: without the lease no job may be written.
func TestWaitingJobsLeaveRoomForTheLease(t *testing.T) {
	c := qt.New(t)
	for _, instances := range []int{3, 9, 390} {
		budget := NewStoreBudget(DefaultStoreLimits, instances, start)
		budget.AddWaiting(StoreJobs, StoreWrite, 1)
		now, renewed, jobs := start, start, 0
		for now.Sub(start) < time.Minute {
			now = now.Add(10 * time.Millisecond)
			if budget.Allow(now, StoreJobs, StoreWrite).Granted {
				jobs++
			}
			// A keep-alive is due every 4 s and waits until it is granted.
			if now.Sub(renewed) < 4*time.Second {
				continue
			}
			if budget.Allow(now, StoreLeases, StoreWrite).Granted {
				renewed = now
				budget.AddWaiting(StoreLeases, StoreWrite, -budget.waiting[StoreWrite][StoreLeases])
				continue
			}
			budget.AddWaiting(StoreLeases, StoreWrite, 1-budget.waiting[StoreWrite][StoreLeases])
			// A lease of 10 s with a safety margin of 3 s must not expire.
			c.Assert(now.Sub(renewed) < 7*time.Second, qt.IsTrue, qt.Commentf("%d instances, %v", instances, now.Sub(renewed)))
		}
		c.Assert(jobs > 0, qt.IsTrue)
	}
}

// Guards against more than one call at a time to a store that is down, and against a
// backoff outside its bounds.
func TestOneProbeAtATimeAfterAnOutage(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	budget := NewStoreBudget(DefaultStoreLimits, 1, start)
	c.Assert(budget.Allow(start, StoreClaims, StoreWrite).Granted, qt.IsTrue)
	now, longest := start, time.Duration(0)
	budget.Finished(now, random, false, false)
	for range 12 {
		verdict := budget.Allow(now, StoreAppends, StoreWrite)
		c.Assert(verdict.Outage, qt.IsTrue)
		delay := budget.retryAt.Sub(now)
		c.Assert(delay >= storeBackoffMin/2 && delay <= storeBackoffMax, qt.IsTrue)
		longest = max(longest, delay)
		now = budget.retryAt
		c.Assert(budget.Allow(now, StoreLeases, StoreRead).Granted, qt.IsTrue)
		c.Assert(budget.Allow(now, StoreClaims, StoreRead).Outage, qt.IsTrue)
		budget.Finished(now, random, true, false)
	}
	c.Assert(longest > storeBackoffMax/2, qt.IsTrue)
	now = budget.retryAt
	c.Assert(budget.Allow(now, StoreLeases, StoreRead).Granted, qt.IsTrue)
	budget.Finished(now, random, true, true)
	c.Assert(budget.Allow(now, StoreClaims, StoreWrite).Granted, qt.IsTrue)
}
