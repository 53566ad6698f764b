package statement

import (
	"errors"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/pool"
)

// read runs a single read on a target that is fresh enough. Nothing of a read is kept, so that it may be repeated
// elsewhere after any failure.
func (n *session) read(q *request) error {
	arrived := now()
	var tried []*pool.Target
	offered := false
	for {
		changed := n.s.watch()
		p, ok := n.findPlace(q.route, arrived, tried)
		if !ok {
			// Targets that refused may take the request a little later; a new primary may be found.
			tried = nil
			if !n.s.waitAgain(changed, q.deadline) {
				return n.unserved(q, offered)
			}
			continue
		}
		r, sent, err := n.readAt(p, q)
		offered = offered || !sent.IsZero()
		switch {
		case err != nil:
			q.reason = err.Error()
		case r.Fail == "":
			if n.accept(p, sent, r, q.deadline) {
				return n.pass(q, r, jacinthtiller.StateIdle)
			}
			q.reason = "the primary was replaced meanwhile"
		case !repeatable(r.Fail) || !time.Now().Add(shortestRest).Before(q.deadline):
			return n.pass(q, r, jacinthtiller.StateIdle)
		default:
			q.reason = string(r.Fail) + " " + r.FailText
		}
		tried = append(tried, p.target)
		if !time.Now().Add(shortestRest).Before(q.deadline) {
			return n.unserved(q, offered)
		}
		n.s.retried(n, q)
	}
}

// repeatable reports whether a read that failed in this way may succeed elsewhere.
func repeatable(c jacinthtiller.FailCode) bool {
	switch c {
	case jacinthtiller.FailExecution, jacinthtiller.FailTimeout, jacinthtiller.FailNoStatement:
		return true
	}
	return c.NotKept()
}

// readAt runs the request at one place. Sent is zero when the target was not offered the request.
func (n *session) readAt(p place, q *request) (r jacinthtiller.Reply, sent time.Time, err error) {
	q.tries++
	q.target = p.target.Spec().Name
	c, err := p.target.Get(n.work1(q, false))
	if err != nil {
		return r, sent, err
	}
	if err = n.align(c, q); err == nil {
		sent = now()
		r, err = n.s.exchange(c, jacinthtiller.Order{ID: q.ID, Text: q.text, After: p.after}, q.deadline, true)
	}
	c.Done()
	if err != nil {
		c.Drop("no answer")
		return r, sent, err
	}
	n.s.giveBack(c, r)
	return r, sent, nil
}

// work1 describes the request to the target's queue.
func (n *session) work1(q *request, opens bool) pool.Work {
	return pool.Work{Route: q.route.Name, Guest: n.guest, Opens: opens, Deadline: q.deadline}
}

// align makes the connection hold what the guest has set and the request needs.
func (n *session) align(c *pool.Conn, q *request) error {
	return c.Align(q.deadline, n.values, func(name, value string) string {
		if name == "" {
			return n.s.dialect.Reset()
		}
		return n.s.dialect.Set(name, value)
	}, q.statement)
}

// giveBack puts a connection back whose work outside a transaction has been answered.
func (s *Server) giveBack(c *pool.Conn, r jacinthtiller.Reply) {
	switch {
	case r.State != jacinthtiller.StateIdle, r.Fail == jacinthtiller.FailNoStatement, r.Fail == jacinthtiller.FailOther:
		c.Drop("unexpected state")
		return
	case r.Fail == jacinthtiller.FailBusy:
		c.Target().Shed()
	}
	c.Put()
}

// waitAgain waits a short time, or less when something changes, and reports whether there is time for another try.
func (s *Server) waitAgain(changed <-chan struct{}, deadline time.Time) bool {
	until := time.Now().Add(againPause)
	if !until.Before(deadline) {
		return false
	}
	s.wait(changed, until)
	return time.Now().Add(shortestRest).Before(deadline)
}

// unserved answers a read that found no target in time.
func (n *session) unserved(q *request, offered bool) error {
	if offered {
		return n.fail(q, jacinthtiller.FailTimeout, "no target answered in time: "+q.reason, 0)
	}
	return n.refuse(q)
}

// refuse answers a request that was not offered to a target, and says when to come back.
func (n *session) refuse(q *request) error {
	return n.fail(q, jacinthtiller.FailBusy, "not run: "+n.s.whyNot(q), n.s.comeBack(q))
}

// whyNot explains why a request could not be offered.
func (s *Server) whyNot(q *request) string {
	d := s.view.Load().Databases[q.route.Database]
	switch {
	case q.reason != "":
		return q.reason
	case d.Primary == "":
		return "the primary is being replaced"
	case !s.lease.Load().Valid(now()):
		return "the host has lost touch with the control group"
	}
	return "no target can be reached"
}

// asNotSent reports whether err proves that the request did not run.
func asNotSent(err error) bool {
	var e *errNotSent
	var t *pool.ErrNoTarget
	return errors.As(err, &e) || errors.As(err, &t)
}

func (s *Server) retried(n *session, q *request) {
	s.metrics.retried(q.route)
	if s.events.Tracing() {
		s.events.Emit(event.StatementRetried, event.Fields{
			"request": q.ID, "guest": n.guest, "target": q.target, "reason": q.reason, "tries": q.tries,
		})
	}
}
