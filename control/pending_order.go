package control

import (
	"cmp"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// acceptedOrderTimeout bounds the time from the answer to an order to its effect, for a target that does not run any more;
// the slowest known targets take a second.
const acceptedOrderTimeout = time.Second

// unansweredOrderTimeout is how long the answer to an order is waited for, and how long one that has none may take effect at a
// target that runs. A platform that handles orders seconds late cannot be told from one that has lost them; 7 s is the longest
// known disruption of its network.
const unansweredOrderTimeout = 10 * time.Second

// orderCall is an order that the platform had not answered when the search for a primary went on. It is safe for concurrent use.
type orderCall struct {
	// deadline is until when the order may take effect if it is never answered.
	deadline time.Time
	// answeredDeadline is until when it may take effect after its answer; nil before.
	answeredDeadline atomic.Pointer[time.Time]
}

// record records the answer to the order. An error that does not say whether it was taken is none.
func (c *orderCall) record(err error, now time.Time) {
	switch {
	case err == nil:
		end := now.Add(acceptedOrderTimeout)
		c.answeredDeadline.Store(&end)
	case errors.Is(err, jacinthtiller.ErrTargetDown) || errors.Is(err, jacinthtiller.ErrOrderNotTaken):
		c.answeredDeadline.Store(&time.Time{})
	}
}

// effectDeadline returns until when the order may take effect; runs tells whether its target runs.
func (c *orderCall) effectDeadline(runs bool) time.Time {
	if end := c.answeredDeadline.Load(); end != nil {
		return *end
	}
	if runs {
		return c.deadline
	}
	return time.Time{} // pendingOrder.effectDeadline has the bound for a target that does not answer
}

// pendingOrder is what is known about orders to promote whose effect may still come. No other target is ordered to lead, and
// no other one is recorded as the primary, until then: the late effect would make it a former primary that commits, and hosts
// would acknowledge its commits until it notices.
type pendingOrder struct {
	// target is the target of the last order that may have been taken; empty before the first.
	target string
	// several is true if more than one order for target may have been taken. The first one that takes effect then does not
	// end the wait for the others.
	several bool
	// effectDeadline is until when an order for target may take effect.
	effectDeadline time.Time
	// unanswered holds the orders for target that had no answer in time.
	unanswered []*orderCall
}

// withOrder returns the orders with another one for target, which may take effect until the deadline. Orders for other
// targets have taken effect, or their deadlines have passed.
func (o pendingOrder) withOrder(target string, deadline, now time.Time) pendingOrder {
	if o.target != target || !now.Before(o.deadline(true)) {
		return pendingOrder{target: target, effectDeadline: deadline}
	}
	o.several = true
	if deadline.After(o.effectDeadline) {
		o.effectDeadline = deadline
	}
	return o
}

// withUnanswered returns the orders with the call of the last one, which has had no answer in time.
func (o pendingOrder) withUnanswered(c *orderCall) pendingOrder {
	o.unanswered = append(slices.Clone(o.unanswered), c)
	return o
}

// deadline returns until when an order may take effect; runs tells whether the target runs.
func (o pendingOrder) deadline(runs bool) time.Time {
	out := o.effectDeadline
	for _, c := range o.unanswered {
		if end := c.effectDeadline(runs); end.After(out) {
			out = end
		}
	}
	return out
}

// targetAt returns the target that may still begin to lead because of an order; empty if there is none.
func (o pendingOrder) targetAt(d jacinthtiller.Database, v targetStatuses, now time.Time) string {
	x, ok := v[o.target]
	tookEffect := ok && x.Role == jacinthtiller.RolePrimary && x.Term > d.Term && !o.several
	if tookEffect || !now.Before(o.deadline(ok)) {
		return ""
	}
	return o.target
}

// afterEffect returns the orders that may still take effect after the target has been seen to lead. No order for another one
// may at that time.
func (o pendingOrder) afterEffect(target string) pendingOrder {
	if o.target != target || !o.several {
		return pendingOrder{}
	}
	return o
}

// inheritedOrder returns the orders of earlier leaders of control for a group. Those that may still take effect are for the
// recorded candidate or for the last primary; they were sent before this leader sends its first, and may take effect until
// the deadline.
func inheritedOrder(st *state, database string, deadline time.Time) pendingOrder {
	d := st.View.Databases[database]
	o := pendingOrder{several: true, effectDeadline: deadline}
	switch {
	case d.Candidate != "":
		o.target = d.Candidate
	case st.OrderPending[database]:
		o.target = cmp.Or(d.Primary, d.FormerPrimary)
		o.unanswered = []*orderCall{{deadline: deadline.Add(unansweredOrderTimeout - promotionTimeout)}}
	default:
		return pendingOrder{}
	}
	return o
}

// pendingOrder returns the orders for a group, of this leader or of earlier ones.
func (s *Server) pendingOrder(database string) pendingOrder {
	x := s.direct
	x.mu.Lock()
	defer x.mu.Unlock()
	if o, ok := x.orders[database]; ok {
		return o
	}
	return inheritedOrder(s.machine.state(), database, x.leadsSince.Add(promoteOrderDelay+promotionTimeout))
}

// orderMayTakeEffect reports whether an order to promote the primary of a group may still take effect. While it leads, that changes
// nothing; once another target leads, the order would replace it.
func (s *Server) orderMayTakeEffect(d jacinthtiller.Database, now time.Time) bool {
	o := s.pendingOrder(d.Name)
	return o.target == d.Primary && now.Before(o.deadline(true))
}

// keepOrder keeps the orders for a group for this leader's next search.
func (x *directState) keepOrder(database string, o pendingOrder) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.orders[database] = o
}
