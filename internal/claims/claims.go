package claims

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/claim"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// GrantLifetime is how long a claim may be used after it was requested, by the
// boot-time clock.
const GrantLifetime = 10 * time.Second

// RecordRetryInterval is the time between two attempts to record the ends of claims
// whose first write failed.
const RecordRetryInterval = time.Second

// Attempts to read a recorded answer, and the time between them.
const (
	answerReadAttempts = 3
	answerReadInterval = 150 * time.Millisecond
)

// maxClaimRounds limits how often one call of Claim requests the claim, for example
// again after an attempt that it waited for was released.
const maxClaimRounds = 8

// Config holds the settings and dependencies of Claims.
type Config struct {
	// Instance is the name under which peers reach this instance.
	Instance  string
	Store     store.Store
	Forwarder Forwarder
	Awaiter   Awaiter
	// BootTime reads the boot-time clock, WallTime the wall clock for the times in
	// records.
	BootTime func() time.Time
	WallTime func() time.Time
	Scope    tally.Scope
	Log      *slog.Logger
	// WriteInterval and RecordRetryInterval have the values of the constants of the
	// same names, except in tests and measurements.
	WriteInterval       time.Duration
	RecordRetryInterval time.Duration
}

// Claims grants claims and keeps track of those that this instance holds.
type Claims struct {
	Config
	appenders     [claim.Shards]*Appender
	recordedLater tally.Counter

	mu       sync.Mutex
	attempts map[claim.ID]*attempt
	// unrecorded holds the operations that are retried in the background.
	unrecorded map[*attempt]claim.Op
	retrying   bool
	answers    answerCache
}

// New returns Claims without state. A shard is read from the store on first use.
func New(config Config) *Claims {
	c := &Claims{
		Config:        config,
		recordedLater: config.Scope.Counter("claim_settled_later"),
		attempts:      map[claim.ID]*attempt{},
		unrecorded:    map[*attempt]claim.Op{},
	}
	shardCounters := newCounters(config.Scope)
	writes := config.Scope.Counter("claim_writes")
	for shard := range c.appenders {
		c.appenders[shard] = newAppender(&chain{
			store: config.Store, shard: shard, bootTime: config.BootTime, wallTime: config.WallTime,
			writes: writes, state: claim.NewShard(),
		}, config.WriteInterval, shardCounters)
	}
	return c
}

// claimCall is the state of one call of Claim.
type claimCall struct {
	request Request
	// endedToken is the token of an attempt that is not running according to its holder.
	endedToken claim.Token
}

// Claim grants a claim or returns the answer of an earlier attempt with the same
// key. It waits for an attempt that is still running until ctx ends.
func (c *Claims) Claim(ctx context.Context, request Request) Reply {
	call := &claimCall{request: request}
	for range maxClaimRounds {
		a, created := c.findOrCreateAttempt(request)
		var reply Reply
		var retry bool
		if created {
			reply, retry = c.appendClaim(ctx, call, a)
		} else {
			reply, retry = c.waitForLocal(ctx, a, request)
		}
		if !retry {
			return reply
		}
	}
	return Reply{Refusal: RefusedOutcomeUnknown}
}

// findOrCreateAttempt returns the attempt of the key on this instance, or registers a
// new one.
func (c *Claims) findOrCreateAttempt(request Request) (a *attempt, created bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if running, ok := c.attempts[request.ID]; ok {
		return running, false
	}
	a = &attempt{request: request, requestedAt: c.BootTime(), done: make(chan struct{})}
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(a.token[:])
	c.attempts[request.ID] = a
	return a, true
}

// waitForLocal waits for another attempt on this instance and returns its answer.
func (c *Claims) waitForLocal(ctx context.Context, a *attempt, request Request) (reply Reply, retry bool) {
	if a.request.BodySHA256 != request.BodySHA256 {
		return Reply{Refusal: RefusedBodyMismatch}, false
	}
	select {
	case <-a.done:
	case <-ctx.Done():
		return Reply{Refusal: RefusedStillRunning}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case a.answer != nil:
		return Reply{Answer: a.answer}, false
	case c.attempts[request.ID] == a:
		return Reply{Refusal: RefusedReleasePending}, false
	default:
		return Reply{}, true
	}
}

// appendClaim requests the claim of a new attempt.
func (c *Claims) appendClaim(ctx context.Context, call *claimCall, a *attempt) (reply Reply, retry bool) {
	decision, err := c.submit(ctx, a.newOp(claim.OpClaim, c.Instance))
	switch {
	case errors.Is(err, ErrNotAppended):
		c.removeUngranted(a)
		return Reply{Refusal: RefusedStoreUnavailable}, false
	case err != nil:
		c.releaseInBackground(a)
		return Reply{Refusal: RefusedStoreUnavailable}, false
	case decision.Verdict == claim.Granted:
		return Reply{Grant: &Grant{claims: c, attempt: a}}, false
	}
	c.removeUngranted(a)
	return c.replyToDecision(ctx, call, decision)
}

// replyToDecision returns the reply for a key that another attempt has used.
func (c *Claims) replyToDecision(ctx context.Context, call *claimCall, decision claim.Decision) (reply Reply, retry bool) {
	switch decision.Verdict {
	case claim.BodyMismatch:
		return Reply{Refusal: RefusedBodyMismatch}, false
	case claim.AlreadyFinished:
		return c.recordedAnswer(ctx, call.request.ID, decision), false
	case claim.Running:
		return c.awaitHolder(ctx, call, decision)
	}
	return Reply{}, true
}

// recordedAnswer returns the answer of a finished attempt. If only its digest was
// stored, it asks the holder for the answer and otherwise returns the digest.
func (c *Claims) recordedAnswer(ctx context.Context, id claim.ID, decision claim.Decision) Reply {
	answer, err := c.readAnswer(ctx, id, decision)
	if err != nil {
		return Reply{Refusal: RefusedAnswerUnavailable}
	}
	if answer.Body != nil || answer.SHA256 == sha256.Sum256(nil) {
		return Reply{Answer: &answer}
	}
	response, err := c.callHolder(ctx, decision.Holder, AwaitRequest{ID: id, Token: decision.Token})
	if err == nil && response.State == AwaitFinished {
		return Reply{Answer: &response.Answer}
	}
	return Reply{Answer: &answer}
}

// errNoRecord reports a segment without the record that it holds according to the index.
var errNoRecord = errors.New("claim segment does not hold the record")

// readAnswer reads a recorded answer. It retries a failed read, because a store that
// refused a call is often available again after the first backoff; the caller then
// need not repeat its request.
func (c *Claims) readAnswer(ctx context.Context, id claim.ID, decision claim.Decision) (claim.Answer, error) {
	key := claim.SegmentKey(id.Shard(), decision.Segment)
	var err error
	for range answerReadAttempts {
		var entry store.Entry
		if entry, err = c.Store.Get(storeContext(ctx, true), key); err == nil {
			return findAnswer(claim.Segment{Number: decision.Segment, Data: entry.Value}, decision.Token)
		}
		select {
		case <-time.After(answerReadInterval):
		case <-ctx.Done():
			return claim.Answer{}, ctx.Err()
		}
	}
	return claim.Answer{}, err
}

func findAnswer(segment claim.Segment, token claim.Token) (claim.Answer, error) {
	answer, ok, err := claim.FindAnswer(segment, token)
	if err == nil && !ok {
		err = errNoRecord
	}
	return answer, err
}

// awaitHolder waits at the holder of an attempt for its end. When the holder first
// reports that the attempt is not running, the claim is requested again, because the
// end may have been recorded since the decision.
func (c *Claims) awaitHolder(ctx context.Context, call *claimCall, decision claim.Decision) (reply Reply, retry bool) {
	response, err := c.callHolder(ctx, decision.Holder, AwaitRequest{ID: call.request.ID, Token: decision.Token})
	switch {
	case ctx.Err() != nil:
		return Reply{Refusal: RefusedStillRunning}, false
	case err != nil:
		return Reply{Refusal: RefusedOutcomeUnknown}, false
	case response.State == AwaitFinished:
		return Reply{Answer: &response.Answer}, false
	case call.endedToken != decision.Token:
		call.endedToken = decision.Token
		return Reply{}, true
	case response.State == AwaitReleased:
		return Reply{Refusal: RefusedReleasePending}, false
	}
	return Reply{Refusal: RefusedOutcomeUnknown}, false
}

func (c *Claims) callHolder(ctx context.Context, holder string, request AwaitRequest) (AwaitResponse, error) {
	if holder == c.Instance {
		return c.Await(ctx, request)
	}
	return c.Awaiter.Await(ctx, holder, request)
}

// submit forwards an operation to the shard's appender, or appends it directly if
// the appender returns an error.
func (c *Claims) submit(ctx context.Context, op claim.Op) (claim.Decision, error) {
	shard := op.ID.Shard()
	appender := c.Forwarder.Appender(shard)
	if appender == "" || appender == c.Instance {
		return c.appenders[shard].Append(ctx, op, false)
	}
	response, err := c.Forwarder.Append(ctx, appender, AppendRequest{Op: op})
	if err == nil {
		return response.Decision, nil
	}
	decision, directErr := c.appenders[shard].Append(ctx, op, true)
	if errors.Is(directErr, ErrNotAppended) && !errors.Is(err, ErrNotAppended) && !errors.Is(err, ErrNotReached) {
		// The appender may still append the operation.
		return decision, fmt.Errorf("%w: %s", ErrUnresolved, directErr)
	}
	return decision, directErr
}

// Append appends an operation for an instance whose view has this instance as the
// shard's appender.
func (c *Claims) Append(ctx context.Context, request AppendRequest) (AppendResponse, error) {
	decision, err := c.appenders[request.Op.ID.Shard()].Append(ctx, request.Op, false)
	return AppendResponse{Decision: decision}, err
}
