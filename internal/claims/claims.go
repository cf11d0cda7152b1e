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

// GrantLife is how long after it was asked for a claim may be used, on the
// boot-time clock.
const GrantLifetime = 10 * time.Second

// SettleInterval is the time between two tries to record the ends of claims that
// the store did not take.
const RecordRetryInterval = time.Second

// Tries to read a recorded answer, and the time between them.
const (
	readAttempts = 3
	readInterval = 150 * time.Millisecond
)

// claimRounds bounds how often one request asks again after an attempt that it
// waited for was released.
const claimRounds = 8

// Config is what Claims needs.
type Config struct {
	// Instance is the name under which peers reach this instance.
	Instance  string
	Store     store.Store
	Forwarder Forwarder
	Awaiter   Awaiter
	// Boot gives the boot-time clock, Wall the time that records carry.
	BootTime func() time.Time
	WallTime func() time.Time
	Scope    tally.Scope
	Log      *slog.Logger
	// WriteInterval is the least time between two writes of a busy shard,
	// SettleInterval that between two tries to record the ends of claims. They are
	// the constants of the same names, but for tests.
	WriteInterval       time.Duration
	RecordRetryInterval time.Duration
}

// Claims grants claims and keeps those that this instance holds.
type Claims struct {
	Config
	appenders [claim.Shards]*Appender
	settled   tally.Counter

	mu       sync.Mutex
	attempts map[claim.ID]*attempt
	// unsettled holds the operations that the background records.
	unsettled map[*attempt]claim.Op
	settling  bool
	answers   answerCache
}

// New returns Claims without any state; it reads the store on the first use.
func New(config Config) *Claims {
	c := &Claims{
		Config:    config,
		settled:   config.Scope.Counter("claim_settled_later"),
		attempts:  map[claim.ID]*attempt{},
		unsettled: map[*attempt]claim.Op{},
	}
	shared := newCounters(config.Scope)
	writes := config.Scope.Counter("claim_writes")
	for shard := range c.appenders {
		c.appenders[shard] = newAppender(&chain{
			store: config.Store, shard: shard, boot: config.BootTime, wall: config.WallTime,
			writes: writes, state: claim.NewShard(),
		}, config.WriteInterval, shared)
	}
	return c
}

// call is one call of Claim.
type call struct {
	request Request
	// ended is the token of an attempt that its holder reported as not running.
	ended claim.Token
}

// Claim grants a claim, or gives the answer of an earlier attempt with the same
// key, for whose end it waits until ctx ends.
func (c *Claims) Claim(ctx context.Context, request Request) Reply {
	call := &call{request: request}
	for range claimRounds {
		a, own := c.join(request)
		var reply Reply
		var again bool
		if own {
			reply, again = c.ask(ctx, call, a)
		} else {
			reply, again = c.joined(ctx, a, request)
		}
		if !again {
			return reply
		}
	}
	return Reply{Refusal: RefusedOutcomeUnknown}
}

// join returns the running attempt of a key, or registers a new one.
func (c *Claims) join(request Request) (a *attempt, own bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if running, ok := c.attempts[request.ID]; ok {
		return running, false
	}
	a = &attempt{request: request, started: c.BootTime(), done: make(chan struct{})}
	// crypto/rand.Read never fails.
	_, _ = rand.Read(a.token[:])
	c.attempts[request.ID] = a
	return a, true
}

// joined waits for another attempt on this instance.
func (c *Claims) joined(ctx context.Context, a *attempt, request Request) (reply Reply, again bool) {
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

// ask appends the claim of a new attempt.
func (c *Claims) ask(ctx context.Context, call *call, a *attempt) (reply Reply, again bool) {
	decision, err := c.submit(ctx, a.op(claim.OpClaim, c.Instance))
	switch {
	case errors.Is(err, ErrNotAppended):
		c.drop(a)
		return Reply{Refusal: RefusedStoreUnavailable}, false
	case err != nil:
		c.abandon(a)
		return Reply{Refusal: RefusedStoreUnavailable}, false
	case decision.Verdict == claim.Granted:
		return Reply{Grant: &Grant{claims: c, attempt: a}}, false
	}
	c.drop(a)
	return c.decided(ctx, call, decision)
}

// decided turns the state of a key that another attempt has used into a reply.
func (c *Claims) decided(ctx context.Context, call *call, decision claim.Decision) (reply Reply, again bool) {
	switch decision.Verdict {
	case claim.BodyMismatch:
		return Reply{Refusal: RefusedBodyMismatch}, false
	case claim.AlreadyFinished:
		return c.recorded(ctx, call.request.ID, decision), false
	case claim.Running:
		return c.await(ctx, call, decision)
	}
	return Reply{}, true
}

// recorded fetches the answer of a finished attempt.
func (c *Claims) recorded(ctx context.Context, id claim.ID, decision claim.Decision) Reply {
	answer, err := c.readAnswer(ctx, id, decision)
	if err != nil {
		return Reply{Refusal: RefusedAnswerUnavailable}
	}
	if answer.Body != nil || answer.SHA256 == sha256.Sum256(nil) {
		return Reply{Answer: &answer}
	}
	response, err := c.awaitAt(ctx, decision.Holder, AwaitRequest{ID: id, Token: decision.Token})
	if err == nil && response.State == AwaitFinished {
		return Reply{Answer: &response.Answer}
	}
	return Reply{Answer: &answer}
}

// errNoRecord reports a segment without the record that the index names.
var errNoRecord = errors.New("claim segment does not hold the record")

// readAnswer reads a recorded answer. A store that just refused a call is often
// back after the first backoff, so that a caller need not come again.
func (c *Claims) readAnswer(ctx context.Context, id claim.ID, decision claim.Decision) (claim.Answer, error) {
	key := claim.SegmentKey(id.Shard(), decision.Segment)
	var err error
	for range readAttempts {
		var entry store.Entry
		if entry, err = c.Store.Get(appendContext(ctx, true), key); err == nil {
			return findAnswer(claim.Segment{Number: decision.Segment, Data: entry.Value}, decision.Token)
		}
		select {
		case <-time.After(readInterval):
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

// await joins an attempt at its holder. The first time that the holder reports
// no running attempt, the claim is asked for again, because its end may have been
// recorded since the decision.
func (c *Claims) await(ctx context.Context, call *call, decision claim.Decision) (reply Reply, again bool) {
	response, err := c.awaitAt(ctx, decision.Holder, AwaitRequest{ID: call.request.ID, Token: decision.Token})
	switch {
	case ctx.Err() != nil:
		return Reply{Refusal: RefusedStillRunning}, false
	case err != nil:
		return Reply{Refusal: RefusedOutcomeUnknown}, false
	case response.State == AwaitFinished:
		return Reply{Answer: &response.Answer}, false
	case call.ended != decision.Token:
		call.ended = decision.Token
		return Reply{}, true
	case response.State == AwaitReleased:
		return Reply{Refusal: RefusedReleasePending}, false
	}
	return Reply{Refusal: RefusedOutcomeUnknown}, false
}

func (c *Claims) awaitAt(ctx context.Context, holder string, request AwaitRequest) (AwaitResponse, error) {
	if holder == c.Instance {
		return c.Await(ctx, request)
	}
	return c.Awaiter.Await(ctx, holder, request)
}

// submit has the shard's appender append an operation, or appends it directly
// when the appender is not reached.
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
		// The other instance may still append it.
		return decision, fmt.Errorf("%w: %s", ErrUnresolved, directErr)
	}
	return decision, directErr
}

// Append serves another instance that takes this one for the shard's appender.
func (c *Claims) Append(ctx context.Context, request AppendRequest) (AppendResponse, error) {
	decision, err := c.appenders[request.Op.ID.Shard()].Append(ctx, request.Op, false)
	return AppendResponse{Decision: decision}, err
}
