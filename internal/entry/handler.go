package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/tmaxmax/go-sse"
)

// PathRequest is the route of callers' requests.
const PathRequest = "/v1/organisations/{organisation}/pipelines/{pipeline}/kinds/{kind}"

// Names of the server-sent events of a streamed answer.
const (
	EventData  = "data"
	EventEnd   = "end"
	EventError = "error"
)

// End is the data of an EventEnd: the mark of a whole answer.
type End struct {
	Outcome Outcome `json:"outcome"`
	Bytes   int64   `json:"bytes"`
	SHA256  string  `json:"sha256"`
}

// Handler serves callers.
type Handler struct {
	Configuration ConfigurationSource
	Executor      *Executor
	Now           func() time.Time
}

// Router returns the routes of the caller API.
func (h *Handler) Router() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(PathRequest, h.serveRequest).Methods(http.MethodPost)
	return router
}

func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	request, problem := parseRequest(r, h.Configuration.Current(), h.Now())
	if problem != nil {
		problem.write(w)
		return
	}
	if request.Stream {
		h.serveStream(w, r, request)
		return
	}
	h.servePlain(w, r, request)
}

// servePlain sends the whole answer with its length, so that a caller notices a
// cut-off one.
func (h *Handler) servePlain(w http.ResponseWriter, r *http.Request, request *Request) {
	var whole bytes.Buffer
	problem := h.Executor.Execute(r.Context(), request, func(piece []byte) error {
		whole.Write(piece)
		return nil
	})
	if problem != nil {
		problem.write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(OutcomeCompleted))
	_, _ = w.Write(asJSON(whole.Bytes()))
}

// serveStream sends pieces as they come and marks the end of the whole answer.
func (h *Handler) serveStream(w http.ResponseWriter, r *http.Request, request *Request) {
	stream := &eventWriter{w: w, control: http.NewResponseController(w), sum: sha256.New()}
	problem := h.Executor.Execute(r.Context(), request, stream.piece)
	switch {
	case problem == nil:
		_ = stream.event(EventEnd, stream.end())
	case !stream.started:
		problem.write(w)
	default:
		_ = stream.event(EventError, problem)
	}
}

// eventWriter writes an answer as server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	sum     hash.Hash
	bytes   int64
	started bool
}

func (s *eventWriter) piece(data []byte) error {
	s.sum.Write(data)
	s.bytes += int64(len(data))
	return s.event(EventData, string(data))
}

func (s *eventWriter) end() End {
	return End{Outcome: OutcomeCompleted, Bytes: s.bytes, SHA256: hex.EncodeToString(s.sum.Sum(nil))}
}

// event writes one event with a JSON document as its data and sends it on.
func (s *eventWriter) event(name string, data any) error {
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
	return s.control.Flush()
}
