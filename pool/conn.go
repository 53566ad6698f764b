package pool

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// rollbackTimeout bounds the rollback before a connection is reused; after it the connection is closed instead.
	rollbackTimeout = 300 * time.Millisecond
	// probeAfter is how long an answer may take before the path to the target is probed on another connection. It is
	// several times the duration of a typical statement.
	probeAfter = 350 * time.Millisecond
	// probeInterval is the time between checks of a path whose answer is late.
	probeInterval = 100 * time.Millisecond
	// An answer counts as lost, although the target is reachable, after overdueAfter and overdueFactor times the usual
	// latency of the target. A repeatable request is then sent again.
	overdueAfter  = 450 * time.Millisecond
	overdueFactor = 6
)

// ErrOverdue means that an answer is so late that it has probably been lost.
var ErrOverdue = errors.New("the answer is overdue")

// ErrUnreachable means that the target neither answers nor accepts connections.
var ErrUnreachable = errors.New("the target does not answer")

// errClosed ends the wait for an answer when the pool is closed.
var errClosed = errors.New("the host has stopped")

var errRecentlyUnreachable = errors.New("it could not be reached a moment ago")

// Conn carries one guest's single statement or transaction to a target. It is used by one goroutine at a time.
type Conn struct {
	t    *Target
	path *path
	// direct is a connection of this host, and relay one through another host; one of them is set.
	direct *directConn
	relay  jacinthtiller.RelayConn
	// sentAt is when the current request was sent.
	sentAt time.Time
	// running is true while a statement runs and counts toward the target's load.
	running bool
	// relayReusable is true when no job is open on relay, so that it can be returned to the idle ones.
	relayReusable bool
}

// Open returns a connection for the job, direct or through another host. An error proves that nothing ran.
func (t *Target) Open(j jacinthtiller.Job) (*Conn, error) {
	p := t.pickPathFor(j.Account, time.Now())
	if p == nil {
		return nil, &NoTargetError{Target: t.name, Cause: errRecentlyUnreachable}
	}
	if p == t.directPath {
		return t.OpenDirect(j)
	}
	c := p.takeIdle()
	if c == nil {
		var err error
		if c, err = t.dialRelay(p, j.Deadline); err != nil {
			return nil, &NoTargetError{Target: t.name, Cause: err}
		}
	}
	return &Conn{t: t, path: p, relay: c, relayReusable: true}, nil
}

// OpenDirect returns a direct connection. It fails at once while the direct path waits for its retry time.
func (t *Target) OpenDirect(j jacinthtiller.Job) (*Conn, error) {
	if !t.directPath.usable(time.Now()) {
		return nil, &NoTargetError{Target: t.name, Cause: errRecentlyUnreachable}
	}
	t.addLoad(1)
	defer t.addLoad(-1) // Run counts the statement itself
	c, err := t.openDirect(j)
	if err != nil {
		return nil, err
	}
	return &Conn{t: t, path: t.directPath, direct: c}, nil
}

// Target returns the connection's target.
func (c *Conn) Target() *Target { return c.t }

// RelayHost returns the name of the relaying host; empty for a direct connection.
func (c *Conn) RelayHost() string { return c.path.host }

// Run sends the job's request and waits for the answer until the job's deadline. For a repeatable request it gives up earlier
// when the target is found to be unreachable or the answer is overdue. A *jacinthtiller.NotSentError proves that the request
// did not run; after any error the connection must be dropped.
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
	if c.direct == nil {
		return c.awaitReply(j)
	}
	ended := c.t.learned.begin(j)
	r, err := c.awaitReply(j)
	ended(r, err)
	return r, err
}

// awaitReply waits for the answer, and probes the path when it is late.
func (c *Conn) awaitReply(j jacinthtiller.Job) (jacinthtiller.Reply, error) {
	sent := time.Now()
	c.sentAt = sent
	overdue := sent
	if c.relay != nil && j.AdmitUntil.After(sent) {
		overdue = j.AdmitUntil // the relaying host may queue the job until then
	}
	overdue = overdue.Add(max(overdueAfter, overdueFactor*c.t.usualLatency()))
	nextProbe := sent.Add(probeAfter)
	for {
		waitUntil := earlier(j.Deadline, nextProbe)
		r, err := c.receive(waitUntil)
		var notSent *jacinthtiller.NotSentError
		switch {
		case err == nil:
			c.t.recordReply(r, time.Since(c.sentAt))
			c.t.recordReachable(c.path)
			return r, nil
		case errors.As(err, &notSent):
			c.relayReusable = true
			if notSent.TargetUnreachable {
				c.t.recordUnreachable(c.path, err)
			}
			return r, err
		case !isTimeout(err):
			// One broken connection does not prove that the target is unreachable; a probe does.
			c.t.startProbe(c.path)
			return r, fmt.Errorf("receive from %s: %w", c.t.name, err)
		case c.t.p.ctx.Err() != nil:
			return r, fmt.Errorf("receive from %s: %w", c.t.name, errClosed)
		case !waitUntil.Before(j.Deadline):
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
		return c.direct.receive(until)
	}
	return c.relay.Receive(until)
}

// endStatement ends the statement's share of the load.
func (c *Conn) endStatement() {
	if c.running {
		c.running = false
		c.t.addLoad(-1)
	}
	if c.direct != nil {
		c.direct.endStatement()
	}
}

// Put returns the connection to the pool. Its last answer must have left no transaction open.
func (c *Conn) Put() {
	if c.direct != nil {
		c.direct.put()
		return
	}
	c.path.putIdle(c.relay)
}

// Drop closes the connection at once, which rolls back an open transaction.
func (c *Conn) Drop(reason string) {
	switch {
	case c.direct != nil:
		c.direct.drop(reason)
	case c.relayReusable:
		c.path.putIdle(c.relay)
	default:
		_ = c.relay.Close() // the relaying host rolls back
	}
}

// RollBack rolls back the open transaction and returns the connection to the pool, or drops it after rollbackTimeout.
func (c *Conn) RollBack(rollback string) {
	if c.direct == nil && c.relayReusable {
		c.Put()
		return
	}
	j := jacinthtiller.Job{TargetRequest: jacinthtiller.TargetRequest{Text: rollback}, Deadline: time.Now().Add(rollbackTimeout)}
	if c.direct != nil {
		j.Values = c.direct.values // keep the current values: nothing may be set in the open transaction
	}
	r, err := c.Run(j)
	if err != nil || r.State != jacinthtiller.StateIdle {
		c.Drop("rollback not answered")
		return
	}
	c.Put()
}

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
