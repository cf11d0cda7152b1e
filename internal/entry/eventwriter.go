package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"net/http"

	"github.com/tmaxmax/go-sse"
)

// Names of the server-sent events of a streamed answer.
const (
	EventData  = "data"
	EventEnd   = "end"
	EventError = "error"
)

// StreamEnd is the data of an EventEnd event, which marks a complete answer.
type StreamEnd struct {
	Outcome Outcome `json:"outcome"`
	Bytes   int64   `json:"bytes"`
	SHA256  string  `json:"sha256"`
}

// eventWriter writes an answer as server-sent events. Each chunk is written and
// flushed before the next one is read, so that a slow caller applies backpressure
// to the backend server.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	digest     hash.Hash
	bytes      int64
	started    bool
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, controller: http.NewResponseController(w), digest: sha256.New()}
}

func (s *eventWriter) writeChunk(data []byte) error {
	s.digest.Write(data)
	s.bytes += int64(len(data))
	return s.writeEvent(EventData, string(data))
}

// finish writes the last event: the end of the answer, or the problem. A problem
// before the first chunk is sent as a problem response instead of an event.
func (s *eventWriter) finish(result Result) error {
	switch {
	case result.Problem == nil:
		end := StreamEnd{Outcome: OutcomeCompleted, Bytes: s.bytes, SHA256: hex.EncodeToString(s.digest.Sum(nil))}
		return s.writeEvent(EventEnd, end)
	case s.started:
		return s.writeEvent(EventError, result.Problem)
	default:
		result.Problem.write(s.w)
		return nil
	}
}

// writeEvent writes one event with data encoded as JSON, and flushes it.
func (s *eventWriter) writeEvent(name string, data any) error {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
	}
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	message := sse.Message{Type: sse.Type(name)}
	message.AppendData(string(encoded))
	if _, err := message.WriteTo(s.w); err != nil {
		return err
	}
	return s.controller.Flush()
}
