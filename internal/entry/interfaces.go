package entry

import (
	"context"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// ConfigurationSource gives the configuration in force.
type ConfigurationSource interface {
	// Current returns a configuration that nobody changes any more.
	Current() *pipeline.Set
}

// Admission decides when a request starts.
type Admission interface {
	// Admit waits until the request may start, or returns the problem with which
	// it is refused. After a grant the caller calls release once.
	Admit(ctx context.Context, request *Request) (release func(Outcome), problem *Problem)
}

// Claims reserves the idempotency keys of at-most-once requests.
type Claims interface {
	// Claim returns a granted claim, or the recorded answer of an earlier request
	// with the same key, or the problem with which the request is refused.
	Claim(ctx context.Context, request *Request) (Claim, *RecordedAnswer, *Problem)
}

// Claim is the right to run one request once.
type Claim interface {
	// Usable reports whether a non-idempotent call may still be sent. It is false
	// when the grant is too old, for example after the process was paused.
	Usable() bool
	// Finish records the outcome and, when completed, the answer.
	Finish(ctx context.Context, outcome Outcome, answer []byte) error
	// Release frees the key after a request that certainly had no effect.
	Release(ctx context.Context) error
}

// RecordedAnswer is the answer to an earlier request with the same key.
type RecordedAnswer struct {
	Outcome Outcome
	// Answer is the whole answer; nil when only its digest was recorded.
	Answer []byte
	// SHA256 is the digest of the answer in hexadecimal.
	SHA256 string
}

// Query describes the backend server that a stage needs.
type Query struct {
	Pool         string
	Stage        string
	Kind         string
	Model        string
	PrefixKey    string
	Organisation string
	Class        pipeline.Class
	// Idempotent is true when the call may be hedged or sent again.
	Idempotent bool
	// LinkBytes bounds what may cross the link between regions; 0 keeps the call
	// in the region.
	LinkBytes int64
	// Leave is true when the request was admitted for another region, because its
	// own could not answer in time.
	CrossRegion bool
	// Remaining is the time left for the stage.
	Remaining time.Duration
	// Excluded lists the IDs of servers that were already tried.
	Excluded []string
}

// Picker chooses backend servers.
type Picker interface {
	// Pick chooses a server and counts a call in flight there.
	Pick(query Query) (PickedServer, bool)
}

// PickedServer is a chosen server with a call in flight.
type PickedServer interface {
	Server() backend.Server
	// FirstByte reports that the answer began.
	FirstByte()
	// Done ends the call with its error, nil for a whole answer, and the number of
	// bytes sent and received. It is called once. An error that wraps
	// context.Canceled tells nothing about the server: the call was given up, for
	// example because a hedge won.
	Done(err error, bytes int64)
}
