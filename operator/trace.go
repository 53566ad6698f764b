package operator

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jacinthtiller/jacinthtiller/trace"
)

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
