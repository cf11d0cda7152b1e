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
	// batchPause lets changes that come together arrive in one watch of a reader.
	batchPause = 50 * time.Millisecond
	// followerPause does so for the other instances, of which there are many: each
	// watch that ends is a call to the store. They pull changes from the readers, so
	// it only bounds their delay when no reader reaches the store: a configuration
	// must be in force, and a leaving server without work, within 2.5 s.
	followerPause = 1500 * time.Millisecond
	// idlePause follows a watch that changed nothing in the view, so that
	// heartbeats of servers do not cost a call each.
	idlePause = 200 * time.Millisecond
	// Backoff of failed calls to the store.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// readerWait is how long the watch of a reader waits. While the store drops
	// its history, a waiting watch hears nothing; the next one is told.
	readerWait = 800 * time.Millisecond
	// followerWait is how long the watches of the other instances wait, which learn
	// from the readers what their own watch does not tell.
	followerWait = 10 * time.Second
	// snapshotTimeout bounds a list of all entries.
	snapshotTimeout = 2 * time.Second
	// tickInterval is how often pulls and lapsed servers are considered.
	tickInterval = 100 * time.Millisecond
	// pullAfter is how long a version that a peer announced is awaited from the
	// store.
	pullAfter = 150 * time.Millisecond
	// silentAfter is how long the store may not answer before peers are asked, and
	// pullInterval how often they are.
	silentAfter  = 700 * time.Millisecond
	pullInterval = 500 * time.Millisecond
)

// Source is the store.
type Source interface {
	// Snapshot returns all entries of configuration and servers, and the version
	// from which a watch goes on.
	Snapshot(ctx context.Context) ([]store.Entry, store.Version, error)
	// Watch waits for changes after a version, until shortly before the deadline of
	// the context. It returns ErrHistoryLost when these are not available any more.
	Watch(ctx context.Context, prefix string, after store.Version) (store.WatchResult, error)
}

// errBecameReader ends the long watch of an instance that has become a reader.
var errBecameReader = errors.New("instance has become a reader of the store")

// ErrHistoryLost reports a watch from a version whose changes the store dropped.
var ErrHistoryLost = errors.New("history of the store is no longer available")

// Peers are the other instances.
type Peers interface {
	// Pull returns what an instance has read of the store after a version. An empty
	// address means any instance.
	Pull(ctx context.Context, address string, have store.Version) (store.Changes, error)
	// IsReader reports whether this instance is one of the few that look for changes
	// often.
	IsReader() bool
	// Announce tells the others a version of the view.
	Announce(version store.Version, fromStore bool)
}

// Sync keeps a view current.
type Sync struct {
	source  Source
	peers   Peers
	logger  *slog.Logger
	pulls   tally.Counter
	reads   tally.Counter
	current atomic.Pointer[View]

	mu        sync.Mutex
	state     *State
	observers []func(*View)
	reached   time.Time
	reachable bool
	// heard is the highest version that a peer announced, since when, and where.
	heard        store.Version
	heardAt      time.Time
	heardAddress string
	pulledAt     time.Time
	// endWatch ends the watch of a follower that waits; nil otherwise.
	endWatch context.CancelCauseFunc
}

// NewSync returns a Sync that knows nothing.
func NewSync(source Source, peers Peers, decoder Decoder, logger *slog.Logger, scope tally.Scope) *Sync {
	return &Sync{
		source: source, peers: peers, logger: logger, state: NewState(decoder),
		pulls: scope.Counter("view_pulls"), reads: scope.Counter("view_store_reads"),
	}
}

// Current returns the view, nil before anything is known.
func (s *Sync) Current() *View { return s.current.Load() }

// Observe adds a function that gets each new view. Add observers before Run.
func (s *Sync) Observe(observer func(*View)) { s.observers = append(s.observers, observer) }

// ChangesAfter implements peer.ViewHandler.
func (s *Sync) ChangesAfter(have store.Version) store.Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.ChangesAfter(have)
}

// RecordAnnouncement records that a peer has a version.
func (s *Sync) RecordAnnouncement(version store.Version, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.heard || version <= s.state.Position() {
		return
	}
	s.heard, s.heardAt, s.heardAddress = version, time.Now(), address
}

// Run reads the store and the peers until the context ends.
func (s *Sync) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { s.watchStore(ctx) })
	running.Go(func() { s.watchPeers(ctx) })
	running.Wait()
}

// watchStore follows the store.
func (s *Sync) watchStore(ctx context.Context) {
	backoff := firstBackoff
	known := false
	for ctx.Err() == nil {
		changed, err := s.read(ctx, known)
		if err == nil {
			known, backoff = true, firstBackoff
			clock.Sleep(ctx, s.pause(changed))
			continue
		}
		if errors.Is(err, errBecameReader) {
			continue
		}
		if errors.Is(err, ErrHistoryLost) {
			known = false
			continue
		}
		s.unreachable(ctx, err)
		clock.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// pause returns the time between two watches.
func (s *Sync) pause(changed bool) time.Duration {
	switch {
	case !s.peers.IsReader():
		return followerPause
	case changed:
		return batchPause
	}
	return idlePause
}

// read makes one call to the store and reports whether the view changed.
func (s *Sync) read(ctx context.Context, known bool) (changed bool, err error) {
	s.reads.Inc(1)
	if !known {
		return s.snapshot(ctx)
	}
	s.mu.Lock()
	after := s.state.Position()
	s.mu.Unlock()
	result, err := s.watch(ctx, after)
	if err != nil {
		return false, err
	}
	change := s.update(func(state *State, now time.Time) Change { return state.Apply(now, result) }, true)
	return change.Any(), nil
}

// watch waits for changes after a version: a reader not for long, the others until they
// become one.
func (s *Sync) watch(ctx context.Context, after store.Version) (store.WatchResult, error) {
	wait := readerWait
	if !s.peers.IsReader() {
		wait = followerWait
		ended, end := context.WithCancelCause(ctx)
		ctx = ended
		s.setEndWatch(end)
		defer s.setEndWatch(nil)
		defer end(nil)
	}
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	result, err := s.source.Watch(bounded, "", after)
	if err != nil && errors.Is(context.Cause(ctx), errBecameReader) {
		return result, errBecameReader
	}
	return result, err
}

func (s *Sync) setEndWatch(end context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endWatch = end
}

// becomeReader ends the long watch of an instance that has become a reader: the store
// may tell waiting watches nothing for a while.
func (s *Sync) becomeReader() {
	if !s.peers.IsReader() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endWatch != nil {
		s.endWatch(errBecameReader)
	}
}

func (s *Sync) snapshot(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	entries, version, err := s.source.Snapshot(ctx)
	if err != nil {
		return false, err
	}
	change := s.update(func(state *State, now time.Time) Change { return state.Replace(now, entries, version) }, true)
	return change.Any(), nil
}

// update changes the state, publishes a new view and announces it.
func (s *Sync) update(apply func(*State, time.Time) Change, fromStore bool) Change {
	now := time.Now()
	s.mu.Lock()
	if fromStore {
		s.reached = now
		s.regained()
	}
	change := apply(s.state, now)
	if !change.Any() {
		s.mu.Unlock()
		s.logRejected(change)
		return change
	}
	next := s.state.View()
	s.current.Store(next)
	s.mu.Unlock()
	s.log(change, next, fromStore)
	for _, observer := range s.observers {
		observer(next)
	}
	s.peers.Announce(next.Version, fromStore)
	return change
}

// regained logs that the store answers. It is called with the lock held.
func (s *Sync) regained() {
	if !s.reachable {
		s.reachable = true
		events.StoreReached.Log(context.Background(), s.logger, slog.Int64("version", int64(s.state.Position())))
	}
}

func (s *Sync) unreachable(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Outage(time.Now())
	if s.reachable {
		s.reachable = false
		events.StoreLost.Log(ctx, s.logger, slog.Any("error", err), slog.Int64("version", int64(s.state.Position())))
	}
}

func (s *Sync) log(change Change, next *View, fromStore bool) {
	s.logRejected(change)
	attrs := []slog.Attr{slog.Int64("version", int64(next.Version)), slog.Bool("from_store", fromStore)}
	if next.Table != nil {
		attrs = append(attrs, slog.Int64("configuration", next.Table.Version))
	}
	attrs = append(attrs, slog.Bool("new_configuration", change.Configuration),
		serversAttr("joined", change.Joined), serversAttr("drained", change.Drained), serversAttr("left", change.Left))
	events.ViewChanged.Log(context.Background(), s.logger, attrs...)
}

// loggedServers bounds the servers that one line names: the first view has all.
const loggedServers = 20

// serversAttr returns an attribute that names servers, or tells their number when there
// are many.
func serversAttr(name string, ids []string) slog.Attr {
	if len(ids) > loggedServers {
		return slog.Int(name, len(ids))
	}
	return slog.Any(name, ids)
}

func (s *Sync) logRejected(change Change) {
	for _, r := range change.Rejected {
		events.EntryRejected.Log(context.Background(), s.logger, slog.String("key", r.Key), slog.Any("error", r.Error))
	}
}

// watchPeers asks peers for what the store does not deliver.
func (s *Sync) watchPeers(ctx context.Context) {
	for clock.Sleep(ctx, tickInterval) {
		s.update(func(state *State, now time.Time) Change { return state.Tick(now) }, false)
		s.becomeReader()
		if address, due := s.pullDue(time.Now()); due {
			s.pull(ctx, address)
		}
	}
}

// pullDue reports whether a peer should be asked, and which one; an empty address
// means any.
func (s *Sync) pullDue(now time.Time) (address string, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard > s.state.Position() && now.Sub(s.heardAt) >= pullAfter {
		if now.Sub(s.pulledAt) < pullInterval {
			return s.heardAddress, s.pulledAt.Before(s.heardAt)
		}
		return s.heardAddress, true
	}
	silent := !s.reachable && now.Sub(s.reached) >= silentAfter
	return "", silent && now.Sub(s.pulledAt) >= pullInterval
}

func (s *Sync) pull(ctx context.Context, address string) {
	s.mu.Lock()
	s.pulledAt = time.Now()
	have := s.state.Position()
	s.mu.Unlock()
	s.pulls.Inc(1)
	changes, err := s.peers.Pull(ctx, address, have)
	if err != nil {
		events.PullFailed.Log(ctx, s.logger, slog.String("address", address), slog.Any("error", err))
		// The next try may go to any instance.
		s.mu.Lock()
		s.heardAddress = ""
		s.mu.Unlock()
		return
	}
	if changes.Version > have {
		s.update(func(state *State, now time.Time) Change { return state.Merge(now, changes) }, false)
	}
}
