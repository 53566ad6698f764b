package statement

import (
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// write runs a single write on the primary. It is retried only if it certainly did not run.
func (n *session) write(q *request) error {
	for {
		waitStart, hold := time.Now(), n.s.holdCause(q.route.Database)
		p, ok := n.s.awaitPrimary(q.route.Database, q.deadline)
		if !ok {
			if n.s.noTargetLeft(q.route.Database) {
				q.last = outcomeNoTargetLeft
			}
			return n.refuse(q)
		}
		if time.Since(waitStart) > minHold {
			q.extendAdmission(hold)
		}
		seen := n.s.lastSeen(p)
		r, sent, err := n.writeAt(p, q)
		switch {
		case err == nil && r.ErrorCode == "":
			n.s.recordAcknowledged(p, seen, r.Position)
			if !n.s.confirmPrimary(p, q.deadline) {
				return n.fail(q, jacinthtiller.ErrorCodeUnknown, "the primary was being replaced when it answered", 0)
			}
			n.s.recordFreshness(p, sent, r.Position)
			n.recordCommit(r.Position)
			return n.forwardAnswer(q, r, jacinthtiller.StateIdle)
		case err == nil && !r.ErrorCode.ProvesNoEffect() && r.ErrorCode != jacinthtiller.ErrorCodeNoStatement:
			return n.forwardAnswer(q, r, jacinthtiller.StateIdle)
		case err == nil:
			q.last = outcomeOfReply(r)
			q.last.overloaded = r.ErrorCode == jacinthtiller.ErrorCodeBusy
		case !sent.IsZero() && !notRun(err):
			return n.fail(q, jacinthtiller.ErrorCodeUnknown, "the primary did not answer: "+err.Error(), 0)
		default:
			q.last = outcomeOfError(err)
		}
		if q.admissionExpired() || !n.s.waitForRetry(n.s.changeSignal(), q.deadline) {
			return n.refuse(q)
		}
		n.s.recordRetry(n, q)
	}
}

// writeAt runs the request at the primary. Sent is zero when the request was not sent.
func (n *session) writeAt(p primary, q *request) (r jacinthtiller.Reply, sent time.Time, err error) {
	q.attempts++
	q.target = p.spec.Name
	j := n.newJob(q, jacinthtiller.Position{})
	c, err := p.target.Open(j)
	if err != nil {
		return r, sent, err
	}
	q.relayHost = c.RelayHost()
	if current, _ := n.s.checkPrimary(p); !current {
		c.Drop("primary replaced")
		return r, sent, &jacinthtiller.NotSentError{Cause: errReplaced}
	}
	n.activeConn = c
	sent = now()
	r, err = c.Run(j)
	n.activeConn = nil
	if err != nil {
		c.Drop("no answer")
		return r, sent, err
	}
	release(c, r)
	return r, sent, nil
}

// recordCommit advances the mark to a commit that is about to be acknowledged.
func (n *session) recordCommit(p jacinthtiller.Position) {
	if p.Compare(n.mark) > 0 {
		n.mark, n.markedAt = p, now()
	}
}
