// Package gateway implements the daemon of a gateway; the other daemon is in package
// internal/entry. It serves HTTP clients: it routes each request by one snapshot of the
// configuration, runs the stages of its route, forwards it to a backend server and
// passes the answer back. Protocol adapts it to the platform that it runs on.
package gateway

import (
	"net/http"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/ratelimit"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// RequestInfo is what the headers of a client request say.
type RequestInfo struct {
	// ID is the client's ID of this attempt.
	ID string
	// Key is the organisation's key.
	Key string
	// Timeout is how long the client waits; HasTimeout is false when no header says so.
	Timeout    time.Duration
	HasTimeout bool
	// Prompt holds the parts of the prompt. The last one is specific to the request.
	Prompt []engine.Part
	// LastEventID is the ID of the last event that the client has received of a stream.
	LastEventID string
	// PieceCounts holds the number of pieces of each stage. PieceKey is the client's key
	// for the pieces.
	PieceCounts []int
	PieceKey    string
	// OutputTokens is the number of tokens that the answer is expected to have; 0 when unknown.
	OutputTokens int
}

// SendInfo is what the gateway adds to a request that it sends to a backend server.
type SendInfo struct {
	// Server is the ID of the server that the request is sent to.
	Server string
	// Remaining is the time left until the deadline of the request.
	Remaining    time.Duration
	Organisation string
	// Urgency is the request's rank at a model server, 0 being the first; nil for other
	// servers.
	Urgency     *int
	LastEventID string
	// Inputs are the handles of the stage results that a model server fetches.
	Inputs []string
	// CopyFrom is the address of a model server from which the receiving one copies the
	// prompt parts that it has not cached; empty for none.
	CopyFrom string
}

// AnswerInfo is what the headers of an answer say.
type AnswerInfo struct {
	// NotRun is true when the answer states that the request has not run.
	NotRun bool
	// Unverified is true for a success that may not be the server's own answer to the
	// request, because it lacks what each of them has.
	Unverified bool
	// InputsLost is true when an input of the request does not exist any more.
	InputsLost bool
	// Leaving is true when the server will exit.
	Leaving bool
	// RetryAfter is the pause for which the server asks this instance when it refuses a
	// request; 0 without one.
	RetryAfter time.Duration
	// Limit is what the answer says of the number of requests that the server takes from
	// all instances together.
	Limit ratelimit.Statement
	// Load is the server's own load report, nil without one.
	Load *routing.LoadReport
}

// Piece is one piece of a stage call.
type Piece struct {
	RequestID string
	// Stage is the index of the stage in its route, and Number that of the piece in its
	// stage.
	Stage  int
	Number int
	// Remaining is the time left until the deadline of the stage.
	Remaining time.Duration
	// Key is RequestInfo.PieceKey of the request.
	Key string
	// Inputs are the handles of the results that the piece needs.
	Inputs []string
}

// Protocol translates requests, answers and store entries from and to the platform's
// wire format.
type Protocol interface {
	view.Decoder
	// ReadRequest reads the headers of a client request. Its error is a *MalformedError; the
	// malformed field is empty then.
	ReadRequest(http.Header) (RequestInfo, error)
	// WriteRequest sets the headers that only the gateway may set, and removes what the
	// client sent in them.
	WriteRequest(http.Header, SendInfo)
	// WriteLocalAnswer sets the headers of an answer that the gateway itself generates to
	// the attempt with an ID.
	WriteLocalAnswer(header http.Header, id string)
	// Belongs reports whether an answer belongs to the attempt with an ID.
	Belongs(header http.Header, id string) bool
	ReadAnswer(status int, header http.Header) AnswerInfo
	// StageCall returns the request that runs pieces of a stage on a server.
	StageCall(upstream.Server, []Piece) (*upstream.Request, error)
	// StageOutcomes reads the answer to a call of n pieces.
	StageOutcomes(status int, header http.Header, body []byte, n int) ([]stagework.Outcome, error)
	// FreeCall returns the request that frees results on the server that holds them.
	FreeCall(server upstream.Server, results []string) (*upstream.Request, error)
	// StateCall returns the request for the state of a model server. A process with another
	// ID answers it with status 421.
	StateCall(upstream.Server) *upstream.Request
	// StateIncarnation reads the incarnation of the server in the answer to a StateCall, 0
	// when it does not say.
	StateIncarnation(body []byte) int64
	// StateLoad reads the load of the server in the answer to a StateCall, and returns false
	// when it does not say.
	StateLoad(body []byte) (engine.Load, bool)
	// CacheCall returns the request that lists the cached prompt parts of a model server.
	CacheCall(upstream.Server) *upstream.Request
	// CachedParts reads the answer to a CacheCall.
	CachedParts(body []byte) ([]engine.Part, error)
}
