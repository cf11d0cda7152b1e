package gateway

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/ratelimit"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// Guards against more requests in a second than a cold server takes, when it becomes cold while
// it is in use, and against one that then gets none.
func TestServersThatBecomeColdGetFewRequests(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	f.config.Services[0].ColdRate = 12
	const bound = 23 // 12 x 1.5 + 5, by the settings of the fixture
	var mu sync.Mutex
	var arrived []time.Time
	f.addServer("x", func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrived = append(arrived, time.Now())
	})
	f.start()
	response, _, err := f.do("POST", "/p/", "b")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	cold := f.servers[0]
	cold.ColdFor = time.Minute
	entry, err := json.Marshal(cold)
	c.Assert(err, qt.IsNil)
	f.change(store.WatchResult{Changed: []store.Entry{{Key: "server/" + cold.ID, Value: entry}}})
	refused := 0
	for range 200 {
		response, _, err := f.do("POST", "/p/", "b")
		c.Assert(err, qt.IsNil)
		if response.StatusCode == http.StatusServiceUnavailable {
			refused++
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Assert(ratelimit.MostWithin(arrived, time.Second) <= bound, qt.IsTrue)
	c.Assert(len(arrived) > 1, qt.IsTrue)
	c.Assert(len(arrived)+refused, qt.Equals, 201)
	limits := f.gateway.client.permits.Limits()
	c.Assert(limits, qt.HasLen, 1)
	c.Assert(limits[0].InForce, qt.Equals, float64(ratelimit.SafeRate(bound)))
	c.Assert(limits[0].ColdMS > 0, qt.IsTrue)
}

// Guards against permits without a limit from an instance that has not yet seen in the store
// that a server is cold.
func TestPermitsForServersThatOthersKnowToBeCold(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	f.config.Services[0].ColdRate = 12
	f.addServer("x", func(http.ResponseWriter, *http.Request) {})
	f.start()
	granted := 0
	for range 30 {
		reply, err := f.gateway.client.permits.AcquirePermit(t.Context(), &peerpb.AcquirePermitRequest{Service: "x", ColdMs: 60_000, Limit: &peerpb.ServerLimit{Server: "s0"}})
		c.Assert(err, qt.IsNil)
		if reply.Granted {
			granted++
		}
	}
	c.Assert(granted < 23, qt.IsTrue)
}

// Guards against a failure domain whose servers get their usual load at once when its evacuation
// ends, before their entries say that they are cold.
func TestServersOfAReturnedFailureDomainCountAsCold(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	f.config.Services[0].ColdRate, f.config.Services[0].ColdStart = 12, time.Minute
	f.addServer("x", func(http.ResponseWriter, *http.Request) {})
	f.start()
	permits := f.gateway.client.permits
	c.Assert(permits.Limited("s0"), qt.IsFalse)
	f.change(evacuateAll())
	f.change(takeBackAll())
	rate, limited := permits.LimitOf("s0")
	c.Assert(limited, qt.IsTrue)
	c.Assert(rate <= 12, qt.IsTrue)
	f.change(store.WatchResult{Changed: []store.Entry{{Key: "config", Value: []byte(`{"Version":2}`)}}})
	c.Assert(permits.Limited("s0"), qt.IsTrue)
}
