// Package leases acquires a lease in the store, keeps it alive and holds one key
// under it. The version of the key is the fencing token of the holder.
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

// Durations of a lease.
const (
	// TTL is the duration of a lease.
	TTL = 10 * time.Second
	// Margin is how long before the lease expires the holder stops acting under it.
	Margin = 3 * time.Second
	// tickInterval is the time between two ticks of a lease.
	tickInterval = time.Second
)

// Config configures a lease and its key.
type Config struct {
	Store store.Store
	// Key is the store key that is written under the lease with the value Instance.
	Key      string
	Instance string
	// Exclusive leaves the key unchanged if it exists under another lease. Otherwise
	// the key is overwritten, because an earlier process of the same instance wrote it.
	Exclusive bool
	// Wanted reports whether to acquire a lease; nil means always.
	Wanted func() bool
	// ReleaseUnwanted revokes a lease that is no longer wanted. Otherwise a lease that
	// is held is kept alive.
	ReleaseUnwanted bool
	// OnLost, unless nil, is called when the lease is lost.
	OnLost func()
	// BootTime reads the boot-time clock.
	BootTime func() time.Time
	// HeldEvent is logged when the key is written under the lease, LostEvent when the
	// lease is lost.
	HeldEvent, LostEvent events.Event
	Log                  *slog.Logger
}

// Manager acquires one lease and keeps it alive. It is safe for concurrent use.
type Manager struct {
	config Config

	// callMu serialises the store calls of makeDueCalls.
	callMu sync.Mutex

	mu     sync.Mutex
	holder *lease.Holder
	// since is when the current fencing token was received.
	since time.Time
}

// State is the state of a lease.
type State struct {
	// FencingToken is 0 if the holder may not act.
	FencingToken int64
	// Since is when the fencing token was received, Expires when the lease expires,
	// both by the boot-time clock.
	Since, Expires time.Time
}

// New returns a manager without a lease.
func New(config Config) *Manager {
	return &Manager{config: config, holder: lease.NewHolder(TTL, Margin)}
}

// FencingToken returns the fencing token under which this instance may act now.
func (m *Manager) FencingToken() (token int64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.Valid(m.config.BootTime())
}

// State returns the state of the lease.
func (m *Manager) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	token, _ := m.holder.Valid(m.config.BootTime())
	return State{FencingToken: token, Since: m.since, Expires: m.holder.Expires()}
}

// Run calls Tick at regular intervals until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		m.Tick(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Tick makes the store calls that are due: it acquires a lease if one is wanted,
// keeps it alive, and revokes it if it is not wanted and ReleaseUnwanted is set.
func (m *Manager) Tick(ctx context.Context) {
	if !m.wanted() {
		if m.config.ReleaseUnwanted {
			m.Revoke(ctx)
		}
		return
	}
	m.makeDueCalls(ctx)
}

// Acquire acquires a lease immediately, wanted or not, unless one is held.
func (m *Manager) Acquire(ctx context.Context) (token int64, ok bool) {
	if token, ok = m.FencingToken(); ok {
		return token, ok
	}
	m.makeDueCalls(ctx)
	return m.FencingToken()
}

// makeDueCalls makes the store calls that are due, for one caller at a time. A caller
// that waited for another one finds the lease that the other one acquired.
func (m *Manager) makeDueCalls(ctx context.Context) {
	m.callMu.Lock()
	defer m.callMu.Unlock()
	ctx, cancel := context.WithTimeout(leaseContext(ctx), TTL-Margin)
	defer cancel()
	outputs := m.step(lease.Tick{})
	for len(outputs) > 0 {
		var more []lease.Output
		if input := m.execute(ctx, outputs[0]); input != nil {
			more = m.step(input)
		}
		outputs = append(outputs[1:], more...)
	}
}

func (m *Manager) wanted() bool {
	if m.config.Wanted == nil || m.config.Wanted() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.Lease() != 0 && !m.config.ReleaseUnwanted
}

func (m *Manager) step(input lease.Input) []lease.Output {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.Step(m.config.BootTime(), input)
}

// execute carries out one action and returns its result as the next input, or nil
// without one.
func (m *Manager) execute(ctx context.Context, output lease.Output) lease.Input {
	switch out := output.(type) {
	case lease.Grant:
		return m.grant(ctx, out)
	case lease.WriteKey:
		return m.writeKey(ctx, out.Lease)
	case lease.KeepAlive:
		return m.keepAlive(ctx, out.Lease)
	case lease.LeaseLost:
		m.config.LostEvent.Log(ctx, m.config.Log, slog.Int64("fence", out.FencingToken))
		if m.config.OnLost != nil {
			m.config.OnLost()
		}
	}
	return nil
}

func (m *Manager) grant(ctx context.Context, out lease.Grant) lease.Input {
	requestedAt := m.config.BootTime()
	if m.config.Exclusive {
		// While the key exists, a new lease could not hold it and would only cost calls.
		if _, err := m.config.Store.Get(ctx, m.config.Key); !errors.Is(err, store.ErrNotFound) {
			return nil
		}
	}
	id, err := m.config.Store.GrantLease(ctx, out.TTL)
	if err != nil {
		return nil
	}
	return lease.Granted{Lease: lease.ID(id), RequestedAt: requestedAt}
}

func (m *Manager) keepAlive(ctx context.Context, id lease.ID) lease.Input {
	requestedAt := m.config.BootTime()
	err := m.config.Store.KeepAlive(ctx, store.LeaseID(id))
	switch {
	case err == nil:
		return lease.Extended{Lease: id, RequestedAt: requestedAt}
	case errors.Is(err, store.ErrNotFound):
		return lease.LeaseNotFound{Lease: id}
	default:
		return nil
	}
}

// writeKey writes the key. If the key is already written under the lease, an earlier
// write took effect although its response was lost.
func (m *Manager) writeKey(ctx context.Context, id lease.ID) lease.Input {
	entry, err := m.config.Store.Get(ctx, m.config.Key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if entry.Version != 0 && entry.Lease == store.LeaseID(id) {
		return m.keyWritten(ctx, id, entry.Version)
	}
	if entry.Version != 0 && m.config.Exclusive {
		return nil
	}
	version, err := m.config.Store.CompareAndSwap(ctx, m.config.Key, entry.Version, []byte(m.config.Instance), store.LeaseID(id))
	switch {
	case err == nil:
		return m.keyWritten(ctx, id, version)
	case errors.Is(err, store.ErrNotFound):
		return lease.LeaseNotFound{Lease: id}
	default:
		return nil
	}
}

func (m *Manager) keyWritten(ctx context.Context, id lease.ID, version store.Version) lease.Input {
	m.mu.Lock()
	m.since = m.config.BootTime()
	m.mu.Unlock()
	m.config.HeldEvent.Log(ctx, m.config.Log, slog.Int64("fence", int64(version)))
	return lease.KeyWritten{Lease: id, FencingToken: int64(version)}
}

// Revoke ends the lease, so that other candidates need not wait until it expires.
func (m *Manager) Revoke(ctx context.Context) {
	m.mu.Lock()
	id := m.holder.Lease()
	m.mu.Unlock()
	if id == 0 {
		return
	}
	_ = m.config.Store.RevokeLease(leaseContext(ctx), store.LeaseID(id))
	m.step(lease.LeaseNotFound{Lease: id})
}

func leaseContext(ctx context.Context) context.Context {
	return store.WithClass(ctx, quota.StoreLeases)
}
