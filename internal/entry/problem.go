package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome states whether a request was completed, and whether it may have had an
// effect.
type Outcome string

// Values of Outcome.
const (
	// OutcomeCompleted means that the complete answer was delivered.
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun means that no backend server ran any stage of the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeFailed means that a stage ran, that there is no answer, and that no
	// non-idempotent call can have run.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that a non-idempotent call may have run.
	OutcomeUnknown Outcome = "unknown"
)

// HeaderOutcome carries the outcome of an answer that is not streamed.
const HeaderOutcome = "Coltsfootdrift-Outcome"

// Problem is an error answer to a caller in the format of problem details
// (RFC 9457).
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterMS is the time in milliseconds after which the caller may retry; 0
	// when there is no hint.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// SHA256 is the digest of a recorded answer in hexadecimal.
	SHA256 string `json:"sha256,omitempty"`
}

// Problem types, as URIs relative to the documentation.
const (
	ProblemInvalid     = "/problems/invalid-request"
	ProblemNotFound    = "/problems/not-found"
	ProblemDeadline    = "/problems/deadline"
	ProblemUnavailable = "/problems/unavailable"
	ProblemStage       = "/problems/stage-failed"
	ProblemRecorded    = "/problems/key-used"
)

func (p *Problem) Error() string {
	return p.Title + ": " + p.Detail
}

// notRunProblem returns the problem of a request that was refused before any stage
// ran.
func notRunProblem(status int, problemType, title, detail string) *Problem {
	return &Problem{Type: problemType, Title: title, Status: status, Detail: detail, Outcome: OutcomeNotRun}
}

// write sends the problem as the HTTP response.
func (p *Problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfterMS > 0 {
		seconds := math.Ceil((time.Duration(p.RetryAfterMS) * time.Millisecond).Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
