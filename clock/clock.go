// Package clock reads the clock that all ages and timeouts of beliefs are
// measured on: time since the machine's boot, suspension included. The time
// of day may jump, and the monotonic clock stands still while a machine is
// suspended, so a key taken away meanwhile would still look fresh on it.
package clock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Time is a point on the boot clock. The zero value lies before any reading.
type Time time.Duration

// runtimeTime, once set, has Now read the time of the Go runtime.
var runtimeTime atomic.Bool

// FollowRuntime has Now read the time of the Go runtime from here on, which
// tests and experiments may drive; it is not for programs that serve.
func FollowRuntime() { runtimeTime.Store(true) }

// Now reads the boot clock. It falls back to the monotonic clock where the
// kernel has no boot clock.
func Now() Time {
	if runtimeTime.Load() {
		return Time(time.Now().UnixNano())
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Time(time.Since(start)) + 1
	}
	return Time(ts.Nano())
}

// Sub is the time from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Add is the point d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sleep lasts d, and reports false if ctx ended first.
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

var start = time.Now()
