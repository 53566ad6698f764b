// Package statement serves guests of direct groups: it keeps their session state,
// routes each request to a suitable target, decides which requests may be retried,
// and withholds answers of a primary that may have been replaced.
package statement

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/pool"
	"github.com/jacinthtiller/jacinthtiller/replica"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

const (
	// suspicionCheckInterval is the time between checks for unreachable primaries, and suspicionReportInterval the time
	// between reports of the same one. The control group counts a report for 1 s.
	suspicionCheckInterval  = 50 * time.Millisecond
	suspicionReportInterval = 300 * time.Millisecond
	// suspicionTimeout bounds one report.
	suspicionTimeout = 500 * time.Millisecond
)

// NewGuestConn wraps an accepted connection in the guests' protocol.
type NewGuestConn func(net.Conn) jacinthtiller.GuestConn

// Server serves guests. It implements jacinthtiller.ViewSubscriber.
type Server struct {
	host    string
	pool    *pool.Pool
	dialect jacinthtiller.Dialect
	control jacinthtiller.Control
	// freshnessClient queries other hosts for freshness and leases; nil when there are none.
	freshnessClient jacinthtiller.FreshnessClient
	domain          string
	// limiter is nil when the operations of accounts have no limits.
	limiter      jacinthtiller.Limiter
	events       *event.Log
	newGuestConn NewGuestConn
	metrics      metrics
	group        duty.Group
	ctx          context.Context
	stop         context.CancelFunc

	view  atomic.Pointer[jacinthtiller.View]
	lease atomic.Pointer[jacinthtiller.Lease]
	// accounts is the index of the view's edition; edition and keys of one operation are read from it together.
	accounts atomic.Pointer[accountIndex]
	// leasedSince is when the host last got a lease while it had none.
	leasedSince atomic.Pointer[time.Time]
	// isolated is the latest result of the isolation detector.
	isolated atomic.Bool
	// successes counts successful requests, of which a sample is logged.
	successes atomic.Uint64
	// stopTimes is nil until the host stops.
	stopTimes atomic.Pointer[StopTimes]

	mu sync.Mutex // guards the fields below
	// changed is closed and replaced when the view changes or the host gets a lease again.
	changed chan struct{}
	// freshness holds known positions of the primary, by database.
	freshness map[string]*replica.Freshness
	// positionQueryUntil holds, by database, until when reads wait for a position query in flight.
	positionQueryUntil map[string]time.Time
	keepers            keeperClient
	// commits holds what is known of acknowledged commits, by database.
	commits map[string]*commitBounds
	// counts holds the requests since the last check for overloads, by database.
	counts   map[string]requestCounts
	sessions map[*session]struct{}
	// drained is true once a drain has ended with no session left.
	drained bool
	closed  bool
}

// Option configures a Server.
type Option func(*Server)

// WithHost sets the name of the host.
func WithHost(name string) Option { return func(s *Server) { s.host = name } }

// WithControl sets the control group, to which unreachable primaries are reported.
func WithControl(c jacinthtiller.Control) Option { return func(s *Server) { s.control = c } }

// WithEvents sets the log of events.
func WithEvents(l *event.Log) Option { return func(s *Server) { s.events = l } }

// WithFreshnessKeepers sets the host's failure domain and the client for freshness queries to other hosts.
func WithFreshnessKeepers(domain string, c jacinthtiller.FreshnessClient) Option {
	return func(s *Server) { s.domain, s.freshnessClient = domain, c }
}

// WithLimiter sets what admits the operations of accounts.
func WithLimiter(l jacinthtiller.Limiter) Option { return func(s *Server) { s.limiter = l } }

// New returns a server that runs requests on the pool's targets.
func New(p *pool.Pool, d jacinthtiller.Dialect, newConn NewGuestConn, opts ...Option) *Server {
	s := &Server{
		pool: p, dialect: d, newGuestConn: newConn, changed: make(chan struct{}), metrics: newMetrics(),
		freshness: map[string]*replica.Freshness{}, positionQueryUntil: map[string]time.Time{}, sessions: map[*session]struct{}{},
		counts: map[string]requestCounts{}, commits: map[string]*commitBounds{},
		keepers: keeperClient{inFlight: map[freshnessQueryKey]*freshnessQuery{}, backoffUntil: map[string]time.Time{}},
	}
	for _, o := range opts {
		o(s)
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.view.Store(&jacinthtiller.View{})
	s.lease.Store(&jacinthtiller.Lease{})
	s.accounts.Store(&accountIndex{})
	s.leasedSince.Store(&time.Time{})
	s.group.Go(func() { duty.RunWithRestart(s.ctx, s.events, "report suspicions", s.reportSuspicions) })
	s.group.Go(func() { duty.RunWithRestart(s.ctx, s.events, "report overloads", s.reportOverloads) })
	s.group.Go(func() {
		duty.RunWithRestart(s.ctx, s.events, "detect whether the host is isolated", s.monitorIsolation)
	})
	return s
}

// Apply puts a view in force.
func (s *Server) Apply(v jacinthtiller.View) {
	s.pool.Apply(v)
	s.view.Store(&v)
	s.accounts.Store(s.accounts.Load().withEdition(v.Edition))
	s.notifyChange()
}

// SetLease replaces the host's lease.
func (s *Server) SetLease(l jacinthtiller.Lease) {
	had := s.lease.Load().Valid(clock.Now())
	if !had {
		since := time.Now()
		s.leasedSince.Store(&since) // before the lease, with which guests may be refused
	}
	s.lease.Store(&l)
	if !had {
		s.notifyChange()
		s.queryPrimaryPositions()
	}
}

// queryPrimaryPositions queries the positions of the primaries that this host connects to, so that reads which waited for
// the lease can go to replicas without waiting for one another's answers.
func (s *Server) queryPrimaryPositions() {
	for name, d := range s.view.Load().Databases {
		if !d.Direct || !s.pool.IsGateway(d.Targets[d.Primary]) {
			continue
		}
		if p, ok := s.currentPrimary(name); ok && p.target.Direct() && s.beginPositionQuery(name) {
			s.runInBackground("ask a primary for its position", func() { s.queryPrimaryPosition(p) })
		}
	}
}

// notifyChange wakes all callers of waitForChange.
func (s *Server) notifyChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// changeSignal returns a channel that is closed at the next change. Callers get it before they read the state.
func (s *Server) changeSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// waitForChange waits for a change until the deadline and reports whether there was one.
func (s *Server) waitForChange(changed <-chan struct{}, deadline time.Time) bool {
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
	case <-s.ctx.Done():
	}
	return false
}

// freshnessOf returns the known positions of a database's primary.
func (s *Server) freshnessOf(database string) *replica.Freshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.freshness[database]
	if f == nil {
		f = &replica.Freshness{}
		s.freshness[database] = f
	}
	return f
}

// Serve accepts guest connections until the listener closes.
func (s *Server) Serve(l net.Listener) {
	wire.AcceptAll(l, s.events, func(c net.Conn) {
		n := newSession(s, s.newGuestConn(c))
		if !s.addSession(n) {
			_ = c.Close()
			return
		}
		if !s.group.Go(func() {
			defer s.removeSession(n)
			n.serve()
		}) {
			s.removeSession(n) // Close has closed its connection
		}
	})
}

func (s *Server) addSession(n *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[n] = struct{}{}
	return true
}

// runInBackground runs work in a goroutine, unless the server has been closed.
func (s *Server) runInBackground(name string, work func()) {
	s.group.Go(func() { duty.Run(s.events, name, nil, work) })
}

func (s *Server) removeSession(n *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, n)
}

// Configured reports whether the current view has an edition of the document.
func (s *Server) Configured() bool { return s.view.Load().Edition != nil }

// Stats holds the state of a server for dumps.
type Stats struct {
	Sessions int  `json:"sessions"`
	Stopping bool `json:"stopping"`
}

// Stats returns the current state.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Sessions: len(s.sessions), Stopping: s.stopTimes.Load() != nil}
}

// Close closes all sessions and waits for their end.
func (s *Server) Close() {
	s.stopTimes.Store(&StopTimes{}) // all steps have been reached
	s.mu.Lock()
	s.closed = true
	for n := range s.sessions {
		s.runInBackground("close a session", func() { _ = n.conn.Close() }) // may wait for the guest
	}
	s.mu.Unlock()
	s.stop()
	s.group.Close()
}

// reportSuspicions reports primaries that this host cannot reach to the control group.
func (s *Server) reportSuspicions() {
	ticks := time.NewTicker(suspicionCheckInterval)
	defer ticks.Stop()
	limiter := reportLimiter{}
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticks.C:
			for _, d := range s.view.Load().Databases {
				t := s.unreachablePrimary(d)
				if t != nil && limiter.allow(t, now) {
					s.runInBackground("report a suspicion", func() { s.reportSuspicion(d, t) })
				}
			}
		}
	}
}

// reportLimiter holds, by primary, when the primary may be reported again.
type reportLimiter map[*pool.Target]time.Time

// allow reports whether the primary may be reported now, and then sets its next time.
func (r reportLimiter) allow(t *pool.Target, now time.Time) bool {
	if now.Before(r[t]) {
		return false
	}
	for x, at := range r {
		if now.Sub(at) > suspicionReportInterval {
			delete(r, x) // the primary is reachable again or replaced
		}
	}
	r[t] = now.Add(suspicionReportInterval)
	return true
}

// unreachablePrimary returns the primary of a direct group if this host cannot reach it.
func (s *Server) unreachablePrimary(d jacinthtiller.Database) *pool.Target {
	if !d.Direct || d.Primary == "" {
		return nil
	}
	t := s.pool.FindExisting(d.Targets[d.Primary])
	if t == nil || t.FailingSince().IsZero() {
		return nil
	}
	return t
}

func (s *Server) reportSuspicion(d jacinthtiller.Database, t *pool.Target) {
	// A failure that began more than suspicionReportInterval ago is verified first, so that the report is not outdated.
	if time.Since(t.FailingSince()) > suspicionReportInterval && t.Probe() {
		return
	}
	if s.control == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, suspicionTimeout)
	defer cancel()
	f := event.Fields{"database": d.Name, "target": d.Primary, "term": d.Term, "failing-since": t.FailingSince()}
	if err := s.control.ReportLost(ctx, jacinthtiller.LostRequest{Host: s.host, Database: d.Name, Target: d.Primary}); err != nil {
		f["error"] = err.Error()
	}
	s.events.Emit(event.PrimarySuspicionReported, f)
}
