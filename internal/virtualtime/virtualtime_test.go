package virtualtime

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against events out of order, and against those that events add.
func TestEventsRunInOrder(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	var a EventQueue
	var seen []time.Duration
	note := func(now time.Time) { seen = append(seen, now.Sub(start)) }
	a.At(start.Add(3), note)
	a.At(start.Add(1), func(now time.Time) {
		note(now)
		a.At(now.Add(1), note)
	})
	a.Run()
	c.Assert(seen, qt.DeepEquals, []time.Duration{1, 2, 3})
}
