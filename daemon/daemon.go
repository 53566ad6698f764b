package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/account"
	"github.com/jacinthtiller/jacinthtiller/control"
	"github.com/jacinthtiller/jacinthtiller/credential"
	"github.com/jacinthtiller/jacinthtiller/entry"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/link"
	"github.com/jacinthtiller/jacinthtiller/owner"
	"github.com/jacinthtiller/jacinthtiller/pool"
	"github.com/jacinthtiller/jacinthtiller/relay"
	"github.com/jacinthtiller/jacinthtiller/replica"
	"github.com/jacinthtiller/jacinthtiller/session"
	"github.com/jacinthtiller/jacinthtiller/statement"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

// headerTimeout bounds reading the header of an HTTP request, so that idle
// connections of unknown clients do not accumulate.
const headerTimeout = 5 * time.Second

// Process runs the roles of one jacinthd.
type Process struct {
	settings  *Settings
	events    *event.Log
	traceFile io.Closer
	// logSink is nil if the logger was passed with WithLogger.
	logSink    *event.Sink
	goroutines conc.WaitGroup

	rpcListener net.Listener
	httpServer  *http.Server

	// dialer is nil for the default dialer.
	dialer wire.Dialer
	// guestTLS, peerTLS and targetTLS are nil if the settings name no files for them.
	guestTLS, peerTLS, targetTLS *credential.Store

	// adapter is nil for the PostgreSQL interface.
	adapter jacinthtiller.Adapter
	// extraServers serve readiness and metrics on addresses of their own.
	extraServers []*http.Server
	// controlClient, pool, freshnessClient, limitClient, limiter, relayServer and statementServer are nil unless an adapter
	// serves guests.
	controlClient   *control.Client
	pool            *pool.Pool
	freshnessClient *relay.FreshnessClient
	limitClient     *relay.LimitClient
	limiter         *account.Limiter
	relayServer     *relay.Server
	statementServer *statement.Server

	// control is nil without the control role.
	control *control.Server

	// The fields below are nil without the entry role.
	guestListener net.Listener
	linkListener  net.Listener
	host          *entry.Host
	owner         *owner.Owner
	sessionServer *session.Server
	linkServer    *link.Server
	linkOpener    *link.Opener
	marks         *replica.MarkBatcher

	mu sync.Mutex // guards the fields below
	// stopping is true from the first Stop or Kill on; the process is not ready then.
	stopping bool
	// closed is true once the resources of the process have been closed or are being closed.
	closed bool
}

// Option configures Start.
type Option func(*options)

type options struct {
	logger                    *logrus.Logger
	rpcListener, linkListener net.Listener
	dialer                    wire.Dialer
	adapters                  map[string]jacinthtiller.Adapter
}

// WithAdapter registers an adapter under the name by which the settings select it.
func WithAdapter(name string, a jacinthtiller.Adapter) Option {
	return func(o *options) {
		if o.adapters == nil {
			o.adapters = map[string]jacinthtiller.Adapter{}
		}
		o.adapters[name] = a
	}
}

// WithLogger sends logs to l instead of standard error.
func WithLogger(l *logrus.Logger) Option { return func(o *options) { o.logger = l } }

// WithRPCListener serves on l instead of the address in the settings, for
// processes whose URL others have to know before the start.
func WithRPCListener(l net.Listener) Option { return func(o *options) { o.rpcListener = l } }

// WithLinkListener serves statements from other hosts on l instead of the address in the settings.
func WithLinkListener(l net.Listener) Option { return func(o *options) { o.linkListener = l } }

// WithDialer connects to other processes through d.
func WithDialer(d wire.Dialer) Option { return func(o *options) { o.dialer = d } }

// NewLogger returns a logger with the level and format in the settings.
func NewLogger(s *Settings) *logrus.Logger {
	l := logrus.New()
	l.SetLevel(s.LogLevel)
	if s.LogFormat == "json" {
		l.SetOutput(os.Stdout)
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	} else {
		l.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: time.RFC3339Nano, DisableColors: true})
	}
	return l
}

// Start starts a process with the roles in the settings. If it fails, it leaves nothing running.
func Start(s *Settings, opts ...Option) (*Process, error) {
	var o options
	for _, f := range opts {
		f(&o)
	}
	p := &Process{settings: s, rpcListener: o.rpcListener, linkListener: o.linkListener, dialer: o.dialer}
	if o.logger == nil {
		o.logger = NewLogger(s)
		p.logSink = event.NewSink(o.logger.Out)
		o.logger.SetOutput(p.logSink)
	}
	if s.Interface != InterfacePostgres {
		if p.adapter = o.adapters[s.Interface]; p.adapter == nil {
			return nil, fmt.Errorf("start %s: this program has no interface %q", s.Name, s.Interface)
		}
	}
	if err := p.start(o.logger); err != nil {
		p.Kill()
		return nil, fmt.Errorf("start %s: %w", s.Name, err)
	}
	return p, nil
}

func (p *Process) start(logger *logrus.Logger) error {
	// Instruments record nothing until the metrics provider is installed.
	if err := startMetrics(); err != nil {
		return err
	}
	if err := p.openEvents(logger); err != nil {
		return err
	}
	if p.rpcListener == nil {
		l, err := net.Listen("tcp", p.settings.RPCListen)
		if err != nil {
			return fmt.Errorf("listen for peers: %w", err)
		}
		p.rpcListener = l
	}
	if err := p.openTLSFiles(); err != nil {
		return err
	}
	mux := http.NewServeMux()
	client := p.httpClient()
	if p.settings.HasRole(RoleControl) {
		if err := p.startControl(mux, client); err != nil {
			return err
		}
	}
	if p.settings.HasRole(RoleEntry) {
		start := p.startEntry
		if p.adapter != nil {
			start = p.startDirect
		}
		if err := start(mux, client); err != nil {
			return err
		}
	}
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("/readyz", p.serveReady)
	mux.HandleFunc("/dump", p.serveDump)
	mux.Handle("/metrics", metricsHandler())
	p.serve(mux)
	if err := p.startExtraServers(mux); err != nil {
		return err
	}
	p.logStart()
	return nil
}

func (p *Process) openEvents(logger *logrus.Logger) error {
	opts := []event.Option{event.WithRateLimit()}
	if p.settings.TraceFile != "" {
		f, err := os.OpenFile(p.settings.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return fmt.Errorf("open trace file: %w", err)
		}
		p.traceFile = f
		opts = append(opts, event.WithTrace(f))
	}
	p.events = event.New(p.settings.Name, logger, opts...)
	return nil
}

func (p *Process) startControl(mux *http.ServeMux, client *http.Client) error {
	var operators *control.Operators
	if p.settings.OperatorsFile != "" {
		var err error
		if operators, err = control.ReadOperators(p.settings.OperatorsFile); err != nil {
			return fmt.Errorf("read the operators: %w", err)
		}
	}
	config := control.Config{
		Name: p.settings.Name, Dir: p.settings.DataDir, Members: p.settings.Control, Bootstrap: p.settings.Bootstrap,
		Peers: wire.NewHostPeers(client), Events: p.events, Operators: operators, Client: client,
		Domain: p.settings.Domain, Region: p.settings.Region,
		LeaveMilliseconds: max(1, p.settings.LeaveMilliseconds),
	}
	if len(p.settings.Seeds) > 0 {
		config.ManagesMembers, config.Voters = true, 2*p.settings.Tolerate+1
		config.Name, config.LeaseHolder = p.settings.RPCListen, p.settings.Name
	}
	if p.adapter != nil {
		config.Inspector, config.Promoter = p.adapter, p.adapter.Promoter(p.settings.PlatformAddress)
	}
	c, err := control.Open(config)
	if err != nil {
		return fmt.Errorf("open the control role: %w", err)
	}
	p.control = c
	mux.Handle("/jacinthtiller.control/", c.Handler())
	if p.adapter != nil {
		mux.Handle("/", wire.RecoverPanics(p.events, p.adapter.Control(c)))
	}
	return nil
}

func (p *Process) startEntry(mux *http.ServeMux, client *http.Client) error {
	if err := p.openListeners(); err != nil {
		return err
	}
	password, err := readPassword(p.settings.TargetPasswordFile)
	if err != nil {
		return err
	}
	self := jacinthtiller.Host{
		Name: p.settings.Name, Domain: p.settings.Domain, Region: p.settings.Region,
		RPC: p.RPCURL(), Link: p.linkListener.Addr().String(), Guests: p.guestListener.Addr().String(),
		Incarnation: newIncarnation(),
	}
	controlURLs := make([]string, 0, len(p.settings.Control))
	for _, u := range p.settings.Control {
		controlURLs = append(controlURLs, u)
	}
	controlClient := control.NewClient(controlURLs, client)
	peers := wire.NewHostPeers(client)
	views := entry.NewViewStore()
	ownerOptions := []owner.Option{
		owner.WithHost(self.Name), owner.WithControl(controlClient), owner.WithPeers(peers), owner.WithEvents(p.events),
		owner.WithSlots(p.settings.Slots), owner.WithConnections(p.settings.Connections),
		owner.WithCapacity(p.settings.QueueCapacity),
		owner.WithUser(p.settings.TargetUser), owner.WithPassword(password),
		owner.WithWeights(func() map[string]int { return views.Directory().Weights() }),
	}
	if p.targetTLS != nil {
		ownerOptions = append(ownerOptions, owner.WithTLS(p.targetTLS.Client))
	}
	p.owner = owner.New(ownerOptions...)
	p.startLink(self, views)
	p.host = entry.Start(entry.Config{
		Self: self, Control: controlClient, Peers: peers, PeerURLs: p.settings.Peers,
		Views: views, Owner: p.owner, Subscribers: []jacinthtiller.ViewSubscriber{p.owner}, Events: p.events,
	})
	positions := replica.NewPositions()
	p.marks = replica.NewMarkBatcher(p.linkOpener, views.View, positions, p.events)
	p.sessionServer = session.NewServer(
		session.WithHost(self), session.WithViews(views),
		session.WithDirectory(func() session.Directory { return views.Directory() }),
		session.WithOpener(p.linkOpener), session.WithPositions(positions),
		session.WithMarks(p.marks),
		session.WithEvents(p.events), session.WithTLS(p.guestTLSConfig),
	)
	mux.Handle("/jacinthtiller.host/", wire.NewHostHandler(p.host, p.events))
	p.goroutines.Go(func() { _ = p.linkServer.Serve(p.linkListener) })
	p.goroutines.Go(func() { _ = p.sessionServer.Serve(p.guestListener) })
	return nil
}

func (p *Process) openListeners() error {
	var err error
	if p.guestListener, err = net.Listen("tcp", p.settings.GuestListen); err != nil {
		return fmt.Errorf("listen for guests: %w", err)
	}
	if p.linkListener != nil {
		return nil
	}
	if p.linkListener, err = net.Listen("tcp", p.settings.LinkListen); err != nil {
		return fmt.Errorf("listen for statements from other hosts: %w", err)
	}
	return nil
}

func readPassword(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read the password for targets: %w", err)
	}
	return strings.TrimSpace(string(b)), nil
}

// newIncarnation returns a random name for this start of the process.
func newIncarnation() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // never fails on supported systems
	return hex.EncodeToString(b)
}

func (p *Process) logStart() {
	f := event.Fields{"rpc": p.RPCURL(), "roles": strings.Join(p.settings.Roles, ",")}
	if p.guestListener != nil {
		f["guests"] = p.GuestAddr()
	}
	if p.linkListener != nil {
		f["links"] = p.linkListener.Addr().String()
	}
	p.events.Emit(event.ProcessStarted, f)
	if p.guestListener != nil && p.settings.GuestCertFile == "" {
		p.events.Emit(event.WithoutTLS, event.Fields{"listener": "guests"})
	}
	if p.settings.PeerCertFile == "" {
		p.events.Emit(event.WithoutTLS, event.Fields{"listener": "peers"})
	}
}

// Name returns the name of the host.
func (p *Process) Name() string { return p.settings.Name }

// Domain returns the failure domain of the host.
func (p *Process) Domain() string { return p.settings.Domain }

// StopRequested reports whether Stop or Kill has been called.
func (p *Process) StopRequested() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopping
}

// RPCURL returns the URL of the process's HTTP service.
func (p *Process) RPCURL() string {
	if p.settings.PeerCertFile != "" {
		return "https://" + p.rpcListener.Addr().String()
	}
	return "http://" + p.rpcListener.Addr().String()
}

// GuestAddr returns the address for guests. The process must have the entry role.
func (p *Process) GuestAddr() string { return p.guestListener.Addr().String() }

// View returns the current view. The process must have the entry role.
func (p *Process) View() jacinthtiller.View {
	v, _ := p.host.View(context.Background())
	return v
}

// Ready reports whether the load balancer should send guests to this host.
func (p *Process) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.statementServer != nil {
		return !p.stopping && p.directReady()
	}
	return !p.stopping && (p.host == nil || p.host.Ready())
}

func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// Dump is the state of a process as /dump returns it.
type Dump struct {
	Name    string    `json:"name"`
	Roles   []string  `json:"roles"`
	Time    time.Time `json:"time"`
	Ready   bool      `json:"ready"`
	Entry   any       `json:"entry,omitempty"`
	Owner   any       `json:"owner,omitempty"`
	Session any       `json:"session,omitempty"`
	Pool    any       `json:"pool,omitempty"`
	Control any       `json:"control,omitempty"`
}

// Dump returns the whole state of the process.
func (p *Process) Dump() Dump {
	d := Dump{Name: p.settings.Name, Roles: p.settings.Roles, Time: time.Now(), Ready: p.Ready()}
	switch {
	case p.statementServer != nil:
		d.Entry, d.Session, d.Pool = p.host.Dump(), p.statementServer.Stats(), p.pool.Dump()
	case p.host != nil:
		d.Entry, d.Owner, d.Session = p.host.Dump(), p.owner.Dump(), p.sessionServer.Stats()
	}
	if p.control != nil {
		d.Control = p.control.Dump()
	}
	return d
}

func (p *Process) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(p.Dump()); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
