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

// attempt is a run under a claim, from before the claim is asked for until its
// end is recorded.
type attempt struct {
	request Request
	token   claim.Token
	// started is when the claim was asked for, on the boot-time clock.
	started time.Time
	// done is closed at the end of the run. ended and answer, which is nil for a
	// release, are set before and guarded by the mutex of Claims.
	done   chan struct{}
	ended  bool
	answer *claim.Answer
}

func (a *attempt) op(kind claim.OpKind, holder string) claim.Op {
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

// Usable reports whether a non-idempotent call may still be sent.
func (g *Grant) Usable() bool {
	return g.claims.BootTime().Sub(g.attempt.started) < GrantLifetime
}

// Finish records the outcome. When it can't be recorded it returns the error and
// goes on trying; until then this instance answers for the key.
func (g *Grant) Finish(ctx context.Context, outcome string, body []byte) error {
	answer := claim.Answer{Outcome: outcome, Body: body, SHA256: sha256.Sum256(body)}
	op := g.attempt.op(claim.OpFinish, g.claims.Instance)
	op.Outcome = outcome
	op.AnswerSHA256 = answer.SHA256
	if len(body) <= claim.MaxInlineAnswerBytes {
		op.Answer = body
	}
	g.claims.end(g.attempt, &answer)
	return g.claims.record(ctx, g.attempt, op)
}

// Release frees the key. When the release can't be recorded it returns the error
// and goes on trying; until then this instance answers for the key.
func (g *Grant) Release(ctx context.Context) error {
	g.claims.end(g.attempt, nil)
	return g.claims.record(ctx, g.attempt, g.attempt.op(claim.OpRelease, g.claims.Instance))
}

// end makes the result known to those that wait for the attempt here.
func (c *Claims) end(a *attempt, answer *claim.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.answer = answer
	close(a.done)
}

// record appends the end of an attempt, or has the background do it. The answer
// to the caller does not wait for a store that is slow.
func (c *Claims) record(ctx context.Context, a *attempt, op claim.Op) error {
	decision, err := c.submit(ctx, op)
	if err != nil {
		c.unsettle(a, op)
		return err
	}
	return c.close(a, op, decision)
}

// close forgets an attempt whose end is settled.
func (c *Claims) close(a *attempt, op claim.Op, decision claim.Decision) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.answer != nil && len(op.Answer) < len(a.answer.Body) {
		c.answers.put(a.token, *a.answer)
	}
	c.forget(a)
	if decision.Verdict == claim.NotHeld {
		return ErrClaimLost
	}
	return nil
}

// forget removes an attempt. The caller holds the mutex.
func (c *Claims) forget(a *attempt) {
	if c.attempts[a.request.ID] == a {
		delete(c.attempts, a.request.ID)
	}
	delete(c.unsettled, a)
}

// drop removes an attempt that got no claim.
func (c *Claims) drop(a *attempt) {
	c.mu.Lock()
	c.forget(a)
	c.mu.Unlock()
	c.end(a, nil)
}

// abandon releases a claim that may or may not have been granted.
func (c *Claims) abandon(a *attempt) {
	c.end(a, nil)
	c.unsettle(a, a.op(claim.OpRelease, c.Instance))
}

// unsettle hands an operation to the background.
func (c *Claims) unsettle(a *attempt, op claim.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsettled[a] = op
	if !c.settling {
		c.settling = true
		go c.settleAll()
	}
}

// settleAll tries to record what is unsettled until nothing is left.
func (c *Claims) settleAll() {
	for {
		time.Sleep(c.RecordRetryInterval)
		attempts := c.takeUnsettled()
		if attempts == nil {
			return
		}
		events.ClaimsUnsettled.Log(context.Background(), c.Log, slog.Int("claims", len(attempts)))
		c.settleEach(attempts)
	}
}

// settleBatch bounds the operations that are tried at once.
const settleBatch = 256

// takeUnsettled returns some of the unsettled attempts with their operations, or
// ends the background when there are none. Keys whose retention has passed are
// forgotten: the store has forgotten them too.
func (c *Claims) takeUnsettled() map[*attempt]claim.Op {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := map[*attempt]claim.Op{}
	for a, op := range c.unsettled {
		if c.BootTime().Sub(a.started) > a.request.Retention+GrantLifetime {
			c.forget(a)
			continue
		}
		if batch[a] = op; len(batch) == settleBatch {
			break
		}
	}
	if len(batch) == 0 {
		c.settling = false
		return nil
	}
	return batch
}

// settleEach tries a batch. The appenders merge the operations of one shard.
func (c *Claims) settleEach(batch map[*attempt]claim.Op) {
	done := make(chan struct{})
	for a, op := range batch {
		go func() {
			defer func() { done <- struct{}{} }()
			ctx, cancel := context.WithTimeout(context.Background(), 2*settleTimeout)
			defer cancel()
			if decision, err := c.submit(ctx, op); err == nil {
				c.settled.Inc(1)
				_ = c.close(a, op, decision)
			}
		}()
	}
	for range batch {
		<-done
	}
}

// Await waits for the end of an attempt that this instance holds.
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

// Counts returns the attempts that run here, and those that have ended without a
// record of their end.
func (c *Claims) Counts() (running, unsettled int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if !a.ended {
			running++
		}
	}
	return running, len(c.unsettled)
}

// Settle waits until no operation is unsettled, or until ctx ends. It returns how
// many are left.
func (c *Claims) WaitRecorded(ctx context.Context) int {
	for {
		c.mu.Lock()
		left := len(c.unsettled)
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
