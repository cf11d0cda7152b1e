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

func (e *eventWriter) writeChunk(data []byte) error {
	e.digest.Write(data)
	e.bytes += int64(len(data))
	return e.writeEvent(EventData, string(data))
}

// finish writes the last event: the end of the answer, or the problem. A problem
// before the first chunk is sent as a problem response instead of an event.
func (e *eventWriter) finish(result Result) error {
	switch {
	case result.Problem == nil:
		end := StreamEnd{Outcome: OutcomeCompleted, Bytes: e.bytes, SHA256: hex.EncodeToString(e.digest.Sum(nil))}
		return e.writeEvent(EventEnd, end)
	case e.started:
		return e.writeEvent(EventError, result.Problem)
	default:
		result.Problem.write(e.w)
		return nil
	}
}

// writeEvent writes one event with data encoded as JSON, and flushes it.
func (e *eventWriter) writeEvent(name string, data any) error {
	if !e.started {
		e.started = true
		e.w.Header().Set("Content-Type", "text/event-stream")
	}
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	message := sse.Message{Type: sse.Type(name)}
	message.AppendData(string(encoded))
	if _, err := message.WriteTo(e.w); err != nil {
		return err
	}
	return e.controller.Flush()
}
