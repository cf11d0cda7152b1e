package backend

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errSealed reports a write after the call that it belongs to was given up.
var errSealed = errors.New("connection is closed for writing")

// countedConn counts writes, so that a call whose connection broke can tell
// whether any byte left. httptrace alone can't: net/http reports WroteHeaders
// before it flushes its buffer.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	sealed bool
}

// dialCounted is the DialContext of a transport.
func dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn}, nil
}

// Write counts before it writes: a write that has begun may send something.
func (c *countedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(data)
}

func (c *countedConn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids further writes and returns the number of those that have begun.
func (c *countedConn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// sending tracks the connections that a call was given. The transport moves on
// to another one when the first broke before a byte left.
type sending struct {
	mu    sync.Mutex
	given []givenConn
	// unknown is true for a connection that isn't counted.
	unknown bool
}

type givenConn struct {
	conn *countedConn
	// before is the number of writes of earlier calls.
	before int
}

func (s *sending) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		s.unknown = true
		return
	}
	s.given = append(s.given, givenConn{conn, conn.count()})
}

// end reports whether bytes of a failed call may have left. None leaves
// afterwards.
func (s *sending) end() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.unknown
	for _, given := range s.given {
		sent = given.conn.seal() > given.before || sent
	}
	return sent
}
