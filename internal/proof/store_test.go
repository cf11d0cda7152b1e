package proof

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
)

func (f *fleet) outage(on bool) {
	f.storeFaults(func(faults *standin.StoreFaults) { faults.Outage = on })
}

// Guards against idempotent kinds that stop with the store, and keyed requests
// that run without a claim.
func TestStoreOutage(t *testing.T) {
	f := begin(t, "store-outage")
	l := f.startLoad()
	l.waitMore(30, atMostOnce)
	f.outage(true)
	l.waitMore(200, idempotent)
	f.outage(false)
	l.waitMore(30, atMostOnce)
	counts := l.verify("store outage")
	f.Check(counts.NotRun > 0, qt.IsTrue, qt.Commentf("keyed requests during the outage"))
}

// Guards against a failure domain that doesn't come back while the store is down.
func TestOutageOverRestartOfDomain(t *testing.T) {
	f := begin(t, "outage+domain-restart")
	f.Assert(f.publish(f.variant(31), "second"), qt.IsNil)
	f.waitRevision(2, f.instances...)
	l := f.startLoad()
	f.outage(true)
	for _, i := range f.in(domain) {
		i.kill()
	}
	for _, i := range f.in(domain) {
		i.start()
	}
	f.waitReady(f.in(domain)...)
	f.waitRevision(2, f.in(domain)...)
	l.retarget(f.in(domain)...)
	l.waitMore(50, idempotent)
	f.outage(false)
	l.waitMore(20, atMostOnce)
	l.verify("store outage", "SIGKILL and restart of a failure domain")
}

// Guards against a slow store that makes claims unsafe or stops other kinds.
func TestStoreSlow(t *testing.T) {
	f := beginLong(t, "store-slow")
	l := f.startLoad()
	for _, route := range f.stores {
		route.slow(300)
	}
	l.waitMore(50, idempotent)
	l.waitMore(20, atMostOnce)
	for _, route := range f.stores {
		route.mend()
	}
	l.waitMore(30, atMostOnce)
	l.verify("300 ms added to each store answer")
}

// Guards against a failure domain that stops serving idempotent kinds when it is
// cut off, or runs keyed requests without a claim.
func TestDomainCutOff(t *testing.T) {
	f := beginLong(t, "domain-cut-off")
	l := f.startLoad(f.in(domain)...)
	l.waitMore(20, atMostOnce)
	f.stores[domain].cut()
	l.waitMore(50, idempotent)
	f.lists[domain].cut()
	f.links.cut(true, domain)
	l.waitMore(50, idempotent)
	l.retarget(f.instances...)
	l.waitMore(50, atMostOnce)
	f.wait("traffic that the cut hit", func() bool { return f.links.hit() > 0 })
	f.stores[domain].mend()
	f.lists[domain].mend()
	f.links.cut(false, domain)
	l.retarget(f.in(domain)...)
	l.waitMore(20, atMostOnce)
	l.verify("store cut", "then list and peers cut")
}

// Guards against an instance that doesn't come back behind a partition although
// its peer holds the configuration.
func TestPartitionAndRestart(t *testing.T) {
	f := begin(t, "partition+restart")
	l := f.startLoad()
	f.stores[domain].cut()
	f.links.cut(true, domain)
	victim := f.in(domain)[0]
	victim.kill()
	victim.start()
	f.waitReady(victim)
	f.Check(victim.status().Configuration.Revision, qt.Equals, int64(1))
	l.waitMore(50, idempotent)
	f.stores[domain].mend()
	f.links.cut(false, domain)
	l.waitMore(30, atMostOnce)
	l.verify("failure domain cut off from store and peers", "SIGKILL and restart")
}
