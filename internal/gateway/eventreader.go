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
}

// next returns the next complete event. At the end of the stream it returns the rest of
// the stream with io.EOF. With any other error the returned event is incomplete.
func (r *eventReader) next() (streamEvent, error) {
	var e streamEvent
	for {
		line, err := r.reader.ReadBytes('\n')
		e.data = append(e.data, line...)
		if err != nil {
			return e, err
		}
		if len(e.data) > maxEventBytes {
			return e, errEventTooLarge
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// buffered reports whether more data of the stream has already arrived.
func (r *eventReader) buffered() bool { return r.reader.Buffered() > 0 }
