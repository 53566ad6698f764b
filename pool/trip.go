package pool

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// cleanLimit bounds the cleaning of a connection after its work; a target that takes longer costs a new connection.
	cleanLimit = 300 * time.Millisecond
	// suspectAfter is how long an answer may take before the way to the target is tried on another connection. It is
	// several times the work of a usual statement.
	suspectAfter = 350 * time.Millisecond
	// suspectEvery is the time between looks at a suspected way.
	suspectEvery = 100 * time.Millisecond
	// slowAfter and slowFactor say when an answer counts as lost although the target can be reached: after the time, and
	// after as many times the usual time of a statement there. A request that may be repeated is then sent again.
	slowAfter  = 450 * time.Millisecond
	slowFactor = 6
)

// ErrSlow means that an answer takes so much longer than usual that it has probably been lost.
var ErrSlow = errors.New("the answer is overdue")

// ErrSilent means that the target neither answers nor takes connections.
var ErrSilent = errors.New("the target does not answer")

var errLostNow = errors.New("it could not be reached a moment ago")

// Trip is the path of one guest's work to a target: a single statement, or a transaction. It is used by one goroutine
// at a time.
type Trip struct {
	t *Target
	w *way
	// own is the host's own connection, and relay the path through another host; one of them is set.
	own   *conn
	relay jacinthtiller.RelayConn
	// sentAt is when the last order was sent.
	sentAt time.Time
	// running is true from the start of a statement to its end.
	running bool
	// free is true when the other host has ended the trip by itself, so that its path can be used for another one.
	free bool
}

// Open begins a trip for the errand, by the host's own connection or through another host. Errors prove that nothing ran.
func (t *Target) Open(e jacinthtiller.Errand) (*Trip, error) {
	w := t.pick(time.Now())
	if w == nil {
		return nil, &NoTargetError{Target: t.name, Cause: errLostNow}
	}
	if w == t.own {
		return t.OpenOwn(e)
	}
	c := w.take()
	if c == nil {
		var err error
		if c, err = t.dialRelay(w, e.Deadline); err != nil {
			return nil, &NoTargetError{Target: t.name, Cause: err}
		}
	}
	return &Trip{t: t, w: w, relay: c, free: true}, nil
}

// OpenOwn begins a trip by the host's own connection. A target that it could not reach a moment ago is not waited for.
func (t *Target) OpenOwn(e jacinthtiller.Errand) (*Trip, error) {
	if !t.own.usable(time.Now()) {
		return nil, &NoTargetError{Target: t.name, Cause: errLostNow}
	}
	t.begun(1)
	defer t.begun(-1) // from here on the statement that runs counts
	c, err := t.openOwn(e)
	if err != nil {
		return nil, err
	}
	return &Trip{t: t, w: t.own, own: c}, nil
}

// Target returns the target of the trip.
func (tr *Trip) Target() *Target { return tr.t }

// Through returns the host that relays the trip; empty for the host's own connection.
func (tr *Trip) Through() string { return tr.w.host }

// Run sends the errand's order and waits for the answer until the errand's deadline, or less when the order is
// repeatable and the target is found to be out of reach. A *jacinthtiller.NotSentError proves that it did not run; after
// any error the trip must be dropped.
func (tr *Trip) Run(e jacinthtiller.Errand) (jacinthtiller.Reply, error) {
	if !tr.running {
		tr.running = true
		tr.t.begun(1)
	}
	defer tr.done()
	tr.free = false
	var err error
	if tr.own != nil {
		err = tr.own.start(e)
	} else {
		err = tr.relay.Start(e)
	}
	if err != nil {
		tr.t.suspect(tr.w)
		return jacinthtiller.Reply{}, &jacinthtiller.NotSentError{Cause: err}
	}
	return tr.await(e)
}

// await waits for the answer.
func (tr *Trip) await(e jacinthtiller.Errand) (jacinthtiller.Reply, error) {
	sent := time.Now()
	tr.sentAt = sent
	overdue := sent
	if tr.relay != nil && e.Admit.After(sent) {
		overdue = e.Admit // the other host may let the errand wait for room until then
	}
	overdue = overdue.Add(max(slowAfter, slowFactor*tr.t.usual()))
	look := sent.Add(suspectAfter)
	for {
		until := earlier(e.Deadline, look)
		r, err := tr.receive(until)
		var notSent *jacinthtiller.NotSentError
		switch {
		case err == nil:
			tr.t.answered(r, time.Since(tr.sentAt))
			tr.t.reached(tr.w)
			tr.t.refused(r.Fail)
			return r, nil
		case errors.As(err, &notSent):
			tr.free = true
			if notSent.Unreached {
				tr.t.unreached(tr.w, err)
			}
			return r, err
		case !isTimeout(err):
			// One connection that breaks says little; whether the target can be reached shows when another is opened.
			tr.t.suspect(tr.w)
			return r, fmt.Errorf("receive from %s: %w", tr.t.name, err)
		case !until.Before(e.Deadline):
			return r, fmt.Errorf("receive from %s: %w", tr.t.name, err)
		case !tr.w.failing().IsZero() && e.Repeatable:
			return r, ErrSilent
		case e.Repeatable && !time.Now().Before(overdue):
			return r, ErrSlow
		default:
			tr.t.suspect(tr.w)
		}
		look = time.Now().Add(suspectEvery)
	}
}

func (tr *Trip) receive(until time.Time) (jacinthtiller.Reply, error) {
	if tr.own != nil {
		return tr.own.tc.Receive(until)
	}
	return tr.relay.Receive(until)
}

// done ends the statement.
func (tr *Trip) done() {
	if tr.running {
		tr.running = false
		tr.t.begun(-1)
	}
	if tr.own != nil {
		tr.own.done()
	}
}

// Put ends a trip whose last answer left no transaction open.
func (tr *Trip) Put() {
	if tr.own != nil {
		tr.own.put()
		return
	}
	tr.w.put(tr.relay)
}

// Drop ends a trip at once. What is open on it is rolled back.
func (tr *Trip) Drop(reason string) {
	switch {
	case tr.own != nil:
		tr.own.drop(reason)
	case tr.free:
		tr.w.put(tr.relay)
	default:
		_ = tr.relay.Close() // the other host rolls back
	}
}

// Clean rolls back the transaction that is open on the trip and ends it. It waits for the target for a short time only.
func (tr *Trip) Clean(rollback string) {
	if tr.own == nil && tr.free {
		tr.Put()
		return
	}
	e := jacinthtiller.Errand{Order: jacinthtiller.Order{Text: rollback}, Deadline: time.Now().Add(cleanLimit)}
	if tr.own != nil {
		e.Values = tr.own.values // whatever they are, they must not be changed now
	}
	r, err := tr.Run(e)
	if err != nil || r.State != jacinthtiller.StateIdle {
		tr.Drop("rollback not answered")
		return
	}
	tr.Put()
}

// isTimeout reports whether err is the end of a wait for an answer.
func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
