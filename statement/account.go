package statement

import (
	"errors"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// viewCatchUpTime is how long after the start of a lease the host's view may lack a key that was added while the host had no
// lease: control renews the lease of a host whose view is up to 1 s behind.
const viewCatchUpTime = time.Second

// accountIndex is an edition with the look-up of its accounts by key. It is never modified.
type accountIndex struct {
	// edition is nil until the host has one.
	edition *jacinthtiller.Edition
	// byKey is nil unless the edition requires keys.
	byKey map[jacinthtiller.KeyDigest]jacinthtiller.Account
	// secretNames is true once an edition that requires keys has been in force: what guests send may be a key from then on,
	// also under an edition without accounts.
	secretNames bool
}

// withEdition returns the index of an edition. A change of other parts of the view keeps the edition and its index.
func (x *accountIndex) withEdition(e *jacinthtiller.Edition) *accountIndex {
	if x.edition == e {
		return x
	}
	out := &accountIndex{edition: e, secretNames: x.secretNames}
	if out.requiresKeys() {
		out.secretNames = true
		out.byKey = e.AccountsByKey()
	}
	return out
}

// requiresKeys reports whether guests need a key, so that what they sent at startup is a secret.
func (x *accountIndex) requiresKeys() bool { return x.edition != nil && x.edition.RequiresKeys }

// access is what an edition grants to a guest.
type access struct {
	// refused is ErrorCodeNoRoute or ErrorCodeNoAccount if the edition lacks the route or the key; empty when access is granted.
	refused jacinthtiller.ErrorCode
	// route is zero if the edition lacks it.
	route jacinthtiller.Route
	// account is the name of the guest's account; empty for a guest without one.
	account string
	// keyed is true if the edition requires keys.
	keyed bool
}

// access returns what the edition grants to a guest that asks for a route with a key.
func (x *accountIndex) access(route string, key jacinthtiller.KeyDigest) access {
	if x.edition == nil {
		return access{refused: jacinthtiller.ErrorCodeNoRoute}
	}
	r, ok := x.edition.Routes[route]
	if !ok {
		return access{refused: jacinthtiller.ErrorCodeNoRoute}
	}
	a := access{route: r, account: x.byKey[key].Name, keyed: x.requiresKeys()}
	if a.keyed && !r.Public && a.account == "" {
		a.refused = jacinthtiller.ErrorCodeNoAccount
	}
	return a
}

// loggedRoute returns the name of a route for logs. A name that no route has may be a key that a guest sent in its place.
func (x *accountIndex) loggedRoute(name string) string {
	if x.edition == nil {
		return ""
	}
	if _, ok := x.edition.Routes[name]; !ok && x.secretNames {
		return ""
	}
	return name
}

// refusalCertainAt returns when the host may refuse a guest with a code that x gave, if x stays in force until then. It returns
// false while x may be outdated, because the host has no edition or no lease.
func (s *Server) refusalCertainAt(x *accountIndex, code jacinthtiller.ErrorCode) (time.Time, bool) {
	switch {
	case x.edition == nil || !s.lease.Load().Valid(now()):
		return time.Time{}, false
	case code == jacinthtiller.ErrorCodeNoAccount:
		return s.leasedSince.Load().Add(viewCatchUpTime), true
	}
	return time.Time{}, true
}

// awaitAccess waits until the guest has access, or the host is certain that it has none, or rejects guests for its stop: after
// its start the host has no view, and without a lease its view may be outdated. It returns false if a refusal is not certain at
// the deadline.
func (s *Server) awaitAccess(route string, key jacinthtiller.KeyDigest, deadline time.Time) (a access, certain bool) {
	for {
		changed := s.changeSignal()
		x := s.accounts.Load()
		a = x.access(route, key)
		at, known := s.refusalCertainAt(x, a.refused)
		if a.refused == "" || known && !time.Now().Before(at) {
			return a, true
		}
		waitUntil := deadline
		if known && at.Before(deadline) {
			waitUntil = at
		}
		if s.stopStep() >= stepRefuse || !s.waitForChange(changed, waitUntil) && !time.Now().Before(deadline) {
			return a, false
		}
	}
}

// guestName returns the guest's name for logs and queues: the name of its account where guests have or had keys, else the name
// that it gave at startup. A guest of a host without an edition has none, because the name may be a key.
func (n *session) guestName() string {
	switch x := n.s.accounts.Load(); {
	case x.edition == nil:
		return ""
	case x.requiresKeys(), x.secretNames && !n.guestIsAccount:
		return n.account
	}
	return n.guest
}

// setAccount puts the guest's account in force. Where guests have keys, it replaces the name that the guest gave.
func (n *session) setAccount(a access) {
	n.account = a.account
	if a.keyed {
		n.guest, n.guestIsAccount = a.account, true
	}
}

// errNoRoute and errNoAccount end a session whose route or key has been removed.
var (
	errNoRoute   = errors.New("the route has been removed")
	errNoAccount = errors.New("the guest's key has been removed")
)

// authorize returns the route of an operation that begins now, and puts the guest's account in force. If it returns false, the
// request has been answered; the session ends if the error is not nil, because the route or the key has been removed.
func (n *session) authorize(r jacinthtiller.GuestRequest) (jacinthtiller.Route, bool, error) {
	a, certain := n.s.accounts.Load().access(n.routeName, n.key), true
	if a.refused == jacinthtiller.ErrorCodeNoAccount {
		a, certain = n.s.awaitAccess(n.routeName, n.key, admissionEnd(n.arrived, a.route, admissionPercent))
	}
	switch {
	case a.refused == "":
		n.setAccount(a)
		return a.route, true, nil
	case a.refused == jacinthtiller.ErrorCodeNoRoute:
		n.logNoRoute()
		return a.route, false, n.end(a.refused, "no database has this name", errNoRoute)
	case !certain:
		q, _ := n.newRequest(r, a.route)
		q.last = outcome{reason: reasonNotCurrent, cause: causeNoLease}
		return a.route, false, n.fail(q, jacinthtiller.ErrorCodeBusy, "not run: "+reasonNotCurrent, n.s.retryAfter(q))
	}
	n.logNoAccount(r.ID)
	return a.route, false, n.end(a.refused, reasonNoAccount, errNoAccount)
}

const (
	// reasonNotCurrent is what guests are told that a host can't serve because its configuration may be outdated.
	reasonNotCurrent = "the host has no configuration that is up to date"
	// reasonNoAccount is what guests are told whose key no account has.
	reasonNoAccount = "no account has this key"
)

// end answers a request with the reason why its session ends, and returns the cause.
func (n *session) end(code jacinthtiller.ErrorCode, reason string, cause error) error {
	if err := n.conn.ReplyError(code, reason, 0, jacinthtiller.StateIdle); err != nil {
		return err
	}
	return cause
}

func (n *session) logNoRoute() {
	x := n.s.accounts.Load()
	f := event.Fields{"route": x.loggedRoute(n.routeName), "index": n.s.view.Load().Index}
	if x.edition != nil {
		f["edition"] = x.edition.Number
	}
	n.s.events.Emit(event.GuestWithoutRoute, f)
}

// logNoAccount logs that the guest's key belongs to no account. The request is empty for a guest that was refused at startup;
// the account is the one that the session had until now.
func (n *session) logNoAccount(request string) {
	when := refusedAtStartup
	if request != "" {
		when = refusedAtOperation
	}
	n.s.metrics.countRefusedKey(when)
	f := event.Fields{"route": n.routeName, "request": request, "account": n.account, "refused-at": when, "index": n.s.view.Load().Index}
	if e := n.s.accounts.Load().edition; e != nil {
		f["edition"] = e.Number
	}
	n.s.events.Emit(event.GuestWithoutAccount, f)
}

// startOperation returns the request of an operation outside a transaction once the guest is authorized and the limit of its
// account admits the operation. If it returns false, the request has been answered; the session ends if the error is not nil.
func (n *session) startOperation(r jacinthtiller.GuestRequest) (*request, bool, error) {
	route, ok, err := n.authorize(r)
	if !ok {
		return nil, false, err
	}
	q, ok := n.newRequest(r, route)
	if !ok {
		return q, false, n.fail(q, jacinthtiller.ErrorCodeNoStatement, "no statement is prepared under this name", 0)
	}
	ok, err = n.takeToken(q)
	return q, ok, err
}
