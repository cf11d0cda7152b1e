package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	_ "github.com/coltsfootdrift/coltsfootdrift/internal/fixedseed"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// fakeCall is one call that a fakeCaller recorded.
type fakeCall struct {
	server  string
	request backend.StageRequest
	err     error
}

// fakeCaller answers calls with a function and records them.
type fakeCaller struct {
	answer func(ctx context.Context, server string, request backend.StageRequest) (backend.StageStream, error)
	mu     sync.Mutex
	calls  []fakeCall
}

func (f *fakeCaller) Call(ctx context.Context, server backend.Server, request backend.StageRequest) (backend.StageStream, error) {
	stream, err := f.answer(ctx, server.ID, request)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, fakeCall{server.ID, request, err})
	return stream, err
}

// servers returns the servers in the order in which their calls were answered.
func (f *fakeCaller) servers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for _, call := range f.calls {
		ids = append(ids, call.server)
	}
	return ids
}

// fakeStream is a stream of chunks that ends with an error, which is io.EOF for a
// complete stream.
type fakeStream struct {
	chunks []string
	end    error
}

func completeStream(data ...string) *fakeStream { return &fakeStream{data, io.EOF} }

func (s *fakeStream) Next() ([]byte, error) {
	if len(s.chunks) == 0 {
		return nil, s.end
	}
	chunk := s.chunks[0]
	s.chunks = s.chunks[1:]
	return []byte(chunk), nil
}

func (s *fakeStream) Close() error { return nil }

// fakePicker offers the servers s1 to s3, in this order, in every pool.
type fakePicker struct{}

func (fakePicker) Pick(query Query) (PickedServer, bool) {
	for _, id := range []string{"s1", "s2", "s3"} {
		if !slices.Contains(query.Excluded, id) {
			return fakePickedServer{id}, true
		}
	}
	return nil, false
}

// fakePickedServer is a server of a fakePicker.
type fakePickedServer struct{ id string }

func (p fakePickedServer) Server() backend.Server { return backend.Server{ID: p.id} }
func (p fakePickedServer) FirstByte()             {}
func (p fakePickedServer) Done(error, int64)      {}

// fixedRetryBudget is a budget of a fixed number of retries.
type fixedRetryBudget struct{ remaining int }

func (r *fixedRetryBudget) CountRequest() {}
func (r *fixedRetryBudget) Allow() bool {
	r.remaining--
	return r.remaining >= 0
}

// alwaysHedge is a HedgePolicy that hedges every call at once.
type alwaysHedge struct{}

func (alwaysHedge) Delay(Query) (time.Duration, bool) { return 0, true }
func (alwaysHedge) Allow(Query) bool                  { return true }

// fakeClaim records how it was settled.
type fakeClaim struct {
	expired bool
	settled string
}

func (c *fakeClaim) Usable() bool { return !c.expired }
func (c *fakeClaim) Finish(_ context.Context, outcome Outcome, answer []byte) error {
	c.settled += fmt.Sprintf("finish %s %s", outcome, answer)
	return nil
}
func (c *fakeClaim) Release(context.Context) error {
	c.settled += "release"
	return nil
}

// fakeClaims grants one claim, or returns a recorded answer.
type fakeClaims struct {
	claim    *fakeClaim
	recorded *RecordedAnswer
}

func (f fakeClaims) Claim(context.Context, *Request) (Claim, *RecordedAnswer, *Problem) {
	return f.claim, f.recorded, nil
}

// fakeAdmission admits a request or refuses it, and records its release.
type fakeAdmission struct {
	problem  *Problem
	released Outcome
}

func (f *fakeAdmission) Admit(context.Context, *Request) (func(Outcome), *Problem) {
	return func(outcome Outcome) { f.released += outcome }, f.problem
}

// stages returns a chain of service stages. Those whose names begin with "once" are
// non-idempotent (pipeline.Stage.Once).
func stages(names ...string) []pipeline.Stage {
	var all []pipeline.Stage
	for _, name := range names {
		all = append(all, pipeline.Stage{Name: name, Type: pipeline.StageService, Pool: name, Once: len(name) >= 4 && name[:4] == "once"})
	}
	return all
}

// newPipelineRequest returns a request of a pipeline. It is at-most-once when a
// stage is non-idempotent.
func newPipelineRequest(all []pipeline.Stage) *Request {
	kind := pipeline.Kind{Name: "k", Repeat: pipeline.RepeatIdempotent, MaxWaitMS: 60000}
	if slices.ContainsFunc(all, func(s pipeline.Stage) bool { return s.Once }) {
		kind.Repeat = pipeline.RepeatAtMostOnce
	}
	return &Request{
		Pipeline: &pipeline.Pipeline{Name: "p", Stages: all}, Kind: kind,
		Body: json.RawMessage(`{}`), Deadline: time.Now().Add(time.Minute),
	}
}

func newTestExecutor(caller *fakeCaller, retryBudget int) *Executor {
	e := NewExecutor(caller, fakePicker{}, time.Now)
	e.Retries = &fixedRetryBudget{remaining: retryBudget}
	return e
}
