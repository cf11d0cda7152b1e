// Package clock reads the boot-time clock, which also counts the time during which
// the machine is suspended. Leases and claims use it to measure time.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock gives the current time.
type Clock interface {
	Now() time.Time
}

// Boot is the clock CLOCK_BOOTTIME. Its times can be compared only with each other
// and within one machine.
type Boot struct{}

// Now returns the time since boot, added to the Unix epoch. It has no monotonic
// reading, so that differences use the boot time alone. It panics when the kernel has
// no CLOCK_BOOTTIME.
func (Boot) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("clock: CLOCK_BOOTTIME is not supported: " + err.Error())
	}
	return time.Unix(now.Unix())
}

// Sleep waits for d and returns true, or returns false when the context is done first.
// Time during which the machine is suspended is not counted.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Every calls f once per interval until the context is done.
func Every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}
