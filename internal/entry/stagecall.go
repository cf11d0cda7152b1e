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

// maxTries limits the tries of one stage. A try calls one server, or two when the
// call is hedged, and each call is one attempt, or several when its stream is resumed.
// Tries that a draining server refused do not count, since a whole failure domain may
// drain at once. They end because no server is called in two tries.
const maxTries = 4

// maxEndedServers is the number of backend servers that may end under one request. The
// request may be the cause.
const maxEndedServers = 2

// Errors of a call that was not sent.
var (
	errNoServer           = fmt.Errorf("%w: no backend server is available", backend.ErrNotSent)
	errClaimExpired       = fmt.Errorf("%w: the claim is too old", backend.ErrNotSent)
	errCallerDisconnected = fmt.Errorf("%w: the caller went away", backend.ErrNotSent)
)

// stageCall runs one stage of an execution, with retries on other servers.
type stageCall struct {
	*execution
	index int
	stage *pipeline.Stage
	input json.RawMessage
	// emit receives the answer in chunks; if it is nil, the answer is collected.
	emit func([]byte) error
	// emitted is true once a chunk was passed to emit. Then only the same server can
	// resume the stream, because the answer of another server may differ.
	emitted bool
	// excluded lists the IDs of the servers that were tried.
	excluded []string
	// lastServer is the server of the last try.
	lastServer backend.Server
}

// run tries servers until one answers or no further try is allowed.
func (c *stageCall) run(ctx context.Context) (json.RawMessage, error) {
	c.Retries.CountRequest()
	var lastErr error
	for tries := 0; ; {
		output, err := c.try(ctx)
		if err == nil {
			return output, nil
		}
		if lastErr != nil && errors.Is(err, errNoServer) {
			return nil, lastErr
		}
		if !errors.Is(err, backend.ErrDraining) {
			tries++
		}
		c.countEnded(ctx, err)
		if tries == maxTries || c.endedServers.Load() >= maxEndedServers || !c.mayRetry(ctx, err) {
			return nil, err
		}
		lastErr = err
		c.Metrics.retries.Inc(1)
		events.StageRetried.Log(ctx, c.Logger, slog.String("pipeline", c.request.Pipeline.Name),
			slog.String("stage", c.stage.Name), slog.Any("error", err))
	}
}

// countEnded counts the server of the last try if it has ended under the request.
func (c *stageCall) countEnded(ctx context.Context, err error) {
	if !errors.Is(err, backend.ErrMayHaveRun) && !errors.Is(err, backend.ErrBrokenStream) {
		return
	}
	if c.ServerEnded(ctx, c.lastServer) {
		c.endedServers.Add(1)
	}
}

// mayRetry reports whether another server may be tried after err. If it may, the
// retry is taken from the retry budget, except after the refusal of a draining server,
// because such a refusal costs the server no load.
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

// try calls one server, or two when the call is hedged.
func (c *stageCall) try(ctx context.Context) (json.RawMessage, error) {
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

// pick chooses a server and excludes it from later tries.
func (c *stageCall) pick(query Query) (PickedServer, bool) {
	picked, ok := c.Picker.Pick(query)
	if ok {
		c.lastServer = picked.Server()
		c.excluded = append(c.excluded, c.lastServer.ID)
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

// prefixKey returns the key that groups the prompts of a generate stage for prefix
// caching; it is empty for other stages. Prompts of one organisation and kind begin
// with the same instructions.
func (c *stageCall) prefixKey() string {
	if c.stage.Type != pipeline.StageGenerate {
		return ""
	}
	return c.request.Organisation.Name + "/" + c.request.Pipeline.Name + "/" + c.request.Kind.Name + "/" + c.stage.Name
}

// timeout returns the time limit of one call. A non-idempotent call gets all the
// time until the deadline, because it cannot be retried after a timeout.
func (c *stageCall) timeout() time.Duration {
	remaining := c.request.Deadline.Sub(c.Now())
	if c.stage.Once {
		return remaining
	}
	return min(remaining, c.Budgets.StageBudget(c.request, c.index, remaining))
}

// send calls a picked server, and reports the result to the picked server and the
// metrics.
func (c *stageCall) send(ctx context.Context, picked PickedServer) (json.RawMessage, error) {
	if c.stage.Once {
		if err := c.beginOnce(); err != nil {
			picked.Done(err, 0)
			return nil, err
		}
		// Neither a disconnect of the caller nor the failure of another stage cancels
		// a non-idempotent call; its timeout still ends it.
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

// beginOnce checks that a non-idempotent call may still be sent, and lets the
// execution continue after the caller disconnects.
func (c *stageCall) beginOnce() error {
	if claim := c.options.Claim; claim != nil && !claim.Usable() {
		return errClaimExpired
	}
	if !c.detach() {
		return errCallerDisconnected
	}
	return nil
}

// stageRequest returns the request of a new attempt. The answer begins at offset,
// which is above 0 for a resumed stream.
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
