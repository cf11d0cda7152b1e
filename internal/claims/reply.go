package claims

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/claim"
)

// Request asks for a claim.
type Request struct {
	ID         claim.ID
	BodySHA256 claim.Digest
	// Retention is how long the key is kept after its last record.
	Retention time.Duration
}

// Refusal says why there is neither a grant nor an answer.
type Refusal int

// Refusals.
const (
	// RefusedStore means that the store can't be reached: nothing ran.
	RefusedStoreUnavailable Refusal = iota + 1
	// RefusedBody means that the key was used with another body.
	RefusedBodyMismatch
	// RefusedUnknown means that an earlier attempt may have run and its outcome is
	// not known.
	RefusedOutcomeUnknown
	// RefusedReleasing means that an earlier attempt had no effect but its release
	// is not recorded yet: nothing ran.
	RefusedReleasePending
	// RefusedUnread means that an earlier attempt finished and that its answer can't
	// be read now.
	RefusedAnswerUnavailable
	// RefusedWaiting means that an earlier attempt was still running when ctx ended.
	RefusedStillRunning
)

// Reply is the result of a request: one of its fields is set.
type Reply struct {
	Grant   *Grant
	Answer  *claim.Answer
	Refusal Refusal
}
