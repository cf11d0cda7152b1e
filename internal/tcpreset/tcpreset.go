// Package tcpreset shows the reader of a TCP connection that it was reset, also when a write met
// the reset first. The system reports a reset once: to a write that is in progress, or to a read.
// After it has told a write, it ends the reads as if the peer had closed the connection in order,
// so that an answer which ends with its connection seems complete although a part is missing.
package tcpreset

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose reads return io.EOF only when the peer has closed it in order. It is
// for one reader and one writer at a time.
type Conn struct {
	net.Conn

	// mu is held while a write is in progress.
	mu sync.Mutex
	// failure is the error of the first write that shows that the connection has failed.
	failure error
}

// New returns a Conn for an open connection.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil && showsFailure(err) {
		c.failure = err
	}
	return n, err
}

// showsFailure reports whether the error of a write means that the connection ended before its
// peer had closed it. After the peer has closed it, writes fail with EPIPE.
func showsFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read reads from the connection. At its end it stops a write that is still in progress, and
// returns the error of a write that met a reset instead of io.EOF.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := c.writeFailure(); failure != nil {
		return n, failure
	}
	return n, err
}

// writeFailure returns the failure that writes have met, after the one in progress has ended.
func (c *Conn) writeFailure() error {
	_ = c.Conn.SetWriteDeadline(time.Unix(0, 0)) // fails only on a closed connection, whose writes have ended
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}
