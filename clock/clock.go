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
	// driftTolerance is by how much the wall clock and the steady clock may part between two readings without being asked
	// for the cause; leases are longer by two orders of magnitude.
	driftTolerance = 5 * time.Millisecond
	// suspensionCheckInterval is the steady time after which the suspensions are asked for in any case. A suspension and a step of
	// the wall clock that cancel each other are noticed then.
	suspensionCheckInterval = 100 * time.Millisecond
	// minSuspension is the least suspension that counts; the two clocks are read one after the other, which looks like one
	// of some nanoseconds.
	minSuspension = time.Millisecond
)

// lastReading is what the last reading found. Asking the system for suspensions takes two calls, so it is done only when
// the wall clock has moved by more than the steady one, and now and then.
var lastReading struct {
	mu                  sync.Mutex
	at                  time.Time
	suspensionCheckedAt time.Time
	// suspendedNanoseconds is for how long the machine was suspended since the start of the process; it never falls.
	suspendedNanoseconds int64
}

// suspendedBeforeStart is the time that the machine had been suspended for at the start of the process.
var suspendedBeforeStart = suspendedTime()

// Now returns the time on the clock. It may be compared with other results of Now on the same machine.
func Now() time.Time {
	t := time.Now()
	lastReading.mu.Lock()
	defer lastReading.mu.Unlock()
	drift := t.Round(0).Sub(lastReading.at.Round(0)) - t.Sub(lastReading.at)
	if drift.Abs() > driftTolerance || t.Sub(lastReading.suspensionCheckedAt) > suspensionCheckInterval || t.Before(lastReading.suspensionCheckedAt) {
		lastReading.suspensionCheckedAt = t
		if suspended := suspendedTime() - suspendedBeforeStart; suspended > time.Duration(lastReading.suspendedNanoseconds)+minSuspension {
			lastReading.suspendedNanoseconds = int64(suspended)
		}
	}
	lastReading.at = t
	return t.Add(time.Duration(lastReading.suspendedNanoseconds))
}

// Until returns how long it is until a deadline that was made from Now.
func Until(deadline time.Time) time.Duration { return deadline.Sub(Now()) }

// suspendedTime returns for how long the machine has been suspendedTime since its start; zero where the system does not tell.
func suspendedTime() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
