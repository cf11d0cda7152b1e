// Package store is the client of the platform's key-value service, which has
// compare-and-swap, leases and watches. Store is the interface that the rest of the
// system uses; each wire protocol has one adapter that implements it.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValueBytes is the size of the largest value that the service stores.
const MaxValueBytes = 1 << 20

// Version orders all writes of the store, also across its restoration from a backup. 0
// means that the key is absent.
type Version int64

// LeaseID identifies a lease. 0 means no lease.
type LeaseID int64

// Entry is a key with its value.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	// Lease is the lease whose end deletes the key; 0 for a key without a lease.
	Lease LeaseID
}

// WatchResult is the result of one long poll.
type WatchResult struct {
	// Changed holds the entries written after the version that was asked for.
	Changed []Entry
	// Deleted holds the keys deleted after that version.
	Deleted []string
	// Rewritten holds the keys of Changed that were deleted before they were written.
	Rewritten []string
	// Version is the version from which the next poll starts.
	Version Version
}

// Changes is what an instance sends to another one from its copy of the store.
type Changes struct {
	WatchResult
	// Base is the version that the changes apply to; 0 when the result holds all
	// entries.
	Base Version
	// Awaited holds the servers whose entries are gone and that may register again.
	Awaited []AwaitedServer
}

// AwaitedServer is a server that stays in use for a time although its entry lapsed in an outage.
type AwaitedServer struct {
	// ID is the ID of the server.
	ID string
	// Left is the rest of that time.
	Left time.Duration
}

// Errors of a store call. Each states what is known about the write.
var (
	// ErrNotFound reports an absent key or an expired lease.
	ErrNotFound = errors.New("key or lease does not exist")
	// ErrUnavailable reports a call that did not take effect.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrUnknownOutcome reports a write that may have taken effect. The caller reads
	// the key to find out.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")
	// ErrTooLarge reports a value over MaxValueBytes.
	ErrTooLarge = errors.New("value exceeds the store's limit")
)

// ConflictError reports a compare-and-swap that was not carried out because the
// key has another version.
type ConflictError struct {
	Key string
	// Current is the version that the key has, 0 when it is absent.
	Current Version
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q has version %d", e.Key, e.Current)
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns one entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns up to limit entries with the prefix and a key after the given
	// one, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Entry, error)
	// CompareAndSwap writes value if the key has the expected version, where 0 means
	// that the key is absent. It returns the new version.
	CompareAndSwap(ctx context.Context, key string, expected Version, value []byte, lease LeaseID) (Version, error)
	// Delete removes the key if it has the expected version.
	Delete(ctx context.Context, key string, expected Version) error
	// GrantLease creates a lease that expires after ttl unless it is kept alive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease by its ttl, or returns ErrNotFound.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, lease LeaseID) error
	// Watch waits until a key with the prefix changes after the given version, or
	// until the service ends the poll with an unchanged version.
	Watch(ctx context.Context, prefix string, after Version) (WatchResult, error)
}
