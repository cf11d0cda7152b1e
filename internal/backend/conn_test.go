package backend

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// breakingTransport assigns a pooled connection to a call and then fails, after one
// write or before any.
type breakingTransport struct {
	conn  net.Conn
	write bool
}

func (b breakingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{Conn: b.conn, Reused: true})
	if b.write {
		_, _ = b.conn.Write([]byte("P"))
	}
	return nil, errors.New("connection broke")
}

// Guards against a call that is reported as possibly run although its connection
// failed before a byte was sent, against the reverse, and against bytes that are
// sent after the call was reported as not sent.
func TestConnectionThatBreaksBeforeTheFirstByte(t *testing.T) {
	c := qt.New(t)
	request := StageRequest{Timeout: time.Minute, Input: []byte("1")}
	call := func(conn net.Conn, write bool) error {
		_, err := NewHTTPCaller(breakingTransport{conn, write}, nil).Call(c.Context(), Server{ID: "s"}, request)
		return err
	}
	near, far := net.Pipe()
	c.Cleanup(func() { far.Close() })
	go func() { _, _ = io.Copy(io.Discard, far) }()
	pooled := &countedConn{Conn: near, writes: 3}
	c.Assert(call(pooled, false), qt.ErrorIs, ErrNotSent)
	_, err := pooled.Write([]byte("late"))
	c.Assert(err, qt.ErrorIs, errWriteClosed)

	c.Assert(call(&countedConn{Conn: near}, true), qt.ErrorIs, ErrMayHaveRun)
	c.Assert(call(near, false), qt.ErrorIs, ErrMayHaveRun)
}
