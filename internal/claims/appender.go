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

// WriteInterval is the minimum time between two writes to a shard: at most 10
// writes/s.
const WriteInterval = 100 * time.Millisecond

// Limits on appending one batch.
const (
	batchTimeout     = 5 * time.Second
	maxBatchAttempts = 16
)

// Backoff of an appender whose writes conflict with those of other instances. Each
// step doubles the time between two writes. Normally the instances agree on the
// appender of a shard and no write conflicts. If they disagree, writes conflict, and
// the steps rise until all instances together make only a few writes/s.
const (
	conflictBackoffSteps = 3
	successBackoffSteps  = 1
	maxBackoffStep       = 5 // 3.2 s between two writes, on average
)

// Intervals at which expired data is removed.
const (
	// segmentDeletionInterval limits the deletions of expired segments to 1/s per
	// shard.
	segmentDeletionInterval = time.Second
	// purgeInterval is the time between two removals of expired claims from memory.
	purgeInterval = time.Minute
)

// Appender appends operations to one shard in batches, with at most one write in
// flight.
type Appender struct {
	chain    *chain
	interval time.Duration
	counters counters

	mu      sync.Mutex
	queue   []*pending
	running bool
	// The fields below are used only by the goroutine of run.
	lastWrite time.Time
	// backoffStep is the number of times that interval is doubled.
	backoffStep  int
	lastDeletion time.Time
	lastPurge    time.Time
}

type counters struct {
	ops, conflicts, lostResponses tally.Counter
}

func newCounters(scope tally.Scope) counters {
	return counters{
		ops:           scope.Counter("claim_operations"),
		conflicts:     scope.Counter("claim_conflicts"),
		lostResponses: scope.Counter("claim_lost_answers"),
	}
}

// pending is an operation without a decision yet.
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

// Append queues an operation and waits for the decision on it. direct is true if
// another instance is the shard's appender. If ctx ends first, the error is
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

// run appends batches until the queue is empty.
func (a *Appender) run() {
	for {
		if wait := a.batchInterval() - a.chain.bootTime().Sub(a.lastWrite); wait > 0 {
			time.Sleep(wait)
		}
		batch := a.takeBatch()
		if batch == nil {
			return
		}
		a.processBatch(batch)
	}
}

// batchInterval returns the minimum time between two batches. With backoff, part
// of it is random, so that conflicting appenders don't write at the same times.
func (a *Appender) batchInterval() time.Duration {
	if a.backoffStep == 0 {
		return a.interval
	}
	backoff := a.interval << a.backoffStep
	return backoff/2 + rand.N(backoff+1)
}

// adjustBackoff increases the backoff after a conflict and decreases it after a
// batch without one.
func (a *Appender) adjustBackoff(conflict bool) {
	if conflict {
		a.backoffStep = min(a.backoffStep+conflictBackoffSteps, maxBackoffStep)
		return
	}
	a.backoffStep = max(a.backoffStep-successBackoffSteps, 0)
}

// takeBatch removes all operations from the queue and returns them. It returns nil
// and marks run as ended if the queue is empty.
func (a *Appender) takeBatch() []*pending {
	a.mu.Lock()
	defer a.mu.Unlock()
	batch := a.queue
	a.queue = nil
	a.running = len(batch) > 0
	return batch
}

// processBatch appends a batch, in several writes if it is too large for one.
func (a *Appender) processBatch(batch []*pending) {
	direct := !slices.ContainsFunc(batch, func(p *pending) bool { return !p.direct })
	ctx, cancel := context.WithTimeout(storeContext(context.Background(), direct), batchTimeout)
	defer cancel()
	for len(batch) > 0 {
		decisions, err := a.appendBatch(ctx, batch)
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
		a.removeExpired(ctx)
	}
}

func deliver(batch []*pending, r result) {
	for _, p := range batch {
		p.result <- r
	}
}

// appendBatch retries an append until its outcome is known. After a lost response
// it reads the chain, where the token shows whether the write took effect. After a
// conflict it reads what the other instance wrote and decides again.
func (a *Appender) appendBatch(ctx context.Context, batch []*pending) ([]claim.Decision, error) {
	ops := make([]claim.Op, len(batch))
	for i, p := range batch {
		ops[i] = p.op
	}
	mayBeWritten, conflicted := false, false
	for attempt := range maxBatchAttempts {
		if attempt > 1 {
			time.Sleep(a.batchInterval() / 2)
		}
		decisions, err := a.tryAppend(ctx, ops)
		var conflictErr *store.ConflictError
		switch {
		case err == nil:
			if !conflicted {
				a.adjustBackoff(false)
			}
			return decisions, nil
		case errors.As(err, &conflictErr):
			conflicted = true
			a.counters.conflicts.Inc(1)
			a.adjustBackoff(true)
		case errors.Is(err, errLateWrite), errors.Is(err, store.ErrUnknownOutcome):
			mayBeWritten = true
			a.counters.lostResponses.Inc(1)
		case errors.Is(err, errTailChanged), errors.Is(err, claim.ErrGap):
		default:
			return nil, batchError(mayBeWritten, err)
		}
	}
	return nil, batchError(mayBeWritten, errors.New("too many conflicts"))
}

// batchError returns the error of a batch without a decision.
func batchError(mayBeWritten bool, err error) error {
	if mayBeWritten {
		return fmt.Errorf("%w: %w", ErrUnresolved, err)
	}
	return fmt.Errorf("%w: %w", ErrNotAppended, err)
}

func (a *Appender) tryAppend(ctx context.Context, ops []claim.Op) ([]claim.Decision, error) {
	if !a.chain.fresh() {
		if err := a.chain.refresh(ctx); err != nil {
			return nil, err
		}
	}
	a.lastWrite = a.chain.bootTime()
	return a.chain.append(ctx, ops)
}

// removeExpired deletes expired segments and removes expired claims from memory. A
// deletion that fails is repeated after a later batch.
func (a *Appender) removeExpired(ctx context.Context) {
	now := a.chain.bootTime()
	if now.Sub(a.lastDeletion) > segmentDeletionInterval {
		a.lastDeletion = now
		_ = a.chain.deleteExpiredSegment(ctx)
	}
	if now.Sub(a.lastPurge) > purgeInterval {
		a.lastPurge = now
		a.chain.state.PurgeExpired(a.chain.wallTime())
	}
}
