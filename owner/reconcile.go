package owner

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// reservedConnections is the number of connections kept out of the pool: one each for probes, orders and position queries.
	reservedConnections = 3
	reconcileInterval   = 100 * time.Millisecond
	// convergedInterval is the time between passes for a target that is in the role of the view; views and announcements
	// start a pass at once. At reconcileInterval, idle targets would cost their host more than control work may.
	convergedInterval = time.Second
	warmInterval      = 500 * time.Millisecond
	// orderTimeout bounds one order, so that an unresponsive target does not block the loop.
	orderTimeout        = 2 * time.Second
	probeInterval       = 250 * time.Millisecond
	probeTimeout        = 500 * time.Millisecond
	failedProbeInterval = 100 * time.Millisecond
	// lossTimeout is how long a target may leave probes unanswered before it is lost.
	lossTimeout = time.Second
	// controlRetryInterval is the pause between attempts to report a lost target to the control group.
	controlRetryInterval = 200 * time.Millisecond
	// repeatedLogInterval is the interval at which an unchanged error is logged again.
	repeatedLogInterval = 5 * time.Second
	// announcementGrace is how long after an order an announcement that contradicts it is
	// ignored, since it may have been written before the order.
	announcementGrace = 600 * time.Millisecond
)

// reservedConn is a connection outside the pool, opened on first use. No unit runs on it.
type reservedConn struct {
	target *target
	mu     sync.Mutex // guards conn and is held during a query
	conn   *conn
}

// query runs one simple query and returns the first column of the first row. It
// opens the connection if necessary.
func (r *reservedConn) query(ctx context.Context, sql string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target.pool.mu.Lock()
	address := r.target.pool.address
	r.target.pool.mu.Unlock()
	if r.conn != nil && r.conn.address != address {
		r.closeLocked()
	}
	if r.conn != nil {
		if err := r.conn.checkBeforeRequest(); sentNothing(err) {
			r.target.reportMismatch(r.conn, err)
			r.closeLocked()
		}
	}
	if r.conn == nil {
		c, err := dial(ctx, address, r.target.pool.login)
		if err != nil {
			return "", err
		}
		r.conn = c
	}
	s, err := r.conn.query(ctx, sql)
	if err != nil && asServerError(err) == nil {
		r.target.reportMismatch(r.conn, err)
		r.closeLocked()
	}
	if err != nil {
		return "", fmt.Errorf("%s on %s: %w", sql, r.target.name, err)
	}
	return s, nil
}

func (r *reservedConn) closeLocked() {
	if r.conn != nil {
		r.conn.close()
		r.conn = nil
	}
}

func (r *reservedConn) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeLocked()
}

// reconcile gives orders to the target whenever its role differs from the view.
func (t *target) reconcile() {
	lastError := ""
	var muteUntil time.Time // an unchanged error is not logged before this time
	for {
		err := t.reconcileOnce()
		if err != nil && t.ctx.Err() == nil && (err.Error() != lastError || time.Now().After(muteUntil)) {
			lastError, muteUntil = err.Error(), time.Now().Add(repeatedLogInterval)
			t.emit(event.OrderFailed, event.Fields{"error": lastError})
		}
		interval := reconcileInterval
		if err == nil && t.converged() {
			interval = convergedInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-t.ctx.Done():
			timer.Stop()
			return
		case <-t.reconcileSignal:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// converged reports whether the next pass may wait: no planned move runs, and the target serves if it is the primary.
func (t *target) converged() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.db.Successor == "" && (t.leadership == nil || !t.leadership.readySince().IsZero())
}

// reconcileOnce gives the target the order that the view requires, if any.
func (t *target) reconcileOnce() error {
	t.mu.Lock()
	l, db, announced, announcedAt := t.leadership, t.db, t.announced, t.announcedAt
	lastFollow, lastFollowAt := t.lastFollow, t.lastFollowAt
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
	defer cancel()
	if l != nil {
		ready := l.readySince()
		contradicted := !ready.IsZero() && announcedAt.After(ready.Add(announcementGrace)) &&
			(announced.Role != jacinthtiller.RolePrimary || announced.Term != l.term)
		if ready.IsZero() || contradicted {
			return t.promote(ctx, l)
		}
		if db.Successor != "" {
			return t.handOver(ctx, db.Successor)
		}
		return nil
	}
	if db.Primary == "" || db.Primary == t.name {
		return nil
	}
	want := followOrder{term: db.Term, address: db.Targets[db.Primary].Address}
	contradicted := announcedAt.After(lastFollowAt.Add(announcementGrace)) &&
		(announced.Role != jacinthtiller.RoleReplica || announced.Term != want.term)
	if want == lastFollow && !contradicted || want.address == "" {
		return nil
	}
	return t.follow(ctx, want)
}

// promote makes the target the primary of the term of l. The view names it the primary
// of exactly that term, because l ends with any other view.
func (t *target) promote(ctx context.Context, l *leadership) error {
	if l.ended() {
		return nil
	}
	if _, err := t.orders.query(ctx, fmt.Sprintf("SELECT group_promote(%d)", l.term)); err != nil {
		return err
	}
	if err := t.ensureRequestsTable(ctx); err != nil {
		return err
	}
	s, err := t.orders.query(ctx, "SHOW log_position")
	if err != nil {
		return err
	}
	p, err := jacinthtiller.ParsePosition(s)
	if err != nil {
		return fmt.Errorf("position of target %s: %w", t.name, err)
	}
	if p.Term != l.term {
		return fmt.Errorf("target %s is at %v after its promotion to term %d", t.name, p, l.term)
	}
	l.open(p)
	t.emit(event.LeadBegun, event.Fields{"term": l.term, "position": p.String()})
	return nil
}

// follow makes the target replicate from the primary.
func (t *target) follow(ctx context.Context, want followOrder) error {
	address := strings.ReplaceAll(want.address, "'", "''")
	if _, err := t.orders.query(ctx, fmt.Sprintf("SELECT group_follow(%d, '%s')", want.term, address)); err != nil {
		return err
	}
	t.mu.Lock()
	t.lastFollow, t.lastFollowAt = want, time.Now()
	t.mu.Unlock()
	t.emit(event.FollowOrdered, event.Fields{"term": want.term, "address": want.address})
	return nil
}

// handOver ends the ownership of a primary for a planned move, once it is drained and
// the successor has all of its log.
func (t *target) handOver(ctx context.Context, successor string) error {
	if !t.drained(false) {
		return nil
	}
	if err := t.readPosition(ctx, &t.orders); err != nil {
		return err
	}
	last := t.position()
	wait, cancel := context.WithTimeout(ctx, reconcileInterval)
	defer cancel()
	p, err := t.owner.waitReplicaPosition(wait, t.database, successor, last)
	if err != nil || !p.Covers(last) || !t.drained(true) {
		return err
	}
	t.emit(event.HandedOver, event.Fields{"successor": successor, "position": last.String()})
	t.endOwnership(true)
	t.owner.goroutines.Go(t.reportLost)
	return nil
}

// drained reports whether the target takes no new work and has none left. With markLost, a
// drained target is also marked as lost, so that no work can begin afterwards.
func (t *target) drained(markLost bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leaving || t.units > 0 || len(t.transactions) > 0 {
		return false
	}
	t.lost = t.lost || markLost
	return true
}

// probe queries the target's position at intervals and declares the target lost when it does not answer.
func (t *target) probe() {
	var failingSince time.Time // start of the first probe in an unbroken sequence of failures
	refusals := 0
	for t.ctx.Err() == nil {
		began := time.Now()
		err := t.probeOnce()
		d := probeInterval
		switch {
		case err == nil:
			failingSince, refusals = time.Time{}, 0
		case t.ctx.Err() != nil:
			return
		default:
			if failingSince.IsZero() {
				failingSince = began
			}
			if errors.Is(err, syscall.ECONNREFUSED) {
				refusals++
				d = failedProbeInterval
			} else {
				refusals = 0
			}
			// A single failed probe, however long it took, is no proof: this process may have been suspended.
			if refusals >= 2 || !began.Equal(failingSince) && time.Since(failingSince) >= lossTimeout {
				t.declareLost(err)
				return
			}
			if refusals == 0 {
				d = failedProbeInterval
			}
		}
		_ = sleep(t.ctx, d)
	}
}

func (t *target) probeOnce() error {
	ctx, cancel := context.WithTimeout(t.ctx, probeTimeout)
	defer cancel()
	err := t.readPosition(ctx, &t.probes)
	if asServerError(err) != nil {
		err = nil // an ErrorResponse shows that the target answers
	}
	return err
}

// declareLost stops all work on the target and reports it to the control group until the report is accepted.
func (t *target) declareLost(cause error) {
	t.emit(event.TargetLost, event.Fields{"error": cause.Error()})
	t.endOwnership(true)
	t.owner.goroutines.Go(t.reportLost)
}

func (t *target) reportLost() {
	for t.owner.control != nil && t.owner.ctx.Err() == nil && !t.isRetired() {
		lease := t.owner.currentLease()
		ctx, cancel := context.WithTimeout(t.owner.ctx, orderTimeout)
		err := t.owner.control.ReportLost(ctx, jacinthtiller.LostRequest{
			Host: t.owner.host, Incarnation: lease.Incarnation,
			Database: t.database, Target: t.name, Epoch: t.epoch,
		})
		cancel()
		if err == nil {
			return
		}
		t.emit(event.LostReportFailed, event.Fields{"error": err.Error()})
		_ = sleep(t.owner.ctx, controlRetryInterval)
	}
}

func (t *target) isRetired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retired
}

// handleAnnouncement records an announcement and returns false when the target is no longer served.
func (t *target) handleAnnouncement(a jacinthtiller.Announcement) bool {
	if p, err := jacinthtiller.ParsePosition(a.Position); err == nil {
		t.advancePosition(p)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost || t.retired {
		return false
	}
	t.announced, t.announcedAt = a, time.Now()
	t.updateLeaving()
	if a.Address != t.spec.Address || a.State != t.spec.State || a.GroupSize > t.db.GroupSize || a.Domain != t.spec.Domain {
		select {
		case t.observations <- a:
		default:
		}
	}
	t.requestReconcile()
	return true
}

// reportObservations reports announcements that differ from the view to the control group.
func (t *target) reportObservations() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case a := <-t.observations:
			if t.owner.control == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
			// A failed report is repeated with the next announcement.
			_ = t.owner.control.ReportObservation(ctx, jacinthtiller.ObserveRequest{Host: t.owner.host, Announcement: a})
			cancel()
		}
	}
}
