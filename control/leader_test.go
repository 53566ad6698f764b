package control

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// harness holds a state, its leader and a virtual clock. positions holds the positions that targets answer when they are
// fenced; a target without one does not answer.
type harness struct {
	state     *state
	leader    *leader
	index     uint64
	now       time.Time
	positions map[string]jacinthtiller.Position
}

func newHarness() *harness {
	return &harness{state: newState(), leader: newLeader(), now: time.Unix(1000, 0), positions: map[string]jacinthtiller.Position{}}
}

func (w *harness) apply(c Command) commandResult {
	w.index++
	next, a, _ := apply(w.state, w.index, c)
	w.state = next
	return a
}

// settle steps the leader until it has no more commands, and answers its fencing calls.
func (w *harness) settle() {
	for range 20 {
		d := w.leader.step(w.state, w.now)
		for _, f := range d.fences {
			r := fenceResult{fenceCall: f, position: w.positions[f.target]}
			if r.position.IsZero() {
				r.err = errNoHeartbeat
			}
			w.leader.recordFence(r, w.now)
		}
		if len(d.commands) == 0 && len(d.fences) == 0 {
			return
		}
		if len(d.commands) > 0 {
			w.apply(Command{Batch: d.commands})
		}
	}
}

func (w *harness) register(host, domain, incarnation string) commandResult {
	return w.apply(Command{Register: &registerCommand{Host: jacinthtiller.Host{
		Name: host, Domain: domain, RPC: "http://" + host, Incarnation: incarnation,
	}}})
}

// renew renews the leases of the hosts, which have the newest view in force.
func (w *harness) renew(hosts ...string) (out jacinthtiller.RenewResponse) {
	for _, h := range hosts {
		out = w.leader.renew(w.state, jacinthtiller.RenewRequest{
			Host: h, Incarnation: w.state.View.Hosts[h].Incarnation, Index: w.state.View.Index,
		}, w.now)
	}
	return out
}

// run advances the clock while the hosts renew.
func (w *harness) run(d time.Duration, hosts ...string) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.renew(hosts...)
		w.settle()
		w.now = w.now.Add(100 * time.Millisecond)
	}
	w.renew(hosts...)
	w.settle()
}

func (w *harness) observe(target, domain string, role jacinthtiller.Role) {
	w.apply(Command{Observe: &observeCommand{Announcement: announcement(target, domain, role, "1/5")}})
}

func (w *harness) reportLost(target string) commandResult {
	t := w.target(target)
	return w.apply(Command{Lost: &lostCommand{Host: t.Owner, Database: "db", Target: target, Epoch: t.Epoch}})
}

func (w *harness) db() jacinthtiller.Database              { return w.state.View.Databases["db"] }
func (w *harness) target(name string) jacinthtiller.Target { return w.db().Targets[name] }
func (w *harness) host(name string) jacinthtiller.Host     { return w.state.View.Hosts[name] }
func (w *harness) setPosition(target string, term, index uint64) {
	w.positions[target] = jacinthtiller.Position{Term: term, Index: index}
}
func (w *harness) primary() (term uint64, primary string) { return w.db().Term, w.db().Primary }
func (w *harness) move(target string) commandResult {
	return w.apply(Command{Move: &moveCommand{Database: "db", Term: w.db().Term, Target: target}})
}

// standardHarness has hosts a1, a2, b1, c1 in domains a, b, c with one target each; t1 in a leads term 1.
func standardHarness() *harness {
	w := newHarness()
	for h, d := range map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"} {
		w.register(h, d, "1")
	}
	w.observe("t1", "a", jacinthtiller.RolePrimary)
	w.observe("t2", "b", jacinthtiller.RoleReplica)
	w.observe("t3", "c", jacinthtiller.RoleReplica)
	w.setPosition("t1", 1, 9)
	w.setPosition("t2", 1, 7)
	w.setPosition("t3", 1, 8)
	w.run(0, "a1", "a2", "b1", "c1")
	return w
}

var all = []string{"a1", "a2", "b1", "c1"}

// TestDecisions guards against wrong decisions about leases, owners, promotions, moves and removals.
func TestDecisions(t *testing.T) {
	so, eq := convey.So, convey.ShouldEqual
	cases := map[string]func(w *harness){
		"owners are live hosts of the domain with the fewest targets": func(w *harness) {
			so(w.target("t1").Owner, eq, "a1")
			so(w.target("t2").Owner, eq, "b1")
			w.observe("t4", "a", jacinthtiller.RoleReplica)
			w.settle()
			so(w.target("t4").Owner, eq, "a2")
		},
		"a host without a granted lease gets no targets": func(w *harness) {
			w.register("d1", "d", "1")
			w.observe("t4", "d", jacinthtiller.RoleReplica)
			w.settle()
			so(w.target("t4").Owner, eq, "")
			w.renew("d1")
			w.settle()
			so(w.target("t4").Owner, eq, "d1")
		},
		"a lease ends only after its length and the rate bound": func(w *harness) {
			w.now = w.now.Add(Lease + ClockRateBound - 1)
			w.settle()
			so(w.host("a1").LeaseEnded, convey.ShouldBeFalse)
			w.now = w.now.Add(1)
			w.settle()
			so(w.host("a1").LeaseEnded, convey.ShouldBeTrue)
		},
		"targets of a host that is gone go to another of the domain in the same term": func(w *harness) {
			w.run(2*time.Second, "a2", "b1", "c1")
			so(w.target("t1").Owner, eq, "a2")
			so(w.target("t1").Epoch, eq, 2)
			so(w.db().Term, eq, 1)
		},
		"without a host in the domain a replica keeps its owner and a primary is replaced": func(w *harness) {
			w.run(2*time.Second, "a1", "a2", "b1")
			so(w.target("t3").Owner, eq, "c1")
			w.positions["t3"] = jacinthtiller.Position{}
			w.run(2*time.Second, "b1")
			so(w.db().Term, eq, 2)
			so(w.db().Primary, eq, "")
			so(w.target("t1").Owner, eq, "a1")
			w.register("c1", "c", "1")
			w.setPosition("t3", 1, 8)
			w.run(time.Second, "b1", "c1")
			so(w.db().Primary, eq, "t3")
		},
		"a new leader treats no host as gone for a full lease": func(w *harness) {
			w.now = w.now.Add(Lease)
			w.leader = newLeader()
			w.settle()
			w.now = w.now.Add(Lease)
			w.settle()
			so(w.host("a1").LeaseEnded, convey.ShouldBeFalse)
			w.now = w.now.Add(ClockRateBound)
			w.settle()
			so(w.host("a1").LeaseEnded, convey.ShouldBeTrue)
		},
		"a released host gives up its targets at once": func(w *harness) {
			w.apply(Command{EndLease: &endLeaseCommand{Host: "a1", Incarnation: "1", Released: true}})
			w.settle()
			so(w.target("t1").Owner, eq, "a2")
			w.apply(Command{EndLease: &endLeaseCommand{Host: "a2", Incarnation: "1", Released: true}})
			w.settle()
			term, primary := w.primary()
			so(term, eq, 2)
			so(primary, eq, "t3")
			w.apply(Command{EndLease: &endLeaseCommand{Host: "b1", Incarnation: "1", Released: true}})
			so(w.target("t2").Owner, eq, "")
		},
		"a lost primary is replaced at once by the target with the greatest position": func(w *harness) {
			so(w.reportLost("t1").Code, eq, codeDone)
			so(w.db().Term, eq, 2)
			w.settle()
			so(w.db().Primary, eq, "t3")
			so(w.target("t1").Owner, eq, "")
			w.observe("t1", "a", jacinthtiller.RolePrimary)
			w.settle()
			so(w.target("t1").Owner, eq, "a1")
		},
		"a report of a lost target from an earlier epoch changes nothing": func(w *harness) {
			a := w.apply(Command{Lost: &lostCommand{Host: "a1", Database: "db", Target: "t1", Epoch: 0}})
			so(a.Code, eq, codeStale)
			a = w.apply(Command{Lost: &lostCommand{Host: "a2", Database: "db", Target: "t1", Epoch: 1}})
			so(a.Code, eq, codeStale)
			so(w.db().Primary, eq, "t1")
		},
		"a lost replica keeps its owner and comes back at a new epoch": func(w *harness) {
			before := w.target("t2")
			w.reportLost("t2")
			w.settle()
			so(w.target("t2").Owner, eq, "b1")
			so(w.target("t2").Lost, convey.ShouldBeTrue)
			w.observe("t2", "b", jacinthtiller.RoleReplica)
			so(w.target("t2").Lost, convey.ShouldBeFalse)
			so(w.target("t2").Epoch, convey.ShouldBeGreaterThan, before.Epoch)
		},
		"a lost target whose owner does not answer goes to the host that reports it": func(w *harness) {
			w.register("b2", "b", "1")
			w.reportLost("t2")
			w.apply(Command{Observe: &observeCommand{
				Host: "b2", OwnerUnreachable: true, Announcement: announcement("t2", "b", jacinthtiller.RoleReplica, "1/5"),
			}})
			so(w.target("t2").Owner, eq, "b2")
		},
		"no primary is chosen without a majority": func(w *harness) {
			w.positions["t2"] = jacinthtiller.Position{}
			w.reportLost("t1")
			w.run(5*time.Second, all...)
			so(w.db().Primary, eq, "")
			w.setPosition("t2", 1, 7)
			w.run(time.Second, all...)
			so(w.db().Primary, eq, "t3")
		},
		"a target that is lost during a promotion is not chosen": func(w *harness) {
			w.positions["t2"] = jacinthtiller.Position{}
			w.reportLost("t1")
			w.settle()
			w.reportLost("t3")
			so(w.apply(Command{Commit: &commitCommand{Database: "db", Term: 2, Target: "t3"}}).Code, eq, codeStale)
			w.leader.recordFence(fenceResult{fenceCall: fenceCall{database: "db", target: "t2", term: 2}, position: jacinthtiller.Position{Term: 1, Index: 7}}, w.now)
			so(w.leader.step(w.state, w.now).commands, convey.ShouldBeEmpty)
			w.observe("t3", "c", jacinthtiller.RoleReplica)
			d := w.leader.step(w.state, w.now.Add(2*fenceTimeout))
			so(d.commands, convey.ShouldBeEmpty)
			so(d.fences[len(d.fences)-1].target, eq, "t3")
			w.run(time.Second, all...)
			so(w.db().Primary, eq, "t3")
		},
		"a new leader resumes an open promotion in the same term": func(w *harness) {
			w.reportLost("t1")
			w.leader = newLeader()
			w.run(0, all...)
			term, primary := w.primary()
			so(term, eq, 2)
			so(primary, eq, "t3")
		},
		"answers of an earlier term do not count": func(w *harness) {
			w.reportLost("t1")
			w.leader.step(w.state, w.now)
			w.leader.recordFence(fenceResult{fenceCall: fenceCall{database: "db", target: "t2", term: 1}, position: w.positions["t2"]}, w.now)
			so(w.leader.promotions["db"].answers, convey.ShouldBeEmpty)
		},
		"a planned move ends with the successor as primary": func(w *harness) {
			so(w.move("t3").Code, eq, codeDone)
			so(w.db().Successor, eq, "t3")
			w.run(time.Second, all...)
			so(w.db().Primary, eq, "t1")
			w.setPosition("t2", 1, 9)
			w.setPosition("t3", 1, 9)
			w.reportLost("t1")
			w.run(0, all...)
			term, primary := w.primary()
			so(term, eq, 2)
			so(primary, eq, "t3")
			so(w.db().Successor, eq, "")
			so(w.target("t1").Owner, eq, "a1")
			so(w.target("t1").Lost, convey.ShouldBeFalse)
		},
		"a move never prefers a successor that is behind": func(w *harness) {
			w.move("t2")
			w.reportLost("t1")
			w.run(0, all...)
			so(w.db().Primary, eq, "t3")
			so(w.db().Term, eq, 2)
		},
		"a promotion waits for a limited time for the answer of the move's successor": func(w *harness) {
			w.move("t2")
			w.positions["t2"] = jacinthtiller.Position{}
			w.reportLost("t1")
			w.settle()
			so(w.db().Primary, eq, "")
			w.run(preferredTargetWait, all...)
			so(w.db().Primary, eq, "t1")
		},
		"a move that does not end in time is cancelled": func(w *harness) {
			w.move("t2")
			w.run(moveTimeout+2*scanInterval, all...)
			so(w.db().Successor, eq, "")
			so(w.db().Primary, eq, "t1")
		},
		"a move whose successor is lost is cancelled": func(w *harness) {
			w.move("t2")
			w.reportLost("t2")
			w.settle()
			so(w.db().Successor, eq, "")
		},
		"a leaving primary is moved away": func(w *harness) {
			w.apply(Command{Leave: &leaveCommand{Database: "db", Target: "t1"}})
			w.observe("t1", "a", jacinthtiller.RolePrimary)
			so(w.target("t1").State, eq, jacinthtiller.StateLeaving)
			w.settle()
			so(w.db().Successor, eq, "t2")
		},
		"a target that has left is removed only in the term of its removal check": func(w *harness) {
			w.apply(Command{Leave: &leaveCommand{Database: "db", Target: "t3"}})
			w.reportLost("t3")
			d := w.leader.step(w.state, w.now)
			so(d.removalChecks, convey.ShouldHaveLength, 1)
			so(d.removalChecks[0].others, convey.ShouldResemble, map[string]string{"t2": "http://b1"})
			so(d.removalChecks[0].quorum, eq, 2)
			so(w.apply(Command{Remove: &removeCommand{Database: "db", Target: "t3", Term: 0}}).Code, eq, codeStale)
			so(w.apply(Command{Remove: &removeCommand{Database: "db", Target: "t2", Term: 1}}).Code, eq, codeStale)
			so(w.apply(Command{Remove: &removeCommand{Database: "db", Target: "t3", Term: 1}}).Code, eq, codeDone)
			so(w.db().Targets, convey.ShouldHaveLength, 2)
			so(w.db().Quorum(), eq, 2)
		},
		"a group takes one target more than its size": func(w *harness) {
			w.observe("t4", "a", jacinthtiller.RoleReplica)
			w.observe("t5", "a", jacinthtiller.RoleReplica)
			so(w.db().Targets, convey.ShouldHaveLength, 4)
		},
		"a handover waits until the former owner has it in force": func(w *harness) {
			w.register("b2", "b", "1")
			w.apply(Command{Observe: &observeCommand{Announcement: jacinthtiller.Announcement{Database: "other", Target: "x", Domain: "b", GroupSize: 1, Term: 1, Role: jacinthtiller.RolePrimary}}})
			w.run(0, all...)
			for range 4 { // b2 holds its lease, b1 owns two targets
				w.run(time.Second, append(all, "b2")...)
			}
			so(w.target("t2").Owner, eq, "b2")
			so(w.state.Handovers, convey.ShouldBeEmpty)
		},
		"a host restarted within its lease waits for the lease of its former process": func(w *harness) {
			so(w.register("a1", "a", "2").Code, eq, codeBusy)
			w.run(2*time.Second, "b1", "c1")
			so(w.register("a1", "a", "2").Code, eq, codeDone)
		},
		"a host that comes back as another process gets its targets at a new epoch": func(w *harness) {
			w.run(2*time.Second, "a1", "a2", "b1")
			before := w.target("t3").Epoch
			w.register("c1", "c", "2")
			so(w.target("t3").Owner, eq, "c1")
			so(w.target("t3").Epoch, eq, before+1)
		},
		"no lease is granted under a view older than the registration": func(w *harness) {
			w.run(2*time.Second, "a2", "b1", "c1")
			old := w.state.View.Index
			w.register("a1", "a", "1")
			so(w.leader.renew(w.state, jacinthtiller.RenewRequest{Host: "a1", Incarnation: "1", Index: old}, w.now), convey.ShouldResemble, jacinthtiller.RenewResponse{})
			so(w.renew("a1").LeaseMicroseconds, eq, Lease.Microseconds())
		},
		"no lease is granted once the end of the host is decided": func(w *harness) {
			w.now = w.now.Add(Lease + ClockRateBound)
			w.leader.step(w.state, w.now)
			so(w.renew("a1").Unregistered, convey.ShouldBeTrue)
		},
		"a lease of another incarnation is refused": func(w *harness) {
			r := w.leader.renew(w.state, jacinthtiller.RenewRequest{Host: "a1", Incarnation: "0", Index: w.state.View.Index}, w.now)
			so(r.Unregistered, convey.ShouldBeTrue)
		},
		"decisions made before a new registration change nothing": func(w *harness) {
			w.run(2*time.Second, "a1", "a2", "c1")
			epoch := w.target("t2").Epoch
			so(w.apply(Command{Assign: &assignCommand{Database: "db", Target: "t2", Epoch: epoch - 1, Host: "a1"}}).Code, eq, codeStale)
			w.register("b1", "b", "1")
			so(w.apply(Command{Assign: &assignCommand{Database: "db", Target: "t2", Epoch: epoch, Host: "a1"}}).Code, eq, codeStale)
			so(w.apply(Command{Open: &openCommand{Database: "db", From: 1, Term: 2}}).Code, eq, codeStale)
			so(w.apply(Command{Commit: &commitCommand{Database: "db", Term: 1, Target: "t2"}}).Code, eq, codeStale)
		},
		"a host that is gone and owns nothing is forgotten after an hour": func(w *harness) {
			w.apply(Command{EndLease: &endLeaseCommand{Host: "a2", Incarnation: "1", Released: true}})
			w.settle()
			w.run(time.Minute, "a1", "b1", "c1")
			so(w.state.View.Hosts, convey.ShouldContainKey, "a2")
			w.now = w.now.Add(hostRetention)
			w.renew("a1", "b1", "c1")
			w.settle()
			so(w.state.View.Hosts, convey.ShouldNotContainKey, "a2")
			so(w.state.View.Hosts, convey.ShouldContainKey, "a1")
		},
	}
	convey.Convey("Given three domains and a database with a primary", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() { c(standardHarness()) })
		}
	})
}

// TestRebalance guards against a handover that takes a primary although a replica would do, or that assigns a target to
// its next owner too early.
func TestRebalance(t *testing.T) {
	convey.Convey("Given one host with three targets and one that joins", t, func() {
		w := newHarness()
		w.register("a1", "a", "1")
		w.observe("t1", "a", jacinthtiller.RolePrimary)
		w.observe("t2", "a", jacinthtiller.RoleReplica)
		w.observe("t3", "a", jacinthtiller.RoleReplica)
		w.run(0, "a1")
		w.register("a2", "a", "1")
		w.run(rebalanceDelay-scanInterval, "a1", "a2")
		convey.So(w.target("t2").Owner, convey.ShouldEqual, "a1")
		w.now = w.now.Add(scanInterval)
		w.renew("a1", "a2")
		d := w.leader.step(w.state, w.now)
		convey.So(d.commands, convey.ShouldHaveLength, 1)
		old := w.state.View.Index
		w.apply(Command{Batch: d.commands})
		convey.So(w.target("t2").Owner, convey.ShouldEqual, "")

		convey.Convey("the target waits for the former owner", func() {
			w.renew("a2")
			w.leader.renew(w.state, jacinthtiller.RenewRequest{Host: "a1", Incarnation: "1", Index: old}, w.now)
			convey.So(w.leader.step(w.state, w.now).commands, convey.ShouldBeEmpty)
			convey.So(w.apply(Command{Assign: &assignCommand{
				Database: "db", Target: "t2", Epoch: w.target("t2").Epoch, Host: "a2", InForce: old,
			}}).Code, convey.ShouldEqual, codeStale)
			w.renew("a1")
			w.settle()
			convey.So(w.target("t2").Owner, convey.ShouldEqual, "a2")
			convey.So(w.target("t1").Owner, convey.ShouldEqual, "a1")
			w.run(10*time.Second, "a1", "a2")
			convey.So(w.target("t3").Owner, convey.ShouldEqual, "a1")
		})
		convey.Convey("the end of the former owner's lease frees the target", func() {
			w.run(2*time.Second, "a2")
			convey.So(w.target("t2").Owner, convey.ShouldEqual, "a2")
			convey.So(w.target("t1").Owner, convey.ShouldEqual, "a2")
		})
	})
}

// TestBootstrap guards against a first primary that lacks commits of a majority.
func TestBootstrap(t *testing.T) {
	primary, replica := jacinthtiller.RolePrimary, jacinthtiller.RoleReplica
	type target struct {
		name string
		role jacinthtiller.Role
		term uint64
	}
	cases := map[string]struct {
		targets []target
		// waitSeconds is how long the leader runs after the announcements.
		waitSeconds int
		term        uint64
		primary     string
	}{
		"no majority":                  {[]target{{"t1", primary, 1}}, 60, 0, ""},
		"majority with primary":        {[]target{{"t1", primary, 4}, {"t2", replica, 4}}, 0, 4, "t1"},
		"greatest term wins":           {[]target{{"t1", primary, 4}, {"t2", primary, 5}}, 0, 5, "t2"},
		"a replica knows a newer term": {[]target{{"t1", primary, 4}, {"t2", replica, 5}}, 0, 0, ""},
		"promotion after the wait":     {[]target{{"t1", primary, 4}, {"t2", replica, 5}}, 3, 6, "t2"},
		"replicas only":                {[]target{{"t1", replica, 4}, {"t2", replica, 4}}, 3, 5, "t2"},
	}
	convey.Convey("The first primary is chosen", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				w := newHarness()
				w.register("a1", "a", "1")
				w.setPosition("t1", 4, 1)
				w.setPosition("t2", 4, 2)
				for _, x := range c.targets {
					a := announcement(x.name, "a", x.role, "4/1")
					a.Term = x.term
					w.apply(Command{Observe: &observeCommand{Announcement: a}})
				}
				w.run(time.Duration(c.waitSeconds)*time.Second, "a1")
				term, name := w.primary()
				convey.So(term, convey.ShouldEqual, c.term)
				convey.So(name, convey.ShouldEqual, c.primary)
			})
		}
	})
}
