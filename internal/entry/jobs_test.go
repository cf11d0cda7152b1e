package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/claims"
	"github.com/coltsfootdrift/coltsfootdrift/internal/jobs"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store/storetest"
	"github.com/coltsfootdrift/coltsfootdrift/job"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// singleInstance implements jobs.Members for a failure domain of one instance.
type singleInstance struct{}

func (singleInstance) FailureDomainInstances() []string    { return []string{"a"} }
func (singleInstance) OfferJobs(context.Context, []string) {}

// newDurableHandler returns a handler that serves the durable kind k of the
// pipeline read, with jobs and claims in a fake store.
func newDurableHandler(c *qt.C, caller *fakeCaller) *Handler {
	h := newTestHandler(caller, nil)
	set := h.Configuration.Current()
	set.Pipelines[0].Kinds = []pipeline.Kind{{Name: "k", Repeat: pipeline.RepeatIdempotent, MaxWaitMS: 60000, Durable: true}}
	fake, log := storetest.New(), slog.New(slog.DiscardHandler)
	h.Claims = StoreClaims{claims.New(claims.Config{
		Instance: "a", Store: fake, Forwarder: claims.NoPeers{}, Awaiter: claims.NoPeers{}, BootTime: time.Now, WallTime: time.Now,
		Scope: tally.NoopScope, Log: log, RecordRetryInterval: time.Millisecond,
	})}
	durable := jobs.New(jobs.Config{
		Instance: "a", Store: fake, Members: singleInstance{}, BootTime: time.Now, WallTime: time.Now, Scope: tally.NoopScope, Log: log,
		Runner: JobRunner{Configuration: h.Configuration, Executor: h.Executor, Now: time.Now},
	})
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go durable.Serve(ctx)
	h.Jobs = StoreJobs{Jobs: durable, Claims: h.Claims}
	for {
		if _, err := durable.Submit(ctx, jobs.Job{Organisation: "none"}); err == nil {
			return h
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a durable request that is accepted without the location of its
// job, runs again for a repeated key, or is not recorded when the caller does not
// prefer an asynchronous answer.
func TestDurableRequests(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int64
	release := make(chan struct{})
	caller := &fakeCaller{answer: func(context.Context, string, backend.StageRequest) (backend.StageStream, error) {
		calls.Add(1)
		<-release
		return completeStream(`{"x":1}`), nil
	}}
	h := newDurableHandler(c, caller)
	async := http.Header{"Prefer": {"respond-async"}, "Idempotency-Key": {"key"}}
	var locations []string
	for range 2 {
		answer := postRequest(h, "read", "{}", async)
		c.Assert(answer.Code, qt.Equals, http.StatusAccepted)
		locations = append(locations, answer.Header().Get("Location"))
	}
	c.Assert(locations[1], qt.Equals, locations[0])
	expired := postRequest(h, "read", "{}", http.Header{"Grpc-Timeout": {"50m"}})
	c.Assert(expired.Code, qt.Equals, http.StatusAccepted)
	c.Assert(strings.HasPrefix(expired.Header().Get("Location"), PathJobs), qt.IsTrue)
	close(release)
	waited := postRequest(h, "read", "{}", nil)
	c.Assert(waited.Code, qt.Equals, http.StatusOK)
	c.Assert(waited.Body.String(), qt.Equals, `{"x":1}`)
	for _, location := range []string{locations[0], expired.Header().Get("Location")} {
		_, problem := h.Jobs.Wait(c.Context(), location)
		c.Assert(problem == nil, qt.IsTrue)
		recorder := httptest.NewRecorder()
		h.Router().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, location, nil))
		var status JobStatus
		c.Assert(json.Unmarshal(recorder.Body.Bytes(), &status), qt.IsNil)
		c.Assert(status.State, qt.Equals, job.StateFinished)
		c.Assert(string(status.Answer), qt.Equals, `{"x":1}`)
	}
	c.Assert(calls.Load(), qt.Equals, int64(3))
}

// blockedJobs refuses a job, but only once the context of the call has ended.
type blockedJobs struct{ Jobs }

func (blockedJobs) Register(*mux.Router) {}

func (blockedJobs) Submit(ctx context.Context, _ *Request) (string, *Problem) {
	<-ctx.Done()
	return "", claimUnavailable("not accepted", storeRetryAfter)
}

// Guards against a durable request that waits for the acceptance of its job beyond
// its deadline, for example while its key is held by a paused instance.
func TestJobAcceptanceIsBoundedByDeadline(t *testing.T) {
	c := qt.New(t)
	h := newTestHandler(&fakeCaller{}, nil)
	h.Jobs = blockedJobs{}
	set := h.Configuration.Current()
	set.Pipelines[0].Kinds[0].Durable = true
	response := postRequest(h, "read", "{}", http.Header{"Prefer": {"respond-async"}, "Grpc-Timeout": {"20m"}})
	c.Assert(response.Code, qt.Equals, http.StatusServiceUnavailable)
}
