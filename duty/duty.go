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
	// firstPause and longestPause bound the pause before a duty is begun again; it doubles with each fault.
	firstPause   = 50 * time.Millisecond
	longestPause = time.Second
	// faultsBorne is how many faults within faultWindow a duty may have before the process ends.
	faultsBorne = 5
	faultWindow = time.Minute
	// ExitFault is the exit code of a process that ends because of a duty.
	ExitFault = 3
)

// exit ends the process; tests replace it.
var exit = os.Exit

// Run calls f and reports whether it returned without a fault. A fault is logged with its stack and the fields.
func Run(events *event.Log, name string, fields event.Fields, f func()) (sound bool) {
	defer func() {
		if p := recover(); p != nil {
			Report(events, name, fields, p)
		}
	}()
	f()
	return true
}

// Report logs a fault, as recover gave it, with the stack of the caller.
func Report(events *event.Log, name string, fields event.Fields, fault any) {
	out := event.Fields{"work": name, "panic": fmt.Sprint(fault), "stack": string(debug.Stack())}
	for k, v := range fields {
		out[k] = v
	}
	events.Emit(event.WorkPanicked, out)
}

// Keep calls f until it returns without a fault or ctx ends, and begins it again after each fault. It ends the process
// after more faults than a duty may have.
func Keep(ctx context.Context, events *event.Log, name string, f func()) {
	var b bounds
	for !Run(events, name, nil, f) {
		pause, again := b.fault(time.Now())
		if !again {
			events.Emit(event.DutyGivenUp, event.Fields{"work": name, "faults": faultsBorne + 1})
			exit(ExitFault)
			return
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// bounds decides what follows a fault of one duty.
type bounds struct {
	// recent holds the times of the faults within faultWindow, oldest first.
	recent []time.Time
}

// fault notes a fault and returns after which pause the duty begins again, or false when it does not.
func (b *bounds) fault(now time.Time) (pause time.Duration, again bool) {
	for len(b.recent) > 0 && now.Sub(b.recent[0]) > faultWindow {
		b.recent = b.recent[1:]
	}
	b.recent = append(b.recent, now)
	if len(b.recent) > faultsBorne {
		return 0, false
	}
	return min(firstPause<<(len(b.recent)-1), longestPause), true
}
