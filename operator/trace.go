package operator

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jacinthtiller/jacinthtiller/trace"
)

// explain says why a request failed.
func (t *tool) explain() *ffcli.Command {
	return t.command("explain", "REQUEST-ID LOGFILE...", "Say what the logs of hosts and control processes tell about a request.", -1, nil,
		func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return usage("explain takes a request's id and at least one log file")
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

// trace holds the commands for trace files.
func (t *tool) trace() *ffcli.Command {
	check := t.command("trace check", "FILE...", "Merge trace files and judge the guarantees.", -1, nil,
		func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usage("trace check takes at least one file")
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
			return t.print(out, func(w io.Writer) {
				fmt.Fprintf(w, "%d records of %d files break no rule\n", len(records), len(args))
			})
		})
	return t.group("trace", "Judge recorded traces.", check)
}
