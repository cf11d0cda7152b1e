// Package admission decides when requests start. A Queue guards one pool: it
// holds requests by class, priority and organisation, starts them within an
// adaptive concurrency limit, and refuses at once those that cannot be answered
// by their deadline. It does no I/O and reads no clock.
package admission

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Ticket is a request that asks to start.
type Ticket struct {
	// ID is unique among the tickets of a queue and not 0.
	ID           uint64
	Class        pipeline.Class
	Priority     int
	Organisation string
	// Weight is the organisation's share under contention; 0 means 1.
	Weight int
	// Deadline is when the whole answer is needed.
	Deadline time.Time
}

// Verdict is the state of a ticket.
type Verdict uint8

// Verdicts.
const (
	// Waiting tickets get another decision later.
	Waiting Verdict = iota
	// Admitted tickets start, and are released when they end.
	Admitted
	// Refused tickets never start.
	Refused
)

// Reason says why a ticket was refused.
type Reason string

// Reasons of a refusal.
const (
	// ReasonDeadline means that the answer would come too late.
	ReasonDeadline Reason = "deadline"
	// ReasonFull means that the queue is as long as it may be.
	ReasonFull Reason = "queue_full"
	// ReasonNoServer means that the pool has no server.
	ReasonNoServer Reason = "no_server"
)

// Decision is what becomes of a ticket.
type Decision struct {
	TicketID uint64
	Verdict  Verdict
	Reason   Reason
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
}

// Result is the end of an admitted request.
type Result struct {
	// Duration is the time since the admission.
	Duration time.Duration
	// Completed is true when the request has its whole answer.
	Completed bool
}

// Shares of the limit.
const (
	// LongShare is the share that long work may take.
	LongShare = 0.6
	// LongReserve is the share that waiting long work gets before any other.
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
