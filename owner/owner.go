// Package owner is the side of a host that owns targets: it holds their
// connections, runs units on them, acknowledges what has settled under a lease,
// and makes each target's role agree with the view.
package owner

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// Owner holds the targets that one host owns. Its methods are safe for concurrent use.
type Owner struct {
	host        string
	control     jacinthtiller.Control
	peers       jacinthtiller.Peers
	events      *event.Log
	weights     func() map[string]int
	login       loginConfig
	slots       int
	connections int
	capacity    int
	instruments *instruments

	ctx  context.Context
	stop context.CancelFunc
	// goroutines holds what outlives a target, such as the report that it is lost.
	goroutines conc.WaitGroup
	draining   atomic.Bool
	lease      atomic.Pointer[jacinthtiller.Lease]

	mu sync.Mutex // guards the fields below
	// view is the newest view; it is never replaced by one with a lower index.
	view jacinthtiller.View
	// targets holds the targets that are served at their present epoch.
	targets map[targetKey]*target
	// channels are those that are open.
	channels map[*channel]struct{}
	// units counts the units in flight and idle is closed and replaced when it reaches zero.
	units         int
	drainProgress chan struct{}
	closed        bool
}

type targetKey struct{ database, target string }

// Option changes an Owner that is being made.
type Option func(*Owner)

// WithHost sets the name of the host, by which views name the owner of a target.
func WithHost(name string) Option { return func(o *Owner) { o.host = name } }

// WithControl sets the control group that lost and leaving targets are reported to.
func WithControl(c jacinthtiller.Control) Option { return func(o *Owner) { o.control = c } }

// WithPeers sets how the owners of replicas on other hosts are reached.
func WithPeers(p jacinthtiller.Peers) Option { return func(o *Owner) { o.peers = p } }

// WithEvents sets the log of events.
func WithEvents(l *event.Log) Option { return func(o *Owner) { o.events = l } }

// WithSlots sets how many statements run at once on one target; the default is 5.
func WithSlots(n int) Option { return func(o *Owner) { o.slots = n } }

// WithConnections sets how many connections one target allows; the default is 30.
// Three of them are kept for probes, orders and positions.
func WithConnections(n int) Option { return func(o *Owner) { o.connections = n } }

// WithCapacity sets how many units wait in the queue of one target; the default is 1024.
func WithCapacity(n int) Option { return func(o *Owner) { o.capacity = n } }

// WithWeights sets where the weights of teams come from. They are read at each new view.
func WithWeights(f func() map[string]int) Option { return func(o *Owner) { o.weights = f } }

// WithUser sets the role that connections to targets log in as; the default is jacinthtiller.
func WithUser(name string) Option { return func(o *Owner) { o.login.user = name } }

// WithPassword sets the password of the role.
func WithPassword(password string) Option { return func(o *Owner) { o.login.password = password } }

// WithTLS makes connections to targets encrypted.
func WithTLS(f func(host string) *tls.Config) Option { return func(o *Owner) { o.login.tls = f } }

// New returns an Owner that owns nothing until it gets a view.
func New(opts ...Option) *Owner {
	o := &Owner{
		slots: 5, connections: 30, capacity: 1024,
		login:   loginConfig{user: "jacinthtiller"},
		targets: map[targetKey]*target{}, channels: map[*channel]struct{}{},
		drainProgress: make(chan struct{}), instruments: newInstruments(),
	}
	for _, f := range opts {
		f(o)
	}
	o.connections = max(o.connections, reservedConnections+1)
	o.ctx, o.stop = context.WithCancel(context.Background())
	o.lease.Store(&jacinthtiller.Lease{})
	return o
}

// Apply follows a view: it starts and stops targets, and follows terms and
// primaries. A view with a lower index than the present one is ignored.
func (o *Owner) Apply(v jacinthtiller.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || v.Index < o.view.Index {
		return
	}
	o.view = v
	for k, t := range o.targets {
		spec, ok := v.Target(k.database, k.target)
		if !ok || !o.owns(spec) || spec.Epoch != t.epoch {
			o.giveUp(k, t)
		}
	}
	for _, db := range v.Databases {
		for _, spec := range db.Targets {
			if o.owns(spec) {
				o.serve(db, spec)
			}
		}
	}
}

// owns reports whether the view gives the target to this host. A lost target was given up.
func (o *Owner) owns(spec jacinthtiller.Target) bool { return spec.Owner == o.host && !spec.Lost }

// serve starts the target if it is new, and gives it the view. It is called with mu held.
func (o *Owner) serve(db jacinthtiller.Database, spec jacinthtiller.Target) {
	k := targetKey{db.Name, spec.Name}
	t := o.targets[k]
	if t != nil {
		t.applyView(db, spec)
		if o.weights != nil {
			t.gate.SetWeights(o.weights())
		}
		return
	}
	t = newTarget(o, db, spec)
	o.targets[k] = t
	t.applyView(db, spec)
	if o.draining.Load() {
		t.gate.Drain()
	}
	t.start()
}

// giveUp gives up a target. It is called with mu held.
func (o *Owner) giveUp(k targetKey, t *target) {
	delete(o.targets, k)
	t.emit(event.TargetGivenUp, event.Fields{})
	t.endOwnership(false)
	o.goroutines.Go(t.closeAfterUnits)
}

// closeAfterUnits waits for the target's duties to end and closes what is left of it after a
// short time in which running units may end.
func (t *target) closeAfterUnits() {
	t.goroutines.Wait()
	limit := time.Now().Add(runningUnitsTimeout)
	for time.Now().Before(limit) {
		if open, _ := t.pool.size(); open == 0 {
			break
		}
		if sleep(t.o.ctx, 10*time.Millisecond) != nil {
			break
		}
	}
	t.pool.closeAll()
	t.gate.Close()
	for _, r := range []*reservedConn{&t.orders, &t.polls, &t.probes} {
		r.close()
	}
}

// runningUnitsTimeout is how long units may go on after their target was given up.
const runningUnitsTimeout = time.Second

// SetLease replaces the host's lease.
func (o *Owner) SetLease(l jacinthtiller.Lease) { o.lease.Store(&l) }

func (o *Owner) currentLease() jacinthtiller.Lease { return *o.lease.Load() }

func (o *Owner) leased() bool { return o.currentLease().Valid(clock.Now()) }

// acceptsStale reports whether the unit accepts data as old as the end of this host's lease.
func (o *Owner) acceptsStale(u jacinthtiller.Unit) bool {
	if u.Access != jacinthtiller.AccessRead || u.StaleMicroseconds <= 0 {
		return false
	}
	ended := o.currentLease().Deadline
	return !ended.IsZero() && clock.Now().Before(ended.Add(time.Duration(u.StaleMicroseconds)*time.Microsecond))
}

// Announced takes the announcement of a target that this host owns; otherwise it returns false.
func (o *Owner) Announced(a jacinthtiller.Announcement) bool {
	t := o.find(a.Database, a.Target)
	return t != nil && t.handleAnnouncement(a)
}

func (o *Owner) find(database, name string) *target {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.targets[targetKey{database, name}]
}

// Open returns a channel to the targets of this host.
func (o *Owner) Open(ctx context.Context) (jacinthtiller.Channel, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("open channel: %w", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return nil, fmt.Errorf("open channel: %w",
			jacinthtiller.NotRun(jacinthtiller.CodeNotRunShutdown, jacinthtiller.ReasonDraining, "host %s has stopped", o.host))
	}
	h := &channel{o: o}
	o.channels[h] = struct{}{}
	return h, nil
}

func (o *Owner) removeChannel(h *channel) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.channels, h)
	o.signalDrainProgress()
}

func (o *Owner) unitBegun() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	o.units++
	return true
}

func (o *Owner) unitEnded() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.units--
	o.signalDrainProgress()
}

// signalDrainProgress wakes Drain. It is called with mu held.
func (o *Owner) signalDrainProgress() {
	if !o.draining.Load() {
		return
	}
	close(o.drainProgress)
	o.drainProgress = make(chan struct{})
}

// Drain refuses new work on all targets and waits until running units and open
// transactions have ended or ctx ends.
func (o *Owner) Drain(ctx context.Context) error {
	o.draining.Store(true)
	o.mu.Lock()
	for _, t := range o.targets {
		t.gate.Drain()
	}
	o.mu.Unlock()
	for {
		o.mu.Lock()
		drained, progress := o.drained(), o.drainProgress
		o.mu.Unlock()
		if drained {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return fmt.Errorf("drain owner: %w", ctx.Err())
		}
	}
}

// drained reports whether no unit runs and no transaction is open. It is called with mu held.
func (o *Owner) drained() bool {
	if o.units > 0 {
		return false
	}
	for h := range o.channels {
		h.mu.Lock()
		open := h.conn != nil
		h.mu.Unlock()
		if open {
			return false
		}
	}
	return true
}

// Close gives up all targets and ends everything that runs.
func (o *Owner) Close() error {
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		return nil
	}
	o.closed = true
	for k, t := range o.targets {
		o.giveUp(k, t)
	}
	var errs []error
	open := make([]*channel, 0, len(o.channels))
	for h := range o.channels {
		open = append(open, h)
	}
	o.mu.Unlock()
	o.stop()
	for _, h := range open {
		errs = append(errs, h.Close())
	}
	o.goroutines.Wait()
	return errors.Join(errs...)
}
