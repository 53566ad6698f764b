package operator

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jacinthtiller/jacinthtiller/bench"
	"github.com/jacinthtiller/jacinthtiller/document"
	"github.com/jacinthtiller/jacinthtiller/quickstart"
)

// stopTimeout bounds the graceful shutdown of an embedded installation.
const stopTimeout = 30 * time.Second

// documentCommands returns the commands for section files and verifiers, which need no control group.
func (t *tool) documentCommands() *ffcli.Command {
	var team string
	check := t.newCommand("document check", "FILE", "Check a section without applying it.", 1, func(fs *flag.FlagSet) {
		fs.StringVar(&team, "team", "", "team of the section; the file's name without its ending when empty")
	}, func(_ context.Context, args []string) error { return t.checkSection(team, args[0]) })
	fields := t.newCommand("document fields", "", "Print the reference of all fields.", 0, nil,
		func(context.Context, []string) error {
			_, err := io.WriteString(t.out, document.Reference())
			return err
		})
	verifier := t.newCommand("document verifier", "", "Read a password from standard input and print its verifier.", 0, nil,
		func(context.Context, []string) error { return t.printVerifier(os.Stdin) })
	return t.groupCommand("document", "Check sections of the document.", check, fields, verifier)
}

func (t *tool) checkSection(team, path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read the section: %w", err)
	}
	if team == "" {
		team = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	}
	_, faults := document.Parse(team, string(b))
	err = t.writeOutput(faults, func(w io.Writer) {
		for _, f := range faults {
			fmt.Fprintln(w, f)
		}
		if len(faults) == 0 {
			fmt.Fprintf(w, "section of %s is valid\n", team)
		}
	})
	if err == nil && len(faults) > 0 {
		err = &exitError{code: ExitRefused, err: fmt.Errorf("%s has %d faults", path, len(faults))}
	}
	return err
}

func (t *tool) printVerifier(r io.Reader) error {
	b, err := io.ReadAll(io.LimitReader(r, 4096))
	if err != nil {
		return fmt.Errorf("read the password: %w", err)
	}
	password := strings.TrimRight(string(b), "\r\n")
	if password == "" {
		return usageError("the password on standard input is empty")
	}
	v, err := document.NewVerifier(password)
	if err != nil {
		return fmt.Errorf("make the verifier: %w", err)
	}
	_, err = fmt.Fprintln(t.out, v)
	return err
}

// dumpCommand prints the state of one process.
func (t *tool) dumpCommand() *ffcli.Command {
	return t.newCommand("dump", "URL", "Print the whole state of a process as JSON.", 1, t.addTLSFlags,
		func(ctx context.Context, args []string) error {
			b, err := t.get(ctx, strings.TrimSuffix(args[0], "/")+"/dump")
			if err != nil {
				return err
			}
			_, err = t.out.Write(b)
			return err
		})
}

// versionCommand prints the module version and the Go version of the build.
func (t *tool) versionCommand() *ffcli.Command {
	return t.newCommand("version", "", "Print the version.", 0, nil, func(context.Context, []string) error {
		info, ok := debug.ReadBuildInfo()
		if !ok {
			return fmt.Errorf("the program holds no build information")
		}
		out := map[string]string{"version": info.Main.Version, "go": info.GoVersion, "module": info.Main.Path}
		return t.writeOutput(out, func(w io.Writer) {
			fmt.Fprintf(w, "%s %s %s\n", out["module"], out["version"], out["go"])
		})
	})
}

// quickstartCommand starts an embedded installation and runs the demonstration or serves until interrupted.
func (t *tool) quickstartCommand() *ffcli.Command {
	var serve bool
	return t.newCommand("quickstart", "", "Run a small installation in this process and show what it does.", 0,
		func(fs *flag.FlagSet) {
			fs.BoolVar(&serve, "serve", false, "skip the demonstration and serve until interrupted")
		},
		func(ctx context.Context, _ []string) error { return t.runQuickstart(ctx, serve) })
}

func (t *tool) runQuickstart(ctx context.Context, serve bool) error {
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	fmt.Fprintln(t.out, "start 3 control processes, 7 entry hosts and 1 database with 3 targets")
	c, err := quickstart.Start(ctx, quickstart.Options{})
	if err != nil {
		return err
	}
	c.Describe(t.out)
	if serve {
		fmt.Fprintln(t.out, "serving until interrupted")
		<-ctx.Done()
	} else if err := c.Demonstrate(ctx, t.out); err != nil {
		c.Kill()
		return fmt.Errorf("demonstration: %w", err)
	}
	fmt.Fprintln(t.out, "stop")
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelStop()
	if err := c.Stop(stopCtx); err != nil {
		return fmt.Errorf("stop the installation: %w", err)
	}
	return nil
}

// benchFlags are the flags of bench run.
type benchFlags struct {
	plan                                 bench.Plan
	guests, durationMilliseconds, slots  int
	serviceMicroseconds, lagMicroseconds int
	faults, resultFile                   string
}

// benchCommands returns the commands of the load generator.
func (t *tool) benchCommands() *ffcli.Command {
	var f benchFlags
	run := t.newCommand("bench run", "", "Load an embedded installation and check the guarantees.", 0, func(fs *flag.FlagSet) {
		fs.IntVar(&f.guests, "guests", 8, "guests of each team, 1 to 10000")
		fs.IntVar(&f.durationMilliseconds, "milliseconds", 10000, "length of the load in milliseconds")
		fs.Float64Var(&f.plan.Rate, "rate", 0, "operations a second of all guests; 0 is a closed loop")
		fs.Float64Var(&f.plan.ReadShare, "read-share", 0.8, "share of operations that read, 0 to 1")
		fs.Float64Var(&f.plan.KeyedShare, "keyed-share", 0.5, "share of writes with an idempotency key, 0 to 1")
		fs.Float64Var(&f.plan.HostChangeShare, "roam", 0.2, "share of operations before which a guest changes its host, 0 to 1")
		fs.Uint64Var(&f.plan.Seed, "seed", 1, "seed of the guests' choices")
		fs.IntVar(&f.slots, "slots", 5, "slots of a target")
		fs.IntVar(&f.serviceMicroseconds, "service-microseconds", 0, "time that a target works on a statement")
		fs.IntVar(&f.lagMicroseconds, "lag-microseconds", 0, "lag of replicas")
		fs.StringVar(&f.faults, "faults", "", "`name@milliseconds` separated by commas: "+strings.Join(faultNames(), ", "))
		fs.StringVar(&f.resultFile, "file", "", "file for the result")
	}, func(ctx context.Context, _ []string) error { return t.runBench(ctx, f) })
	compare := t.newCommand("bench compare", "FILE...", "Set results side by side.", -1, nil,
		func(_ context.Context, args []string) error { return t.compareResults(args) })
	return t.groupCommand("bench", "Load an installation and compare results.", run, compare)
}

// faultNames returns the names of the faults that bench run can inject.
func faultNames() []string {
	return []string{
		"stop-primary", "freeze-primary", "cut-primary", "lag-replicas", "kill-owner", "stop-host", "kill-control",
	}
}

func (t *tool) runBench(ctx context.Context, f benchFlags) error {
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	c, err := quickstart.Start(ctx, quickstart.Options{
		Slots: f.slots, ServiceTimeMicroseconds: int64(f.serviceMicroseconds), LagMicroseconds: int64(f.lagMicroseconds),
	})
	if err != nil {
		return err
	}
	defer c.Kill()
	f.plan.Milliseconds = int64(f.durationMilliseconds)
	f.plan.Logins = c.BenchLogins(f.guests)
	if f.plan.Faults, err = parseFaults(c, f.faults); err != nil {
		return err
	}
	r, err := bench.Run(ctx, f.plan, t.messages)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	r.ReplicaReads, r.PrimaryReads = c.ReadCounts()
	return t.printBenchResult(r, f.resultFile)
}

func (t *tool) printBenchResult(r bench.Result, file string) error {
	if file != "" {
		if err := r.WriteFile(file); err != nil {
			return err
		}
	}
	err := t.writeOutput(r, func(w io.Writer) { _ = bench.Compare(w, map[string]bench.Result{"result": r}) })
	if err != nil {
		return err
	}
	if r.ViolationCount > 0 || len(r.Unverified) > 0 {
		b, _ := json.Marshal(r.Violations)
		return &exitError{
			code: ExitViolation,
			err:  fmt.Errorf("%d violations, %d guests not verified: %s", r.ViolationCount, len(r.Unverified), b),
		}
	}
	return nil
}

// parseFaults parses a list of name@milliseconds, separated by commas.
func parseFaults(c *quickstart.Cluster, s string) ([]bench.Fault, error) {
	var out []bench.Fault
	if s == "" {
		return nil, nil
	}
	for text := range strings.SplitSeq(s, ",") {
		name, at, ok := strings.Cut(strings.TrimSpace(text), "@")
		ms, err := strconv.ParseInt(at, 10, 64)
		do := c.FaultFunc(name)
		if !ok || err != nil || ms < 0 || do == nil {
			return nil, usageError("--faults: %q is not name@milliseconds with a name of %s", text, strings.Join(faultNames(), ", "))
		}
		out = append(out, bench.Fault{Name: name, AtMilliseconds: ms, Do: do})
	}
	return out, nil
}

func (t *tool) compareResults(args []string) error {
	if len(args) == 0 {
		return usageError("bench compare takes at least one file")
	}
	results := map[string]bench.Result{}
	for _, path := range args {
		r, err := bench.ReadResult(path)
		if err != nil {
			return err
		}
		results[path] = r
	}
	return t.writeOutput(results, func(w io.Writer) { _ = bench.Compare(w, results) })
}
