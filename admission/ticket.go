package admission

import (
	"container/list"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"go.opentelemetry.io/otel/metric"
)

// The lanes of the queue. Statements of open transactions go first: they hold connections, which new work waits for.
// New work whose time of use has passed goes last: it is late whatever happens, and what can still be in time must not be
// late because of it.
const (
	laneOpen = iota
	laneNew
	laneLate
	lanes
)

// The classes of requests, which become eligible separately: bits of a mask's index.
const (
	classWrite = 1
	classOpens = 2
	classes    = 4
)

// mask says which classes may run.
type mask [classes]bool

var allClasses = mask{true, true, true, true}

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
	// useful is until when the request goes before late ones; zero means always.
	useful time.Time
	lane   int
	phase  phase
	// connection is true while the ticket holds a connection; it does in the phases running and idle unless continues is set.
	connection bool
	// reason is set when a wait ended in refusal.
	reason jacinthtiller.Reason
	// arrived counts arrivals at the queue.
	arrived uint64
	// own is the ticket's place in its guest's list, and order its place in its team's list of arrivals; nil unless waiting.
	own, order *list.Element
	line       *guestLine
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

// guestLine holds one guest's waiting tickets in one lane, by class in the order of arrival.
type guestLine struct {
	name    string
	tickets [classes]list.List
	n       int
	place   *list.Element
}

// oldest returns the ticket that arrived first among the eligible classes.
func (l *guestLine) oldest(m mask) *ticket {
	var out *ticket
	for c := range l.tickets {
		e := l.tickets[c].Front()
		if !m[c] || e == nil {
			continue
		}
		if t := e.Value.(*ticket); out == nil || t.arrived < out.arrived {
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
	// turn is true from the start of the team's turn to its end.
	turn bool
	// guests are the lines with waiting tickets; the front one is next.
	guests list.List
	byName map[string]*guestLine
	// order holds the tickets by arrival.
	order list.List
	// count is the number of tickets by class.
	count [classes]int
	// place is in the lane's ring; nil while nothing waits.
	place *list.Element
}

// has reports whether a ticket of an eligible class waits.
func (b *backlog) has(m mask) bool {
	for c, n := range b.count {
		if n > 0 && m[c] {
			return true
		}
	}
	return false
}

// endTurn passes the turn on.
func (b *backlog) endTurn(ring *list.List) {
	b.turn = false
	ring.MoveToBack(b.place)
}

// next returns the ticket whose turn it is: the oldest eligible one of the first guest that has one.
func (b *backlog) next(m mask) *ticket {
	for e := b.guests.Front(); e != nil; e = e.Next() {
		if t := e.Value.(*guestLine).oldest(m); t != nil {
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
	// held counts the connections that the team's tickets hold.
	held     int
	backlogs [lanes]backlog
	waits    WaitStats
	// record holds the team's attribute for the gate's histogram; nil until used.
	record []metric.RecordOption
}

func (t *ticket) expired(now time.Time) bool { return !t.deadline.IsZero() && !now.Before(t.deadline) }

// late reports whether the time has passed in which the request is of full use.
func (t *ticket) late(now time.Time) bool { return !t.useful.IsZero() && !now.Before(t.useful) }

// full reports whether the team holds as many connections as it may.
func (t *team) full() bool { return t.limit > 0 && t.held >= t.limit }
