package view

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// fakeSource is a store that returns a fixed snapshot or error. onWatch answers its watches.
type fakeSource struct {
	mu       sync.Mutex
	snapshot []store.Entry
	version  store.Version
	err      error
	onWatch  func(ctx context.Context) (store.WatchResult, error)
	// staleReads counts the snapshots that may be stale.
	staleReads int
}

func (f *fakeSource) Snapshot(_ context.Context, stale bool, _ CallOptions) ([]store.Entry, store.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if stale {
		f.staleReads++
	}
	return f.snapshot, f.version, f.err
}

func (f *fakeSource) Watch(ctx context.Context, _ string, _ store.Version, _ CallOptions) (store.WatchResult, error) {
	return f.onWatch(ctx)
}

func waitForCancel(ctx context.Context) (store.WatchResult, error) {
	<-ctx.Done()
	return store.WatchResult{}, ctx.Err()
}

// fakePeers have one state of the store, which every pull returns.
type fakePeers struct {
	entries   []store.Entry
	version   store.Version
	announced chan store.Version
	confirmed chan struct{}
	reader    bool
	few       bool
	mu        sync.Mutex
	// leaving holds the servers that were announced as leaving.
	leaving []string
	// hang is true when no peer answers a pull.
	hang bool
	// lacking is the address of an instance that has no changes.
	lacking string
	// becomesReader turns this instance into a reader.
	becomesReader atomic.Bool
}

func (f *fakePeers) ReaderRank() int {
	if f.reader || f.becomesReader.Load() {
		return 0
	}
	return maxStandbyRank + 1
}

func (f *fakePeers) Pull(ctx context.Context, request PullRequest) (store.Changes, error) {
	if f.lacking != "" && request.Address == f.lacking {
		return store.Changes{}, nil
	}
	if f.hang {
		<-ctx.Done()
		return store.Changes{}, ctx.Err()
	}
	return store.Changes{WatchResult: watchResult(f.version, f.entries...)}, nil
}

func (f *fakePeers) FewInstances() bool { return f.few }

func (f *fakePeers) Announce(version store.Version, _ bool) { f.announced <- version }

func (f *fakePeers) MarkLeaving(server string, _ int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = append(f.leaving, server)
}

func (f *fakePeers) AnnounceReceiving() {}

func (f *fakePeers) ConfirmStoreContact(time.Duration) {
	select {
	case f.confirmed <- struct{}{}:
	default:
	}
}

func startSync(c *qt.C, source Source, peers *fakePeers) *Sync {
	peers.announced = make(chan store.Version, 10)
	peers.confirmed = make(chan struct{}, 1)
	s := newTestSync(source, peers)
	s.relyUntil, s.firstReadAt = time.Time{}, time.Time{}
	run(c, s)
	return s
}

func newTestSync(source Source, peers Peers) *Sync {
	return NewSync(source, peers, fakeDecoder{}, slog.New(slog.NewJSONHandler(io.Discard, nil)), tally.NoopScope)
}

func run(c *qt.C, s *Sync) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(done)
	}()
	c.Cleanup(func() {
		cancel()
		<-done
	})
}

// Guards against an instance that keeps an old configuration because its watch hangs,
// although a peer has announced a newer one.
func TestAnnouncedVersionIsPulledFromPeer(t *testing.T) {
	c := qt.New(t)
	source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 1, onWatch: waitForCancel}
	peers := &fakePeers{entries: []store.Entry{entry("config", "2", 5)}, version: 5}
	s := startSync(c, source, peers)
	c.Assert(<-peers.announced, qt.Equals, store.Version(1))
	s.RecordAnnouncement(5, "peer")
	c.Assert(<-peers.announced, qt.Equals, store.Version(5))
	c.Assert(s.Current().Table.Version, qt.Equals, int64(2))
}

// Guards against a pull without an answer that holds up all else that an instance does
// regularly, such as to stop the use of servers whose entries were removed.
func TestHangingPullsHoldNothingUp(t *testing.T) {
	c := qt.New(t)
	source := &fakeSource{snapshot: []store.Entry{entry("server/a", "a", 1)}, version: 1, onWatch: waitForCancel}
	peers := &fakePeers{hang: true}
	s := startSync(c, source, peers)
	c.Assert(<-peers.announced, qt.Equals, store.Version(1))
	s.RecordAnnouncement(5, "peer")
	for pulling := false; !pulling; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		pulling = len(s.pulls) > 0
		s.mu.Unlock()
	}
	s.update(func(state *State, now time.Time) Change {
		state.RecordOutage(now)
		return state.Apply(now, store.WatchResult{Version: 2, Deleted: []string{"server/a"}})
	}, false)
	c.Assert(<-peers.announced, qt.Equals, store.Version(2))
	_, listed := s.Current().ByID("a")
	c.Assert(listed, qt.IsFalse)
}

// Guards against an instance that starts during a store outage and never gets a
// configuration.
func TestStartWithoutStorePullsFromPeers(t *testing.T) {
	c := qt.New(t)
	source := &fakeSource{err: store.ErrUnavailable, onWatch: waitForCancel}
	peers := &fakePeers{entries: []store.Entry{entry("config", "3", 9)}, version: 9}
	s := startSync(c, source, peers)
	c.Assert(<-peers.announced, qt.Equals, store.Version(9))
	c.Assert(s.Current().Table.Version, qt.Equals, int64(3))
}

// Guards against a watch that is repeated from a version whose changes the store has
// dropped, which misses them.
func TestLostHistoryCausesSnapshot(t *testing.T) {
	c := qt.New(t)
	source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 1}
	lost := make(chan struct{}, 1)
	lost <- struct{}{}
	source.onWatch = func(ctx context.Context) (store.WatchResult, error) {
		select {
		case <-lost:
			source.mu.Lock()
			source.snapshot, source.version = []store.Entry{entry("config", "4", 30)}, 30
			source.mu.Unlock()
			return store.WatchResult{}, ErrHistoryLost
		default:
			return waitForCancel(ctx)
		}
	}
	peers := &fakePeers{}
	s := startSync(c, source, peers)
	c.Assert(<-peers.announced, qt.Equals, store.Version(1))
	c.Assert(<-peers.announced, qt.Equals, store.Version(30))
	c.Assert(s.Current().Table.Version, qt.Equals, int64(4))
}

// Guards against a watch that is repeated from a version although its answer is too large, so
// that the instance learns of nothing until the store drops these changes (CONFIG, DRAIN).
func TestTooManyChangesCauseSnapshot(t *testing.T) {
	c := qt.New(t)
	source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 1}
	watches := 0
	source.onWatch = func(ctx context.Context) (store.WatchResult, error) {
		if watches++; watches > 1 {
			return waitForCancel(ctx)
		}
		source.mu.Lock()
		defer source.mu.Unlock()
		source.snapshot, source.version = []store.Entry{entry("config", "4", 30)}, 30
		return store.WatchResult{}, ErrTooManyChanges
	}
	s := startSync(c, source, &fakePeers{})
	for end := time.Now().Add(5 * time.Second); s.Position() < 30 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(s.Position(), qt.Equals, store.Version(30))
	c.Assert(s.Current().Table.Version, qt.Equals, int64(4))
}

// Guards against an instance that lists all entries again and again, each time over its slow
// link, although it has pulled from a peer what its watch could not return.
func TestPullsReplaceSnapshots(t *testing.T) {
	c := qt.New(t)
	source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 1}
	watches := make(chan struct{}, 2)
	failed := false
	source.onWatch = func(ctx context.Context) (store.WatchResult, error) {
		watches <- struct{}{}
		if failed {
			return waitForCancel(ctx)
		}
		failed = true
		source.mu.Lock()
		defer source.mu.Unlock()
		source.err = store.ErrUnavailable
		return store.WatchResult{}, ErrTooManyChanges
	}
	peers := &fakePeers{entries: []store.Entry{entry("config", "2", 5)}, version: 5}
	s := startSync(c, source, peers)
	c.Assert(<-peers.announced, qt.Equals, store.Version(1))
	<-watches
	s.RecordAnnouncement(5, "peer")
	c.Assert(<-peers.announced, qt.Equals, store.Version(5))
	select {
	case <-watches:
	case <-time.After(5 * time.Second):
		c.Fatal("the store is not watched again")
	}
}

// Guards against sending the view to a peer that already has it.
func TestChangesAreServedToPeersThatLackThem(t *testing.T) {
	c := qt.New(t)
	source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 8, onWatch: waitForCancel}
	peers := &fakePeers{}
	s := startSync(c, source, peers)
	<-peers.announced
	changes := s.ChangesAfter(7)
	c.Assert(changes.Version, qt.Equals, store.Version(8))
	c.Assert(changes.Changed, qt.HasLen, 1)
	c.Assert(s.ChangesAfter(8).Version, qt.Equals, store.Version(0))
}

// Guards against readers with long watches: a watch that waits while the store drops its
// history returns nothing, so a new configuration would be found only at its end.
func TestReadersUseShortWatches(t *testing.T) {
	c := qt.New(t)
	for _, reader := range []bool{true, false} {
		timeouts := make(chan time.Duration, 1)
		source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 1}
		source.onWatch = func(ctx context.Context) (store.WatchResult, error) {
			deadline, _ := ctx.Deadline()
			select {
			case timeouts <- time.Until(deadline):
			default:
			}
			return waitForCancel(ctx)
		}
		startSync(c, source, &fakePeers{reader: reader})
		c.Assert(<-timeouts <= readerWatchTimeout, qt.Equals, reader)
	}
}

// Guards against a new reader that first waits for its long watch as a follower to end:
// two readers that had just started got a configuration 5 s late, because the store
// returned nothing to waiting watches.
func TestBecomingReaderInterruptsLongWatch(t *testing.T) {
	c := qt.New(t)
	timeouts := make(chan time.Duration, 10)
	source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 1}
	source.onWatch = func(ctx context.Context) (store.WatchResult, error) {
		deadline, _ := ctx.Deadline()
		timeouts <- time.Until(deadline)
		return waitForCancel(ctx)
	}
	peers := &fakePeers{}
	s := startSync(c, source, peers)
	c.Assert(<-timeouts > readerWatchTimeout, qt.IsTrue)
	peers.becomesReader.Store(true)
	c.Assert(<-timeouts <= readerWatchTimeout, qt.IsTrue)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Assert(s.reachable, qt.IsTrue)
}

// Guards against followers that each watch the store although a reader does, which makes
// the calls to the store grow with the number of instances, and against followers that
// still rely on a reader that no longer reaches the store.
func TestFollowersRelyOnReaders(t *testing.T) {
	c := qt.New(t)
	watches := make(chan time.Time, 10)
	source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 1}
	source.onWatch = func(context.Context) (store.WatchResult, error) {
		watches <- time.Now()
		return store.WatchResult{}, store.ErrUnavailable
	}
	peers := &fakePeers{entries: []store.Entry{entry("config", "2", 5)}, version: 5}
	s := startSync(c, source, peers)
	<-peers.announced
	contact := time.Now()
	s.RecordStoreContact(StoreContact{Version: 5, Address: "reader"})
	c.Assert(<-peers.announced, qt.Equals, store.Version(5))
	for len(watches) > 0 {
		<-watches // made before the contact
	}
	c.Assert((<-watches).Sub(contact) >= confirmTimeout, qt.IsTrue)
}

// Guards against a key or a server that was withdrawn shortly before and is in use again
// after a restart, because the instance started from a stale read.
func TestRestartedInstanceReadsTheCurrentState(t *testing.T) {
	c := qt.New(t)
	source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 1, onWatch: waitForCancel}
	peers := &fakePeers{}
	startSync(c, source, peers)
	<-peers.announced
	source.mu.Lock()
	defer source.mu.Unlock()
	c.Assert(source.staleReads, qt.Equals, 0)
}

// Guards against a reader that confirms nothing, so that all followers watch the store.
func TestReadersConfirmStoreContact(t *testing.T) {
	c := qt.New(t)
	source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 1, onWatch: waitForCancel}
	peers := &fakePeers{reader: true}
	startSync(c, source, peers)
	<-peers.confirmed
}

// Guards against log lines that grow with the number of servers.
func TestLogLinesListFewServers(t *testing.T) {
	c := qt.New(t)
	ids := make([]string, maxLoggedServers+1)
	c.Assert(serversAttr("joined", ids).Value.Any(), qt.Equals, any(int64(maxLoggedServers+1)))
	c.Assert(serversAttr("joined", ids[1:]).Value.Any(), qt.DeepEquals, any(ids[1:]))
}

// Guards against an observer that is left with an older view, because the calls of two
// concurrent changes overtake each other.
func TestObserversEndWithTheNewestView(t *testing.T) {
	c := qt.New(t)
	s := NewSync(&fakeSource{}, &fakePeers{announced: make(chan store.Version, 2)}, fakeDecoder{}, slog.New(slog.DiscardHandler), tally.NoopScope)
	held, entered := make(chan struct{}), make(chan struct{})
	s.Observe(func(v *View) {
		if v.Version == 1 {
			close(entered)
			<-held
		}
	})
	var mu sync.Mutex
	var last store.Version
	s.Observe(func(v *View) {
		mu.Lock()
		defer mu.Unlock()
		last = v.Version
	})
	var updates sync.WaitGroup
	update := func(version store.Version) {
		key := fmt.Sprint("server/", version)
		s.update(func(state *State, now time.Time) Change {
			return state.Apply(now, watchResult(version, entry(key, "x", version)))
		}, false)
	}
	updates.Go(func() { update(1) })
	<-entered
	updates.Go(func() { update(2) })
	for s.Current().Version < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // the second change reaches the observers, if it may
	close(held)
	updates.Wait()
	c.Assert(last, qt.Equals, store.Version(2))
}
