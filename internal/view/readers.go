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
	// confirmTimeout is how long the standby of the reader relies on a confirmation. A
	// reader without news confirms once in readerInterval.
	confirmTimeout = readerInterval + 500*time.Millisecond
	// followerDelay is how much longer the other followers rely on a confirmation, so that
	// they hear from the standby first. Together with confirmTimeout and a watch it must
	// be shorter than the time in which a configuration must be in force, 2.5 s.
	followerDelay = 500 * time.Millisecond
	// maxWatchDelay bounds a random delay before a follower watches the store itself, so
	// that not all of them call at once.
	maxWatchDelay = 300 * time.Millisecond
	// startWatchDelay is how long a follower waits after its start for the confirmation
	// of a reader. Instances that start together need that time to choose the readers.
	startWatchDelay = 3 * time.Second
	// firstReadDelay is how long after its start a follower without a view leaves the read
	// of all entries to the readers, and pulls the view from its peers. If all instances
	// that start together read them, over one link, no read ends in its time.
	firstReadDelay = 3 * time.Second
	// maxFirstReadDelay bounds a random delay after that, for a region whose readers do
	// not reach the store.
	maxFirstReadDelay = 3 * time.Second
)

// RecordStoreContact records that a reader has confirmed that it reaches the store, where
// it knows a version.
func (s *Sync) RecordStoreContact(version store.Version, address string) {
	rely := confirmTimeout
	if !s.readsForRegion() {
		rely += followerDelay + rand.N(maxWatchDelay)
	}
	s.mu.Lock()
	s.relyUntil = latest(s.relyUntil, time.Now().Add(rely))
	s.mu.Unlock()
	s.RecordAnnouncement(version, address)
}

// reliesOnReader reports whether this instance leaves calls to the store to a reader.
func (s *Sync) reliesOnReader(now time.Time) bool {
	if s.peers.ReaderRank() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.relyUntil)
}

// awaitsPeers reports whether this instance, which has no view yet, leaves the read of all
// entries to a reader. Few instances each try it once. At the first start of the whole
// system, the number of instances is not known.
func (s *Sync) awaitsPeers(now time.Time) bool {
	ownRead := !s.staleStart && !s.ownReadFailed && s.peers.FewInstances()
	if ownRead || s.readsForRegion() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.firstReadAt)
}

// readsForRegion reports whether this instance is the reader of its region or the
// standby, whose calls to the store count for the others.
func (s *Sync) readsForRegion() bool { return s.peers.ReaderRank() <= 1 }

// confirmStoreContact announces to the followers that this reader reaches the store.
func (s *Sync) confirmStoreContact(now time.Time) {
	if !s.readsForRegion() || now.Sub(s.lastConfirmed) < confirmInterval {
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
