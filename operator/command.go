// Package operator implements the operators' command line, jacinthctl: its
// commands, their output and their exit codes.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jacinthtiller/jacinthtiller/control"
	"github.com/jacinthtiller/jacinthtiller/credential"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

// EnvPrefix is the prefix of environment variables that set flags.
const EnvPrefix = "JACINTH"

// The exit codes, on which scripts may rely.
const (
	ExitOK = 0
	// ExitFailed means that the command could not be carried out.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitRefused means that control refused the change: a conflict, an invalid section or missing rights.
	ExitRefused = 3
	// ExitUnknown means that it is not known whether the change was made; repeat it with the same request id.
	ExitUnknown = 4
	// ExitViolation means that a check found a broken guarantee.
	ExitViolation = 5
)

// exitError is an error with the exit code of the command.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{code: ExitUsage, err: fmt.Errorf(format, args...)}
}

// tool holds the streams and flags that all commands share.
type tool struct {
	out, messages io.Writer

	// controlURLs are the URLs of control processes, separated by commas.
	controlURLs string
	// outputFormat is table or json.
	outputFormat string
	operatorName string
	// tokenFile is the file with the operator's token. Other users of the machine could see a token in the arguments.
	tokenFile string
	// timeoutMilliseconds bounds one command.
	timeoutMilliseconds int
	// tlsFiles are the TLS files for connections to control and other processes.
	tlsFiles credential.Files
}

// Run runs one command line and returns its exit code. Results go to out, messages and progress to messages.
func Run(ctx context.Context, args []string, out, messages io.Writer) int {
	t := &tool{out: out, messages: messages}
	root := t.rootCommand()
	err := root.ParseAndRun(ctx, args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		if errors.Is(err, flag.ErrHelp) && len(args) == 0 {
			return ExitUsage
		}
		return ExitOK
	}
	fmt.Fprintf(messages, "jacinthctl: %v\n", err)
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return ExitFailed
}

// rootCommand builds the command tree.
func (t *tool) rootCommand() *ffcli.Command {
	root := &ffcli.Command{
		Name:       "jacinthctl",
		ShortUsage: "jacinthctl <command> [flags] [arguments]",
		ShortHelp:  "Operate jacinthtiller.",
		LongHelp: "Flags can be given as environment variables: --control as " + EnvPrefix + "_CONTROL and so on.\n" +
			"Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused, 4 outcome unknown, 5 a guarantee is broken.",
		Subcommands: []*ffcli.Command{
			t.sectionCommands(), t.documentCommands(), t.statusCommand(), t.targetCommands(), t.primaryCommands(),
			t.memberCommands(), t.dumpCommand(), t.traceCommands(), t.explainCommand(), t.lossesCommand(),
			t.benchCommands(), t.quickstartCommand(), t.versionCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	root.FlagSet = flag.NewFlagSet("jacinthctl", flag.ContinueOnError)
	root.FlagSet.SetOutput(t.messages)
	return root
}

// groupCommand returns a command that only has subcommands.
func (t *tool) groupCommand(name, help string, commands ...*ffcli.Command) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(t.messages)
	return &ffcli.Command{
		Name: name, ShortUsage: "jacinthctl " + name + " <command>", ShortHelp: help, FlagSet: fs, Subcommands: commands,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("%s: there is no command %q", name, args[0])
			}
			return flag.ErrHelp
		},
	}
}

// newCommand returns a command with the flags that define adds. It takes n arguments, or any number if n is negative.
func (t *tool) newCommand(path, arguments, help string, n int, define func(*flag.FlagSet), exec func(context.Context, []string) error) *ffcli.Command {
	name := path[strings.LastIndex(path, " ")+1:]
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(t.messages)
	fs.StringVar(&t.outputFormat, "output", "table", "form of the output, table or json")
	if define != nil {
		define(fs)
	}
	return &ffcli.Command{
		Name: name, ShortUsage: strings.TrimSpace("jacinthctl " + path + " [flags] " + arguments), ShortHelp: help,
		FlagSet: fs, Options: []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if n >= 0 && len(args) != n {
				return usageError("%s takes %d arguments (%s), got %d", path, n, arguments, len(args))
			}
			if t.outputFormat != "table" && t.outputFormat != "json" {
				return usageError("--output=%q is not table or json", t.outputFormat)
			}
			return exec(ctx, args)
		},
	}
}

// addControlFlags adds the flags of commands that call control.
func (t *tool) addControlFlags(fs *flag.FlagSet) {
	fs.StringVar(&t.controlURLs, "control", "", "`urls` of control processes, separated by commas")
	fs.StringVar(&t.operatorName, "operator", "", "name of the operator")
	fs.StringVar(&t.tokenFile, "token-file", "", "file with the operator's token")
	t.addTLSFlags(fs)
	fs.IntVar(&t.timeoutMilliseconds, "timeout-milliseconds", 10000, "bound of the whole command, 100 to 600000")
}

// addTLSFlags adds the flags for TLS files.
func (t *tool) addTLSFlags(fs *flag.FlagSet) {
	fs.StringVar(&t.tlsFiles.CA, "ca-file", "", "authority that signs the processes' certificates")
	fs.StringVar(&t.tlsFiles.Cert, "cert-file", "", "certificate to show, for pages that require one")
	fs.StringVar(&t.tlsFiles.Key, "key-file", "", "key of the certificate")
}

// httpClient returns a client with the TLS files of the command line.
func (t *tool) httpClient() (*http.Client, error) {
	if t.tlsFiles == (credential.Files{}) {
		return wire.NewHTTPClient(), nil
	}
	s, err := credential.Open(t.tlsFiles, nil)
	if err != nil {
		return nil, fmt.Errorf("open TLS files: %w", err)
	}
	return wire.NewHTTPClient(wire.WithTLS(s.Client)), nil
}

// controlClient returns a client of control and a context with the command's deadline.
func (t *tool) controlClient(ctx context.Context) (context.Context, context.CancelFunc, *control.Client, error) {
	var urls []string
	for u := range strings.SplitSeq(t.controlURLs, ",") {
		// The form name=url of jacinthd's --control flag is accepted as well.
		if _, after, ok := strings.Cut(u, "="); ok {
			u = after
		}
		if u = strings.TrimSpace(u); u != "" {
			urls = append(urls, u)
		}
	}
	if len(urls) == 0 {
		return nil, nil, nil, usageError("--control is empty; give the URLs of control processes, or set %s_CONTROL", EnvPrefix)
	}
	if t.timeoutMilliseconds < 100 || t.timeoutMilliseconds > 600_000 {
		return nil, nil, nil, usageError("--timeout-milliseconds=%d is not between 100 and 600000", t.timeoutMilliseconds)
	}
	h, err := t.httpClient()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(t.timeoutMilliseconds)*time.Millisecond)
	return ctx, cancel, control.NewClient(urls, h), nil
}

// writeOutput writes value as JSON, or calls table with a writer that aligns columns.
func (t *tool) writeOutput(value any, table func(w io.Writer)) error {
	if t.outputFormat == "json" {
		e := json.NewEncoder(t.out)
		e.SetIndent("", "  ")
		if err := e.Encode(value); err != nil {
			return fmt.Errorf("write the output: %w", err)
		}
		return nil
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	table(w)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write the output: %w", err)
	}
	return nil
}

// get returns the body of the response to a GET request.
func (t *tool) get(ctx context.Context, url string) ([]byte, error) {
	client, err := t.httpClient()
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", url, err)
	}
	res, err := client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", url, err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, wire.MaxMessageBytes))
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", url, err)
	}
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("ask %s: %s: %s", url, res.Status, strings.TrimSpace(string(b)))
	}
	return b, nil
}
