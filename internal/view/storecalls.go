package view

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// watchStore takes a snapshot of the store, unless a view was pulled from a peer, and then
// watches it for changes. It retries failed calls with exponential backoff, and takes a
// new snapshot when a watch can't return the changes.
func (s *Sync) watchStore(ctx context.Context) {
	backoff := initialBackoff
	// unwatchable is the version after which the store can't return the changes; 0 for none. A
	// pull from a peer may lead past it, too.
	var unwatchable store.Version
	for ctx.Err() == nil {
		position := s.Position()
		hasView := position > 0
		if !hasView && s.awaitsPeers(time.Now()) {
			clock.Sleep(ctx, startPollInterval)
			continue
		}
		mayWatch := hasView && position != unwatchable
		if mayWatch && s.reliesOnReader(time.Now()) {
			clock.Sleep(ctx, tickInterval)
			continue
		}
		started := time.Now()
		late := hasView && s.readerIsLate()
		read, err := s.readStore(ctx, mayWatch)
		if err == nil {
			unwatchable, backoff = 0, initialBackoff
			if read == readChanged && late {
				s.takeOver(time.Now())
			}
			s.confirmStoreContact(time.Now())
			clock.Sleep(ctx, s.pauseAfterWatch(read, time.Since(started)))
			continue
		}
		if errors.Is(err, errBecameReader) || errors.Is(err, errSuperseded) {
			continue
		}
		s.ownReadFailed = true
		if cannotBeWatched(err) {
			unwatchable = position
			clock.Sleep(ctx, snapshotPause)
			continue
		}
		s.markUnreachable(ctx, err)
		s.deferRead(time.Now())
		clock.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// cannotBeWatched reports whether an error of a watch means that no watch from its version
// returns the changes, so that all entries have to be listed.
func cannotBeWatched(err error) bool {
	return errors.Is(err, ErrHistoryLost) || errors.Is(err, ErrTooManyChanges)
}

// readResult says what a call to the store returned.
type readResult int

const (
	// readNothing is the result of a watch that waited in vain.
	readNothing readResult = iota
	// readUnchanged is that of a call whose entries did not change the view.
	readUnchanged
	// readChanged is that of a call that changed the view.
	readChanged
)

// pauseAfterWatch returns the pause before the next watch. read is the result of the last
// call, took how long it lasted.
func (s *Sync) pauseAfterWatch(read readResult, took time.Duration) time.Duration {
	switch {
	case !s.mayConfirm():
		return followerPause
	case s.awaitsServers():
		return graceBatchPause
	case read == readChanged:
		return readerBatchPause
	case read == readNothing && took >= minReaderWait:
		return 0
	}
	return max(0, readerInterval-took)
}

func (s *Sync) awaitsServers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.AwaitsServers()
}

// readStore makes one call to the store, a snapshot or a watch.
func (s *Sync) readStore(ctx context.Context, watch bool) (readResult, error) {
	s.metrics.reads.Inc(1)
	if !watch {
		return s.snapshot(ctx)
	}
	after := s.Position()
	t := s.beginTransfer("watch", "")
	outcome := s.watch(ctx, after)
	t.end(ctx, outcome.result.Changed, outcome.err)
	if outcome.err != nil {
		return readNothing, outcome.err
	}
	change := s.updateFromStore(outcome.asOf, func(state *State, now time.Time) Change { return state.Apply(now, outcome.result) })
	if outcome.empty() {
		return readNothing, nil
	}
	return resultOf(change), nil
}

// resultOf returns the result of a call that returned entries.
func resultOf(change Change) readResult {
	if change.Any() {
		return readChanged
	}
	return readUnchanged
}

// watch waits for changes after a version. The watch of an instance that doesn't read for
// others is long, and is interrupted when the instance becomes a reader.
func (s *Sync) watch(ctx context.Context, after store.Version) watchOutcome {
	if s.mayConfirm() {
		return s.hedgedWatch(ctx, after)
	}
	interruptible, interrupt := context.WithCancelCause(ctx)
	s.setInterruptWatch(interrupt)
	defer s.setInterruptWatch(nil)
	defer interrupt(nil)
	outcome := s.callWatch(interruptible, after, followerWatchTimeout, CallOptions{NewConnection: true})
	if outcome.err != nil && errors.Is(context.Cause(interruptible), errBecameReader) {
		outcome.err = errBecameReader
	}
	return outcome
}

const (
	// hedgeDelay is how long after the end of its wait a watch may go without an answer
	// before the store is called on a new connection, too.
	hedgeDelay = 250 * time.Millisecond
	// hedgeInterval is the least time between two such calls.
	hedgeInterval = time.Second
	// hedgeWait is how long the second call waits for changes.
	hedgeWait = 50 * time.Millisecond
)

// watchOutcome is the outcome of one call.
type watchOutcome struct {
	result store.WatchResult
	// asOf is a time at which the store had nothing newer than the result.
	asOf time.Time
	err  error
}

// callWatch calls the store, which waits for changes at most a time. The store answers at once
// when there are changes, so an answer without any was made at the end of the wait; another
// one may have been made right after the call.
func (s *Sync) callWatch(ctx context.Context, after store.Version, wait time.Duration, options CallOptions) watchOutcome {
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	asOf := time.Now()
	result, err := s.source.Watch(bounded, "", after, options)
	outcome := watchOutcome{result, asOf, err}
	if outcome.empty() {
		outcome.asOf = earliest(asOf.Add(wait), time.Now())
	}
	return outcome
}

// empty reports whether there were no changes.
func (o watchOutcome) empty() bool { return len(o.result.Changed)+len(o.result.Deleted) == 0 }

// readerWait returns how long a watch that begins now waits for changes. An answer with
// changes proves only that the store had nothing newer when its watch began, so the watch
// after it is shorter: the state that this instance knows is never older than
// maxReaderStateAge while the store answers at once.
func (s *Sync) readerWait(now time.Time) time.Duration {
	s.mu.Lock()
	left := s.stateAsOf.Add(maxReaderStateAge).Sub(now)
	s.mu.Unlock()
	return min(readerWatchTimeout, max(minReaderWait, left))
}

// connectionIsOld reports whether the connection to the store was not used for so long that it
// may have become silent since.
func (s *Sync) connectionIsOld(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastReached) > readerInterval+hedgeDelay
}

// hedgedWatch watches the store for up to readerWatchTimeout. When no answer begins in time, it
// also calls the store on a new connection, because the one that was kept may be silent, and
// returns the first answer.
func (s *Sync) hedgedWatch(ctx context.Context, after store.Version) watchOutcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answering := s.observeAnswer(cancel)
	defer answering.end()
	outcomes := make(chan watchOutcome, 2)
	call := func(wait time.Duration, newConnection bool) {
		outcomes <- s.callWatch(ctx, after, wait, CallOptions{NewConnection: newConnection, OnData: answering.record})
	}
	wait := s.readerWait(time.Now())
	go call(wait, s.connectionIsOld(time.Now()))
	hedge := time.NewTimer(wait + hedgeDelay)
	defer hedge.Stop()
	for calls := 1; ; {
		select {
		case <-hedge.C:
			if !answering.hasBegun() && time.Since(s.lastHedge) >= hedgeInterval {
				s.lastHedge = time.Now()
				s.metrics.hedges.Inc(1)
				calls++
				go call(hedgeWait, true)
			}
		case outcome := <-outcomes:
			calls--
			if outcome.err != nil && errors.Is(context.Cause(ctx), errSuperseded) {
				return watchOutcome{err: errSuperseded}
			}
			if outcome.err == nil || cannotBeWatched(outcome.err) || calls == 0 {
				return outcome
			}
		}
	}
}

func (s *Sync) setInterruptWatch(interrupt context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interruptWatch = interrupt
}

// interruptFollowerWatch interrupts the long watch of an instance that has become a
// reader, because the store may return nothing to waiting watches for a while.
func (s *Sync) interruptFollowerWatch() {
	if !s.mayConfirm() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interruptWatch != nil {
		s.interruptWatch(errBecameReader)
	}
}

// mayPullInstead reports whether this instance lists all entries although it may pull the
// view from its peers.
func (s *Sync) mayPullInstead(now time.Time) bool {
	return !s.hasView() && !s.readsForRegion() && now.Before(s.firstReadAt)
}

func (s *Sync) snapshot(ctx context.Context) (readResult, error) {
	if s.mayPullInstead(time.Now()) {
		bounded, cancel := context.WithTimeout(ctx, ownReadTimeout)
		defer cancel()
		ctx = bounded
	}
	// A snapshot after a loss of history must be newer than the view.
	stale := s.staleStart && !s.hasView()
	t, asOf := s.beginTransfer("list", ""), time.Now()
	if stale {
		asOf = time.Time{} // how old its answer is is not known
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answering := s.observeAnswer(cancel)
	entries, version, err := s.source.Snapshot(callCtx, stale, CallOptions{NewConnection: s.ownReadFailed, OnData: answering.record})
	answering.end()
	if err != nil && errors.Is(context.Cause(callCtx), errSuperseded) {
		err = errSuperseded
	}
	t.end(ctx, entries, err)
	if err != nil {
		return readNothing, err
	}
	change := s.updateFromStore(asOf, func(state *State, now time.Time) Change { return state.Replace(now, entries, version) })
	return resultOf(change), nil
}
