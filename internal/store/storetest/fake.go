// Package storetest provides a Store in memory for tests. Its calls can be made to
// fail before or after they take effect.
package storetest

import (
	"context"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// Op is the name of a call of the store.
type Op string

// Calls that run hooks.
const (
	Get    Op = "get"
	List   Op = "list"
	Swap   Op = "swap"
	Delete Op = "delete"
	Grant  Op = "grant"
	Keep   Op = "keep"
	Revoke Op = "revoke"
)

// Hook is called around each call; its error is returned to the caller. A hook
// may block to delay the call.
type Hook func(ctx context.Context, op Op, key string) error

type lease struct {
	ttl     time.Duration
	expires time.Duration
}

// Fake is a Store in memory. Its leases expire only in Advance.
type Fake struct {
	// Before runs before a call takes effect. After an error of Before the call has no
	// effect.
	Before Hook
	// After runs when the call has taken effect. An error of After replaces the answer.
	After Hook

	mu      sync.Mutex
	now     time.Duration
	version store.Version
	entries map[string]store.Entry
	leases  map[store.LeaseID]lease
	counts  map[Op]int
}

// New returns an empty store.
func New() *Fake {
	return &Fake{entries: map[string]store.Entry{}, leases: map[store.LeaseID]lease{}, counts: map[Op]int{}}
}

// Count returns the number of calls that Before did not stop.
func (f *Fake) Count(op Op) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[op]
}

// Bytes returns the size of all values with the prefix.
func (f *Fake) Bytes(prefix string) (total int) {
	entries, _ := f.List(context.Background(), prefix, "", 1<<30)
	for _, entry := range entries {
		total += len(entry.Value)
	}
	return total
}

// Advance advances the time and ends the leases that expire.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
	for id, l := range f.leases {
		if l.expires < f.now {
			f.deleteLease(id)
		}
	}
}

func (f *Fake) deleteLease(id store.LeaseID) {
	delete(f.leases, id)
	for key, entry := range f.entries {
		if entry.Lease == id {
			delete(f.entries, key)
		}
	}
}

// do runs one call between its hooks.
func (f *Fake) do(ctx context.Context, op Op, key string, call func() error) error {
	if f.Before != nil {
		if err := f.Before(ctx, op, key); err != nil {
			return err
		}
	}
	f.mu.Lock()
	err := call()
	f.counts[op]++
	f.mu.Unlock()
	if f.After != nil && err == nil {
		return f.After(ctx, op, key)
	}
	return err
}

// Get implements store.Store.
func (f *Fake) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	err = f.do(ctx, Get, key, func() error {
		var ok bool
		if entry, ok = f.entries[key]; !ok {
			return store.ErrNotFound
		}
		return nil
	})
	return entry, err
}

// List implements store.Store.
func (f *Fake) List(ctx context.Context, prefix, after string, limit int) (list []store.Entry, err error) {
	err = f.do(ctx, List, prefix, func() error {
		for key, entry := range f.entries {
			if strings.HasPrefix(key, prefix) && key > after {
				list = append(list, entry)
			}
		}
		slices.SortFunc(list, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
		list = list[:min(limit, len(list))]
		return nil
	})
	return list, err
}

// ListStale returns the current entries with a prefix.
func (f *Fake) ListStale(ctx context.Context, prefix string) ([]store.Entry, error) {
	return f.List(ctx, prefix, "", math.MaxInt)
}

// CompareAndSwap implements store.Store.
func (f *Fake) CompareAndSwap(ctx context.Context, key string, expected store.Version, value []byte, id store.LeaseID) (version store.Version, err error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	err = f.do(ctx, Swap, key, func() error {
		if current := f.entries[key].Version; current != expected {
			return &store.ConflictError{Key: key, Current: current}
		}
		if _, ok := f.leases[id]; id != 0 && !ok {
			return store.ErrNotFound
		}
		f.version++
		version = f.version
		f.entries[key] = store.Entry{Key: key, Value: slices.Clone(value), Version: version, Lease: id}
		return nil
	})
	return version, err
}

// Delete implements store.Store.
func (f *Fake) Delete(ctx context.Context, key string, expected store.Version) error {
	return f.do(ctx, Delete, key, func() error {
		current, ok := f.entries[key]
		if !ok {
			return store.ErrNotFound
		}
		if current.Version != expected {
			return &store.ConflictError{Key: key, Current: current.Version}
		}
		delete(f.entries, key)
		return nil
	})
}

// GrantLease implements store.Store.
func (f *Fake) GrantLease(ctx context.Context, ttl time.Duration) (id store.LeaseID, err error) {
	err = f.do(ctx, Grant, "", func() error {
		f.version++
		id = store.LeaseID(f.version)
		f.leases[id] = lease{ttl: ttl, expires: f.now + ttl}
		return nil
	})
	return id, err
}

// KeepAlive implements store.Store.
func (f *Fake) KeepAlive(ctx context.Context, id store.LeaseID) error {
	return f.do(ctx, Keep, "", func() error {
		l, ok := f.leases[id]
		if !ok {
			return store.ErrNotFound
		}
		l.expires = f.now + l.ttl
		f.leases[id] = l
		return nil
	})
}

// RevokeLease implements store.Store.
func (f *Fake) RevokeLease(ctx context.Context, id store.LeaseID) error {
	return f.do(ctx, Revoke, "", func() error {
		f.deleteLease(id)
		return nil
	})
}

// Watch is not simulated. It reports an unavailable store.
func (f *Fake) Watch(context.Context, string, store.Version) (store.WatchResult, error) {
	return store.WatchResult{}, store.ErrUnavailable
}
