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
	// maxPeersPerPull is the number of peers that one pull tries before it fails and
	// the backoff starts.
	maxPeersPerPull = 3
	// failedPullsBeforeStore is the number of consecutive failed pulls after which
	// each further pull also reads the store.
	failedPullsBeforeStore = 3
)

// pullLoop pulls revisions that peers reported. The periodic check also finds those
// that were missed because of lost heartbeats or failed pulls.
func (l *Loader) pullLoop(ctx context.Context) {
	ticker := time.NewTicker(l.Times.CheckInterval)
	defer ticker.Stop()
	wait := backoff{times: l.Times}
	failedPulls := 0
	for {
		select {
		case <-l.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !l.behind() {
			failedPulls = 0
			wait.reset()
			continue
		}
		// Watchers read the head from the store. The random delay keeps the other
		// members of a failure domain from pulling from the same peer at once.
		if !clock.Sleep(ctx, rand.N(l.Times.PullSpread+1)) {
			return
		}
		if l.behind() && !l.pull(ctx, failedPulls) {
			failedPulls++
			wait.wait(ctx)
		}
	}
}

// behind reports whether a peer reported a higher revision than the one in force.
func (l *Loader) behind() bool { return l.Members.HighestRevision() > l.Revision() }

// pull reads the highest reported revision from a few instances that have it, and
// after failedPullsBeforeStore failed pulls also from the store. It returns true
// when the revision in force is no longer behind.
func (l *Loader) pull(ctx context.Context, failedPulls int) bool {
	for _, from := range l.pullSources(failedPulls) {
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

// pullSources returns the sources of one pull, in the order in which to try them.
func (l *Loader) pullSources(failedPulls int) []source {
	addresses := l.Members.AddressesWithRevision(l.Members.HighestRevision())
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var sources []source
	for _, address := range addresses[:min(maxPeersPerPull, len(addresses))] {
		sources = append(sources, peerSource{l.Peers, address})
	}
	if failedPulls >= failedPullsBeforeStore && l.Store != nil {
		sources = append(sources, storeSource{l.Store})
	}
	return sources
}
