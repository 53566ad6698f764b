package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jacinthtiller/jacinthtiller/trace"
)

// defaultLossWindow is the length of the periods in which losses are counted.
const defaultLossWindow = 2 * time.Second

// explainCommand prints what the logs tell about a request.
func (t *tool) explainCommand() *ffcli.Command {
	return t.newCommand("explain", "REQUEST-ID LOGFILE...", "Say what the logs of hosts and control processes tell about a request.", -1, nil,
		func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return usageError("explain takes a request's id and at least one log file")
			}
			lines, err := trace.ReadLogs(args[1:]...)
			if err != nil {
				return fmt.Errorf("explain request %s: %w", args[0], err)
			}
			e := trace.Explain(lines, args[0])
			if len(e.Request) == 0 {
				return fmt.Errorf("no line of the logs is about request %s: it succeeded, was left out by the bound of the log, or reached another host", args[0])
			}
			fmt.Fprint(t.out, e)
			return nil
		})
}

// lossesCommand attributes the requests of a period that failed or were late to causes.
func (t *tool) lossesCommand() *ffcli.Command {
	window := defaultLossWindow
	return t.newCommand("losses", "LOGFILE...", "Say which requests failed or were late by the logs of hosts, and for what reason.", -1,
		func(fs *flag.FlagSet) {
			fs.DurationVar(&window, "window", defaultLossWindow, "length of the periods of the second table")
		},
		func(_ context.Context, args []string) error {
			if len(args) == 0 || window <= 0 {
				return usageError("losses takes at least one log file and a window above 0")
			}
			lines, err := trace.ReadLogs(args...)
			if err != nil {
				return fmt.Errorf("find losses: %w", err)
			}
			losses := trace.FindLosses(lines, window)
			return t.writeOutput(losses, func(w io.Writer) { fmt.Fprint(w, losses) })
		})
}

// traceCommands returns the commands for trace files.
func (t *tool) traceCommands() *ffcli.Command {
	check := t.newCommand("trace check", "FILE...", "Merge trace files and judge the guarantees.", -1, nil,
		func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError("trace check takes at least one file")
			}
			records, err := trace.ReadFiles(args...)
			if err != nil {
				return err
			}
			v := trace.Check(records)
			if v != nil {
				return &exitError{code: ExitViolation, err: errors.New(v.String())}
			}
			out := map[string]int{"records": len(records), "files": len(args)}
			return t.writeOutput(out, func(w io.Writer) {
				fmt.Fprintf(w, "%d records of %d files break no rule\n", len(records), len(args))
			})
		})
	return t.groupCommand("trace", "Judge recorded traces.", check)
}
