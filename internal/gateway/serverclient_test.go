package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// Guards against requests to a server after it has said in an answer that it leaves,
// while its entry in the store still says that it is ready.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.NonIdempotent)
	var leaving, ready recorder
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) {
		leaving.add("")
		rw.Header().Set("Leaving", "1")
	})
	f.addServer("x", func(http.ResponseWriter, *http.Request) { ready.add("") })
	f.start()
	const requests = 20
	for range requests {
		response, _, err := f.do("POST", "/p/", "b")
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	}
	c.Assert(len(leaving.all()) <= 1, qt.IsTrue)
	c.Assert(len(leaving.all())+len(ready.all()), qt.Equals, requests)
}

// Guards against a model server and a stage server that get requests after they have
// said that they leave.
func TestLeavingStageAndModelServers(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage", ResultBytes: 10})
	var stages, models recorder
	f.addServer("stage", func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/run" {
			stages.add("")
		}
		rw.Header().Set("Leaving", "1")
		answerPieces(rw, r)
	})
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) {
		models.add("")
		rw.Header().Set("Leaving", "1")
	})
	f.start()
	first, _, err := f.do("POST", "/p/", "", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Assert(first.StatusCode, qt.Equals, http.StatusOK)
	second, _, err := f.do("POST", "/p/", "", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Assert(second.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(stages.all(), qt.HasLen, 1)
	c.Assert(models.all(), qt.HasLen, 1)
}

// Guards against requests to a server during the pause that it asked for, against a
// refusal whose Retry-After is too short, and against a server that stays
// unused after its pause.
func TestServerPauses(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	const pause = 400 * time.Millisecond
	var seen recorder
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) {
		if seen.add("") == 1 {
			rw.Header().Set("Pause", pause.String())
			rw.Header().Set("Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	f.start()
	paused := time.Now()
	for range 5 {
		response, _, err := f.do("POST", "/p/", "b")
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		retry, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		c.Assert(err, qt.IsNil)
		comeBack := time.Now().Add(time.Duration(retry * float64(time.Second)))
		c.Assert(comeBack.Before(paused.Add(pause)), qt.IsFalse)
	}
	c.Assert(seen.all(), qt.HasLen, 1)
	time.Sleep(time.Until(paused.Add(pause + pause/2)))
	response, _, err := f.do("POST", "/p/", "b")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
}

// Guards against clients that are sent away for the whole pause of one server although
// another one of the service is only full.
func TestPauseOfOneServerDoesNotDelayRetries(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	for _, pause := range []string{"10s", ""} {
		f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Pause", pause)
			rw.Header().Set("Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	f.start()
	for range 4 {
		response, _, err := f.do("POST", "/p/", "b")
		c.Assert(err, qt.IsNil)
		c.Assert(response.Header.Get("Retry-After"), qt.Equals, "0.3")
	}
}

// Guards against calls to a stage server, and frees of its results, during its pause.
func TestStageServerPauses(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage", ResultBytes: 10})
	var paused, other recorder
	f.addServer("stage", func(rw http.ResponseWriter, _ *http.Request) {
		paused.add("")
		rw.Header().Set("Pause", "10s")
		rw.Header().Set("Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	f.addServer("stage", func(rw http.ResponseWriter, r *http.Request) {
		other.add("")
		answerPieces(rw, r)
	})
	f.addServer("x", func(http.ResponseWriter, *http.Request) {})
	f.start()
	for range 8 {
		response, _, err := f.do("POST", "/p/", "", "Counts", "1")
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	}
	c.Assert(len(paused.all()) <= 1, qt.IsTrue)
}

// Guards against pauses that are shortened by a later answer or never end, and against
// memory that grows with the number of servers.
func TestServerHolds(t *testing.T) {
	c := qt.New(t)
	h, now := newServerHolds(), time.Unix(1000, 0)
	a, b := upstream.Server{ID: "a", Incarnation: 1}, upstream.Server{ID: "b"}
	h.add(a, now, 10*time.Second)
	h.add(a, now, time.Second)
	c.Assert(h.remaining("a", 1, now.Add(9*time.Second)), qt.Equals, time.Second)
	h.add(b, now, 1e6*time.Hour)
	c.Assert(h.remaining("b", 0, now), qt.Equals, maxHold)
	c.Assert(h.held(now), qt.HasLen, 2)
	c.Assert(h.held(now.Add(11*time.Second)), qt.DeepEquals, []string{"b"})
	for i := range 2 * maxHeldServers {
		h.add(upstream.Server{ID: strconv.Itoa(i)}, now, time.Minute)
	}
	c.Assert(len(h.byID) <= maxHeldServers, qt.IsTrue)
}

// Guards against a server that stays unused after a restart because of the pause that it
// asked for before, whether the answer that asked for it comes before or after the news of
// the restart.
func TestPausesEndWithTheirIncarnation(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	first, second := upstream.Server{ID: "a", Incarnation: 1}, upstream.Server{ID: "a", Incarnation: 2}
	restarted := func(string) (int64, bool) { return 2, true }

	h := newServerHolds()
	h.add(first, now, time.Minute)
	h.dropRestarted(restarted)
	c.Assert(h.held(now), qt.HasLen, 0)
	c.Assert(h.remaining("a", 2, now), qt.Equals, time.Duration(0))

	h = newServerHolds()
	h.add(second, now, time.Second)
	h.add(first, now, time.Minute)
	c.Assert(h.remaining("a", 2, now), qt.Equals, time.Second)
}

// answerPieces answers a call of a stage server with one result for each piece.
func answerPieces(rw http.ResponseWriter, r *http.Request) {
	var pieces []Piece
	_ = json.NewDecoder(r.Body).Decode(&pieces)
	outcomes := make([]stagework.Outcome, len(pieces))
	for i, piece := range pieces {
		outcomes[i].Handle = fmt.Sprintf("%s/%s-%d", r.Host, piece.RequestID, resultNumber.Add(1))
	}
	_ = json.NewEncoder(rw).Encode(outcomes)
}

// resultNumber makes the results of answerPieces unique.
var resultNumber atomic.Int64
