// Package clock reads a steady clock that also counts the time in which the
// machine was suspended. Leases are measured with it: the ordinary steady clock
// stands still during a suspension, so that a lease would outlive its deadline.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tolerance is by how much the wall clock and the steady clock may part between two readings without being asked
	// for the cause; leases are longer by two orders of magnitude.
	tolerance = 5 * time.Millisecond
	// checkEvery is the steady time after which the suspensions are asked for in any case. A suspension and a step of
	// the wall clock that cancel each other are noticed then.
	checkEvery = 100 * time.Millisecond
	// shortest is the least suspension that counts; the two clocks are read one after the other, which looks like one
	// of some nanoseconds.
	shortest = time.Millisecond
)

// readings is what the last reading found. Asking the system for suspensions takes two calls, so it is done only when
// the wall clock has moved by more than the steady one, and now and then.
var readings struct {
	mu      sync.Mutex
	last    time.Time
	checked time.Time
	// suspendedNanoseconds is for how long the machine was suspended since the start of the process; it never falls.
	suspendedNanoseconds int64
}

// origin is the time that the machine had been suspended for at the start of the process.
var origin = suspended()

// Now returns the time on the clock. It may be compared with other results of Now on the same machine.
func Now() time.Time {
	t := time.Now()
	readings.mu.Lock()
	defer readings.mu.Unlock()
	parted := t.Round(0).Sub(readings.last.Round(0)) - t.Sub(readings.last)
	if parted.Abs() > tolerance || t.Sub(readings.checked) > checkEvery || t.Before(readings.checked) {
		readings.checked = t
		if found := suspended() - origin; found > time.Duration(readings.suspendedNanoseconds)+shortest {
			readings.suspendedNanoseconds = int64(found)
		}
	}
	readings.last = t
	return t.Add(time.Duration(readings.suspendedNanoseconds))
}

// Until returns how long it is until a deadline that was made from Now.
func Until(deadline time.Time) time.Duration { return deadline.Sub(Now()) }

// suspended returns for how long the machine has been suspended since its start; zero where the system does not tell.
func suspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
