package claims

import (
	"context"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/claim"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
)

// attempt is a run of a request under a claim. It exists from before the claim is
// requested until the end of the run is recorded in the store.
type attempt struct {
	request Request
	token   claim.Token
	// requestedAt is when the claim was requested, by the boot-time clock.
	requestedAt time.Time
	// done is closed at the end of the run. ended and answer are set before that and
	// guarded by Claims.mu. answer is nil after a release.
	done   chan struct{}
	ended  bool
	answer *claim.Answer
}

func (a *attempt) newOp(kind claim.OpKind, holder string) claim.Op {
	return claim.Op{
		Kind:       kind,
		ID:         a.request.ID,
		Token:      a.token,
		BodySHA256: a.request.BodySHA256,
		Holder:     holder,
		Retention:  a.request.Retention,
	}
}

// Grant is a claim that this instance holds.
type Grant struct {
	claims  *Claims
	attempt *attempt
}

// Usable reports whether a non-idempotent call may still be sent under the claim.
func (g *Grant) Usable() bool {
	return g.claims.BootTime().Sub(g.attempt.requestedAt) < GrantLifetime
}

// Finish records the outcome. If that fails, it returns the error and retries in
// the background. Until the outcome is recorded, this instance answers requests with
// the key.
func (g *Grant) Finish(ctx context.Context, outcome string, body []byte) error {
	answer := claim.Answer{Outcome: outcome, Body: body, SHA256: sha256.Sum256(body)}
	op := g.attempt.newOp(claim.OpFinish, g.claims.Instance)
	op.Outcome = outcome
	op.AnswerSHA256 = answer.SHA256
	if len(body) <= claim.MaxInlineAnswerBytes {
		op.Answer = body
	}
	g.claims.endAttempt(g.attempt, &answer)
	return g.claims.recordEnd(ctx, g.attempt, op)
}

// Release releases the key. If the release can't be recorded, it returns the error
// and retries in the background. Until the release is recorded, this instance
// answers requests with the key.
func (g *Grant) Release(ctx context.Context) error {
	g.claims.endAttempt(g.attempt, nil)
	return g.claims.recordEnd(ctx, g.attempt, g.attempt.newOp(claim.OpRelease, g.claims.Instance))
}

// endAttempt passes the result to the calls that wait for the attempt on this instance.
func (c *Claims) endAttempt(a *attempt, answer *claim.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.answer = answer
	close(a.done)
}

// recordEnd appends the end of an attempt. If that fails, the end is recorded in the
// background, so that the response to the caller need not wait for a slow store.
func (c *Claims) recordEnd(ctx context.Context, a *attempt, op claim.Op) error {
	decision, err := c.submit(ctx, op)
	if err != nil {
		c.recordInBackground(a, op)
		return err
	}
	return c.close(a, op, decision)
}

// close removes an attempt whose end is recorded. It returns ErrClaimLost if the
// claim expired before that.
func (c *Claims) close(a *attempt, op claim.Op, decision claim.Decision) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.answer != nil && len(op.Answer) < len(a.answer.Body) {
		c.answers.put(a.token, *a.answer)
	}
	c.removeLocked(a)
	if decision.Verdict == claim.NotHeld {
		return ErrClaimLost
	}
	return nil
}

// removeLocked removes an attempt. The caller holds c.mu.
func (c *Claims) removeLocked(a *attempt) {
	if c.attempts[a.request.ID] == a {
		delete(c.attempts, a.request.ID)
	}
	delete(c.unrecorded, a)
}

// removeUngranted removes an attempt that got no claim.
func (c *Claims) removeUngranted(a *attempt) {
	c.mu.Lock()
	c.removeLocked(a)
	c.mu.Unlock()
	c.endAttempt(a, nil)
}

// releaseInBackground releases a claim that may have been granted.
func (c *Claims) releaseInBackground(a *attempt) {
	c.endAttempt(a, nil)
	c.recordInBackground(a, a.newOp(claim.OpRelease, c.Instance))
}

// recordInBackground has an operation retried in the background until it is
// recorded.
func (c *Claims) recordInBackground(a *attempt, op claim.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unrecorded[a] = op
	if !c.retrying {
		c.retrying = true
		go c.retryUnrecorded()
	}
}

// retryUnrecorded retries the unrecorded operations until none are left.
func (c *Claims) retryUnrecorded() {
	for {
		time.Sleep(c.RecordRetryInterval)
		attempts := c.nextRetryBatch()
		if attempts == nil {
			return
		}
		events.ClaimsUnrecorded.Log(context.Background(), c.Log, slog.Int("claims", len(attempts)))
		c.retryBatch(attempts)
	}
}

// maxRetryBatch limits the operations that are retried at the same time.
const maxRetryBatch = 256

// nextRetryBatch returns up to maxRetryBatch unrecorded attempts with their
// operations. It returns nil and marks retryUnrecorded as ended if there are none.
// Attempts whose retention has passed are removed, because their claims have expired
// in the store too.
func (c *Claims) nextRetryBatch() map[*attempt]claim.Op {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := map[*attempt]claim.Op{}
	for a, op := range c.unrecorded {
		if c.BootTime().Sub(a.requestedAt) > a.request.Retention+GrantLifetime {
			c.removeLocked(a)
			continue
		}
		if batch[a] = op; len(batch) == maxRetryBatch {
			break
		}
	}
	if len(batch) == 0 {
		c.retrying = false
		return nil
	}
	return batch
}

// retryBatch retries a batch and waits for the results. The appenders combine the
// operations of a shard.
func (c *Claims) retryBatch(batch map[*attempt]claim.Op) {
	done := make(chan struct{})
	for a, op := range batch {
		go func() {
			defer func() { done <- struct{}{} }()
			ctx, cancel := context.WithTimeout(context.Background(), 2*batchTimeout)
			defer cancel()
			if decision, err := c.submit(ctx, op); err == nil {
				c.recordedLater.Inc(1)
				_ = c.close(a, op, decision)
			}
		}()
	}
	for range batch {
		<-done
	}
}

// Await waits for the end of an attempt that this instance holds. It returns an
// error only if ctx ends first.
func (c *Claims) Await(ctx context.Context, request AwaitRequest) (AwaitResponse, error) {
	c.mu.Lock()
	a, ok := c.attempts[request.ID]
	answer, cached := c.answers.get(request.Token)
	c.mu.Unlock()
	if cached {
		return AwaitResponse{State: AwaitFinished, Answer: answer}, nil
	}
	if !ok || a.token != request.Token {
		return AwaitResponse{State: AwaitNotHeld}, nil
	}
	select {
	case <-a.done:
	case <-ctx.Done():
		return AwaitResponse{}, fmt.Errorf("await attempt: %w", ctx.Err())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.answer == nil {
		return AwaitResponse{State: AwaitReleased}, nil
	}
	return AwaitResponse{State: AwaitFinished, Answer: *a.answer}, nil
}

// Counts returns the number of attempts that run on this instance, and of those
// that have ended and whose end is not recorded yet.
func (c *Claims) Counts() (running, unrecorded int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if !a.ended {
			running++
		}
	}
	return running, len(c.unrecorded)
}

// WaitRecorded waits until no operation is unrecorded, or until ctx ends. It returns
// the number of operations that are left.
func (c *Claims) WaitRecorded(ctx context.Context) int {
	for {
		c.mu.Lock()
		left := len(c.unrecorded)
		c.mu.Unlock()
		if left == 0 {
			return 0
		}
		select {
		case <-time.After(c.RecordRetryInterval):
		case <-ctx.Done():
			return left
		}
	}
}
