// Package stagework forms the calls to the servers of one stage service from the
// pieces of many requests. Stage servers earn their throughput only with full
// calls, and no instance alone has enough pieces at a time; so the pieces of all
// instances of a region meet in one Queue. It does no I/O and reads no clock.
package stagework

import (
	"slices"
	"time"
)

// ServerProfile is how one server of the service works.
type ServerProfile struct {
	// Slots is the number of calls in progress at once.
	Slots int
	// Batch is the largest number of pieces in a call.
	Batch int
	// CallTime is the time of a call without pieces, PieceTime what a piece adds.
	CallTime  time.Duration
	PieceTime time.Duration
	// RoomBytes is the memory for results; 0 for no bound.
	RoomBytes int64
	// ResultLife is how long a result is kept after its call.
	ResultLife time.Duration
	// LinkRate is the speed of a server's link in bytes a second; 0 when unknown.
	LinkRate int64
}

// CallDuration returns the time of a call with a number of pieces.
func (s ServerProfile) CallDuration(pieces int) time.Duration {
	return s.CallTime + time.Duration(pieces)*s.PieceTime
}

// Server is one server of the service.
type Server struct {
	ID            string
	FailureDomain string
}

// JobID names a job within a Queue.
type JobID uint64

// Job is the pieces of one stage of one request.
type Job struct {
	ID JobID
	// Pieces are the numbers of the pieces to produce.
	Pieces []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// Due is when the stage should end for an answer on time, Deadline when it
	// must end for an answer within the deadline.
	Due      time.Time
	Deadline time.Time
	// FailureDomain is where the results are used.
	FailureDomain string
	// Started is true when earlier stages of the request have run.
	Started bool
	// InputBytes is the approximate size of all inputs of one piece.
	InputBytes int64
}

// CallID names a call within a Queue.
type CallID uint64

// Item is one piece of a call.
type Item struct {
	Job   JobID
	Piece int
}

// Call is one call to make.
type Call struct {
	ID     CallID
	Server string
	Items  []Item
	// CrossDomain is the number of pieces whose results are used in another failure
	// domain than the server's.
	CrossDomain int
	// Waiting is the number of pieces in the queue that are not in the call, and
	// RoomLeft the memory for results in bytes that the server has left beside it.
	Waiting  int
	RoomLeft int64
	// FullyDispatched lists the jobs whose last waiting pieces are in the call, and FetchTime
	// is how long the server takes at most to fetch the inputs of all pieces.
	FullyDispatched []JobID
	FetchTime       time.Duration
	// Timeout is how long the call may take before its server is given up.
	Timeout time.Duration
}

// Status says how one piece, or a whole call, ended.
type Status uint8

// Ends of a piece.
const (
	// Produced pieces have a result.
	Produced Status = iota
	// Late pieces were dropped by the server because their time was over.
	Late
	// InputGone pieces had an input that no longer exists.
	InputGone
	// NoRoom pieces found no memory for their result.
	NoRoom
	// Failed pieces ran into an error, or their call broke.
	Failed
	// Refused pieces belong to a call that the server did not take.
	Refused
)

// Outcome is the end of one item of a call.
type Outcome struct {
	Status Status
	// Result is the handle of a produced piece.
	Result string
}

// SameOutcome returns n outcomes with one status.
func SameOutcome(status Status, n int) []Outcome {
	return slices.Repeat([]Outcome{{Status: status}}, n)
}

// Refusal says why a job ended without its results.
type Refusal string

// Reasons why a job ended without its results.
const (
	// RefusedLate jobs can't end in time.
	RefusedLate Refusal = "late"
	// RefusedNoServer jobs found no server of the service.
	RefusedNoServer Refusal = "no_server"
	// RefusedInputGone jobs lost an input, which has to be produced again.
	RefusedInputGone Refusal = "input_gone"
	// RefusedFailed jobs failed at several servers.
	RefusedFailed Refusal = "failed"
	// RefusedMoved jobs had not begun when the instance that forms the calls began to
	// stop. Another instance takes them.
	RefusedMoved Refusal = "moved"
)

// EndedJob is a job that has ended.
type EndedJob struct {
	Job JobID
	// Results are the handles in the order of the pieces, when Refusal is empty.
	Results []string
	Refusal Refusal
}

// Effects are what a change of the queue asks its caller to do.
type Effects struct {
	Ended []EndedJob
	// Orphans are results that no job waits for. They are to be freed.
	Orphans []string
}

// String returns the name of the status for logs.
func (s Status) String() string {
	return [...]string{"produced", "late", "input_gone", "no_room", "failed", "refused"}[s]
}
