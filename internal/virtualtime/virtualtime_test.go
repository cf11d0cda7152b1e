package virtualtime

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against events that run out of order, including events that are added by other
// events.
func TestEventsRunInOrder(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	var q EventQueue
	var ran []time.Duration
	record := func(now time.Time) { ran = append(ran, now.Sub(start)) }
	q.At(start.Add(3), record)
	q.At(start.Add(1), func(now time.Time) {
		record(now)
		q.At(now.Add(1), record)
	})
	q.Run()
	c.Assert(ran, qt.DeepEquals, []time.Duration{1, 2, 3})
}
