package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// newTestHandler serves the pipelines read (idempotent) and order (at-most-once).
func newTestHandler(caller *fakeCaller, claims Claims) *Handler {
	kind := func(repeat pipeline.Repeat) []pipeline.Kind {
		return []pipeline.Kind{{Name: "k", Repeat: repeat, MaxWaitMS: 60000}}
	}
	set := &pipeline.Set{
		Deployment: pipeline.Deployment{Organisations: []pipeline.Organisation{{Name: "acme"}}},
		Pipelines: []pipeline.Pipeline{
			{Name: "read", Stages: stages("a"), Kinds: kind(pipeline.RepeatIdempotent)},
			{Name: "order", Stages: stages("a", "once"), Kinds: kind(pipeline.RepeatAtMostOnce)},
		},
	}
	return &Handler{Configuration: fixedConfiguration{set}, Executor: newTestExecutor(caller, 0), Claims: claims, Now: time.Now}
}

func postRequest(h *Handler, pipeline, body string, header http.Header) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "/v1/organisations/acme/pipelines/"+pipeline+"/kinds/k", strings.NewReader(body))
	request.Header = header
	recorder := httptest.NewRecorder()
	h.Router().ServeHTTP(recorder, request)
	return recorder
}

type fixedConfiguration struct{ set *pipeline.Set }

func (f fixedConfiguration) Current() *pipeline.Set { return f.set }

// Guards against invalid requests that cause a panic, run, or are answered without
// problem details with the outcome not_run.
func TestBadRequests(t *testing.T) {
	c := qt.New(t)
	header := func(name string, values ...string) http.Header { return http.Header{name: values} }
	for _, test := range []struct {
		pipeline, body string
		header         http.Header
		status         int
	}{
		{"none", "{}", nil, http.StatusNotFound},
		{"read/kinds/none/x", "{}", nil, http.StatusNotFound},
		{"read", "{", nil, http.StatusBadRequest},
		{"read", "", nil, http.StatusBadRequest},
		{"read", `"` + strings.Repeat("x", maxBodyBytes) + `"`, nil, http.StatusRequestEntityTooLarge},
		{"read", "{}", header("Grpc-Timeout", "-5S"), http.StatusBadRequest},
		{"read", "{}", header("Grpc-Timeout", "S"), http.StatusBadRequest},
		{"read", "{}", header("Grpc-Timeout", "5"), http.StatusBadRequest},
		{"read", "{}", header("Grpc-Timeout", "0S"), http.StatusGatewayTimeout},
		{"read", "{}", header("Prefer", "wait=-1"), http.StatusBadRequest},
		{"read", "{}", header("Prefer", "wait=999999999999"), http.StatusBadRequest},
		{"read", "{}", header("Prefer", "handling=lenient", `Wait="0"; x=y`), http.StatusGatewayTimeout},
		{"order", "{}", nil, http.StatusBadRequest},
		{"order", "{}", header("Idempotency-Key", ""), http.StatusBadRequest},
		{"order", "{}", header("Idempotency-Key", "a", "b"), http.StatusBadRequest},
		{"order", "{}", header("Idempotency-Key", strings.Repeat("k", maxKeyBytes+1)), http.StatusBadRequest},
		{"order", "{}", header("Idempotency-Key", "k"), http.StatusServiceUnavailable}, // no claims
	} {
		caller := &fakeCaller{}
		answer := postRequest(newTestHandler(caller, nil), test.pipeline, test.body, test.header)
		note := qt.Commentf("%s %.20q %v", test.pipeline, test.body, test.header)
		var problem Problem
		c.Check(json.Unmarshal(answer.Body.Bytes(), &problem), qt.IsNil, note)
		c.Check(answer.Code, qt.Equals, test.status, note)
		c.Check(problem.Status, qt.Equals, test.status, note)
		c.Check(problem.Outcome, qt.Equals, OutcomeNotRun, note)
		c.Check(answer.Header().Get("Content-Type"), qt.Equals, "application/problem+json", note)
		c.Check(caller.calls, qt.HasLen, 0, note)
	}
	starting := newTestHandler(nil, nil)
	starting.Configuration = fixedConfiguration{}
	answer := postRequest(starting, "read", "{}", nil)
	c.Assert(answer.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(answer.Header().Get("Retry-After"), qt.Equals, "1")
}

// Guards against a deadline header that causes a panic, overflows to a negative
// time, or exceeds the longest wait of the kind.
func TestDeadlineHeaders(t *testing.T) {
	const maxWait = time.Minute
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.StringMatching(`-?[0-9]{0,9}[HMSmunx]?|.{0,4}`).Draw(t, "value")
		for _, header := range []http.Header{{"Grpc-Timeout": {value}}, {"Prefer": {"wait=" + value}}, {"Prefer": {value, ""}}} {
			timeout, err := parseTimeout(header, maxWait)
			if err == nil && (timeout < 0 || timeout > maxWait) {
				t.Fatalf("%v: %v", header, timeout)
			}
		}
	})
	if timeout, err := parseTimeout(http.Header{"Grpc-Timeout": {"99999999H"}}, maxWait); err != nil || timeout != maxWait {
		t.Fatalf("99999999H: %v, %v", timeout, err)
	}
}

// Guards against a claim that is settled contrary to the outcome: a key that stays
// locked after not_run or failed, or can run again after completed or unknown.
func TestClaimIsSettledByOutcome(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		first, once error
		expired     bool
		status      int
		outcome     Outcome
		settled     string
	}{
		{nil, nil, false, 200, OutcomeCompleted, "finish completed 1"},
		{nil, backend.ErrMayHaveRun, false, 502, OutcomeUnknown, "finish unknown "},
		{nil, backend.ErrRefused, false, 503, OutcomeFailed, "release"},
		{backend.ErrRefused, nil, false, 503, OutcomeNotRun, "release"},
		{nil, nil, true, 503, OutcomeFailed, "release"},
	} {
		caller := &fakeCaller{answer: func(_ context.Context, _ string, request backend.StageRequest) (backend.StageStream, error) {
			if strings.Contains(string(request.Input), "request") {
				return completeStream(`1`), test.once
			}
			return completeStream(`0`), test.first
		}}
		claim := &fakeClaim{expired: test.expired}
		for _, accept := range []string{"application/json", "text/event-stream"} {
			claim.settled = ""
			answer := postRequest(newTestHandler(caller, fakeClaims{claim: claim}), "order", "{}", http.Header{"Idempotency-Key": {"k"}, "Accept": {accept}})
			note := qt.Commentf("%+v %s", test, accept)
			c.Check(answer.Code, qt.Equals, test.status, note)
			c.Check(answer.Header().Get(HeaderOutcome)+answer.Body.String(), qt.Contains, string(test.outcome), note)
			c.Check(claim.settled, qt.Equals, test.settled, note)
		}
	}
}

// Guards against a request with a repeated key that runs again, or gets an answer
// other than the recorded one.
func TestRepeatedKeyGetsRecordedAnswer(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		recorded RecordedAnswer
		status   int
		body     string
	}{
		{RecordedAnswer{Outcome: OutcomeCompleted, Answer: []byte(`{"a":1}`)}, 200, `{"a":1}`},
		{RecordedAnswer{Outcome: OutcomeCompleted, SHA256: "ab12"}, http.StatusGone, `"sha256":"ab12"`},
		{RecordedAnswer{Outcome: OutcomeUnknown}, http.StatusConflict, `"outcome":"unknown"`},
	} {
		caller := &fakeCaller{}
		answer := postRequest(newTestHandler(caller, fakeClaims{recorded: &test.recorded}), "order", "{}", http.Header{"Idempotency-Key": {"k"}})
		c.Check(answer.Code, qt.Equals, test.status)
		c.Check(answer.Body.String(), qt.Contains, test.body)
		c.Check(caller.calls, qt.HasLen, 0)
	}
}

// Guards against a refused request that runs or is answered without Retry-After,
// and against an admitted one that is never released.
func TestAdmissionRefusalAndRelease(t *testing.T) {
	c := qt.New(t)
	caller := &fakeCaller{answer: func(context.Context, string, backend.StageRequest) (backend.StageStream, error) {
		return nil, backend.ErrMayHaveRun
	}}
	h := newTestHandler(caller, nil)
	admission := &fakeAdmission{}
	h.Admission = admission
	c.Assert(postRequest(h, "read", "{}", nil).Code, qt.Equals, http.StatusBadGateway)
	c.Assert(admission.released, qt.Equals, OutcomeFailed)

	admission.problem = notRunProblem(http.StatusTooManyRequests, ProblemUnavailable, "busy", "")
	admission.problem.RetryAfterMS = 1001
	answer := postRequest(h, "read", "{}", nil)
	c.Assert(answer.Code, qt.Equals, http.StatusTooManyRequests)
	c.Assert(answer.Header().Get("Retry-After"), qt.Equals, "2")
	c.Assert(caller.calls, qt.HasLen, 1)
}

// Guards against chunks that are read ahead of a slow caller, and against an error
// after the first chunk that looks like a complete answer.
func TestStreamBackpressureAndError(t *testing.T) {
	c := qt.New(t)
	stream := &fakeStream{strings.Split("abcdefgh", ""), backend.ErrBadAnswer}
	caller := &fakeCaller{answer: func(context.Context, string, backend.StageRequest) (backend.StageStream, error) {
		return stream, nil
	}}
	written := 0
	emit := func([]byte) error {
		written++
		c.Assert(len(stream.chunks), qt.Equals, 8-written)
		return nil
	}
	result := newTestExecutor(caller, 9).Execute(c.Context(), newPipelineRequest(stages("a")), ExecutionOptions{Emit: emit})
	c.Assert(result.Outcome, qt.Equals, OutcomeFailed)
	c.Assert(caller.servers(), qt.DeepEquals, []string{"s1"})
	c.Assert(result.Answer, qt.IsNil)

	stream = &fakeStream{strings.Split("abcdefgh", ""), backend.ErrBadAnswer}
	answer := postRequest(newTestHandler(caller, nil), "read", "{}", http.Header{"Accept": {"text/event-stream"}}).Body.String()
	c.Assert(answer, qt.Contains, "event: "+EventError)
	c.Assert(answer, qt.Not(qt.Contains), "event: "+EventEnd)
}

// Guards against a recorded answer that is streamed in another form than the
// original: generated text is recorded as a JSON string.
func TestRecordedTextIsStreamedAsGenerated(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"plain text", `{"json": true}`, ` "quoted"`, "", "line\nline"} {
		c.Check(string(asText(asJSON([]byte(text)))), qt.Equals, text)
	}
	var streamed []byte
	replay(&RecordedAnswer{Outcome: OutcomeCompleted, Answer: asJSON([]byte("a note"))}, func(chunk []byte) error {
		streamed = append(streamed, chunk...)
		return nil
	})
	c.Assert(string(streamed), qt.Equals, "a note")
}
