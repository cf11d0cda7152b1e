package view

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a server that becomes cold, or is warm again, and stays as it was in the view,
// and against a new view for each second that a cold server counts down.
func TestColdPeriodsOfServers(t *testing.T) {
	c := qt.New(t)
	known := Server{ID: "a", Incarnation: 1}
	for _, step := range []struct {
		incarnation int64
		coldFor     time.Duration
		period      int
		changed     bool
	}{
		{1, 0, 0, false}, {1, 3 * time.Second, 1, true}, {1, 2 * time.Second, 1, false}, {1, 0, 1, true},
		{1, 3 * time.Second, 2, true}, {1, time.Second, 2, false}, {1, 2 * time.Second, 3, true},
		{2, time.Second, 1, true}, {2, 0, 1, true}, {3, 0, 0, true},
	} {
		server := Server{ID: "a", Incarnation: step.incarnation, ColdFor: step.coldFor}
		server.countColdPeriod(known)
		c.Assert(server.ColdPeriod, qt.Equals, step.period, qt.Commentf("%v", step))
		c.Assert(server.sameUse(known), qt.Equals, !step.changed, qt.Commentf("%v", step))
		known = server
	}
}
