package pool

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// rollbackTimeout bounds the cleaning of a connection after its work; a target that takes longer costs a new connection.
	rollbackTimeout = 300 * time.Millisecond
	// probeAfter is how long an answer may take before the way to the target is tried on another connection. It is
	// several times the work of a usual statement.
	probeAfter = 350 * time.Millisecond
	// probeInterval is the time between looks at a suspected way.
	probeInterval = 100 * time.Millisecond
	// overdueAfter and slowFactor say when an answer counts as lost although the target can be reached: after the time, and
	// after as many times the usual time of a statement there. A request that may be repeated is then sent again.
	overdueAfter  = 450 * time.Millisecond
	overdueFactor = 6
)

// ErrOverdue means that an answer takes so much longer than usual that it has probably been lost.
var ErrOverdue = errors.New("the answer is overdue")

// ErrUnreachable means that the target neither answers nor takes connections.
var ErrUnreachable = errors.New("the target does not answer")

var errRecentlyUnreachable = errors.New("it could not be reached a moment ago")

// Conn is the path of one guest's work to a target: a single statement, or a transaction. It is used by one goroutine
// at a time.
type Conn struct {
	t    *Target
	path *path
	// direct is the host's direct connection, and relay the path through another host; one of them is set.
	direct *directConn
	relay  jacinthtiller.RelayConn
	// sentAt is when the last order was sent.
	sentAt time.Time
	// running is true from the start of a statement to its end.
	running bool
	// relayReusable is true when the other host has ended the connection by itself, so that its path can be used for another one.
	relayReusable bool
}

// Open takes a connection for the job, by the host's own connection or through another host. Errors prove that nothing ran.
func (t *Target) Open(j jacinthtiller.Job) (*Conn, error) {
	w := t.pickPath(time.Now())
	if w == nil {
		return nil, &NoTargetError{Target: t.name, Cause: errRecentlyUnreachable}
	}
	if w == t.directPath {
		return t.OpenDirect(j)
	}
	c := w.takeIdle()
	if c == nil {
		var err error
		if c, err = t.dialRelay(w, j.Deadline); err != nil {
			return nil, &NoTargetError{Target: t.name, Cause: err}
		}
	}
	return &Conn{t: t, path: w, relay: c, relayReusable: true}, nil
}

// OpenDirect takes one of the host's own connections. A target that it could not reach a moment ago is not waited for.
func (t *Target) OpenDirect(j jacinthtiller.Job) (*Conn, error) {
	if !t.directPath.usable(time.Now()) {
		return nil, &NoTargetError{Target: t.name, Cause: errRecentlyUnreachable}
	}
	t.addLoad(1)
	defer t.addLoad(-1) // from here on the statement that runs counts
	c, err := t.openDirect(j)
	if err != nil {
		return nil, err
	}
	return &Conn{t: t, path: t.directPath, direct: c}, nil
}

// Target returns the target that the connection leads to.
func (c *Conn) Target() *Target { return c.t }

// RelayHost returns the host that relays the connection; empty for the host's own connection.
func (c *Conn) RelayHost() string { return c.path.host }

// Run sends the job's order and waits for the answer until the job's deadline, or less when the order is
// repeatable and the target is found to be out of reach. A *jacinthtiller.NotSentError proves that it did not run; after
// any error the connection must be dropped.
func (c *Conn) Run(j jacinthtiller.Job) (jacinthtiller.Reply, error) {
	if !c.running {
		c.running = true
		c.t.addLoad(1)
	}
	defer c.endStatement()
	c.relayReusable = false
	var err error
	if c.direct != nil {
		err = c.direct.start(j)
	} else {
		err = c.relay.Start(j)
	}
	if err != nil {
		c.t.startProbe(c.path)
		return jacinthtiller.Reply{}, &jacinthtiller.NotSentError{Cause: err}
	}
	return c.awaitReply(j)
}

// awaitReply waits for the answer.
func (c *Conn) awaitReply(j jacinthtiller.Job) (jacinthtiller.Reply, error) {
	sent := time.Now()
	c.sentAt = sent
	overdue := sent
	if c.relay != nil && j.Admit.After(sent) {
		overdue = j.Admit // the other host may let the job wait for room until then
	}
	overdue = overdue.Add(max(overdueAfter, overdueFactor*c.t.usualLatency()))
	nextProbe := sent.Add(probeAfter)
	for {
		until := earlier(j.Deadline, nextProbe)
		r, err := c.receive(until)
		var notSent *jacinthtiller.NotSentError
		switch {
		case err == nil:
			c.t.recordReply(r, time.Since(c.sentAt))
			c.t.recordReachable(c.path)
			c.t.recordShedding(r.Fail)
			return r, nil
		case errors.As(err, &notSent):
			c.relayReusable = true
			if notSent.Unreached {
				c.t.recordUnreachable(c.path, err)
			}
			return r, err
		case !isTimeout(err):
			// One connection that breaks says little; whether the target can be reached shows when another is opened.
			c.t.startProbe(c.path)
			return r, fmt.Errorf("receive from %s: %w", c.t.name, err)
		case !until.Before(j.Deadline):
			return r, fmt.Errorf("receive from %s: %w", c.t.name, err)
		case !c.path.failureStart().IsZero() && j.Repeatable:
			return r, ErrUnreachable
		case j.Repeatable && !time.Now().Before(overdue):
			return r, ErrOverdue
		default:
			c.t.startProbe(c.path)
		}
		nextProbe = time.Now().Add(probeInterval)
	}
}

func (c *Conn) receive(until time.Time) (jacinthtiller.Reply, error) {
	if c.direct != nil {
		return c.direct.tc.Receive(until)
	}
	return c.relay.Receive(until)
}

// endStatement ends the statement.
func (c *Conn) endStatement() {
	if c.running {
		c.running = false
		c.t.addLoad(-1)
	}
	if c.direct != nil {
		c.direct.endStatement()
	}
}

// Put returns a connection whose last answer left no transaction open.
func (c *Conn) Put() {
	if c.direct != nil {
		c.direct.put()
		return
	}
	c.path.putIdle(c.relay)
}

// Drop closes a connection at once. What is open on it is rolled back.
func (c *Conn) Drop(reason string) {
	switch {
	case c.direct != nil:
		c.direct.drop(reason)
	case c.relayReusable:
		c.path.putIdle(c.relay)
	default:
		_ = c.relay.Close() // the other host rolls back
	}
}

// RollBack rolls back the transaction that is open on the connection and returns it. It waits for the target for a short time only.
func (c *Conn) RollBack(rollback string) {
	if c.direct == nil && c.relayReusable {
		c.Put()
		return
	}
	j := jacinthtiller.Job{Order: jacinthtiller.Order{Text: rollback}, Deadline: time.Now().Add(rollbackTimeout)}
	if c.direct != nil {
		j.Values = c.direct.values // whatever they are, they must not be changed now
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
