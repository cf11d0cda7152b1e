package gateway

import (
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// Guards against a model server that computes prompt parts which a server of another
// region has cached, and against a message from that region that is lost because it
// reaches an instance which does not place the prompts.
func TestPartsCachedInAnotherRegionAreCopied(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	f.config.Services[0].Engine = &route.EngineProfile{TokenBytes: 1, LinkRate: 1e9}
	var seen recorder
	f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
		seen.add(r.Header.Get("Copy-From"))
		sendEvents(rw, 1, 1)
	})
	f.servers = append(f.servers, view.Server{ID: "far", Service: "x", Address: "192.0.2.1:80", FailureDomain: "elsewhere", Slots: 4})
	f.start()
	f.gateway.placer.SharePlacements(&peerpb.SharePlacementsRequest{Service: "x", Placements: []*peerpb.SharedPlacement{
		{Server: "far", Parts: []*peerpb.PromptPart{{Id: "system", Tokens: 1000}, {Id: "topic", Tokens: 1000}}},
	}})
	for _, own := range []string{"first", "second"} {
		_, _, err := f.do("POST", "/p/", "", "Prompt", "system topic "+own)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(seen.all(), qt.DeepEquals, []string{"192.0.2.1:80", ""})
}

// Guards against placements that are sent to the other regions never or more than once.
func TestPlacementsAreSharedOnce(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 1) })
	f.start()
	placer := f.gateway.placer
	prompt := []engine.Part{{ID: "system", Tokens: 1000}, {ID: "own", Tokens: 10}}
	for range 2 {
		_, err := placer.Place(c.Context(), "a", "x", engine.Query{Prompt: prompt})
		c.Assert(err, qt.IsNil)
	}
	placer.mu.Lock()
	defer placer.mu.Unlock()
	c.Assert(placer.pendingShares["x"], qt.HasLen, 1)
	c.Assert(placer.pendingShares["x"][0].Parts, qt.HasLen, 1)
	c.Assert(placer.pendingShares["x"][0].Parts[0].Id, qt.Equals, "system")
}

// Guards against an instance that places prompts without reading the caches of the model
// servers, and against one that reads them again and again.
func TestPlacersReadServerCachesOnce(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	var cacheReads recorder
	for range 2 {
		f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/cache" {
				cacheReads.add("")
				_, _ = io.WriteString(rw, `[{"ID":"p","Tokens":9000}]`)
			}
		})
	}
	f.start()
	for range 3 {
		f.gateway.placer.Restore(c.Context())
	}
	c.Assert(cacheReads.all(), qt.HasLen, 2)
}
