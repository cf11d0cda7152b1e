package entry

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/claims"
)

// waitingClaims implements Claims for a key whose holder never answers.
type waitingClaims struct{}

func (waitingClaims) Claim(ctx context.Context, _ *Request) (Claim, *RecordedAnswer, *Problem) {
	<-ctx.Done()
	return nil, nil, claimProblem(claims.RefusedStillRunning)
}

// Guards against a request with a repeated key that waits beyond its deadline for
// the holder of the key, which is paused.
func TestClaimWaitsUntilDeadline(t *testing.T) {
	c := qt.New(t)
	h := newTestHandler(&fakeCaller{}, waitingClaims{})
	recorder := postRequest(h, "order", "{}", http.Header{"Idempotency-Key": {"k"}, "Grpc-Timeout": {"50m"}})
	c.Assert(recorder.Code, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(recorder.Header().Get(HeaderOutcome), qt.Equals, string(OutcomeUnknown))
}
