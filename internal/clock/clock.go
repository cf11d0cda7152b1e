// Package clock reads the boot-time clock, which counts the time during which
// the machine was suspended. Leases and claims are measured with it.
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

// Boot is the clock CLOCK_BOOTTIME. Its times are comparable only with each
// other and within one machine.
type Boot struct{}

// Now returns the time since boot, counted from the Unix epoch. It carries no
// monotonic reading, so that differences use the boot time alone.
func (Boot) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("clock: CLOCK_BOOTTIME is not supported: " + err.Error())
	}
	return time.Unix(now.Unix())
}

// Sleep waits, or returns false when the context ends first. Time during which the
// machine is suspended is not counted.
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

// Every calls f at each interval until the context ends.
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
