// Package standin holds the project's stand-ins of outside systems: backend
// servers, the key-value service and the instance list. They serve tests, the
// demo and the experiments, and record what they were asked to do.
package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/tmaxmax/go-sse"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// BackendConfig describes a stand-in backend server.
type BackendConfig struct {
	ID string
	// Slots is the number of requests that run at once; further ones wait.
	Slots int
	// ServiceTime is how long one request takes when the server isn't slowed.
	ServiceTime time.Duration
	// AnswerBytes is the length of a generated answer.
	AnswerBytes int
	// ChunkBytes is the length of one generated chunk.
	ChunkBytes int
}

// Run is the record of one request that a backend server ran.
type Run struct {
	Server       string
	Attempt      string
	Organisation string
	Pipeline     string
	Kind         string
	Type         pipeline.StageType
	// InputHash is the SHA-256 of the input in hexadecimal.
	InputHash string
	Finished  bool
}

// Backend is a stand-in backend server of any stage type.
type Backend struct {
	config BackendConfig
	slots  chan struct{}

	mu       sync.Mutex
	runs     []*Run
	slowdown float64
	draining bool
}

// NewBackend returns a backend server that isn't slowed.
func NewBackend(config BackendConfig) *Backend {
	return &Backend{config: config, slots: make(chan struct{}, config.Slots), slowdown: 1}
}

// SetSlowdown multiplies the service time.
func (b *Backend) SetSlowdown(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slowdown = factor
}

// SetDraining makes the server refuse new requests as a leaving one.
func (b *Backend) SetDraining(draining bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = draining
}

// Runs returns a copy of the record of requests that ran.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make([]Run, len(b.runs))
	for i, run := range b.runs {
		runs[i] = *run
	}
	return runs
}

// Handler serves the stage wire form.
func (b *Backend) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(backend.PathStage+"{type}", b.serveStage).Methods(http.MethodPost)
	return router
}

func (b *Backend) serveStage(w http.ResponseWriter, r *http.Request) {
	if b.isDraining() {
		refuse(w, http.StatusServiceUnavailable, backend.Refusal{Refused: true, Draining: true})
		return
	}
	var body backend.Body
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		refuse(w, http.StatusBadRequest, backend.Refusal{Refused: true})
		return
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		return
	}
	stageType := pipeline.StageType(mux.Vars(r)["type"])
	run := b.started(r, stageType, body)
	if stageType == pipeline.StageGenerate {
		b.generate(w, r, run, body)
		return
	}
	b.answer(w, r, run, body)
}

func refuse(w http.ResponseWriter, status int, refusal backend.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(refusal)
}

func (b *Backend) isDraining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.draining
}

func (b *Backend) serviceTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(float64(b.config.ServiceTime) * b.slowdown)
}

func (b *Backend) started(r *http.Request, stageType pipeline.StageType, body backend.Body) *Run {
	sum := sha256.Sum256(body.Input)
	run := &Run{
		Server:       b.config.ID,
		Attempt:      r.Header.Get(backend.HeaderAttempt),
		Organisation: body.Organisation,
		Pipeline:     body.Pipeline,
		Kind:         body.Kind,
		Type:         stageType,
		InputHash:    hex.EncodeToString(sum[:]),
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, run)
	return run
}

func (b *Backend) finished(run *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run.Finished = true
}

// answer waits for the service time and sends the input back with the server's name.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, run *Run, body backend.Body) {
	if !sleep(r, b.serviceTime()) {
		return
	}
	output, err := json.Marshal(map[string]any{"server": b.config.ID, "stage": run.Type, "input": body.Input})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	b.finished(run)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(backend.Answer{Attempt: run.Attempt, Output: output})
}

// sleep waits, or returns false when the caller went away.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// GeneratedText returns the answer that every stand-in engine generates for an
// input, so that a reader can check it byte for byte.
func GeneratedText(inputHash string, length int) string {
	line := inputHash + "\n"
	return strings.Repeat(line, length/len(line)+1)[:length]
}

// generate streams GeneratedText from the resume offset on.
func (b *Backend) generate(w http.ResponseWriter, r *http.Request, run *Run, body backend.Body) {
	text := GeneratedText(run.InputHash, b.config.AnswerBytes)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	chunks := max(1, (len(text)+b.config.ChunkBytes-1)/b.config.ChunkBytes)
	for offset := int(body.ResumeOffset); offset < len(text); {
		end := min(offset+b.config.ChunkBytes, len(text))
		if !sleep(r, b.serviceTime()/time.Duration(chunks)) {
			return
		}
		chunk := backend.StreamChunk{Attempt: run.Attempt, Offset: int64(offset), Data: text[offset:end]}
		if writeEvent(w, backend.EventChunk, chunk) != nil || flusher.Flush() != nil {
			return
		}
		offset = end
	}
	b.finished(run)
	_ = writeEvent(w, backend.EventEnd, backend.StreamEnd{Attempt: run.Attempt, Bytes: int64(len(text))})
}

// writeEvent writes one server-sent event with a JSON document as its data.
func writeEvent(w http.ResponseWriter, name string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	message := sse.Message{Type: sse.Type(name)}
	message.AppendData(string(encoded))
	_, err = message.WriteTo(w)
	return err
}
