package admission

import (
	"container/list"
	"maps"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// maxDebt bounds how far statements of open transactions may put a team's new work behind, in turns.
const maxDebt = 8

// queue decides which request runs next on one target. It has no clock and starts nothing: each method takes the time
// where it needs it, and appends the tickets whose wait has ended to decided.
type queue struct {
	slots, connections, capacity int
	// reserve is the number of connections that requests which open a transaction must leave free.
	reserve int
	// running is between 0 and slots.
	running int
	// held counts connections and is between 0 and connections.
	held int
	// waiting counts the tickets in the lane for new work and is at most capacity between calls.
	waiting  int
	hold     bool
	draining bool
	closed   bool
	weights  map[string]int
	limits   map[string]int
	// limit is for teams that limits does not name.
	limit   int
	teams   map[string]*team
	rings   [lanes]list.List
	arrived uint64
	decided []*ticket
	// statementsFirst is true when a team whose single statements wait opens few transactions.
	statementsFirst bool
	// transactions counts the tickets that hold a connection and were known to keep it.
	transactions int
	// foresee is true when a request is refused at once if its turn would come after its deadline.
	foresee bool
	// interval is the smoothed time between two grants while requests wait, in microseconds, and grantedAt the time of the
	// last such grant; both are zero while nothing waits. grants counts those that interval is made of.
	interval  int64
	grantedAt time.Time
	grants    int
}

// team finds a team or makes it.
func (q *queue) team(name string) *team {
	if t, ok := q.teams[name]; ok {
		return t
	}
	t := &team{name: name}
	for i := range t.backlogs {
		t.backlogs[i] = backlog{team: t, byName: map[string]*guestLine{}}
	}
	q.teams[name] = t
	q.configure(t)
	return t
}

// configure applies weights and limits to a team.
func (q *queue) configure(t *team) {
	t.weight = max(1, q.weights[t.name])
	t.limit = q.limit
	if n, ok := q.limits[t.name]; ok {
		t.limit = n
	}
}

// reconfigure changes weights and limits.
func (q *queue) reconfigure(weights, limits map[string]int, now time.Time) {
	q.weights, q.limits = maps.Clone(weights), maps.Clone(limits)
	for _, t := range q.teams {
		q.configure(t)
	}
	q.dispatch(now)
}

// push takes a request. Afterwards it runs, waits, or was refused.
func (q *queue) push(t *ticket, now time.Time) {
	t.reason = ""
	switch {
	case q.closed, q.draining && t.lane != laneOpen:
		q.decide(t, phaseNone, jacinthtiller.ReasonDraining)
		return
	case t.expired(now):
		q.decide(t, phaseNone, jacinthtiller.ReasonDeadline)
		return
	case q.idle() && q.mayRun(t):
		q.grant(t)
		return
	case t.lane != laneOpen && q.hopeless(t, now):
		q.decide(t, phaseNone, jacinthtiller.ReasonQueue)
		return
	}
	q.enqueue(t)
	q.dispatch(now)
	if q.waiting > q.capacity {
		q.dropNewest()
	}
}

// idle reports whether nothing waits.
func (q *queue) idle() bool {
	return q.rings[laneOpen].Len() == 0 && q.rings[laneNew].Len() == 0 && q.rings[laneLate].Len() == 0
}

// mayRun reports whether nothing but the turn of others keeps t from running.
func (q *queue) mayRun(t *ticket) bool {
	return q.running < q.slots && (t.lane == laneOpen || q.eligible()[t.class()] && !t.team.full())
}

// eligible returns which classes of new work may take a connection.
func (q *queue) eligible() mask {
	m := allClasses
	for c := range m {
		free := q.connections - q.held
		if c&classOpens != 0 {
			free -= q.reserve
		}
		m[c] = free > 0 && (!q.hold || c&classWrite == 0)
	}
	return m
}

// enqueue puts the ticket in its guest's line.
func (q *queue) enqueue(t *ticket) {
	b := &t.team.backlogs[t.lane]
	l := b.byName[t.guest]
	if l == nil {
		l = &guestLine{name: t.guest}
		l.place = b.guests.PushBack(l)
		b.byName[t.guest] = l
	}
	if b.place == nil {
		b.place = q.rings[t.lane].PushBack(b)
	}
	q.arrived++
	t.arrived, t.line, t.phase = q.arrived, l, phaseWaiting
	t.own, t.order = l.tickets[t.class()].PushBack(t), b.order.PushBack(t)
	l.n++
	b.count[t.class()]++
	if t.lane != laneOpen {
		q.waiting++
	}
}

// remove takes a waiting ticket out of all lists.
func (q *queue) remove(t *ticket) {
	b, l := &t.team.backlogs[t.lane], t.line
	l.tickets[t.class()].Remove(t.own)
	b.order.Remove(t.order)
	b.count[t.class()]--
	t.own, t.order, t.line = nil, nil, nil
	if l.n--; l.n == 0 {
		b.guests.Remove(l.place)
		delete(b.byName, l.name)
	}
	if b.order.Len() == 0 {
		q.rings[t.lane].Remove(b.place)
		b.place, b.deficit, b.turn = nil, 0, false
	}
	if t.lane != laneOpen {
		q.waiting--
	}
}

// decide notes the end of a ticket's wait.
func (q *queue) decide(t *ticket, p phase, r jacinthtiller.Reason) {
	t.phase, t.reason = p, r
	q.decided = append(q.decided, t)
}

// refuse ends the wait of a ticket that will not run. An open transaction keeps its connection.
func (q *queue) refuse(t *ticket, r jacinthtiller.Reason) {
	if t.phase != phaseWaiting {
		return
	}
	q.remove(t)
	p := phaseNone
	if t.connection {
		p = phaseIdle
	}
	q.decide(t, p, r)
}

// grant gives the ticket a slot, and a connection unless it has one.
func (q *queue) grant(t *ticket) {
	q.running++
	if t.lane != laneOpen {
		q.held++
		t.team.held++
		t.connection = true
		if t.opens {
			q.transactions++
		}
	}
	q.decide(t, phaseRunning, "")
}

// dispatch fills the free slots.
func (q *queue) dispatch(now time.Time) {
	for q.running < q.slots {
		t := q.pick(laneOpen, allClasses, now)
		if t == nil {
			t = q.pick(laneNew, q.eligible(), now)
		}
		if t == nil {
			t = q.pick(laneLate, q.eligible(), now)
		}
		if t == nil {
			return
		}
		q.grant(t)
		q.measure(now)
	}
}

// first finds the backlog that is next in turn and has a ticket that may run.
func (q *queue) first(lane int, m mask) *backlog {
	for e := q.rings[lane].Front(); e != nil; e = e.Next() {
		if b := e.Value.(*backlog); b.has(q.allowed(b, m)) && (lane == laneOpen || !b.team.full()) {
			return b
		}
	}
	return nil
}

// pick takes the next ticket of a lane by deficit round robin: each turn of a team adds its weight to its deficit, and
// each statement costs 1. A team that cannot use its turn loses it to one that can.
func (q *queue) pick(lane int, m mask, now time.Time) *ticket {
	ring := &q.rings[lane]
	for b := q.first(lane, m); b != nil; b = q.first(lane, m) {
		for ring.Front() != b.place {
			f := ring.Front().Value.(*backlog)
			f.deficit = min(f.deficit, 0)
			f.endTurn(ring)
		}
		if !b.turn {
			b.turn = true
			b.deficit += b.team.weight
		}
		if b.deficit < 1 {
			b.endTurn(ring)
			continue
		}
		t := b.next(q.allowed(b, m))
		switch {
		case t.expired(now):
			q.refuse(t, jacinthtiller.ReasonDeadline)
		case lane == laneNew && t.late(now):
			q.remove(t)
			t.lane = laneLate
			q.enqueue(t)
		default:
			q.take(t)
			return t
		}
	}
	return nil
}

// take removes the ticket and charges its team.
func (q *queue) take(t *ticket) {
	b := &t.team.backlogs[t.lane]
	b.deficit--
	b.guests.MoveToBack(t.line.place)
	q.remove(t)
	if b.place != nil && b.deficit < 1 {
		b.endTurn(&q.rings[t.lane])
	}
	if n := &t.team.backlogs[laneNew]; t.lane == laneOpen && n.place != nil {
		n.deficit = max(n.deficit-1, -maxDebt*t.team.weight)
	}
}

// dropNewest refuses the newest request of the team that has the longest queue relative to its weight.
func (q *queue) dropNewest() {
	var longest *backlog
	lane := laneLate
	if q.rings[laneLate].Len() == 0 {
		lane = laneNew
	}
	for e := q.rings[lane].Front(); e != nil; e = e.Next() {
		b := e.Value.(*backlog)
		if longest == nil || b.order.Len()*longest.team.weight > longest.order.Len()*b.team.weight {
			longest = b
		}
	}
	q.refuse(longest.order.Back().Value.(*ticket), jacinthtiller.ReasonQueue)
}

// again asks for a slot for the next statement of an open transaction.
func (q *queue) again(t *ticket, deadline, now time.Time) {
	t.lane, t.deadline = laneOpen, deadline
	if t.phase != phaseIdle {
		t.reason = jacinthtiller.ReasonDraining
		return
	}
	q.push(t, now)
	if t.phase == phaseNone {
		t.phase = phaseIdle
	}
}

// finish ends a statement: it frees the slot, and the connection unless keep is set.
func (q *queue) finish(t *ticket, keep bool, now time.Time) {
	if t.phase != phaseRunning {
		return
	}
	q.running--
	t.phase = phaseIdle
	if !keep || t.continues {
		q.end(t)
	}
	if !q.idle() {
		q.dispatch(now)
	}
}

// release ends a ticket in any phase.
func (q *queue) release(t *ticket, now time.Time) {
	switch t.phase {
	case phaseRunning:
		q.finish(t, false, now)
		return
	case phaseWaiting:
		q.remove(t)
	}
	q.end(t)
	if !q.idle() {
		q.dispatch(now)
	}
}

// end frees the connection.
func (q *queue) end(t *ticket) {
	t.phase = phaseEnded
	if t.connection {
		t.connection = false
		t.team.held--
		q.held--
		if t.opens {
			q.transactions--
		}
	}
}

// flush refuses everything that waits in a lane.
func (q *queue) flush(lane int, r jacinthtiller.Reason) {
	for q.rings[lane].Len() > 0 {
		b := q.rings[lane].Front().Value.(*backlog)
		q.refuse(b.order.Front().Value.(*ticket), r)
	}
}
