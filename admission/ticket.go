package admission

import (
	"container/list"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"go.opentelemetry.io/otel/metric"
)

// The lanes of the queue, by priority. Statements of open transactions go first, since they hold connections that new work
// waits for. New work whose usefulUntil has passed goes last: it is late anyway and must not make other work late.
const (
	laneTransaction = iota
	laneNew
	laneLate
	laneCount
)

// The classes of requests, which become eligible separately. They are bits of an index into a classMask.
const (
	classWrite = 1
	classOpens = 2
	classCount = 4
)

// classMask says which classes may run.
type classMask [classCount]bool

var allClasses = classMask{true, true, true, true}

// phase is the state of a ticket.
type phase byte

const (
	phaseNone    phase = iota // not yet in the queue, or refused
	phaseWaiting              // in the queue
	phaseRunning              // holds a slot
	phaseIdle                 // holds only a connection
	phaseEnded                // holds nothing
)

// ticket is the queue's record of one request or one open transaction.
type ticket struct {
	team              *team
	guest             string
	write             bool
	beginsTransaction bool
	// continuesTransaction is true for a statement whose connection another ticket holds.
	continuesTransaction bool
	deadline             time.Time
	// usefulUntil is the time after which the request is late; zero means never.
	usefulUntil time.Time
	lane        int
	phase       phase
	// holdsConnection is true while the ticket holds a connection. It does so in phaseWaiting for the next statement of a
	// transaction, and in phaseRunning and phaseIdle unless continuesTransaction is set.
	holdsConnection bool
	// reason is set when the request was refused.
	reason jacinthtiller.Reason
	// arrival is the ticket's number in the order of arrival at the queue.
	arrival uint64
	// guestElement is the ticket's element in its guest's list, and arrivalElement that in byArrival; nil unless waiting.
	guestElement, arrivalElement *list.Element
	guestQueue                   *guestQueue
	// done is closed by the gate when the wait has ended; nil when no goroutine waits.
	done chan struct{}
}

func (t *ticket) class() int {
	c := 0
	if t.write {
		c |= classWrite
	}
	if t.beginsTransaction {
		c |= classOpens
	}
	return c
}

// guestQueue holds one guest's waiting tickets in one lane, by class and in order of arrival.
type guestQueue struct {
	name    string
	tickets [classCount]list.List
	count   int
	// round is the first round of the backlog in which the guest is in turn.
	round       uint64
	listElement *list.Element
}

// oldest returns the ticket that arrived first among the eligible classes.
func (l *guestQueue) oldest(m classMask) *ticket {
	var out *ticket
	for c := range l.tickets {
		e := l.tickets[c].Front()
		if !m[c] || e == nil {
			continue
		}
		if t := e.Value.(*ticket); out == nil || t.arrival < out.arrival {
			out = t
		}
	}
	return out
}

// backlog holds one team's waiting tickets in one lane.
type backlog struct {
	team *team
	// deficit is the number of statements that the team may still run in its turn; it is negative when the team has run
	// more than its share, and 0 while nothing waits.
	deficit int
	// inTurn is true from the start of the team's turn to its end.
	inTurn bool
	// guests holds the guest queues with waiting tickets, in the order of their latest turns.
	guests list.List
	// round counts the rounds of turns.
	round  uint64
	byName map[string]*guestQueue
	// byArrival holds the tickets in order of arrival.
	byArrival list.List
	// countByClass is the number of tickets by class.
	countByClass [classCount]int
	// ringElement is the backlog's element in the lane's ring; nil while nothing waits.
	ringElement *list.Element
}

// hasEligible reports whether a ticket of an eligible class waits.
func (b *backlog) hasEligible(m classMask) bool {
	for c, n := range b.countByClass {
		if n > 0 && m[c] {
			return true
		}
	}
	return false
}

// endTurn ends the team's turn by moving its backlog to the back of the ring.
func (b *backlog) endTurn(ring *list.List) {
	b.inTurn = false
	ring.MoveToBack(b.ringElement)
}

// comparedGuests is how many guests in turn are compared by the deadlines of their tickets. Requests of routes with a short
// timeout would otherwise expire behind those that may wait longer.
const comparedGuests = 256

// next returns the ticket to grant next: of the first guests in turn that have an eligible ticket, the one that must be
// granted first; nil if no guest has an eligible ticket. A guest is in turn once in each round, so that a guest with many
// tickets does not displace others.
func (b *backlog) next(m classMask) *ticket {
	first, outOfTurn := b.mostUrgent(m)
	if first == nil && outOfTurn {
		b.round++
		first, _ = b.mostUrgent(m)
	}
	return first
}

// mostUrgent returns the ticket that must be granted first among those of the first guests in turn, or nil, and whether it
// passed over a guest that has had its turn in this round.
func (b *backlog) mostUrgent(m classMask) (first *ticket, outOfTurn bool) {
	compared := 0
	for e := b.guests.Front(); e != nil && compared < comparedGuests; e = e.Next() {
		l := e.Value.(*guestQueue)
		t := l.oldest(m)
		switch {
		case t == nil:
		case l.round > b.round:
			outOfTurn = true
		default:
			compared++
			if first == nil || t.moreUrgent(first) {
				first = t
			}
		}
	}
	return first, outOfTurn
}

// moreUrgent reports whether t must be granted before other; a ticket without a deadline can wait longest.
func (t *ticket) moreUrgent(other *ticket) bool {
	return !t.deadline.IsZero() && (other.deadline.IsZero() || t.deadline.Before(other.deadline))
}

// team is the queue's state of one team.
type team struct {
	name string
	// weight is at least 1.
	weight int
	// limit bounds heldConnections; 0 means no limit.
	limit int
	// heldConnections counts the connections that the team's tickets hold.
	heldConnections int
	backlogs        [laneCount]backlog
	waits           WaitStats
	// metricOptions holds the team's attribute for the gate's histogram; nil until first used.
	metricOptions []metric.RecordOption
}

func (t *ticket) expired(now time.Time) bool { return !t.deadline.IsZero() && !now.Before(t.deadline) }

// late reports whether usefulUntil has passed.
func (t *ticket) late(now time.Time) bool {
	return !t.usefulUntil.IsZero() && !now.Before(t.usefulUntil)
}

// atLimit reports whether the team holds as many connections as its limit allows.
func (t *team) atLimit() bool { return t.limit > 0 && t.heldConnections >= t.limit }
