package proof

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
)

// Guards against a restarted instance that takes an old configuration from a store
// whose reads are stale.
func TestStaleStoreAfterRestart(t *testing.T) {
	f := startLongScenario(t, "stale-store")
	f.Assert(f.publish(f.withLinkCapacity(31), "second"), qt.IsNil)
	f.waitRevision(2, f.instances...)
	published := time.Now()
	f.Assert(f.publish(f.withLinkCapacity(32), "third"), qt.IsNil)
	f.waitRevision(3, f.instances...)
	watch := f.watchRevisions()
	unfreeze := f.freezeStoreReads(published.Add(-staleMargin))
	defer unfreeze()
	l := f.startLoad()
	for _, victim := range []*instance{f.inDomain(isolatedDomain)[0], f.inDomain("norte-adega")[1]} {
		victim.kill()
		victim.start()
		f.waitReady(victim)
		f.Check(victim.status().Configuration.Revision, qt.Equals, int64(3))
	}
	l.waitMore(50, idempotent)
	unfreeze()
	l.waitMore(20, atMostOnce)
	l.verify("all reads of the store stale", "2 SIGKILL and restart")
	watch.check()
}

// staleMargin is the time between the state that stale reads return and the last
// publish.
const staleMargin = 100 * time.Millisecond

// freezeStoreReads makes all reads of the store return its state at one time, until
// the returned function is called.
func (f *fleet) freezeStoreReads(at time.Time) (unfreeze func()) {
	applyStaleness := func() {
		f.storeFaults(func(faults *standin.StoreFaults) {
			faults.StaleShare, faults.StaleMS = 1, time.Since(at).Milliseconds()
		})
	}
	applyStaleness()
	stopped := make(chan struct{})
	var updater sync.WaitGroup
	updater.Go(func() {
		for {
			select {
			case <-time.After(staleMargin / 10):
				applyStaleness()
			case <-stopped:
				return
			}
		}
	})
	return sync.OnceFunc(func() {
		close(stopped)
		updater.Wait()
		f.storeFaults(func(faults *standin.StoreFaults) { faults.StaleShare = 0 })
	})
}
