// Package duty limits the effect of a panic to the work in which it occurs. Work for one guest or one call ends and the
// panic is logged. A background task that runs as long as the process is restarted. A process whose task panics
// repeatedly exits, so that the platform restarts it, instead of running without the task.
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
	// minRestartDelay and maxRestartDelay bound the delay before a task is restarted; it doubles with each panic.
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = time.Second
	// maxPanics is how often a task may panic within panicWindow before the process exits.
	maxPanics   = 5
	panicWindow = time.Minute
	// ExitPanic is the exit code of a process that ends because a task panicked too often.
	ExitPanic = 3
)

// exit ends the process; tests replace it.
var exit = os.Exit

// Run calls f and reports whether it returned without a panic. A panic is logged with its stack and the fields.
func Run(events *event.Log, name string, fields event.Fields, f func()) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			LogPanic(events, name, fields, p)
		}
	}()
	f()
	return true
}

// LogPanic logs the value that recover returned, with the stack of the caller.
func LogPanic(events *event.Log, name string, fields event.Fields, value any) {
	all := event.Fields{"work": name, "panic": fmt.Sprint(value), "stack": string(debug.Stack())}
	for k, v := range fields {
		all[k] = v
	}
	events.Emit(event.WorkPanicked, all)
}

// RunWithRestart calls f again after each panic until f returns normally or ctx ends. It exits the process if f panics more
// often than maxPanics allows.
func RunWithRestart(ctx context.Context, events *event.Log, name string, f func()) {
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

// restartLimiter decides whether a task is restarted after a panic.
type restartLimiter struct {
	// panics holds the times of the panics within panicWindow, oldest first.
	panics []time.Time
}

// recordPanic records a panic and returns the delay before the restart, or false if the task must not be restarted.
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
