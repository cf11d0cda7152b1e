package standin

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// historyRetention is how long past values, tombstones and instance lists are kept.
// Stale reads cannot go back further, and a watch that starts at an older version misses
// deletions. Instance lists are kept for longer when the lag of the list is longer.
const historyRetention = 2 * time.Minute

// revision is the state of a key between two writes.
type revision struct {
	writtenAt time.Time
	entry     store.Entry
	deleted   bool
}

// keyHistory holds the revisions of a key, oldest first.
type keyHistory struct {
	key       string
	revisions []revision
}

// latest returns the current revision.
func (h *keyHistory) latest() *revision {
	return &h.revisions[len(h.revisions)-1]
}

// revisionAt returns the revision that was current at a time, or nil when there was
// none.
func (h *keyHistory) revisionAt(t time.Time) *revision {
	for _, past := range slices.Backward(h.revisions) {
		if !past.writtenAt.After(t) {
			return &past
		}
	}
	return nil
}

// leaseState is a lease with the keys that are bound to it.
type leaseState struct {
	ttl   time.Duration
	timer *time.Timer // ends the lease
	keys  map[string]bool
}

// watcher is a long poll that waits for a change of a key with a prefix. wake is
// closed by the change.
type watcher struct {
	prefix string
	wake   chan struct{}
}

// keyspace holds the data of the key-value service: versioned keys, leases and
// watches.
type keyspace struct {
	mu        sync.Mutex
	version   store.Version
	histories []*keyHistory // in key order
	leases    map[store.LeaseID]*leaseState
	lastLease store.LeaseID
	watchers  map[*watcher]bool
}

func newKeyspace() *keyspace {
	return &keyspace{leases: map[store.LeaseID]*leaseState{}, watchers: map[*watcher]bool{}}
}

// find returns the index of a key, or the one at which it would be inserted, and
// whether the key exists.
func (k *keyspace) find(key string) (int, bool) {
	return slices.BinarySearchFunc(k.histories, key, func(h *keyHistory, key string) int { return cmp.Compare(h.key, key) })
}

// current returns the current revision of a key, or nil when the key does not exist.
func (k *keyspace) current(key string) *revision {
	i, ok := k.find(key)
	if !ok || k.histories[i].latest().deleted {
		return nil
	}
	return k.histories[i].latest()
}

// get returns an entry as it was at a time.
func (k *keyspace) get(key string, asOf time.Time) (store.Entry, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	i, ok := k.find(key)
	if !ok {
		return store.Entry{}, false
	}
	found := k.histories[i].revisionAt(asOf)
	if found == nil || found.deleted {
		return store.Entry{}, false
	}
	return found.entry, true
}

// list returns up to limit entries with a prefix, as they were at a time. It starts
// behind the key after.
func (k *keyspace) list(prefix, after string, limit int, asOf time.Time) []store.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	var entries []store.Entry
	first, _ := k.find(max(prefix, after))
	for _, h := range k.histories[first:] {
		if len(entries) == limit || !strings.HasPrefix(h.key, prefix) {
			break
		}
		found := h.revisionAt(asOf)
		if h.key > after && found != nil && !found.deleted {
			entries = append(entries, found.entry)
		}
	}
	return entries
}

// write sets the value of a key if the key has the expected version, 0 for a key that
// does not exist.
func (k *keyspace) write(entry store.Entry, expect store.Version) (store.Version, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.checkVersion(entry.Key, expect); err != nil {
		return 0, err
	}
	if entry.Lease != 0 {
		lease, ok := k.leases[entry.Lease]
		if !ok {
			return 0, store.ErrNotFound
		}
		lease.keys[entry.Key] = true
	}
	k.version++
	entry.Version = k.version
	k.appendRevision(revision{entry: entry})
	return entry.Version, nil
}

// remove deletes a key if it has the expected version.
func (k *keyspace) remove(key string, expect store.Version) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current(key) == nil {
		return store.ErrNotFound
	}
	if err := k.checkVersion(key, expect); err != nil {
		return err
	}
	k.addTombstone(key)
	return nil
}

// checkVersion returns a *store.ConflictError when the key has another version.
func (k *keyspace) checkVersion(key string, version store.Version) error {
	var has store.Version
	if current := k.current(key); current != nil {
		has = current.entry.Version
	}
	if has != version {
		return &store.ConflictError{Key: key, Current: has}
	}
	return nil
}

func (k *keyspace) addTombstone(key string) {
	k.version++
	k.appendRevision(revision{entry: store.Entry{Key: key, Version: k.version}, deleted: true})
}

// appendRevision adds a revision, drops history older than historyRetention and wakes
// the watchers of the key.
func (k *keyspace) appendRevision(next revision) {
	next.writtenAt = time.Now()
	key := next.entry.Key
	i, ok := k.find(key)
	if !ok {
		k.histories = slices.Insert(k.histories, i, &keyHistory{key: key})
	}
	h := k.histories[i]
	h.revisions = append(dropHistory(h.revisions, next.writtenAt.Add(-historyRetention)), next)
	for w := range k.watchers {
		if strings.HasPrefix(key, w.prefix) {
			close(w.wake)
			delete(k.watchers, w)
		}
	}
}

// dropHistory drops the revisions that were no longer current at the horizon.
func dropHistory(revisions []revision, horizon time.Time) []revision {
	keep := 0
	for keep+1 < len(revisions) && revisions[keep+1].writtenAt.Before(horizon) {
		keep++
	}
	return slices.Delete(revisions, 0, keep)
}

// changes returns the keys with a prefix that changed after a version. If there are
// none, it registers a watcher and returns it.
func (k *keyspace) changes(prefix string, after store.Version) (store.WatchResult, *watcher) {
	k.mu.Lock()
	defer k.mu.Unlock()
	result := store.WatchResult{Version: k.version}
	first, _ := k.find(prefix)
	for _, h := range k.histories[first:] {
		if !strings.HasPrefix(h.key, prefix) {
			break
		}
		last := h.latest()
		switch {
		case last.entry.Version <= after:
		case last.deleted:
			result.Deleted = append(result.Deleted, h.key)
		default:
			result.Changed = append(result.Changed, last.entry)
		}
	}
	if len(result.Changed)+len(result.Deleted) > 0 {
		return result, nil
	}
	w := &watcher{prefix: prefix, wake: make(chan struct{})}
	k.watchers[w] = true
	return result, w
}

// cancelWatch removes a watcher that no longer waits.
func (k *keyspace) cancelWatch(w *watcher) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.watchers, w)
}

// waitingWatches returns the number of watches that wait.
func (k *keyspace) waitingWatches() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.watchers)
}

func (k *keyspace) grantLease(ttl time.Duration) store.LeaseID {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastLease++
	id := k.lastLease
	timer := time.AfterFunc(ttl, func() { _ = k.endLease(id) })
	k.leases[id] = &leaseState{ttl: ttl, timer: timer, keys: map[string]bool{}}
	return id
}

func (k *keyspace) keepAlive(id store.LeaseID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	lease, ok := k.leases[id]
	if !ok {
		return store.ErrNotFound
	}
	lease.timer.Reset(lease.ttl)
	return nil
}

// endLease removes a lease and deletes the keys that are still bound to it.
func (k *keyspace) endLease(id store.LeaseID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	lease, ok := k.leases[id]
	if !ok {
		return store.ErrNotFound
	}
	lease.timer.Stop()
	delete(k.leases, id)
	for key := range lease.keys {
		if current := k.current(key); current != nil && current.entry.Lease == id {
			k.addTombstone(key)
		}
	}
	return nil
}
