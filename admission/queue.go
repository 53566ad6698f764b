package admission

import (
	"container/list"
	"maps"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// maxDebtTurns bounds the deficit that statements of open transactions may charge to a team's new work, in turns.
const maxDebtTurns = 8

// queue decides which request runs next on one target. It reads no clock and starts no goroutine: methods get the time as
// an argument and append the tickets whose wait has ended to decided.
type queue struct {
	slots, connections, capacity int
	// statementReserve is the number of connections that requests which open a transaction must leave free.
	statementReserve int
	// running is between 0 and slots, or slots and transactionReserve.
	running int
	// heldConnections is between 0 and connections.
	heldConnections int
	// waiting counts the tickets in the lanes for new and late work and is at most capacity between calls.
	waiting    int
	holdWrites bool
	draining   bool
	closed     bool
	weights    map[string]int
	limits     map[string]int
	// defaultLimit applies to teams that limits does not name.
	defaultLimit int
	teams        map[string]*team
	rings        [laneCount]list.List
	lastArrival  uint64
	decided      []*ticket
	// transactionOverflow lets statements of open transactions run beyond the slots.
	transactionOverflow bool
	// statementsFirst limits open transactions while single statements wait.
	statementsFirst bool
	// openTransactions counts the tickets that hold a connection and were requested with BeginsTransaction.
	openTransactions int
	// rejectEarly refuses a request at once if its turn would come after its deadline.
	rejectEarly bool
	// grantIntervalMicroseconds is the smoothed time between grants while requests wait, lastGrantAt the time of the last
	// such grant, and grantSamples their number. All are zero while nothing waits.
	grantIntervalMicroseconds int64
	lastGrantAt               time.Time
	grantSamples              int
}

// ensureTeam returns the team with the name and creates it if necessary.
func (q *queue) ensureTeam(name string) *team {
	if t, ok := q.teams[name]; ok {
		return t
	}
	t := &team{name: name}
	for i := range t.backlogs {
		t.backlogs[i] = backlog{team: t, byName: map[string]*guestQueue{}}
	}
	q.teams[name] = t
	q.configure(t)
	return t
}

// configure sets the weight and the limit of a team.
func (q *queue) configure(t *team) {
	t.weight = max(1, q.weights[t.name])
	t.limit = q.defaultLimit
	if n, ok := q.limits[t.name]; ok {
		t.limit = n
	}
}

// reconfigure changes the weights and limits of all teams.
func (q *queue) reconfigure(weights, limits map[string]int, now time.Time) {
	q.weights, q.limits = maps.Clone(weights), maps.Clone(limits)
	for _, t := range q.teams {
		q.configure(t)
	}
	q.dispatch(now)
}

// submit adds a request and grants, enqueues or refuses it.
func (q *queue) submit(t *ticket, now time.Time) {
	t.reason = ""
	switch {
	case q.closed, q.draining && t.lane != laneTransaction:
		q.decide(t, phaseNone, jacinthtiller.ReasonDraining)
		return
	case t.expired(now):
		q.decide(t, phaseNone, jacinthtiller.ReasonDeadline)
		return
	case q.noneWaiting() && q.mayRun(t):
		q.grant(t)
		return
	case t.lane != laneTransaction && q.wouldExpire(t, now):
		q.decide(t, phaseNone, jacinthtiller.ReasonQueue)
		return
	}
	q.enqueue(t)
	q.dispatch(now)
	if q.waiting > q.capacity {
		q.dropNewest()
	}
}

// noneWaiting reports whether no ticket waits.
func (q *queue) noneWaiting() bool {
	return q.rings[laneTransaction].Len() == 0 && q.rings[laneNew].Len() == 0 && q.rings[laneLate].Len() == 0
}

// mayRun reports whether t may run now, apart from the turns of others.
func (q *queue) mayRun(t *ticket) bool {
	if t.lane == laneTransaction {
		return q.running < q.slots+q.transactionReserve()
	}
	return q.running < q.slots && q.eligibleClasses()[t.class()] && !t.team.atLimit()
}

// eligibleClasses returns which classes of new work may take a connection.
func (q *queue) eligibleClasses() classMask {
	m := allClasses
	for c := range m {
		free := q.connections - q.heldConnections
		if c&classOpens != 0 {
			free -= q.statementReserve
		}
		m[c] = free > 0 && (!q.holdWrites || c&classWrite == 0)
	}
	return m
}

// enqueue adds the ticket to its guest's queue.
func (q *queue) enqueue(t *ticket) {
	b := &t.team.backlogs[t.lane]
	l := b.byName[t.guest]
	if l == nil {
		l = &guestQueue{name: t.guest}
		l.listElement = b.guests.PushBack(l)
		b.byName[t.guest] = l
	}
	if b.ringElement == nil {
		b.ringElement = q.rings[t.lane].PushBack(b)
	}
	q.lastArrival++
	t.arrival, t.guestQueue, t.phase = q.lastArrival, l, phaseWaiting
	t.guestElement, t.arrivalElement = l.tickets[t.class()].PushBack(t), b.byArrival.PushBack(t)
	l.count++
	b.countByClass[t.class()]++
	if t.lane != laneTransaction {
		q.waiting++
	}
}

// remove removes a waiting ticket from all lists.
func (q *queue) remove(t *ticket) {
	b, l := &t.team.backlogs[t.lane], t.guestQueue
	l.tickets[t.class()].Remove(t.guestElement)
	b.byArrival.Remove(t.arrivalElement)
	b.countByClass[t.class()]--
	t.guestElement, t.arrivalElement, t.guestQueue = nil, nil, nil
	if l.count--; l.count == 0 {
		b.guests.Remove(l.listElement)
		delete(b.byName, l.name)
	}
	if b.byArrival.Len() == 0 {
		q.rings[t.lane].Remove(b.ringElement)
		b.ringElement, b.deficit, b.inTurn = nil, 0, false
	}
	if t.lane != laneTransaction {
		q.waiting--
	}
}

// decide records the end of a ticket's wait.
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
	if t.holdsConnection {
		p = phaseIdle
	}
	q.decide(t, p, r)
}

// grant gives the ticket a slot, and a connection unless it has one.
func (q *queue) grant(t *ticket) {
	q.running++
	if t.lane != laneTransaction {
		q.heldConnections++
		t.team.heldConnections++
		t.holdsConnection = true
		if t.beginsTransaction {
			q.openTransactions++
		}
	}
	q.decide(t, phaseRunning, "")
}

// dispatch fills the free slots, and the reserve of open transactions.
func (q *queue) dispatch(now time.Time) {
	for q.running < q.slots+q.transactionReserve() {
		t := q.pick(laneTransaction, allClasses, now)
		if t == nil && q.running >= q.slots {
			return
		}
		if t == nil {
			t = q.pick(laneNew, q.eligibleClasses(), now)
		}
		if t == nil {
			t = q.pick(laneLate, q.eligibleClasses(), now)
		}
		if t == nil {
			return
		}
		q.grant(t)
		q.recordGrant(now)
	}
}

// firstRunnable returns the first backlog in the ring of the lane that has a ticket that may run; nil if there is none.
func (q *queue) firstRunnable(lane int, m classMask) *backlog {
	for e := q.rings[lane].Front(); e != nil; e = e.Next() {
		if b := e.Value.(*backlog); b.hasEligible(q.allowedClasses(b, m)) && (lane == laneTransaction || !b.team.atLimit()) {
			return b
		}
	}
	return nil
}

// pick removes and returns the next ticket of a lane by deficit round robin: each turn of a team adds its weight to its
// deficit, and each statement costs 1. A team that has no ticket that may run loses its turn.
func (q *queue) pick(lane int, m classMask, now time.Time) *ticket {
	ring := &q.rings[lane]
	for b := q.firstRunnable(lane, m); b != nil; b = q.firstRunnable(lane, m) {
		for ring.Front() != b.ringElement {
			front := ring.Front().Value.(*backlog)
			front.deficit = min(front.deficit, 0)
			front.endTurn(ring)
		}
		if !b.inTurn {
			b.inTurn = true
			b.deficit += b.team.weight
		}
		if b.deficit < 1 {
			b.endTurn(ring)
			continue
		}
		t := b.next(q.allowedClasses(b, m))
		switch {
		case t.expired(now):
			q.refuse(t, jacinthtiller.ReasonDeadline)
		case lane == laneNew && t.late(now):
			q.remove(t)
			t.lane = laneLate
			q.enqueue(t)
		default:
			q.dequeue(t)
			return t
		}
	}
	return nil
}

// dequeue removes the ticket and charges it to its team.
func (q *queue) dequeue(t *ticket) {
	b := &t.team.backlogs[t.lane]
	b.deficit--
	b.guests.MoveToBack(t.guestQueue.listElement)
	t.guestQueue.round = b.round + 1
	q.remove(t)
	if b.ringElement != nil && b.deficit < 1 {
		b.endTurn(&q.rings[t.lane])
	}
	if newWork := &t.team.backlogs[laneNew]; t.lane == laneTransaction && newWork.ringElement != nil {
		newWork.deficit = max(newWork.deficit-1, -maxDebtTurns*t.team.weight)
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
		if longest == nil || b.byArrival.Len()*longest.team.weight > longest.byArrival.Len()*b.team.weight {
			longest = b
		}
	}
	q.refuse(longest.byArrival.Back().Value.(*ticket), jacinthtiller.ReasonQueue)
}

// continueTransaction requests a slot for the next statement of an open transaction.
func (q *queue) continueTransaction(t *ticket, deadline, now time.Time) {
	t.lane, t.deadline = laneTransaction, deadline
	if t.phase != phaseIdle {
		t.reason = jacinthtiller.ReasonDraining
		return
	}
	q.submit(t, now)
	if t.phase == phaseNone {
		t.phase = phaseIdle
	}
}

// finish ends a statement and releases the slot, and the connection unless keep is set.
func (q *queue) finish(t *ticket, keep bool, now time.Time) {
	if t.phase != phaseRunning {
		return
	}
	q.running--
	t.phase = phaseIdle
	if !keep || t.continuesTransaction {
		q.endTicket(t)
	}
	if !q.noneWaiting() {
		q.dispatch(now)
	}
}

// release ends a ticket in any phase and releases what it holds.
func (q *queue) release(t *ticket, now time.Time) {
	switch t.phase {
	case phaseRunning:
		q.finish(t, false, now)
		return
	case phaseWaiting:
		q.remove(t)
	}
	q.endTicket(t)
	if !q.noneWaiting() {
		q.dispatch(now)
	}
}

// endTicket ends a ticket without a slot and releases its connection.
func (q *queue) endTicket(t *ticket) {
	t.phase = phaseEnded
	if t.holdsConnection {
		t.holdsConnection = false
		t.team.heldConnections--
		q.heldConnections--
		if t.beginsTransaction {
			q.openTransactions--
		}
	}
}

// refuseAll refuses all tickets that wait in a lane.
func (q *queue) refuseAll(lane int, r jacinthtiller.Reason) {
	for q.rings[lane].Len() > 0 {
		b := q.rings[lane].Front().Value.(*backlog)
		q.refuse(b.byArrival.Front().Value.(*ticket), r)
	}
}
