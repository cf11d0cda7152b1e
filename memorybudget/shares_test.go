package memorybudget

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against requests to one service, or of one organisation, that leave no room for
// others while they wait for a slow server.
func TestOneServiceOrOrganisationLeavesRoom(t *testing.T) {
	c := qt.New(t)
	for _, greedy := range []Purpose{{Service: "slow"}, {Organisation: "large"}} {
		s := NewShares(Door{Connections: 100})
		entered := 0
		for s.Enter(greedy) {
			entered++
		}
		c.Check(entered < 90, qt.IsTrue, qt.Commentf("%+v: %d", greedy, entered))
		c.Check(s.Enter(Purpose{Organisation: "small", Service: "sound"}), qt.IsTrue)
		s.Leave(greedy)
		c.Check(s.Enter(greedy), qt.IsTrue)
		c.Check(s.Enter(greedy), qt.IsFalse)
	}
}

// Guards against counts that stay after all requests have left.
func TestSharesAreFreeAfterAllRequests(t *testing.T) {
	c := qt.New(t)
	s := NewShares(Door{Connections: 10})
	p := Purpose{Organisation: "a", Service: "s"}
	for range 3 {
		entered := 0
		for s.Enter(p) {
			entered++
		}
		for range entered {
			s.Leave(p)
		}
		c.Check(entered, qt.Equals, 7)
	}
	c.Check(s.services.byName, qt.HasLen, 0)
	c.Check(s.organisations.byName, qt.HasLen, 0)
}
