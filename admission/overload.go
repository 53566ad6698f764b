package admission

import "time"

// This file holds the overload rules of the queue: which requests it refuses at once, and when transactions wait for
// single statements.

// slotsPerTransaction is the number of slots for each transaction that may be open while single statements wait; the number
// of transactions is rounded up. An open transaction uses a slot for about a third of its time and is idle for the rest.
const slotsPerTransaction = 2

// transactionReservePercent is the number of statements of open transactions that may run beyond the slots, relative to the
// slots; it is rounded up.
const transactionReservePercent = 50

// grantRateSamples is the number of consecutive grants to waiting requests over which the grant rate is smoothed: with fewer,
// single statements dominate the estimate.
const grantRateSamples = 16

// wouldExpire reports whether the ticket's turn would come after its deadline, estimated by the rate of recent grants.
func (q *queue) wouldExpire(t *ticket, now time.Time) bool {
	if !q.rejectEarly || t.deadline.IsZero() || q.grantSamples < grantRateSamples {
		return false
	}
	wait := time.Duration(int64(q.ticketsAhead(t, now))*q.grantIntervalMicroseconds) * time.Microsecond
	return now.Add(wait).After(t.deadline)
}

// ticketsAhead returns how many waiting tickets go before t if no others arrive: those of open transactions and, of new work,
// the share that the turns of teams and guests put before t, or all of it if t is already late.
func (q *queue) ticketsAhead(t *ticket, now time.Time) int {
	inTransactions, others, weights := 0, 0, t.team.weight
	late := t.late(now)
	for _, x := range q.teams {
		inTransactions += x.backlogs[laneTransaction].byArrival.Len()
		if x == t.team {
			continue
		}
		if n := x.backlogs[laneNew].byArrival.Len(); n > 0 {
			others += n
			weights += x.weight
		}
	}
	ownBacklog := &t.team.backlogs[laneNew]
	if late {
		return inTransactions + others + ownBacklog.byArrival.Len() + t.team.backlogs[laneLate].byArrival.Len()
	}
	before := ownBacklog.ticketsBefore(t)
	return inTransactions + min(before+others, before*weights/t.team.weight)
}

// transactionReserve returns how many statements of open transactions may run beyond the slots.
func (q *queue) transactionReserve() int {
	if !q.transactionOverflow {
		return 0
	}
	return (q.slots*transactionReservePercent + 99) / 100
}

// recordGrant updates the grant rate after a grant to a waiting ticket.
func (q *queue) recordGrant(now time.Time) {
	if q.grantSamples++; !q.lastGrantAt.IsZero() {
		us := now.Sub(q.lastGrantAt).Microseconds()
		if q.grantIntervalMicroseconds == 0 {
			q.grantIntervalMicroseconds = us
		}
		q.grantIntervalMicroseconds += (us - q.grantIntervalMicroseconds) / grantRateSamples
	}
	q.lastGrantAt = now
	if q.noneWaiting() {
		q.grantIntervalMicroseconds, q.lastGrantAt, q.grantSamples = 0, time.Time{}, 0
	}
}

// allowedClasses removes from m the classes that open a transaction if the backlog may open none now. A transaction takes the
// capacity of several statements, so while single statements of its team wait the number of open ones is bounded.
func (q *queue) allowedClasses(b *backlog, m classMask) classMask {
	maxOpen := max(1, (q.slots+slotsPerTransaction-1)/slotsPerTransaction)
	if q.statementsFirst && q.openTransactions >= maxOpen && b.countByClass[0]+b.countByClass[classWrite] > 0 {
		m[classOpens], m[classOpens|classWrite] = false, false
	}
	return m
}

// ticketsBefore returns how many tickets of the backlog go before t: one of each more urgent guest for each turn that t's guest
// needs, and for each further turn one of every guest.
func (b *backlog) ticketsBefore(t *ticket) int {
	turns := 0
	if l := b.byName[t.guest]; l != nil {
		turns = l.count
	}
	urgent := 0
	for e := b.guests.Front(); e != nil; e = e.Next() {
		if x := e.Value.(*guestQueue).oldest(allClasses); x != nil && !t.moreUrgent(x) {
			urgent++
		}
	}
	return min(b.byArrival.Len(), urgent+turns*b.guests.Len())
}
