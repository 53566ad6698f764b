package statement

import (
	"encoding/hex"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/pool"
)

// routeWaitTimeout is how long a guest's greeting waits for the host to know its routes; guests give up after 2 s.
const routeWaitTimeout = 1700 * time.Millisecond

// admissionPercent is the part of a statement's time that it may wait for room at targets that have too much work. After that
// it is refused, with a time to come back: a guest that waits to the end of its time has none left to try again.
const admissionPercent = 45

// heldAdmissionPercent is the same for a request that was held for want of control or of a primary, and for the first one of a
// guest whose greeting was: the crowd after an outage passes soon, and this guest has waited already, but not for room.
const heldAdmissionPercent = 90

// minHold is how long a greeting or a request may be held without counting as held.
const minHold = 50 * time.Millisecond

// session is one guest's connection.
type session struct {
	s         *Server
	conn      jacinthtiller.GuestConn
	routeName string // of the route
	guest     string
	// state is what the guest was told last.
	state byte
	// values and prepared are what was acknowledged to the guest.
	values   map[string]string
	prepared map[string]*jacinthtiller.PreparedStatement
	// mark is the newest commit of this session, and marked when it was acknowledged, on the clock of package clock.
	mark     jacinthtiller.Position
	markedAt time.Time
	// tx is the open transaction; nil outside one.
	tx *transaction
	// activeConn is the connection on which a single statement, the start or the commit of a transaction runs; nil at other
	// times. It is given up with the session when a fault of the program ends that.
	activeConn *pool.Conn
	// waitingSince is when the guest began to wait for the answer to its next request; zero unless its greeting was held.
	waitingSince time.Time
}

// serve runs the session to its end. A fault of the program ends this session only: its guest sees a connection that
// breaks, which promises nothing, and what the session holds is given up.
func (n *session) serve() {
	defer func() { _ = n.conn.Close() }()
	accepted := false
	duty.Run(n.s.events, "greet a guest", nil, func() { accepted = n.acceptGreeting() })
	if !accepted {
		return
	}
	logFields := event.Fields{"guest": n.guest, "route": n.routeName}
	duty.Run(n.s.events, "serve a guest", logFields, func() { n.serveRequests(logFields) })
	duty.Run(n.s.events, "end a session", logFields, n.releaseAll)
}

// serveRequests answers requests until the guest is gone. It keeps the id of the present request in about.
func (n *session) serveRequests(logFields event.Fields) {
	for {
		r, err := n.conn.Next(n.idleDeadline())
		switch {
		case errors.Is(err, jacinthtiller.ErrWoken):
			if n.handleWake() {
				return
			}
			continue
		case err != nil:
			return
		}
		logFields["request"] = r.ID
		if err := n.handle(r); err != nil {
			return
		}
	}
}

// acceptGreeting reads what the guest asks for and welcomes or refuses it.
func (n *session) acceptGreeting() bool {
	name, guest, err := n.conn.Greeting()
	if err != nil {
		return false
	}
	n.routeName, n.guest = name, guest
	greetedAt := time.Now()
	v, known := n.s.awaitRoute(name)
	if !known && (v.Edition == nil || !n.s.lease.Load().Valid(now())) {
		_ = n.conn.Refuse(jacinthtiller.FailBusy, "the host has no configuration that is up to date")
		return false
	}
	if !known {
		n.s.events.Emit(event.GuestWithoutRoute, event.Fields{"route": name, "edition": v.Edition.Number, "index": v.Index})
		_ = n.conn.Refuse(jacinthtiller.FailNoRoute, "no database has this name")
		return false
	}
	if time.Since(greetedAt) > minHold {
		n.waitingSince = greetedAt
	}
	return n.conn.Welcome() == nil
}

// awaitRoute waits for a short time until the route is known, or until the host can be sure that there is none: right
// after its start it has no view, and without a lease its view may be old.
func (s *Server) awaitRoute(name string) (*jacinthtiller.View, bool) {
	deadline := time.Now().Add(routeWaitTimeout)
	for {
		changed := s.changeSignal()
		v := s.view.Load()
		if v.Edition != nil {
			if _, ok := v.Edition.Routes[name]; ok {
				return v, true
			}
			if s.lease.Load().Valid(now()) {
				return v, false
			}
		}
		if !s.waitForChange(changed, deadline) {
			return v, false
		}
	}
}

// idleDeadline returns until when the guest may rest before its transaction is rolled back; zero for ever.
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

// handleWake acts on the end of a wait without a request and reports whether the session is to be closed.
func (n *session) handleWake() bool {
	if n.tx == nil {
		return n.s.closesIdleSessions()
	}
	if end := n.idleDeadline(); !end.IsZero() && !time.Now().Before(end) {
		n.abort("the guest rested for too long in its transaction")
	}
	if n.s.abortsTransactions() {
		n.abort("the host is stopping")
	}
	return n.s.abortsTransactions()
}

// handle runs one request and answers it.
func (n *session) handle(r jacinthtiller.GuestRequest) error {
	if n.state == jacinthtiller.StateFailed && r.Verb != jacinthtiller.VerbCommit && r.Verb != jacinthtiller.VerbRollback {
		return n.conn.Fail(jacinthtiller.FailMalformed, "the transaction has failed; end it first", 0, n.state)
	}
	switch r.Verb {
	case jacinthtiller.VerbSet:
		if n.values == nil {
			n.values = map[string]string{}
		}
		n.values[r.Name] = r.Rest
		return n.conn.Done(n.state)
	case jacinthtiller.VerbPrepare:
		n.prepare(r)
		return n.conn.Done(n.state)
	case jacinthtiller.VerbDeallocate:
		delete(n.prepared, r.Name)
		return n.conn.Done(n.state)
	case jacinthtiller.VerbBegin, jacinthtiller.VerbBeginRead:
		if n.tx != nil {
			return n.conn.Fail(jacinthtiller.FailMalformed, "a transaction is open already", 0, n.state)
		}
		return n.begin(r)
	case jacinthtiller.VerbCommit, jacinthtiller.VerbRollback:
		if n.tx == nil {
			return n.conn.Fail(jacinthtiller.FailMalformed, "no transaction is open", 0, n.state)
		}
		return n.endTransaction(r)
	case jacinthtiller.VerbRead, jacinthtiller.VerbWrite, jacinthtiller.VerbExecute:
		return n.runStatement(r)
	}
	if r.Verb == jacinthtiller.VerbTooLarge {
		return n.conn.Fail(jacinthtiller.FailTooLarge, "the request is too long", 0, n.state)
	}
	return n.conn.Fail(jacinthtiller.FailMalformed, "not a request that is known here", 0, n.state)
}

// prepare notes a prepared statement under a name that depends only on what it does, so that pooled connections can
// share it between guests whose names collide.
func (n *session) prepare(r jacinthtiller.GuestRequest) {
	if n.prepared == nil {
		n.prepared = map[string]*jacinthtiller.PreparedStatement{}
	}
	var sum [8]byte
	h := xxhash.Sum64String(string(r.Access) + " " + r.Rest)
	for i := range sum {
		sum[i] = byte(h >> (8 * i))
	}
	name := "p" + hex.EncodeToString(sum[:])
	n.prepared[r.Name] = &jacinthtiller.PreparedStatement{Name: name, Access: r.Access, Shape: r.Rest}
}

// request is a guest's request on its way to a target.
type request struct {
	jacinthtiller.GuestRequest
	// text is what the target gets.
	text  string
	write bool
	// statement is the prepared statement that the request runs; nil when it runs none.
	statement *jacinthtiller.PreparedStatement
	arrived   time.Time
	// deadline is the end of the route's time for one statement.
	deadline time.Time
	// admitUntil is until when the request may wait for room at a target.
	admitUntil time.Time
	// usefulUntil is the end of the route's objective.
	usefulUntil time.Time
	route       jacinthtiller.Route
	attempts    int
	reason      string
	// overloaded is true when the last try failed for want of room or because the target was behind.
	overloaded bool
	// queueFull is true when the last try failed because so many wait for the target that waiting was of no use.
	queueFull bool
	// target is the one tried last, and relayHost the host that relayed to it.
	target, relayHost string
}

// newRequest finds out what a request does, under the route in force.
func (n *session) newRequest(r jacinthtiller.GuestRequest, route jacinthtiller.Route) (*request, bool) {
	now := time.Now()
	q := &request{
		GuestRequest: r, text: r.Text, write: r.Verb == jacinthtiller.VerbWrite, route: route, arrived: now,
		deadline: now.Add(time.Duration(route.StatementMilliseconds) * time.Millisecond),
	}
	percent := time.Duration(admissionPercent)
	if !n.waitingSince.IsZero() {
		percent = heldAdmissionPercent
	}
	q.admitUntil = now.Add(time.Duration(route.StatementMilliseconds) * time.Millisecond * percent / 100)
	if ms := route.ObjectiveMilliseconds; ms > 0 {
		waitStart := now
		if !n.waitingSince.IsZero() {
			waitStart, n.waitingSince = n.waitingSince, time.Time{}
		}
		q.usefulUntil = waitStart.Add(time.Duration(ms) * time.Millisecond)
	}
	if r.Verb == jacinthtiller.VerbExecute {
		p, ok := n.prepared[r.Name]
		if !ok {
			return q, false
		}
		q.write, q.statement = p.Access == jacinthtiller.AccessWrite, p
		q.text = n.s.dialect.Execute(p.Name, r.Rest)
	}
	return q, true
}

// extendAdmission gives a request that had to wait for control or for a primary the time of such a one to wait for room.
func (q *request) extendAdmission() {
	q.admitUntil = q.arrived.Add(time.Duration(q.route.StatementMilliseconds) * time.Millisecond * heldAdmissionPercent / 100)
}

// runStatement runs a request that a target has to run.
func (n *session) runStatement(r jacinthtiller.GuestRequest) error {
	if n.tx != nil {
		q, ok := n.newRequest(r, n.tx.route)
		if !ok {
			n.abort("a statement is not prepared")
			return n.fail(q, jacinthtiller.FailNoStatement, "no statement is prepared under this name", 0)
		}
		return n.runInTransaction(q)
	}
	route, err := n.route()
	if err != nil {
		return err
	}
	q, ok := n.newRequest(r, route)
	switch {
	case !ok:
		return n.fail(q, jacinthtiller.FailNoStatement, "no statement is prepared under this name", 0)
	case q.write:
		return n.write(q)
	}
	return n.read(q)
}

var errNoRoute = errors.New("the route is gone")

// route returns the route in force. A guest whose route is gone gets the error and loses its connection.
func (n *session) route() (jacinthtiller.Route, error) {
	v := n.s.view.Load()
	if v.Edition != nil {
		if r, ok := v.Edition.Routes[n.routeName]; ok {
			return r, nil
		}
	}
	n.s.events.Emit(event.GuestWithoutRoute, event.Fields{"route": n.routeName, "index": v.Index})
	if err := n.conn.Fail(jacinthtiller.FailNoRoute, "no database has this name", 0, jacinthtiller.StateIdle); err != nil {
		return jacinthtiller.Route{}, err
	}
	return jacinthtiller.Route{}, errNoRoute
}

// fail answers a request with an error and logs why.
func (n *session) fail(q *request, code jacinthtiller.FailCode, reason string, retryAfterMilliseconds int64) error {
	if n.tx != nil && q.Verb != jacinthtiller.VerbCommit && q.Verb != jacinthtiller.VerbRollback {
		n.state = jacinthtiller.StateFailed
	}
	n.s.recordFailure(n, q, code, reason)
	return n.conn.Fail(code, reason, retryAfterMilliseconds, n.state)
}

// forwardAnswer answers a request with what the target answered.
func (n *session) forwardAnswer(q *request, r jacinthtiller.Reply, state byte) error {
	n.state = state
	if r.Fail != "" {
		n.s.recordFailure(n, q, r.Fail, "the target's own answer: "+r.FailText)
	} else {
		n.s.recordSuccess(n, q)
	}
	return n.conn.Pass(r, state)
}
