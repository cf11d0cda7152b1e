// Package quarantine finds the parts of prompts under which model servers crash, and decides
// which requests may still be sent to a server.
//
// A crash is attributed to the parts of the requests whose answers had not begun when the
// server ended. A part becomes a suspect with its first crash and is cleared by the next
// answer under it that goes on beyond its start. Requests with a suspect run one at a time,
// as a trial. After minCrashes crashes in minWaves waves without an answer in between, the
// parts that all crashes have in common are quarantined: requests with all of them are refused.
//
// The package does no I/O and reads no clock.
package quarantine

import (
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes after which a part is quarantined, and minWaves
	// the number of waves in which they must have come. Servers that crash
	// together, with the rack or the failure domain that they are in, are one wave.
	minCrashes = 3
	minWaves   = 2
	// waveSeparation is how long after its first crash a wave ends. It ends sooner with the
	// crash of a request that was sent after that.
	waveSeparation = 250 * time.Millisecond
	// minEstablishedTime is the least time from the first crash of an established part to
	// its quarantine. The answers to other requests with it arrive within that time.
	minEstablishedTime = 1500 * time.Millisecond
	// answersPerPart is how many answers under an established part are expected before it
	// counts as one without answers: so many answers to other requests must have been given
	// since its first crash, divided by its share of the requests.
	answersPerPart = 3
	// maxUnansweredShare is the largest share of the requests that a part may have which is
	// quarantined although no other request was answered either. Above it, the service
	// rather than the part is at fault, or nearly all requests would be refused.
	maxUnansweredShare = 0.5
	// clockTolerance is by how much the times of two instances may differ.
	clockTolerance = 20 * time.Millisecond
	// evidenceLifetime is how long a crash counts.
	evidenceLifetime = 10 * time.Minute
	// Lifetime is how long a quarantine lasts. After it, one request is tried again.
	Lifetime = 10 * time.Minute
	// retrialPeriod is how long one more crash quarantines a part again.
	retrialPeriod = time.Hour
	// trialTimeout is how long a trial whose outcome is not reported blocks the next one.
	trialTimeout = 3 * time.Second
	// HoldTime is how long requests with a part wait when it is not known whether a server
	// has ended under it.
	HoldTime = 4 * time.Second
	// warmUp is how long a tracker that has just begun to receive the reports of other
	// instances requires a second wave before requests with a part need a trial, whether it
	// has seen answers under the part or not.
	warmUp = 3 * time.Second
	// MaxParts bounds the parts of a quarantine.
	MaxParts = 64
	// maxSuspects and maxQuarantines bound the parts and quarantines of one service.
	maxSuspects    = 2048
	maxQuarantines = 256
)

// ServerStart identifies one run of a server's process.
type ServerStart struct {
	ID          string
	Incarnation int64
}

// Crash is the end of a server under a request whose answer had not begun.
type Crash struct {
	Server ServerStart
	// Request is the ID of the request.
	Request string
	// Parts are the IDs of all parts of the request's prompt.
	Parts []string
	// SentAt is when the request was sent to the server, and CutAt when it broke off.
	SentAt, CutAt time.Time
	// Remote is true for a crash that was reported from another region. It makes its parts
	// suspects but begins no quarantine, because the answers that clear them are reported
	// within that region.
	Remote bool
}

// Record is a quarantine as the instances share it.
type Record struct {
	// ID is the same for all versions of a quarantine.
	ID string
	// Parts are the parts that a request must all have to be refused, sorted.
	Parts []string
	Until time.Time
	// Crashes is the number of servers that ended before the quarantine began.
	Crashes int
	// Lifted is true for a quarantine that an operator or an answer ended before Until.
	Lifted bool
}

// Equal reports whether two records say the same.
func (r Record) Equal(other Record) bool {
	return r.ID == other.ID && slices.Equal(r.Parts, other.Parts) && r.Lifted == other.Lifted
}

// Verdict says what may be done with a request.
type Verdict int

const (
	// Admitted requests have no suspect part.
	Admitted Verdict = iota
	// OnTrial requests have a suspect part, and no other request with it is on trial.
	OnTrial
	// Waiting requests have a suspect part that another request is on trial for.
	Waiting
	// Quarantined requests are refused.
	Quarantined
)

func (v Verdict) String() string {
	return [...]string{"admitted", "on trial", "waiting", "quarantined"}[v]
}

// Decision is the verdict on one request.
type Decision struct {
	Verdict Verdict
	// Isolate is true for a trial that should not share its server with other requests that
	// have not begun to be answered.
	Isolate bool
	// Quarantine is the ID of the quarantine, and Remaining the time until it ends.
	Quarantine string
	Remaining  time.Duration
}
