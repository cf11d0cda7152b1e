// Package admission implements admission control for pools of backend servers. A
// Queue serves one pool: it queues requests by class, priority and organisation,
// admits them within an adaptive concurrency limit, and refuses at once those that
// cannot be answered by their deadline. The package does no I/O and reads no clock.
package admission

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Ticket describes a request to the queue that decides on its admission.
type Ticket struct {
	// ID is unique among the tickets of a queue and not 0.
	ID    uint64
	Class pipeline.Class
	// Priority orders the tickets of a class; the highest value starts first.
	Priority     int
	Organisation string
	// Weight is the organisation's relative share when organisations compete; 0 means 1.
	Weight int
	// Deadline is when the complete answer must be available.
	Deadline time.Time
}

// Verdict says whether a ticket waits, may start or is refused.
type Verdict uint8

// Verdicts.
const (
	// Waiting tickets are queued and get a final decision later.
	Waiting Verdict = iota
	// Admitted tickets may start. The caller releases them when they end.
	Admitted
	// Refused tickets never start.
	Refused
)

// Reason is why a ticket was refused.
type Reason string

// Reasons of a refusal.
const (
	// ReasonDeadline means that the answer would come too late.
	ReasonDeadline Reason = "deadline"
	// ReasonFull means that the queue has reached its maximum length.
	ReasonFull Reason = "queue_full"
	// ReasonNoServer means that the pool has no server.
	ReasonNoServer Reason = "no_server"
)

// Decision is the queue's decision on a ticket.
type Decision struct {
	TicketID uint64
	Verdict  Verdict
	Reason   Reason
	// RetryAfter is the delay after which a refused caller may retry.
	RetryAfter time.Duration
}

// Result is how an admitted request ended.
type Result struct {
	// Duration is the time from the admission to the end.
	Duration time.Duration
	// Completed is true when the request was answered completely.
	Completed bool
}

// Fractions of the concurrency limit.
const (
	// LongShare is the most that requests of the long class may use.
	LongShare = 0.6
	// LongReserve is the part that waiting requests of the long class get before those
	// of any other class.
	LongReserve = 0.2
)

const (
	classInteractive = iota
	classNormal
	classLong
	classCount
)

func classIndex(class pipeline.Class) int {
	switch class {
	case pipeline.ClassInteractive:
		return classInteractive
	case pipeline.ClassLong:
		return classLong
	default:
		return classNormal
	}
}
