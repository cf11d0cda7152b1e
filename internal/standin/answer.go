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
func (s *stageResponse) serve() bool {
	switch s.run.Fault {
	case FaultHang:
		<-s.r.Context().Done()
		return false
	case FaultError:
		http.Error(s.w, "stand-in error", http.StatusInternalServerError)
		return false
	case FaultGarbage:
		s.w.Header().Set("Content-Type", "application/json")
		_, _ = s.w.Write([]byte("\x00\xff not an answer"))
		return false
	case FaultTooMuch:
		s.sendOversized()
		return false
	}
	if s.run.Type == pipeline.StageGenerate {
		return s.streamText()
	}
	return s.sendDocument()
}

func (s *stageResponse) sendOversized() {
	s.w.Header().Set("Content-Type", "application/json")
	block := []byte(strings.Repeat(" ", 64<<10))
	for range oversizedAnswerBytes / len(block) {
		if _, err := s.w.Write(block); err != nil {
			return
		}
	}
}

// sendDocument waits for the service time and sends the input back with the server's
// ID. A server of any stage type but generate answers like this.
func (s *stageResponse) sendDocument() bool {
	if !clock.Sleep(s.r.Context(), s.backend.serviceTime()) {
		return false
	}
	encoded, err := json.Marshal(output{
		Server:    s.backend.config.ID,
		Stage:     s.run.Type,
		RequestID: s.run.RequestID,
		Input:     s.body.Input,
	})
	if err != nil {
		http.Error(s.w, err.Error(), http.StatusInternalServerError)
		return false
	}
	answer, err := json.Marshal(backend.Answer{Attempt: s.run.Attempt, Output: encoded})
	if err != nil {
		http.Error(s.w, err.Error(), http.StatusInternalServerError)
		return false
	}
	s.w.Header().Set("Content-Type", "application/json")
	switch s.run.Fault {
	case FaultHalf:
		s.abort(answer[:len(answer)/2])
	case FaultCloseDelimited:
		s.sendCloseDelimited(answer[:len(answer)/2])
		return false
	}
	_, err = s.w.Write(answer)
	return err == nil
}

// abort sends a part of the answer and closes the connection.
func (s *stageResponse) abort(part []byte) {
	_, _ = s.w.Write(part)
	_ = http.NewResponseController(s.w).Flush()
	panic(http.ErrAbortHandler)
}

// sendCloseDelimited sends a part of the answer whose only end is that of its connection.
func (s *stageResponse) sendCloseDelimited(part []byte) {
	conn, buffered, err := http.NewResponseController(s.w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n\r\n%s", s.w.Header().Get("Content-Type"), part)
	_ = buffered.Flush() // fails when the caller is gone
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
func (s *stageResponse) streamText() bool {
	text := GeneratedText(s.run.InputHash, s.run.AnswerBytes)
	s.w.Header().Set("Content-Type", "text/event-stream")
	if !clock.Sleep(s.r.Context(), s.backend.engine.prefill(s.body.PrefixKey, s.backend.faults.slowdown())) {
		return false
	}
	// Each chunk has its own due time, so that timer delays do not accumulate.
	due := time.Now()
	for offset := int(s.body.ResumeOffset); offset < len(text); {
		end := min(offset+s.backend.config.ChunkBytes, len(text))
		due = due.Add(s.backend.chunkTime())
		if !clock.Sleep(s.r.Context(), time.Until(due)) {
			return false
		}
		if s.run.Fault == FaultHalf && end > len(text)/2 {
			s.abort(nil)
		}
		chunk := backend.StreamChunk{Attempt: s.run.Attempt, Offset: int64(offset), Data: text[offset:end]}
		if s.run.Fault == FaultCloseDelimited {
			s.sendUnfinishedEvent(backend.EventChunk, chunk)
			return false
		}
		if s.sendEvent(backend.EventChunk, chunk) != nil {
			return false
		}
		offset = end
	}
	return s.sendEvent(backend.EventEnd, backend.StreamEnd{Attempt: s.run.Attempt, Bytes: int64(len(text))}) == nil
}

// chunkTime returns the interval between two chunks under the current load.
func (b *Backend) chunkTime() time.Duration {
	chunks := max(1, (b.config.AnswerBytes+b.config.ChunkBytes-1)/b.config.ChunkBytes)
	return b.serviceTime() / time.Duration(chunks)
}

// sendEvent sends one server-sent event with a JSON document as its data.
func (s *stageResponse) sendEvent(name string, data any) error {
	event, err := encodeEvent(name, data)
	if err != nil {
		return err
	}
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// sendUnfinishedEvent sends a close-delimited stream that ends inside its first event.
func (s *stageResponse) sendUnfinishedEvent(name string, data any) {
	if event, err := encodeEvent(name, data); err == nil {
		s.sendCloseDelimited(event[:len(event)-1])
	}
}

func encodeEvent(name string, data any) ([]byte, error) {
	encoded, err := json.Marshal(data)
	if err != nil {
		return nil, fmt.Errorf("encode event: %w", err)
	}
	message := sse.Message{Type: sse.Type(name)}
	message.AppendData(string(encoded))
	return message.MarshalText()
}
