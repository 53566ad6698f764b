package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204") // the same cases on every run
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.nofailfile", "true") // the seed is enough to repeat a failure
	os.Exit(m.Run())
}

// books counts what the tickets hold, apart from the queue's own counters. The connections of each team are counted by
// its name, and those of requests that opened a transaction by "opens".
func books(ts []*ticket) (running, held, waiting int, by map[string]int) {
	by = map[string]int{}
	for _, t := range ts {
		if t.connection {
			by[t.team.name]++
		}
		if t.connection && t.opens {
			by["opens"]++
		}
		if t.phase == phaseRunning {
			running++
		}
		if t.connection {
			held++
		}
		if t.phase == phaseWaiting && t.lane == laneNew {
			waiting++
		}
	}
	return running, held, waiting, by
}

// TestQueueInvariants guards against slots and connections that are exceeded, leaked or left unused while somebody
// waits, and against requests that are lost or decided twice, after any order of events.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := &queue{
			slots: rapid.SampledFrom([]int{2, 5}).Draw(r, "slots"), connections: rapid.IntRange(2, 8).Draw(r, "connections"),
			capacity: rapid.IntRange(0, 12).Draw(r, "capacity"), reserve: rapid.IntRange(0, 1).Draw(r, "reserve"),
			limit: rapid.IntRange(0, 3).Draw(r, "limit"), teams: map[string]*team{},
		}
		q.weights = map[string]int{"a": 3}
		now := time.Unix(0, 0)
		var all []*ticket
		open := map[*ticket]bool{} // waits that were begun and have not been decided
		check := func() {
			for _, d := range q.decided {
				if !open[d] || d.phase == phaseWaiting {
					r.Fatalf("a wait was decided twice")
				}
				if d.phase == phaseRunning && d.expired(now) {
					r.Fatalf("a request runs past its deadline")
				}
				for _, k := range all {
					if d.phase == phaseRunning && d.lane == laneNew && k.phase == phaseWaiting && k.lane == laneOpen && !k.expired(now) {
						r.Fatalf("new work runs before a statement of an open transaction")
					}
				}
				delete(open, d)
			}
			q.decided = nil
			running, held, waiting, by := books(all)
			if running != q.running || running > q.slots || held != q.held || held > q.connections ||
				waiting != q.waiting || waiting > q.capacity {
				r.Fatalf("running %d of %d, %d connections, %d waiting: counted %d, %d, %d",
					q.running, q.slots, q.held, q.waiting, running, held, waiting)
			}
			if by["opens"] > q.connections-q.reserve || q.limit > 0 && max(by["a"], by["b"], by["c"]) > q.limit {
				r.Fatalf("more connections than the reserve or the team limit allows: %v", by)
			}
			for _, k := range all {
				if k.phase == phaseIdle && !k.connection {
					r.Fatalf("a transaction is open without a connection")
				}
				if k.phase == phaseWaiting && q.mayRun(k) && !k.expired(now) {
					r.Fatalf("a request waits although it may run")
				}
			}
		}
		one := func(p phase) *ticket {
			var ks []*ticket
			for _, k := range all {
				if k.phase == p {
					ks = append(ks, k)
				}
			}
			if len(ks) == 0 {
				r.Skip()
			}
			return rapid.SampledFrom(ks).Draw(r, "ticket")
		}
		r.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { check() },
			"push": func(r *rapid.T) {
				k := &ticket{
					team: q.team(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "team")), lane: laneNew,
					guest: rapid.SampledFrom([]string{"x", "y"}).Draw(r, "guest"), write: rapid.Bool().Draw(r, "write"),
					opens: rapid.Bool().Draw(r, "opens"), deadline: now.Add(time.Duration(rapid.IntRange(0, 9).Draw(r, "deadline"))),
				}
				if k.continues = rapid.IntRange(0, 5).Draw(r, "continues") == 0; k.continues {
					k.lane = laneOpen
				}
				all = append(all, k)
				open[k] = true
				q.push(k, now)
			},
			"finish": func(r *rapid.T) { q.finish(one(phaseRunning), rapid.Bool().Draw(r, "keep"), now) },
			"again": func(*rapid.T) {
				k := one(phaseIdle)
				open[k] = true
				q.again(k, now.Add(5), now)
			},
			"cancel": func(*rapid.T) { q.refuse(one(phaseWaiting), jacinthtiller.ReasonDeadline) },
			"release": func(r *rapid.T) {
				q.release(one(rapid.SampledFrom([]phase{phaseRunning, phaseIdle}).Draw(r, "phase")), now)
			},
			"hold": func(*rapid.T) { q.hold = !q.hold; q.dispatch(now) },
			"time": func(*rapid.T) { now = now.Add(1) },
		})
		q.hold = false
		for q.dispatch(now); q.running > 0 || q.held > 0; { // every wait ends when the others end
			for _, k := range all {
				if k.phase == phaseRunning || k.phase == phaseIdle {
					q.release(k, now)
				}
			}
		}
		check()
		if len(open) > 0 || !q.idle() {
			r.Fatalf("%d waits have no end", len(open))
		}
	})
}

// TestOrder guards against an order that is unfair or drops the wrong request. Each case names the requests, "team guest"
// with w for a write and c for a statement of an open transaction, that come while one statement runs on the only slot,
// and what becomes of them in order.
func TestOrder(t *testing.T) {
	cases := map[string]struct {
		capacity int
		hold     bool
		requests []string
		want     string
	}{
		"teams take turns":                                    {9, false, []string{"a 1", "a 1", "a 1", "b 1", "b 1"}, "[a 1 b 1 a 1 b 1 a 1]"},
		"weights count":                                       {9, false, []string{"h 1", "h 1", "h 1", "b 1", "b 1"}, "[h 1 h 1 b 1 h 1 b 1]"},
		"guests take turns":                                   {9, false, []string{"a 1", "a 1", "a 2", "a 3"}, "[a 1 a 2 a 3 a 1]"},
		"the longest queue loses":                             {3, false, []string{"a 1", "a 2", "a 3", "b 1"}, "[-a 3 a 1 b 1 a 2]"},
		"length counts by weight":                             {3, false, []string{"h 1", "h 2", "b 1", "b 2"}, "[-b 2 h 1 h 2 b 1]"},
		"a full team's newest loses":                          {2, false, []string{"b 1", "a 1", "a 2"}, "[-a 2 b 1 a 1]"},
		"open transactions go first and count for their team": {9, false, []string{"a 1", "a 2", "b 1", "b 2", "a 9c"}, "[a 9c b 1 a 1 b 2 a 2]"},
		"reads pass held writes":                              {9, true, []string{"a 1w", "a 1", "b 1w", "b 1"}, "[a 1 b 1]"},
	}
	convey.Convey("Requests end in this order", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				q := &queue{slots: 1, connections: 9, capacity: c.capacity, teams: map[string]*team{}, weights: map[string]int{"h": 2}}
				first := &ticket{team: q.team("z"), lane: laneNew}
				q.push(first, time.Time{})
				q.hold, q.decided = c.hold, nil
				var out []string
				names := map[*ticket]string{}
				for _, s := range c.requests {
					k := &ticket{team: q.team(s[:1]), guest: s[2:3], write: s[3:] == "w", continues: s[3:] == "c", lane: laneNew}
					if k.continues {
						k.lane = laneOpen
					}
					names[k] = s
					q.push(k, time.Time{})
				}
				for k := first; k != nil; {
					q.finish(k, false, time.Time{})
					k = nil
					for _, d := range q.decided {
						if d.phase == phaseRunning {
							k = d
							out = append(out, names[d])
						} else {
							out = append(out, "-"+names[d])
						}
					}
					q.decided = nil
				}
				convey.So(fmt.Sprint(out), convey.ShouldEqual, c.want)
			})
		}
	})
}
