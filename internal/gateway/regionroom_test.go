package gateway

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/regions"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// Guards against stages that run in another region for a request which no model server there
// can take in time.
func TestRequestsWithoutRoomInTheirRegionAreRefusedBeforeTheirStages(t *testing.T) {
	c := qt.New(t)
	var seen recorder
	f := newBoundFixture(c, &seen)
	f.config.Services[0].Engine = &route.EngineProfile{Slots: 1}
	f.start()
	f.startFar()
	for _, id := range []string{"first", "second"} { // the second one waits for the first
		run := engine.Run{ID: id, Kind: "r", OutputTokens: 1000}
		placed, err := f.gateway.placer.PlaceIn(c.Context(), "q", id, "x", engine.Query{Run: run, Regions: regions.Only([]string{"q"})})
		c.Assert(err, qt.IsNil)
		c.Assert(placed.owner, qt.Not(qt.Equals), "")
	}
	response, _, err := f.do("POST", "/p/", "", "Prompt", "system own", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(seen.all(), qt.HasLen, 0)
}
