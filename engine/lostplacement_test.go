package engine

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a run that counts for several times its duration at a server to which it was
// not sent, because its caller did not receive the placement and chose another server.
func TestRunEndsWhereItWasPlaced(t *testing.T) {
	c := qt.New(t)
	s := NewScheduler("r")
	s.SetServers(roomServers(2, testSlots))
	placed, ok := s.Place(start, Query{Run: Run{ID: "1"}, Excluded: []string{"1"}})
	c.Assert(ok, qt.IsTrue)
	c.Assert(placed.Server, qt.Equals, "0")
	s.Report(start, Report{Server: "1", RunReport: RunReport{Run: Run{ID: "1"}, Ended: true}})
	c.Assert(s.Room(start).SlotsUsed, qt.Equals, 0)
}
