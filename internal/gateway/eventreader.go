package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answermemory"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("event of a stream is too large")

// eventReader splits a stream of server-sent events into complete events. It changes no
// byte.
type eventReader struct {
	reader *bufio.Reader
	memory *answermemory.Holding
	// held is what is reserved for the present event.
	held int64
}

// newEventReader returns a reader of a stream. The memory of large events is reserved in
// memory; nil for no bound.
func newEventReader(r io.Reader, memory *answermemory.Holding) *eventReader {
	return &eventReader{reader: bufio.NewReader(r), memory: memory}
}

const (
	// smallEventBytes is the size up to which the memory of an event belongs to that of its
	// connection.
	smallEventBytes = 4 << 10
	// eventCopies is how often the bytes of an event are in memory: in its line and in the
	// event, in buffers of up to twice their size.
	eventCopies = 4
	// eventReserveBytes is the least that is reserved at once.
	eventReserveBytes = 16 << 10
)

// reserve reserves memory for an event of size bytes.
func (r *eventReader) reserve(size int) error {
	missing := int64(size-smallEventBytes)*eventCopies - r.held
	if missing <= 0 {
		return nil
	}
	missing = max(missing, eventReserveBytes)
	if err := r.memory.Reserve(missing); err != nil {
		return err
	}
	r.held += missing
	return nil
}

// streamEvent is one event of a stream with the blank line that ends it.
type streamEvent struct {
	data []byte
	// id is the event's ID, empty when it has none.
	id string
	// begun is true after a line that is not a comment.
	begun bool
}

// next returns the next complete event. At the end of the stream it returns io.EOF and any
// comments that follow the last event. With any other error the returned event is
// incomplete; a stream that ends inside an event returns io.ErrUnexpectedEOF.
func (r *eventReader) next() (streamEvent, error) {
	var e streamEvent
	r.memory.Release(r.held)
	r.held = 0
	for {
		line, err := r.readLine(len(e.data))
		e.data = append(e.data, line...)
		if errors.Is(err, io.EOF) && (e.begun || len(line) > 0) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return e, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if text[0] != ':' {
			e.begun = true
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// readLine returns the next line of an event with its end, after eventBytes of the event. It
// returns errEventTooLarge once the event has more than maxEventBytes, and
// answermemory.ErrNoRoom when there is no memory for it.
func (r *eventReader) readLine(eventBytes int) (line []byte, err error) {
	for {
		part, err := r.reader.ReadSlice('\n')
		if noRoom := r.reserve(eventBytes + len(line) + len(part)); noRoom != nil {
			return line, noRoom
		}
		line = append(line, part...)
		switch {
		case eventBytes+len(line) > maxEventBytes:
			return line, errEventTooLarge
		case !errors.Is(err, bufio.ErrBufferFull):
			return line, err
		}
	}
}

// buffered reports whether more data of the stream has already arrived.
func (r *eventReader) buffered() bool { return r.reader.Buffered() > 0 }
