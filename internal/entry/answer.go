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

// maxResumes bounds how often one generated stream is continued.
const maxResumes = 3

// answer receives the answer of one server, over several attempts when a
// generated stream breaks.
type answer struct {
	call *stageCall
	emit func([]byte) error
	// whole is true when the answer is kept.
	whole  bool
	buffer bytes.Buffer
	// bytes is the length of the answer so far.
	bytes int64
}

// receive calls the server and reads its answer to the end mark.
func (a *answer) receive(ctx context.Context, picked Picked) error {
	for resumes := 0; ; resumes++ {
		err := a.exchange(ctx, picked)
		if err == nil || resumes == maxResumes || !a.mayResume(ctx, err) {
			return err
		}
		a.call.Metrics.resumes.Inc(1)
	}
}

// mayResume reports whether the same server may continue a broken stream.
func (a *answer) mayResume(ctx context.Context, err error) bool {
	c := a.call
	return errors.Is(err, backend.ErrBrokenStream) && a.bytes > 0 &&
		!c.request.Kind.AtMostOnce() && !c.stage.Once && ctx.Err() == nil &&
		!errors.Is(err, context.DeadlineExceeded) && c.Retries.Allow()
}

// exchange sends one attempt and reads what it answers.
func (a *answer) exchange(ctx context.Context, picked Picked) error {
	c := a.call
	c.countAttempt(1)
	stream, err := c.Caller.Call(ctx, picked.Server(), c.stageRequest(uuid.NewString(), a.bytes))
	if err != nil {
		if backend.DefinitelyNotRun(err) {
			c.countAttempt(-1)
		}
		c.countCrossed(err)
		return err
	}
	err = a.read(stream, picked)
	c.countCrossed(err)
	// The end mark was verified, so that an error of Close loses nothing.
	_ = stream.Close()
	return err
}

func (a *answer) read(stream backend.StageStream, picked Picked) error {
	for {
		piece, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if a.bytes == 0 {
			picked.FirstByte()
		}
		if err := a.add(piece); err != nil {
			return err
		}
	}
}

// add hands a piece on. When the caller has gone but a once call was sent, the
// rest is read for the record only.
func (a *answer) add(piece []byte) error {
	a.bytes += int64(len(piece))
	if a.whole {
		a.buffer.Write(piece)
	}
	if a.emit == nil {
		return nil
	}
	a.call.emitted = true
	err := a.emit(piece)
	if err != nil && a.call.isDetached() {
		a.emit = nil
		return nil
	}
	return err
}

// output returns the kept answer as JSON, or nil. Only generated text can be
// something else than JSON; the other stage types answer a JSON value.
func (a *answer) output() json.RawMessage {
	switch {
	case !a.whole:
		return nil
	case a.call.stage.Type == pipeline.StageGenerate:
		return asJSON(a.buffer.Bytes())
	default:
		return a.buffer.Bytes()
	}
}

// asJSON returns generated text as a JSON document: data itself when it is one,
// unless it is a JSON string, and otherwise a JSON string of it. asText reverses it.
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

// asText returns an answer as it is streamed: the text of a JSON string, and any
// other document itself.
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

// countAttempt records that an attempt may have run (1), or did not (-1).
func (c *stageCall) countAttempt(n int32) {
	c.maybeRan.Add(n)
	if c.stage.Once {
		c.onceMaybeRan.Add(n)
	}
}

// countCrossed counts an answer that belongs to another attempt.
func (c *stageCall) countCrossed(err error) {
	if errors.Is(err, backend.ErrWrongAttempt) {
		c.Metrics.dropped.Inc(1)
	}
}
