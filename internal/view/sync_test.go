package view

import (
	"context"
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

// fakeSource is a store whose calls hang, fail or answer.
type fakeSource struct {
	mu       sync.Mutex
	snapshot []store.Entry
	version  store.Version
	err      error
	watch    func(ctx context.Context) (store.WatchResult, error)
}

func (f *fakeSource) Snapshot(context.Context) ([]store.Entry, store.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot, f.version, f.err
}

func (f *fakeSource) Watch(ctx context.Context, _ string, _ store.Version) (store.WatchResult, error) {
	return f.watch(ctx)
}

func hang(ctx context.Context) (store.WatchResult, error) {
	<-ctx.Done()
	return store.WatchResult{}, ctx.Err()
}

// fakePeers have one state of the store.
type fakePeers struct {
	entries   []store.Entry
	version   store.Version
	announced chan store.Version
	reader    bool
	// becomes makes this instance a reader.
	becomes atomic.Bool
}

func (f *fakePeers) IsReader() bool { return f.reader || f.becomes.Load() }

func (f *fakePeers) Pull(context.Context, string, store.Version) (store.Changes, error) {
	return store.Changes{WatchResult: changed(f.version, f.entries...)}, nil
}

func (f *fakePeers) Announce(version store.Version, _ bool) { f.announced <- version }

func startSync(c *qt.C, source Source, peers *fakePeers) *Sync {
	peers.announced = make(chan store.Version, 10)
	s := NewSync(source, peers, fakeDecoder{}, slog.New(slog.NewJSONHandler(io.Discard, nil)), tally.NoopScope)
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
	return s
}

// Guards against an instance whose watch hangs, so that it keeps an old
// configuration although a peer has a newer one.
func TestVersionThatPeersAnnounceIsPulled(t *testing.T) {
	c := qt.New(t)
	source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 1, watch: hang}
	peers := &fakePeers{entries: []store.Entry{entry("config", "2", 5)}, version: 5}
	s := startSync(c, source, peers)
	c.Assert(<-peers.announced, qt.Equals, store.Version(1))
	s.RecordAnnouncement(5, "peer")
	c.Assert(<-peers.announced, qt.Equals, store.Version(5))
	c.Assert(s.Current().Table.Version, qt.Equals, int64(2))
}

// Guards against an instance that starts while the store is down and never learns
// a configuration.
func TestStartWithoutTheStoreAsksPeers(t *testing.T) {
	c := qt.New(t)
	source := &fakeSource{err: store.ErrUnavailable, watch: hang}
	peers := &fakePeers{entries: []store.Entry{entry("config", "3", 9)}, version: 9}
	s := startSync(c, source, peers)
	c.Assert(<-peers.announced, qt.Equals, store.Version(9))
	c.Assert(s.Current().Table.Version, qt.Equals, int64(3))
}

// Guards against a watch that goes on from a version whose changes the store has
// dropped.
func TestLostHistoryIsReadAnew(t *testing.T) {
	c := qt.New(t)
	source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 1}
	lost := make(chan struct{}, 1)
	lost <- struct{}{}
	source.watch = func(ctx context.Context) (store.WatchResult, error) {
		select {
		case <-lost:
			source.mu.Lock()
			source.snapshot, source.version = []store.Entry{entry("config", "4", 30)}, 30
			source.mu.Unlock()
			return store.WatchResult{}, ErrHistoryLost
		default:
			return hang(ctx)
		}
	}
	peers := &fakePeers{}
	s := startSync(c, source, peers)
	c.Assert(<-peers.announced, qt.Equals, store.Version(1))
	c.Assert(<-peers.announced, qt.Equals, store.Version(30))
	c.Assert(s.Current().Table.Version, qt.Equals, int64(4))
}

// Guards against a view that an instance hands to a peer which already has it.
func TestEntriesAreServedToPeersThatHaveLess(t *testing.T) {
	c := qt.New(t)
	source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 8, watch: hang}
	peers := &fakePeers{}
	s := startSync(c, source, peers)
	<-peers.announced
	changes := s.ChangesAfter(7)
	c.Assert(changes.Version, qt.Equals, store.Version(8))
	c.Assert(changes.Changed, qt.HasLen, 1)
	c.Assert(s.ChangesAfter(8).Version, qt.Equals, store.Version(0))
}

// Guards against a watch that hears nothing while the store drops its history, so
// that a new configuration is noticed only when a long wait ends.
func TestReadersLookOften(t *testing.T) {
	c := qt.New(t)
	for _, reader := range []bool{true, false} {
		waits := make(chan time.Duration, 1)
		source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 1}
		source.watch = func(ctx context.Context) (store.WatchResult, error) {
			deadline, _ := ctx.Deadline()
			select {
			case waits <- time.Until(deadline):
			default:
			}
			return hang(ctx)
		}
		startSync(c, source, &fakePeers{reader: reader})
		c.Assert(<-waits <= readerWait, qt.Equals, reader)
	}
}

// Guards against an instance that becomes a reader while its watch waits long: two
// readers that had just started heard of a configuration 5 s late, because the store
// told waiting watches nothing.
func TestNewReadersDoNotFinishALongWatch(t *testing.T) {
	c := qt.New(t)
	waits := make(chan time.Duration, 10)
	source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 1}
	source.watch = func(ctx context.Context) (store.WatchResult, error) {
		deadline, _ := ctx.Deadline()
		waits <- time.Until(deadline)
		return hang(ctx)
	}
	peers := &fakePeers{}
	s := startSync(c, source, peers)
	c.Assert(<-waits > readerWait, qt.IsTrue)
	peers.becomes.Store(true)
	c.Assert(<-waits <= readerWait, qt.IsTrue)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Assert(s.reachable, qt.IsTrue)
}

// Guards against log lines that grow with the deployment.
func TestLinesNameFewServers(t *testing.T) {
	c := qt.New(t)
	ids := make([]string, loggedServers+1)
	c.Assert(serversAttr("joined", ids).Value.Any(), qt.Equals, any(int64(loggedServers+1)))
	c.Assert(serversAttr("joined", ids[1:]).Value.Any(), qt.DeepEquals, any(ids[1:]))
}
