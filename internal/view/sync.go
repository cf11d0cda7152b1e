package view

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

const (
	// readerBatchPause follows a watch of a reader that changed the view, so that the next
	// one returns all changes that are made in quick succession.
	readerBatchPause = 150 * time.Millisecond
	// graceBatchPause takes its place, and that of the rest of readerInterval, while servers
	// may register again: those that do shortly before the end of their grace period must be
	// known to all instances by then.
	graceBatchPause = 50 * time.Millisecond
	// readerInterval is the least time between the starts of two watches of a reader when
	// the first one changed nothing in the view, so that the heartbeats of servers, which
	// change their entries, do not cost a call each.
	readerInterval = 800 * time.Millisecond
	// followerPause does the same for followers. It is longer, because there are many of
	// them and each watch is a call to the store. Followers pull changes from the
	// readers, so it only bounds their delay when no reader reaches the store: a new
	// configuration must be in force, and a draining server must get no more requests,
	// within 2.5 s.
	followerPause = 1500 * time.Millisecond
	// initialBackoff and maxBackoff bound the mean delay before the retry of a failed
	// store call.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	// readerWatchTimeout is how long the watch of a reader waits. It is short because a
	// watch that waits while the store drops its history returns nothing; the next one
	// fails with ErrHistoryLost.
	readerWatchTimeout = 800 * time.Millisecond
	// maxReaderStateAge is how old the state of the store may become that a reader knows, and
	// minReaderWait the shortest wait of a watch that keeps it so.
	maxReaderStateAge = 950 * time.Millisecond
	minReaderWait     = 50 * time.Millisecond
	// followerWatchTimeout is how long the watch of a follower waits. Followers pull
	// from the readers what their own watch does not return.
	followerWatchTimeout = 10 * time.Second
	// snapshotPause precedes the listing of all entries after a watch that can't return the
	// changes, so that a store that answers so again and again is not called without a pause.
	snapshotPause = 20 * time.Millisecond
	// ownReadTimeout bounds the listing of all entries by a follower which may pull the
	// view from its peers instead.
	ownReadTimeout = 800 * time.Millisecond
	// tickInterval is how often pulls and the grace periods of servers are checked.
	tickInterval = 100 * time.Millisecond
	// startPollInterval is how often an instance without a view checks whether it is to
	// read the store itself.
	startPollInterval = 20 * time.Millisecond
	// announcementPullDelay is how long the store has to return a version that a peer
	// announced before it is pulled from the peer.
	announcementPullDelay = 150 * time.Millisecond
	// outagePullDelay is the time since the last answer of an unreachable store after
	// which changes are pulled from peers.
	outagePullDelay = 700 * time.Millisecond
	// pullInterval is the minimum time between two pulls. The first pull of a newly
	// announced version may come sooner.
	pullInterval = 500 * time.Millisecond
	// minPullStart is the time in which the answer to a pull must begin. It doubles with
	// each failure up to maxPullStart, because on a full link an answer waits behind the
	// data of the calls that timed out.
	minPullStart = 800 * time.Millisecond
	maxPullStart = 6400 * time.Millisecond
	// nextPeerInterval is the minimum time until another peer is asked, after one was busy or
	// did not have the announced version.
	nextPeerInterval = 150 * time.Millisecond
	// firstPullInterval is the minimum time between two pulls without a view: most peers
	// of an instance that starts with them have none either, or serve others.
	firstPullInterval = 150 * time.Millisecond
)

// Source reads the store.
type Source interface {
	// Snapshot returns all entries of configuration, servers and quarantines, and the version from
	// which Watch continues. A stale one may be seconds old and is cheap.
	Snapshot(ctx context.Context, stale bool, options CallOptions) ([]store.Entry, store.Version, error)
	// Watch waits for changes after a version, until shortly before the deadline of the
	// context. An answer that has begun by then may take as long as it makes progress. It
	// returns ErrHistoryLost when the store no longer has these changes, and
	// ErrTooManyChanges when they don't fit in one answer.
	Watch(ctx context.Context, prefix string, after store.Version, options CallOptions) (store.WatchResult, error)
}

// CallOptions are options of a call to the store.
type CallOptions struct {
	// NewConnection has the call made on a connection of its own: one that is kept open may
	// have become silent without an error.
	NewConnection bool
	// OnData is called when a part of the answer has arrived; nil for none.
	OnData func()
}

// Reasons for which a call to the store is interrupted.
var (
	// errBecameReader interrupts the long watch of a follower that has become a reader.
	errBecameReader = errors.New("instance has become a reader of the store")
	// errSuperseded interrupts a slow answer when another instance has newer changes.
	errSuperseded = errors.New("another instance has newer changes")
)

// ErrHistoryLost reports a watch from a version after which the store has dropped changes.
var ErrHistoryLost = errors.New("history of the store is no longer available")

// ErrTooManyChanges reports a watch whose answer is larger than this instance reads. The same
// watch would be answered so again, until the store drops these changes.
var ErrTooManyChanges = errors.New("changes of the store don't fit in one answer")

// ErrPeerBusy reports a peer that serves too many other pulls.
var ErrPeerBusy = errors.New("peer is busy")

// PullRequest asks for the changes after a version.
type PullRequest struct {
	// Address is that of the instance to ask. An empty one means any instance but the one at
	// the address Except, preferably one with a later version.
	Address, Except string
	// Have is the version after which changes are wanted.
	Have store.Version
	// Start is the time in which the answer must begin.
	Start time.Duration
	// OnData is called when a part of the answer has arrived; nil for none.
	OnData func()
}

// Peers are the other instances.
type Peers interface {
	// Pull returns the changes after a version that an instance has read from the store.
	// It returns ErrPeerBusy when another one should be asked.
	Pull(ctx context.Context, request PullRequest) (store.Changes, error)
	// ReaderRank returns the position of this instance among those of its region that
	// may read the store for it. The first one, 0, is the reader, which watches the store
	// at short intervals. The next ones, its standbys, take over one after the other when
	// no one confirms that it reaches the store. All others are followers.
	ReaderRank() int
	// FewInstances reports whether so few instances are known to exist that each may read
	// all entries of the store after a restart.
	FewInstances() bool
	// Announce announces the version of this instance's view to the others. fromStore is
	// false when its newest change did not come from a store call of this instance.
	Announce(version store.Version, fromStore bool)
	// ConfirmStoreContact announces that this instance, a reader or a standby, reaches the
	// store, which was known to have nothing newer some time ago.
	ConfirmStoreContact(age time.Duration)
	// AnnounceReceiving announces that an answer of the store is on its way to this
	// instance, whose changes it does not have yet.
	AnnounceReceiving()
	// MarkLeaving announces that an incarnation of a server leaves. It reaches the others
	// sooner than the entries of the store, which may wait for a large one.
	MarkLeaving(server string, incarnation int64)
}

// Sync keeps a view up to date.
type Sync struct {
	source Source
	peers  Peers
	logger *slog.Logger
	// staleStart is true when the first snapshot may be stale.
	staleStart bool
	metrics    syncMetrics
	current    atomic.Pointer[View]

	// publishing serialises the calls of observers, of which the last one is then made with
	// the newest view. published is the view of that call. It is locked before mu.
	publishing sync.Mutex
	published  *View

	mu        sync.Mutex
	state     *State
	observers []func(*View)
	// lastReached is when a store call last succeeded, and reachable whether the latest
	// one did.
	lastReached time.Time
	reachable   bool
	// announced is the highest version that a peer announced, announcedAt the time of
	// the announcement, and announcedBy the peer's address. The address is empty when
	// the version may be pulled from any instance.
	announced   store.Version
	announcedAt time.Time
	announcedBy string
	// behindSince is since when the view is behind announced without progress.
	behindSince time.Time
	lastPull    time.Time
	// pulls are those under way, in the order of their starts.
	pulls []*pullCall
	// pullPause is the minimum time between the start of the latest pull and the next one.
	pullPause time.Duration
	// pullStart is the time in which the answer to the next pull must begin.
	pullStart time.Duration
	// interruptWatch cancels the waiting watch of a follower; nil when there is none.
	interruptWatch context.CancelCauseFunc
	// relyUntil is until when this instance relies on another one to read the store.
	relyUntil time.Time
	// interruptAnswer cancels the call whose answer is slow; nil when there is none.
	interruptAnswer context.CancelCauseFunc
	// supersededUntil is until when this instance pulls what another one announced and makes
	// no call to the store.
	supersededUntil time.Time
	// stateAsOf is the latest time at which the store is known to have had nothing newer than
	// this instance has or knows of. confirmedBy is the address of the instance that said so,
	// empty for this one.
	stateAsOf   time.Time
	confirmedBy string
	// receivingSince is since when other instances only confirm that an answer of the
	// store is on its way; zero when one has the newest changes.
	receivingSince time.Time
	// lastContact is when another instance last confirmed that it reaches the store, however
	// old the state was.
	lastContact time.Time
	// retryReadAt is from when a standby or follower whose call to the store failed calls it
	// again, while others confirm that they reach it. readBackoff is the time until then.
	retryReadAt time.Time
	readBackoff time.Duration
	// readUntil is until when a standby reads the store beside a reader that was late.
	readUntil time.Time
	// followerPatience is pullPatience of a follower.
	followerPatience time.Duration
	// firstReadAt is from when a follower without a view reads the store itself.
	firstReadAt time.Time
	// ownReadFailed is true after a failed read of a follower without a view. Only
	// watchStore uses it.
	ownReadFailed bool
	// lastConfirmed is when this instance, as a reader, last confirmed that it reaches the
	// store, and confirmedAsOf the time of the state that it confirmed. Only watchStore uses
	// them.
	lastConfirmed, confirmedAsOf time.Time
	// lastHedge is when a watch was last repeated on a new connection. Only watchStore uses
	// it.
	lastHedge time.Time
	// behind and old hold whether the log has said that the view is behind, and that the
	// known state of the store is old. Only tickLoop uses them.
	behind, old loggedCondition
}

// NewSync returns a Sync without a view.
func NewSync(source Source, peers Peers, decoder Decoder, logger *slog.Logger, scope tally.Scope) *Sync {
	return &Sync{
		source: source, peers: peers, logger: logger, state: NewState(decoder),
		metrics: newSyncMetrics(scope), pullStart: minPullStart, pullPause: pullInterval,
		followerPatience: minFollowerPatience + rand.N(maxWatchDelay),
		relyUntil:        time.Now().Add(startWatchDelay + rand.N(maxWatchDelay)),
		firstReadAt:      time.Now().Add(firstReadDelay + rand.N(maxFirstReadDelay)),
	}
}

// AllowStaleStart lets the first snapshot be stale, which is cheaper. It suits only the
// first start of the whole system: after a restart, a key or a server that was withdrawn
// shortly before would be in use again. It must be called before Run.
func (s *Sync) AllowStaleStart() { s.staleStart = true }

// SetServerHeartbeat sets the interval at which servers renew their entries. It must be
// called before Run.
func (s *Sync) SetServerHeartbeat(interval time.Duration) { s.state.SetServerHeartbeat(interval) }

// Current returns the view, nil until there is one.
func (s *Sync) Current() *View { return s.current.Load() }

// Observe adds a function that is called with each new view, in order and one call at a
// time; a view that is replaced meanwhile is skipped. It must be called before Run.
func (s *Sync) Observe(observer func(*View)) { s.observers = append(s.observers, observer) }

// ChangesAfter implements peer.ViewHandler.
func (s *Sync) ChangesAfter(have store.Version) store.Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := s.state.ChangesAfter(have)
	changes.Awaited = s.state.AwaitedServers(time.Now())
	return changes
}

// RecordAnnouncement records that the peer at an address announced a version.
func (s *Sync) RecordAnnouncement(version store.Version, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordAnnouncement(time.Now(), version, address)
}

// recordAnnouncement is RecordAnnouncement with the lock held.
func (s *Sync) recordAnnouncement(now time.Time, version store.Version, address string) {
	if version <= s.state.Position() || version < s.announced {
		return
	}
	if version == s.announced {
		s.recordAlternative(address)
		return
	}
	if !s.isBehind() {
		s.behindSince = now
	}
	s.announced, s.announcedAt, s.announcedBy = version, now, address
	if s.interruptAnswer != nil {
		s.supersededUntil = s.announcedAt.Add(maxSupersededTime)
		s.interruptAnswer(errSuperseded)
	}
}

// isBehind reports whether another instance has a newer version. It is called with the lock
// held.
func (s *Sync) isBehind() bool { return s.announced > s.state.Position() }

// MarkLeaving records that an incarnation of a server leaves, as it said itself.
func (s *Sync) MarkLeaving(id string, incarnation int64) {
	s.update(func(state *State, _ time.Time) Change { return state.MarkLeaving(id, incarnation) }, false)
}

// Run keeps the view up to date from the store and the peers until the context ends.
func (s *Sync) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { s.watchStore(ctx) })
	running.Go(func() { s.tickLoop(ctx, &running) })
	running.Wait()
}

// updateFromStore is update with what the store returned, which had nothing newer at the time
// asOf.
func (s *Sync) updateFromStore(asOf time.Time, apply func(*State, time.Time) Change) Change {
	return s.update(func(state *State, now time.Time) Change {
		s.lastReached, s.receivingSince, s.readBackoff = now, time.Time{}, 0
		state.RecordReach(now)
		s.markReachable()
		s.recordStateAsOf(asOf, "")
		return apply(state, now)
	}, true)
}

// update applies a change to the state, with the lock held. When the view changes, it publishes
// and announces the new one.
func (s *Sync) update(apply func(*State, time.Time) Change, fromStore bool) Change {
	now := time.Now()
	s.mu.Lock()
	position := s.state.Position()
	change := apply(s.state, now)
	if s.state.Position() > position {
		s.behindSince = now
	}
	if !change.Any() {
		s.mu.Unlock()
		s.logRejected(change)
		return change
	}
	next := s.state.View()
	s.current.Store(next)
	s.mu.Unlock()
	s.metrics.recordView(next)
	s.logChange(change, next, fromStore)
	s.publish()
	s.peers.Announce(next.Version, fromStore)
	if fromStore && !change.Restored {
		s.announceLeaving(change, next)
	}
	return change
}

// publish calls the observers with the current view unless another call has done so.
func (s *Sync) publish() {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	next := s.current.Load()
	if next == s.published {
		return
	}
	s.published = next
	for _, observer := range s.observers {
		observer(next)
	}
}

// announceLeaving announces the servers of which the store says since a change that they
// leave.
func (s *Sync) announceLeaving(change Change, next *View) {
	for _, id := range change.Drained {
		if server, listed := next.ByID(id); listed {
			s.peers.MarkLeaving(id, server.Incarnation)
		}
	}
}

// markReachable records that the store answered, and logs it if it did not before. It is
// called with the lock held.
func (s *Sync) markReachable() {
	if !s.reachable {
		s.reachable = true
		events.StoreReachable.Log(context.Background(), s.logger, slog.Int64("version", int64(s.state.Position())))
	}
}

func (s *Sync) markUnreachable(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.RecordOutage(time.Now())
	if s.reachable {
		s.reachable = false
		events.StoreUnreachable.Log(ctx, s.logger, slog.Any("error", err), slog.Int64("version", int64(s.state.Position())))
	}
}

// tickLoop checks the grace periods of servers, and starts pulls from peers of what the
// store does not return. It does not wait for them.
func (s *Sync) tickLoop(ctx context.Context, running *sync.WaitGroup) {
	for clock.Sleep(ctx, tickInterval) {
		s.update(func(state *State, now time.Time) Change { return state.Tick(now) }, false)
		s.observeLag(time.Now())
		s.observeStateAge(time.Now())
		s.interruptFollowerWatch()
		if call := s.beginPull(ctx, time.Now()); call != nil {
			running.Go(func() { s.pull(call) })
		}
	}
}

// hasView reports whether this instance has entries of the store, from which it can watch.
func (s *Sync) hasView() bool { return s.Position() > 0 }

// Position returns the version of the store up to which all changes are applied. It
// implements peer.ViewHandler.
func (s *Sync) Position() store.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Position()
}
