package gateway

import (
	"context"
	"encoding/json"
	"fmt"
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
	return NewCluster(s, node, peer.NewClient(nil), st, discardLogger())
}

func addRegistration(c *qt.C, st *storetest.Fake, id, region string) {
	register(c, st, id, registration{Address: "127.0.0.1:1", Region: region})
}

func register(c *qt.C, st *storetest.Fake, id string, r registration) {
	value, err := json.Marshal(r)
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

// Guards against a service whose calls are all scheduled by an instance with a small
// link or processor although the region has strong ones.
func TestStrongInstancesOwnServices(t *testing.T) {
	c := qt.New(t)
	st := storetest.New()
	weak, strong := membership.Capacity{LinkMbits: 20, ProcessorMillis: 192}, membership.Capacity{LinkMbits: 200, ProcessorMillis: 800}
	for i := range 10 {
		register(c, st, fmt.Sprint("weak-", i), registration{Address: fmt.Sprint("127.0.0.1:1", i), Region: "r", Capacity: weak})
	}
	register(c, st, "strong", registration{Address: "127.0.0.1:2", Region: "r", Capacity: strong})
	cluster := newTestCluster(c, st)
	_, err := cluster.register(context.Background())
	c.Assert(err, qt.IsNil)
	for i := range 20 {
		owners := cluster.Owners(fmt.Sprint("service-", i))
		c.Assert(owners[0], qt.Equals, "127.0.0.1:2")
		c.Assert(slices.Contains(owners, ""), qt.IsTrue)
	}
}

func failureDomainOf(cluster *Cluster) (name string) {
	cluster.node.View(func(s *membership.State) { name = s.Self().FailureDomain })
	return name
}

// Guards against owners that stay the same after a member has joined, has failed or has
// been replaced at another address.
func TestOwnersFollowMembership(t *testing.T) {
	c := qt.New(t)
	cluster := newTestCluster(c, storetest.New())
	cluster.started = time.Now().Add(-2 * joinGracePeriod)
	receive := func(record membership.Record) {
		cluster.node.Do(func(s *membership.State) []membership.Output {
			return s.Receive(time.Now(), membership.Message{From: record})
		})
	}
	c.Assert(cluster.Owners("x"), qt.DeepEquals, []string{""})
	member := membership.Record{ID: "b", FailureDomain: failureDomainOf(cluster), Address: "127.0.0.1:1", Incarnation: 1}
	receive(member)
	c.Assert(cluster.Owners("x"), qt.Contains, "127.0.0.1:1")
	member.Address, member.Incarnation = "127.0.0.1:2", 2
	receive(member)
	c.Assert(cluster.Owners("x"), qt.Contains, "127.0.0.1:2")
	member.State = membership.Left
	receive(member)
	c.Assert(cluster.Owners("x"), qt.DeepEquals, []string{""})
}

// Guards against writes to the store at each restart of an instance, which all restart
// together after a loss of power.
func TestRegistrationIsKeptAfterRestart(t *testing.T) {
	c := qt.New(t)
	st := storetest.New()
	cluster := newTestCluster(c, st)
	first, err := cluster.register(context.Background())
	c.Assert(err, qt.IsNil)
	writes := st.Count(storetest.Swap)
	restarted := NewCluster(cluster.settings, cluster.node, cluster.peerClient, st, discardLogger())
	second, err := restarted.register(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(second, qt.Equals, first)
	moved := restarted.settings
	moved.Region = "other"
	third, err := NewCluster(moved, cluster.node, cluster.peerClient, st, discardLogger()).register(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(third, qt.Not(qt.Equals), first)
	c.Assert(st.Count(storetest.Swap), qt.Equals, writes+1)
}

// Guards against an instance that counts as an owner because of a registration that it left
// behind, after membership has had the time to find all instances.
func TestRegistrationsCountOnlyWhileJoining(t *testing.T) {
	c := qt.New(t)
	st := storetest.New()
	addRegistration(c, st, "failed", "r")
	cluster := newTestCluster(c, st)
	_, err := cluster.register(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(cluster.Owners("x"), qt.HasLen, 2)
	cluster.started = time.Now().Add(-2 * joinGracePeriod)
	c.Assert(cluster.Owners("x"), qt.DeepEquals, []string{""})
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
