package configuration

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
)

const (
	// pullAttempts is the number of peers that are asked for one revision before a
	// backoff.
	pullAttempts = 3
	// storeAfter is the number of failed rounds of pulls after which the store is
	// read once, with the same backoff.
	storeAfter = 3
)

// pullAll pulls revisions that were heard of. The check repairs gaps that are
// left by lost heartbeats or failed pulls.
func (l *Loader) pullAll(ctx context.Context) {
	ticker := time.NewTicker(l.Times.CheckInterval)
	defer ticker.Stop()
	wait := backoff{times: l.Times}
	failed := 0
	for {
		select {
		case <-l.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !l.behind() {
			failed = 0
			wait.reset()
			continue
		}
		// Watchers get the head from the store; with the spread, the members of a
		// failure domain don't ask the same peer at once.
		if !clock.Sleep(ctx, rand.N(l.Times.PullSpread+1)) {
			return
		}
		if l.behind() && !l.pull(ctx, failed) {
			failed++
			wait.wait(ctx)
		}
	}
}

func (l *Loader) behind() bool { return l.Members.HighestRevision() > l.Revision() }

// pull asks a few instances that have the revision. After storeAfter rounds
// without success, it reads the store.
func (l *Loader) pull(ctx context.Context, failed int) bool {
	for _, from := range l.pullSources(failed) {
		head, err := from.head(ctx, l.headInForce())
		if err == nil && head != nil {
			err = l.load(ctx, head, from)
		}
		if err != nil {
			events.ConfigurationPullFailed.Log(ctx, l.Logger, slog.String("source", from.String()), slog.Any("error", err))
		}
		if !l.behind() {
			return true
		}
	}
	return false
}

func (l *Loader) pullSources(failed int) []source {
	holders := l.Members.Holders(l.Members.HighestRevision())
	rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	var sources []source
	for _, address := range holders[:min(pullAttempts, len(holders))] {
		sources = append(sources, peerSource{l.Peers, address})
	}
	if failed >= storeAfter && l.Store != nil {
		sources = append(sources, storeSource{l.Store})
	}
	return sources
}
