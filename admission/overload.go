package admission

import "time"

// This file holds what the queue does when it gets more work than the target can do: whom it refuses at once, and what
// it lets wait for smaller work.

// slotsForTransaction is how many slots of a gate there are for each transaction that may be open while statements wait,
// rounded up for the transactions. One that is open uses a slot for about a third of its time; the rest are its guest's pauses.
const slotsForTransaction = 2

// foreseeAfter is how many grants in a row to waiting requests tell when a new one would have its turn: with fewer the
// estimate follows single statements.
const foreseeAfter = 16

// hopeless reports whether the ticket would be past its deadline when its turn comes, by the rate of the last grants.
func (q *queue) hopeless(t *ticket, now time.Time) bool {
	if !q.foresee || t.deadline.IsZero() || q.grants < foreseeAfter {
		return false
	}
	wait := time.Duration(int64(q.ahead(t, now))*q.interval) * time.Microsecond
	return now.Add(wait).After(t.deadline)
}

// ahead returns how many waiting tickets go before a new one, if nothing else comes: those of open transactions, what the
// turns of the teams and of the guests leave before it, and, if it is late already, all that is not.
func (q *queue) ahead(t *ticket, now time.Time) int {
	open, others, weights := 0, 0, t.team.weight
	late := t.late(now)
	for _, x := range q.teams {
		open += x.backlogs[laneOpen].order.Len()
		if x == t.team {
			continue
		}
		if n := x.backlogs[laneNew].order.Len(); n > 0 {
			others += n
			weights += x.weight
		}
	}
	own := &t.team.backlogs[laneNew]
	if late {
		return open + others + own.order.Len() + t.team.backlogs[laneLate].order.Len()
	}
	mine, lines := 0, own.guests.Len()
	if l := own.byName[t.guest]; l != nil {
		mine = l.n
	} else {
		lines++
	}
	before := min(own.order.Len(), lines*(mine+1))
	return open + min(before+others, before*weights/t.team.weight)
}

// measure notes a grant to a ticket that has waited.
func (q *queue) measure(now time.Time) {
	if q.grants++; !q.grantedAt.IsZero() {
		us := now.Sub(q.grantedAt).Microseconds()
		if q.interval == 0 {
			q.interval = us
		}
		q.interval += (us - q.interval) / foreseeAfter
	}
	q.grantedAt = now
	if q.idle() {
		q.interval, q.grantedAt, q.grants = 0, time.Time{}, 0
	}
}

// allowed returns which classes of a backlog may run. A transaction takes the room of several statements, so while single
// statements of its team wait only as many are open as keep a part of the slots busy.
func (q *queue) allowed(b *backlog, m mask) mask {
	most := max(1, (q.slots+slotsForTransaction-1)/slotsForTransaction)
	if q.statementsFirst && q.transactions >= most && b.count[0]+b.count[classWrite] > 0 {
		m[classOpens], m[classOpens|classWrite] = false, false
	}
	return m
}
