package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/claim"
	"github.com/coltsfootdrift/coltsfootdrift/internal/claims"
)

// releaseRetryAfter is the Retry-After delay for a caller whose key is about to be
// freed.
const releaseRetryAfter = time.Second

// storeRetryAfter is the Retry-After delay while the store is down. It equals the
// longest backoff after an outage.
const storeRetryAfter = 5 * time.Second

// StoreClaims implements Claims with records in the store.
type StoreClaims struct {
	Claims *claims.Claims
}

// Claim implements Claims. It waits for a running attempt with the same key until
// ctx ends.
func (s StoreClaims) Claim(ctx context.Context, request *Request) (Claim, *RecordedAnswer, *Problem) {
	reply := s.Claims.Claim(ctx, claims.Request{
		ID:         claim.NewID(request.Organisation.Name, request.Pipeline.Name, request.Kind.Name, request.Key),
		BodySHA256: sha256.Sum256(request.Body),
		Retention:  claimRetention(request),
	})
	switch {
	case reply.Grant != nil:
		return storeClaim{reply.Grant}, nil, nil
	case reply.Answer != nil:
		return nil, recordedAnswer(reply.Answer), nil
	default:
		return nil, nil, claimProblem(reply.Refusal)
	}
}

// claimRetention returns how long a claim is kept. It is at least the longest
// duration of the request, so that a key does not expire while its attempt runs.
func claimRetention(request *Request) time.Duration {
	return max(request.Kind.Retention(), request.Kind.MaxWait()+claims.GrantLifetime)
}

func recordedAnswer(answer *claim.Answer) *RecordedAnswer {
	recorded := &RecordedAnswer{Outcome: Outcome(answer.Outcome), Answer: answer.Body}
	if answer.SHA256 != (claim.Digest{}) {
		recorded.SHA256 = hex.EncodeToString(answer.SHA256[:])
	}
	return recorded
}

// claimProblem returns the problem for a caller whose key was not granted and has
// no recorded answer.
func claimProblem(reason claims.Refusal) *Problem {
	switch reason {
	case claims.RefusedBodyMismatch:
		return notRunProblem(http.StatusConflict, ProblemInvalid, "key used with another body",
			"the idempotency key belongs to a request with another body")
	case claims.RefusedStoreUnavailable:
		return claimUnavailable("the store cannot be reached", storeRetryAfter)
	case claims.RefusedReleasePending:
		return claimUnavailable("an earlier attempt had no effect and its key is being freed", releaseRetryAfter)
	case claims.RefusedAnswerUnavailable:
		return &Problem{
			Type: ProblemUnavailable, Title: "the recorded answer cannot be read now", Status: http.StatusServiceUnavailable,
			Detail: "an earlier request with the same key has finished", Outcome: OutcomeUnknown,
			RetryAfterMS: storeRetryAfter.Milliseconds(),
		}
	case claims.RefusedStillRunning:
		return &Problem{
			Type: ProblemDeadline, Title: "deadline expired", Status: http.StatusGatewayTimeout,
			Detail: "an earlier request with the same key is still running", Outcome: OutcomeUnknown,
		}
	}
	return &Problem{
		Type: ProblemRecorded, Title: "the key was used before", Status: http.StatusConflict,
		Detail: "an earlier request with the same key may have run", Outcome: OutcomeUnknown,
	}
}

// claimUnavailable returns the problem of a request whose key cannot be claimed
// now; the caller may retry after the given time.
func claimUnavailable(detail string, after time.Duration) *Problem {
	problem := notRunProblem(http.StatusServiceUnavailable, ProblemUnavailable, "keys cannot be claimed now", detail)
	problem.RetryAfterMS = after.Milliseconds()
	return problem
}

// storeClaim implements Claim with a grant from the store.
type storeClaim struct {
	grant *claims.Grant
}

func (c storeClaim) Usable() bool { return c.grant.Usable() }

func (c storeClaim) Finish(ctx context.Context, outcome Outcome, answer []byte) error {
	return c.grant.Finish(ctx, string(outcome), answer)
}

func (c storeClaim) Release(ctx context.Context) error { return c.grant.Release(ctx) }
