package backend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"net/http"

	"github.com/tmaxmax/go-sse"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answermemory"
	"github.com/coltsfootdrift/coltsfootdrift/internal/httpbody"
)

// maxEventBytes limits the size of one server-sent event.
const maxEventBytes = 4 << 20

// answerStream is a whole JSON answer as a stream of one chunk.
type answerStream struct {
	output json.RawMessage
	read   bool
	body   io.Closer
}

// maxEnvelopeBytes limits the size of an answer without its output.
const maxEnvelopeBytes = 4 << 10

func newAnswerStream(response *http.Response, request StageRequest, memory *answermemory.Holding) (StageStream, error) {
	limit := request.MaxAnswerBytes + maxEnvelopeBytes
	if response.ContentLength > limit {
		return nil, tooLargeError(request)
	}
	data, err := memory.ReadBody(response.Body, limit)
	if errors.Is(err, httpbody.ErrTooLarge) {
		return nil, tooLargeError(request)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadAnswer, err)
	}
	answer, err := decodeAnswer(data, request.Attempt)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadAnswer, err)
	}
	if answer.Attempt != request.Attempt {
		return nil, fmt.Errorf("%w: attempt %q", ErrWrongAttempt, answer.Attempt)
	}
	if len(answer.Output) == 0 {
		return nil, fmt.Errorf("%w: no output", ErrBadAnswer)
	}
	if int64(len(answer.Output)) > request.MaxAnswerBytes {
		return nil, tooLargeError(request)
	}
	return &answerStream{output: answer.Output, body: response.Body}, nil
}

// decodeAnswer decodes an answer. The usual form, in which the attempt comes first
// and the output last, is split by comparing its bytes, because encoding/json would
// scan the output several times.
func decodeAnswer(data []byte, attempt string) (answer Answer, err error) {
	output, ok := bytes.CutPrefix(data, []byte(`{"attempt":"`+attempt+`","output":`))
	if ok {
		output, ok = bytes.CutSuffix(bytes.TrimRight(output, "\n"), []byte("}"))
	}
	if ok && json.Valid(output) {
		return Answer{Attempt: attempt, Output: output}, nil
	}
	err = json.Unmarshal(data, &answer)
	return answer, err
}

func tooLargeError(request StageRequest) error {
	return fmt.Errorf("%w: answer exceeds %d bytes", ErrBadAnswer, request.MaxAnswerBytes)
}

func (s *answerStream) Next() ([]byte, error) {
	if s.read {
		return nil, io.EOF
	}
	s.read = true
	return s.output, nil
}

func (s *answerStream) Close() error {
	return s.body.Close()
}

// eventStream reads a generated stream of server-sent events.
type eventStream struct {
	request StageRequest
	body    io.Closer
	memory  *eventMemory
	next    func() (sse.Event, error, bool)
	stop    func()
	// offset is the number of bytes received so far of the whole stream, including
	// those before a resume.
	offset int64
}

func newEventStream(body io.ReadCloser, request StageRequest, holding *answermemory.Holding) *eventStream {
	memory := &eventMemory{body: body, holding: holding}
	next, stop := iter.Pull2(sse.Read(memory, &sse.ReadConfig{MaxEventSize: maxEventBytes}))
	return &eventStream{request: request, body: body, memory: memory, next: next, stop: stop, offset: request.ResumeOffset}
}

// eventCopies is how often the bytes of an event are in memory: in the buffer of its reader,
// which grows by doubling, and in the event.
const eventCopies = 3

// eventMemory reads a stream and reserves memory for what was read since the last event.
type eventMemory struct {
	body    io.Reader
	holding *answermemory.Holding
	held    int64
}

func (m *eventMemory) Read(p []byte) (int, error) {
	n, err := m.body.Read(p)
	size := int64(n) * eventCopies
	if noRoom := m.holding.Reserve(size); noRoom != nil {
		return 0, noRoom
	}
	m.held += size
	return n, err
}

// release gives the memory of an event back.
func (m *eventMemory) release() {
	m.holding.Release(m.held)
	m.held = 0
}

func (s *eventStream) Next() ([]byte, error) {
	event, err, ok := s.next()
	s.memory.release()
	if !ok {
		return nil, ErrBrokenStream
	}
	if errors.Is(err, bufio.ErrTooLong) {
		return nil, fmt.Errorf("%w: event exceeds %d bytes", ErrBadAnswer, maxEventBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBrokenStream, err)
	}
	switch event.Type {
	case EventChunk:
		return s.chunk(event.Data)
	case EventEnd:
		return nil, s.end(event.Data)
	default:
		return nil, fmt.Errorf("%w: event %q", ErrBadAnswer, event.Type)
	}
}

func (s *eventStream) chunk(data string) ([]byte, error) {
	var chunk StreamChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadAnswer, err)
	}
	if chunk.Attempt != s.request.Attempt {
		return nil, fmt.Errorf("%w: chunk of attempt %q", ErrWrongAttempt, chunk.Attempt)
	}
	if chunk.Offset != s.offset {
		return nil, fmt.Errorf("%w: chunk at offset %d, want %d", ErrBadAnswer, chunk.Offset, s.offset)
	}
	s.offset += int64(len(chunk.Data))
	if s.offset > s.request.MaxAnswerBytes {
		return nil, tooLargeError(s.request)
	}
	return []byte(chunk.Data), nil
}

// end checks the end mark and returns io.EOF when the answer is complete.
func (s *eventStream) end(data string) error {
	var end StreamEnd
	if err := json.Unmarshal([]byte(data), &end); err != nil {
		return fmt.Errorf("%w: %w", ErrBadAnswer, err)
	}
	if end.Attempt != s.request.Attempt {
		return fmt.Errorf("%w: end mark of attempt %q", ErrWrongAttempt, end.Attempt)
	}
	if end.Bytes != s.offset {
		return fmt.Errorf("%w: %d bytes received, end mark says %d", ErrBadAnswer, s.offset, end.Bytes)
	}
	return io.EOF
}

func (s *eventStream) Close() error {
	err := s.body.Close()
	s.stop()
	return err
}
