package proof

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
)

func (f *fleet) setStoreOutage(on bool) {
	f.storeFaults(func(faults *standin.StoreFaults) { faults.Outage = on })
}

// Guards against idempotent requests that fail during a store outage, and against
// keyed requests that run without a claim.
func TestStoreOutage(t *testing.T) {
	f := startScenario(t, "store-outage")
	l := f.startLoad()
	l.waitMore(30, atMostOnce)
	f.setStoreOutage(true)
	l.waitMore(200, idempotent)
	f.setStoreOutage(false)
	l.waitMore(30, atMostOnce)
	counts := l.verify("store outage")
	f.Check(counts.NotRun > 0, qt.IsTrue, qt.Commentf("keyed requests during the outage"))
}

// Guards against instances of a failure domain that do not become ready when they are
// restarted during a store outage.
func TestDomainRestartDuringStoreOutage(t *testing.T) {
	f := startScenario(t, "outage+domain-restart")
	f.Assert(f.publish(f.withLinkCapacity(31), "second"), qt.IsNil)
	f.waitRevision(2, f.instances...)
	l := f.startLoad()
	f.setStoreOutage(true)
	for _, i := range f.inDomain(isolatedDomain) {
		i.kill()
	}
	for _, i := range f.inDomain(isolatedDomain) {
		i.start()
	}
	f.waitReady(f.inDomain(isolatedDomain)...)
	f.waitRevision(2, f.inDomain(isolatedDomain)...)
	l.retarget(f.inDomain(isolatedDomain)...)
	l.waitMore(50, idempotent)
	f.setStoreOutage(false)
	l.waitMore(20, atMostOnce)
	l.verify("store outage", "SIGKILL and restart of a failure domain")
}

// Guards against a slow store that breaks the at-most-once guarantee of claims or stops
// other kinds.
func TestStoreSlow(t *testing.T) {
	f := startLongScenario(t, "store-slow")
	l := f.startLoad()
	for _, proxy := range f.storeProxies {
		proxy.delayAnswers(300)
	}
	l.waitMore(50, idempotent)
	l.waitMore(20, atMostOnce)
	for _, proxy := range f.storeProxies {
		proxy.heal()
	}
	l.waitMore(30, atMostOnce)
	l.verify("300 ms added to each store answer")
}

// Guards against an isolated failure domain that stops serving idempotent requests, or
// runs keyed requests without a claim.
func TestDomainIsolated(t *testing.T) {
	f := startLongScenario(t, "domain-cut-off")
	l := f.startLoad(f.inDomain(isolatedDomain)...)
	l.waitMore(20, atMostOnce)
	f.storeProxies[isolatedDomain].blackhole()
	l.waitMore(50, idempotent)
	f.listProxies[isolatedDomain].blackhole()
	f.partition.setIsolated(true, isolatedDomain)
	l.waitMore(50, idempotent)
	l.retarget(f.instances...)
	l.waitMore(50, atMostOnce)
	f.waitUntil("dropped traffic between failure domains", func() bool { return f.partition.droppedCount() > 0 })
	f.storeProxies[isolatedDomain].heal()
	f.listProxies[isolatedDomain].heal()
	f.partition.setIsolated(false, isolatedDomain)
	l.retarget(f.inDomain(isolatedDomain)...)
	l.waitMore(20, atMostOnce)
	l.verify("store unreachable", "then instance list and peers unreachable")
}

// Guards against an instance that does not become ready when it is restarted during a
// partition, although its peer in the same failure domain has the configuration.
func TestPartitionAndRestart(t *testing.T) {
	f := startScenario(t, "partition+restart")
	l := f.startLoad()
	f.storeProxies[isolatedDomain].blackhole()
	f.partition.setIsolated(true, isolatedDomain)
	victim := f.inDomain(isolatedDomain)[0]
	victim.kill()
	victim.start()
	f.waitReady(victim)
	f.Check(victim.status().Configuration.Revision, qt.Equals, int64(1))
	l.waitMore(50, idempotent)
	f.storeProxies[isolatedDomain].heal()
	f.partition.setIsolated(false, isolatedDomain)
	l.waitMore(30, atMostOnce)
	l.verify("failure domain isolated from store and peers", "SIGKILL and restart")
}
