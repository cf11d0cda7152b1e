package view

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// Most instances make no calls to the store while another one of their region confirms that
// it reaches the store: they pull what it announces. So the number of calls depends on the
// number of regions and not on that of instances, and a large configuration crosses the link
// of a region few times. Without a confirmation, the standbys of the reader take over one
// after the other; the followers watch the store themselves only when none of them does.
const (
	// maxStandbyRank is the rank of the last standby.
	maxStandbyRank = 7
	// confirmInterval is the least time between two confirmations of a reader, or between the
	// states that they describe.
	confirmInterval = 500 * time.Millisecond
	// confirmTimeout is how long after the time of the state that a confirmation describes the
	// first standby relies on it. A reader learns of a newer state within maxReaderStateAge.
	confirmTimeout = readerInterval + 500*time.Millisecond
	// standbyDelay is how much longer the second standby relies on a confirmation, and
	// standbyInterval is added for each one after it, so that each has time to confirm
	// before the next one takes over.
	standbyDelay    = 300 * time.Millisecond
	standbyInterval = 50 * time.Millisecond
	// followerDelay is how much longer the followers rely on a confirmation. Together with
	// confirmTimeout, maxWatchDelay and a watch it must be shorter than the time in which a
	// configuration must be in force, 2.5 s.
	followerDelay = 600 * time.Millisecond
	// maxWatchDelay bounds a random delay before a follower watches the store itself, so
	// that not all of them call at once.
	maxWatchDelay = 200 * time.Millisecond
	// receivingDelay is how long an answer of the store may be on its way before it is
	// announced. Most answers take less.
	receivingDelay = 100 * time.Millisecond
	// takeoverInterval is how long the first standby leaves a slow answer to the reader,
	// the second one to both of them, and so on.
	takeoverInterval = 300 * time.Millisecond
	// maxSupersededTime bounds the time in which an instance whose answer was slow makes no
	// call to the store, because it pulls the changes from another instance.
	maxSupersededTime = 3 * time.Second
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

// relianceOn returns how long an instance of a rank relies on a confirmation.
func relianceOn(rank int) time.Duration {
	switch {
	case rank <= 1:
		return confirmTimeout
	case rank <= maxStandbyRank:
		return confirmTimeout + standbyDelay + time.Duration(rank-2)*standbyInterval
	}
	return confirmTimeout + followerDelay + rand.N(maxWatchDelay)
}

// StoreContact is the report of another instance of the region that it reaches the store.
type StoreContact struct {
	// Version is that of the instance's view, and Address the instance's.
	Version store.Version
	Address string
	// Age is how long ago the store was known to have nothing newer than Version.
	Age time.Duration
	// Waited is how long the report waited on its way to this instance.
	Waited time.Duration
	// Receiving is true when an answer of the store is on its way to the instance, whose
	// changes it does not have yet. Age has no meaning then.
	Receiving bool
}

// RecordStoreContact records the report of another instance. How long this instance relies on
// it is counted from the time of the store's state and not from that of the report, which may
// have waited on a slow link.
func (s *Sync) RecordStoreContact(contact StoreContact) {
	rank, now := s.peers.ReaderRank(), time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.RecordReach(now.Add(-contact.Waited))
	if contact.Receiving {
		if s.receivingSince.IsZero() {
			s.receivingSince = now
		}
		takeover := time.Duration(min(rank, maxStandbyRank+1)) * takeoverInterval
		s.relyUntil = s.receivingSince.Add(takeover)
	} else {
		asOf := now.Add(-contact.Age)
		s.receivingSince, s.lastContact = time.Time{}, now
		s.relyUntil = latest(s.relyUntil, asOf.Add(relianceOn(rank)))
		s.recordStateAsOf(asOf, contact.Address)
	}
	s.recordAnnouncement(now, contact.Version, contact.Address)
}

// recordStateAsOf records a time at which the store had nothing newer than this instance has
// or knows of, by its own call or by that of the instance at an address. It is called with the
// lock held.
func (s *Sync) recordStateAsOf(at time.Time, address string) {
	if at.After(s.stateAsOf) {
		s.stateAsOf, s.confirmedBy = at, address
	}
}

// maxStateAge is how old the known state of the store may be for the configuration to count as
// the newest one. It is shorter than the time in which a configuration must be in force, 2.5 s.
const maxStateAge = 2 * time.Second

// IsCurrent reports whether, as far as is known, the store has no newer configuration than
// the view. It is false when another instance has a newer version, when an answer of the
// store is on its way to one, and when the known state of the store is old.
func (s *Sync) IsCurrent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	receiving := s.interruptAnswer != nil || !s.receivingSince.IsZero()
	return s.announced <= s.state.Position() && !receiving && now.Sub(s.stateAsOf) <= maxStateAge
}

// reliesOnReader reports whether this instance leaves calls to the store to another one.
func (s *Sync) reliesOnReader(now time.Time) bool {
	rank := s.peers.ReaderRank()
	s.mu.Lock()
	defer s.mu.Unlock()
	if rank > 0 && s.leavesLinkToOthers(now) {
		return true
	}
	firstStandbyReads := rank == 1 && s.state.AwaitsServers()
	if firstStandbyReads || now.Before(s.readUntil) || s.pullsAreStuck(now, rank) {
		return false
	}
	return s.awaitsPull(now) || rank > 0 && now.Before(s.relyUntil)
}

// awaitsPull reports whether newer changes come from another instance, so that a call to the
// store would only take bandwidth from their pull. It is called with the lock held.
func (s *Sync) awaitsPull(now time.Time) bool {
	pullSucceeds := len(s.pulls) > 0 && s.pullStart == minPullStart
	return s.isBehind() && (pullSucceeds || now.Before(s.supersededUntil))
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

// readsForRegion reports whether this instance is the reader of its region or its first
// standby, which read all entries after a start.
func (s *Sync) readsForRegion() bool { return s.peers.ReaderRank() <= 1 }

// mayConfirm reports whether others rely on the calls that this instance makes to the store.
func (s *Sync) mayConfirm() bool { return s.peers.ReaderRank() <= maxStandbyRank }

// confirmStoreContact announces to the region that this instance reaches the store and has
// the newest changes.
func (s *Sync) confirmStoreContact(now time.Time) {
	s.mu.Lock()
	asOf := s.stateAsOf
	s.mu.Unlock()
	if !s.mayConfirm() || now.Sub(s.lastConfirmed) < confirmInterval && asOf.Sub(s.confirmedAsOf) < confirmInterval {
		return
	}
	s.lastConfirmed, s.confirmedAsOf = now, asOf
	s.peers.ConfirmStoreContact(now.Sub(asOf))
}

// answerObserver observes the answer to one call. When it takes longer than most, it
// announces to the region that an answer is on its way, and lets the announcement of newer
// changes interrupt the call. It is safe for concurrent use.
type answerObserver struct {
	sync   *Sync
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	slow  *time.Timer
	ended bool
}

// observeAnswer returns the observer of a call with a context that cancel cancels.
func (s *Sync) observeAnswer(cancel context.CancelCauseFunc) *answerObserver {
	return &answerObserver{sync: s, cancel: cancel}
}

// record records that a part of the answer has arrived.
func (o *answerObserver) record() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.slow == nil && !o.ended && o.sync.mayConfirm() {
		o.slow = time.AfterFunc(receivingDelay, o.recordSlow)
	}
}

func (o *answerObserver) recordSlow() {
	o.mu.Lock()
	ended := o.ended
	if !ended {
		o.sync.setInterruptAnswer(o.cancel)
	}
	o.mu.Unlock()
	if !ended {
		o.sync.peers.AnnounceReceiving()
	}
}

// hasBegun reports whether a part of the answer has arrived.
func (o *answerObserver) hasBegun() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.slow != nil
}

// end records the end of the call.
func (o *answerObserver) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = true
	if o.slow != nil {
		o.slow.Stop()
	}
	o.sync.setInterruptAnswer(nil)
}

func (s *Sync) setInterruptAnswer(cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interruptAnswer = cancel
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
