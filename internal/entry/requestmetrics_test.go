package entry

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
)

// Guards against link byte counters whose number grows with the organisations, and
// against bytes beyond the limit that are not counted, or counted for one organisation.
func TestLinkCountersAreBounded(t *testing.T) {
	c := qt.New(t)
	scope := tally.NewTestScope("", nil)
	m := NewRequestMetrics(scope, "near")
	for i := range 2 * maxLinkCounters {
		m.countLinkBytes(backend.Server{Region: "far"}, "stage", fmt.Sprint("o", i), 3)
	}
	counters, total, others := 0, int64(0), int64(0)
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Name() == "link_bytes" {
			counters++
			total += counter.Value()
			if counter.Tags()["organisation"] == otherOrganisations {
				others += counter.Value()
			}
		}
	}
	// One more counter has the bytes of all other organisations.
	c.Assert(counters, qt.Equals, maxLinkCounters+1)
	c.Assert(total, qt.Equals, int64(2*maxLinkCounters*3))
	c.Assert(others, qt.Equals, int64(maxLinkCounters*3))
}
