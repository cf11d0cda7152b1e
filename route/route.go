// Package route holds the configuration of a gateway: which requests go to which
// service, under which limits, and which organisation an API key belongs to. It does no
// I/O and reads no clock. The configuration of entry instances is in package pipeline.
package route

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// Kind determines whether a request may be repeated and how it is answered.
type Kind uint8

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once per attempt of a client.
	NonIdempotent
	// Stream requests are answered with a stream of events. They run at most once
	// unless the route is resumable.
	Stream
)

// Configuration is one version of the configuration that an operator published.
type Configuration struct {
	// Version increases with each change, not always by 1.
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// RequireKeys is true when requests to routes that are not public need the key of an
	// organisation even if there is none.
	RequireKeys bool
	Limits      Limits
}

// Route configures the requests to a host whose path begins with a prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Split divides the requests among services by weight.
	Split []Weight
	// Timeout is the longest time that a client waits for the answer.
	Timeout time.Duration
	// Target is the latency target for the answer, or for the first event of a stream.
	Target time.Duration
	// MaxFirstEventWait is how long a client waits for the first event of a stream
	// before it cancels the request; 0 when only the request's deadline limits it.
	MaxFirstEventWait time.Duration
	// MaxAttempts is the largest number of backend servers that one attempt of a client
	// is sent to.
	MaxAttempts int
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Public is true when requests need no API key.
	Public bool
	// Resumable is true when another server may continue a stream after its last
	// event.
	Resumable bool
	// Stages are the stages that must run before the request is sent to its service.
	Stages []Stage
	// AllowedRegions are the regions in which its requests may be served; empty for all.
	AllowedRegions []string
}

// Weight is the weight of a service in the traffic split of a route.
type Weight struct {
	Service string
	Weight  int
}

// Stage is one stage of a route. Its number is its index in Route.Stages.
type Stage struct {
	Service string
	// After holds the numbers of the stages whose results it needs.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Service is a set of equivalent backend servers, called a pool in packages pipeline and
// routing.
type Service struct {
	Name string
	// MaxConnections is the largest number of connections that all instances together
	// open to one server.
	MaxConnections int
	// ColdRate is the number of requests per second that a cold server of the service takes
	// from all instances together; 0 for no limit.
	ColdRate float64
	// ColdStart is how long a server is cold after its start.
	ColdStart time.Duration
	// StageProfile is set for services that run the pieces of stages.
	StageProfile *stagework.ServerProfile
	// Engine is set for services of model servers.
	Engine *EngineProfile
}

// EngineProfile describes the capacity and speed of one model server.
type EngineProfile struct {
	// CacheTokens is the capacity of the prompt cache in tokens; 0 when unknown.
	CacheTokens int
	// TokenBytes is the size in bytes of a token in the prompt cache. LinkRate is the
	// bandwidth in bytes per second at which servers copy cached tokens from each
	// other. Both are 0 when they can't copy.
	TokenBytes float64
	LinkRate   float64
	// Slots is the number of requests that the server runs at once; 0 when unknown.
	Slots int
}

// Organisation is an organisation with its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority takes precedence over the priority of the route; 0 is the highest.
	Priority int
	// HasPriority is true when Priority is set.
	HasPriority bool
	// AllowedRegions are the regions in which its requests may be served; empty for all.
	AllowedRegions []string
}

// Limits are limits on the size and time of requests.
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

// Attempts returns the largest number of backend servers that one attempt of a client is
// sent to, at least 1.
func (r *Route) Attempts() int {
	return max(1, r.MaxAttempts)
}

// CopyRate returns the number of cached prompt tokens per second that one server copies
// from another; 0 when it can't copy.
func (e *EngineProfile) CopyRate() float64 {
	if e.TokenBytes <= 0 {
		return 0
	}
	return e.LinkRate / e.TokenBytes
}
