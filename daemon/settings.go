// Package daemon implements the process jacinthd: its settings, the roles that it
// runs and the HTTP service for peers, operators and monitoring.
package daemon

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"

	"github.com/jacinthtiller/jacinthtiller/account"
	"github.com/jacinthtiller/jacinthtiller/control"
)

// EnvPrefix is the prefix of environment variables that set flags.
const EnvPrefix = "JACINTH"

// InterfacePostgres is the interface for guests and targets that speak the PostgreSQL protocol.
const InterfacePostgres = "postgres"

// The roles of a process.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

// Settings are the settings of a process. Parse returns only settings whose values are all valid.
type Settings struct {
	// Roles has at least one of RoleEntry and RoleControl, each at most once.
	Roles  []string
	Name   string
	Domain string
	Region string
	// RPCListen, GuestListen and LinkListen are ip:port; port 0 selects a free port.
	RPCListen   string
	GuestListen string
	LinkListen  string
	// Control maps the names of the control processes to their URLs.
	Control map[string]string
	// Peers are the URLs of entry hosts of the same failure domain.
	Peers []string
	// DataDir is the data folder of the control role.
	DataDir string
	// Bootstrap allows an empty data folder to take part in founding a new control group.
	Bootstrap     bool
	OperatorsFile string
	// Slots bounds the statements that a target runs at once, 1 to 1000.
	Slots int
	// Connections bounds the connections to one target, 4 to 1000.
	Connections int
	// QueueCapacity bounds the statements that wait for one target, 1 to 1000000.
	QueueCapacity      int
	TargetUser         string
	TargetPasswordFile string
	LogLevel           logrus.Level
	// LogFormat is text or json.
	LogFormat string
	TraceFile string
	// LeaveMilliseconds is how long after its report a leaving target of a direct group may get work, 0 to 600000.
	LeaveMilliseconds int
	// DrainMilliseconds bounds a graceful stop, 0 to 600000.
	DrainMilliseconds int
	// TLS files; a certificate and its key are given together.
	GuestCertFile, GuestKeyFile       string
	PeerCertFile, PeerKeyFile, PeerCA string
	TargetCA                          string
	// SettingsFile is a file with further settings, one per line; empty when there is none.
	SettingsFile string
	// Interface is InterfacePostgres, or the name of the adapter through which guests and targets are served.
	Interface string
	// Seeds are the addresses, ip:port, of control processes that may know the group. With seeds, the group discovers its
	// members, and Control is derived from the seeds.
	Seeds []string
	// Tolerate is how many control processes of a group found by seeds may be lost at the same time, 1 to 4.
	Tolerate int
	// ReadyListen is the ip:port for the load balancer's readiness checks; empty when only the RPC address answers them.
	ReadyListen string
	// MetricsListen is a further ip:port for metrics and dump besides the RPC address; empty for none.
	MetricsListen string
	// PlatformAddress is the ip:port of the platform's service that promotes targets.
	PlatformAddress string
	// Regions maps failure domains to their regions.
	Regions map[string]string
	// Allowance is by how much the operations of an account may exceed its limit.
	Allowance account.Allowance
	// LearnCapacity lets gateways learn how many statements each target of a direct group takes well.
	LearnCapacity        bool
	Check, PrintSettings bool
	flagValues           [][2]string
}

// SettingsError lists all invalid settings.
type SettingsError struct {
	// Faults has at least one entry, each naming the flag, its value and what is allowed.
	Faults []string
}

// Error returns all faults, one per line.
func (e *SettingsError) Error() string { return "settings:\n  " + strings.Join(e.Faults, "\n  ") }

// stringList is a flag that may be repeated or hold several values, separated by commas.
type stringList []string

// String returns the values separated by commas.
func (l *stringList) String() string { return strings.Join(*l, ",") }

// Set adds the values in s.
func (l *stringList) Set(s string) error {
	for v := range strings.SplitSeq(s, ",") {
		if v = strings.TrimSpace(v); v != "" {
			*l = append(*l, v)
		}
	}
	return nil
}

// HasRole reports whether the process runs the role.
func (s *Settings) HasRole(role string) bool { return slices.Contains(s.Roles, role) }

// rawValues holds the flags whose values need further parsing.
type rawValues struct {
	roles, control, peers, seeds, regions stringList
	level                                 string
}

// newFlagSet returns the flags of a process, bound to s and v.
func newFlagSet(s *Settings, v *rawValues) *flag.FlagSet {
	fs := flag.NewFlagSet("jacinthd", flag.ContinueOnError)
	fs.Var(&v.roles, "role", "`role` to run, entry or control; repeatable or separated by commas")
	fs.StringVar(&s.Name, "name", "", "name of this host, unique in the installation")
	fs.StringVar(&s.Domain, "failure-domain", "", "failure domain of this host")
	fs.StringVar(&s.Region, "region", "", "region of this host")
	fs.StringVar(&s.RPCListen, "rpc-listen", "127.0.0.1:0", "`ip:port` for peers, targets' announcements, operators and monitoring")
	fs.StringVar(&s.GuestListen, "guest-listen", "127.0.0.1:0", "`ip:port` for guests (entry role)")
	fs.StringVar(&s.LinkListen, "link-listen", "127.0.0.1:0", "`ip:port` for statements from other hosts (entry role)")
	fs.Var(&v.control, "control", "control processes as `name=url`; repeatable or separated by commas")
	fs.Var(&v.peers, "peers", "`urls` of entry hosts of the same failure domain")
	fs.StringVar(&s.DataDir, "data-dir", "", "data folder of the control role")
	fs.BoolVar(&s.Bootstrap, "bootstrap", false, "let an empty data folder take part in founding a new control group; leave it out later")
	fs.StringVar(&s.OperatorsFile, "operators-file", "", "YAML file with the operators (control role)")
	fs.IntVar(&s.Slots, "slots", 5, "statements that one target runs at once, 1 to 1000")
	fs.IntVar(&s.Connections, "connections", 30, "connections that one target takes, 4 to 1000")
	fs.IntVar(&s.QueueCapacity, "queue-capacity", 10000, "statements that may wait for one target, 1 to 1000000")
	fs.StringVar(&s.TargetUser, "target-user", "jacinthtiller", "user for connections to targets")
	fs.StringVar(&s.TargetPasswordFile, "target-password-file", "", "file with the password for connections to targets")
	fs.StringVar(&v.level, "log-level", "info", "trace, debug, info, warn or error")
	fs.StringVar(&s.LogFormat, "log-format", "text", "text or json")
	fs.StringVar(&s.TraceFile, "trace-file", "", "file to which every event is written as JSON lines")
	fs.IntVar(&s.DrainMilliseconds, "drain-milliseconds", 30000, "bound of a graceful stop in milliseconds, 0 to 600000")
	fs.IntVar(&s.LeaveMilliseconds, "leave-milliseconds", control.DefaultLeaveMilliseconds,
		"time after its report in which a leaving target of a direct group may get work, 0 to 600000 (control role)")
	fs.StringVar(&s.GuestCertFile, "guest-cert-file", "", "certificate for guests")
	fs.StringVar(&s.GuestKeyFile, "guest-key-file", "", "key of the certificate for guests")
	fs.StringVar(&s.PeerCertFile, "peer-cert-file", "", "certificate between processes")
	fs.StringVar(&s.PeerKeyFile, "peer-key-file", "", "key of the certificate between processes")
	fs.StringVar(&s.PeerCA, "peer-ca-file", "", "authority that signs certificates between processes")
	fs.StringVar(&s.TargetCA, "target-ca-file", "", "authority that signs targets' certificates; connections to targets then use TLS")
	fs.StringVar(&s.SettingsFile, "settings-file", "", "file with further settings, `name value` a line; read again on SIGHUP and when it changes")
	fs.StringVar(&s.Interface, "interface", InterfacePostgres, "`protocol` of guests and targets: postgres, or platform")
	fs.Var(&v.seeds, "seeds", "`ip:port` of control processes that may know the group, instead of --control; may change while the process runs")
	fs.IntVar(&s.Tolerate, "tolerate", 1, "control processes of a group found by --seeds that may be lost at a time, 1 to 4")
	fs.StringVar(&s.ReadyListen, "ready-listen", "", "`ip:port` that tells the balancer whether to send guests here (interface platform)")
	fs.StringVar(&s.MetricsListen, "metrics-listen", "", "`ip:port` of metrics and dump besides the rpc address")
	fs.StringVar(&s.PlatformAddress, "platform-address", "", "`ip:port` of the platform's service that promotes targets")
	fs.Var(&v.regions, "regions", "regions of the failure domains as `domain=region`; repeatable or separated by commas")
	s.Allowance = account.DefaultAllowance()
	fs.Float64Var(&s.Allowance.WindowSeconds, "limit-window-seconds", s.Allowance.WindowSeconds, "window in seconds over which the operations of an account are compared with its limit, 0.5 to 3600 (interface platform)")
	fs.Float64Var(&s.Allowance.Overage, "limit-overage", s.Allowance.Overage, "fraction by which the operations of a window may exceed the limit, 0.001 to 10; with the window it decides how long tokens live")
	fs.Float64Var(&s.Allowance.Slack, "limit-slack", s.Allowance.Slack, "operations by which those of a window may exceed the limit besides, 2 to 1000000")
	fs.BoolVar(&s.LearnCapacity, "learn-capacity", false,
		"let gateways learn how many statements each target takes well, instead of twice its slots (interface platform)")
	fs.BoolVar(&s.Check, "check", false, "check the settings and exit")
	fs.BoolVar(&s.PrintSettings, "print-settings", false, "print the settings in force and exit")
	return fs
}

// Reference returns the page docs/settings.md.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings of jacinthd\n\nEach flag can be given as an environment variable: `--guest-listen` as ")
	b.WriteString("`" + EnvPrefix + "_GUEST_LISTEN` and so on. Flags win.\nThis page is written by `go test ./daemon -update`.\n\n")
	b.WriteString("| flag | default | meaning |\n| --- | --- | --- |\n")
	newFlagSet(&Settings{}, &rawValues{}).VisitAll(func(f *flag.Flag) {
		_, usage := flag.UnquoteUsage(f)
		fmt.Fprintf(&b, "| `--%s` | %s | %s |\n", f.Name, f.DefValue, usage)
	})
	return b.String()
}

// Parse reads flags, JACINTH_ environment variables and the settings file. The error
// wraps flag.ErrHelp when help was asked for, or is a *SettingsError with every fault.
func Parse(args []string) (*Settings, error) {
	s, v := &Settings{}, &rawValues{}
	fs := newFlagSet(s, v)
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("settings-file"), ff.WithConfigFileParser(ff.PlainParser))
	if err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil, fmt.Errorf("read settings: %w", err)
		}
		return nil, &SettingsError{Faults: []string{err.Error()}}
	}
	s.Roles, s.Peers = v.roles, v.peers
	faults := s.check(v, v.level)
	if fs.NArg() > 0 {
		faults = append(faults, fmt.Sprintf("%q is not a flag; settings are flags or %s_ environment variables", fs.Arg(0), EnvPrefix))
	}
	if len(faults) > 0 {
		return nil, &SettingsError{Faults: faults}
	}
	fs.VisitAll(func(f *flag.Flag) { s.flagValues = append(s.flagValues, [2]string{f.Name, f.Value.String()}) })
	return s, nil
}

// Printed returns the settings in force, one per line, sorted by name. No value
// needs masking, because settings only name the files that hold secrets.
func (s *Settings) Printed() string {
	var b strings.Builder
	for _, p := range s.flagValues {
		fmt.Fprintf(&b, "%s=%s\n", p[0], p[1])
	}
	return b.String()
}

// check returns every fault and sets the fields that need further parsing.
func (s *Settings) check(v *rawValues, level string) []string {
	var faults []string
	addFault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	s.checkRoles(addFault)
	for name, v := range map[string]string{"name": s.Name, "failure-domain": s.Domain} {
		if v == "" {
			addFault("--%s is empty; give the %s of this host", name, name)
		}
	}
	for name, v := range map[string]string{
		"rpc-listen": s.RPCListen, "guest-listen": s.GuestListen, "link-listen": s.LinkListen,
	} {
		if host, _, err := net.SplitHostPort(v); err != nil || net.ParseIP(host) == nil {
			addFault("--%s=%q is not of the form ip:port", name, v)
		}
	}
	if len(v.seeds) > 0 {
		s.checkSeeds(v.seeds, addFault)
	} else {
		s.checkControl(v.control, addFault)
	}
	s.checkInterface(v.regions, addFault)
	for _, p := range s.Peers {
		if !isURL(p) {
			addFault("--peers: %q is not a URL such as http://ip:port", p)
		}
	}
	for name, v := range map[string][3]int{
		"slots": {s.Slots, 1, 1000}, "connections": {s.Connections, 4, 1000},
		"queue-capacity": {s.QueueCapacity, 1, 1000000}, "drain-milliseconds": {s.DrainMilliseconds, 0, 600000},
		"leave-milliseconds": {s.LeaveMilliseconds, 0, 600000},
	} {
		if v[0] < v[1] || v[0] > v[2] {
			addFault("--%s=%d is not between %d and %d", name, v[0], v[1], v[2])
		}
	}
	if err := s.Allowance.Validate(); err != nil {
		for line := range strings.SplitSeq(err.Error(), "\n") {
			addFault("--limit-%s", line)
		}
	}
	l, err := logrus.ParseLevel(level)
	if err != nil || l < logrus.ErrorLevel {
		addFault("--log-level=%q is not trace, debug, info, warn or error", level)
	}
	s.LogLevel = l
	if s.LogFormat != "text" && s.LogFormat != "json" {
		addFault("--log-format=%q is not text or json", s.LogFormat)
	}
	s.checkFiles(addFault)
	slices.Sort(faults)
	return faults
}

func (s *Settings) checkRoles(addFault func(string, ...any)) {
	if len(s.Roles) == 0 {
		addFault("--role is empty; allowed are %s and %s", RoleEntry, RoleControl)
	}
	for i, r := range s.Roles {
		if r != RoleEntry && r != RoleControl {
			addFault("--role=%q is not %s or %s", r, RoleEntry, RoleControl)
		}
		if slices.Contains(s.Roles[:i], r) {
			addFault("--role=%q is given twice", r)
		}
	}
	if s.HasRole(RoleControl) && s.DataDir == "" {
		addFault("--data-dir is empty; the control role needs a folder on a disk")
	}
}

func (s *Settings) checkControl(control stringList, addFault func(string, ...any)) {
	s.Control = map[string]string{}
	for _, c := range control {
		name, u, ok := strings.Cut(c, "=")
		if !ok || name == "" || !isURL(u) {
			addFault("--control: %q is not of the form name=http://ip:port", c)
			continue
		}
		if _, twice := s.Control[name]; twice {
			addFault("--control: %q is named twice", name)
		}
		s.Control[name] = u
	}
	if len(s.Control) == 0 {
		addFault("--control is empty; name the control processes as name=http://ip:port")
		return
	}
	if _, ok := s.Control[s.Name]; s.HasRole(RoleControl) && !ok {
		addFault("--control does not hold this process, %q, which has the control role", s.Name)
	}
}

// checkSeeds derives the control processes from the seeds; the address of a process is also its name.
func (s *Settings) checkSeeds(seeds stringList, addFault func(string, ...any)) {
	s.Control = map[string]string{}
	for _, a := range seeds {
		if host, _, err := net.SplitHostPort(a); err != nil || net.ParseIP(host) == nil {
			addFault("--seeds: %q is not of the form ip:port", a)
			continue
		}
		s.Seeds = append(s.Seeds, a)
		s.Control[a] = "http://" + a
	}
	if s.Tolerate < 1 || s.Tolerate > 4 {
		addFault("--tolerate=%d is not between 1 and 4", s.Tolerate)
	}
}

func (s *Settings) checkInterface(regions stringList, addFault func(string, ...any)) {
	s.Regions = map[string]string{}
	for _, r := range regions {
		domain, region, ok := strings.Cut(r, "=")
		if !ok || domain == "" || region == "" {
			addFault("--regions: %q is not of the form domain=region", r)
			continue
		}
		s.Regions[domain] = region
	}
	switch {
	case s.Interface == "":
		addFault("--interface is empty; allowed are %s and the names of adapters", InterfacePostgres)
	case s.Interface != InterfacePostgres && len(s.Seeds) == 0:
		addFault("--interface=%s needs --seeds", s.Interface)
	case s.Interface != InterfacePostgres && s.HasRole(RoleControl) && s.PlatformAddress == "":
		addFault("--interface=%s with the control role needs --platform-address", s.Interface)
	}
	for name, a := range map[string]string{
		"ready-listen": s.ReadyListen, "metrics-listen": s.MetricsListen, "platform-address": s.PlatformAddress,
	} {
		if a == "" {
			continue
		}
		if host, _, err := net.SplitHostPort(a); err != nil || net.ParseIP(host) == nil {
			addFault("--%s=%q is not of the form ip:port", name, a)
		}
	}
}

func (s *Settings) checkFiles(addFault func(string, ...any)) {
	files := map[string]string{
		"operators-file": s.OperatorsFile, "target-password-file": s.TargetPasswordFile,
		"guest-cert-file": s.GuestCertFile, "guest-key-file": s.GuestKeyFile,
		"peer-cert-file": s.PeerCertFile, "peer-key-file": s.PeerKeyFile, "peer-ca-file": s.PeerCA,
		"target-ca-file": s.TargetCA,
	}
	for name, path := range files {
		if path == "" {
			continue
		}
		if _, err := os.Stat(path); err != nil {
			addFault("--%s=%q cannot be read: %v", name, path, err)
		}
	}
	if (s.GuestCertFile == "") != (s.GuestKeyFile == "") {
		addFault("--guest-cert-file and --guest-key-file come together")
	}
	if n := countNonEmpty(s.PeerCertFile, s.PeerKeyFile, s.PeerCA); n != 0 && n != 3 {
		addFault("--peer-cert-file, --peer-key-file and --peer-ca-file come together")
	}
}

// countNonEmpty returns how many of the values are not empty.
func countNonEmpty(values ...string) int {
	n := 0
	for _, v := range values {
		if v != "" {
			n++
		}
	}
	return n
}

func isURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.Path == ""
}
