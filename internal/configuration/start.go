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

// startPeers is the number of peers that an instance asks when it starts.
const startPeers = 5

// errNoConfiguration reports that neither the store nor a peer has a configuration.
var errNoConfiguration = errors.New("neither the store nor a peer holds a configuration")

// start loads the first configuration. It returns false when the context ended.
func (l *Loader) start(ctx context.Context) bool {
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
			err = errNoConfiguration
		}
		events.ConfigurationUnavailable.Log(ctx, l.Logger, slog.Any("error", err))
		if !wait.wait(ctx) {
			return false
		}
	}
}

// offered is a head with its source.
type offered struct {
	head *config.Head
	from source
	err  error
}

// loadHighest asks the store and some peers and loads the highest revision of
// which all parts can be had. empty is true when the store answered that it holds
// no configuration, or there is no store, and no peer has one.
func (l *Loader) loadHighest(ctx context.Context) (empty bool, err error) {
	answers := l.ask(ctx, l.sources())
	empty = true
	slices.SortStableFunc(answers, func(a, b offered) int { return int(revisionOf(b.head) - revisionOf(a.head)) })
	for _, answer := range answers {
		switch {
		case answer.head != nil:
			empty = false
			if err = l.load(ctx, answer.head, answer.from); err == nil {
				return false, nil
			}
		case answer.err != nil && answer.from.fromStore():
			empty, err = false, answer.err
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

// sources returns random peers and the store. Of sources with the same revision
// the first is read, and the store comes last: reading the parts takes about 150
// calls at the size of two years, 29 s at an instance's share of the store's rate.
func (l *Loader) sources() []source {
	var sources []source
	seeds := slices.Clone(l.Members.Seeds())
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, address := range seeds[:min(startPeers, len(seeds))] {
		sources = append(sources, peerSource{l.Peers, address})
	}
	if l.Store != nil {
		sources = append(sources, storeSource{l.Store})
	}
	return sources
}

// ask reads all sources at once and waits for all answers.
func (l *Loader) ask(ctx context.Context, sources []source) []offered {
	ctx, cancel := context.WithTimeout(ctx, l.Times.ReadTimeout)
	defer cancel()
	answers := make([]offered, len(sources))
	var all sync.WaitGroup
	for i, from := range sources {
		all.Go(func() {
			head, err := from.head(ctx, nil)
			answers[i] = offered{head, from, err}
		})
	}
	all.Wait()
	return answers
}

// loadFiles puts the pipeline files of the settings in force, as revision 0.
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
