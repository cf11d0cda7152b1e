package claims

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/claim"
)

// Request asks for a claim.
type Request struct {
	ID   claim.ID
	Body claim.Digest
	// Retention is how long the key is kept after its last record.
	Retention time.Duration
}

// Refusal says why there is neither a grant nor an answer.
type Refusal int

// Refusals.
const (
	// RefusedStore means that the store can't be reached: nothing ran.
	RefusedStore Refusal = iota + 1
	// RefusedBody means that the key was used with another body.
	RefusedBody
	// RefusedUnknown means that an earlier attempt may have run and its outcome is
	// not known.
	RefusedUnknown
	// RefusedReleasing means that an earlier attempt had no effect but its release
	// is not recorded yet: nothing ran.
	RefusedReleasing
	// RefusedUnread means that an earlier attempt finished and that its answer can't
	// be read now.
	RefusedUnread
	// RefusedWaiting means that an earlier attempt was still running when ctx ended.
	RefusedWaiting
)

// Reply is the result of a request: one of its fields is set.
type Reply struct {
	Grant   *Grant
	Answer  *claim.Answer
	Refusal Refusal
}
