package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/ratelimit"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// Guards against a call that frees the results of a server that has ended, at the server that
// has its address or its ID now, whether that one is registered before or after the results
// are to be freed. The producer was once looked up by its address.
func TestResultsAreNotFreedAtTheSuccessorOfTheirProducer(t *testing.T) {
	c := qt.New(t)
	// The last successor has an entry that does not say when it started.
	for _, successor := range []view.Server{{ID: "other", Incarnation: 2}, {ID: "s", Incarnation: 2}, {ID: "s", Incarnation: 1}} {
		for _, registeredFirst := range []bool{true, false} {
			var calls recorder
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { calls.add(r.URL.Path) }))
			address := strings.TrimPrefix(server.URL, "http://")
			producer := view.Server{ID: "s", Service: "stage", Address: address, Incarnation: 1}
			successor.Service, successor.Address = "ledger", address
			var current atomic.Pointer[view.View]
			current.Store(viewOfServers(c, producer))
			replaceProducer := func() { current.Store(viewOfServers(c, successor)) }
			freer := newTestFreer(&current)
			if registeredFirst {
				replaceProducer()
			}
			freed := make(chan int, 1)
			freer.Free([]stagework.Result{{Handle: address + "/1", Producer: stagework.Producer{Server: "s", Incarnation: 1}}}, func(results []stagework.Result) { freed <- len(results) })
			replaceProducer()
			c.Check(<-freed, qt.Equals, 1)
			c.Check(calls.all(), qt.HasLen, 0, qt.Commentf("successor %q, registered first: %v", successor.ID, registeredFirst))
			server.Close()
		}
	}
}

// Guards against results that stay in the memory of a producer that is only draining.
func TestResultsOfDrainingServersAreFreed(t *testing.T) {
	c := qt.New(t)
	var calls recorder
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { calls.add(r.URL.Path) }))
	defer server.Close()
	var current atomic.Pointer[view.View]
	current.Store(viewOfServers(c, view.Server{ID: "s", Service: "stage", Address: strings.TrimPrefix(server.URL, "http://"), Incarnation: 1, Draining: true}))
	freed := make(chan int, 1)
	newTestFreer(&current).Free([]stagework.Result{{Handle: "1", Producer: stagework.Producer{Server: "s", Incarnation: 1}}}, func(results []stagework.Result) { freed <- len(results) })
	c.Assert(<-freed, qt.Equals, 1)
	c.Assert(calls.all(), qt.DeepEquals, []string{"/free"})
}

// newTestFreer returns a ResultFreer that looks up producers in a view.
func newTestFreer(current *atomic.Pointer[view.View]) *ResultFreer {
	views := view.NewSync(fakeSource{}, nil, fakeProtocol{}, discardLogger(), tally.NoopScope)
	permits := &Permits{views: views, table: ratelimit.NewTable()}
	client := NewServerClient(upstream.NewClient(nil, tally.NoopScope), fakeProtocol{}, permits, NewEvacuations(views, discardLogger(), tally.NoopScope), func(upstream.Server) {}, discardLogger(), tally.NoopScope)
	return NewResultFreer(fakeProtocol{}, client, registeredProducer(current.Load), discardLogger())
}

// viewOfServers returns a view with servers.
func viewOfServers(c *qt.C, servers ...view.Server) *view.View {
	state := view.NewState(fakeProtocol{})
	configuration, err := json.Marshal(route.Configuration{Version: 1, Services: []route.Service{{Name: "stage", StageProfile: &stagework.ServerProfile{}}, {Name: "ledger"}}})
	c.Assert(err, qt.IsNil)
	entries := []store.Entry{{Key: "config", Value: configuration, Version: 1}}
	for _, server := range servers {
		data, err := json.Marshal(server)
		c.Assert(err, qt.IsNil)
		entries = append(entries, store.Entry{Key: "server/" + server.ID, Value: data, Version: 1})
	}
	state.Replace(time.Unix(1000, 0), entries, 1)
	return state.View()
}
