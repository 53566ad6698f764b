// Package owner runs units on the targets that a host owns. It holds the connections
// to these targets, acknowledges commits under the host's lease once a majority of the
// group has them, and orders each target into the role that the view gives it.
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
	// goroutines run after their target was removed, such as the report that it is lost.
	goroutines conc.WaitGroup
	draining   atomic.Bool
	// endsTransactions is true once a drain rolls back the transactions that run no unit.
	endsTransactions atomic.Bool
	lease            atomic.Pointer[jacinthtiller.Lease]

	mu sync.Mutex // guards the fields below
	// view is the newest view; it is never replaced by one with a lower index.
	view jacinthtiller.View
	// targets holds the targets that are served at their present epoch.
	targets map[targetKey]*target
	// channels holds the open channels.
	channels map[*channel]struct{}
	// units counts the units in flight.
	units int
	// drainProgress is closed and replaced whenever a unit or a channel ends while the owner drains.
	drainProgress chan struct{}
	closed        bool
}

type targetKey struct{ database, target string }

// Option configures a new Owner.
type Option func(*Owner)

// WithHost sets the host name, which views use to name the owner of a target.
func WithHost(name string) Option { return func(o *Owner) { o.host = name } }

// WithControl sets the control group that receives the reports of lost and leaving targets.
func WithControl(c jacinthtiller.Control) Option { return func(o *Owner) { o.control = c } }

// WithPeers sets the clients of other hosts, which are asked for the positions of the replicas they own.
func WithPeers(p jacinthtiller.Peers) Option { return func(o *Owner) { o.peers = p } }

// WithEvents sets the event log.
func WithEvents(l *event.Log) Option { return func(o *Owner) { o.events = l } }

// WithSlots sets the number of statements that run concurrently on one target; the default is 5.
func WithSlots(n int) Option { return func(o *Owner) { o.slots = n } }

// WithConnections sets the number of connections that one target allows; the default is 30.
// Three of them are reserved for probes, orders and position queries.
func WithConnections(n int) Option { return func(o *Owner) { o.connections = n } }

// WithCapacity sets the number of units that may wait in the queue of one target; the default is 1024.
func WithCapacity(n int) Option { return func(o *Owner) { o.capacity = n } }

// WithWeights sets the function that returns the weights of teams. It is called at each new view.
func WithWeights(f func() map[string]int) Option { return func(o *Owner) { o.weights = f } }

// WithUser sets the database role used to log in to targets; the default is jacinthtiller.
func WithUser(name string) Option { return func(o *Owner) { o.login.user = name } }

// WithPassword sets the password of the database role.
func WithPassword(password string) Option { return func(o *Owner) { o.login.password = password } }

// WithTLS encrypts the connections to targets.
func WithTLS(f func(host string) *tls.Config) Option { return func(o *Owner) { o.login.tls = f } }

// New returns an Owner that owns no target until Apply is called.
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

// Apply puts a view in force: it starts and stops targets and updates their terms and
// roles. A view with a lower index than the present one is ignored.
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

// owns reports whether the view assigns the target to this host. The host has given up a lost target even if the view
// still names the host as its owner.
func (o *Owner) owns(spec jacinthtiller.Target) bool { return spec.Owner == o.host && !spec.Lost }

// serve starts the target if it is new, and applies the view to it. It is called with mu held.
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

// giveUp ends the ownership of a target. It is called with mu held.
func (o *Owner) giveUp(k targetKey, t *target) {
	delete(o.targets, k)
	t.emit(event.TargetGivenUp, event.Fields{})
	t.endOwnership(false)
	o.goroutines.Go(t.closeAfterUnits)
}

// closeAfterUnits waits for the target's goroutines, gives running units up to
// runningUnitsTimeout to end, and then closes the connections and the admission gate.
func (t *target) closeAfterUnits() {
	t.goroutines.Wait()
	deadline := time.Now().Add(runningUnitsTimeout)
	for time.Now().Before(deadline) {
		if open, _ := t.pool.size(); open == 0 {
			break
		}
		if sleep(t.owner.ctx, 10*time.Millisecond) != nil {
			break
		}
	}
	t.pool.closeAll()
	t.gate.Close()
	for _, r := range []*reservedConn{&t.orders, &t.polls, &t.probes} {
		r.close()
	}
}

// runningUnitsTimeout bounds the units that still run when the ownership of their target ends.
const runningUnitsTimeout = time.Second

// SetLease replaces the host's lease.
func (o *Owner) SetLease(l jacinthtiller.Lease) { o.lease.Store(&l) }

func (o *Owner) currentLease() jacinthtiller.Lease { return *o.lease.Load() }

func (o *Owner) leased() bool { return o.currentLease().Valid(clock.Now()) }

// acceptsStale reports whether the unit is a read that accepts data as old as the end of this host's lease.
func (o *Owner) acceptsStale(u jacinthtiller.Unit) bool {
	if u.Access != jacinthtiller.AccessRead || u.MaxStalenessMicroseconds <= 0 {
		return false
	}
	ended := o.currentLease().Deadline
	return !ended.IsZero() && clock.Now().Before(ended.Add(time.Duration(u.MaxStalenessMicroseconds)*time.Microsecond))
}

// HandleAnnouncement handles the announcement of a target that this host owns and returns false for any other target.
func (o *Owner) HandleAnnouncement(a jacinthtiller.Announcement) bool {
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
	h := &channel{owner: o}
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

// signalDrainProgress makes Drain check again whether all work has ended. It is called with mu held.
func (o *Owner) signalDrainProgress() {
	if !o.draining.Load() {
		return
	}
	close(o.drainProgress)
	o.drainProgress = make(chan struct{})
}

// Drain refuses new work on all targets and waits until running units and open transactions have ended or ctx ends. From
// the given time on, it rolls back each transaction that runs no unit.
func (o *Owner) Drain(ctx context.Context, endTransactions time.Time) error {
	o.draining.Store(true)
	o.mu.Lock()
	for _, t := range o.targets {
		t.gate.Drain()
	}
	o.mu.Unlock()
	end := time.NewTimer(time.Until(endTransactions))
	defer end.Stop()
	for {
		o.mu.Lock()
		drained, progress := o.drained(), o.drainProgress
		o.mu.Unlock()
		if drained {
			return nil
		}
		select {
		case <-progress:
		case <-end.C:
			o.rollBackTransactions()
		case <-ctx.Done():
			return fmt.Errorf("drain owner: %w", ctx.Err())
		}
	}
}

// rollBackTransactions rolls back the open transactions, those that run a unit after it.
func (o *Owner) rollBackTransactions() {
	o.endsTransactions.Store(true)
	o.mu.Lock()
	open := make([]*channel, 0, len(o.channels))
	for h := range o.channels {
		open = append(open, h)
	}
	o.mu.Unlock()
	for _, h := range open {
		h.mu.Lock()
		t := h.target
		h.mu.Unlock()
		if t != nil {
			h.rollBackIdle(t)
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

// Close ends the ownership of all targets and closes all channels.
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
