// Package clock reads the clock for ages and timeouts: the time since the machine's
// boot, including suspension. The time of day may jump, and Go's monotonic clock
// stops while a machine is suspended, so that a revoked key would be accepted for
// too long.
package clock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Time is a point on the boot clock. The zero value lies before any reading.
type Time time.Duration

var followsRuntime atomic.Bool

// FollowRuntime makes Now return the time of the Go runtime, which tests and
// experiments control. Programs that serve calls must not use it.
func FollowRuntime() { followsRuntime.Store(true) }

// Now returns the time on the boot clock, or on the monotonic clock if the kernel
// has no boot clock.
func Now() Time {
	if followsRuntime.Load() {
		return Time(time.Now().UnixNano())
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Time(time.Since(processStart)) + 1
	}
	return Time(ts.Nano())
}

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Add returns the time d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sleep waits for d and reports false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

var processStart = time.Now()
