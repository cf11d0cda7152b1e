package upstream

import (
	"errors"
	"net"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answermemory"
	"github.com/coltsfootdrift/coltsfootdrift/memorybudget"
)

// errHeadTooLong reports an answer whose head has no end within maxHeadBytes and maxHeadLines.
var errHeadTooLong = errors.New("head of the answer is too long")

// headReader reads from a connection. While a head is read, it bounds its size and the time
// from its first byte to its end, and reserves its memory.
type headReader struct {
	conn   net.Conn
	memory *answermemory.Holding
	// reading is true from begin until finish, and begun from the first byte of the head.
	// What was buffered before begin is not seen.
	reading, begun bool
	bytes, lines   int
	// lineBytes is the number of bytes of the present line without its end.
	lineBytes int
	// ended is true after the empty line that ends a head. The body follows.
	ended bool
}

// begin begins to read a head whose memory is reserved in a holding.
func (r *headReader) begin(memory *answermemory.Holding) {
	*r = headReader{conn: r.conn, memory: memory, reading: true}
}

// finish ends the limits of begin.
func (r *headReader) finish() error {
	begun := r.begun
	*r = headReader{conn: r.conn}
	if !begun {
		return nil
	}
	return r.conn.SetReadDeadline(time.Time{})
}

// Read reads from the connection. It returns errHeadTooLong or answermemory.ErrNoRoom for a
// head that is cut off.
func (r *headReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if !r.reading || r.ended || n == 0 {
		return n, err
	}
	if !r.begun {
		r.begun = true
		if deadlineErr := r.conn.SetReadDeadline(time.Now().Add(headTimeout)); deadlineErr != nil {
			return 0, deadlineErr
		}
	}
	if limitErr := r.count(p[:n]); limitErr != nil {
		return 0, limitErr
	}
	return n, err
}

// count counts and reserves the part of data that belongs to the head.
func (r *headReader) count(data []byte) error {
	bytes, lines := 0, 0
	for _, b := range data {
		bytes++
		switch b {
		case '\n':
			lines++
			r.ended = r.lineBytes == 0
			r.lineBytes = 0
		case '\r':
		default:
			r.lineBytes++
		}
		if r.ended {
			break
		}
	}
	r.bytes += bytes
	r.lines += lines
	if r.bytes > maxHeadBytes || r.lines > maxHeadLines {
		return errHeadTooLong
	}
	return r.memory.Reserve(memorybudget.HeadBytes(bytes, lines))
}
