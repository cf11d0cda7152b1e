// Package upstream sends HTTP/1.1 requests to backend servers over a pool of persistent
// connections. A connection carries one request at a time, and the package never sends a
// request again by itself. An answer to another request is dropped, and a request that its
// caller sends again uses another connection. Gateways
// use the package; entry instances call backend servers with package internal/backend.
package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answermemory"
)

// Errors of Send. Each tells whether the server can have received the request.
var (
	// ErrNotSent reports a request of which no byte was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrMayHaveRun reports a request that was sent, at least in part, and got no valid
	// answer.
	ErrMayHaveRun = errors.New("request may have run")
)

// Server is the backend server that a request is sent to.
type Server struct {
	ID string
	// Incarnation differs between the starts of a server under the same ID.
	Incarnation int64
	// Address is an IP address and a port.
	Address string
	// MaxConnections bounds the connections of this instance to the server; 0 means that
	// there is no bound.
	MaxConnections int
}

// Request is one request to a backend server.
type Request struct {
	Method string
	// Target is the path and query as in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Belongs reports whether an answer with a header is an answer to this request; nil
	// accepts every answer.
	Belongs func(http.Header) bool
	// Earlier are the earlier sends of the request; nil for one that is sent only once.
	Earlier *Sends
}

// Answer is the answer to a request. A body that is FramedByLength or Chunked ends with
// io.EOF only when it is complete. For a CloseDelimited one, io.EOF only means that the
// server closed the connection in order; its content must show that it is complete.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 when it is not known beforehand.
	Length  int64
	Framing Framing
	Body    io.Reader
	// Connection is the number of the connection that the answer came on. The Client numbers
	// its connections from 1.
	Connection uint64

	exchange *exchange
}

// ReadBody reads a body of at most limit bytes to its end. The memory is reserved until Close.
func (a *Answer) ReadBody(limit int64) ([]byte, error) {
	return a.exchange.memory.ReadBody(a.Body, limit)
}

// Memory returns the memory that is reserved for the answer until Close.
func (a *Answer) Memory() *answermemory.Holding { return a.exchange.memory }

// Framing is how the end of a body is marked (RFC 9112, section 6.3).
type Framing string

// Framings of a body.
const (
	FramedByLength Framing = "length"
	Chunked        Framing = "chunked"
	// CloseDelimited bodies end with their connection. A server that fails and one that
	// has sent everything may then look the same.
	CloseDelimited Framing = "close-delimited"
)

// Close ends the use of the answer. Its connection is kept for other requests when the
// whole answer was read, or is short, and nothing follows it, and closed otherwise.
func (a *Answer) Close() {
	a.exchange.readRest(a.Length)
	a.exchange.close()
}

// Timeouts and limits of connections.
const (
	// dialTimeout bounds the time to establish a connection. It is many times the network
	// delay between regions.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may remain unacknowledged.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAliveInterval and keepAliveCount are the interval and number of the keep-alive
	// probes after which a connection without an answer is closed.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleTimeout is how long an idle connection is kept when the server does not
	// announce its own timeout. The check before each use finds connections that the
	// server closed earlier.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout of a server, to cover the
	// time that a request needs to reach it.
	idleTimeoutMargin = 300 * time.Millisecond
	// maxInlineBodyBytes is the size up to which a body is written before the answer is
	// awaited. It fits the smallest TCP window.
	maxInlineBodyBytes = 1 << 10
	// maxHeadBytes and maxHeadLines bound the head of an answer. A faulty server may send one
	// without end, or one of very many fields, each of which costs far more than its bytes.
	maxHeadBytes = 64 << 10
	maxHeadLines = 256
	// headTimeout bounds the time from the first byte of a head to its end.
	headTimeout = 3 * time.Second
	// maxStrayAnswers bounds the answers to other requests that are skipped.
	maxStrayAnswers = 2
	// maxStrayAnswerBytes bounds what is read of the body of a skipped answer.
	maxStrayAnswerBytes = 1 << 20
)
