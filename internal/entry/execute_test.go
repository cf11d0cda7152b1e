package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Guards against an outcome not_run or failed although a non-idempotent call may
// have run, and against a second such call.
func TestOutcomeMatchesCallsThatRan(t *testing.T) {
	faults := []error{nil, nil, nil, backend.ErrNotSent, backend.ErrRefused, backend.ErrDraining, backend.ErrInvalid, backend.ErrMayHaveRun, backend.ErrBadAnswer}
	rapid.Check(t, func(t *rapid.T) {
		var mu sync.Mutex
		ran, onceRan := 0, map[string]int{}
		caller := &fakeCaller{answer: func(_ context.Context, _ string, request backend.StageRequest) (backend.StageStream, error) {
			mu.Lock()
			defer mu.Unlock()
			err := rapid.SampledFrom(faults).Draw(t, "fault")
			if !backend.DefinitelyNotRun(err) {
				ran++
				onceRan[request.Model]++
			}
			if err != nil {
				return nil, err
			}
			return completeStream(`1`), nil
		}}
		names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "once-b", "c", "once-d"}), 1, 4, rapid.ID).Draw(t, "stages")
		request := newPipelineRequest(stages(names...))
		for i := range request.Pipeline.Stages {
			request.Pipeline.Stages[i].Model = request.Pipeline.Stages[i].Name
		}
		budget := rapid.IntRange(0, 5).Draw(t, "budget")
		result := newTestExecutor(caller, budget).Execute(context.Background(), request, ExecutionOptions{})

		once := onceRan["once-b"] + onceRan["once-d"]
		if onceRan["once-b"] > 1 || onceRan["once-d"] > 1 {
			t.Fatalf("a once stage may have run twice: %v", onceRan)
		}
		want := OutcomeNotRun
		switch {
		case result.Problem == nil:
			want = OutcomeCompleted
		case once > 0:
			want = OutcomeUnknown
		case ran > 0:
			want = OutcomeFailed
		}
		if result.Outcome != want {
			t.Fatalf("outcome %q, want %q after %d calls, %d of once stages", result.Outcome, want, ran, once)
		}
	})
}

// Guards against retries that are missing, beyond the budget, or forbidden.
func TestRetries(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		stage   string
		err     error
		budget  int
		servers []string
		status  int
	}{
		{"a", backend.ErrMayHaveRun, 9, []string{"s1", "s2", "s3"}, http.StatusBadGateway},
		{"a", backend.ErrMayHaveRun, 1, []string{"s1", "s2"}, http.StatusBadGateway},
		{"a", backend.ErrNotSent, 0, []string{"s1"}, http.StatusServiceUnavailable},
		{"a", backend.ErrDraining, 0, []string{"s1", "s2", "s3"}, http.StatusServiceUnavailable},
		{"a", backend.ErrInvalid, 9, []string{"s1"}, http.StatusUnprocessableEntity},
		{"once", backend.ErrMayHaveRun, 9, []string{"s1"}, http.StatusBadGateway},
		{"once", backend.ErrBadAnswer, 9, []string{"s1"}, http.StatusBadGateway},
		{"once", backend.ErrRefused, 9, []string{"s1", "s2", "s3"}, http.StatusServiceUnavailable},
	} {
		caller := &fakeCaller{answer: func(context.Context, string, backend.StageRequest) (backend.StageStream, error) {
			return nil, fmt.Errorf("%w: at 10.0.0.1", test.err)
		}}
		result := newTestExecutor(caller, test.budget).Execute(c.Context(), newPipelineRequest(stages(test.stage)), ExecutionOptions{})
		note := qt.Commentf("%s %v", test.stage, test.err)
		c.Check(caller.servers(), qt.DeepEquals, test.servers, note)
		c.Check(result.Problem.Status, qt.Equals, test.status, note)
		c.Check(result.Problem.Detail, qt.Not(qt.Contains), "10.0.0.1", note)
		c.Check(result.Problem.RetryAfterMS > 0, qt.Equals, test.status == http.StatusServiceUnavailable, note)
	}
}

// Guards against a request that ends one backend server after the other, and against one that
// fails because servers reset its connections.
func TestRequestsThatEndServersAreGivenUp(t *testing.T) {
	c := qt.New(t)
	for _, ended := range []bool{true, false} {
		caller := &fakeCaller{answer: func(context.Context, string, backend.StageRequest) (backend.StageStream, error) {
			return nil, backend.ErrMayHaveRun
		}}
		executor := newTestExecutor(caller, 9)
		executor.ServerEnded = func(context.Context, backend.Server) bool { return ended }
		result := executor.Execute(c.Context(), newPipelineRequest(stages("a")), ExecutionOptions{})
		c.Check(result.ServersEnded, qt.Equals, ended)
		if ended {
			c.Check(caller.servers(), qt.DeepEquals, []string{"s1", "s2"})
		} else {
			c.Check(caller.servers(), qt.HasLen, 3)
		}
	}
}

// Guards against a hedged call whose slower attempt is waited for, delivered or
// left running until the end of the request, whichever of the two is faster.
func TestHedgeFirstAnswerWins(t *testing.T) {
	c := qt.New(t)
	for _, winner := range []string{"s1", "s2"} {
		scope := tally.NewTestScope("", nil)
		hedged, cancelled := make(chan struct{}), make(chan struct{})
		caller := &fakeCaller{answer: func(ctx context.Context, server string, request backend.StageRequest) (backend.StageStream, error) {
			if string(request.Input) != "{}" { // the stage after the hedged one
				select {
				case <-cancelled:
				case <-ctx.Done():
				}
				return completeStream(string(request.Input)), ctx.Err()
			}
			if server == "s2" {
				close(hedged)
			}
			if server == winner {
				<-hedged
				return completeStream(`"` + server + `"`), nil
			}
			<-ctx.Done()
			close(cancelled)
			return completeStream(`"late"`), nil
		}}
		e := newTestExecutor(caller, 0)
		e.Hedges = alwaysHedge{}
		e.Metrics = NewRequestMetrics(scope, "")
		request := newPipelineRequest(stages("a", "b"))
		request.Deadline = time.Now().Add(10 * time.Second)
		result := e.Execute(c.Context(), request, ExecutionOptions{})
		c.Assert(result.Outcome, qt.Equals, OutcomeCompleted)
		c.Assert(string(result.Answer), qt.Contains, `"a":"`+winner+`"`)
		for scope.Snapshot().Counters()["dropped_answers+"].Value() == 0 {
			runtime.Gosched()
		}
		c.Assert(scope.Snapshot().Counters()["stage_hedges+"].Value() > 0, qt.IsTrue)
	}
}

// Guards against a hedge of a call that must not run twice, or whose answer is
// streamed.
func TestOnceAndStreamedCallsAreNotHedged(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		stages []string
		emit   func([]byte) error
	}{
		{[]string{"once"}, nil},
		{[]string{"a", "once"}, nil},
		{[]string{"a"}, func([]byte) error { return nil }},
	} {
		caller := &fakeCaller{answer: func(context.Context, string, backend.StageRequest) (backend.StageStream, error) {
			return completeStream(`1`), nil
		}}
		e := newTestExecutor(caller, 0)
		e.Hedges = alwaysHedge{}
		result := e.Execute(c.Context(), newPipelineRequest(stages(test.stages...)), ExecutionOptions{Emit: test.emit})
		c.Assert(result.Outcome, qt.Equals, OutcomeCompleted)
		c.Assert(caller.servers(), qt.HasLen, len(test.stages))
	}
}

// Guards against a resumed stream with a gap, a repeated part or the attempt ID of
// an earlier attempt, and against the resume of an at-most-once request.
func TestResumedStreamContinuesAtOffset(t *testing.T) {
	c := qt.New(t)
	const text = "0123456789"
	caller := &fakeCaller{answer: func(_ context.Context, _ string, request backend.StageRequest) (backend.StageStream, error) {
		end := min(request.ResumeOffset+4, int64(len(text)))
		stream := &fakeStream{[]string{text[request.ResumeOffset:end]}, backend.ErrBrokenStream}
		if end == int64(len(text)) {
			stream.end = io.EOF
		}
		return stream, nil
	}}
	request := newPipelineRequest(stages("a"))
	request.Pipeline.Stages[0].Type = pipeline.StageGenerate
	var got string
	emit := func(chunk []byte) error {
		got += string(chunk)
		return nil
	}
	result := newTestExecutor(caller, 9).Execute(c.Context(), request, ExecutionOptions{Emit: emit})
	c.Assert(result.Outcome, qt.Equals, OutcomeCompleted)
	c.Assert(got, qt.Equals, text)
	c.Assert(caller.servers(), qt.DeepEquals, []string{"s1", "s1", "s1"})
	c.Assert(caller.calls[0].request.Attempt, qt.Not(qt.Equals), caller.calls[1].request.Attempt)

	request.Kind.Repeat = pipeline.RepeatAtMostOnce
	result = newTestExecutor(caller, 9).Execute(c.Context(), request, ExecutionOptions{Emit: emit})
	c.Assert(result.Outcome, qt.Equals, OutcomeFailed)
	c.Assert(caller.servers(), qt.HasLen, 4)
}

// Guards against independent stages that wait for each other, and against a stage
// that starts before its predecessors have finished.
func TestIndependentStagesRunInParallel(t *testing.T) {
	c := qt.New(t)
	meet := make(chan struct{})
	caller := &fakeCaller{answer: func(ctx context.Context, _ string, request backend.StageRequest) (backend.StageStream, error) {
		if request.Model == "join" {
			return completeStream(string(request.Input)), nil
		}
		select {
		case meet <- struct{}{}:
		case <-meet:
		case <-ctx.Done():
		}
		return completeStream(`1`), ctx.Err()
	}}
	all := stages("left", "right", "join")
	all[1].After = []string{"left"}
	all = append(stages("root"), all...)
	all[1].After, all[2].After, all[3].After = []string{"root"}, []string{"root"}, []string{"left", "right"}
	all[3].Model = "join"
	request := newPipelineRequest(all)
	request.Deadline = time.Now().Add(10 * time.Second)
	result := newTestExecutor(caller, 0).Execute(c.Context(), request, ExecutionOptions{Results: map[string]json.RawMessage{"root": json.RawMessage(`0`)}})
	c.Assert(string(result.Answer), qt.JSONEquals, map[string]any{"request": map[string]any{}, "left": 1, "right": 1})
}

// Guards against a non-idempotent call that is cancelled because an independent
// stage failed: its outcome would be lost.
func TestFailedStageDoesNotCancelOnce(t *testing.T) {
	c := qt.New(t)
	running := make(chan struct{})
	caller := &fakeCaller{answer: func(ctx context.Context, _ string, request backend.StageRequest) (backend.StageStream, error) {
		if request.Model == "fails" {
			<-running
			return nil, backend.ErrMayHaveRun
		}
		close(running)
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond): // a cancellation arrives well before
		}
		return completeStream(`1`), ctx.Err()
	}}
	all := stages("once", "fails")
	all[0].After, all[1].After = []string{"root"}, []string{"root"}
	all[1].Model = "fails"
	request := newPipelineRequest(append(stages("root"), all...))
	result := newTestExecutor(caller, 0).Execute(c.Context(), request, ExecutionOptions{Results: map[string]json.RawMessage{"root": json.RawMessage(`0`)}})
	c.Assert(result.Outcome, qt.Equals, OutcomeUnknown)
	c.Assert(caller.calls, qt.HasLen, 2)
	for _, call := range caller.calls {
		c.Check(call.err, qt.Not(qt.ErrorIs), context.Canceled)
	}
}

// Guards against a disconnect of the caller that cancels a non-idempotent call, or
// that does not cancel idempotent calls.
func TestCallerDisconnect(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		stages []string
		want   Outcome
	}{
		{[]string{"a", "b"}, OutcomeFailed},
		{[]string{"once", "b"}, OutcomeCompleted},
	} {
		ctx, cancel := context.WithCancel(c.Context())
		caller := &fakeCaller{answer: func(ctx context.Context, _ string, _ backend.StageRequest) (backend.StageStream, error) {
			cancel()
			if test.want == OutcomeCompleted {
				return completeStream(`1`), ctx.Err()
			}
			<-ctx.Done()
			return nil, errors.Join(backend.ErrMayHaveRun, ctx.Err())
		}}
		request := newPipelineRequest(stages(test.stages...))
		failedWrite := func([]byte) error { return errors.New("connection reset") }
		result := newTestExecutor(caller, 9).Execute(ctx, request, ExecutionOptions{Emit: failedWrite, Claim: &fakeClaim{}})
		c.Check(result.Outcome, qt.Equals, test.want)
	}
}
