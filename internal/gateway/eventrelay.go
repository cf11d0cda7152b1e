package gateway

import (
	"errors"
	"io"
	"log/slog"
	"net/http"

	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
)

// clientStream is the stream of events that a client receives, from one server or, after a
// resume, from several.
type clientStream struct {
	// started is true once the head of the answer was written to the client.
	started bool
	// lastID is the ID of the last event that the client has received.
	lastID string
	// mediaType is the type of the first answer.
	mediaType string
	// unnumbered is true once the client has received an event without an ID. The stream
	// can't be resumed then, because no ID says where another server is to continue.
	unnumbered bool
	// events is the number of events that the client has received.
	events int
}

// errStreamWithoutEvents reports a close-delimited stream that ended before its first event.
var errStreamWithoutEvents = errors.New("close-delimited stream ended without an event")

// relayEvents passes on the events of an answer as they arrive, and calls onFirst when the
// first one has. It returns nil at the end of a complete stream, and otherwise an error and
// the number of bytes that were received of the event in which the stream broke off, and
// that were not passed on.
func (c *clientRequest) relayEvents(stream *clientStream, answer *upstream.Answer, onFirst func()) (unfinishedBytes int, err error) {
	check, err := stream.beginAnswer(answer)
	if err != nil {
		return 0, err
	}
	reader := newEventReader(answer.Body, answer.Memory())
	controller := http.NewResponseController(c.writer)
	for first := true; ; first = false {
		e, err := reader.next()
		ended := errors.Is(err, io.EOF)
		switch {
		case ended:
			err = check.checkEnd(answer.Framing)
		case err == nil:
			err = check.check(stream.lastID, e)
		}
		if err != nil {
			return len(e.data), err
		}
		if first {
			onFirst()
		}
		if check.confirmed() {
			c.passOn(stream, answer, e)
		}
		if ended {
			return 0, nil
		}
		if !reader.buffered() {
			_ = controller.Flush() // the next write returns the error
		}
	}
}

// logStreamBroken logs that a server broke a stream off, after what the client has received
// of it and the first bytes of another event.
func (c *clientRequest) logStreamBroken(serverID string, answer *upstream.Answer, stream clientStream, unfinishedBytes int, err error) {
	c.logAnswerFailed(serverID, answer, err, slog.String("framing", string(answer.Framing)),
		slog.Int("events", stream.events), slog.Int("unfinished_bytes", unfinishedBytes))
}

// passOn writes an event to the client, after the head of the answer if it is the first.
func (c *clientRequest) passOn(stream *clientStream, answer *upstream.Answer, e streamEvent) {
	if !stream.started {
		stream.started = true
		c.writeHead(answer, -1)
	}
	if _, err := c.writer.Write(e.data); err != nil {
		c.abort(err)
	}
	if e.begun {
		stream.events++
		stream.unnumbered = stream.unnumbered || e.id == ""
	}
	if e.id != "" {
		stream.lastID = e.id
	}
}
