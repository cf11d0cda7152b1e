// Package ratelimit keeps the limits that backend servers name for the requests of all
// instances together: which limits are in force, and which request may be sent under them.
//
// The package does no I/O and reads no clock.
package ratelimit

import "time"

// Rate is a number of requests per second.
type Rate float64

const (
	// MinRate is the lowest rate that is kept. A server that named a lower one, or 0, still
	// gets a request at this rate, whose answer shows whether the limit is still in force.
	MinRate Rate = 0.2
	// MaxRate is the highest rate that is kept.
	MaxRate Rate = 1e6
)

// Statement is what one answer of a server says of its limit.
type Statement struct {
	Kind StatementKind
	// Rate is the named limit; 0 unless Kind is Named.
	Rate Rate
}

// StatementKind tells whether an answer names a limit.
type StatementKind uint8

// Kinds of statements.
const (
	// Absent is an answer without a limit.
	Absent StatementKind = iota
	Named
	// Malformed is an answer whose limit can't be read. It neither sets nor ends one.
	Malformed
)

// MostWithin returns the largest number of times, which are in order, in any span of a length.
func MostWithin(times []time.Time, span time.Duration) (most int) {
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
