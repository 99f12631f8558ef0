// Package uptime reads a clock that goes on while the host is suspended.
//
// Go's monotonic clock stops during a suspension. A lease counted on it is still valid after a suspension that outlasted
// the lease: its holder goes on giving orders beside its successor. One would notice orders from two hosts at one engine.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host started, suspensions included. Only differences of two readings mean something.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel has had this clock since 2.6.39; without it no lease could be trusted.
		panic("uptime: reading CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
