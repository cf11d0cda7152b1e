// Package gateway serves clients on the users' platform: it takes a request from
// its connection, plans it by one snapshot of the configuration, runs its stages,
// sends it to a backend server and passes the answer back.
package gateway

import (
	"net/http"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// RequestInfo is what the headers of a client's request ask for.
type RequestInfo struct {
	// ID is the client's ID of this attempt.
	ID string
	// Key is the organisation's key.
	Key string
	// Timeout is how long the client waits; Bounded is false when it did not say.
	Timeout    time.Duration
	HasTimeout bool
	// Prompt holds the prompt's parts; the last one is its own.
	Prompt []engine.Part
	// LastEventID is the last event of a stream that the client has.
	LastEventID string
	// PieceCounts holds the number of pieces of each stage, PieceKey their key.
	PieceCounts []int
	PieceKey    string
}

// SendInfo is what the system adds to a request to a backend server.
type SendInfo struct {
	// Server is the ID of the server that is meant.
	Server       string
	Remaining    time.Duration
	Organisation string
	// Urgency is the rank at a model server, nil for other servers.
	Urgency     *int
	LastEventID string
	// Inputs are the handles of the results that a model server takes.
	Inputs []string
	// CopyFrom is the address of a model server from which the one that is meant
	// copies what it lacks of the prompt; empty for none.
	CopyFrom string
}

// AnswerInfo is what the headers of an answer say.
type AnswerInfo struct {
	// NotRun answers promise that the request has not run.
	NotRun bool
	// InputsLost is true when an input of the request does not exist any more.
	InputsLost bool
	// Load is the server's own load report, nil without one.
	Load *routing.LoadReport
}

// Piece is one piece of a stage call.
type Piece struct {
	RequestID string
	Stage     int
	Number    int
	Remaining time.Duration
	Key       string
	Inputs    []string
}

// Protocol is the platform's form of requests and entries.
type Protocol interface {
	view.Decoder
	ReadRequest(http.Header) RequestInfo
	// WriteRequest removes the headers that only the system may set and sets them.
	WriteRequest(http.Header, SendInfo)
	// WriteLocalAnswer sets the headers of an answer that the gateway itself gives.
	WriteLocalAnswer(header http.Header, id string)
	// Belongs reports whether an answer is the one to the request with an ID.
	Belongs(header http.Header, id string) bool
	ReadAnswer(status int, header http.Header) AnswerInfo
	StageCall(upstream.Server, []Piece) (*upstream.Request, error)
	// StageOutcomes reads the answer to a call of n pieces.
	StageOutcomes(status int, header http.Header, body []byte, n int) ([]stagework.Outcome, error)
	FreeCall(server upstream.Server, results []string) (*upstream.Request, error)
	// CacheCall asks a model server which prompt parts it keeps.
	CacheCall(upstream.Server) *upstream.Request
	// CachedParts reads the answer to a CacheCall.
	CachedParts(body []byte) ([]engine.Part, error)
	// Producer returns the address of the server that holds a result.
	Producer(result string) string
}
