package view

import (
	"math/rand/v2"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// Followers make no calls to the store while a reader of their region confirms that it
// reaches the store: they pull what it announces. So the number of calls depends on the
// number of regions and not on that of instances. Without a confirmation, each follower
// watches the store itself.
const (
	// confirmInterval is the least time between two confirmations of a reader.
	confirmInterval = 500 * time.Millisecond
	// confirmTimeout is how long followers rely on a confirmation. A reader that has
	// nothing to read confirms at each end of its watch.
	confirmTimeout = readerWatchTimeout + readerIdlePause + 500*time.Millisecond
	// maxWatchDelay bounds a random delay before a follower watches the store itself, so
	// that not all of them call at once.
	maxWatchDelay = 300 * time.Millisecond
	// startWatchDelay is how long a follower waits after its start for the confirmation
	// of a reader. Instances that start together need that time to choose the readers.
	startWatchDelay = 3 * time.Second
)

// RecordStoreContact records that a reader has confirmed that it reaches the store, where
// it knows a version.
func (s *Sync) RecordStoreContact(version store.Version, address string) {
	s.mu.Lock()
	s.relyUntil = latest(s.relyUntil, time.Now().Add(confirmTimeout+rand.N(maxWatchDelay)))
	s.mu.Unlock()
	s.RecordAnnouncement(version, address)
}

// reliesOnReader reports whether this instance leaves calls to the store to a reader.
func (s *Sync) reliesOnReader(now time.Time) bool {
	if s.peers.IsReader() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.relyUntil)
}

// confirmStoreContact tells the followers that this reader reaches the store.
func (s *Sync) confirmStoreContact(now time.Time) {
	if !s.peers.IsReader() || now.Sub(s.lastConfirmed) < confirmInterval {
		return
	}
	s.lastConfirmed = now
	s.peers.ConfirmStoreContact()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
