package doors

import (
	"sync/atomic"
	"time"
)

// processStart is the reference of all instants.
var processStart = time.Now()

// instant is a point in time that is safe for concurrent use. It is kept as the monotonic time
// since processStart, which does not jump with the time of day. The zero value is no time.
type instant struct{ ns atomic.Int64 }

// set stores a time with a monotonic reading, or none for a zero time.
func (i *instant) set(t time.Time) {
	if t.IsZero() {
		i.ns.Store(0)
		return
	}
	ns := int64(t.Sub(processStart))
	if ns == 0 {
		ns = 1
	}
	i.ns.Store(ns)
}

// get returns the time, which is zero for none.
func (i *instant) get() time.Time {
	ns := i.ns.Load()
	if ns == 0 {
		return time.Time{}
	}
	return processStart.Add(time.Duration(ns))
}
