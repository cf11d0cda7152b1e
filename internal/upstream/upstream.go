// Package upstream sends requests to backend servers over connections that it
// keeps. One request is sent on one connection at a time and never twice; an
// answer belongs to its request or is dropped.
package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Errors of a send. Each says what is known of the request.
var (
	// ErrNotSent reports a request of which no byte left.
	ErrNotSent = errors.New("request was not sent")
	// ErrMayHaveRun reports a request without a whole answer.
	ErrMayHaveRun = errors.New("request may have run")
)

// Server is where a request is sent.
type Server struct {
	ID string
	// Address is an IP number and a port.
	Address string
	// MaxConnections bounds the connections of this instance to the server.
	MaxConnections int
}

// Request is one request to a backend server.
type Request struct {
	Method string
	// Target is the path and query as they stand in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Belongs reports whether an answer with a header is the one to this request;
	// nil accepts every answer.
	Belongs func(http.Header) bool
}

// Answer is the answer to a request. Its body ends with io.EOF only when it is
// whole.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 when it is not known beforehand.
	Length int64
	Body   io.Reader

	exchange *exchange
}

// Close ends the use of the answer. Its connection is kept when the whole answer
// was read and nothing follows it.
func (a *Answer) Close() { a.exchange.close() }

// Timings of connections.
const (
	// dialTimeout bounds the time for a new connection. It is many times the delay
	// between regions.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay without an acknowledgement.
	userTimeout = 1500 * time.Millisecond
	// probeInterval and probeCount notice silent connections.
	probeInterval = time.Second
	probeCount    = 2
	// defaultIdle is how long an idle connection is kept when the server does not
	// say; the check before each use notices those that it closed earlier.
	defaultIdle = 8 * time.Second
	// idleMargin is subtracted from the idle timeout of a server, for the time
	// that a request needs to reach it.
	idleMargin = 300 * time.Millisecond
	// inlineBody is the size up to which a body is written before the answer is
	// awaited. It fits the smallest window.
	inlineBody = 1 << 10
	// maxStrayAnswers bounds the answers of other requests that are skipped.
	maxStrayAnswers = 2
	// maxStrayBytes bounds the body of a skipped answer.
	maxStrayBytes = 1 << 20
)
