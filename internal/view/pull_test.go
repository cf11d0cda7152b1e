package view

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// Guards against a server that is dropped at the end of its grace period although it has
// registered again, because the instance that was asked for the change did not have it.
func TestAnotherPeerIsAskedWhenOneLacksTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 1, onWatch: waitForCancel}
		peers := &fakePeers{entries: []store.Entry{entry("config", "2", 5)}, version: 5, lacking: "peer"}
		s := startSync(c, source, peers)
		c.Assert(<-peers.announced, qt.Equals, store.Version(1))
		s.RecordStoreContact(StoreContact{Version: 5, Address: peers.lacking})
		const latestRegistration = 1800 * time.Millisecond
		select {
		case version := <-peers.announced:
			c.Assert(version, qt.Equals, store.Version(5))
		case <-time.After(reregisterGracePeriod - latestRegistration):
			c.Fatal("the registration is not known by the end of the grace period")
		}
	})
}
