package backend

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errWriteClosed reports a write after the call that it belongs to has failed.
var errWriteClosed = errors.New("connection is closed for writing")

// countedConn counts writes, so that after a connection error it is known whether
// any byte of the call was sent. httptrace alone does not show this: net/http
// reports WroteHeaders before it flushes its buffer.
type countedConn struct {
	net.Conn
	mu          sync.Mutex
	writes      int
	writeClosed bool
}

// dialCounted is a DialContext function for http.Transport that returns a
// countedConn.
func dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn}, nil
}

// Write counts the write before it starts it, because a write that has started may
// send data even if it fails.
func (c *countedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.writeClosed {
		c.mu.Unlock()
		return 0, errWriteClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(data)
}

func (c *countedConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// closeWrite makes further writes fail and returns the number of writes started so
// far.
func (c *countedConn) closeWrite() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeClosed = true
	return c.writes
}

// callConns holds the connections that the transport used for one call. The
// transport takes another connection when the first one fails before a byte is
// sent.
type callConns struct {
	mu    sync.Mutex
	conns []callConn
	// uncounted is true when one of the connections is not a countedConn, so that its
	// writes are not known.
	uncounted bool
	// reused is true when the newest connection has carried another call.
	reused bool
}

type callConn struct {
	conn *countedConn
	// writesBefore is the number of writes by earlier calls on the connection.
	writesBefore int
}

func (s *callConns) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reused = info.Reused
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		s.uncounted = true
		return
	}
	s.conns = append(s.conns, callConn{conn, conn.writeCount()})
}

// carriedOthers reports whether the connection that the call was sent on has carried another
// call.
func (s *callConns) carriedOthers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reused
}

// finish reports whether bytes of a failed call may have been sent. Later writes of
// the call fail.
func (s *callConns) finish() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.uncounted
	for _, c := range s.conns {
		sent = c.conn.closeWrite() > c.writesBefore || sent
	}
	return sent
}
