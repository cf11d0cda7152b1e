package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/quota"
)

// classKey is the context key of the class of a call.
type classKey struct{}

// WithClass returns a context whose store calls belong to the class. Calls
// without one belong to the lowest class.
func WithClass(ctx context.Context, class quota.StoreClass) context.Context {
	return context.WithValue(ctx, classKey{}, class)
}

func classOf(ctx context.Context) quota.StoreClass {
	if class, ok := ctx.Value(classKey{}).(quota.StoreClass); ok {
		return class
	}
	return quota.StoreConfiguration
}

// Budgeted is a Store that limits the call rate to the instance's share. A call
// waits until the share allows it or its context ends; during an outage it is
// refused immediately with ErrUnavailable.
type Budgeted struct {
	store  Store
	now    func() time.Time
	random *rand.Rand
	calls  [2]tally.Counter
	failed tally.Counter

	mu     sync.Mutex
	budget *quota.StoreBudget
}

// NewBudgeted returns a store that limits the calls to another one by a budget.
func NewBudgeted(store Store, budget *quota.StoreBudget, now func() time.Time, scope tally.Scope) *Budgeted {
	return &Budgeted{
		store:  store,
		now:    now,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		calls:  [2]tally.Counter{scope.Counter("store_reads"), scope.Counter("store_writes")},
		failed: scope.Counter("store_failures"),
		budget: budget,
	}
}

// SetInstances sets the number of live instances that share the limits.
func (b *Budgeted) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetInstances(n, b.now())
}

// do waits until the budget allows the call, runs it and reports its result to the
// budget.
func (b *Budgeted) do(ctx context.Context, op quota.StoreOp, call func() error) error {
	probe, err := b.admit(ctx, op)
	if err != nil {
		return err
	}
	b.calls[op].Inc(1)
	err = call()
	b.reportResult(ctx, probe, err)
	return err
}

func (b *Budgeted) admit(ctx context.Context, op quota.StoreOp) (probe bool, err error) {
	class := classOf(ctx)
	verdict := b.allow(class, op)
	if verdict.Granted {
		return verdict.Probe, nil
	}
	b.addWaiting(class, op, 1)
	defer b.addWaiting(class, op, -1)
	for !verdict.Granted {
		if verdict.Outage {
			return false, fmt.Errorf("%w: backing off for %v", ErrUnavailable, verdict.RetryAfter)
		}
		select {
		case <-time.After(verdict.RetryAfter):
		case <-ctx.Done():
			return false, fmt.Errorf("%w: no share of the call rate: %w", ErrUnavailable, ctx.Err())
		}
		verdict = b.allow(class, op)
	}
	return verdict.Probe, nil
}

func (b *Budgeted) allow(class quota.StoreClass, op quota.StoreOp) quota.StoreVerdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Allow(b.now(), class, op)
}

func (b *Budgeted) addWaiting(class quota.StoreClass, op quota.StoreOp, change int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.AddWaiting(class, op, change)
}

func (b *Budgeted) reportResult(ctx context.Context, probe bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknownOutcome)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		b.budget.Cancelled(probe)
		return
	}
	if failed {
		b.failed.Inc(1)
	}
	b.budget.Finished(b.now(), b.random, probe, !failed)
}

// Get implements Store.
func (b *Budgeted) Get(ctx context.Context, key string) (entry Entry, err error) {
	err = b.do(ctx, quota.StoreRead, func() (err error) {
		entry, err = b.store.Get(ctx, key)
		return err
	})
	return entry, err
}

// List implements Store.
func (b *Budgeted) List(ctx context.Context, prefix, after string, limit int) (list []Entry, err error) {
	err = b.do(ctx, quota.StoreRead, func() (err error) {
		list, err = b.store.List(ctx, prefix, after, limit)
		return err
	})
	return list, err
}

// CompareAndSwap implements Store.
func (b *Budgeted) CompareAndSwap(ctx context.Context, key string, expected Version, value []byte, lease LeaseID) (version Version, err error) {
	err = b.do(ctx, quota.StoreWrite, func() (err error) {
		version, err = b.store.CompareAndSwap(ctx, key, expected, value, lease)
		return err
	})
	return version, err
}

// Delete implements Store.
func (b *Budgeted) Delete(ctx context.Context, key string, expected Version) error {
	return b.do(ctx, quota.StoreWrite, func() error { return b.store.Delete(ctx, key, expected) })
}

// GrantLease implements Store.
func (b *Budgeted) GrantLease(ctx context.Context, ttl time.Duration) (lease LeaseID, err error) {
	err = b.do(ctx, quota.StoreWrite, func() (err error) {
		lease, err = b.store.GrantLease(ctx, ttl)
		return err
	})
	return lease, err
}

// KeepAlive implements Store.
func (b *Budgeted) KeepAlive(ctx context.Context, lease LeaseID) error {
	return b.do(ctx, quota.StoreWrite, func() error { return b.store.KeepAlive(ctx, lease) })
}

// RevokeLease implements Store.
func (b *Budgeted) RevokeLease(ctx context.Context, lease LeaseID) error {
	return b.do(ctx, quota.StoreWrite, func() error { return b.store.RevokeLease(ctx, lease) })
}

// Watch implements Store. A watch counts as one read, however long it waits. During
// an outage a short call is sent first as the probe, because a watch can take longer
// than the longest backoff.
func (b *Budgeted) Watch(ctx context.Context, prefix string, after Version) (result WatchResult, err error) {
	if b.InOutage() {
		if _, err := b.List(ctx, prefix, "", 1); err != nil {
			return WatchResult{}, err
		}
	}
	err = b.do(ctx, quota.StoreRead, func() (err error) {
		result, err = b.store.Watch(ctx, prefix, after)
		return err
	})
	return result, err
}

// Rates returns this instance's shares in calls per second.
func (b *Budgeted) Rates() (reads, writes float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Rates()
}

// InOutage reports whether the last call failed because the store did not answer.
func (b *Budgeted) InOutage() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.InOutage()
}
