package statement

import (
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// write runs a single write on the primary. It is tried again only while it is certain that it did not run.
func (n *session) write(q *request) error {
	for {
		l, ok := n.s.awaitLead(q.route.Database, q.deadline)
		if !ok {
			return n.refuse(q)
		}
		r, sent, err := n.writeAt(l, q)
		switch {
		case err == nil && r.Fail == "":
			if !n.s.confirm(l, q.deadline) {
				return n.fail(q, jacinthtiller.FailUnknown, "the primary was being replaced when it answered", 0)
			}
			n.s.attest(l, sent, r.Position)
			n.mark = n.mark.Max(r.Position)
			return n.pass(q, r, jacinthtiller.StateIdle)
		case err == nil && !r.Fail.NotKept() && r.Fail != jacinthtiller.FailNoStatement:
			return n.pass(q, r, jacinthtiller.StateIdle)
		case err == nil:
			q.reason = string(r.Fail) + " " + r.FailText
		case !sent.IsZero() && !asNotSent(err):
			return n.fail(q, jacinthtiller.FailUnknown, "the primary did not answer: "+err.Error(), 0)
		default:
			q.reason = err.Error()
		}
		if !n.s.waitAgain(n.s.watch(), q.deadline) {
			return n.refuse(q)
		}
		n.s.retried(n, q)
	}
}

// writeAt runs the request at the primary. Sent is zero when the target was not offered the request.
func (n *session) writeAt(l lead, q *request) (r jacinthtiller.Reply, sent time.Time, err error) {
	q.tries++
	q.target = l.spec.Name
	c, err := l.target.Get(n.work1(q, false))
	if err != nil {
		return r, sent, err
	}
	if err = n.align(c, q); err == nil {
		if yes, _ := n.s.holds(l); !yes {
			c.Done()
			c.Put()
			return r, sent, &errNotSent{cause: errReplaced}
		}
		sent = now()
		r, err = n.s.exchange(c, jacinthtiller.Order{ID: q.ID, Text: q.text}, q.deadline, false)
	}
	c.Done()
	if err != nil {
		c.Drop("no answer")
		return r, sent, err
	}
	n.s.giveBack(c, r)
	return r, sent, nil
}
