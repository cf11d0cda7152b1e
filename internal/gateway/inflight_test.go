package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// Guards against an organisation whose unanswered requests fill the door, so that the
// connections of others are closed.
func TestOneOrganisationLeavesRoomForOthers(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.NonIdempotent)
	f.config.Routes[0].Public, f.config.Routes[0].Timeout = false, 20*time.Second
	f.config.Organisations = []route.Organisation{{Name: "a", Keys: []string{"ka"}}, {Name: "b", Keys: []string{"kb"}}}
	var refused atomic.Int64
	release := make(chan struct{})
	defer close(release)
	f.addServer("x", func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Organisation") == "a" {
			<-release
		}
	})
	f.start()
	for range testConnections + 20 {
		go func() {
			response, _, err := f.do("POST", "/p/", "1234", "Key", "ka")
			if err != nil || response.StatusCode == http.StatusServiceUnavailable {
				refused.Add(1)
			}
		}()
	}
	eventually(c, func() bool { return refused.Load()+f.gateway.InFlight() == testConnections+20 })
	for range 5 {
		response, _, err := f.do("POST", "/p/", "1234", "Key", "kb")
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	}
}
