package claims

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/claim"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// WriteInterval is the least time between two writes of a busy shard: 10 writes/s.
const WriteInterval = 100 * time.Millisecond

// Bounds on settling one batch.
const (
	settleTimeout  = 5 * time.Second
	settleAttempts = 16
)

// Pacing of a shard to which several instances append. Each step doubles the time
// between two writes. Without disagreement every write is the only one, and with it
// each write costs a conflict, so that the steps rise until the sum of all
// instances is that of a few writes/s.
const (
	conflictSteps = 3
	successSteps  = 1
	maxPaceStep   = 5 // 3.2 s between two writes
)

// Intervals of housekeeping.
const (
	// cleanInterval bounds the writes that delete expired segments: 1/s per shard.
	cleanInterval = time.Second
	// purgeInterval is how often expired keys are dropped from memory.
	purgeInterval = time.Minute
)

// Appender batches the appends of one shard: one write is in flight at a time.
type Appender struct {
	chain    *chain
	interval time.Duration
	counters counters

	mu      sync.Mutex
	queue   []*pending
	running bool
	// The rest is used by the running goroutine only.
	lastWrite time.Time
	// paceStep is the number of times that the interval is doubled.
	paceStep  int
	lastClean time.Time
	lastPurge time.Time
}

type counters struct {
	ops, conflicts, lost tally.Counter
}

func newCounters(scope tally.Scope) counters {
	return counters{
		ops:       scope.Counter("claim_operations"),
		conflicts: scope.Counter("claim_conflicts"),
		lost:      scope.Counter("claim_lost_answers"),
	}
}

// pending is an operation that waits for its decision.
type pending struct {
	op     claim.Op
	direct bool
	result chan result
}

type result struct {
	decision claim.Decision
	err      error
}

func newAppender(chain *chain, interval time.Duration, counters counters) *Appender {
	return &Appender{chain: chain, interval: interval, counters: counters}
}

// Append waits for the decision on an operation. direct is true when another
// instance is the shard's appender. When ctx ends first the error is
// ErrNotAppended if the operation was still queued, and ErrUnresolved otherwise.
func (a *Appender) Append(ctx context.Context, op claim.Op, direct bool) (claim.Decision, error) {
	p := &pending{op: op, direct: direct, result: make(chan result, 1)}
	a.enqueue(p)
	select {
	case r := <-p.result:
		return r.decision, r.err
	case <-ctx.Done():
	}
	if a.dequeue(p) {
		return claim.Decision{}, fmt.Errorf("%w: %w", ErrNotAppended, ctx.Err())
	}
	return claim.Decision{}, fmt.Errorf("%w: %w", ErrUnresolved, ctx.Err())
}

func (a *Appender) enqueue(p *pending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = append(a.queue, p)
	if !a.running {
		a.running = true
		go a.run()
	}
}

func (a *Appender) dequeue(p *pending) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.queue, p)
	if i < 0 {
		return false
	}
	a.queue = slices.Delete(a.queue, i, i+1)
	return true
}

// run writes batches until the queue is empty.
func (a *Appender) run() {
	for {
		if wait := a.pause() - a.chain.boot().Sub(a.lastWrite); wait > 0 {
			time.Sleep(wait)
		}
		batch := a.take()
		if batch == nil {
			return
		}
		a.serve(batch)
	}
}

// pause is the least time between two batches. Part of it is random, so that
// appenders that disagree don't write in step.
func (a *Appender) pause() time.Duration {
	if a.paceStep == 0 {
		return a.interval
	}
	paced := a.interval << a.paceStep
	return paced/2 + rand.N(paced+1)
}

// pace slows a shard down after a conflict and lets it recover after a batch
// without any.
func (a *Appender) pace(conflict bool) {
	if conflict {
		a.paceStep = min(a.paceStep+conflictSteps, maxPaceStep)
		return
	}
	a.paceStep = max(a.paceStep-successSteps, 0)
}

// take empties the queue, or ends the run when there is nothing in it.
func (a *Appender) take() []*pending {
	a.mu.Lock()
	defer a.mu.Unlock()
	batch := a.queue
	a.queue = nil
	a.running = len(batch) > 0
	return batch
}

// serve settles a batch, in several writes if it is too large for one.
func (a *Appender) serve(batch []*pending) {
	direct := !slices.ContainsFunc(batch, func(p *pending) bool { return !p.direct })
	ctx, cancel := context.WithTimeout(appendContext(context.Background(), direct), settleTimeout)
	defer cancel()
	for len(batch) > 0 {
		decisions, err := a.settle(ctx, batch)
		if err != nil {
			deliver(batch, result{err: err})
			return
		}
		for i, decision := range decisions {
			deliver(batch[i:i+1], result{decision: decision})
		}
		a.counters.ops.Inc(int64(len(decisions)))
		batch = batch[len(decisions):]
	}
	if !direct {
		a.housekeep(ctx)
	}
}

func deliver(batch []*pending, r result) {
	for _, p := range batch {
		p.result <- r
	}
}

// settle appends until the store has answered: a lost answer is settled by
// reading the chain, where the token shows whether the write took effect, and a
// conflict by deciding again on what the winner wrote.
func (a *Appender) settle(ctx context.Context, batch []*pending) ([]claim.Decision, error) {
	ops := make([]claim.Op, len(batch))
	for i, p := range batch {
		ops[i] = p.op
	}
	sent, conflict := false, false
	for attempt := range settleAttempts {
		if attempt > 1 {
			time.Sleep(a.pause() / 2)
		}
		decisions, err := a.attempt(ctx, ops)
		var lost *store.ConflictError
		switch {
		case err == nil:
			if !conflict {
				a.pace(false)
			}
			return decisions, nil
		case errors.As(err, &lost):
			conflict = true
			a.counters.conflicts.Inc(1)
			a.pace(true)
		case errors.Is(err, errLate), errors.Is(err, store.ErrUnknownOutcome):
			sent = true
			a.counters.lost.Inc(1)
		case errors.Is(err, errChanged), errors.Is(err, claim.ErrGap):
		default:
			return nil, unsettled(sent, err)
		}
	}
	return nil, unsettled(sent, errors.New("too many conflicts"))
}

// unsettled returns the error of a batch without a decision.
func unsettled(sent bool, err error) error {
	if sent {
		return fmt.Errorf("%w: %w", ErrUnresolved, err)
	}
	return fmt.Errorf("%w: %w", ErrNotAppended, err)
}

func (a *Appender) attempt(ctx context.Context, ops []claim.Op) ([]claim.Decision, error) {
	if !a.chain.fresh() {
		if err := a.chain.refresh(ctx); err != nil {
			return nil, err
		}
	}
	a.lastWrite = a.chain.boot()
	return a.chain.append(ctx, ops)
}

// housekeep drops what has expired. A failure is repeated after the next batch.
func (a *Appender) housekeep(ctx context.Context) {
	now := a.chain.boot()
	if now.Sub(a.lastClean) > cleanInterval {
		a.lastClean = now
		_ = a.chain.clean(ctx)
	}
	if now.Sub(a.lastPurge) > purgeInterval {
		a.lastPurge = now
		a.chain.state.PurgeExpired(a.chain.wall())
	}
}
