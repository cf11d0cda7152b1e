package gateway

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// evacuateAll returns the operator's entry that evacuates the failure domain of all servers of a
// fixture.
func evacuateAll() store.WatchResult {
	return store.WatchResult{Changed: []store.Entry{{Key: "evacuate/d", Value: []byte("{}")}}}
}

func takeBackAll() store.WatchResult { return store.WatchResult{Deleted: []string{"evacuate/d"}} }

// Guards against requests to a server in an evacuated failure domain, which are refused at
// once, and against a server that is not used after the evacuation.
func TestEvacuatedServersGetNoPlainRequests(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	var seen recorder
	f.addServer("x", func(http.ResponseWriter, *http.Request) { seen.add("") })
	f.start()
	for _, step := range []struct {
		change store.WatchResult
		status int
	}{{evacuateAll(), http.StatusServiceUnavailable}, {takeBackAll(), http.StatusOK}} {
		f.change(step.change)
		response, _, err := f.do("POST", "/p/", "b")
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, step.status)
	}
	c.Assert(seen.all(), qt.HasLen, 1)
}

// Guards against requests of any kind to an evacuated server that was chosen before: stage
// calls, frees, reads of caches and probes, and against a running stream that is cut off.
func TestEvacuationStopsChosenSends(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, true, route.Stage{Service: "stage", ResultBytes: 10})
	var seen recorder
	streaming, freed, evacuated := make(chan bool, 1), make(chan bool, 1), make(chan bool)
	f.addServer("stage", func(rw http.ResponseWriter, r *http.Request) {
		seen.add("stage " + r.URL.Path)
		if r.URL.Path == "/free" {
			freed <- true
			return
		}
		answerPieces(rw, r)
	})
	model := f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
		seen.add("model " + r.URL.Path)
		if r.URL.Path != "/p/" {
			return
		}
		sendEvents(rw, 1, 1)
		streaming <- true
		<-evacuated
		sendEvents(rw, 2, 2)
	})
	f.start()
	status := make(chan int)
	go func() {
		response, _, _ := f.do("POST", "/p/", "", "Counts", "1")
		status <- response.StatusCode
	}()
	<-streaming
	<-freed
	before := len(seen.all())
	f.change(evacuateAll())
	client, server := f.gateway.client, upstream.Server{ID: "s1", Address: model}
	c.Assert(client.Probe(t.Context(), server), qt.Equals, livenessUnknown)
	_, err := f.gateway.placer.readCache(t.Context(), server)
	c.Assert(errors.Is(err, errServerEvacuated), qt.IsTrue)
	_, err = f.scheduler.sendCall(stagework.Call{Server: "s0", Timeout: time.Second}, nil)
	c.Assert(err, qt.IsNil)
	freer := NewResultFreer(fakeProtocol{}, client, registeredProducer(f.gateway.views.Current), discardLogger())
	c.Assert(errors.Is(freer.send(upstream.Server{ID: "s0", Address: f.servers[0].Address}, nil), errServerEvacuated), qt.IsTrue)
	_, err = client.Send(context.Background(), server, fakeProtocol{}.StateCall(server))
	c.Assert(errors.Is(err, upstream.ErrNotSent), qt.IsTrue)
	c.Assert(len(seen.all()), qt.Equals, before)
	running := client.evacuations.Status(func(string) int { return 1 })
	c.Assert(running, qt.HasLen, 1)
	c.Assert(running[0].Servers, qt.Equals, 2)
	c.Assert(running[0].RequestsStopped, qt.Equals, int64(4))
	close(evacuated)
	c.Assert(<-status, qt.Equals, http.StatusOK)
	c.Assert(len(seen.all()), qt.Equals, before)
}
