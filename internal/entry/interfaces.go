package entry

import (
	"context"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// ConfigurationSource provides the current configuration.
type ConfigurationSource interface {
	// Current returns the configuration in force; nil when there is none yet. It is
	// immutable.
	Current() *pipeline.Set
}

// Admission decides when a request may start.
type Admission interface {
	// Admit waits until the request may start, or returns the problem with which
	// it is refused. The caller must call release once after an admitted request.
	Admit(ctx context.Context, request *Request) (release func(Outcome), problem *Problem)
}

// Claims reserves idempotency keys for requests.
type Claims interface {
	// Claim returns a granted claim, or the recorded answer of an earlier request
	// with the same key, or the problem with which the request is refused.
	Claim(ctx context.Context, request *Request) (Claim, *RecordedAnswer, *Problem)
}

// Claim grants the right to run one request once.
type Claim interface {
	// Usable reports whether a non-idempotent call may still be sent. It is false
	// when the grant is too old, for example after the process was paused.
	Usable() bool
	// Finish records the outcome, and the answer of a completed request.
	Finish(ctx context.Context, outcome Outcome, answer []byte) error
	// Release frees the key of a request that certainly had no effect.
	Release(ctx context.Context) error
}

// RecordedAnswer is the answer to an earlier request with the same key.
type RecordedAnswer struct {
	Outcome Outcome
	// Answer is the complete answer; nil when only its digest was recorded.
	Answer []byte
	// SHA256 is the digest of the answer in hexadecimal; empty for none.
	SHA256 string
}

// Query describes a call of a stage, for which a backend server is chosen.
type Query struct {
	Pool         string
	Stage        string
	Kind         string
	Model        string
	PrefixKey    string
	Organisation string
	Class        pipeline.Class
	// Idempotent is true when the call may be hedged or retried.
	Idempotent bool
	// LinkBytes is the largest number of bytes that the call may move over the link
	// between regions; 0 keeps the call in the region.
	LinkBytes int64
	// CrossRegion is true when the request was admitted for another region, because
	// its own could not answer in time.
	CrossRegion bool
	// Remaining is the time left for the call.
	Remaining time.Duration
	// Excluded lists the IDs of servers that were already tried.
	Excluded []string
}

// Picker chooses backend servers.
type Picker interface {
	// Pick chooses a server and counts a call in flight there. It returns false when
	// no server is available.
	Pick(query Query) (PickedServer, bool)
}

// PickedServer is a server that a Picker chose, with a call in flight.
type PickedServer interface {
	Server() backend.Server
	// FirstByte records the arrival of the first byte of the answer.
	FirstByte()
	// Done ends the call with its error, which is nil for a complete answer, and the
	// number of bytes sent and received. It must be called once. An error that wraps
	// context.Canceled does not count against the server: the call was cancelled,
	// for example because another one answered first.
	Done(err error, bytes int64)
}
