package statement

import (
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/pool"
)

// read runs a single read on a target that is fresh enough. A read has no effects, so it may be repeated on another target
// after any failure.
func (n *session) read(q *request) error {
	arrived := now()
	var tried []*pool.Target
	mayHaveRun := false
	for {
		changed := n.s.changeSignal()
		dst, ok := n.findDestination(q.route, arrived, tried)
		if !ok {
			if n.s.noTargetLeft(q.route.Database) {
				q.last = outcomeNoTargetLeft
				return n.failUnserved(q, mayHaveRun)
			}
			n.s.extendIfHeld(q)
			// Targets that refused may accept the request a little later, and a new primary may be elected.
			tried = nil
			if q.admissionExpired() || n.s.Isolated() || !n.s.waitForRetry(changed, q.deadline) {
				return n.failUnserved(q, mayHaveRun)
			}
			continue
		}
		if dst.waitUntil.After(q.admitUntil) {
			q.last = outcome{reason: "all targets that could serve it are behind or crowded", cause: causeBehind}
			return n.failUnserved(q, mayHaveRun)
		}
		if !dst.waitUntil.IsZero() {
			n.s.sleepUntil(dst.waitUntil)
		}
		r, sent, err := n.readAt(dst, q)
		switch {
		case err != nil:
			q.last = outcomeOfError(err)
			mayHaveRun = mayHaveRun || !notRun(err)
		case r.ErrorCode == "":
			if n.acceptAnswer(dst, sent, r, q.deadline) {
				return n.forwardAnswer(q, r, jacinthtiller.StateIdle)
			}
			q.last, mayHaveRun = outcome{reason: "the primary was replaced meanwhile", cause: causeReplaced}, true
		case !isRetryable(r.ErrorCode) || !time.Now().Add(minRemainingTime).Before(q.deadline):
			return n.forwardAnswer(q, r, jacinthtiller.StateIdle)
		default:
			q.last = outcomeOfReply(r)
			mayHaveRun = mayHaveRun || !r.ErrorCode.ProvesNoEffect() && r.ErrorCode != jacinthtiller.ErrorCodeNoStatement
		}
		tried = append(tried, dst.target)
		if !time.Now().Add(minRemainingTime).Before(q.deadline) {
			return n.failUnserved(q, mayHaveRun)
		}
		n.s.recordRetry(n, q)
	}
}

// extendIfHeld extends the admission time of a request that has been waiting for a lease or a primary.
func (s *Server) extendIfHeld(q *request) {
	if hold := s.holdCause(q.route.Database); hold != "" && time.Since(q.arrived) > minHold {
		q.extendAdmission(hold)
	}
}

// holdCause returns why requests for a database's primary have to wait; empty when they need not.
func (s *Server) holdCause(database string) failureCause {
	switch _, ok := s.currentPrimary(database); {
	case ok:
		return ""
	case s.view.Load().Databases[database].Primary == "":
		return causeNoPrimary
	}
	return causeNoLease
}

// admissionExpired reports whether a request that found no capacity stops waiting for it: its admission time has passed, or
// the queue is so long that it would pass.
func (q *request) admissionExpired() bool {
	return q.last.queueFull || q.last.overloaded && !time.Now().Before(q.admitUntil)
}

// isRetryable reports whether a read that failed with the code may succeed on another target.
func isRetryable(c jacinthtiller.ErrorCode) bool {
	switch c {
	case jacinthtiller.ErrorCodeExecution, jacinthtiller.ErrorCodeTimeout, jacinthtiller.ErrorCodeNoStatement:
		return true
	}
	return c.ProvesNoEffect()
}

// readAt runs the request at one destination. Sent is zero when the request was not sent.
func (n *session) readAt(dst destination, q *request) (r jacinthtiller.Reply, sent time.Time, err error) {
	q.attempts++
	q.target = dst.target.Spec().Name
	j := n.newJob(q, dst.after)
	j.Repeatable = true
	c, err := dst.target.Open(j)
	if err != nil {
		return r, sent, err
	}
	n.activeConn = c
	q.relayHost = c.RelayHost()
	sent = now()
	r, err = c.Run(j)
	n.activeConn = nil
	if err != nil {
		if notRun(err) {
			sent = time.Time{}
		}
		c.Drop("no answer")
		return r, sent, err
	}
	release(c, r)
	n.recordLag(dst, q.route.Database, r)
	return r, sent, nil
}

// failUnserved answers a read that no target served in time: with a timeout if a target may have run it, else a refusal.
func (n *session) failUnserved(q *request, mayHaveRun bool) error {
	if mayHaveRun {
		return n.fail(q, jacinthtiller.ErrorCodeTimeout, "no target answered in time: "+q.last.reason, 0)
	}
	return n.refuse(q)
}

// refuse answers a request that did not run, with a retry hint.
func (n *session) refuse(q *request) error {
	n.s.countRefused(q.route.Database)
	return n.fail(q, jacinthtiller.ErrorCodeBusy, "not run: "+n.s.refusalReason(q), n.s.retryAfter(q))
}

// refusalReason explains why no target could run a request.
func (s *Server) refusalReason(q *request) string {
	d := s.view.Load().Databases[q.route.Database]
	switch {
	case q.last.reason != "":
		return q.last.reason
	case s.Isolated():
		return "the host is cut off from the other hosts and from control"
	case d.Primary == "":
		return "the primary is being replaced"
	case !s.lease.Load().Valid(now()):
		return "the host has lost touch with the control group"
	}
	return "no target can be reached"
}

func (s *Server) sleepUntil(until time.Time) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
}

func (s *Server) recordRetry(n *session, q *request) {
	s.metrics.countRetry(q.route)
	if s.events.Tracing() {
		s.events.Emit(event.StatementRetried, event.Fields{
			"request": q.ID, "guest": n.guestName(), "target": q.target, "reason": q.last.reason, "tries": q.attempts,
		})
	}
}
