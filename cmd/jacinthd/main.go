// Command jacinthd runs the entry role, the control role or both on one host.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller/daemon"
	"github.com/jacinthtiller/jacinthtiller/platform"
)

func main() { os.Exit(run(os.Args[1:])) }

// run returns the exit code: 0 after a graceful stop, 1 after a failure, 2 for invalid settings.
func run(args []string) int {
	s, err := daemon.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if s.PrintSettings {
		fmt.Print(s.Printed())
	}
	if s.Check || s.PrintSettings {
		return 0
	}
	// Signal handlers are installed before the process starts, so that an early signal still stops it gracefully.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	var goroutines conc.WaitGroup
	signaledAt := make(chan time.Time, 1)
	goroutines.Go(func() {
		<-signals
		signaledAt <- time.Now()
	})
	p, err := daemon.Start(s, daemon.WithAdapter("platform", platform.Adapter{}))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	watchCtx, cancelWatch := context.WithCancel(context.Background())
	defer cancelWatch()
	goroutines.Go(func() { p.WatchSettings(watchCtx, reloads, func() { reload(p, args) }) })
	// Whoever sent the signal counts the time from it, also while the process starts.
	ctx, cancel := context.WithDeadline(context.Background(), (<-signaledAt).Add(time.Duration(s.DrainMilliseconds)*time.Millisecond))
	defer cancel()
	return stop(ctx, p, signals)
}

// reload reads the settings again and applies them. Invalid settings are logged and change nothing.
func reload(p *daemon.Process, args []string) {
	s, err := daemon.Parse(args)
	if err != nil {
		p.LogReloadFailure(err)
		return
	}
	p.Reload(s)
}

// stop stops the process gracefully. An interrupt makes it return at once. A further SIGTERM does not: whoever supervises the
// process may repeat it, and has SIGKILL for the end.
func stop(ctx context.Context, p *daemon.Process, signals <-chan os.Signal) int {
	done := make(chan error, 1)
	var goroutines conc.WaitGroup
	goroutines.Go(func() { done <- p.Stop(ctx) })
	for {
		select {
		case err := <-done:
			if err != nil {
				fmt.Fprintln(os.Stderr, err)
				return 1
			}
			return 0
		case received := <-signals:
			p.LogRepeatedSignal(received.String())
			if received == os.Interrupt {
				return 1
			}
		}
	}
}
