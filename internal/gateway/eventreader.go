package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("event of a stream is too large")

// eventReader splits a stream of server-sent events into complete events. It changes no
// byte.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{bufio.NewReader(r)}
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
	for {
		line, err := r.readLine(maxEventBytes - len(e.data))
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

// readLine returns the next line with its end, or errEventTooLarge once it has more than
// limit bytes.
func (r *eventReader) readLine(limit int) (line []byte, err error) {
	for {
		part, err := r.reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case len(line) > limit:
			return line, errEventTooLarge
		case !errors.Is(err, bufio.ErrBufferFull):
			return line, err
		}
	}
}

// buffered reports whether more data of the stream has already arrived.
func (r *eventReader) buffered() bool { return r.reader.Buffered() > 0 }
