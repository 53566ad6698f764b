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

// Conn is the path of one guest's work to a target: a single statement, or a transaction. It is used by one goroutine
// at a time.
type Conn struct {
	t *Target
	w *way
	// own is the host's own connection, and relay the path through another host; one of them is set.
	own   *ownConn
	relay jacinthtiller.RelayConn
	// sentAt is when the last order was sent.
	sentAt time.Time
	// running is true from the start of a statement to its end.
	running bool
	// free is true when the other host has ended the connection by itself, so that its path can be used for another one.
	free bool
}

// Open takes a connection for the job, by the host's own connection or through another host. Errors prove that nothing ran.
func (t *Target) Open(j jacinthtiller.Job) (*Conn, error) {
	w := t.pick(time.Now())
	if w == nil {
		return nil, &NoTargetError{Target: t.name, Cause: errLostNow}
	}
	if w == t.own {
		return t.OpenOwn(j)
	}
	c := w.take()
	if c == nil {
		var err error
		if c, err = t.dialRelay(w, j.Deadline); err != nil {
			return nil, &NoTargetError{Target: t.name, Cause: err}
		}
	}
	return &Conn{t: t, w: w, relay: c, free: true}, nil
}

// OpenOwn takes one of the host's own connections. A target that it could not reach a moment ago is not waited for.
func (t *Target) OpenOwn(j jacinthtiller.Job) (*Conn, error) {
	if !t.own.usable(time.Now()) {
		return nil, &NoTargetError{Target: t.name, Cause: errLostNow}
	}
	t.begun(1)
	defer t.begun(-1) // from here on the statement that runs counts
	c, err := t.openOwn(j)
	if err != nil {
		return nil, err
	}
	return &Conn{t: t, w: t.own, own: c}, nil
}

// Target returns the target that the connection leads to.
func (c *Conn) Target() *Target { return c.t }

// Through returns the host that relays the connection; empty for the host's own connection.
func (c *Conn) Through() string { return c.w.host }

// Run sends the job's order and waits for the answer until the job's deadline, or less when the order is
// repeatable and the target is found to be out of reach. A *jacinthtiller.NotSentError proves that it did not run; after
// any error the connection must be dropped.
func (c *Conn) Run(j jacinthtiller.Job) (jacinthtiller.Reply, error) {
	if !c.running {
		c.running = true
		c.t.begun(1)
	}
	defer c.done()
	c.free = false
	var err error
	if c.own != nil {
		err = c.own.start(j)
	} else {
		err = c.relay.Start(j)
	}
	if err != nil {
		c.t.suspect(c.w)
		return jacinthtiller.Reply{}, &jacinthtiller.NotSentError{Cause: err}
	}
	return c.await(j)
}

// await waits for the answer.
func (c *Conn) await(j jacinthtiller.Job) (jacinthtiller.Reply, error) {
	sent := time.Now()
	c.sentAt = sent
	overdue := sent
	if c.relay != nil && j.Admit.After(sent) {
		overdue = j.Admit // the other host may let the job wait for room until then
	}
	overdue = overdue.Add(max(slowAfter, slowFactor*c.t.usual()))
	look := sent.Add(suspectAfter)
	for {
		until := earlier(j.Deadline, look)
		r, err := c.receive(until)
		var notSent *jacinthtiller.NotSentError
		switch {
		case err == nil:
			c.t.answered(r, time.Since(c.sentAt))
			c.t.reached(c.w)
			c.t.refused(r.Fail)
			return r, nil
		case errors.As(err, &notSent):
			c.free = true
			if notSent.Unreached {
				c.t.unreached(c.w, err)
			}
			return r, err
		case !isTimeout(err):
			// One connection that breaks says little; whether the target can be reached shows when another is opened.
			c.t.suspect(c.w)
			return r, fmt.Errorf("receive from %s: %w", c.t.name, err)
		case !until.Before(j.Deadline):
			return r, fmt.Errorf("receive from %s: %w", c.t.name, err)
		case !c.w.failing().IsZero() && j.Repeatable:
			return r, ErrSilent
		case j.Repeatable && !time.Now().Before(overdue):
			return r, ErrSlow
		default:
			c.t.suspect(c.w)
		}
		look = time.Now().Add(suspectEvery)
	}
}

func (c *Conn) receive(until time.Time) (jacinthtiller.Reply, error) {
	if c.own != nil {
		return c.own.tc.Receive(until)
	}
	return c.relay.Receive(until)
}

// done ends the statement.
func (c *Conn) done() {
	if c.running {
		c.running = false
		c.t.begun(-1)
	}
	if c.own != nil {
		c.own.done()
	}
}

// Put returns a connection whose last answer left no transaction open.
func (c *Conn) Put() {
	if c.own != nil {
		c.own.put()
		return
	}
	c.w.put(c.relay)
}

// Drop closes a connection at once. What is open on it is rolled back.
func (c *Conn) Drop(reason string) {
	switch {
	case c.own != nil:
		c.own.drop(reason)
	case c.free:
		c.w.put(c.relay)
	default:
		_ = c.relay.Close() // the other host rolls back
	}
}

// Clean rolls back the transaction that is open on the connection and returns it. It waits for the target for a short time only.
func (c *Conn) Clean(rollback string) {
	if c.own == nil && c.free {
		c.Put()
		return
	}
	j := jacinthtiller.Job{Order: jacinthtiller.Order{Text: rollback}, Deadline: time.Now().Add(cleanLimit)}
	if c.own != nil {
		j.Values = c.own.values // whatever they are, they must not be changed now
	}
	r, err := c.Run(j)
	if err != nil || r.State != jacinthtiller.StateIdle {
		c.Drop("rollback not answered")
		return
	}
	c.Put()
}

// isTimeout reports whether err is the end of a wait for an answer.
func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
