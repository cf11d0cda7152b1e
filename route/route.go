// Package route is the configuration of a gateway as a table: which requests go
// to which service, under which limits, and which organisation a key belongs to.
// It does no I/O and reads no clock.
package route

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// Kind says what a request of a route may do.
type Kind uint8

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests may run at most once for each attempt of a client.
	NonIdempotent
	// Stream requests are answered with events. They may run once unless the
	// route is resumable.
	Stream
)

// Configuration is one version of what the operator put in force.
type Configuration struct {
	// Version rises with each change, in uneven steps.
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Route says what happens to the requests of a host whose path begins with a
// prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Split divides the requests among services by weight.
	Split []Weight
	// Timeout is the longest time that a client is kept waiting.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream, within
	// which it is on time.
	Target time.Duration
	// MaxFirstEventWait is how long a client waits for the first event of a stream before it
	// leaves; 0 when only its deadline bounds that.
	MaxFirstEventWait time.Duration
	// MaxAttempts is the number of backend servers that one attempt of a client
	// may be sent to.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another server after the last event.
	Resumable bool
	// Stages is the work that must be done before the request can run.
	Stages []Stage
}

// Weight is a service's part of the requests of a route.
type Weight struct {
	Service string
	Weight  int
}

// Stage is one stage of a route. Its number is its place among the stages.
type Stage struct {
	Service string
	// After holds the numbers of the stages whose results it needs.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Service is a set of equivalent backend servers.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one server from all instances.
	MaxConnections int
	// StageProfile is set for services that run the pieces of stages.
	StageProfile *stagework.ServerProfile
	// Engine is set for services of model servers.
	Engine *EngineProfile
}

// EngineProfile is how one model server works.
type EngineProfile struct {
	// CacheTokens is the memory for prompts; 0 when it is not known.
	CacheTokens int
	// TokenBytes is the memory that a token of a prompt takes, and LinkRate the speed
	// in bytes a second at which servers copy it from each other; 0 when they can't.
	TokenBytes float64
	LinkRate   float64
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority goes before the priority of the route; 0 is the highest.
	Priority int
	// HasPriority is false for organisations without a priority of their own.
	HasPriority bool
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Repeatable reports whether requests of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Attempts returns the number of servers that an attempt may be sent to, at
// least 1.
func (r *Route) Attempts() int {
	return max(1, r.MaxAttempts)
}

// CopyRate returns the number of prompt tokens a second that one server copies from
// another; 0 when it can't.
func (e *EngineProfile) CopyRate() float64 {
	if e.TokenBytes <= 0 {
		return 0
	}
	return e.LinkRate / e.TokenBytes
}
