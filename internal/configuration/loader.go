package configuration

import (
	"context"
	"encoding/hex"
	"errors"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootdrift/coltsfootdrift/config"
	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Peers reads the configuration of other instances.
type Peers interface {
	// Head returns the encoded change from the revision in force here to the head of
	// the peer at address; nil when the peer has no higher revision.
	Head(ctx context.Context, address string, inForce int64) ([]byte, error)
	// Parts returns the parts with the given SHA-256 digests, in their order. It may
	// return only the first of them, when the others are missing at the peer or don't
	// fit one response.
	Parts(ctx context.Context, address string, digests [][]byte) ([][]byte, error)
}

// Members is the membership service that the loader uses.
type Members interface {
	// Self returns the ID of this instance.
	Self() string
	// Live returns the IDs of the live members of the failure domain, this instance
	// included.
	Live() []string
	// Seeds returns the peer addresses from which to load the first configuration.
	Seeds() []string
	// HighestRevision returns the highest revision that any instance reported as in
	// force.
	HighestRevision() int64
	// AddressesWithRevision returns the addresses of instances that reported at least
	// this revision.
	AddressesWithRevision(revision int64) []string
	// SetRevision publishes the revision in force here to other instances. fromStore
	// is true when it was read from the store.
	SetRevision(revision int64, fromStore bool)
}

// Times holds the timeouts and intervals of a loader.
type Times struct {
	// ReadTimeout limits one read of the store, or of a peer at the start.
	ReadTimeout time.Duration
	// BackoffMin and BackoffMax limit the exponential backoff.
	BackoffMin, BackoffMax time.Duration
	// PullSpread is the maximum random delay of a pull, so that the members of a
	// failure domain don't pull a new revision at once. Members that have it serve it
	// to others as soon as their next heartbeat reports it.
	PullSpread time.Duration
	// CheckInterval is the interval at which an instance checks whether it is a
	// watcher and whether its revision is behind.
	CheckInterval time.Duration
}

// partsTimeout limits the time to read all parts of a head.
const partsTimeout = 10 * time.Second

// DefaultTimes are short enough for a revision to be in force on all instances well
// within the 13 s that the design page allows.
var DefaultTimes = Times{
	ReadTimeout:   2 * time.Second,
	BackoffMin:    100 * time.Millisecond,
	BackoffMax:    5 * time.Second,
	PullSpread:    3 * time.Second,
	CheckInterval: time.Second,
}

// Options holds the dependencies of a loader.
type Options struct {
	// Store is nil for an instance without a store.
	Store   store.Store
	Peers   Peers
	Members Members
	// Files holds the operators' files to use while the store has no configuration;
	// if nil, the loader waits for a configuration.
	Files  fs.FS
	Logger *slog.Logger
	Times  Times
}

// Loader loads the configuration of an instance from the store and from peers, and
// keeps it up to date. It implements entry.ConfigurationSource and
// peer.ConfigurationHandler.
type Loader struct {
	Options
	set  atomic.Pointer[pipeline.Set]
	wake chan struct{}
	// loaded is closed when the first configuration is in force.
	loaded chan struct{}
	// watching is true while this instance watches the store for changes.
	watching atomic.Bool

	mu      sync.Mutex
	current config.Current
	// recentHeads holds the last heads that were in force, oldest first. A peer that
	// has one of them is sent only the change.
	recentHeads []*config.Head
}

// maxRecentHeads is the number of heads from which changes can be computed.
const maxRecentHeads = 10

// NewLoader returns a loader without a configuration.
func NewLoader(options Options) *Loader {
	return &Loader{Options: options, wake: make(chan struct{}, 1), loaded: make(chan struct{})}
}

// Current returns the set in force, nil before the first one.
func (l *Loader) Current() *pipeline.Set { return l.set.Load() }

// Loaded is closed when the first configuration is in force.
func (l *Loader) Loaded() <-chan struct{} { return l.loaded }

// Revision returns the revision in force; 0 when there is none, or when the
// configuration was read from the files of the settings.
func (l *Loader) Revision() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.Revision()
}

// Watching reports whether this instance watches the store for changes.
func (l *Loader) Watching() bool { return l.watching.Load() }

// Wake makes the loader pull at once if a peer reported a higher revision, without
// waiting for the next check. It doesn't block.
func (l *Loader) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// HeadAfter returns the encoded change from the given revision to the head in
// force; nil when the revision in force is not higher. If the given revision is not
// a recent one, the change contains the whole head.
func (l *Loader) HeadAfter(revision int64) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.Revision() <= revision {
		return nil, nil
	}
	var base *config.Head
	for _, head := range l.recentHeads {
		if head.Revision == revision {
			base = head
		}
	}
	change, err := l.current.Head().ChangeSince(base)
	if err != nil {
		return nil, err
	}
	return config.EncodeChange(change)
}

// headInForce returns the head in force, nil when there is none.
func (l *Loader) headInForce() *config.Head {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.Head()
}

// Part returns the part in force with the given SHA-256 digest.
func (l *Loader) Part(digest []byte) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.Part(config.Digest(hex.EncodeToString(digest)))
}

// load puts a head in force if its revision is higher than the one in force. It
// reads the missing parts from the given source.
func (l *Loader) load(ctx context.Context, head *config.Head, from source) error {
	head = head.WithoutAudit()
	l.mu.Lock()
	missing, inForce := l.current.Missing(head), l.current.Revision()
	l.mu.Unlock()
	var parts config.Parts
	if head.Revision > inForce {
		var err error
		ctx, cancel := context.WithTimeout(ctx, partsTimeout)
		defer cancel()
		if parts, err = from.parts(ctx, missing); err != nil {
			return err
		}
	}
	changed, err := l.update(head, parts)
	if err != nil {
		events.ConfigurationRefused.Log(ctx, l.Logger, slog.String("source", from.String()), slog.Any("error", err))
		return err
	}
	if changed {
		events.ConfigurationInForce.Log(ctx, l.Logger, slog.Int64("revision", head.Revision), slog.String("source", from.String()))
		l.Members.SetRevision(head.Revision, from.isStore())
	}
	return nil
}

// update puts a head in force and keeps it in recentHeads.
func (l *Loader) update(head *config.Head, parts config.Parts) (changed bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if changed, err = l.current.Update(head, parts); changed {
		l.recentHeads = append(l.recentHeads, head)
		l.recentHeads = l.recentHeads[max(0, len(l.recentHeads)-maxRecentHeads):]
		l.set.Store(l.current.Set())
	}
	return changed, err
}

// Run loads the first configuration and then keeps it up to date until ctx ends.
func (l *Loader) Run(ctx context.Context) {
	if !l.loadFirst(ctx) {
		return
	}
	close(l.loaded)
	var group errgroup.Group
	if l.Store != nil {
		group.Go(func() error { l.watchLoop(ctx); return nil })
	}
	group.Go(func() error { l.pullLoop(ctx); return nil })
	_ = group.Wait()
}

// backoff waits for exponentially growing times from BackoffMin to BackoffMax. Each
// wait is jittered, so that instances don't all retry at once after an outage.
type backoff struct {
	times Times
	next  time.Duration
}

func (b *backoff) reset() { b.next = 0 }

// wait sleeps for the next backoff time. It returns false when ctx ended.
func (b *backoff) wait(ctx context.Context) bool {
	b.next = min(max(2*b.next, b.times.BackoffMin), b.times.BackoffMax)
	return clock.Sleep(ctx, b.next/2+rand.N(b.next/2+1))
}

// isLowerRevision reports whether the error says that the source has a lower
// revision than the one in force.
func isLowerRevision(err error) bool {
	var lower *config.LowerRevisionError
	return errors.As(err, &lower)
}
