package pool

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
)

// view returns a view with hosts h0.. of one domain and a direct group of targets a (primary), b and c.
func view(hosts, connections int) jacinthtiller.View {
	v := jacinthtiller.View{
		Index: 1, Hosts: map[string]jacinthtiller.Host{}, Databases: map[string]jacinthtiller.Database{},
		Edition: &jacinthtiller.Edition{Groups: map[string]jacinthtiller.Group{"db": {Connections: connections}}},
	}
	for i := range hosts {
		n := fmt.Sprintf("h%d", i)
		v.Hosts[n] = jacinthtiller.Host{Name: n, Domain: "d1", Link: "link-" + n}
	}
	d := jacinthtiller.Database{Name: "db", Direct: true, Term: 1, Primary: "a"}
	for i, n := range []string{"a", "b", "c"} {
		d = d.WithTarget(jacinthtiller.Target{
			Name: n, Database: "db", Address: "10.0.0.1:" + n, Domain: fmt.Sprintf("d%d", i+1), Slots: 2, State: jacinthtiller.StateServing,
		})
	}
	v.Databases["db"] = d
	return v
}

func newJob(text string) jacinthtiller.Job {
	return jacinthtiller.Job{
		TargetRequest: jacinthtiller.TargetRequest{ID: "1", Text: text}, Route: "r", Guest: "g", Deadline: time.Now().Add(5 * time.Second),
	}
}

func run(t *Target, j jacinthtiller.Job) (jacinthtiller.Reply, error) {
	c, err := t.Open(j)
	if err != nil {
		return jacinthtiller.Reply{}, err
	}
	r, err := c.Run(j)
	if err != nil {
		c.Drop("test")
		return r, err
	}
	c.Put()
	return r, nil
}

// TestSyncSession guards against statements that run with the session values or prepared statements of another guest.
func TestSyncSession(t *testing.T) {
	convey.Convey("On one connection that guests share", t, func() {
		f := newFakeTargets()
		p := New(f, fakeDialect{}, WithHost("h0"))
		defer p.Close()
		v := view(1, 30)
		p.Apply(v)
		a := p.Find(v.Databases["db"].Targets["a"])
		with := func(values map[string]string, s *jacinthtiller.PreparedStatement) jacinthtiller.Job {
			j := newJob("read")
			j.Values, j.Statement = values, s
			return j
		}
		s := &jacinthtiller.PreparedStatement{Name: "p1", Access: jacinthtiller.AccessRead, Shape: "x"}
		for _, j := range []jacinthtiller.Job{
			with(map[string]string{"k": "1"}, nil), with(map[string]string{"k": "1"}, s), with(map[string]string{"k": "2"}, s),
			with(nil, s), with(nil, s),
		} {
			_, err := run(a, j)
			convey.So(err, convey.ShouldBeNil)
		}
		convey.So(f.sent("a"), convey.ShouldResemble, []string{
			"set k=1", "read", "prepare p1 x", "read", "set k=2", "read", "reset", "prepare p1 x", "read", "read",
		})
		convey.So(f.dials, convey.ShouldEqual, 1)
		convey.Convey("the request is not sent after a set that failed", func() {
			f.set(func() {
				f.reply = func(_ string, o jacinthtiller.TargetRequest) (jacinthtiller.Reply, error) {
					return jacinthtiller.Reply{Body: []byte("no"), ErrorCode: jacinthtiller.ErrorCodeBusy, State: jacinthtiller.StateIdle}, nil
				}
			})
			_, err := run(a, with(map[string]string{"k": "3"}, nil))
			var notSent *jacinthtiller.NotSentError
			convey.So(errors.As(err, &notSent), convey.ShouldBeTrue)
			convey.So(f.sent("a"), convey.ShouldHaveLength, 11) // the set, and no read after it
		})
	})
}

// TestPaths guards against targets that stay unused because one path to them has failed, and against connections from a
// host that is not a gateway.
func TestPaths(t *testing.T) {
	convey.Convey("With other hosts that relay", t, func() {
		f := newFakeTargets()
		relays := &fakeRelays{down: map[string]bool{}, count: map[string]int{}}
		p := New(f, fakeDialect{}, WithHost("h0"), WithRelays(relays))
		defer p.Close()
		convey.Convey("a gateway that cannot reach the target uses another gateway", func() {
			v := view(3, 30)
			p.Apply(v)
			a := p.Find(v.Databases["db"].Targets["a"])
			convey.So(a.Direct(), convey.ShouldBeTrue)
			f.set(func() { f.down["a"] = true })
			_, err := run(a, newJob("read"))
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(a.FailingSince().IsZero(), convey.ShouldBeFalse)
			r, err := run(a, newJob("read"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(r.Body), convey.ShouldEqual, "relayed")
			convey.Convey("and direct connections again once they work", func() {
				f.set(func() { f.down["a"] = false })
				convey.So(a.Probe(), convey.ShouldBeTrue)
				convey.So(a.FailingSince().IsZero(), convey.ShouldBeTrue)
				r, err := run(a, newJob("read"))
				convey.So(err, convey.ShouldBeNil)
				convey.So(string(r.Body), convey.ShouldEqual, "ok")
			})
		})
		convey.Convey("a host that is not a gateway opens no connections and reports no failures", func() {
			v := view(40, 30)
			p.Apply(v)
			var remote *Target
			for _, n := range []string{"a", "b", "c"} {
				if x := p.Find(v.Databases["db"].Targets[n]); !x.Direct() {
					remote = x
				}
			}
			convey.So(remote, convey.ShouldNotBeNil)
			for range 5 {
				_, err := run(remote, newJob("read"))
				convey.So(err, convey.ShouldBeNil)
			}
			convey.So(f.dials, convey.ShouldEqual, 0)
			convey.So(remote.FailingSince().IsZero(), convey.ShouldBeTrue)
			convey.Convey("and uses another gateway when its preferred one is lost", func() {
				relays.mu.Lock()
				for address := range relays.count {
					relays.down[address] = true
				}
				relays.mu.Unlock()
				for _, w := range remote.relayPaths {
					w.closeIdle(time.Time{})
				}
				_, _ = run(remote, newJob("read"))
				_, err := run(remote, newJob("read"))
				convey.So(err, convey.ShouldBeNil)
				convey.So(relays.count, convey.ShouldHaveLength, 2)
			})
		})
	})
}

// TestRefusedConnections guards against a flood of connection attempts to a target that has no free connection.
func TestRefusedConnections(t *testing.T) {
	convey.Convey("Connection attempts to a target without a free connection are rate-limited", t, func() {
		f := newFakeTargets()
		f.refusal["a"] = jacinthtiller.ErrorCodeConnections
		p := New(f, fakeDialect{}, WithHost("h0"))
		defer p.Close()
		v := view(1, 30)
		p.Apply(v)
		a := p.Find(v.Databases["db"].Targets["a"])
		for range 20 {
			_, err := run(a, newJob("read"))
			convey.So(err, convey.ShouldNotBeNil)
		}
		convey.So(f.dials, convey.ShouldBeLessThan, 5)
		convey.So(a.Usable(time.Now()), convey.ShouldBeTrue)
	})
}

// TestChoose guards against reads that all go to one target, to a leaving target, or to a distant one without need. It
// includes replicas that are behind while the primary is overloaded.
func TestChoose(t *testing.T) {
	now := time.Now()
	p := New(newFakeTargets(), fakeDialect{}, WithHost("h0"), WithLocation("d1", map[string]string{"d1": "r1", "d2": "r1", "d3": "r2"}))
	defer p.Close()
	v := view(1, 30)
	p.Apply(v)
	d := v.Databases["db"]
	find := func(n string) *Target { return p.Find(d.Targets[n]) }
	after := jacinthtiller.Position{Term: 1, Index: 100}
	cases := map[string]struct {
		set  func()
		c    ReadRequirements
		want string
		wait bool
	}{
		"nothing is known: the nearest":        {func() {}, ReadRequirements{}, "a", false},
		"the nearest is crowded":               {func() { find("a").load = 30 }, ReadRequirements{}, "b", false},
		"the nearest has failed the read":      {func() {}, ReadRequirements{Tried: []*Target{find("a")}}, "b", false},
		"the next one is far slower":           {func() { find("b").latencyMicroseconds, find("b").latencyAt = 500_000, now }, ReadRequirements{Tried: []*Target{find("a")}}, "c", false},
		"the next one was far slower 10 s ago": {func() { find("b").latencyMicroseconds, find("b").latencyAt = 500_000, now.Add(-10*time.Second) }, ReadRequirements{Tried: []*Target{find("a")}}, "b", false},
		"work for the primary is dear":         {func() {}, ReadRequirements{PrimaryCostMicroseconds: 30_000}, "b", false},
		"a replica is behind by more than the crowd": {func() {
			find("a").load = 10
			find("b").lagMicroseconds, find("b").lagAt = 5_000_000, now
			find("c").lagMicroseconds, find("c").lagAt = 5_000_000, now
		}, ReadRequirements{After: after, AfterReachedAt: now.Add(-2 * time.Second)}, "a", false},
		"a replica is behind by less than the crowd": {func() {
			find("a").load = 100
			find("b").lagMicroseconds, find("b").lagAt = 2_200_000, now
			find("c").lagMicroseconds, find("c").lagAt = 5_000_000, now
		}, ReadRequirements{After: after, AfterReachedAt: now.Add(-2 * time.Second)}, "b", true},
	}
	convey.Convey("A read goes to the target with the lowest expected response time", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				for _, n := range []string{"a", "b", "c"} {
					x := find(n)
					x.latencyMicroseconds, x.latencyAt, x.load, x.lagMicroseconds, x.lagAt = 20_000, now, 0, 0, time.Time{}
				}
				c.set()
				got, wait := p.Choose(d, c.c, now)
				convey.So(got.Spec().Name, convey.ShouldEqual, c.want)
				convey.So(wait > 0, convey.ShouldEqual, c.wait)
			})
		}
		convey.Convey("but never to a leaving target", func() {
			leaving := d
			for _, n := range []string{"a", "b"} {
				x := leaving.Targets[n]
				x.State = jacinthtiller.StateLeaving
				leaving = leaving.WithTarget(x)
			}
			got, _ := p.Choose(leaving, ReadRequirements{}, now)
			convey.So(got.Spec().Name, convey.ShouldEqual, "c")
		})
	})
}

// TestViewsWhileWorking guards against data races between a new view and running statements; it needs -race.
func TestViewsWhileWorking(t *testing.T) {
	convey.Convey("Views arrive while statements run", t, func() {
		p := New(newFakeTargets(), fakeDialect{}, WithHost("h0"))
		defer p.Close()
		v := view(3, 30)
		p.Apply(v)
		var group conc.WaitGroup
		stop := make(chan struct{})
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
					p.Apply(view(1+i%5, 20+i%20))
				}
			}
		})
		failed := 0
		for range 500 {
			x, _ := p.Choose(v.Databases["db"], ReadRequirements{}, time.Now())
			if x == nil {
				failed++
				continue
			}
			if _, err := run(x, newJob("read")); err != nil {
				failed++
			}
		}
		close(stop)
		group.Wait()
		convey.So(failed, convey.ShouldEqual, 0)
	})
}

// TestPriorityClasses guards against guests of a route with many guests who wait longer at an overloaded primary than those
// of a route with few guests and the same priority.
func TestPriorityClasses(t *testing.T) {
	convey.Convey("Routes share a target by their priority", t, func() {
		p := New(newFakeTargets(), fakeDialect{}, WithHost("h0"))
		defer p.Close()
		v := view(1, 30)
		v.Edition.Routes = map[string]jacinthtiller.Route{
			"small": {Name: "small", Priority: 2}, "large": {Name: "large", Priority: 2}, "urgent": {Name: "urgent", Priority: 0},
			"least": {Name: "least", Priority: 9},
		}
		p.Apply(v)
		convey.So(p.priorityClassOf("small"), convey.ShouldEqual, p.priorityClassOf("large"))
		weights := priorityWeights()
		convey.So(weights[p.priorityClassOf("urgent")], convey.ShouldEqual, 4*weights[p.priorityClassOf("small")])
		convey.So(p.priorityClassOf("not in the view"), convey.ShouldEqual, p.priorityClassOf("least"))
	})
}

// TestOddTarget guards against a target that gets no requests because a report recorded by an earlier version gives it a number
// of slots or a warm-up time above all sense.
func TestOddTarget(t *testing.T) {
	cases := map[string]func(t *jacinthtiller.Target){
		"2^61 slots":               func(t *jacinthtiller.Target) { t.Slots = 1 << 61 },
		"the greatest slots":       func(t *jacinthtiller.Target) { t.Slots = 1<<63 - 1 },
		"slots below zero":         func(t *jacinthtiller.Target) { t.Slots = -1 << 62 },
		"a warm-up of a long time": func(t *jacinthtiller.Target) { t.WarmupMilliseconds = 1 << 62 },
		"the greatest warm-up":     func(t *jacinthtiller.Target) { t.WarmupMilliseconds = 1<<63 - 1 },
		"a port out of range":      func(t *jacinthtiller.Target) { t.Address = "10.0.0.1:99999" },
	}
	convey.Convey("A view names a target with an odd entry", t, func() {
		for name, change := range cases {
			convey.Convey(name, func() {
				p := New(newFakeTargets(), fakeDialect{}, WithHost("h0"))
				defer p.Close()
				v := view(1, 30)
				odd := v.Databases["db"].Targets["b"]
				change(&odd)
				v.Databases["db"] = v.Databases["db"].WithTarget(odd)
				p.Apply(v)
				for range 20 {
					_, err := run(p.Find(odd), newJob("read"))
					convey.So(err, convey.ShouldBeNil)
				}
			})
		}
	})
}
