package gateway

import (
	"errors"
	"fmt"
	"mime"
	"net/http"
	"strconv"

	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
)

// errNotContinuation reports an answer that is not the rest of the stream that the client has
// begun to receive.
var errNotContinuation = errors.New("answer does not continue the stream")

// continuation checks that an answer is the rest of a stream: it has the type of the stream,
// and at least one event, each with an ID after the last one. Text that is not an event of
// the stream, such as an error, lacks that.
type continuation struct {
	// resumed is false for the first answer of a stream, which may be anything.
	resumed bool
	events  int
}

// beginAnswer returns the check of an answer to the request of a stream.
func (s *clientStream) beginAnswer(answer *upstream.Answer) (continuation, error) {
	kind := mediaType(answer.Header)
	if !s.started {
		s.mediaType = kind
		return continuation{}, nil
	}
	if kind != s.mediaType {
		return continuation{}, fmt.Errorf("%w: its type is %q", errNotContinuation, kind)
	}
	return continuation{resumed: true}, nil
}

// check returns an error for an event that does not follow the one with the ID last.
func (c *continuation) check(last string, e streamEvent) error {
	if !e.begun {
		return nil
	}
	c.events++
	if c.resumed && !follows(last, e.id) {
		return fmt.Errorf("%w: event %q follows %q", errNotContinuation, e.id, last)
	}
	return nil
}

// confirmed reports whether what the answer has brought belongs to the stream. Comments before
// the first event of a resumed one are dropped.
func (c *continuation) confirmed() bool { return !c.resumed || c.events > 0 }

// checkEnd returns an error at the end of an answer that lacks what shows that it is whole.
func (c *continuation) checkEnd(framing upstream.Framing) error {
	switch {
	case c.events > 0:
		return nil
	case c.resumed:
		return fmt.Errorf("%w: it has no event", errNotContinuation)
	case framing == upstream.CloseDelimited:
		return errStreamWithoutEvents
	}
	return nil
}

// mediaType returns the type of a body without parameters, empty when there is none.
func mediaType(header http.Header) string {
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return kind
}

// follows reports whether an event may come after the one with the ID last. IDs of a stream
// increase.
func follows(last, id string) bool {
	before, errBefore := strconv.ParseInt(last, 10, 64)
	after, errAfter := strconv.ParseInt(id, 10, 64)
	if errBefore != nil || errAfter != nil {
		return id != "" && id != last
	}
	return after > before
}
