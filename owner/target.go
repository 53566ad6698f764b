package owner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/admission"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// target is one target during one epoch of this host's ownership. The next epoch
// gets a new value, so that units of the two epochs cannot be confused.
type target struct {
	owner          *Owner
	database, name string
	epoch          uint64
	// ctx ends when the ownership ends or the target is lost.
	ctx        context.Context
	stop       context.CancelFunc
	pool       *pool
	gate       *admission.Gate
	goroutines conc.WaitGroup
	// orders, polls and probes are the reserved connections for orders, position queries and probes.
	orders, polls, probes reservedConn
	// reconcileSignal has capacity 1 and starts the next reconcile pass at once; a signal that finds it full is dropped.
	reconcileSignal chan struct{}
	// pollSignal has capacity 1 and starts position polling; a signal that finds it full is dropped.
	pollSignal chan struct{}
	// observations has capacity 1; an announcement that finds it full is dropped, since the next comes in 500 ms.
	observations chan jacinthtiller.Announcement

	mu sync.Mutex // guards the fields below
	// spec and db describe the target and its database in the newest view.
	spec jacinthtiller.Target
	db   jacinthtiller.Database
	// leadership is nil unless the view names this target as primary of its term.
	leadership *leadership
	// fenced is the newest term that this host has fenced the target at; no leadership of a lower term begins.
	fenced uint64
	// announced is the newest announcement; announcedAt is when it arrived.
	announced   jacinthtiller.Announcement
	announcedAt time.Time
	// lastFollow is the newest follow order that the target carried out; lastFollowAt is when it did.
	lastFollow   followOrder
	lastFollowAt time.Time
	leaving      bool
	// lost is set when the target cannot be reached or was handed over, and retired when the view ended the epoch. Neither
	// is ever reset: a new epoch has a new target.
	lost, retired bool
	// lastPosition is the newest position that the target reported; it decreases only when the target has lost entries.
	lastPosition jacinthtiller.Position
	// positionChanged is closed and replaced when lastPosition increases.
	positionChanged chan struct{}
	positionWaiters int
	// units counts the units from their first check to the end of their answer, the wait for a majority included.
	units int
	// transactions holds the channels that have a transaction open on the target.
	transactions map[*channel]struct{}
}

type followOrder struct {
	term    uint64
	address string
}

func newTarget(o *Owner, db jacinthtiller.Database, spec jacinthtiller.Target) *target {
	l := o.login
	l.database = db.Name
	t := &target{
		owner: o, database: db.Name, name: spec.Name, epoch: spec.Epoch,
		gate: admission.NewGate(
			admission.WithSlots(o.slots),
			admission.WithConnections(o.connections-reservedConnections),
			admission.WithCapacity(o.capacity),
			admission.WithLog(o.events, db.Name+"/"+spec.Name),
		),
		reconcileSignal: make(chan struct{}, 1), pollSignal: make(chan struct{}, 1),
		observations:    make(chan jacinthtiller.Announcement, 1),
		positionChanged: make(chan struct{}), transactions: map[*channel]struct{}{},
	}
	t.pool = newPool(l, spec.Address, o.connections-reservedConnections, t.reportMismatch)
	t.ctx, t.stop = context.WithCancel(o.ctx)
	for _, r := range []*reservedConn{&t.orders, &t.polls, &t.probes} {
		r.target = t
	}
	if o.weights != nil {
		t.gate.SetWeights(o.weights())
	}
	t.emit(event.TargetTaken, event.Fields{"address": spec.Address})
	return t
}

// start starts the target's goroutines. It is called once, after the first applyView.
func (t *target) start() {
	for _, f := range []func(){t.probe, t.reconcile, t.pollPositions, t.reportObservations, t.keepWarm} {
		t.goroutines.Go(f)
	}
}

func (t *target) emit(k event.Kind, f event.Fields) {
	if t.owner.events == nil {
		return
	}
	f["database"], f["target"], f["epoch"] = t.database, t.name, t.epoch
	t.owner.events.Emit(k, f)
}

// applyView updates the target from a view in which it has the same epoch.
func (t *target) applyView(db jacinthtiller.Database, spec jacinthtiller.Target) {
	t.pool.setAddress(spec.Address)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.db, t.spec = db, spec
	t.updateLeadership()
	t.updateLeaving()
	t.requestReconcile()
}

// updateLeadership ends and begins leaderships as the view says. It is called with mu held.
func (t *target) updateLeadership() {
	primary := t.db.Primary == t.name && t.db.Term >= t.fenced && !t.lost && !t.retired
	groupSize := max(t.db.GroupSize, len(t.db.Targets))
	if t.leadership != nil && (!primary || t.leadership.term != t.db.Term || t.leadership.groupSize != groupSize) {
		t.endLeadership()
	}
	if primary && t.leadership == nil {
		l := newLeadership(t.ctx, t, t.db.Term, groupSize)
		t.leadership = l
		t.goroutines.Go(l.holdWritesOnLag)
	}
	if t.leadership != nil {
		t.leadership.trackReplicas(t.db.TargetNames())
	}
}

func (t *target) endLeadership() {
	if t.leadership == nil {
		return
	}
	t.leadership.end()
	t.emit(event.LeadEnded, event.Fields{"term": t.leadership.term})
	t.leadership = nil
}

// updateLeaving drains the gate while the view or the target says that it leaves, or
// while a planned move waits for the primary's work to end. It is called with mu held.
func (t *target) updateLeaving() {
	leaving := t.spec.State == jacinthtiller.StateLeaving || t.announced.State == jacinthtiller.StateLeaving ||
		t.db.Primary == t.name && t.db.Successor != ""
	if leaving == t.leaving {
		return
	}
	t.leaving = leaving
	if leaving {
		t.gate.Drain()
		t.emit(event.TargetLeaving, event.Fields{})
		return
	}
	if !t.owner.draining.Load() {
		t.gate.Undrain()
	}
}

// requestReconcile starts a pass of the reconcile loop at once.
func (t *target) requestReconcile() {
	select {
	case t.reconcileSignal <- struct{}{}:
	default:
	}
}

// endOwnership makes the target refuse new units and acknowledge nothing more. Transactions that
// run no unit are rolled back. Running units fail at once when the target is lost, and otherwise get
// runningUnitsTimeout to end.
func (t *target) endOwnership(lost bool) {
	t.mu.Lock()
	if lost {
		t.lost = true
	} else {
		t.retired = true
	}
	t.endLeadership()
	open := make([]*channel, 0, len(t.transactions))
	for c := range t.transactions {
		open = append(open, c)
	}
	t.mu.Unlock()
	t.stop()
	t.gate.Drain()
	if lost {
		t.pool.closeAll()
	} else {
		t.pool.close()
	}
	for _, c := range open {
		c.rollBackIdle(t)
	}
}

func (t *target) unitBegun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.units++
}

func (t *target) unitEnded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.units--
	if t.leaving && t.units == 0 {
		t.requestReconcile()
	}
}

// checkUnit returns an error when the unit may not run now, and the leadership when the target is a primary.
func (t *target) checkUnit(u jacinthtiller.Unit, inTransaction bool) (*leadership, *jacinthtiller.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.lost:
		return nil, noTargetError(jacinthtiller.ReasonTarget, "target %s is lost", t.name)
	case t.retired || u.Epoch != t.epoch:
		return nil, noTargetError(jacinthtiller.ReasonNotOwner, "target %s is not owned at epoch %d", t.name, u.Epoch)
	case !inTransaction && (t.leaving || t.owner.draining.Load()):
		return nil, jacinthtiller.NotRun(jacinthtiller.CodeNotRunShutdown, jacinthtiller.ReasonDraining, "target %s takes no new work", t.name)
	}
	if t.leadership == nil {
		return nil, t.checkReplica(u)
	}
	if t.leadership.term != u.Term {
		return nil, noTargetError(jacinthtiller.ReasonNotOwner, "target %s leads term %d, not %d", t.name, t.leadership.term, u.Term)
	}
	if !t.owner.leased() && (inTransaction || !t.mayServeStale(u)) {
		return nil, noTargetError(jacinthtiller.ReasonNoLease, "the lease of host %s has ended", t.owner.host)
	}
	return t.leadership, nil
}

// mayServeStale reports whether a read may run although the lease has ended: its team accepts data of that age and the
// guest's mark is covered. A failure domain that is partitioned off with its primary could serve no read otherwise, because
// writes in progress leave the target at a position that no majority has. It is called with mu held.
func (t *target) mayServeStale(u jacinthtiller.Unit) bool {
	return t.owner.acceptsStale(u) && t.lastPosition.Covers(u.Mark)
}

// checkReplica refuses writes, and reads on a target that may still act as a primary: a
// function called by SELECT could write there, and that write would be lost.
func (t *target) checkReplica(u jacinthtiller.Unit) *jacinthtiller.Error {
	if u.Access == jacinthtiller.AccessWrite || u.Primary {
		return noTargetError(jacinthtiller.ReasonNotOwner, "target %s is not the primary", t.name)
	}
	if t.lastFollow.term == 0 && t.announced.Role != jacinthtiller.RoleReplica {
		return noTargetError(jacinthtiller.ReasonNotOwner, "target %s is not known to be a replica", t.name)
	}
	return nil
}

func noTargetError(r jacinthtiller.Reason, format string, args ...any) *jacinthtiller.Error {
	return jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, r, format, args...)
}

// advancePosition records a position that the target reported, unless a newer one is known.
func (t *target) advancePosition(p jacinthtiller.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastPosition.Covers(p) {
		return
	}
	t.lastPosition = p
	close(t.positionChanged)
	t.positionChanged = make(chan struct{})
}

func (t *target) position() jacinthtiller.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastPosition
}

// waitPosition waits until the target's position covers p, until passes or ctx ends, and
// returns the last known position.
func (t *target) waitPosition(ctx context.Context, p jacinthtiller.Position, until time.Time) jacinthtiller.Position {
	t.mu.Lock()
	if t.lastPosition.Covers(p) || !time.Now().Before(until) {
		defer t.mu.Unlock()
		return t.lastPosition
	}
	t.positionWaiters++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.positionWaiters--
		t.mu.Unlock()
	}()
	select {
	case t.pollSignal <- struct{}{}:
	default:
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		t.mu.Lock()
		known, changed := t.lastPosition, t.positionChanged
		t.mu.Unlock()
		if known.Covers(p) {
			return known
		}
		select {
		case <-changed:
		case <-timer.C:
			return known
		case <-ctx.Done():
			return known
		case <-t.ctx.Done():
			return known
		}
	}
}

// pollPositions queries the position every 1 to 2 ms while there are waiters.
func (t *target) pollPositions() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.pollSignal:
		}
		for t.hasPositionWaiters() && t.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
			err := t.readPosition(ctx, &t.polls)
			cancel()
			d := time.Millisecond
			if err != nil {
				d = positionRetryInterval
			}
			_ = sleep(t.ctx, d)
		}
	}
}

func (t *target) hasPositionWaiters() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.positionWaiters > 0
}

// readPosition queries the position. An answer below the position known before the query
// means that the target has lost entries, as after a restart from old data.
func (t *target) readPosition(ctx context.Context, r *reservedConn) error {
	known := t.position()
	s, err := r.query(ctx, "SHOW log_position")
	if err != nil {
		return err
	}
	p, err := jacinthtiller.ParsePosition(s)
	if err != nil {
		return fmt.Errorf("position of target %s: %w", t.name, err)
	}
	if known.Compare(p) > 0 {
		t.mu.Lock()
		t.lastPosition = p
		t.mu.Unlock()
		t.owner.instruments.regressions.Add(ctx, 1)
		return nil
	}
	t.advancePosition(p)
	return nil
}

// keepWarm keeps at least one connection more open than there are slots, as far as the limit allows, since opening one takes
// about 10 ms.
func (t *target) keepWarm() {
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
		_ = t.pool.warm(ctx, min(t.owner.slots+1, t.owner.connections-reservedConnections))
		cancel()
		_ = sleep(t.ctx, warmInterval)
	}
}
