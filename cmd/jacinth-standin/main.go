// Command jacinth-standin runs one stand-in target until it receives SIGTERM or SIGINT.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/standin"
	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"
)

// shutdownTimeout bounds the wait for open transactions during shutdown.
const shutdownTimeout = 10 * time.Second

func main() {
	if err := run(os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "jacinth-standin:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	logger := logrus.StandardLogger()
	cfg, err := parseFlags(args, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cfg.Log = event.New(cfg.Name, logger)
	t, err := standin.Start(cfg)
	if err != nil {
		return fmt.Errorf("start target %s: %w", cfg.Name, err)
	}
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := t.Shutdown(shutdownCtx); err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}

// flagError reports a flag whose value is not allowed.
type flagError struct {
	name, value, allowed string
}

func (e *flagError) Error() string {
	return fmt.Sprintf("--%s=%q is not allowed: it must be %s", e.name, e.value, e.allowed)
}

// parseFlags reads flags and JACINTH_* environment variables, and sets the logger's format.
func parseFlags(args []string, logger *logrus.Logger) (standin.Config, error) {
	var c standin.Config
	fs := flag.NewFlagSet("jacinth-standin", flag.ContinueOnError)
	fs.StringVar(&c.Name, "name", "", "name of the target (required)")
	fs.StringVar(&c.Database, "database", "", "name of the database (required)")
	fs.StringVar(&c.Domain, "failure-domain", "", "failure domain (required)")
	fs.StringVar(&c.Listen, "listen", "127.0.0.1:0", "address to listen on, ip:port")
	fs.StringVar(&c.Follow, "follow", "", "address of the primary, ip:port; implies --role=replica")
	fs.StringVar(&c.Password, "password", "", "password asked of clients; empty means trust")
	role := fs.String("role", "", "primary or replica; the default is primary, or replica with --follow")
	fs.IntVar(&c.GroupSize, "group-size", 1, "number of targets in the group")
	fs.IntVar(&c.Slots, "slots", 5, "statements that run at once")
	fs.IntVar(&c.MaxConnections, "connections", 30, "limit of client connections")
	lag := fs.Duration("lag", 0, "time that entries take to arrive from the primary")
	serviceTime := fs.Duration("service-time", 0, "time added to each statement")
	lockWait := fs.Duration("lock-wait", 500*time.Millisecond, "longest wait for the write lock before a statement fails with 40001")
	connectDelay := fs.Duration("connect-delay", 10*time.Millisecond, "time that a new connection takes")
	announce := fs.String("announce", "", "URLs of entry hosts, separated by commas")
	format := fs.String("log-format", "text", "text or json")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("JACINTH")); err != nil {
		return c, fmt.Errorf("read flags: %w", err)
	}
	c.Role = jacinthtiller.Role(*role)
	c.LagMicroseconds, c.ServiceTimeMicroseconds, c.ConnectDelayMicroseconds = lag.Microseconds(), serviceTime.Microseconds(), connectDelay.Microseconds()
	c.LockTimeoutMicroseconds = lockWait.Microseconds()
	if *announce != "" {
		c.Announce = strings.Split(*announce, ",")
	}
	switch *format {
	case "json":
		logger.SetFormatter(&logrus.JSONFormatter{})
	case "text":
	default:
		return c, &flagError{name: "log-format", value: *format, allowed: "text or json"}
	}
	if fs.NArg() > 0 {
		return c, fmt.Errorf("unexpected argument %q: jacinth-standin takes only flags", fs.Arg(0))
	}
	return c, validate(fs, c)
}

// validate returns an error for the first flag whose value is not allowed.
func validate(fs *flag.FlagSet, c standin.Config) error {
	invalid := func(name, allowed string) error {
		return &flagError{name: name, value: fs.Lookup(name).Value.String(), allowed: allowed}
	}
	for _, name := range []string{"name", "database", "failure-domain"} {
		if fs.Lookup(name).Value.String() == "" {
			return invalid(name, "set")
		}
	}
	for _, name := range []string{"listen", "follow"} {
		v := fs.Lookup(name).Value.String()
		if _, _, err := net.SplitHostPort(v); err != nil && (v != "" || name == "listen") {
			return invalid(name, "an address ip:port")
		}
	}
	for name, n := range map[string]int{"group-size": c.GroupSize, "slots": c.Slots, "connections": c.MaxConnections} {
		if n < 1 {
			return invalid(name, "at least 1")
		}
	}
	if c.LockTimeoutMicroseconds < 1 {
		return invalid("lock-wait", "a duration of more than 0s")
	}
	for name, n := range map[string]int64{
		"lag": c.LagMicroseconds, "service-time": c.ServiceTimeMicroseconds, "connect-delay": c.ConnectDelayMicroseconds,
	} {
		if n < 0 {
			return invalid(name, "a duration of at least 0s")
		}
	}
	for _, u := range c.Announce {
		if p, err := url.Parse(u); err != nil || p.Scheme != "http" || p.Host == "" {
			return invalid("announce", "a list of URLs http://ip:port")
		}
	}
	return validateRole(invalid, c)
}

func validateRole(invalid func(name, allowed string) error, c standin.Config) error {
	switch {
	case c.Role != "" && c.Role != jacinthtiller.RolePrimary && c.Role != jacinthtiller.RoleReplica:
		return invalid("role", "primary or replica")
	case c.Role == jacinthtiller.RolePrimary && c.Follow != "":
		return invalid("follow", "empty for a primary")
	}
	return nil
}
