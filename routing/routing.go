// Package routing chooses the backend server for each call. A Pool tracks the
// servers of one pool as seen by one instance and picks a server per call; a Hedger
// decides whether a call is hedged; a Plan divides a deadline among the stages of a
// pipeline. The package does no I/O and reads no clock: callers pass the time and
// the source of randomness. Callers guard each value with one mutex, and a Hedger
// with the mutex of its Pool.
package routing

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/regions"
)

// ServerIndex identifies a server within a Pool. It stays valid while the server is
// listed or has a call in flight.
type ServerIndex int

// Server is one backend server of a pool.
type Server struct {
	ID            string
	Region        string
	FailureDomain string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Incarnation increases with each restart of the server.
	Incarnation int64
}

// Location is where an instance runs.
type Location struct {
	Region        string
	FailureDomain string
}

// Query describes a call that needs a server.
type Query struct {
	Class pipeline.Class
	// Prefix is the hash of the prompt prefix; 0 if there is none.
	Prefix uint64
	// AllowRemote is true when the call may go to another region and the link budget
	// has room for it.
	AllowRemote bool
	// PreferRemote is true when this instance's region cannot answer in time. It has
	// an effect only with AllowRemote.
	PreferRemote bool
	// AllowProbe is true when the call may probe a server with a lowered weight.
	// Such calls are idempotent and can be hedged.
	AllowProbe bool
	// Remaining is the time left for the stage; 0 means no deadline.
	Remaining time.Duration
	// Excluded lists servers that were already tried.
	Excluded []ServerIndex
	// Regions are the regions whose servers may be picked.
	Regions regions.Set
}

// Outcome is how a call ended.
type Outcome uint8

// Outcomes of a call.
const (
	// Answered calls returned a complete answer.
	Answered Outcome = iota
	// Failed calls were interrupted or timed out.
	Failed
	// Abandoned calls were cancelled by this instance, such as the slower call of a
	// hedged pair.
	Abandoned
	// Refused calls did not run.
	Refused
	// Unreachable calls found no server at the address.
	Unreachable
)

// Result is the outcome and the duration of a call.
type Result struct {
	Outcome Outcome
	// Latency is the time from the start of the call to its end.
	Latency time.Duration
}

// LoadReport is a server's own report of its load. It may be outdated.
type LoadReport struct {
	Running int
	Waiting int
}

// InFlightCount is the number of calls that one instance has in flight at a server.
type InFlightCount struct {
	ID       string
	InFlight int
	// Long is the number of calls of the long class among InFlight.
	Long int
}

// Limits of routing decisions.
const (
	// LongShare is the fraction of a server's slots that calls of the long class may
	// use.
	LongShare = 0.6
	// MaxLoweredShare is the largest fraction of a pool's servers whose weight may
	// be lowered at a time.
	MaxLoweredShare = 0.3
	// SlowStart is the time over which the weight of a new server rises to its full
	// value.
	SlowStart = 10 * time.Second
	// BoundedLoad is the multiple of the mean load above which prefix affinity skips
	// a server.
	BoundedLoad = 1.25
)

const classCount = 3

// classIndex returns the array index of a class.
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

const classLong = 2
