package configuration

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootdrift/coltsfootdrift/config"
	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// watchersPerDomain is the number of instances of a failure domain that watch the
// store. The second one is for the case that the first fails.
const watchersPerDomain = 2

// pollTimeout is the timeout of one long poll of the store, which ends polls itself
// after 30 s.
const pollTimeout = 45 * time.Second

// Watchers selects the members that watch the store, by rendezvous hashing.
func Watchers(live []string) []string {
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b string) int {
		if x, y := watchScore(a), watchScore(b); x != y {
			if x > y {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return ranked[:min(watchersPerDomain, len(ranked))]
}

func watchScore(id string) uint64 { return xxhash.Sum64String("configuration watch\x00" + id) }

func (l *Loader) isWatcher() bool {
	return slices.Contains(Watchers(l.Members.Live()), l.Members.Self())
}

// watchLoop watches the store while this instance is one of the watchers.
func (l *Loader) watchLoop(ctx context.Context) {
	wait := backoff{times: l.Times}
	for ctx.Err() == nil {
		if !l.isWatcher() {
			l.setWatching(ctx, false)
			if !clock.Sleep(ctx, l.Times.CheckInterval) {
				return
			}
			continue
		}
		l.setWatching(ctx, true)
		err := l.watchSession(ctx, &wait)
		if err != nil && ctx.Err() == nil {
			events.WatchFailed.Log(ctx, l.Logger, slog.Any("error", err))
			wait.wait(ctx)
		}
	}
}

func (l *Loader) setWatching(ctx context.Context, watching bool) {
	if l.watching.Swap(watching) == watching {
		return
	}
	event := events.WatchStopped
	if watching {
		event = events.WatchStarted
	}
	event.Log(ctx, l.Logger)
}

// watchSession reads the head and watches it until an error occurs. It returns nil
// when this instance is no longer a watcher.
func (l *Loader) watchSession(ctx context.Context, wait *backoff) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.endWhenReplaced(ctx, cancel)
	head, version, err := l.readHead(ctx)
	if err != nil {
		return l.ignoreIfEnded(ctx, err)
	}
	if head != nil {
		if err := l.loadFromStore(ctx, head); err != nil && !isLowerRevision(err) {
			return l.ignoreIfEnded(ctx, err)
		}
	}
	for {
		result, err := l.poll(ctx, version)
		if err != nil {
			return l.ignoreIfEnded(ctx, wrapUnavailable(err, "watch head"))
		}
		wait.reset()
		version = result.Version
		if err := l.loadChanged(ctx, result.Changed); err != nil {
			return err
		}
	}
}

func (l *Loader) readHead(ctx context.Context) (*config.Head, store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, l.Times.ReadTimeout)
	defer cancel()
	return readHead(ctx, l.Store)
}

// poll waits for one response to a watch (long poll) of the head.
func (l *Loader) poll(ctx context.Context, version store.Version) (store.WatchResult, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return l.Store.Watch(ctx, config.KeyHead, version)
}

// ignoreIfEnded returns nil instead of an error that results from the end of the
// session.
func (l *Loader) ignoreIfEnded(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// endWhenReplaced ends a session when this instance is no longer a watcher.
func (l *Loader) endWhenReplaced(ctx context.Context, cancel context.CancelFunc) {
	for clock.Sleep(ctx, l.Times.CheckInterval) {
		if !l.isWatcher() {
			cancel()
		}
	}
}

// loadChanged loads the head if it is among the changed entries.
func (l *Loader) loadChanged(ctx context.Context, changed []store.Entry) error {
	for _, entry := range changed {
		if entry.Key != config.KeyHead {
			continue
		}
		head, err := config.DecodeHead(entry.Value)
		if err != nil {
			return err
		}
		if err := l.loadFromStore(ctx, head); err != nil && !isLowerRevision(err) {
			return err
		}
	}
	return nil
}

func (l *Loader) loadFromStore(ctx context.Context, head *config.Head) error {
	return l.load(ctx, head, storeSource{l.Store})
}
