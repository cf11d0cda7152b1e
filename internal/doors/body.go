package doors

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

// firstBodyBytes is the size of the buffer that a body begins with.
const firstBodyBytes = 4 << 10

// Body is a request body that was read into reserved memory.
type Body struct {
	memory *Memory
	conn   *Conn
	held   int64
	Bytes  []byte
}

// Release gives the memory back. A nil body is ignored.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.release(b.held)
}

func (b *Body) release(n int64) {
	b.held -= n
	if b.conn != nil {
		b.conn.body.Add(-n)
	}
	b.memory.Release(n)
}

// ReadBody reads a body. Length is its length, -1 if that is unknown, and maxBytes the limit
// that the reader enforces, -1 without one. The memory is reserved as the body arrives, so that
// a length alone costs nothing. The body must be released, also after an error. Conn may be nil.
func (d *Door) ReadBody(conn *Conn, r io.Reader, length, maxBytes int64) (*Body, error) {
	if length < 0 {
		length = maxBytes
	}
	body := &Body{memory: d.bodies, conn: conn}
	for {
		if len(body.Bytes) == cap(body.Bytes) {
			if err := body.grow(d, length); err != nil {
				return body, err
			}
		}
		n, err := r.Read(body.Bytes[len(body.Bytes):cap(body.Bytes)])
		body.Bytes = body.Bytes[:len(body.Bytes)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// grow doubles the buffer, but not beyond the greatest length and the byte that finds the end.
func (b *Body) grow(d *Door, length int64) error {
	old := int64(cap(b.Bytes))
	size := max(firstBodyBytes, 2*old)
	if length >= 0 && size >= length && old <= length {
		size = length + 1
	}
	if err := d.reserveBody(b.conn, size); err != nil {
		return err
	}
	b.held += size
	if b.conn != nil {
		b.conn.body.Add(size)
	}
	grown := make([]byte, len(b.Bytes), size)
	copy(grown, b.Bytes)
	b.Bytes = grown
	b.release(old)
	return nil
}

// HoldBodies returns a handler that reads request bodies of up to maxBytes, which the door
// bounds together, before it passes requests on. Their connections are then not closed to
// make room.
func (d *Door) HoldBodies(next http.Handler, maxBytes int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := FromContext(r.Context())
		body, err := d.ReadBody(conn, http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength, maxBytes)
		defer body.Release()
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			http.Error(w, "body is too large", http.StatusRequestEntityTooLarge)
			return
		case err != nil:
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		// Otherwise the read timeout would end net/http's background read, which detects that
		// the caller disconnected, and cancel a call that takes longer.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		conn.Forward()
		r.Body = io.NopCloser(bytes.NewReader(body.Bytes))
		next.ServeHTTP(w, r)
	})
}

const (
	// maxUnreadBodyBytes is the size up to which the rest of a body is read after the
	// request was refused, so that its connection can be used again.
	maxUnreadBodyBytes = 4 << 10
	// unreadBodyTimeout bounds reading that rest.
	unreadBodyTimeout = time.Second
)

// LimitUnreadBody is called before the answer to a request whose body was not read. It closes
// the connection after the answer when reading on would cost more than a new connection.
// Otherwise it bounds the time for the rest of the body.
func LimitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	if r.ContentLength < 0 || r.ContentLength > maxUnreadBodyBytes {
		w.Header().Set("Connection", "close")
	}
	// A connection without read deadlines waits for the client.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}
