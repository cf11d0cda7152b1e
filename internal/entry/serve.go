package entry

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
)

// recordTimeout limits how long the answer is delayed until the outcome of a claim
// is recorded. If recording fails, the claim remains in the state claimed.
const recordTimeout = 2 * time.Second

// digestOnlyDetail is the detail for a repeated key whose answer is not kept.
const digestOnlyDetail = "the request was completed; only the digest of its answer is kept"

// serve runs a validated request: it waits for admission, claims the key if
// needed, and executes the stages. The claim is settled before serve returns.
func (h *Handler) serve(ctx context.Context, request *Request, emit func([]byte) error) Result {
	result := h.runWithAdmission(ctx, request, emit)
	h.Executor.Metrics.countRequest(request, result.Outcome)
	events.RequestFinished.Log(ctx, h.Executor.Logger,
		slog.String("organisation", request.Organisation.Name),
		slog.String("pipeline", request.Pipeline.Name),
		slog.String("kind", request.Kind.Name),
		slog.String("outcome", string(result.Outcome)))
	return result
}

func (h *Handler) runWithAdmission(ctx context.Context, request *Request, emit func([]byte) error) Result {
	if h.Admission == nil {
		return h.runWithClaim(ctx, request, emit)
	}
	release, problem := h.Admission.Admit(ctx, request)
	if problem != nil {
		return failedResult(problem)
	}
	result := Result{Outcome: OutcomeFailed}
	defer func() { release(result.Outcome) }()
	result = h.runWithClaim(ctx, request, emit)
	return result
}

// runWithClaim claims the key of an at-most-once request and runs it. Without
// Claims such a request is refused, since a repeat of its key could run again.
func (h *Handler) runWithClaim(ctx context.Context, request *Request, emit func([]byte) error) Result {
	if !request.Kind.AtMostOnce() {
		return h.Executor.Execute(ctx, request, ExecutionOptions{Emit: emit})
	}
	if h.Claims == nil {
		return failedResult(notRunProblem(http.StatusServiceUnavailable, ProblemUnavailable,
			"claims are unavailable", "this instance cannot serve at-most-once kinds"))
	}
	claim, recorded, problem := h.acquireClaim(ctx, request)
	switch {
	case problem != nil:
		return failedResult(problem)
	case recorded != nil:
		return replay(recorded, emit)
	}
	result := h.Executor.Execute(ctx, request, ExecutionOptions{Claim: claim, Emit: emit})
	h.settle(ctx, claim, request, result)
	return result
}

// acquireClaim claims the key of a request. It waits for a running attempt with the
// same key until the deadline of the request.
func (h *Handler) acquireClaim(ctx context.Context, request *Request) (Claim, *RecordedAnswer, *Problem) {
	ctx, cancel := context.WithTimeout(ctx, request.Deadline.Sub(h.Now()))
	defer cancel()
	return h.Claims.Claim(ctx, request)
}

// settle records the outcome of a claimed request, or frees its key when no
// non-idempotent call can have run. It continues when the caller disconnects.
func (h *Handler) settle(ctx context.Context, claim Claim, request *Request, result Result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	var err error
	switch result.Outcome {
	case OutcomeCompleted, OutcomeUnknown:
		err = claim.Finish(ctx, result.Outcome, result.Answer)
	default:
		err = claim.Release(ctx)
	}
	if err != nil {
		events.ClaimNotRecorded.Log(ctx, h.Executor.Logger,
			slog.String("organisation", request.Organisation.Name),
			slog.String("kind", request.Kind.Name),
			slog.String("outcome", string(result.Outcome)),
			slog.Any("error", err))
	}
}

// replay answers a repeated key from its record.
func replay(recorded *RecordedAnswer, emit func([]byte) error) Result {
	if recorded.Outcome == OutcomeCompleted && recorded.Answer != nil {
		if emit != nil {
			// A failed write means that the connection to the caller is broken.
			_ = emit(asText(recorded.Answer))
		}
		return Result{Outcome: OutcomeCompleted, Answer: recorded.Answer}
	}
	problem := &Problem{
		Type: ProblemRecorded, Title: "the key was used before", Status: http.StatusConflict,
		Detail: "the outcome of the earlier request is recorded", Outcome: recorded.Outcome, SHA256: recorded.SHA256,
	}
	if recorded.Outcome == OutcomeCompleted {
		problem.Status, problem.Detail = http.StatusGone, digestOnlyDetail
	}
	return failedResult(problem)
}
