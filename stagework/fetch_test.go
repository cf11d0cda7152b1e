package stagework

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against inputs that are repeatedly freed before they were transferred over a
// slow link.
func TestFetchDurationFollowsLinkRateAndLosses(t *testing.T) {
	c := qt.New(t)
	var f FetchEstimator
	fast, slow := ServerProfile{LinkRate: 1_250_000_000}, ServerProfile{LinkRate: 12_500_000}
	c.Assert(f.Duration(ServerProfile{}, 1<<20), qt.Equals, fetchLatency)
	c.Assert(f.Duration(fast, 3_750_000), qt.Equals, fetchLatency+9*time.Millisecond)
	c.Assert(f.Duration(slow, 3_750_000), qt.Equals, fetchLatency+900*time.Millisecond)
	f.RecordLost()
	f.RecordLost()
	c.Assert(f.Duration(ServerProfile{}, 0), qt.Equals, 4*fetchLatency)
	for range 200 {
		f.RecordFetched()
	}
	c.Assert(f.Duration(ServerProfile{}, 0), qt.Equals, fetchLatency)
	for range 20 {
		f.RecordLost()
	}
	c.Assert(f.Duration(ServerProfile{}, 0), qt.Equals, maxFetchFactor*fetchLatency)
}
