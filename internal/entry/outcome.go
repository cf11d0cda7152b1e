package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
)

// refusedRetryAfter is the Retry-After delay when all servers that were tried
// refused. The instance list, which may contain other servers by then, is read
// once a second.
const refusedRetryAfter = time.Second

// stageError is the error of the stage that ended an execution.
type stageError struct {
	stage string
	err   error
}

func (e *stageError) Error() string { return fmt.Sprintf("stage %q: %v", e.stage, e.err) }
func (e *stageError) Unwrap() error { return e.err }

// outcome returns the outcome of an execution without an answer. A non-idempotent
// call that succeeded counts as well, because its effect remains.
func (x *execution) outcome() Outcome {
	switch {
	case x.onceMaybeRan.Load() > 0:
		return OutcomeUnknown
	case x.maybeRan.Load() > 0:
		return OutcomeFailed
	default:
		return OutcomeNotRun
	}
}

// problem converts the error that ended the execution to the answer for the
// caller, which must not contain addresses of servers.
func (x *execution) problem(ctx context.Context, err error) *Problem {
	p := &Problem{
		Type:    ProblemStage,
		Title:   "request failed",
		Status:  http.StatusBadGateway,
		Detail:  "the request could not be completed",
		Outcome: x.outcome(),
	}
	var failed *stageError
	if errors.As(err, &failed) {
		p.Title = fmt.Sprintf("stage %q failed", failed.stage)
		p.Detail = problemDetail(err)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		p.Type, p.Status = ProblemDeadline, http.StatusGatewayTimeout
		p.Detail = "the deadline passed"
	case errors.Is(err, backend.ErrInvalid):
		p.Type, p.Status = ProblemInvalid, http.StatusUnprocessableEntity
	case backend.DefinitelyNotRun(err):
		p.Type, p.Status = ProblemUnavailable, http.StatusServiceUnavailable
		p.RetryAfterMS = refusedRetryAfter.Milliseconds()
	}
	return p
}

// problemDetail returns the category of a stage error, without its details.
func problemDetail(err error) string {
	for _, known := range []error{
		errNoServer, errClaimExpired, errCallerDisconnected, backend.ErrDraining, backend.ErrInvalid,
		backend.ErrRefused, backend.ErrNotSent, backend.ErrBadAnswer, backend.ErrMayHaveRun,
	} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "internal error"
}
