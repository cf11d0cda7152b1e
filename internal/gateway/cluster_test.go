package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store/storetest"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
)

func newTestCluster(c *qt.C, st *storetest.Fake) *Cluster {
	node := listenPeer(c)
	s := settings.Gateway{Instance: "g", Region: "r", PeerAddress: nodeAddress(node)}
	return NewCluster(s, node, peer.NewClient(), st, discardLogger())
}

func addRegistration(c *qt.C, st *storetest.Fake, id, region string) {
	value, err := json.Marshal(registration{Address: "127.0.0.1:1", Region: region})
	c.Assert(err, qt.IsNil)
	_, err = st.CompareAndSwap(context.Background(), registrationPrefix+id, 0, value, 0)
	c.Assert(err, qt.IsNil)
}

// Guards against instances of a region that never discover each other because they
// started together and each read the registrations before the others wrote theirs.
// Each then schedules all stage calls by itself and finds the stage servers full.
func TestRegistrationsAreReread(t *testing.T) {
	c := qt.New(t)
	st := storetest.New()
	cluster := newTestCluster(c, st)
	cluster.rereadInterval = time.Millisecond
	_, err := cluster.register(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(cluster.Owners("x"), qt.HasLen, 1)
	addRegistration(c, st, "late", "r")
	addRegistration(c, st, "far", "other")
	cluster.rereadRegistrations(context.Background())
	c.Assert(cluster.Owners("x"), qt.HasLen, 2)
	candidates := 0
	cluster.node.View(func(s *membership.State) { candidates = len(s.Candidates()) })
	c.Assert(candidates, qt.Equals, 1, qt.Commentf("one address, registered twice"))
}

// Guards against an instance that does not answer but is still called for each request,
// and against two instances that choose different owners.
func TestUnresponsiveOwnersRankLast(t *testing.T) {
	c := qt.New(t)
	st := storetest.New()
	addRegistration(c, st, "other", "r")
	cluster := newTestCluster(c, st)
	_, err := cluster.register(context.Background())
	c.Assert(err, qt.IsNil)
	first := cluster.Owners("x")
	c.Assert(cluster.Owners("x"), qt.DeepEquals, first)
	cluster.Avoid(first[0])
	reversed := slices.Clone(first)
	slices.Reverse(reversed)
	c.Assert(cluster.Owners("x"), qt.DeepEquals, reversed)
}
