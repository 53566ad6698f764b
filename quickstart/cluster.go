// Package quickstart runs a small installation with stand-in targets in one
// process. The README's first command, the load tool and tests use it.
package quickstart

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/control"
	"github.com/jacinthtiller/jacinthtiller/daemon"
	"github.com/jacinthtiller/jacinthtiller/document"
	"github.com/jacinthtiller/jacinthtiller/standin"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

const (
	// startTimeout bounds the start of the whole installation.
	startTimeout = 30 * time.Second
	// pollInterval is the interval at which a state is polled.
	pollInterval = 10 * time.Millisecond
)

// FailureDomain is a failure domain with its region and number of entry hosts.
type FailureDomain struct {
	Name       string
	Region     string
	EntryHosts int
}

// FailureDomains are the consortium's failure domains with 7 entry hosts in all.
var FailureDomains = []FailureDomain{
	{Name: "cluj-a", Region: "ardeal", EntryHosts: 3},
	{Name: "iasi-a", Region: "moldova", EntryHosts: 2},
	{Name: "bucuresti-a", Region: "muntenia", EntryHosts: 2},
}

// Login is a guest's role with its password.
type Login struct {
	Team, Role, Password string
	ReadOnly             bool
	// Weight is the team's weight; the logins of one team have the same weight.
	Weight int
}

// DefaultLogins are the teams of the quick start.
var DefaultLogins = []Login{
	{Team: "intake", Role: "clerk", Password: "seeds", Weight: 1},
	{Team: "germination", Role: "tray", Password: "drawers", Weight: 1},
	{Team: "catalogue", Role: "breeder", Password: "lots", Weight: 1, ReadOnly: true},
}

// Options describe an installation. The zero value describes the quick start's.
type Options struct {
	// Databases are names of databases, each with three targets, one in each failure domain.
	Databases []string
	// Slots and Connections are a target's limits.
	Slots, Connections int
	// ServiceTimeMicroseconds is how long a target works on a statement.
	ServiceTimeMicroseconds int64
	// LagMicroseconds is how far replicas are behind.
	LagMicroseconds int64
	Logins          []Login
	// LogLevel is the level of the hosts' logs on standard error.
	LogLevel logrus.Level
	// TraceDir, if not empty, gets one trace file for each process.
	TraceDir string
	// ConnectDelayMicroseconds is how long a new connection to a target takes.
	ConnectDelayMicroseconds int64
	// Network, if not nil, carries the connections between processes.
	Network *Network
}

func (o Options) withDefaults() Options {
	if len(o.Databases) == 0 {
		o.Databases = []string{"registru-1"}
	}
	if o.Slots == 0 {
		o.Slots = 5
	}
	if o.Connections == 0 {
		o.Connections = 30
	}
	if o.Logins == nil {
		o.Logins = DefaultLogins
	}
	if o.LogLevel == 0 {
		o.LogLevel = logrus.ErrorLevel
	}
	return o
}

// Cluster is a running installation.
type Cluster struct {
	options Options
	dataDir string
	client  *control.Client
	// initialReads are the counts of reads on replicas and primaries by earlier installations of this process.
	initialReads [2]uint64

	// Control and Hosts are in the order of their start; a stopped process keeps its index.
	Control []*daemon.Process
	Hosts   []*daemon.Process
	// Targets maps database and target names to the stand-ins.
	Targets map[string]map[string]*standin.Target
}

// Start runs an installation and waits until every host serves every database.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "jacinthtiller-")
	if err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	c := &Cluster{options: o.withDefaults(), dataDir: dir, Targets: map[string]map[string]*standin.Target{}}
	c.initialReads[0], c.initialReads[1] = daemon.ReadCounts()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := c.start(ctx); err != nil {
		c.Kill()
		return nil, fmt.Errorf("start the installation: %w", err)
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	members, listeners, err := openControlListeners(3)
	if err != nil {
		return err
	}
	names := slices.Sorted(maps.Keys(members))
	// All listeners are registered with the network before a control process dials another.
	for i, name := range names {
		c.registerListeners(FailureDomains[i%len(FailureDomains)].Name, nil, listeners[name])
	}
	for i, name := range names {
		if err := c.startControl(name, members, listeners[name], FailureDomains[i%len(FailureDomains)]); err != nil {
			return err
		}
	}
	c.client = control.NewClient(slices.Collect(maps.Values(members)), wire.NewHTTPClient())
	if err := c.applyDocument(ctx); err != nil {
		return err
	}
	for _, domain := range FailureDomains {
		for i := range domain.EntryHosts {
			if err := c.startHost(fmt.Sprintf("%s-entry-%d", domain.Name, i+1), domain, members); err != nil {
				return err
			}
		}
	}
	for _, d := range c.options.Databases {
		if err := c.startDatabase(d); err != nil {
			return err
		}
	}
	return c.WaitReady(ctx)
}

// openControlListeners opens a listener for each of n control processes, whose URLs must be known before they start.
func openControlListeners(n int) (map[string]string, map[string]net.Listener, error) {
	members, listeners := map[string]string{}, map[string]net.Listener{}
	for i := range n {
		name := fmt.Sprintf("control-%d", i+1)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, fmt.Errorf("listen for %s: %w", name, err)
		}
		members[name], listeners[name] = "http://"+l.Addr().String(), l
	}
	return members, listeners, nil
}

// settings parses the flags that all processes share, and args.
func (c *Cluster) settings(name string, domain FailureDomain, members map[string]string, args ...string) (*daemon.Settings, error) {
	all := []string{
		"--name", name, "--failure-domain", domain.Name, "--region", domain.Region,
		"--slots", strconv.Itoa(c.options.Slots), "--connections", strconv.Itoa(c.options.Connections),
		"--log-level", c.options.LogLevel.String(),
	}
	for n, u := range members {
		all = append(all, "--control", n+"="+u)
	}
	if c.options.TraceDir != "" {
		all = append(all, "--trace-file", filepath.Join(c.options.TraceDir, name+".trace"))
	}
	s, err := daemon.Parse(append(all, args...))
	if err != nil {
		return nil, fmt.Errorf("settings of %s: %w", name, err)
	}
	return s, nil
}

func (c *Cluster) startControl(name string, members map[string]string, l net.Listener, domain FailureDomain) error {
	s, err := c.settings(name, domain, members, "--role", daemon.RoleControl, "--bootstrap",
		"--data-dir", filepath.Join(c.dataDir, name))
	if err != nil {
		return err
	}
	process, err := daemon.Start(s, c.registerListeners(domain.Name, daemon.WithRPCListener(l), l)...)
	if err != nil {
		return fmt.Errorf("start control: %w", err)
	}
	c.Control = append(c.Control, process)
	return nil
}

func (c *Cluster) startHost(name string, domain FailureDomain, members map[string]string) error {
	args := []string{"--role", daemon.RoleEntry}
	if urls := c.rpcURLs(domain.Name); len(urls) > 0 {
		args = append(args, "--peers", strings.Join(urls, ","))
	}
	s, err := c.settings(name, domain, members, args...)
	if err != nil {
		return err
	}
	opts, err := c.openHostListeners(domain.Name)
	if err != nil {
		return err
	}
	process, err := daemon.Start(s, opts...)
	if err != nil {
		return fmt.Errorf("start entry host: %w", err)
	}
	c.Hosts = append(c.Hosts, process)
	return nil
}

// openHostListeners opens the listeners of an entry host before its start, so that the network knows their failure
// domain before another process connects.
func (c *Cluster) openHostListeners(domain string) ([]daemon.Option, error) {
	rpc, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	link, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for statements: %w", errors.Join(err, rpc.Close()))
	}
	return append(c.registerListeners(domain, daemon.WithRPCListener(rpc), rpc, link), daemon.WithLinkListener(link)), nil
}

// registerListeners registers the listeners' failure domain with the network and returns the options of their process.
func (c *Cluster) registerListeners(domain string, o daemon.Option, listeners ...net.Listener) []daemon.Option {
	if c.options.Network == nil {
		return []daemon.Option{o}
	}
	for _, l := range listeners {
		c.options.Network.SetDomain(l.Addr().String(), domain)
	}
	return []daemon.Option{o, daemon.WithDialer(c.options.Network.Dialer(domain))}
}

// Isolate partitions a failure domain from the others: its processes and the replication of its targets.
func (c *Cluster) Isolate(domain string) {
	c.options.Network.Isolate(domain)
	for name, targets := range c.Targets {
		isolated := targets[name+"-"+domain]
		for other, t := range targets {
			if t != isolated {
				isolated.Partition(t.Addr())
				c.Targets[name][other].Partition(isolated.Addr())
			}
		}
	}
}

// Reconnect ends the isolation of a failure domain.
func (c *Cluster) Reconnect(domain string) {
	for _, targets := range c.Targets {
		for _, t := range targets {
			t.Heal()
		}
	}
	c.options.Network.Heal(domain)
}

// rpcURLs returns the RPC URLs of the entry hosts of a failure domain.
func (c *Cluster) rpcURLs(domain string) []string {
	var out []string
	for _, h := range c.Hosts {
		if h.Domain() == domain {
			out = append(out, h.RPCURL())
		}
	}
	return out
}

// startDatabase starts a primary in the first failure domain and replicas in the others.
func (c *Cluster) startDatabase(name string) error {
	c.Targets[name] = map[string]*standin.Target{}
	primaryAddress := ""
	for _, domain := range FailureDomains {
		t, err := standin.Start(standin.Config{
			Name: name + "-" + domain.Name, Database: name, Domain: domain.Name, GroupSize: len(FailureDomains),
			Follow: primaryAddress, Announce: c.rpcURLs(domain.Name), MaxConnections: c.options.Connections, Slots: c.options.Slots,
			LagMicroseconds: c.options.LagMicroseconds, ServiceTimeMicroseconds: c.options.ServiceTimeMicroseconds,
			ConnectDelayMicroseconds: c.options.ConnectDelayMicroseconds,
		})
		if err != nil {
			return fmt.Errorf("start target of %s: %w", name, err)
		}
		c.Targets[name][t.Name()] = t
		if primaryAddress == "" {
			primaryAddress = t.Addr()
		}
	}
	return nil
}

// sections returns the text of each team's section.
func (c *Cluster) sections() (map[string]string, error) {
	out := map[string]string{}
	for _, l := range c.options.Logins {
		verifier, err := document.NewVerifier(l.Password)
		if err != nil {
			return nil, fmt.Errorf("make the verifier of %s: %w", l.Role, err)
		}
		access := document.AccessReadWrite
		if l.ReadOnly {
			access = document.AccessReadOnly
		}
		if out[l.Team] == "" {
			out[l.Team] = fmt.Sprintf("weight: %d\ndatabases: [%s]\nprimary-missing: serve-reads\nroles:\n",
				max(1, l.Weight), strings.Join(c.options.Databases, ", "))
		}
		out[l.Team] += fmt.Sprintf("  - {name: %s, access: %s, verifier: \"%s\"}\n", l.Role, access, verifier)
	}
	return out, nil
}

func (c *Cluster) applyDocument(ctx context.Context) error {
	sections, err := c.sections()
	if err != nil {
		return err
	}
	for _, team := range slices.Sorted(maps.Keys(sections)) {
		if err := c.ApplySection(ctx, team, sections[team]); err != nil {
			return err
		}
	}
	return nil
}

// Client returns a client of the control group.
func (c *Cluster) Client() *control.Client { return c.client }

// DataDir returns the folder that holds the control processes' data.
func (c *Cluster) DataDir() string { return c.dataDir }

// URL returns the connection string for a login at an entry host.
func (c *Cluster) URL(host *daemon.Process, l Login, database string) string {
	u := url.URL{
		Scheme: "postgres", User: url.UserPassword(l.Role, l.Password), Host: host.GuestAddr(), Path: "/" + database,
		RawQuery: "sslmode=disable",
	}
	return u.String()
}

// Logins returns the logins of the installation.
func (c *Cluster) Logins() []Login { return c.options.Logins }

// Databases returns the names of the databases.
func (c *Cluster) Databases() []string { return c.options.Databases }

// Primary returns the name of a database's primary in the view of the first ready host; empty when there is none.
func (c *Cluster) Primary(database string) string {
	for _, h := range c.Hosts {
		if h.Ready() {
			return h.View().Databases[database].Primary
		}
	}
	return ""
}

// WaitReady waits until every running host has all sections of the document and knows, for every database, the primary
// and all targets with their owners.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for {
		reason := c.unreadyReason()
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait until ready: %s: %w", reason, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// unreadyReason returns the first reason why a running host is not ready; empty when all are ready.
func (c *Cluster) unreadyReason() string {
	for _, h := range c.Hosts {
		if h.StopRequested() {
			continue
		}
		if !h.Ready() {
			return h.Name() + " is not ready"
		}
		v := h.View()
		for _, l := range c.options.Logins {
			if _, ok := v.Sections[l.Team]; !ok {
				return fmt.Sprintf("%s lacks the section of %s", h.Name(), l.Team)
			}
		}
		for _, name := range c.options.Databases {
			if reason := databaseUnreadyReason(v, name, len(c.Targets[name])); reason != "" {
				return h.Name() + ": " + reason
			}
		}
	}
	return ""
}

func databaseUnreadyReason(v jacinthtiller.View, name string, targets int) string {
	d := v.Databases[name]
	if d.Primary == "" {
		return name + " has no primary"
	}
	if len(d.Targets) < targets {
		return fmt.Sprintf("%s has %d of %d targets", name, len(d.Targets), targets)
	}
	for _, t := range d.Targets {
		if o, ok := v.Owner(name, t.Name); !t.Lost && (!ok || o.LeaseEnded) {
			return t.Name + " has no owner"
		}
	}
	return ""
}

// Stop ends the installation gracefully.
func (c *Cluster) Stop(ctx context.Context) error {
	var errs []error
	for _, p := range append(slices.Clone(c.Hosts), c.Control...) {
		if err := p.Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("stop %s: %w", p.Name(), err))
		}
	}
	c.Kill()
	return errors.Join(errs...)
}

// Kill ends all processes and targets that still run and removes the data.
func (c *Cluster) Kill() {
	for _, p := range append(slices.Clone(c.Hosts), c.Control...) {
		p.Kill()
	}
	for _, targets := range c.Targets {
		for _, t := range targets {
			t.Kill()
		}
	}
	_ = os.RemoveAll(c.dataDir)
}

// ApplySection puts a team's section in force through the control group.
func (c *Cluster) ApplySection(ctx context.Context, team, text string) error {
	return ApplySection(ctx, c.client, team, text)
}

// ApplySection replaces a team's section regardless of its revision.
func ApplySection(ctx context.Context, client *control.Client, team, text string) error {
	for {
		current, err := client.SectionGet(ctx, control.SectionGetRequest{Team: team})
		if err != nil {
			return fmt.Errorf("read the section of %s: %w", team, err)
		}
		requestID := fmt.Sprintf("%s-%d", team, time.Now().UnixNano())
		r, err := client.SectionApply(ctx, control.SectionApplyRequest{
			Operator: control.Operator{Name: "quickstart"}, Team: team, Text: text,
			Replaces: current.Section.Revision, Request: requestID,
		})
		if err != nil {
			return fmt.Errorf("apply the section of %s: %w", team, err)
		}
		switch r.Outcome {
		case control.SectionAccepted:
			return nil
		case control.SectionConflict:
			continue
		}
		return fmt.Errorf("section of %s: %s: %v", team, r.Outcome, r.Faults)
	}
}
