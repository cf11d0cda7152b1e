// Package routing chooses backend servers. A Pool tracks the servers of one pool
// as one instance sees them and picks one per call; Hedger decides when a second
// call is worth sending, and Plan divides a deadline among stages. It does no I/O
// and reads no clock: the caller passes time and randomness. A value is guarded by
// one mutex of its caller.
package routing

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// ServerIndex names a server of a Pool. It stays valid while the server is
// listed or has a call in flight.
type ServerIndex int

// Server is one backend server of a pool.
type Server struct {
	ID            string
	Region        string
	FailureDomain string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Incarnation rises with each restart of the server.
	Incarnation int64
}

// Location is where the instance runs.
type Location struct {
	Region        string
	FailureDomain string
}

// Query describes the server that a call needs.
type Query struct {
	Class pipeline.Class
	// Prefix is the hash of the prompt prefix; 0 for none.
	Prefix uint64
	// AllowRemote is true when the call may leave the region and the link budget has
	// room for it.
	AllowRemote bool
	// PreferRemote is true when the own region cannot answer in time. It counts only
	// with Link.
	PreferRemote bool
	// AllowProbe is true when the call may go to a server with a lowered weight:
	// idempotent calls that can be hedged.
	AllowProbe bool
	// Remaining is the time left for the stage; 0 for no deadline.
	Remaining time.Duration
	// Excluded lists servers that were already tried.
	Excluded []ServerIndex
}

// Outcome says how a call ended.
type Outcome uint8

// Outcomes of a call.
const (
	// Answered calls returned a whole answer.
	Answered Outcome = iota
	// Failed calls broke or timed out.
	Failed
	// Abandoned calls were cancelled by this side, as the loser of a hedge is.
	Abandoned
	// Refused calls did not run.
	Refused
	// Unreachable calls found no server at the address.
	Unreachable
)

// Result is the end of a call.
type Result struct {
	Outcome Outcome
	// Latency is the time since the call was started.
	Latency time.Duration
}

// LoadReport is what a server says about itself, some time ago.
type LoadReport struct {
	Running int
	Waiting int
}

// ServerCount is the number of calls that another instance has in flight at a server.
type ServerCount struct {
	ID       string
	InFlight int
	Long     int
}

// Bounds of the decisions.
const (
	// LongShare is the share of a server's slots that long kinds may take.
	LongShare = 0.6
	// MaxLoweredShare is the share of a pool whose weight may be lowered.
	MaxLoweredShare = 0.3
	// SlowStart is the time over which a new server is given its full weight.
	SlowStart = 10 * time.Second
	// BoundedLoad is the multiple of the mean load above which a server is
	// skipped by prefix affinity.
	BoundedLoad = 1.25
)

const classCount = 3

// classIndex maps a class to an array index.
func classIndex(class pipeline.Class) int {
	switch class {
	case pipeline.ClassInteractive:
		return 0
	case pipeline.ClassLong:
		return 2
	default:
		return 1
	}
}

const longIndex = 2
