// Package stagework batches the pieces of many requests into calls to the servers of
// one stage service. Stage servers reach their throughput only with full batches, and
// no single instance has enough pieces at a time, so one Queue receives the pieces of
// all instances of a region.
//
// A request is divided into stages, and a stage into pieces. A Job is the pieces of
// one stage of one request, not a durable job as in package job. Each piece produces
// one result, which stays in the memory of its server until it is freed. "Room" in
// names means memory for results.
//
// The package does no I/O and reads no clock.
package stagework

import (
	"slices"
	"time"
)

// ServerProfile describes the capacity and speed of one server of the service.
type ServerProfile struct {
	// Slots is the largest number of concurrent calls.
	Slots int
	// Batch is the largest number of pieces in a call.
	Batch int
	// CallTime is the duration of a call without pieces, PieceTime what each piece
	// adds to it.
	CallTime  time.Duration
	PieceTime time.Duration
	// RoomBytes is the memory for results; 0 means unlimited.
	RoomBytes int64
	// ResultLife is how long the server keeps a result after its call.
	ResultLife time.Duration
	// LinkRate is the bandwidth of the server's network link in bytes per second;
	// 0 when unknown.
	LinkRate int64
}

// CallDuration returns the duration of a call with the given number of pieces.
func (p ServerProfile) CallDuration(pieces int) time.Duration {
	return p.CallTime + time.Duration(pieces)*p.PieceTime
}

// Server is one server of the service.
type Server struct {
	ID            string
	FailureDomain string
	// Incarnation differs between the starts of a server under the same ID. A restart
	// loses its results and calls.
	Incarnation int64
}

// Producer is the process that holds a result: one start of a server. An address does not
// identify it, because another server may have it later.
type Producer struct {
	Server      string
	Incarnation int64
}

// Result is a result in the memory of its producer.
type Result struct {
	// Handle is the name by which servers fetch and free the result; empty for no result.
	Handle   string
	Producer Producer
}

// Handles returns the handles of results.
func Handles(results []Result) []string {
	handles := make([]string, len(results))
	for i, r := range results {
		handles[i] = r.Handle
	}
	return handles
}

// JobID identifies a job within a Queue.
type JobID uint64

// Job is the pieces of one stage of one request.
type Job struct {
	ID JobID
	// Pieces are the numbers of the pieces to produce.
	Pieces []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Due is when the stage must end for the request to meet its latency target,
	// Deadline when it must end for the request to meet its deadline.
	Due      time.Time
	Deadline time.Time
	// FailureDomain is the failure domain in which the results are used.
	FailureDomain string
	// Started is true when earlier stages of the request have ended.
	Started bool
	// InputBytes is the approximate total size of the inputs of one piece.
	InputBytes int64
}

// CallID identifies a call within a Queue.
type CallID uint64

// Item is one piece of a call.
type Item struct {
	Job   JobID
	Piece int
}

// Call is a call that the caller of Queue.Next has to make.
type Call struct {
	ID     CallID
	Server string
	// Incarnation is that of the server at the time of Queue.Next.
	Incarnation int64
	Items       []Item
	// CrossDomain is the number of pieces whose results are used in another failure
	// domain than the server's.
	CrossDomain int
	// Waiting is the number of pieces that remain in the queue, and RoomLeft the
	// estimated memory for results, in bytes, that the server has left after the
	// results of this call are reserved.
	Waiting  int
	RoomLeft int64
	// FullyDispatched lists the jobs whose last waiting pieces are in the call.
	// FetchTime is the estimated upper bound of the time in which the server fetches
	// the inputs of all pieces.
	FullyDispatched []JobID
	FetchTime       time.Duration
	// Timeout is how long the call may take before it counts as failed.
	Timeout time.Duration
}

// Status is the outcome of one piece or of a whole call.
type Status uint8

// Statuses of a piece.
const (
	// Produced means that the piece has a result.
	Produced Status = iota
	// Late means that the server dropped the piece because its deadline had passed.
	Late
	// InputGone means that an input of the piece no longer exists.
	InputGone
	// NoRoom means that the server had no memory for the result.
	NoRoom
	// Failed means that the piece ended with an error or the call failed.
	Failed
	// Refused means that the server did not accept the call.
	Refused
	// ServerEnded means that the server ended during the call, perhaps because of one of
	// its pieces.
	ServerEnded
)

// Outcome is the outcome of one item of a call.
type Outcome struct {
	Status Status
	// Handle is that of the result of a produced piece.
	Handle string
}

// SameOutcome returns n outcomes with the same status.
func SameOutcome(status Status, n int) []Outcome {
	return slices.Repeat([]Outcome{{Status: status}}, n)
}

// Refusal is the reason why a job ended without its results.
type Refusal string

// Reasons why a job ended without its results.
const (
	// RefusedLate means that the job can't end before its deadline.
	RefusedLate Refusal = "late"
	// RefusedNoServer means that the service has no server.
	RefusedNoServer Refusal = "no_server"
	// RefusedInputGone means that an input no longer exists and has to be produced
	// again.
	RefusedInputGone Refusal = "input_gone"
	// RefusedFailed means that too many attempts to produce its pieces failed.
	RefusedFailed Refusal = "failed"
	// RefusedMoved means that the instance that forms the calls began to stop before
	// any piece of the job was sent. The job has to be offered to another instance.
	RefusedMoved Refusal = "moved"
)

// EndedJob is a job that has left the queue, with its results or a refusal.
type EndedJob struct {
	Job JobID
	// Results are in the order of Job.Pieces. They are set only when Refusal is empty.
	Results []Result
	Refusal Refusal
}

// Effects lists what the caller has to do after a change of the queue.
type Effects struct {
	// Done lists the ended jobs whose requesters have to be informed.
	Done []EndedJob
	// Orphans are results that no job needs. The caller has to free them.
	Orphans []Result
}

// String returns the name of the status as it appears in logs.
func (s Status) String() string {
	return [...]string{"produced", "late", "input_gone", "no_room", "failed", "refused", "server_ended"}[s]
}
