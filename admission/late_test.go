package admission

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// replay runs a load on a queue of the given slots: arrivals in order of time, each of which needs a slot for work and is
// in time if it ends before useful. It returns how many of the requests that arrive from fresh on were in time, and how
// many of all were served by their deadline.
func replay(slots int, work time.Duration, arrivals []*ticket, at []time.Time, fresh time.Time) (inTime, served int) {
	q := &queue{slots: slots, connections: 1000, capacity: 10000, teams: map[string]*team{}}
	ends := map[*ticket]time.Time{}
	arrival := map[*ticket]time.Time{}
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
			arrival[t] = now
			t.team = q.team("team")
			q.push(t, now)
			i++
		} else {
			now = ends[next]
			delete(ends, next)
			q.finish(next, false, now)
		}
		for _, t := range q.decided {
			if t.phase == phaseRunning {
				ends[t] = now.Add(work)
				served++
				if !arrival[t].Before(fresh) && now.Add(work).Before(arrival[t].Add(500*time.Millisecond)) {
					inTime++
				}
			}
		}
		q.decided = q.decided[:0]
	}
	return inTime, served
}

// TestReturningCrowd names the pattern of an outage's end: guests that were held up for two seconds come back at once,
// with more work than the target does in a second, while new guests arrive as usual. It guards against new guests that
// become late behind those who are late whatever happens.
func TestReturningCrowd(t *testing.T) {
	origin := time.Unix(1000, 0)
	const slots, work, crowd, usual = 5, 33 * time.Millisecond, 250, 150
	load := func(withUse bool) ([]*ticket, []time.Time) {
		var tickets []*ticket
		var at []time.Time
		add := func(when, began time.Time) {
			t := &ticket{guest: "g", lane: laneNew, deadline: when.Add(3 * time.Second)}
			if withUse {
				t.useful = began.Add(500 * time.Millisecond)
			}
			tickets, at = append(tickets, t), append(at, when)
		}
		for range crowd {
			add(origin, origin.Add(-2*time.Second))
		}
		for i := range usual {
			when := origin.Add(time.Duration(i) * 10 * time.Millisecond)
			add(when, when)
		}
		return tickets, at
	}
	convey.Convey("With the time of use, more new guests are served in time and none is lost", t, func() {
		tickets, at := load(false)
		before, servedBefore := replay(slots, work, tickets, at, origin.Add(time.Millisecond))
		tickets, at = load(true)
		after, servedAfter := replay(slots, work, tickets, at, origin.Add(time.Millisecond))
		convey.So(before, convey.ShouldBeLessThan, usual/10)
		convey.So(after, convey.ShouldBeGreaterThan, usual*9/10)
		convey.So(servedAfter, convey.ShouldBeGreaterThanOrEqualTo, servedBefore)
	})
}

// TestLateLane guards against late work that is lost, that goes before open transactions, or that a drain forgets.
func TestLateLane(t *testing.T) {
	now := time.Unix(1000, 0)
	convey.Convey("On a busy queue of one slot", t, func() {
		q := &queue{slots: 1, connections: 10, capacity: 10, teams: map[string]*team{}}
		ask := func(useful time.Time) *ticket {
			x := &ticket{guest: "g", lane: laneNew, useful: useful, team: q.team("team")}
			q.push(x, now)
			return x
		}
		running := ask(time.Time{})
		late, timely := ask(now.Add(time.Second)), ask(now.Add(time.Minute))
		now = now.Add(2 * time.Second)
		convey.Convey("work in time goes first, then late work", func() {
			q.finish(running, false, now)
			convey.So(timely.phase, convey.ShouldEqual, phaseRunning)
			convey.So(late.phase, convey.ShouldEqual, phaseWaiting)
			q.finish(timely, false, now)
			convey.So(late.phase, convey.ShouldEqual, phaseRunning)
			q.finish(late, false, now)
			convey.So(q.running+q.held+q.waiting, convey.ShouldEqual, 0)
		})
		convey.Convey("a drain refuses both", func() {
			q.finish(running, true, now) // begins timely
			q.draining = true
			q.flush(laneNew, jacinthtiller.ReasonDraining)
			q.flush(laneLate, jacinthtiller.ReasonDraining)
			convey.So(late.reason, convey.ShouldEqual, jacinthtiller.ReasonDraining)
		})
	})
}
