package clock

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a clock that goes backwards or returns times with Go's monotonic
// reading, which does not count suspended time.
func TestBootClockRisesWithoutMonotonicReading(t *testing.T) {
	c := qt.New(t)
	first := Boot{}.Now()
	second := Boot{}.Now()
	c.Assert(second.Before(first), qt.IsFalse)
	c.Assert(first.Round(0), qt.Equals, first)
}
