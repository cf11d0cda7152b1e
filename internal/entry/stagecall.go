package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// maxAttempts bounds the servers that are tried for one stage. Servers that are
// leaving do not count, since a whole failure domain may leave at once; each of
// them is asked once only.
const maxAttempts = 4

// Errors of a stage that was not sent.
var (
	errNoServer           = fmt.Errorf("%w: no backend server is available", backend.ErrNotSent)
	errClaimExpired       = fmt.Errorf("%w: the claim is too old", backend.ErrNotSent)
	errCallerDisconnected = fmt.Errorf("%w: the caller went away", backend.ErrNotSent)
)

// stageCall runs one stage of an execution on as many servers as needed.
type stageCall struct {
	*execution
	index int
	stage *pipeline.Stage
	input json.RawMessage
	// emit receives the answer in pieces; nil to keep it.
	emit func([]byte) error
	// emitted is true once a piece went to the caller. Another server's answer may
	// differ, so that only the same server can continue.
	emitted bool
	// excluded lists the servers that were tried.
	excluded []string
}

// run tries servers until one answers or no further attempt is allowed.
func (c *stageCall) run(ctx context.Context) (json.RawMessage, error) {
	c.Retries.CountRequest()
	var lastErr error
	for attempts := 0; ; {
		output, err := c.attempt(ctx)
		if err == nil {
			return output, nil
		}
		if lastErr != nil && errors.Is(err, errNoServer) {
			return nil, lastErr
		}
		if !errors.Is(err, backend.ErrDraining) {
			attempts++
		}
		if attempts == maxAttempts || !c.mayRetry(ctx, err) {
			return nil, err
		}
		lastErr = err
		c.Metrics.retries.Inc(1)
		events.StageRetried.Log(ctx, c.Logger, slog.String("pipeline", c.request.Pipeline.Name),
			slog.String("stage", c.stage.Name), slog.Any("error", err))
	}
}

// mayRetry reports whether another server may be tried after err. A server that
// is leaving refuses everything without load, so that moving on is free.
func (c *stageCall) mayRetry(ctx context.Context, err error) bool {
	switch {
	case ctx.Err() != nil, c.emitted:
		return false
	case errors.Is(err, backend.ErrInvalid), errors.Is(err, errNoServer),
		errors.Is(err, errClaimExpired), errors.Is(err, errCallerDisconnected):
		return false
	case c.stage.Once && !backend.DefinitelyNotRun(err):
		return false
	case errors.Is(err, backend.ErrDraining):
		return true
	default:
		return c.Retries.Allow()
	}
}

// attempt calls one server, or two when the call is hedged.
func (c *stageCall) attempt(ctx context.Context) (json.RawMessage, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", backend.ErrNotSent, err)
	}
	query := c.query()
	picked, ok := c.pick(query)
	if !ok {
		return nil, fmt.Errorf("%w in pool %q", errNoServer, c.stage.Pool)
	}
	if c.emit == nil && query.Idempotent && !c.request.Kind.AtMostOnce() {
		if delay, ok := c.Hedges.Delay(query); ok {
			return c.sendHedged(ctx, picked, delay)
		}
	}
	return c.send(ctx, picked)
}

// pick chooses a server and excludes it from further attempts.
func (c *stageCall) pick(query Query) (PickedServer, bool) {
	picked, ok := c.Picker.Pick(query)
	if ok {
		c.excluded = append(c.excluded, picked.Server().ID)
	}
	return picked, ok
}

func (c *stageCall) query() Query {
	return Query{
		Pool:         c.stage.Pool,
		Stage:        c.stage.Name,
		Kind:         c.request.Kind.Name,
		Model:        c.stage.Model,
		PrefixKey:    c.prefixKey(),
		Organisation: c.request.Organisation.Name,
		Class:        c.request.Kind.Class,
		Idempotent:   !c.stage.Once,
		LinkBytes:    c.request.Kind.Cost.LinkBytes,
		CrossRegion:  c.request.crossRegion,
		Remaining:    c.timeout(),
		Excluded:     c.excluded,
	}
}

// prefixKey groups the prompts of a generate stage. Those of one organisation
// and kind begin with the same instructions.
func (c *stageCall) prefixKey() string {
	if c.stage.Type != pipeline.StageGenerate {
		return ""
	}
	return c.request.Organisation.Name + "/" + c.request.Pipeline.Name + "/" + c.request.Kind.Name + "/" + c.stage.Name
}

// timeout returns the time for one call. A once call gets all that is left,
// because a call that is given up cannot be tried again.
func (c *stageCall) timeout() time.Duration {
	remaining := c.request.Deadline.Sub(c.Now())
	if c.stage.Once {
		return remaining
	}
	return min(remaining, c.Budgets.StageBudget(c.request, c.index, remaining))
}

// send calls a picked server and ends the call's accounting.
func (c *stageCall) send(ctx context.Context, picked PickedServer) (json.RawMessage, error) {
	if c.stage.Once {
		if err := c.beginOnce(); err != nil {
			picked.Done(err, 0)
			return nil, err
		}
		// Neither the caller nor another stage cancels a once call; its timeout
		// still ends it.
		ctx = context.WithoutCancel(ctx)
	}
	a := &answer{call: c, emit: c.emit, keepAnswer: c.emit == nil || c.options.Claim != nil}
	err := a.receive(ctx, picked)
	moved := int64(len(c.input)) + a.bytes
	picked.Done(err, moved)
	c.Metrics.countLinkBytes(picked.Server(), c.stage.Name, c.request.Organisation.Name, moved)
	if err != nil {
		return nil, err
	}
	return a.output(), nil
}

// beginOnce checks that a once call may still be sent and lets the execution
// outlive its caller.
func (c *stageCall) beginOnce() error {
	if claim := c.options.Claim; claim != nil && !claim.Usable() {
		return errClaimExpired
	}
	if !c.detach() {
		return errCallerDisconnected
	}
	return nil
}

// stageRequest returns a new attempt that continues at an offset of the answer.
func (c *stageCall) stageRequest(attempt string, offset int64) backend.StageRequest {
	return backend.StageRequest{
		Attempt:        attempt,
		Type:           c.stage.Type,
		Organisation:   c.request.Organisation.Name,
		Pipeline:       c.request.Pipeline.Name,
		Kind:           c.request.Kind.Name,
		Class:          c.request.Kind.Class,
		Priority:       c.request.Kind.Priority,
		Model:          c.stage.Model,
		PrefixKey:      c.prefixKey(),
		Input:          c.input,
		MaxTokens:      c.request.Kind.Cost.Tokens,
		MaxAnswerBytes: c.stage.AnswerLimit(),
		ResumeOffset:   offset,
		Timeout:        c.timeout(),
	}
}
