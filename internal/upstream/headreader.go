package upstream

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answerhead"
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
	// reading is true from begin until finish, and begun from the first byte of the head that is
	// read from the connection.
	reading, begun bool
	scanner        answerhead.Scanner
}

// begin begins to read a head whose memory is reserved in a holding. buffered was read from the
// connection before. It returns the errors of Read.
func (r *headReader) begin(memory *answermemory.Holding, buffered []byte) error {
	*r = headReader{conn: r.conn, memory: memory, reading: true}
	return r.count(buffered)
}

// finish ends the limits of begin, and checks the response whose head was read.
func (r *headReader) finish(response *http.Response) error {
	begun, scanner := r.begun, r.scanner
	*r = headReader{conn: r.conn}
	if err := scanner.Check(response); err != nil {
		return err
	}
	if !begun {
		return nil
	}
	return r.conn.SetReadDeadline(time.Time{})
}

// Read reads from the connection. It returns errHeadTooLong or answermemory.ErrNoRoom for a
// head that is cut off, and an *answerhead.MalformedError for one that is malformed.
func (r *headReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if !r.reading || r.scanner.Ended || n == 0 {
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
	before := r.scanner
	if err := r.scanner.Scan(data); err != nil {
		return err
	}
	if r.scanner.Bytes > maxHeadBytes || r.scanner.Lines > maxHeadLines {
		return errHeadTooLong
	}
	return r.memory.Reserve(memorybudget.HeadBytes(r.scanner.Bytes-before.Bytes, r.scanner.Lines-before.Lines))
}
