package statement

import (
	"encoding/hex"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/pool"
)

// routeWaitTimeout bounds how long a new session waits until the host has its routes; guests give up after 2 s.
const routeWaitTimeout = 1700 * time.Millisecond

// admissionPercent is the part of a statement's time that it may wait for admission to an overloaded target. After that it
// is refused with a retry hint, so that the guest has time left to retry.
const admissionPercent = 45

// heldAdmissionPercent is the same for a request that was held for lack of a lease or a primary, and for the first request
// of a session whose startup was held: the peak after an outage is short, and the guest has not waited for capacity yet.
const heldAdmissionPercent = 90

// minHold is how long a startup or a request must wait to count as held.
const minHold = 50 * time.Millisecond

// session is the state of one guest's connection.
type session struct {
	s         *Server
	conn      *sessionConn
	routeName string
	// guest is the name that the guest gave at startup, which is not kept where guests have keys: there it is account.
	guest string
	// guestIsAccount is true once guest has been replaced by an account's name.
	guestIsAccount bool
	// key is the digest of what the guest gave at startup.
	key jacinthtiller.KeyDigest
	// account is the account of the current operation; empty for a guest without one. It does not change in a transaction.
	account string
	// arrived is when the current request arrived.
	arrived time.Time
	// state is the transaction state that the guest was last told.
	state byte
	// values and prepared are the acknowledged session values and prepared statements.
	values   map[string]string
	prepared map[string]*jacinthtiller.PreparedStatement
	// mark is the position of the session's newest commit, acknowledged at markedAt on the clock of package clock.
	mark     jacinthtiller.Position
	markedAt time.Time
	// tx is the open transaction; nil outside one.
	tx *transaction
	// activeConn is the connection on which a single statement, or the begin or commit of a transaction, is running; else
	// nil. It is dropped if a panic ends the session.
	activeConn *pool.Conn
	// quietSince is when the guest was last told that the session is ready for a request.
	quietSince time.Time
	// ended is true once the guest has been told all that it will be told.
	ended atomic.Bool
	// waitingSince is when a guest whose startup was held began to wait; zero otherwise.
	waitingSince time.Time
}

func newSession(s *Server, conn jacinthtiller.GuestConn) *session {
	return &session{s: s, conn: &sessionConn{GuestConn: conn, state: jacinthtiller.StateIdle}, state: jacinthtiller.StateIdle}
}

// serve runs the session to its end. A panic ends only this session: the guest's connection is closed without an answer,
// and the session's resources are released.
func (n *session) serve() {
	defer func() {
		n.ended.Store(true)
		_ = n.conn.Close() // may wait for the guest
	}()
	accepted := false
	duty.Run(n.s.events, "accept a session", nil, func() { accepted = n.acceptSession() })
	if !accepted {
		return
	}
	logFields := event.Fields{"guest": n.guestName(), "route": n.routeName}
	duty.Run(n.s.events, "serve a guest", logFields, func() { n.serveRequests(logFields) })
	duty.Run(n.s.events, "end a session", logFields, n.releaseAll)
	n.logUnanswered()
}

// serveRequests answers requests until the guest disconnects. It stores the id of the current request in logFields.
func (n *session) serveRequests(logFields event.Fields) {
	n.quietSince = time.Now()
	for {
		r, err := n.conn.Next(n.idleDeadline())
		switch {
		case errors.Is(err, jacinthtiller.ErrWaitInterrupted):
			if n.handleWake() {
				return
			}
			continue
		case err != nil:
			return
		}
		logFields["request"], logFields["guest"] = r.ID, n.guestName()
		// A guest whose request is served may send the next one at once, so its session closes only while it is idle.
		ends := n.endsAfterAnswer()
		if err := n.handle(r); err != nil || ends {
			return
		}
		n.quietSince = time.Now()
	}
}

// acceptSession reads the startup message, waits for the route and accepts or rejects the guest.
func (n *session) acceptSession() bool {
	name, guest, err := n.conn.ReadStartup()
	if err != nil {
		return false
	}
	n.routeName, n.guest, n.key = name, guest, jacinthtiller.DigestKey(guest)
	if n.s.rejectsSessions() {
		return n.rejectForStop()
	}
	startupAt := time.Now()
	a, certain := n.s.awaitAccess(name, n.key, startupAt.Add(routeWaitTimeout))
	switch {
	case a.refused == "":
		n.setAccount(a)
	case n.s.stopStep() >= stepRefuse:
		return n.rejectForStop()
	case !certain:
		_ = n.conn.RejectStartup(jacinthtiller.ErrorCodeBusy, reasonNotCurrent)
		return false
	case a.refused == jacinthtiller.ErrorCodeNoRoute:
		n.logNoRoute()
		_ = n.conn.RejectStartup(a.refused, "no database has this name")
		return false
	default:
		n.logNoAccount("")
		_ = n.conn.RejectStartup(a.refused, reasonNoAccount)
		return false
	}
	if time.Since(startupAt) > minHold {
		n.waitingSince = startupAt
	}
	return n.conn.AcceptSession() == nil
}

// rejectForStop rejects the guest because the host stops, and returns false.
func (n *session) rejectForStop() bool {
	n.s.events.Emit(event.SessionRejected, event.Fields{
		"guest": n.guestName(), "route": n.s.accounts.Load().loggedRoute(n.routeName), "reason": reasonStopping,
	})
	_ = n.conn.RejectStartup(jacinthtiller.ErrorCodeBusy, reasonStopping)
	return false
}

// idleDeadline returns when the transaction is rolled back if the guest stays idle; zero means never.
func (n *session) idleDeadline() time.Time {
	if n.tx == nil || n.tx.conn == nil {
		return time.Time{}
	}
	e := n.s.view.Load().Edition
	if e == nil || e.IdleTransactionMilliseconds == 0 {
		return time.Time{}
	}
	return n.tx.idleSince.Add(time.Duration(e.IdleTransactionMilliseconds) * time.Millisecond)
}

// handleWake handles the end of a wait without a request and reports whether the session must close.
func (n *session) handleWake() bool {
	step := n.s.stopStep()
	if n.tx == nil {
		return step >= stepAnswer || step >= stepCloseIdle && time.Since(n.quietSince) >= minQuiet
	}
	if end := n.idleDeadline(); !end.IsZero() && !time.Now().Before(end) {
		n.abort("the guest rested for too long in its transaction")
	}
	if step >= stepRefuse {
		n.abort(reasonStopping) // the guest is told with its next request
	}
	return step >= stepAnswer || n.s.abortNoticeEnded()
}

func (n *session) handle(r jacinthtiller.GuestRequest) error {
	n.arrived = time.Now()
	endsTransaction := r.Kind == jacinthtiller.RequestCommit || r.Kind == jacinthtiller.RequestRollback
	if n.state == jacinthtiller.StateFailed && !endsTransaction {
		return n.conn.ReplyError(jacinthtiller.ErrorCodeMalformed, "the transaction has failed; end it first", 0, n.state)
	}
	switch {
	case n.tx == nil && n.stopRefuses(r.Kind):
		return n.refuseForStop(r)
	case n.tx != nil && n.s.stopStep() >= stepRefuse && !endsTransaction:
		n.abort(reasonStopping)
		q, _ := n.newRequest(r, n.tx.route)
		return n.failAborted(q)
	}
	switch r.Kind {
	case jacinthtiller.RequestSet:
		if n.values == nil {
			n.values = map[string]string{}
		}
		n.values[r.Name] = r.Arguments
		return n.conn.ReplyDone(n.state)
	case jacinthtiller.RequestPrepare:
		n.prepare(r)
		return n.conn.ReplyDone(n.state)
	case jacinthtiller.RequestDeallocate:
		delete(n.prepared, r.Name)
		return n.conn.ReplyDone(n.state)
	case jacinthtiller.RequestBegin, jacinthtiller.RequestBeginRead:
		if n.tx != nil {
			return n.conn.ReplyError(jacinthtiller.ErrorCodeMalformed, "a transaction is open already", 0, n.state)
		}
		return n.begin(r)
	case jacinthtiller.RequestCommit, jacinthtiller.RequestRollback:
		if n.tx == nil {
			return n.conn.ReplyError(jacinthtiller.ErrorCodeMalformed, "no transaction is open", 0, n.state)
		}
		return n.endTransaction(r)
	case jacinthtiller.RequestRead, jacinthtiller.RequestWrite, jacinthtiller.RequestExecute:
		return n.runStatement(r)
	}
	n.s.events.Emit(event.RequestMalformed, event.Fields{
		"request": r.ID, "guest": n.guestName(), "route": n.s.accounts.Load().loggedRoute(n.routeName), "verb": string(r.Kind), "bytes": len(r.Text),
		"state": string(n.state),
	})
	if r.Kind == jacinthtiller.RequestTooLarge {
		return n.conn.ReplyError(jacinthtiller.ErrorCodeTooLarge, "the request is too long", 0, n.state)
	}
	return n.conn.ReplyError(jacinthtiller.ErrorCodeMalformed, "not a request that is known here", 0, n.state)
}

// prepare stores a prepared statement under a name derived from its access and shape, so that guests can share it on pooled
// connections and their own names do not collide.
func (n *session) prepare(r jacinthtiller.GuestRequest) {
	if n.prepared == nil {
		n.prepared = map[string]*jacinthtiller.PreparedStatement{}
	}
	var sum [8]byte
	h := xxhash.Sum64String(string(r.Access) + " " + r.Arguments)
	for i := range sum {
		sum[i] = byte(h >> (8 * i))
	}
	name := "p" + hex.EncodeToString(sum[:])
	n.prepared[r.Name] = &jacinthtiller.PreparedStatement{Name: name, Access: r.Access, Shape: r.Arguments}
}

// request is a guest's request and the state of its execution.
type request struct {
	jacinthtiller.GuestRequest
	// text is the text sent to the target.
	text  string
	write bool
	// statement is the prepared statement that the request runs; nil when it runs none.
	statement *jacinthtiller.PreparedStatement
	arrived   time.Time
	// deadline is the end of the route's statement timeout.
	deadline time.Time
	// admitUntil is until when the request may wait for admission to a target.
	admitUntil time.Time
	// usefulUntil is the end of the route's latency objective.
	usefulUntil time.Time
	route       jacinthtiller.Route
	attempts    int
	// last is the outcome of the last attempt; zero before the first has failed.
	last outcome
	// held is why the request had to wait before an attempt: for the lease or for a primary; empty if it did not.
	held failureCause
	// target is the target of the last attempt, and relayHost the host that relayed to it, if any.
	target, relayHost string
}

// newRequest returns the request with its limits under the route, and false if its prepared statement is unknown.
func (n *session) newRequest(r jacinthtiller.GuestRequest, route jacinthtiller.Route) (*request, bool) {
	now := n.arrived
	q := &request{
		GuestRequest: r, text: r.Text, write: r.Kind == jacinthtiller.RequestWrite, route: route, arrived: now,
		deadline: n.s.beforeStop(now.Add(time.Duration(route.StatementMilliseconds) * time.Millisecond)),
	}
	percent := int64(admissionPercent)
	if !n.waitingSince.IsZero() {
		percent = heldAdmissionPercent
	}
	q.admitUntil = admissionEnd(now, route, percent)
	if ms := route.ObjectiveMilliseconds; ms > 0 {
		waitStart := now
		if !n.waitingSince.IsZero() {
			waitStart, n.waitingSince = n.waitingSince, time.Time{}
			q.held = causeNoLease
		}
		q.usefulUntil = waitStart.Add(time.Duration(ms) * time.Millisecond)
	}
	if r.Kind == jacinthtiller.RequestExecute {
		p, ok := n.prepared[r.Name]
		if !ok {
			return q, false
		}
		q.write, q.statement = p.Access == jacinthtiller.AccessWrite, p
		q.text = n.s.dialect.Execute(p.Name, r.Arguments)
	}
	return q, true
}

// extendAdmission sets the longer admission time of a request that was held for lack of a lease or a primary.
func (q *request) extendAdmission(hold failureCause) {
	q.held = hold
	q.admitUntil = admissionEnd(q.arrived, q.route, heldAdmissionPercent)
}

// admissionEnd returns until when a request that arrived at the given time may wait for admission to a target.
func admissionEnd(arrived time.Time, route jacinthtiller.Route, percent int64) time.Time {
	return arrived.Add(time.Duration(route.StatementMilliseconds*percent) * time.Millisecond / 100)
}

// runStatement runs a read, a write or a prepared statement.
func (n *session) runStatement(r jacinthtiller.GuestRequest) error {
	if n.tx != nil {
		q, ok := n.newRequest(r, n.tx.route)
		if !ok {
			n.abort("a statement is not prepared")
			return n.fail(q, jacinthtiller.ErrorCodeNoStatement, "no statement is prepared under this name", 0)
		}
		return n.runInTransaction(q)
	}
	q, ok, err := n.startOperation(r)
	switch {
	case !ok:
		return err
	case q.write:
		return n.write(q)
	}
	return n.read(q)
}

// fail answers a request with an error and logs it.
func (n *session) fail(q *request, code jacinthtiller.ErrorCode, reason string, retryAfterMilliseconds int64) error {
	if n.tx != nil && q.Kind != jacinthtiller.RequestCommit && q.Kind != jacinthtiller.RequestRollback {
		n.state = jacinthtiller.StateFailed
	}
	n.s.recordFailure(n, q, code, reason)
	return n.conn.ReplyError(code, reason, retryAfterMilliseconds, n.state)
}

// forwardAnswer answers a request with the target's reply.
func (n *session) forwardAnswer(q *request, r jacinthtiller.Reply, state byte) error {
	n.state = state
	if r.ErrorCode != "" {
		n.s.recordFailure(n, q, r.ErrorCode, "the target's own answer: "+r.ErrorText)
	} else {
		n.s.recordSuccess(n, q)
	}
	return n.conn.ForwardReply(r, state)
}
