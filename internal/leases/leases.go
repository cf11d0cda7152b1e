// Package leases keeps a lease of the store and one key under it. The version of
// the key is the fencing number of its holder.
package leases

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/lease"
	"github.com/coltsfootdrift/coltsfootdrift/quota"
)

// Times of a lease.
const (
	// TTL is the duration of a lease.
	TTL = 10 * time.Second
	// Margin is how long before the end of its lease a holder stops.
	Margin = 3 * time.Second
	// tick is how often a lease is looked after.
	tick = time.Second
)

// Config describes a lease and its key.
type Config struct {
	Store store.Store
	// Key is written under the lease with Instance as its value.
	Key      string
	Instance string
	// Exclusive leaves the key to another lease that holds it. Otherwise the key is
	// taken from an earlier process of the same instance.
	Exclusive bool
	// Wanted reports whether to ask for a lease; nil for always.
	Wanted func() bool
	// ReleaseUnwanted gives up a lease that is no longer wanted. Otherwise a lease
	// that is held is kept.
	ReleaseUnwanted bool
	// Lost is called when the lease ends; nil for nothing.
	OnLost func()
	// Boot gives the boot-time clock.
	BootTime func() time.Time
	// Events that report the start and the end of a holding.
	HeldEvent, LostEvent events.Event
	Log                  *slog.Logger
}

// Keeper keeps one lease.
type Manager struct {
	config Config

	// calls is held while calls to the store are made for the lease.
	calls sync.Mutex

	mu     sync.Mutex
	holder *lease.Holder
	// since is when the current fencing number was learned.
	since time.Time
}

// Holding is the state of a lease.
type State struct {
	// Fence is the fencing number; 0 when the holder may not act.
	FencingToken int64
	// Since is when the number was learned, Expires when the lease lapses, both on
	// the boot-time clock.
	Since, Expires time.Time
}

// New returns a keeper without a lease.
func New(config Config) *Manager {
	return &Manager{config: config, holder: lease.NewHolder(TTL, Margin)}
}

// Fence returns the fencing number under which this instance may act now.
func (k *Manager) FencingToken() (number int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Valid(k.config.BootTime())
}

// Holding returns the state of the lease.
func (k *Manager) State() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	fence, _ := k.holder.Valid(k.config.BootTime())
	return State{FencingToken: fence, Since: k.since, Expires: k.holder.Expires()}
}

// Work looks after the lease until ctx ends.
func (k *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		k.Tick(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Tick lets time pass and carries out what the holder asks for.
func (k *Manager) Tick(ctx context.Context) {
	if !k.wanted() {
		if k.config.ReleaseUnwanted {
			k.Revoke(ctx)
		}
		return
	}
	k.tick(ctx)
}

// Acquire asks for a lease at once, wanted or not, unless one is held.
func (k *Manager) Acquire(ctx context.Context) (fence int64, ok bool) {
	if fence, ok = k.FencingToken(); ok {
		return fence, ok
	}
	k.tick(ctx)
	return k.FencingToken()
}

// tick makes the calls that are due, one caller at a time. A caller that waited
// finds the lease that the one before it asked for.
func (k *Manager) tick(ctx context.Context) {
	k.calls.Lock()
	defer k.calls.Unlock()
	ctx, cancel := context.WithTimeout(leaseContext(ctx), TTL-Margin)
	defer cancel()
	outputs := k.step(lease.Tick{})
	for len(outputs) > 0 {
		var more []lease.Output
		if input := k.perform(ctx, outputs[0]); input != nil {
			more = k.step(input)
		}
		outputs = append(outputs[1:], more...)
	}
}

func (k *Manager) wanted() bool {
	if k.config.Wanted == nil || k.config.Wanted() {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Lease() != 0 && !k.config.ReleaseUnwanted
}

func (k *Manager) step(input lease.Input) []lease.Output {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Step(k.config.BootTime(), input)
}

// perform carries out one output and returns the input that answers it.
func (k *Manager) perform(ctx context.Context, output lease.Output) lease.Input {
	switch out := output.(type) {
	case lease.Grant:
		return k.grant(ctx, out)
	case lease.WriteKey:
		return k.writeKey(ctx, out.Lease)
	case lease.KeepAlive:
		return k.keepAlive(ctx, out.Lease)
	case lease.LeaseLost:
		k.config.LostEvent.Log(ctx, k.config.Log, slog.Int64("fence", out.FencingToken))
		if k.config.OnLost != nil {
			k.config.OnLost()
		}
	}
	return nil
}

func (k *Manager) grant(ctx context.Context, out lease.Grant) lease.Input {
	asked := k.config.BootTime()
	if k.config.Exclusive {
		// A lease that could not hold the key would only cost calls.
		if _, err := k.config.Store.Get(ctx, k.config.Key); !errors.Is(err, store.ErrNotFound) {
			return nil
		}
	}
	id, err := k.config.Store.GrantLease(ctx, out.TTL)
	if err != nil {
		return nil
	}
	return lease.Granted{Lease: lease.ID(id), RequestedAt: asked}
}

func (k *Manager) keepAlive(ctx context.Context, id lease.ID) lease.Input {
	asked := k.config.BootTime()
	err := k.config.Store.KeepAlive(ctx, store.LeaseID(id))
	switch {
	case err == nil:
		return lease.Extended{Lease: id, RequestedAt: asked}
	case errors.Is(err, store.ErrNotFound):
		return lease.LeaseNotFound{Lease: id}
	default:
		return nil
	}
}

// writeKey writes the key, or finds that an earlier write took effect although
// its answer was lost.
func (k *Manager) writeKey(ctx context.Context, id lease.ID) lease.Input {
	entry, err := k.config.Store.Get(ctx, k.config.Key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if entry.Version != 0 && entry.Lease == store.LeaseID(id) {
		return k.fenced(ctx, id, entry.Version)
	}
	if entry.Version != 0 && k.config.Exclusive {
		return nil
	}
	version, err := k.config.Store.CompareAndSwap(ctx, k.config.Key, entry.Version, []byte(k.config.Instance), store.LeaseID(id))
	switch {
	case err == nil:
		return k.fenced(ctx, id, version)
	case errors.Is(err, store.ErrNotFound):
		return lease.LeaseNotFound{Lease: id}
	default:
		return nil
	}
}

func (k *Manager) fenced(ctx context.Context, id lease.ID, version store.Version) lease.Input {
	k.mu.Lock()
	k.since = k.config.BootTime()
	k.mu.Unlock()
	k.config.HeldEvent.Log(ctx, k.config.Log, slog.Int64("fence", int64(version)))
	return lease.KeyWritten{Lease: id, FencingToken: int64(version)}
}

// Revoke ends the lease, so that others need not wait until it lapses.
func (k *Manager) Revoke(ctx context.Context) {
	k.mu.Lock()
	id := k.holder.Lease()
	k.mu.Unlock()
	if id == 0 {
		return
	}
	_ = k.config.Store.RevokeLease(leaseContext(ctx), store.LeaseID(id))
	k.step(lease.LeaseNotFound{Lease: id})
}

func leaseContext(ctx context.Context) context.Context {
	return store.WithClass(ctx, quota.StoreLeases)
}
