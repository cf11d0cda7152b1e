package stagework

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against results that are freed before a slow link has carried them, again
// and again.
func TestFetchTimesFollowTheLinkAndLosses(t *testing.T) {
	c := qt.New(t)
	var f Fetch
	fast, slow := Shape{LinkRate: 1_250_000_000}, Shape{LinkRate: 12_500_000}
	c.Assert(f.Time(Shape{}, 1<<20), qt.Equals, fetchLatency)
	c.Assert(f.Time(fast, 3_750_000), qt.Equals, fetchLatency+9*time.Millisecond)
	c.Assert(f.Time(slow, 3_750_000), qt.Equals, fetchLatency+900*time.Millisecond)
	f.Lost()
	f.Lost()
	c.Assert(f.Time(Shape{}, 0), qt.Equals, 4*fetchLatency)
	for range 200 {
		f.Fetched()
	}
	c.Assert(f.Time(Shape{}, 0), qt.Equals, fetchLatency)
	for range 20 {
		f.Lost()
	}
	c.Assert(f.Time(Shape{}, 0), qt.Equals, maxFetchFactor*fetchLatency)
}
