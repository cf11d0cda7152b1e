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
)

// exchange is one request and its answer on one connection.
type exchange struct {
	client *Client
	conn   *conn
	stop   func() bool
	header http.Header
	body   *wholeBody
	// sent is closed when the request is written or its connection failed.
	sent    chan struct{}
	sentErr error
	written atomic.Int64
	// stray is true after an answer of another request.
	stray  bool
	closes bool
	once   sync.Once
}

// Send sends a request and returns the head of its answer. The end of the context
// closes the connection, which cancels the request at the server.
func (c *Client) Send(ctx context.Context, server Server, request *Request) (*Answer, error) {
	k, err := c.acquire(ctx, server)
	if err != nil {
		return nil, err
	}
	e := &exchange{client: c, conn: k, sent: make(chan struct{})}
	e.stop = context.AfterFunc(ctx, func() { k.network.Close() })
	e.write(request)
	answer, err := e.read(request)
	if err == nil {
		return answer, nil
	}
	e.abort()
	<-e.sent
	kind := ErrMayHaveRun
	if e.written.Load() == 0 {
		kind = ErrNotSent
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return nil, oops.In("upstream").Code("send_failed").With("server", server.ID, "address", server.Address, "reused", k.reused).Wrap(fmt.Errorf("%w: %w", kind, err))
}

// write sends the request, a long body while the answer is awaited: a server may
// answer before it has read it.
func (e *exchange) write(request *Request) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	_ = request.Header.Write(&head) // a bytes.Buffer does not fail
	if len(request.Body) > 0 || hasBody(request.Method) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(request.Body) <= inlineBody {
		head.Write(request.Body)
		e.send(head.Bytes())
		close(e.sent)
		return
	}
	go func() {
		defer close(e.sent)
		e.send(head.Bytes())
		e.send(request.Body)
	}()
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func (e *exchange) send(data []byte) {
	if e.sentErr != nil {
		return
	}
	n, err := e.conn.network.Write(data)
	e.written.Add(int64(n))
	e.sentErr = err
}

// read returns the head of the answer. Answers of other requests are skipped.
func (e *exchange) read(request *Request) (*Answer, error) {
	for range maxStrayAnswers + 1 {
		response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.Belongs == nil || request.Belongs(response.Header) {
			return e.answer(response), nil
		}
		e.client.strays.Inc(1)
		e.stray = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes)); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("answers belong to other requests")
}

func (e *exchange) answer(response *http.Response) *Answer {
	e.header = response.Header
	e.closes = response.Close
	e.body = &wholeBody{reader: response.Body}
	return &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Body: e.body, exchange: e}
}

// abort closes the connection.
func (e *exchange) abort() {
	e.once.Do(func() {
		e.stop()
		e.client.discard(e.conn)
	})
}

// close keeps the connection if the exchange is complete.
func (e *exchange) close() {
	if !e.reusable() {
		e.abort()
		return
	}
	e.once.Do(func() {
		if !e.stop() {
			// The end of the context has closed the connection.
			e.client.discard(e.conn)
			return
		}
		e.conn.expires = idleUntil(time.Now(), e.header)
		e.client.keep(e.conn)
	})
}

func (e *exchange) reusable() bool {
	select {
	case <-e.sent:
	default:
		// The server answered before it read the body; what is left of it must not
		// be followed by another request.
		return false
	}
	return e.sentErr == nil && e.body.ended && !e.closes && !e.stray && e.conn.reader.Buffered() == 0
}

// wholeBody remembers whether the body was read to its end.
type wholeBody struct {
	reader io.Reader
	ended  bool
}

// Read reads the body. io.EOF means that it is whole.
func (b *wholeBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		b.ended = true
	}
	return n, err
}
