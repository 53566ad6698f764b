// Package clock provides a monotonic clock that also counts the time in which the
// machine was suspended. Leases are measured with it: the usual monotonic clock
// stops during a suspension, so that a lease would outlive its deadline.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// driftTolerance is how far the wall clock and the monotonic clock may drift apart between two readings before Now
	// checks for a suspension; leases are longer by two orders of magnitude.
	driftTolerance = 5 * time.Millisecond
	// suspensionCheckInterval is the monotonic time after which Now checks for a suspension in any case. The check finds a
	// suspension whose drift was cancelled by a step of the wall clock.
	suspensionCheckInterval = 100 * time.Millisecond
	// minSuspension is the shortest suspension that counts; reading the two system clocks one after the other looks like a
	// suspension of some nanoseconds.
	minSuspension = time.Millisecond
)

// lastReading is the state after the last call of Now. A check for suspensions takes two system calls, so it is made only
// when the clocks have drifted apart and every suspensionCheckInterval.
var lastReading struct {
	mu                  sync.Mutex
	at                  time.Time
	suspensionCheckedAt time.Time
	// suspendedNanoseconds is how long the machine was suspended since the start of the process; it never decreases.
	suspendedNanoseconds int64
}

// suspendedBeforeStart is how long the machine had been suspended when the process started.
var suspendedBeforeStart = suspendedTime()

// Now returns the time on the clock. The result may be compared only with other results of Now on the same machine.
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

// Until returns the time until a deadline that was derived from Now.
func Until(deadline time.Time) time.Duration { return deadline.Sub(Now()) }

// suspendedTime returns how long the machine has been suspended since it booted; zero if the clocks cannot be read.
func suspendedTime() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
