package entry

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/claims"
)

// waitingClaims stands for a key whose holder never answers.
type waitingClaims struct{}

func (waitingClaims) Claim(ctx context.Context, _ *Request) (Claim, *RecordedAnswer, *Problem) {
	<-ctx.Done()
	return nil, nil, claimRefusal(claims.RefusedStillRunning)
}

// Guards against a repeated key that waits for a paused holder beyond the deadline
// of its request.
func TestClaimWaitsUntilDeadline(t *testing.T) {
	c := qt.New(t)
	h := newTestHandler(&fakeCaller{}, waitingClaims{})
	recorder := do(h, "order", "{}", http.Header{"Idempotency-Key": {"k"}, "Grpc-Timeout": {"50m"}})
	c.Assert(recorder.Code, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(recorder.Header().Get(HeaderOutcome), qt.Equals, string(OutcomeUnknown))
}
