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
	// reservedConnections are kept out of the pool: probes, orders and positions have one each.
	reservedConnections = 3
	reconcileEvery      = 100 * time.Millisecond
	// agreedEvery is the time between looks at a target that does what the view says; views and announcements ask
	// for a look of their own. Idle targets would otherwise cost their host more than control may.
	agreedEvery = time.Second
	warmEvery   = 500 * time.Millisecond
	// orderLimit bounds one order, so that a target that hangs does not stop the loop.
	orderLimit   = 2 * time.Second
	probeEvery   = 250 * time.Millisecond
	probeLimit   = 500 * time.Millisecond
	refusedPause = 100 * time.Millisecond
	// silenceLimit is how long a target may give no answer before it is lost.
	silenceLimit = time.Second
	// controlRetry is the pause between reports to the control group.
	controlRetry   = 200 * time.Millisecond
	repeatLogAfter = 5 * time.Second
	// disagreeGrace is the age from which an announcement counts against an order; a
	// younger one may have been written before the order.
	disagreeGrace = 600 * time.Millisecond
)

// reserved is a connection that no unit uses.
type reserved struct {
	t  *target
	mu sync.Mutex // guards c and is held during a query
	c  *conn
}

// query runs one simple query and returns the first column of the first row. It
// opens the connection when there is none.
func (r *reserved) query(ctx context.Context, sql string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.pool.mu.Lock()
	address := r.t.pool.address
	r.t.pool.mu.Unlock()
	if r.c != nil && r.c.address != address {
		r.drop()
	}
	if r.c == nil {
		c, err := dial(ctx, address, r.t.pool.login)
		if err != nil {
			return "", err
		}
		r.c = c
	}
	s, err := r.c.query(ctx, sql)
	if err != nil && asRefusal(err) == nil {
		r.drop()
	}
	if err != nil {
		return "", fmt.Errorf("%s on %s: %w", sql, r.t.name, err)
	}
	return s, nil
}

func (r *reserved) drop() {
	if r.c != nil {
		r.c.close()
		r.c = nil
	}
}

func (r *reserved) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop()
}

// reconcile gives orders until the target's role agrees with the view.
func (t *target) reconcile() {
	last := ""
	var quietUntil time.Time // the same error is logged again only after this
	for {
		err := t.agree()
		if err != nil && t.ctx.Err() == nil && (err.Error() != last || time.Now().After(quietUntil)) {
			last, quietUntil = err.Error(), time.Now().Add(repeatLogAfter)
			t.emit(event.OrderFailed, event.Fields{"error": last})
		}
		every := reconcileEvery
		if err == nil && t.agreed() {
			every = agreedEvery
		}
		timer := time.NewTimer(every)
		select {
		case <-t.ctx.Done():
			timer.Stop()
			return
		case <-t.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// agreed reports whether the target has nothing to wait for: it is no primary, or it serves as one.
func (t *target) agreed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.db.Moving == "" && (t.lead == nil || !t.lead.readySince().IsZero())
}

// agree gives the order that the view asks for, if any.
func (t *target) agree() error {
	t.mu.Lock()
	l, db, said, at := t.lead, t.db, t.announced, t.announcedAt
	followed, followedAt := t.followed, t.followedAt
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.ctx, orderLimit)
	defer cancel()
	if l != nil {
		ready := l.readySince()
		denied := !ready.IsZero() && at.After(ready.Add(disagreeGrace)) &&
			(said.Role != jacinthtiller.RolePrimary || said.Term != l.term)
		if ready.IsZero() || denied {
			return t.promote(ctx, l)
		}
		if db.Moving != "" {
			return t.handOver(ctx, db.Moving)
		}
		return nil
	}
	if db.Primary == "" || db.Primary == t.name {
		return nil
	}
	want := followOrder{term: db.Term, address: db.Targets[db.Primary].Address}
	denied := at.After(followedAt.Add(disagreeGrace)) &&
		(said.Role != jacinthtiller.RoleReplica || said.Term != want.term)
	if want == followed && !denied || want.address == "" {
		return nil
	}
	return t.follow(ctx, want)
}

// promote makes the target lead the term of l. The view names it the primary of
// exactly that term, or l would have ended.
func (t *target) promote(ctx context.Context, l *leadership) error {
	if l.ended() {
		return nil
	}
	if _, err := t.orders.query(ctx, fmt.Sprintf("SELECT group_promote(%d)", l.term)); err != nil {
		return err
	}
	if err := t.createRequests(ctx); err != nil {
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
	t.followed, t.followedAt = want, time.Now()
	t.mu.Unlock()
	t.emit(event.FollowOrdered, event.Fields{"term": want.term, "address": want.address})
	return nil
}

// handOver gives up the ownership of a primary for a planned move, once no work is
// left on it and the successor has all of its log.
func (t *target) handOver(ctx context.Context, successor string) error {
	if !t.quiet(false) {
		return nil
	}
	if err := t.readPosition(ctx, &t.orders); err != nil {
		return err
	}
	last := t.position()
	wait, cancel := context.WithTimeout(ctx, reconcileEvery)
	defer cancel()
	p, err := t.o.askPosition(wait, t.database, successor, last)
	if err != nil || !p.Covers(last) || !t.quiet(true) {
		return err
	}
	t.emit(event.HandedOver, event.Fields{"successor": successor, "position": last.String()})
	t.release(true)
	t.o.group.Go(t.reportLost)
	return nil
}

// quiet reports whether the target takes no new work and none is left. With stop it
// also ends the target's work for good, so that none can begin afterwards.
func (t *target) quiet(stop bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leaving || t.units > 0 || len(t.channels) > 0 {
		return false
	}
	t.lost = t.lost || stop
	return true
}

// probe asks the target for its position and gives the target up when it does not answer.
func (t *target) probe() {
	var failing time.Time // start of the first probe of the row that failed
	refusals := 0
	for t.ctx.Err() == nil {
		began := time.Now()
		err := t.probeOnce()
		d := probeEvery
		switch {
		case err == nil:
			failing, refusals = time.Time{}, 0
		case t.ctx.Err() != nil:
			return
		default:
			if failing.IsZero() {
				failing = began
			}
			if errors.Is(err, syscall.ECONNREFUSED) {
				refusals++
				d = refusedPause
			} else {
				refusals = 0
			}
			// A single failed probe proves nothing, whatever its age: this process may have been frozen.
			if refusals >= 2 || !began.Equal(failing) && time.Since(failing) >= silenceLimit {
				t.giveUp(err)
				return
			}
			if refusals == 0 {
				d = refusedPause
			}
		}
		_ = pause(t.ctx, d)
	}
}

func (t *target) probeOnce() error {
	ctx, cancel := context.WithTimeout(t.ctx, probeLimit)
	defer cancel()
	err := t.readPosition(ctx, &t.probes)
	if asRefusal(err) != nil {
		err = nil // an error is an answer
	}
	return err
}

// giveUp stops all work on the target and reports it until the control group accepts the report.
func (t *target) giveUp(cause error) {
	t.emit(event.TargetLost, event.Fields{"error": cause.Error()})
	t.release(true)
	t.o.group.Go(t.reportLost)
}

func (t *target) reportLost() {
	for t.o.control != nil && t.o.ctx.Err() == nil && !t.isGone() {
		lease := t.o.currentLease()
		ctx, cancel := context.WithTimeout(t.o.ctx, orderLimit)
		err := t.o.control.Lost(ctx, jacinthtiller.LostRequest{
			Host: t.o.host, Incarnation: lease.Incarnation,
			Database: t.database, Target: t.name, Epoch: t.epoch,
		})
		cancel()
		if err == nil {
			return
		}
		t.emit(event.LostReportFailed, event.Fields{"error": err.Error()})
		_ = pause(t.o.ctx, controlRetry)
	}
}

func (t *target) isGone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gone
}

// announce takes an announcement and returns false when the target is not served any more.
func (t *target) announce(a jacinthtiller.Announcement) bool {
	if p, err := jacinthtiller.ParsePosition(a.Position); err == nil {
		t.advance(p)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost || t.gone {
		return false
	}
	t.announced, t.announcedAt = a, time.Now()
	t.followState()
	if a.Address != t.spec.Address || a.State != t.spec.State || a.GroupSize > t.db.GroupSize || a.Domain != t.spec.Domain {
		select {
		case t.reports <- a:
		default:
		}
	}
	t.look()
	return true
}

// report tells the control group of announcements that differ from the view.
func (t *target) report() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case a := <-t.reports:
			if t.o.control == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(t.ctx, orderLimit)
			// A report that fails is repeated with the next announcement.
			_ = t.o.control.Observe(ctx, jacinthtiller.ObserveRequest{Host: t.o.host, Announcement: a})
			cancel()
		}
	}
}
