package proof

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
)

// drainPropagationLimit is the time after which a draining server must get no new
// requests.
const drainPropagationLimit = 3 * time.Second

// Guards against new requests to a draining server from an instance that cannot reach
// the instance list and was not refused by the server itself. Its only source is the
// report of a peer that was refused.
func TestServerDrainsWithoutInstanceList(t *testing.T) {
	f := startLongScenario(t, "server-leaves")
	const serverDomain = "norte-adega" // has a second server of the pool
	draining := f.serverIn("labelling", serverDomain)
	first, second := f.inDomain(serverDomain)[0], f.inDomain(serverDomain)[1]
	l := f.startLoad(f.inDomain(serverDomain)...)
	f.waitUntil("runs at the server", func() bool { return len(draining.Backend().Runs()) > 10 })
	for _, proxy := range f.listProxies {
		proxy.blackhole()
	}
	l.retarget(first)
	l.waitForRunningRequests()
	draining.Backend().SetDraining(true)
	f.waitUntil("first refusal", func() bool { return slices.Contains(first.status().Peers.Draining, draining.Member().ID) })
	refusedAt := time.Now()
	f.waitUntil("drain limit", func() bool { return time.Since(refusedAt) > drainPropagationLimit })
	// From here on the stand-in accepts requests, so that any are recorded as runs.
	draining.Backend().SetDraining(false)
	before := len(draining.Backend().Runs())
	l.retarget(second)
	l.waitMore(150, idempotent)
	f.Check(len(draining.Backend().Runs())-before, qt.Equals, 0, qt.Commentf("runs at the draining server"))
	l.verify("server drains", "instance list unreachable")
}

// serverIn returns the first server of a pool in a failure domain.
func (f *fleet) serverIn(pool, domain string) *standin.Server {
	for _, server := range f.cluster.Pool(pool) {
		if server.Member().FailureDomain == domain {
			return server
		}
	}
	f.Fatalf("no server of %s in %s", pool, domain)
	return nil
}
