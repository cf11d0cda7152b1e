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

// Peers pulls the configuration from other instances.
type Peers interface {
	// Head returns the encoded change from a revision to the head of a peer, nil
	// when there is none.
	Head(ctx context.Context, address string, have int64) ([]byte, error)
	// Parts returns the first of the parts with the given SHA-256 digests that the
	// peer holds and that fit one answer.
	Parts(ctx context.Context, address string, digests [][]byte) ([][]byte, error)
}

// Members is what the loader needs of membership.
type Members interface {
	// Self returns the ID of this instance.
	Self() string
	// Live returns the IDs of the live members of the failure domain, this instance
	// included.
	Live() []string
	// Seeds returns addresses to ask at the start.
	Seeds() []string
	// HighestRevision returns the highest revision in force that was heard of.
	HighestRevision() int64
	// Holders returns addresses of instances that have at least a revision.
	Holders(revision int64) []string
	// SetRevision reports the revision in force here.
	SetRevision(revision int64, fromStore bool)
}

// Times of the loader.
type Times struct {
	// ReadTimeout bounds one read of the store or of a peer at the start.
	ReadTimeout time.Duration
	// BackoffMin and BackoffMax bound the jittered backoff.
	BackoffMin, BackoffMax time.Duration
	// PullSpread is the time over which the members of a failure domain spread
	// their pulls of a new revision. Members that have it take part in serving it
	// as soon as their next heartbeats tell so.
	PullSpread time.Duration
	// CheckInterval is how often the role of the watcher and gaps are looked at.
	CheckInterval time.Duration
}

// partsTimeout bounds the reading of all parts of a head.
const partsTimeout = 10 * time.Second

// DefaultTimes puts a revision in force well within the 13 s of the design page.
var DefaultTimes = Times{
	ReadTimeout:   2 * time.Second,
	BackoffMin:    100 * time.Millisecond,
	BackoffMax:    5 * time.Second,
	PullSpread:    3 * time.Second,
	CheckInterval: time.Second,
}

// Options of a loader.
type Options struct {
	// Store is nil for an instance without a store.
	Store   store.Store
	Peers   Peers
	Members Members
	// Files is used while the store holds no configuration; nil to wait.
	Files  fs.FS
	Logger *slog.Logger
	Times  Times
}

// Loader keeps the configuration of an instance in force. It implements
// entry.ConfigurationSource and peer.ConfigurationHandler.
type Loader struct {
	Options
	set  atomic.Pointer[pipeline.Set]
	wake chan struct{}
	// loaded is closed when the first configuration is in force.
	loaded chan struct{}
	// watching is true while this instance watches the store.
	watching atomic.Bool

	mu      sync.Mutex
	current config.Current
	// recent holds the last heads that were in force, the newest last. A peer that
	// has one of them gets only the change.
	recent []*config.Head
}

// maxRecent is the number of heads that are kept for changes.
const maxRecent = 10

// NewLoader returns a loader without a configuration.
func NewLoader(options Options) *Loader {
	return &Loader{Options: options, wake: make(chan struct{}, 1), loaded: make(chan struct{})}
}

// Current returns the set in force, nil before the first one.
func (l *Loader) Current() *pipeline.Set { return l.set.Load() }

// Loaded is closed when the first configuration is in force.
func (l *Loader) Loaded() <-chan struct{} { return l.loaded }

// Revision returns the revision in force, 0 for files of the settings or none.
func (l *Loader) Revision() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.Revision()
}

// Watching reports whether this instance watches the store.
func (l *Loader) Watching() bool { return l.watching.Load() }

// Wake reports that a higher revision was heard of. It doesn't block.
func (l *Loader) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// HeadAfter returns the encoded change from a revision to the head in force, nil
// when there is none.
func (l *Loader) HeadAfter(revision int64) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.Revision() <= revision {
		return nil, nil
	}
	var base *config.Head
	for _, head := range l.recent {
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

// headInForce returns nil when there is none.
func (l *Loader) headInForce() *config.Head {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.Head()
}

// Part returns a part in force by its SHA-256.
func (l *Loader) Part(digest []byte) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.Part(config.Digest(hex.EncodeToString(digest)))
}

// load puts a head in force when it is higher than the one in force. The missing
// parts come from the source.
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
	changed, err := l.offer(head, parts)
	if err != nil {
		events.ConfigurationRefused.Log(ctx, l.Logger, slog.String("source", from.String()), slog.Any("error", err))
		return err
	}
	if changed {
		events.ConfigurationInForce.Log(ctx, l.Logger, slog.Int64("revision", head.Revision), slog.String("source", from.String()))
		l.Members.SetRevision(head.Revision, from.fromStore())
	}
	return nil
}

func (l *Loader) offer(head *config.Head, parts config.Parts) (changed bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if changed, err = l.current.Update(head, parts); changed {
		l.recent = append(l.recent, head)
		l.recent = l.recent[max(0, len(l.recent)-maxRecent):]
		l.set.Store(l.current.Set())
	}
	return changed, err
}

// Run loads a configuration and keeps it up to date until the context ends.
func (l *Loader) Run(ctx context.Context) {
	if !l.start(ctx) {
		return
	}
	close(l.loaded)
	var group errgroup.Group
	if l.Store != nil {
		group.Go(func() error { l.watchAll(ctx); return nil })
	}
	group.Go(func() error { l.pullAll(ctx); return nil })
	_ = group.Wait()
}

// backoff grows from BackoffMin to BackoffMax; each wait is jittered, so that
// instances don't return in step after an outage.
type backoff struct {
	times Times
	next  time.Duration
}

func (b *backoff) reset() { b.next = 0 }

// wait returns false when the context ended.
func (b *backoff) wait(ctx context.Context) bool {
	b.next = min(max(2*b.next, b.times.BackoffMin), b.times.BackoffMax)
	return clock.Sleep(ctx, b.next/2+rand.N(b.next/2+1))
}

// stale reports an error that only says that the source is behind.
func stale(err error) bool {
	var lower *config.LowerRevisionError
	return errors.As(err, &lower)
}
