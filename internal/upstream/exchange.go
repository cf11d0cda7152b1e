package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answerhead"
	"github.com/coltsfootdrift/coltsfootdrift/internal/answermemory"
	"github.com/coltsfootdrift/coltsfootdrift/internal/httpbody"
)

// exchange is one request and its answer on one connection.
type exchange struct {
	client *Client
	conn   *conn
	// stopAfterFunc keeps the end of the context from closing the connection. It
	// returns false when the context has ended before.
	stopAfterFunc func() bool
	answerHeader  http.Header
	body          *trackedBody
	// sent is closed when the request has been written or its connection has failed.
	// writeErr may be read after that.
	sent         chan struct{}
	writeErr     error
	writtenBytes atomic.Int64
	// memory is reserved for the answer until the end of the exchange.
	memory *answermemory.Holding
	// stray is true after an answer to another request.
	stray bool
	// serverCloses is true when the server closes the connection after the answer.
	serverCloses bool
	// releaseOnce guards the return or closing of the connection.
	releaseOnce sync.Once
}

// Send sends a request and returns the head of its answer. The end of the context
// closes the connection, which cancels the request on the server.
func (c *Client) Send(ctx context.Context, server Server, request *Request) (*Answer, error) {
	cn, err := c.acquire(ctx, server, request.Earlier)
	if err != nil {
		return nil, err
	}
	request.Earlier.add(cn)
	e := &exchange{client: c, conn: cn, sent: make(chan struct{})}
	e.memory = c.memory.Open(server.ID, func() { cn.netConn.Close() })
	e.stopAfterFunc = context.AfterFunc(ctx, func() { cn.netConn.Close() })
	e.writeRequest(request)
	answer, err := e.readAnswer(request)
	if err == nil {
		return answer, nil
	}
	e.abort()
	<-e.sent
	sendErr := ErrMayHaveRun
	if e.writtenBytes.Load() == 0 {
		sendErr = ErrNotSent
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return nil, oops.In("upstream").Code("send_failed").With("server", server.ID, "address", server.Address, "reused", cn.reused).Wrap(fmt.Errorf("%w: %w", sendErr, err))
}

// writeRequest writes the request. A body over maxInlineBodyBytes is written while the
// answer is awaited, because a server may answer before it has read the body.
func (e *exchange) writeRequest(request *Request) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	_ = request.Header.Write(&head) // a bytes.Buffer does not fail
	if len(request.Body) > 0 || hasBody(request.Method) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(request.Body) <= maxInlineBodyBytes {
		head.Write(request.Body)
		e.writeBytes(head.Bytes())
		close(e.sent)
		return
	}
	go func() {
		defer close(e.sent)
		e.writeBytes(head.Bytes())
		e.writeBytes(request.Body)
	}()
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func (e *exchange) writeBytes(data []byte) {
	if e.writeErr != nil {
		return
	}
	n, err := e.conn.stream.Write(data)
	e.writtenBytes.Add(int64(n))
	e.writeErr = err
}

// readAnswer returns the head of the answer. Answers to other requests are skipped.
func (e *exchange) readAnswer(request *Request) (*Answer, error) {
	for range maxStrayAnswers + 1 {
		response, err := e.conn.readHead(request.Method, e.memory)
		if err != nil {
			return nil, e.client.recordHeadError(err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.Belongs == nil || request.Belongs(response.Header) {
			return e.newAnswer(response), nil
		}
		e.client.strays.Inc(1)
		e.stray = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayAnswerBytes)); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("server sent only answers to other requests")
}

func (e *exchange) newAnswer(response *http.Response) *Answer {
	e.answerHeader = response.Header
	e.serverCloses = response.Close
	e.body = &trackedBody{response: response}
	framing := framingOf(response)
	if framing == CloseDelimited {
		e.client.closeDelimited.Inc(1)
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Framing: framing, Body: e.body, Connection: e.conn.number, exchange: e}
}

func framingOf(response *http.Response) Framing {
	switch {
	case httpbody.CloseDelimited(response):
		return CloseDelimited
	case response.ContentLength >= 0:
		return FramedByLength
	}
	return Chunked
}

// abort closes the connection.
func (e *exchange) abort() {
	e.releaseOnce.Do(func() {
		e.stopAfterFunc()
		e.client.discard(e.conn)
		e.memory.Close()
	})
}

const (
	// maxUnreadBytes is the size up to which the rest of an answer is read so that its
	// connection can be used again.
	maxUnreadBytes = 4 << 10
	// unreadTimeout bounds how long that rest is waited for. It mostly arrives with the head.
	unreadTimeout = 5 * time.Millisecond
)

// readRest reads the rest of a short answer that its receiver does not need, such as the text
// of a refusal.
func (e *exchange) readRest(length int64) {
	if e.body.complete || e.serverCloses || length < 0 || length > maxUnreadBytes {
		return
	}
	if e.conn.netConn.SetReadDeadline(time.Now().Add(unreadTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, e.body) // e.body.complete is false after an error
	_ = e.conn.netConn.SetReadDeadline(time.Time{})
}

// close returns the connection to the idle ones if it is reusable, and closes it
// otherwise.
func (e *exchange) close() {
	if !e.reusable() {
		e.abort()
		return
	}
	e.releaseOnce.Do(func() {
		e.memory.Close()
		if !e.stopAfterFunc() {
			// The end of the context has closed the connection.
			e.client.discard(e.conn)
			return
		}
		e.conn.expires = idleDeadline(time.Now(), e.answerHeader)
		e.client.putIdle(e.conn)
	})
}

func (e *exchange) reusable() bool {
	select {
	case <-e.sent:
	default:
		// The server answered before it read the whole body. No other request may follow
		// the part of the body that is not yet written.
		return false
	}
	return e.writeErr == nil && e.body.complete && !e.serverCloses && !e.stray && e.conn.reader.Buffered() == 0
}

// trackedBody records whether a body was read to its end.
type trackedBody struct {
	response *http.Response
	complete bool
}

// Read reads the body. io.EOF means that the body is complete.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return n, err
	}
	if malformed := answerhead.CheckTrailer(b.response); malformed != nil {
		return n, malformed
	}
	b.complete = true
	return n, err
}
