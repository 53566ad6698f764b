// Package clock reads a steady clock that also counts the time in which the
// machine was suspended. Leases are measured with it: the ordinary steady clock
// stands still during a suspension, so that a lease would outlive its deadline.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// origin is the wall clock at the start of the process, and originSteady the steady clock then.
var (
	origin       = time.Now().Round(0)
	originSteady = steady()
)

// Now returns the wall clock of the process's start plus the steady time since then. Changes of the wall clock do not
// move it, so that results may be compared with one another but not with the wall clock.
func Now() time.Time { return origin.Add(steady() - originSteady) }

// Until returns how long it is until a deadline that was made from Now.
func Until(deadline time.Time) time.Duration { return deadline.Sub(Now()) }

// steady returns the time since the machine's start, suspensions included. Where the system lacks that clock it
// returns the process's own steady clock, which leaves them out.
func steady() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(start)
	}
	return time.Duration(t.Nano())
}

// start gives the steady clock of the process an origin.
var start = time.Now()
