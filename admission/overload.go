package admission

import "time"

// This file holds what the queue does when it gets more work than the target can do: whom it refuses at once, and what
// it lets wait for smaller work.

// slotsPerTransaction is how many slots of a gate there are for each transaction that may be open while statements wait,
// rounded up for the transactions. One that is open uses a slot for about a third of its time; the rest are its guest's pauses.
const slotsPerTransaction = 2

// grantRateSamples is how many grants in a row to waiting requests tell when a new one would have its turn: with fewer the
// estimate follows single statements.
const grantRateSamples = 16

// wouldExpire reports whether the ticket would be past its deadline when its turn comes, by the rate of the last grants.
func (q *queue) wouldExpire(t *ticket, now time.Time) bool {
	if !q.rejectEarly || t.deadline.IsZero() || q.grantSamples < grantRateSamples {
		return false
	}
	wait := time.Duration(int64(q.ticketsAhead(t, now))*q.grantIntervalMicroseconds) * time.Microsecond
	return now.Add(wait).After(t.deadline)
}

// ticketsAhead returns how many waiting tickets go before a new one, if nothing else comes: those of open transactions, what the
// turns of the teams and of the guests leave before it, and, if it is late already, all that is not.
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
	ownCount, guestCount := 0, ownBacklog.guests.Len()
	if l := ownBacklog.byName[t.guest]; l != nil {
		ownCount = l.count
	} else {
		guestCount++
	}
	before := min(ownBacklog.byArrival.Len(), guestCount*(ownCount+1))
	return inTransactions + min(before+others, before*weights/t.team.weight)
}

// recordGrant notes a grant to a ticket that has waited.
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

// allowedClasses returns which classes of a backlog may run. A transaction takes the room of several statements, so while single
// statements of its team wait only as many are open as keep a part of the slots busy.
func (q *queue) allowedClasses(b *backlog, m classMask) classMask {
	maxOpen := max(1, (q.slots+slotsPerTransaction-1)/slotsPerTransaction)
	if q.statementsFirst && q.openTransactions >= maxOpen && b.countByClass[0]+b.countByClass[classWrite] > 0 {
		m[classOpens], m[classOpens|classWrite] = false, false
	}
	return m
}
