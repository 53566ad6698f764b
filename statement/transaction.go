package statement

import (
	"errors"
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/pool"
)

// errReplaced means that the primary has been replaced or that the host's lease has ended.
var errReplaced = errors.New("the primary is being replaced or the host has lost its lease")

// transaction is a guest's open transaction. It is begun at a target when its first statement arrives.
type transaction struct {
	route    jacinthtiller.Route
	readOnly bool
	// wrote is true once a write has succeeded, so that the commit takes a place in the log.
	wrote bool
	// conn is nil until the transaction is begun at a target, and after a rollback.
	conn        *pool.Conn
	destination destination
	// aborted is why the host has rolled the transaction back; empty otherwise.
	aborted string
	// answered counts the statements whose answers were sent to the guest.
	answered int
	// idleSince is when the last statement was answered.
	idleSince time.Time
}

// begin starts a transaction without a target, so that it holds no connection before its first statement.
func (n *session) begin(r jacinthtiller.GuestRequest) error {
	waitingSince := n.waitingSince
	q, ok, err := n.startOperation(r)
	n.waitingSince = waitingSince // for the first statement, which waits for admission to a target
	if !ok {
		return err
	}
	n.tx = &transaction{route: q.route, readOnly: r.Kind == jacinthtiller.RequestBeginRead, idleSince: time.Now()}
	n.state = jacinthtiller.StateTransaction
	return n.conn.ReplyDone(n.state)
}

// abort rolls the open transaction back. The guest gets the error with its next request.
func (n *session) abort(reason string) {
	if n.tx == nil || n.tx.aborted != "" {
		return
	}
	n.tx.aborted = reason
	n.s.events.Emit(event.TransactionAborted, event.Fields{
		"guest": n.guestName(), "route": n.routeName, "reason": reason, "statements": n.tx.answered,
	})
	n.rollBackAndRelease()
}

// noteAbort sets the cause of a request whose transaction was rolled back for a stop.
func (q *request) noteAbort(t *transaction) {
	if t.aborted == reasonStopping {
		q.last.cause = causeStopping
	}
}

// failAborted tells the guest that its transaction was rolled back before the request.
func (n *session) failAborted(q *request) error {
	q.noteAbort(n.tx)
	return n.fail(q, jacinthtiller.ErrorCodeAborted, "the transaction was rolled back: "+n.tx.aborted, 0)
}

// rollBackAndRelease returns the connection to the pool after a rollback.
func (n *session) rollBackAndRelease() {
	if c := n.tx.conn; c != nil {
		n.tx.conn = nil
		c.RollBack(n.s.dialect.Rollback())
	}
}

// dropConn closes the connection of the open transaction at once, which rolls it back.
func (n *session) dropConn(reason string) {
	if c := n.tx.conn; c != nil {
		n.tx.conn = nil
		c.Drop(reason)
	}
}

// releaseAll releases the connections that the session holds when it ends.
func (n *session) releaseAll() {
	if n.activeConn != nil {
		n.activeConn.Drop("fault of the program")
		n.activeConn = nil
	}
	if n.tx != nil {
		n.rollBackAndRelease()
		n.tx = nil
	}
}

// beginAtTarget begins the transaction at a target. Until the guest has an answer from it, it may be begun again on another
// one. When it returns true, the connection is reserved for the transaction.
func (n *session) beginAtTarget(q *request) bool {
	arrived := now()
	var tried []*pool.Target
	for {
		changed := n.s.changeSignal()
		dst, ok := n.findBeginDestination(arrived, tried)
		if !ok {
			if n.s.noTargetLeft(q.route.Database) {
				q.last = outcomeNoTargetLeft
				return false
			}
			n.s.extendIfHeld(q)
			tried = nil
			if q.admissionExpired() || n.s.Isolated() || !n.s.waitForRetry(changed, q.deadline) {
				return false
			}
			continue
		}
		if dst.waitUntil.After(q.admitUntil) {
			q.last = outcome{reason: "all targets that could serve it are behind or crowded", cause: causeBehind}
			return false
		}
		if !dst.waitUntil.IsZero() {
			n.s.sleepUntil(dst.waitUntil)
		}
		err := n.beginAt(dst, q)
		if err == nil {
			return true
		}
		q.last = outcomeOfError(err)
		tried = append(tried, dst.target)
		if !time.Now().Add(minRemainingTime).Before(q.deadline) {
			return false
		}
		n.s.recordRetry(n, q)
	}
}

// findBeginDestination returns where the transaction may be begun now.
func (n *session) findBeginDestination(arrived time.Time, tried []*pool.Target) (destination, bool) {
	if n.tx.readOnly {
		return n.findDestination(n.tx.route, arrived, tried)
	}
	p, ok := n.s.currentPrimary(n.tx.route.Database)
	if !ok || slices.Contains(tried, p.target) || !p.target.Usable(time.Now()) {
		return destination{}, false
	}
	return destination{target: p.target, primary: &p}, true
}

func (n *session) beginAt(dst destination, q *request) error {
	q.attempts++
	q.target = dst.target.Spec().Name
	j := n.newJob(q, dst.after)
	j.TargetRequest = jacinthtiller.TargetRequest{Text: n.s.dialect.Begin(n.tx.readOnly), After: dst.after}
	j.BeginsTransaction, j.Repeatable = true, true
	c, err := dst.target.Open(j)
	if err != nil {
		return err
	}
	n.activeConn = c
	q.relayHost = c.RelayHost()
	r, err := c.Run(j)
	n.activeConn = nil
	switch {
	case err != nil:
		c.Drop("transaction not begun")
		return err
	case r.ErrorCode != "":
		release(c, r)
		n.recordLag(dst, q.route.Database, r)
		return &jacinthtiller.TargetError{Code: r.ErrorCode, Text: r.ErrorText}
	}
	n.tx.conn, n.tx.destination = c, dst
	return nil
}

// runInTransaction runs a statement of the open transaction, which it begins at a target first if necessary.
func (n *session) runInTransaction(q *request) error {
	for {
		if n.tx.aborted != "" {
			return n.failAborted(q)
		}
		if n.tx.conn == nil && !n.beginAtTarget(q) {
			n.tx.aborted = "it could not be begun"
			return n.refuse(q)
		}
		r, sent, err := n.runOnTransactionConn(q)
		switch {
		case err != nil && n.tx.answered == 0 && time.Now().Add(minRemainingTime).Before(q.deadline):
			// The guest has no answer from the transaction, and all of it was rolled back, so it can be begun again.
			q.last = outcomeOfError(err).withoutOverload()
		case err != nil:
			n.tx.aborted = err.Error()
			return n.fail(q, jacinthtiller.ErrorCodeAborted, "the transaction was rolled back: "+err.Error(), n.s.retryAfter(q))
		case r.ErrorCode == "" && r.State != jacinthtiller.StateTransaction:
			return n.failOutside(q)
		case r.ErrorCode == "":
			if !n.acceptAnswer(n.tx.destination, sent, r, q.deadline) {
				n.abort(errReplaced.Error())
				return n.fail(q, jacinthtiller.ErrorCodeAborted, "the transaction was rolled back: "+errReplaced.Error(), n.s.retryAfter(q))
			}
			n.tx.answered++
			n.tx.wrote = n.tx.wrote || q.write
			n.tx.idleSince = time.Now()
			return n.forwardAnswer(q, r, jacinthtiller.StateTransaction)
		case r.ErrorCode.ProvesNoEffect() && n.tx.answered == 0 && n.s.waitForRetry(n.s.changeSignal(), q.deadline):
			n.rollBackAndRelease()
			q.last = outcomeOfReply(r).withoutOverload()
		case r.ErrorCode == jacinthtiller.ErrorCodeBusy && r.State == jacinthtiller.StateTransaction && n.s.waitForRetry(n.s.changeSignal(), q.deadline):
			q.last = outcomeOfReply(r).withoutOverload()
		default:
			n.abort("a statement failed: " + string(r.ErrorCode))
			return n.forwardAnswer(q, r, jacinthtiller.StateFailed)
		}
		n.s.recordRetry(n, q)
	}
}

// failOutside ends a transaction whose statement ran while none was open at the target. A write has then been committed.
func (n *session) failOutside(q *request) error {
	const reason = "the target has no transaction open"
	n.dropConn(reason)
	n.tx.aborted = reason
	if q.write {
		return n.fail(q, jacinthtiller.ErrorCodeUnknown, reason, 0)
	}
	return n.fail(q, jacinthtiller.ErrorCodeAborted, reason, n.s.retryAfter(q))
}

// runOnTransactionConn runs one statement of the transaction on its connection. An error rolls the transaction back.
func (n *session) runOnTransactionConn(q *request) (r jacinthtiller.Reply, sent time.Time, err error) {
	q.target, q.relayHost = n.tx.conn.Target().Spec().Name, n.tx.conn.RelayHost()
	j := n.newJob(q, jacinthtiller.Position{})
	j.Repeatable = true
	sent = now()
	if r, err = n.tx.conn.Run(j); err != nil {
		n.dropConn("no answer in a transaction")
	}
	return r, sent, err
}

// endTransaction commits the open transaction or rolls it back.
func (n *session) endTransaction(r jacinthtiller.GuestRequest) error {
	q, _ := n.newRequest(r, n.tx.route)
	if r.Kind == jacinthtiller.RequestRollback {
		tx := n.tx
		n.tx, n.state = nil, jacinthtiller.StateIdle
		err := n.conn.ReplyDone(n.state)
		if tx.conn != nil {
			tx.conn.RollBack(n.s.dialect.Rollback())
		}
		return err
	}
	if n.tx.aborted == "" && n.tx.conn == nil && !n.beginAtTarget(q) {
		n.tx.aborted = "it could not be begun"
	}
	tx := n.tx
	n.tx, n.state = nil, jacinthtiller.StateIdle
	if tx.aborted != "" {
		q.noteAbort(tx)
		return n.fail(q, jacinthtiller.ErrorCodeAborted, "the transaction was rolled back: "+tx.aborted, n.s.retryAfter(q))
	}
	return n.commit(q, tx)
}

// commit sends the guest's COMMIT. Once sent, its outcome is known only from the target's answer.
func (n *session) commit(q *request, tx *transaction) error {
	q.target, q.relayHost = tx.conn.Target().Spec().Name, tx.conn.RelayHost()
	if tx.destination.primary != nil && !tx.readOnly {
		if current, _ := n.s.checkPrimary(*tx.destination.primary); !current && !n.s.confirmPrimary(*tx.destination.primary, q.deadline) {
			tx.conn.RollBack(n.s.dialect.Rollback())
			return n.fail(q, jacinthtiller.ErrorCodeAborted, "the transaction was rolled back: "+errReplaced.Error(), n.s.retryAfter(q))
		}
	}
	j := n.newJob(q, jacinthtiller.Position{})
	j.Repeatable = tx.readOnly
	var seen jacinthtiller.Position
	if tx.destination.primary != nil {
		seen = n.s.lastSeen(*tx.destination.primary)
	}
	sent := now()
	n.activeConn = tx.conn
	r, err := tx.conn.Run(j)
	n.activeConn = nil
	if err != nil {
		tx.conn.Drop("no answer to a commit")
		if notRun(err) || tx.readOnly {
			return n.fail(q, jacinthtiller.ErrorCodeAborted, "the transaction was rolled back: "+err.Error(), n.s.retryAfter(q))
		}
		return n.fail(q, jacinthtiller.ErrorCodeUnknown, "the primary did not answer to the commit: "+err.Error(), 0)
	}
	release(tx.conn, r)
	if r.ErrorCode != "" {
		return n.forwardAnswer(q, r, jacinthtiller.StateIdle)
	}
	if tx.wrote && tx.destination.primary != nil {
		n.s.recordAcknowledged(*tx.destination.primary, seen, r.Position)
	}
	if !n.acceptAnswer(tx.destination, sent, r, q.deadline) {
		if tx.readOnly {
			return n.fail(q, jacinthtiller.ErrorCodeAborted, errReplaced.Error(), n.s.retryAfter(q))
		}
		return n.fail(q, jacinthtiller.ErrorCodeUnknown, "the primary was being replaced when it answered", 0)
	}
	if !tx.readOnly {
		n.recordCommit(r.Position)
	}
	return n.forwardAnswer(q, r, jacinthtiller.StateIdle)
}
