package admission

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// requestOutcome is the result of a request.
type requestOutcome struct {
	arrived time.Time
	// decided is when the request was granted or refused.
	decided time.Time
	served  bool
}

// simulate runs a load on a queue in virtual time. Arrivals are in order of time, and each occupies a slot for work.
func simulate(q *queue, work time.Duration, arrivals []*ticket, at []time.Time) map[*ticket]requestOutcome {
	out := map[*ticket]requestOutcome{}
	ends := map[*ticket]time.Time{}
	var now time.Time
	for i := 0; i < len(arrivals) || len(ends) > 0; {
		var next *ticket
		for t, end := range ends {
			if next == nil || end.Before(ends[next]) {
				next = t
			}
		}
		if next == nil || i < len(arrivals) && at[i].Before(ends[next]) {
			now = at[i]
			t := arrivals[i]
			out[t] = requestOutcome{arrived: now}
			t.team = q.ensureTeam("team")
			q.submit(t, now)
			i++
		} else {
			now = ends[next]
			delete(ends, next)
			q.finish(next, false, now)
		}
		for _, t := range q.decided {
			out[t] = requestOutcome{arrived: out[t].arrived, decided: now, served: t.phase == phaseRunning}
			if t.phase == phaseRunning {
				ends[t] = now.Add(work)
			}
		}
		q.decided = q.decided[:0]
	}
	return out
}

func newQueue(slots int) *queue {
	return &queue{slots: slots, connections: 1000, capacity: 10000, teams: map[string]*team{}}
}

// TestReturningCrowd simulates the end of an outage: guests that were delayed for two seconds return at once, with more work
// than the target does in a second, while new guests arrive at the usual rate. It guards against new guests that become late
// because they wait behind guests that are late already.
func TestReturningCrowd(t *testing.T) {
	origin := time.Unix(1000, 0)
	const slots, work, returning, regular = 5, 33 * time.Millisecond, 250, 150
	load := func(withUsefulUntil bool) ([]*ticket, []time.Time) {
		var tickets []*ticket
		var at []time.Time
		add := func(when, began time.Time) {
			t := &ticket{guest: "g", lane: laneNew, deadline: when.Add(3 * time.Second)}
			if withUsefulUntil {
				t.usefulUntil = began.Add(500 * time.Millisecond)
			}
			tickets, at = append(tickets, t), append(at, when)
		}
		for range returning {
			add(origin, origin.Add(-2*time.Second))
		}
		for i := range regular {
			when := origin.Add(time.Duration(i) * 10 * time.Millisecond)
			add(when, when)
		}
		return tickets, at
	}
	// Of the requests that arrive after the returning ones, those that end within 500 ms are in time.
	run := func(withUsefulUntil bool) (inTime, served int) {
		tickets, at := load(withUsefulUntil)
		for _, x := range simulate(newQueue(slots), work, tickets, at) {
			if x.served {
				served++
				if x.arrived.After(origin) && x.decided.Add(work).Before(x.arrived.Add(500*time.Millisecond)) {
					inTime++
				}
			}
		}
		return inTime, served
	}
	convey.Convey("With usefulUntil, more new guests are served in time and no fewer in all", t, func() {
		before, servedBefore := run(false)
		after, servedAfter := run(true)
		convey.So(before, convey.ShouldBeLessThan, regular/10)
		convey.So(after, convey.ShouldBeGreaterThan, regular*9/10)
		convey.So(servedAfter, convey.ShouldBeGreaterThanOrEqualTo, servedBefore)
	})
}

// TestLateLane guards against late work that is never granted, that goes before work in time, or that a drain does not refuse.
func TestLateLane(t *testing.T) {
	now := time.Unix(1000, 0)
	convey.Convey("On a busy queue of one slot", t, func() {
		q := &queue{slots: 1, connections: 10, capacity: 10, teams: map[string]*team{}}
		submit := func(useful time.Time) *ticket {
			x := &ticket{guest: "g", lane: laneNew, usefulUntil: useful, team: q.ensureTeam("team")}
			q.submit(x, now)
			return x
		}
		running := submit(time.Time{})
		late, timely := submit(now.Add(time.Second)), submit(now.Add(time.Minute))
		now = now.Add(2 * time.Second)
		convey.Convey("work in time goes first, then late work", func() {
			q.finish(running, false, now)
			convey.So(timely.phase, convey.ShouldEqual, phaseRunning)
			convey.So(late.phase, convey.ShouldEqual, phaseWaiting)
			q.finish(timely, false, now)
			convey.So(late.phase, convey.ShouldEqual, phaseRunning)
			q.finish(late, false, now)
			convey.So(q.running+q.heldConnections+q.waiting, convey.ShouldEqual, 0)
		})
		convey.Convey("a drain refuses both", func() {
			q.finish(running, true, now) // begins timely
			q.draining = true
			q.refuseAll(laneNew, jacinthtiller.ReasonDraining)
			q.refuseAll(laneLate, jacinthtiller.ReasonDraining)
			convey.So(late.reason, convey.ShouldEqual, jacinthtiller.ReasonDraining)
		})
	})
}

// TestEarlyRejection simulates a target that gets twice the load that it can serve for seconds, such as a primary whose
// replicas lag far behind. It guards against guests who wait until their deadline for a turn that cannot come, against less
// work done because some are refused at once, and against the refusal of a guest whose turn would come because another guest
// fills the queue.
func TestEarlyRejection(t *testing.T) {
	origin := time.Unix(1000, 0)
	const slots, work, timeout = 5, 33 * time.Millisecond, 450 * time.Millisecond
	load := func() ([]*ticket, []time.Time) {
		var tickets []*ticket
		var at []time.Time
		for i := range 1200 { // 300 a second for 4 s; the target does 150
			when := origin.Add(time.Duration(i) * time.Second / 300)
			guest := "crowd"
			if i%50 == 49 {
				guest = "light"
			}
			tickets = append(tickets, &ticket{guest: guest, lane: laneNew, deadline: when.Add(timeout)})
			at = append(at, when)
		}
		return tickets, at
	}
	type outcome struct {
		served, lightServed int
		// waitedMicroseconds is the total time that refused requests spent in the queue.
		waitedMicroseconds int64
	}
	run := func(rejectEarly bool) (out outcome) {
		tickets, at := load()
		q := newQueue(slots)
		q.rejectEarly = rejectEarly
		for x, y := range simulate(q, work, tickets, at) {
			switch {
			case !y.served:
				out.waitedMicroseconds += y.decided.Sub(y.arrived).Microseconds()
			case x.guest == "light":
				out.lightServed++
				fallthrough
			default:
				out.served++
			}
		}
		return out
	}
	convey.Convey("Throughput stays, the light guest is always served, and refused requests wait little", t, func() {
		withoutRejection, withRejection := run(false), run(true)
		t.Logf("served %d and %d, refused after %d and %d us in all", withoutRejection.served, withRejection.served,
			withoutRejection.waitedMicroseconds, withRejection.waitedMicroseconds)
		convey.So(withRejection.served, convey.ShouldBeGreaterThanOrEqualTo, withoutRejection.served*98/100)
		convey.So(withRejection.lightServed, convey.ShouldEqual, 1200/50)
		convey.So(withRejection.waitedMicroseconds, convey.ShouldBeLessThan, withoutRejection.waitedMicroseconds/4)
	})
}

// TestStatementsFirst simulates a target that gets more than twice the load that it can serve for seconds, an eighth of it
// transactions of six statements with pauses. It guards against transactions that take most of the slots' time while many
// times as many guests wait with one statement, and against starvation of transactions.
func TestStatementsFirst(t *testing.T) {
	origin := time.Unix(1000, 0)
	const slots, work, pause, timeout, statements = 3, 33 * time.Millisecond, 100 * time.Millisecond, 450 * time.Millisecond, 6
	// run returns how many single statements and whole transactions were served.
	run := func(statementsFirst bool) (singles, transactions int) {
		q := newQueue(slots)
		q.rejectEarly, q.statementsFirst = true, statementsFirst
		remaining := map[*ticket]int{}
		// nextEvent maps a ticket to the end of its statement or of its guest's pause.
		nextEvent := map[*ticket]time.Time{}
		now := origin
		startDecided := func() {
			for _, x := range q.decided {
				if x.phase == phaseRunning {
					nextEvent[x] = now.Add(work)
				}
			}
			q.decided = q.decided[:0]
		}
		for i := 0; ; {
			var next *ticket
			for x, at := range nextEvent {
				if next == nil || at.Before(nextEvent[next]) || at.Equal(nextEvent[next]) && x.arrival < next.arrival {
					next = x
				}
			}
			arrival := origin.Add(time.Duration(i) * time.Second / 150) // of operations, for 4 s
			switch {
			case i < 600 && (next == nil || arrival.Before(nextEvent[next])):
				now = arrival
				x := &ticket{guest: "g", lane: laneNew, beginsTransaction: i%8 == 7, deadline: now.Add(timeout), team: q.ensureTeam("team")}
				remaining[x] = 1
				if x.beginsTransaction {
					remaining[x] = statements
				}
				i++
				q.submit(x, now)
			case next == nil:
				return singles, transactions
			case next.phase == phaseIdle: // the pause is over
				now = nextEvent[next]
				delete(nextEvent, next)
				q.continueTransaction(next, time.Time{}, now)
			default:
				now = nextEvent[next]
				delete(nextEvent, next)
				remaining[next]--
				q.finish(next, remaining[next] > 0, now)
				switch {
				case remaining[next] > 0:
					nextEvent[next] = now.Add(pause)
				case next.beginsTransaction:
					transactions++
				default:
					singles++
				}
			}
			startDecided()
		}
	}
	convey.Convey("Many more operations are served, and transactions are not starved", t, func() {
		singlesBefore, before := run(false)
		singles, after := run(true)
		t.Logf("single statements %d and %d of 525, transactions %d and %d of 75", singlesBefore, singles, before, after)
		convey.So(singles+after, convey.ShouldBeGreaterThan, (singlesBefore+before)*5/4)
		convey.So(after, convey.ShouldBeGreaterThan, before/5)
	})
}
