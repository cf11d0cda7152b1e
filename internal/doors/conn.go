package doors

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/memorybudget"
)

const (
	// writePieceBytes is how much of an answer a client must read within writePieceTimeout.
	// Together they are a least rate of 0.8 KB/s, which the slowest links exceed.
	writePieceBytes   = 16 << 10
	writePieceTimeout = 20 * time.Second
)

// refusal is the answer to a request whose head has no room. net/http has not seen the
// request, so that it has not run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.05\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// refusalTimeout bounds the write of a refusal.
const refusalTimeout = 100 * time.Millisecond

// Conn is a connection of a door.
type Conn struct {
	net.Conn
	door *Door
	// since is when the current request or the idle time before it began, and writing when
	// the write in progress began, zero without one.
	since, writing instant
	// inRequest is set from the end of the request's head to the end of its answer.
	inRequest atomic.Bool
	// forwarded is set while the request may have reached a server.
	forwarded  atomic.Bool
	head, body counter
	// answered is the body that is released when the request is answered; nil without one.
	answered atomic.Pointer[Body]
	// writeDeadline bounds all writes; zero for none.
	writeDeadline instant
	once          sync.Once
}

// anything returns the memory that the connection holds.
func (c *Conn) anything() int64 {
	return memorybudget.ConnectionBytes + c.head.Load() + c.body.Load()
}

func (c *Conn) headBytes() int64 { return c.head.Load() }
func (c *Conn) bodyBytes() int64 { return c.body.Load() }

// age returns the seconds since the request, or the idle time before it, began.
func (c *Conn) age(now time.Time) float64 {
	return now.Sub(c.since.get()).Seconds()
}

// unreadFor returns the seconds since the client last read something of its answer.
func (c *Conn) unreadFor(now time.Time) float64 {
	started := c.writing.get()
	if started.IsZero() {
		return 0
	}
	return now.Sub(started).Seconds()
}

// setState follows the requests on the connection.
func (c *Conn) setState(state http.ConnState) {
	c.inRequest.Store(state == http.StateActive)
	if state == http.StateIdle {
		c.forwarded.Store(false)
		c.releaseRequest()
		c.since.set(time.Now())
	}
}

// releaseRequest gives back what the request held.
func (c *Conn) releaseRequest() {
	c.head.release(c.door.heads)
	c.answered.Swap(nil).Release()
}

// HoldBody reads the body of the current request like Door.ReadBody. Its memory is given back
// when the request is answered.
func (c *Conn) HoldBody(r io.Reader, length, maxBytes int64) ([]byte, error) {
	body, err := c.door.ReadBody(c, r, length, maxBytes)
	c.answered.Store(body)
	return body.Bytes, err
}

// Forward marks that the request may reach a server from now on, so that its connection is
// not closed to make room. A nil connection is ignored.
func (c *Conn) Forward() {
	if c != nil {
		c.forwarded.Store(true)
	}
}

// Enter is Door.Enter for the connection's door. It always succeeds for a nil connection.
func (c *Conn) Enter(purpose memorybudget.Purpose) (leave func(), ok bool) {
	if c == nil {
		return func() {}, true
	}
	return c.door.Enter(c, purpose)
}

// Read reads from the connection. It reserves the memory of heads as they come, and refuses
// the request when there is none.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.inRequest.Load() {
		return n, err
	}
	if c.head.Load() == 0 {
		c.since.set(time.Now())
	}
	cost := memorybudget.HeadBytes(n, bytes.Count(p[:n], []byte{'\n'}))
	if reserveErr := c.door.reserveHead(c, cost); reserveErr != nil {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(c.Conn, refusal) // the client may be gone
		return 0, reserveErr
	}
	c.head.Add(cost)
	return n, err
}

// Write writes to the connection. The client must read each piece in time.
func (c *Conn) Write(p []byte) (written int, err error) {
	defer c.writing.set(time.Time{})
	for {
		now := time.Now()
		c.writing.set(now)
		deadline := now.Add(writePieceTimeout)
		if all := c.writeDeadline.get(); !all.IsZero() && all.Before(deadline) {
			deadline = all
		}
		_ = c.Conn.SetWriteDeadline(deadline) // fails only for a closed connection
		n, err := c.Conn.Write(p[:min(len(p), writePieceBytes)])
		written += n
		p = p[n:]
		if err != nil || len(p) == 0 {
			return written, err
		}
	}
}

// SetWriteDeadline bounds all writes; a zero time removes the bound.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	if t.IsZero() {
		return c.Conn.SetWriteDeadline(time.Now().Add(writePieceTimeout))
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline bounds all reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// ResetOnClose makes the end of the connection a reset, which no client takes for the end of
// an answer.
func (c *Conn) ResetOnClose() {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0) // fails only for a connection that is closed
	}
}

// reset ends the connection at once. Its memory is given back when net/http closes it.
func (c *Conn) reset() {
	c.ResetOnClose()
	c.Conn.Close()
}

// CloseWrite closes the side that writes, which net/http uses to let the client read the rest
// of an answer.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives the memory of its request back.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.door.remove(c)
		c.releaseRequest()
	})
	return err
}
