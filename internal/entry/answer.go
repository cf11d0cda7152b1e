package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"

	"github.com/google/uuid"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// maxResumes limits how often one generated stream is resumed.
const maxResumes = 3

// answer receives the answer of one server. It takes several attempts when a
// generated stream breaks and is resumed.
type answer struct {
	call *stageCall
	emit func([]byte) error
	// keepAnswer is true when the answer is also collected in buffer.
	keepAnswer bool
	buffer     bytes.Buffer
	// bytes is the number of bytes received so far.
	bytes int64
}

// receive calls the server and reads its answer up to the end mark. It resumes
// a broken stream at the same server.
func (a *answer) receive(ctx context.Context, picked PickedServer) error {
	for resumes := 0; ; resumes++ {
		err := a.sendAttempt(ctx, picked)
		if err == nil || resumes == maxResumes || !a.mayResume(ctx, err) {
			return err
		}
		a.call.Metrics.resumes.Inc(1)
	}
}

// mayResume reports whether a broken stream may be resumed at the same server. If it
// may, the resume is taken from the retry budget.
func (a *answer) mayResume(ctx context.Context, err error) bool {
	c := a.call
	return errors.Is(err, backend.ErrBrokenStream) && a.bytes > 0 &&
		!c.request.Kind.AtMostOnce() && !c.stage.Once && ctx.Err() == nil &&
		!errors.Is(err, context.DeadlineExceeded) && c.Retries.Allow()
}

// sendAttempt sends one attempt and reads its answer.
func (a *answer) sendAttempt(ctx context.Context, picked PickedServer) error {
	c := a.call
	c.countAttempt(1)
	stream, err := c.Caller.Call(ctx, picked.Server(), c.stageRequest(uuid.NewString(), a.bytes))
	if err != nil {
		if backend.DefinitelyNotRun(err) {
			c.countAttempt(-1)
		}
		c.countMismatched(err)
		return err
	}
	err = a.read(stream, picked)
	c.countMismatched(err)
	// The end mark was verified, so an error from Close cannot mean lost data.
	_ = stream.Close()
	return err
}

func (a *answer) read(stream backend.StageStream, picked PickedServer) error {
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if a.bytes == 0 {
			picked.FirstByte()
		}
		if err := a.addChunk(chunk); err != nil {
			return err
		}
	}
}

// addChunk passes a chunk to the caller and to the buffer. When the caller has
// disconnected but a non-idempotent call was sent, the rest of the answer is read
// only to be recorded.
func (a *answer) addChunk(chunk []byte) error {
	a.bytes += int64(len(chunk))
	if a.keepAnswer {
		a.buffer.Write(chunk)
	}
	if a.emit == nil {
		return nil
	}
	a.call.emitted = true
	err := a.emit(chunk)
	if err != nil && a.call.isDetached() {
		a.emit = nil
		return nil
	}
	return err
}

// output returns the collected answer as JSON, or nil when it was not collected.
// Only generated text may be no JSON; the other stage types answer with a JSON
// value.
func (a *answer) output() json.RawMessage {
	switch {
	case !a.keepAnswer:
		return nil
	case a.call.stage.Type == pipeline.StageGenerate:
		return asJSON(a.buffer.Bytes())
	default:
		return a.buffer.Bytes()
	}
}

// asJSON encodes generated text as a JSON document. Data that is a JSON document
// other than a string is returned unchanged; all other data becomes a JSON string.
// asText reverses it.
func asJSON(data []byte) json.RawMessage {
	if json.Valid(data) && !isJSONString(data) {
		return data
	}
	text, err := json.Marshal(string(data))
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}

// asText returns an answer in the form in which it is streamed: the decoded text
// of a JSON string, or any other JSON document unchanged.
func asText(answer json.RawMessage) []byte {
	var text string
	if isJSONString(answer) && json.Unmarshal(answer, &text) == nil {
		return []byte(text)
	}
	return answer
}

func isJSONString(data []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(data, " \t\r\n"), []byte(`"`))
}

// countAttempt adds n to the number of attempts that may have run: 1 before an
// attempt is sent, -1 when it certainly did not run.
func (c *stageCall) countAttempt(n int32) {
	c.maybeRan.Add(n)
	if c.stage.Once {
		c.onceMaybeRan.Add(n)
	}
}

// countMismatched counts an answer that was dropped because it belongs to another
// attempt.
func (c *stageCall) countMismatched(err error) {
	if errors.Is(err, backend.ErrWrongAttempt) {
		c.Metrics.dropped.Inc(1)
	}
}
