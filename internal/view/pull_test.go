package view

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// laggingPeer is the address of an instance that does not have the version that another one of
// its region has.
const laggingPeer = "lagging"

// peersBehindASummary return changes from all addresses but laggingPeer.
type peersBehindASummary struct{ *fakePeers }

func (p peersBehindASummary) Pull(ctx context.Context, request PullRequest) (store.Changes, error) {
	if request.Address == laggingPeer {
		return store.Changes{}, nil
	}
	return p.fakePeers.Pull(ctx, request)
}

// Guards against a server that is dropped at the end of its grace period although it has
// registered again, because the instance that was asked for the change did not have it.
func TestAnotherPeerIsAskedWhenOneLacksTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		source := &fakeSource{snapshot: []store.Entry{entry("config", "1", 1)}, version: 1, onWatch: waitForCancel}
		peers := &fakePeers{entries: []store.Entry{entry("config", "2", 5)}, version: 5, announced: make(chan store.Version, 10), confirmed: make(chan struct{}, 1)}
		s := newTestSync(source, peersBehindASummary{peers})
		s.relyUntil, s.firstReadAt = time.Time{}, time.Time{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.Run(ctx)
		c.Assert(<-peers.announced, qt.Equals, store.Version(1))
		s.RecordStoreContact(StoreContact{Version: 5, Address: laggingPeer})
		const latestRegistration = 1800 * time.Millisecond
		select {
		case version := <-peers.announced:
			c.Assert(version, qt.Equals, store.Version(5))
		case <-time.After(reregisterGracePeriod - latestRegistration):
			c.Fatal("the registration is not known by the end of the grace period")
		}
	})
}
