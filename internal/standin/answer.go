package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// oversizedAnswerBytes is the size of the answer of FaultTooMuch. It is bounded so
// that a caller that enforces no limit finishes too.
const oversizedAnswerBytes = 64 << 20

// bytesPerToken converts a token limit into an answer length in bytes.
const bytesPerToken = 4

// stageResponse writes the response to one stage request.
type stageResponse struct {
	backend *Backend
	w       http.ResponseWriter
	r       *http.Request
	run     Run
	body    backend.Body
}

// serve sends the answer, or applies the fault of the run. It returns true when the
// whole answer was sent.
func (a *stageResponse) serve() bool {
	switch a.run.Fault {
	case FaultHang:
		<-a.r.Context().Done()
		return false
	case FaultError:
		http.Error(a.w, "stand-in error", http.StatusInternalServerError)
		return false
	case FaultGarbage:
		a.w.Header().Set("Content-Type", "application/json")
		_, _ = a.w.Write([]byte("\x00\xff not an answer"))
		return false
	case FaultTooMuch:
		a.sendOversized()
		return false
	}
	if a.run.Type == pipeline.StageGenerate {
		return a.streamText()
	}
	return a.sendDocument()
}

func (a *stageResponse) sendOversized() {
	a.w.Header().Set("Content-Type", "application/json")
	block := []byte(strings.Repeat(" ", 64<<10))
	for range oversizedAnswerBytes / len(block) {
		if _, err := a.w.Write(block); err != nil {
			return
		}
	}
}

// sendDocument waits for the service time and sends the input back with the server's
// ID. A server of any stage type but generate answers like this.
func (a *stageResponse) sendDocument() bool {
	if !clock.Sleep(a.r.Context(), a.backend.serviceTime()) {
		return false
	}
	encoded, err := json.Marshal(output{
		Server:    a.backend.config.ID,
		Stage:     a.run.Type,
		RequestID: a.run.RequestID,
		Input:     a.body.Input,
	})
	if err != nil {
		http.Error(a.w, err.Error(), http.StatusInternalServerError)
		return false
	}
	answer, err := json.Marshal(backend.Answer{Attempt: a.run.Attempt, Output: encoded})
	if err != nil {
		http.Error(a.w, err.Error(), http.StatusInternalServerError)
		return false
	}
	a.w.Header().Set("Content-Type", "application/json")
	if a.run.Fault == FaultHalf {
		a.abort(answer[:len(answer)/2])
	}
	_, err = a.w.Write(answer)
	return err == nil
}

// abort sends a part of the answer and closes the connection.
func (a *stageResponse) abort(part []byte) {
	_, _ = a.w.Write(part)
	_ = http.NewResponseController(a.w).Flush()
	panic(http.ErrAbortHandler)
}

// answerBytes returns the length of a generated answer: the one that the caller
// requests, or else the server's, limited by the maximum number of tokens.
func (b *Backend) answerBytes(body backend.Body) int {
	length := b.config.AnswerBytes
	if requested := readCallerBody(body.Input).AnswerBytes; requested > 0 {
		length = requested
	}
	if body.MaxTokens > 0 {
		length = min(length, body.MaxTokens*bytesPerToken)
	}
	return length
}

// GeneratedText returns the answer that every stand-in engine generates for an
// input. It is deterministic, so that a reader can check it byte for byte.
func GeneratedText(inputHash string, length int) string {
	line := inputHash + "\n"
	return strings.Repeat(line, length/len(line)+1)[:length]
}

// streamText streams GeneratedText from the resume offset on. The service time of
// the engine applies to an answer of its configured length; longer and shorter ones
// take proportionally longer and shorter.
func (a *stageResponse) streamText() bool {
	text := GeneratedText(a.run.InputHash, a.run.AnswerBytes)
	a.w.Header().Set("Content-Type", "text/event-stream")
	if !clock.Sleep(a.r.Context(), a.backend.engine.prefill(a.body.PrefixKey, a.backend.faults.slowdown())) {
		return false
	}
	// Each chunk has its own due time, so that timer delays do not accumulate.
	due := time.Now()
	for offset := int(a.body.ResumeOffset); offset < len(text); {
		end := min(offset+a.backend.config.ChunkBytes, len(text))
		due = due.Add(a.backend.chunkTime())
		if !clock.Sleep(a.r.Context(), time.Until(due)) {
			return false
		}
		if a.run.Fault == FaultHalf && end > len(text)/2 {
			a.abort(nil)
		}
		chunk := backend.StreamChunk{Attempt: a.run.Attempt, Offset: int64(offset), Data: text[offset:end]}
		if a.sendEvent(backend.EventChunk, chunk) != nil {
			return false
		}
		offset = end
	}
	return a.sendEvent(backend.EventEnd, backend.StreamEnd{Attempt: a.run.Attempt, Bytes: int64(len(text))}) == nil
}

// chunkTime returns the interval between two chunks under the current load.
func (b *Backend) chunkTime() time.Duration {
	chunks := max(1, (b.config.AnswerBytes+b.config.ChunkBytes-1)/b.config.ChunkBytes)
	return b.serviceTime() / time.Duration(chunks)
}

// sendEvent sends one server-sent event with a JSON document as its data.
func (a *stageResponse) sendEvent(name string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	message := sse.Message{Type: sse.Type(name)}
	message.AppendData(string(encoded))
	if _, err := message.WriteTo(a.w); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}
