package configuration

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/coltsfootdrift/coltsfootdrift/config"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// maxStartPeers is the number of peers that an instance reads from when it starts.
const maxStartPeers = 5

// errNotFound reports that neither the store nor a peer has a configuration.
var errNotFound = errors.New("neither the store nor a peer holds a configuration")

// loadFirst loads the first configuration, with a backoff between attempts. It
// returns false when ctx ended.
func (l *Loader) loadFirst(ctx context.Context) bool {
	wait := backoff{times: l.Times}
	for {
		empty, err := l.loadHighest(ctx)
		if l.Current() != nil {
			return true
		}
		if empty && l.Files != nil && l.loadFiles(ctx) {
			return true
		}
		if err == nil {
			err = errNotFound
		}
		events.ConfigurationUnavailable.Log(ctx, l.Logger, slog.Any("error", err))
		if !wait.wait(ctx) {
			return false
		}
	}
}

// headResult is the result of reading the head of a source.
type headResult struct {
	head *config.Head
	from source
	err  error
}

// loadHighest reads the heads of the store and of some peers, and loads the highest
// revision of which all parts can be read. empty is true when no peer returned a
// configuration, and the store holds none or there is no store.
func (l *Loader) loadHighest(ctx context.Context) (empty bool, err error) {
	results := l.readHeads(ctx, l.startSources())
	empty = true
	slices.SortStableFunc(results, func(a, b headResult) int { return int(revisionOf(b.head) - revisionOf(a.head)) })
	for _, result := range results {
		switch {
		case result.head != nil:
			empty = false
			if err = l.load(ctx, result.head, result.from); err == nil {
				return false, nil
			}
		case result.err != nil && result.from.isStore():
			empty, err = false, result.err
		}
	}
	return empty, err
}

func revisionOf(head *config.Head) int64 {
	if head == nil {
		return 0
	}
	return head.Revision
}

// startSources returns random peers and the store. Of several sources with the same
// revision the first one is read. The store comes last, because reading all parts
// from it takes about 150 calls at the size expected in two years, which is 29 s at
// an instance's share of the store's rate limit.
func (l *Loader) startSources() []source {
	var sources []source
	seeds := slices.Clone(l.Members.Seeds())
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, address := range seeds[:min(maxStartPeers, len(seeds))] {
		sources = append(sources, peerSource{l.Peers, address})
	}
	if l.Store != nil {
		sources = append(sources, storeSource{l.Store})
	}
	return sources
}

// readHeads reads the heads of all sources in parallel.
func (l *Loader) readHeads(ctx context.Context, sources []source) []headResult {
	ctx, cancel := context.WithTimeout(ctx, l.Times.ReadTimeout)
	defer cancel()
	results := make([]headResult, len(sources))
	var all sync.WaitGroup
	for i, from := range sources {
		all.Go(func() {
			head, err := from.head(ctx, nil)
			results[i] = headResult{head, from, err}
		})
	}
	all.Wait()
	return results
}

// loadFiles puts the operators' files of the settings in force, as revision 0.
func (l *Loader) loadFiles(ctx context.Context) bool {
	set, mistakes, err := pipeline.Check(l.Files)
	if err != nil || len(mistakes) > 0 {
		events.ConfigurationRefused.Log(ctx, l.Logger, slog.String("source", "files"), slog.Any("error", err), slog.Any("mistakes", mistakes))
		return false
	}
	l.set.Store(set)
	events.ConfigurationFromFiles.Log(ctx, l.Logger)
	return true
}
