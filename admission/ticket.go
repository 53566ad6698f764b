package admission

import (
	"container/list"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"go.opentelemetry.io/otel/metric"
)

// The laneCount of the queue. Statements of open transactions go first: they hold connections, which new work waits for.
// New work whose time of use has passed goes last: it is late whatever happens, and what can still be in time must not be
// late because of it.
const (
	laneTransaction = iota
	laneNew
	laneLate
	laneCount
)

// The classCount of requests, which become eligible separately: bits of a mask's index.
const (
	classWrite = 1
	classOpens = 2
	classCount = 4
)

// classMask says which classes may run.
type classMask [classCount]bool

var allClasses = classMask{true, true, true, true}

// phase is what a ticket is doing.
type phase byte

const (
	phaseNone    phase = iota // not yet in the queue, or refused
	phaseWaiting              // in the queue
	phaseRunning              // holds a slot
	phaseIdle                 // holds only a connection
	phaseEnded                // holds nothing
)

// ticket is one request, or one open transaction, in the queue's books.
type ticket struct {
	team  *team
	guest string
	write bool
	opens bool
	// continues is true for a statement whose connection another ticket holds.
	continues bool
	deadline  time.Time
	// usefulUntil is until when the request goes before late ones; zero means always.
	usefulUntil time.Time
	lane        int
	phase       phase
	// holdsConnection is true while the ticket holds a holdsConnection; it does in the phases running and idle unless continues is set.
	holdsConnection bool
	// reason is set when a wait ended in refusal.
	reason jacinthtiller.Reason
	// arrival counts arrivals at the queue.
	arrival uint64
	// guestElement is the ticket's place in its guest's list, and arrivalElement its place in its team's list of arrivals; nil unless waiting.
	guestElement, arrivalElement *list.Element
	guestQueue                   *guestQueue
	// done is closed by the gate when a wait has ended; nil when nobody waits for that.
	done chan struct{}
}

func (t *ticket) class() int {
	c := 0
	if t.write {
		c |= classWrite
	}
	if t.opens {
		c |= classOpens
	}
	return c
}

// guestQueue holds one guest's waiting tickets in one lane, by class in the order of arrival.
type guestQueue struct {
	name        string
	tickets     [classCount]list.List
	count       int
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
	// deficit is what the team may still run in its turn; below 0 it is in debt. It is 0 while nothing waits.
	deficit int
	// inTurn is true from the start of the team's inTurn to its end.
	inTurn bool
	// guests are the lines with waiting tickets; the front one is next.
	guests list.List
	byName map[string]*guestQueue
	// byArrival holds the tickets by arrival.
	byArrival list.List
	// countByClass is the number of tickets by class.
	countByClass [classCount]int
	// ringElement is in the lane's ring; nil while nothing waits.
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

// endTurn passes the turn on.
func (b *backlog) endTurn(ring *list.List) {
	b.inTurn = false
	ring.MoveToBack(b.ringElement)
}

// next returns the ticket whose turn it is: the oldest eligible one of the first guest that has one.
func (b *backlog) next(m classMask) *ticket {
	for e := b.guests.Front(); e != nil; e = e.Next() {
		if t := e.Value.(*guestQueue).oldest(m); t != nil {
			return t
		}
	}
	return nil
}

// team is what the queue knows of a team.
type team struct {
	name string
	// weight is at least 1.
	weight int
	// limit bounds held; 0 means no limit.
	limit int
	// heldConnections counts the connections that the team's tickets hold.
	heldConnections int
	backlogs        [laneCount]backlog
	waits           WaitStats
	// metricOptions holds the team's attribute for the gate's histogram; nil until used.
	metricOptions []metric.RecordOption
}

func (t *ticket) expired(now time.Time) bool { return !t.deadline.IsZero() && !now.Before(t.deadline) }

// late reports whether the time has passed in which the request is of full use.
func (t *ticket) late(now time.Time) bool {
	return !t.usefulUntil.IsZero() && !now.Before(t.usefulUntil)
}

// atLimit reports whether the team holds as many connections as it may.
func (t *team) atLimit() bool { return t.limit > 0 && t.heldConnections >= t.limit }
