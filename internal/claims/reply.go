package claims

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/claim"
)

// Request is a request for a claim.
type Request struct {
	ID         claim.ID
	BodySHA256 claim.Digest
	// Retention is how long the key is kept after the last record of its claim.
	Retention time.Duration
}

// Refusal is the reason for a reply with neither a grant nor an answer.
type Refusal int

// Refusals.
const (
	// RefusedStoreUnavailable means that the claim was not granted because the store
	// can't be reached. Nothing ran.
	RefusedStoreUnavailable Refusal = iota + 1
	// RefusedBodyMismatch means that the key was used with another body.
	RefusedBodyMismatch
	// RefusedOutcomeUnknown means that an earlier attempt may have run and that its
	// outcome is unknown.
	RefusedOutcomeUnknown
	// RefusedReleasePending means that an earlier attempt had no effect but that its
	// release is not recorded yet. Nothing ran.
	RefusedReleasePending
	// RefusedAnswerUnavailable means that an earlier attempt has finished and that its
	// answer can't be read now.
	RefusedAnswerUnavailable
	// RefusedStillRunning means that an earlier attempt was still running when ctx ended.
	RefusedStillRunning
)

// Reply is the result of a request. Exactly one of its fields is set.
type Reply struct {
	Grant   *Grant
	Answer  *claim.Answer
	Refusal Refusal
}
