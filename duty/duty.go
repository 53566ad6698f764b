// Package duty keeps a fault of the program, a panic, to the work in which it happens. Work for one guest or one call ends
// with a line in the log; a duty that runs for the life of the process is begun again; a process whose duty fails again and
// again ends, so that the platform starts it anew, instead of going on without the duty.
package duty

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// minRestartDelay and longestPause bound the pause before a duty is begun again; it doubles with each fault.
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = time.Second
	// maxPanics is how many faults within faultWindow a duty may have before the process ends.
	maxPanics   = 5
	panicWindow = time.Minute
	// ExitPanic is the exit code of a process that ends because of a duty.
	ExitPanic = 3
)

// exit ends the process; tests replace it.
var exit = os.Exit

// Run calls f and reports whether it returned without a fault. A fault is logged with its stack and the fields.
func Run(events *event.Log, name string, fields event.Fields, f func()) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			Report(events, name, fields, p)
		}
	}()
	f()
	return true
}

// Report logs a fault, as recover gave it, with the stack of the caller.
func Report(events *event.Log, name string, fields event.Fields, value any) {
	all := event.Fields{"work": name, "panic": fmt.Sprint(value), "stack": string(debug.Stack())}
	for k, v := range fields {
		all[k] = v
	}
	events.Emit(event.WorkPanicked, all)
}

// Keep calls f until it returns without a fault or ctx ends, and begins it again after each fault. It ends the process
// after more faults than a duty may have.
func Keep(ctx context.Context, events *event.Log, name string, f func()) {
	var limiter restartLimiter
	for !Run(events, name, nil, f) {
		delay, restart := limiter.recordPanic(time.Now())
		if !restart {
			events.Emit(event.DutyGivenUp, event.Fields{"work": name, "faults": maxPanics + 1})
			exit(ExitPanic)
			return
		}
		t := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// restartLimiter decides what follows a fault of one duty.
type restartLimiter struct {
	// panics holds the times of the faults within faultWindow, oldest first.
	panics []time.Time
}

// recordPanic notes a recordPanic and returns after which pause the duty begins again, or false when it does not.
func (l *restartLimiter) recordPanic(now time.Time) (delay time.Duration, restart bool) {
	for len(l.panics) > 0 && now.Sub(l.panics[0]) > panicWindow {
		l.panics = l.panics[1:]
	}
	l.panics = append(l.panics, now)
	if len(l.panics) > maxPanics {
		return 0, false
	}
	return min(minRestartDelay<<(len(l.panics)-1), maxRestartDelay), true
}
