package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Executor runs requests through the stages of their pipelines.
type Executor struct {
	Caller backend.Caller
	Picker Picker
	Now    func() time.Time
}

// execution is the state of one running request.
type execution struct {
	*Executor
	request *Request
	// results holds the output of each finished stage by stage name.
	results map[string]json.RawMessage
	// ran is true once a stage may have run at a backend server.
	ran bool
}

// Execute runs all stages and hands the pieces of the last stage's answer to
// emit. It returns nil when the whole answer was emitted.
func (e *Executor) Execute(ctx context.Context, request *Request, emit func([]byte) error) *Problem {
	order, err := request.Pipeline.Order()
	if err != nil {
		return notRun(http.StatusInternalServerError, ProblemInvalid, "invalid pipeline", err.Error())
	}
	run := &execution{Executor: e, request: request, results: map[string]json.RawMessage{}}
	for position, index := range order {
		sink := emit
		if position < len(order)-1 {
			sink = nil
		}
		if err := run.stage(ctx, index, sink); err != nil {
			return run.problem(request.Pipeline.Stages[index], err)
		}
	}
	return nil
}

// stage runs one stage and keeps its result, or emits it when emit is set.
func (x *execution) stage(ctx context.Context, index int, emit func([]byte) error) error {
	stage := x.request.Pipeline.Stages[index]
	input, err := x.input(index)
	if err != nil {
		return err
	}
	picked, ok := x.Picker.Pick(x.query(stage))
	if !ok {
		return fmt.Errorf("%w: pool %q has no backend server", backend.ErrNotSent, stage.Pool)
	}
	output, err := x.call(ctx, picked.Server(), x.stageRequest(stage, input), emit)
	picked.Done(err, int64(len(input)+len(output)))
	if err != nil {
		return err
	}
	x.results[stage.Name] = output
	return nil
}

// call sends one attempt and reads its answer to the end.
func (x *execution) call(ctx context.Context, server backend.Server, request backend.StageRequest, emit func([]byte) error) (json.RawMessage, error) {
	stream, err := x.Caller.Call(ctx, server, request)
	if err != nil {
		x.ran = x.ran || !backend.DefinitelyNotRun(err)
		return nil, err
	}
	x.ran = true
	output, err := drain(stream, emit)
	return output, errors.Join(err, stream.Close())
}

func (x *execution) query(stage pipeline.Stage) Query {
	return Query{
		Pool:         stage.Pool,
		Model:        stage.Model,
		Organisation: x.request.Organisation.Name,
		Class:        x.request.Kind.Class,
		Idempotent:   !stage.Once,
		LinkBytes:    x.request.Kind.Cost.LinkBytes,
		Remaining:    x.request.Deadline.Sub(x.Now()),
	}
}

// input returns the caller's body for a first stage, and an object of the
// predecessors' results for the others.
func (x *execution) input(index int) (json.RawMessage, error) {
	predecessors := x.request.Pipeline.Predecessors(index)
	if len(predecessors) == 0 {
		return x.request.Body, nil
	}
	inputs := map[string]json.RawMessage{"request": x.request.Body}
	for _, name := range predecessors {
		inputs[name] = x.results[name]
	}
	return json.Marshal(inputs)
}

func (x *execution) stageRequest(stage pipeline.Stage, input json.RawMessage) backend.StageRequest {
	return backend.StageRequest{
		Attempt:        uuid.NewString(),
		Type:           stage.Type,
		Organisation:   x.request.Organisation.Name,
		Pipeline:       x.request.Pipeline.Name,
		Kind:           x.request.Kind.Name,
		Class:          x.request.Kind.Class,
		Priority:       x.request.Kind.Priority,
		Model:          stage.Model,
		Input:          input,
		MaxTokens:      x.request.Kind.Cost.Tokens,
		MaxAnswerBytes: stage.AnswerLimit(),
		Timeout:        x.request.Deadline.Sub(x.Now()),
	}
}

// drain reads a stream to its end mark. With emit it hands the pieces on,
// otherwise it returns them as one JSON document.
func drain(stream backend.StageStream, emit func([]byte) error) (json.RawMessage, error) {
	var whole bytes.Buffer
	for {
		piece, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return asJSON(whole.Bytes()), nil
		}
		if err != nil {
			return nil, err
		}
		if emit == nil {
			whole.Write(piece)
			continue
		}
		if err := emit(piece); err != nil {
			return nil, err
		}
	}
}

// asJSON returns data itself when it is a JSON document, and a JSON string of it
// otherwise, as for generated text.
func asJSON(data []byte) json.RawMessage {
	if json.Valid(data) {
		return data
	}
	text, err := json.Marshal(string(data))
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}

// problem turns the error of a stage into the answer for the caller.
func (x *execution) problem(stage pipeline.Stage, err error) *Problem {
	p := &Problem{
		Type:    ProblemStage,
		Title:   fmt.Sprintf("stage %q failed", stage.Name),
		Status:  http.StatusBadGateway,
		Detail:  err.Error(),
		Outcome: OutcomeFailed,
	}
	switch {
	case stage.Once && !backend.DefinitelyNotRun(err):
		p.Outcome = OutcomeUnknown
	case !x.ran:
		p.Outcome = OutcomeNotRun
		p.Type = ProblemUnavailable
		p.Status = http.StatusServiceUnavailable
	}
	return p
}
