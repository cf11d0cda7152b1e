package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// newRoomFixture returns a fixture whose model servers run a number of requests at once.
func newRoomFixture(c *qt.C, slots int, stages ...route.Stage) *fixture {
	f := newEngineFixture(c, false, stages...)
	f.config.Services[0].Engine = &route.EngineProfile{Slots: slots}
	return f
}

func (f *fixture) slotsUsed() int { return f.gateway.placer.Rooms()["x"].SlotsUsed }

// Guards against runs that still count at a server after their answer has ended, was refused or
// broke off.
func TestRunsCountUntilTheirAnswerEnds(t *testing.T) {
	c := qt.New(t)
	for name, answer := range map[string]http.HandlerFunc{
		"complete": func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 3) },
		"refused": func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		},
		"failed": func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusInternalServerError) },
		"broken": func(rw http.ResponseWriter, _ *http.Request) {
			sendEvents(rw, 1, 1)
			panic(http.ErrAbortHandler)
		},
	} {
		f := newRoomFixture(c, 4)
		during := make(chan int, 4)
		f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
			during <- f.slotsUsed()
			answer(rw, r)
		})
		f.start()
		_, _, _ = f.do("POST", "/p/", "", "Prompt", "system own")
		c.Assert(<-during, qt.Equals, 1, qt.Commentf(name))
		// The report of the end may follow the answer.
		for deadline := time.Now().Add(2 * time.Second); f.slotsUsed() > 0 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		c.Assert(f.slotsUsed(), qt.Equals, 0, qt.Commentf(name))
	}
}

// Guards against stages that run for a request which no model server can take before its client
// stops waiting, and against a refusal that does not say when to come back.
func TestRequestsWithoutRoomAreRefusedBeforeTheirStages(t *testing.T) {
	c := qt.New(t)
	f := newRoomFixture(c, 1, route.Stage{Service: "stage"})
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 1) })
	var stageCalls recorder
	f.addServer("stage", func(rw http.ResponseWriter, r *http.Request) { stageCalls.add(r.URL.Path) })
	f.start()
	placer := f.gateway.placer
	long := engine.Run{ID: "long", Kind: "r", OutputTokens: 1000}
	for range 2 { // the second one waits for the first
		_, err := placer.Place(c.Context(), long.ID, "x", engine.Query{Run: long})
		c.Assert(err, qt.IsNil)
		long.ID += "er"
	}
	response, _, err := f.do("POST", "/p/", "", "Prompt", "system own", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Retry-After"), qt.Equals, "3")
	c.Assert(stageCalls.all(), qt.HasLen, 0)
}

// Guards against instances that get no state of the room from the one that places the prompts,
// and against queries whose run is lost on the way there.
func TestRoomIsToldToOtherInstances(t *testing.T) {
	c := qt.New(t)
	f := newRoomFixture(c, 1)
	f.addServer("x", func(http.ResponseWriter, *http.Request) {})
	f.start()
	request := &peerpb.PlacePromptRequest{Service: "x", Run: &peerpb.ModelRun{RequestId: "1", OutputTokens: 1000}, MaxWaitMs: 1000}
	c.Assert(f.gateway.placer.PlacePrompt(request).Server, qt.Equals, "s0")
	refused := f.gateway.placer.PlacePrompt(request)
	c.Assert(refused.Server, qt.Equals, "")
	c.Assert(refused.RoomWaitMs > 1000 && refused.RemainingMs == refused.RoomWaitMs, qt.IsTrue, qt.Commentf("%v", refused))
	f.gateway.placer.ReportPlacement(&peerpb.ReportPlacementRequest{Service: "x", Server: "s0", Run: request.Run, Ended: true})
	c.Assert(f.gateway.placer.PlacePrompt(request).Server, qt.Equals, "s0")
}

// Guards against an instance that takes over the placement and takes full servers for empty.
func TestNewPlacersReadTheRunsOfServers(t *testing.T) {
	c := qt.New(t)
	f := newRoomFixture(c, 4)
	f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/state" {
			_, _ = io.WriteString(rw, `{"Running":3,"Waiting":1}`)
		}
	})
	f.start()
	f.gateway.placer.Restore(c.Context())
	c.Assert(f.slotsUsed(), qt.Equals, 4)
}
