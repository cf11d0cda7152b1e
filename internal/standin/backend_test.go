package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

func startBackend(c *qt.C, config BackendConfig) (*Backend, backend.Server) {
	b := NewBackend(config)
	server := httptest.NewServer(b.Handler())
	c.Cleanup(server.Close)
	return b, backend.Server{ID: config.ID, Address: server.Listener.Addr().String()}
}

// callStage sends one stage request and returns its whole answer.
func callStage(ctx context.Context, server backend.Server, request backend.StageRequest) (string, error) {
	request.Attempt = "attempt-1"
	request.Timeout = time.Minute
	request.MaxAnswerBytes = 1 << 20
	if request.Input == nil {
		request.Input = json.RawMessage(`{"request_id": "r1"}`)
	}
	stream, err := backend.NewHTTPCaller(backend.NewTransport(), nil).Call(ctx, server, request)
	if err != nil {
		return "", err
	}
	defer stream.Close()
	var answer strings.Builder
	for {
		chunk, err := stream.Next()
		answer.Write(chunk)
		if errors.Is(err, io.EOF) {
			return answer.String(), nil
		}
		if err != nil {
			return answer.String(), err
		}
	}
}

// Guards against injected faults that the backend adapter mistakes for a whole answer
// or for another kind of failure, and against runs that are not recorded.
func TestFaultsOfOneRequest(t *testing.T) {
	c := qt.New(t)
	b, server := startBackend(c, BackendConfig{ID: "b", Slots: 1, AnswerBytes: 1000, ChunkBytes: 100})
	for _, test := range []struct {
		fault Fault
		want  error
		runs  int
	}{
		{FaultNone, nil, 1}, {FaultRefuse, backend.ErrRefused, 0}, {FaultError, backend.ErrMayHaveRun, 1},
		{FaultHalf, backend.ErrBadAnswer, 1}, {FaultGarbage, backend.ErrBadAnswer, 1},
		{FaultTooMuch, backend.ErrBadAnswer, 1}, {FaultCrossed, backend.ErrBadAnswer, 1},
		{FaultCloseDelimited, backend.ErrBadAnswer, 1},
	} {
		for _, stage := range []pipeline.StageType{pipeline.StageService, pipeline.StageGenerate} {
			before := len(b.Runs())
			b.SetFaults(BackendFaults{Next: map[Fault]int{test.fault: 1}})
			_, err := callStage(c.Context(), server, backend.StageRequest{Type: stage})
			c.Assert(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%s at %s: %v", test.fault, stage, err))
			c.Assert(b.Runs()[before:], qt.HasLen, test.runs)
		}
	}
	b.SetDraining(true)
	_, err := callStage(c.Context(), server, backend.StageRequest{Type: pipeline.StageService})
	c.Assert(errors.Is(err, backend.ErrDraining), qt.IsTrue)
}

// Guards against a resumed stream that repeats or skips bytes, and against a recorded
// run without the caller's request ID.
func TestResumedStream(t *testing.T) {
	c := qt.New(t)
	b, server := startBackend(c, BackendConfig{ID: "b", Slots: 1, AnswerBytes: 1000, ChunkBytes: 100})
	whole, err := callStage(c.Context(), server, backend.StageRequest{Type: pipeline.StageGenerate})
	c.Assert(err, qt.IsNil)
	rest, err := callStage(c.Context(), server, backend.StageRequest{Type: pipeline.StageGenerate, ResumeOffset: 333})
	c.Assert(err, qt.IsNil)
	c.Assert(rest, qt.Equals, whole[333:])
	run := b.Runs()[0]
	c.Assert(whole, qt.Equals, GeneratedText(run.InputHash, 1000))
	c.Assert(run.RequestID, qt.Equals, "r1")
	c.Assert(run.Finished, qt.IsTrue)
}

// Guards against a cancelled request that keeps its slot or counts as finished.
func TestCancelFreesSlot(t *testing.T) {
	c := qt.New(t)
	b, server := startBackend(c, BackendConfig{ID: "b", Slots: 1})
	b.SetFaults(BackendFaults{Next: map[Fault]int{FaultHang: 1}})
	ctx, cancel := context.WithCancel(c.Context())
	ended := make(chan error)
	go func() {
		_, err := callStage(ctx, server, backend.StageRequest{Type: pipeline.StageService})
		ended <- err
	}()
	for len(b.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	c.Assert(errors.Is(<-ended, backend.ErrMayHaveRun), qt.IsTrue)
	_, err := callStage(c.Context(), server, backend.StageRequest{Type: pipeline.StageService})
	c.Assert(err, qt.IsNil)
	c.Assert(b.Runs()[0].CutOff, qt.IsTrue)
	c.Assert(b.Runs()[1].Finished, qt.IsTrue)
}

// Guards against queued requests that are served in the order of arrival although
// their ranks differ.
func TestSlotsByRank(t *testing.T) {
	c := qt.New(t)
	s := &slots{total: 1}
	c.Assert(s.acquire(c.Context(), 0), qt.IsTrue)
	order := make(chan int)
	for i, rank := range []int{0, 5, 2, 5} {
		go func() {
			s.acquire(context.Background(), rank)
			order <- i
			s.release()
		}()
		for waiting := 0; waiting <= i; _, waiting = s.load() {
			time.Sleep(time.Millisecond)
		}
	}
	cancelled, cancel := context.WithCancel(c.Context())
	cancel()
	c.Assert(s.acquire(cancelled, 9), qt.IsFalse)
	s.release()
	c.Assert([]int{<-order, <-order, <-order, <-order}, qt.DeepEquals, []int{1, 3, 2, 0})
}

// Guards against an engine that carries out an order of a former leader, an expired
// order, or one order twice.
func TestOrders(t *testing.T) {
	c := qt.New(t)
	for _, fencesOrders := range []bool{true, false} {
		b, server := startBackend(c, BackendConfig{ID: "b", Slots: 1, Engine: EngineConfig{FencesOrders: fencesOrders, Models: []string{"m1"}}})
		wantOldToken := map[bool]int{true: 409, false: 202}[fencesOrders]
		for i, test := range []struct {
			order backend.WireOrder
			want  int
		}{
			{backend.WireOrder{Action: "role", Target: "decode", FencingToken: 5, TTLMS: 4000}, 202},
			{backend.WireOrder{Action: "role", Target: "prefill", FencingToken: 4, TTLMS: 4000}, wantOldToken},
			{backend.WireOrder{Action: "unload", Target: "m1", FencingToken: 5}, 410},
			{backend.WireOrder{Action: "reboot", FencingToken: 5, TTLMS: 4000}, 400},
		} {
			test.order.ID = fmt.Sprint(i)
			c.Assert(b.engine.acceptOrder(test.order), qt.Equals, test.want)
		}
		c.Assert(b.engine.acceptOrder(backend.WireOrder{ID: "0", Action: "unload", Target: "m1", FencingToken: 5, TTLMS: 1}), qt.Equals, 200)
		_, err := callStage(c.Context(), server, backend.StageRequest{Type: pipeline.StageService, Model: "m1"})
		c.Assert(err, qt.IsNil)
		_, err = callStage(c.Context(), server, backend.StageRequest{Type: pipeline.StageService, Model: "m2"})
		c.Assert(errors.Is(err, backend.ErrRefused), qt.IsTrue)
	}
}

// Guards against loads above the rate limit of the weight store, and against a load
// that finishes before its load time.
func TestWeightStoreLimitsLoads(t *testing.T) {
	c := qt.New(t)
	weights := NewWeightStore(1)
	for _, want := range []int{202, 429} {
		b := NewBackend(BackendConfig{Slots: 1, Engine: EngineConfig{Weights: weights, LoadTime: time.Hour, Models: []string{"m1"}}})
		c.Assert(b.engine.acceptOrder(backend.WireOrder{ID: "1", Action: "load", Target: "m2", TTLMS: 4000}), qt.Equals, want)
		c.Assert(b.engine.serves("m2"), qt.IsFalse)
		b.engine.finishLoad("m2")
		c.Assert(b.engine.serves("m2"), qt.IsTrue)
	}
}

// Guards against a load report that is renewed before LoadLag has passed.
func TestLoadReportLags(t *testing.T) {
	c := qt.New(t)
	b, server := startBackend(c, BackendConfig{ID: "b", Slots: 2, LoadLag: time.Hour})
	for range 2 {
		response, err := http.Get("http://" + server.Address + backend.PathLoad)
		c.Assert(err, qt.IsNil)
		var report backend.WireLoad
		c.Assert(json.NewDecoder(response.Body).Decode(&report), qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		c.Assert(report.Running, qt.Equals, 0)
		c.Assert(b.slots.acquire(c.Context(), 0), qt.IsTrue)
	}
}

// Guards against a cache that grows beyond its limit, and against events that are
// published early or without the gaps that the platform's engines have.
func TestPrefixCache(t *testing.T) {
	c := qt.New(t)
	cache := prefixCache{limit: 2, delay: time.Minute}
	for i := range 7 {
		c.Assert(cache.use(fmt.Sprint(i)), qt.IsFalse)
	}
	c.Assert(cache.use("5"), qt.IsTrue)
	c.Assert(cache.use("0"), qt.IsFalse)
	c.Assert(cache.holds("6"), qt.IsFalse)
	c.Assert(cache.published(0, time.Now()), qt.HasLen, 0)
	c.Assert(cache.published(8, time.Now().Add(time.Hour))[1].Number, qt.Equals, int64(11))
}

// Guards against a list that shows a change before the lag has passed.
func TestListLags(t *testing.T) {
	c := qt.New(t)
	var list InstanceList
	list.Put(platform.Member{ID: "a"})
	list.SetFaults(InstanceListFaults{LagMS: 60000})
	list.Put(platform.Member{ID: "b"})
	c.Assert(list.Members(), qt.HasLen, 1)
	list.SetFaults(InstanceListFaults{})
	list.Remove("a")
	c.Assert(list.Members(), qt.DeepEquals, []platform.Member{{ID: "b"}})
}
