package owner

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/jacinthtiller/jacinthtiller"
)

// startQuery runs a query in the background. The outcome is set when the group has ended.
func (s *session) startQuery(sql string) (g *conc.WaitGroup, out *outcome) {
	g, out = &conc.WaitGroup{}, &outcome{}
	u := s.unit(simpleQuery(sql))
	g.Go(func() { *out = s.run(u) })
	return g, out
}

// waitCommitted waits until the primary has n entries after the position.
func (c *cluster) waitCommitted(before jacinthtiller.Position, n uint64) {
	eventually(c.test, func() bool { return c.targets[0].Position().Index >= before.Index+n })
}

func (c *cluster) setReplicaLag(d time.Duration) {
	for _, s := range c.targets[1:] {
		s.SetLag(d)
	}
}

// TestMajorityWait guards against answers that are forwarded before a majority has the
// commit, after the lease has ended, or after the leadership has ended.
func TestMajorityWait(t *testing.T) {
	convey.Convey("While replicas lag", t, func() {
		c := newCluster(t, 3, WithSlots(1))
		s := newTableSession(c)
		c.setReplicaLag(time.Hour)
		before := c.targets[0].Position()
		g, o := s.startQuery("INSERT INTO a VALUES (2, 'y')")
		c.waitCommitted(before, 1)
		convey.Convey("a write, and a read of it, are withheld without a slot until a majority has the commit", func() {
			r := c.openSession("s2")
			g2, o2 := r.startQuery("SELECT v FROM a WHERE id = 2")
			eventually(t, func() bool {
				st := c.owner.find("d", "t1")
				st.mu.Lock()
				defer st.mu.Unlock()
				return st.units == 2 && st.gate.Stats().Running == 0
			})
			time.Sleep(50 * time.Millisecond) // time for an answer that is forwarded too early
			convey.So(o.Outcome+o2.Outcome, convey.ShouldBeEmpty)
			c.setReplicaLag(0)
			g.Wait()
			g2.Wait()
			convey.So(o.summary(), convey.ShouldEqual, "done C:INSERT 0 1 Z:I")
			convey.So(o2.summary(), convey.ShouldEqual, "done T D:y C:SELECT 1 Z:I")
		})
		convey.Convey("new writes wait in the queue until replication catches up", func() {
			l := c.owner.activeLeadership("d")
			eventually(t, func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.holdsWrites })
			g2, o2 := c.openSession("s2").startQuery("INSERT INTO a VALUES (3, 'z')")
			time.Sleep(50 * time.Millisecond) // time for a write that runs too early
			convey.So(c.targets[0].Position().Index, convey.ShouldEqual, before.Index+1)
			c.setReplicaLag(0)
			g.Wait()
			g2.Wait()
			convey.So(o2.summary(), convey.ShouldEqual, "done C:INSERT 0 1 Z:I")
		})
		convey.Convey("the lease ends before a majority has the commit", func() {
			c.setLease(-time.Second)
			c.setReplicaLag(0)
			g.Wait()
			convey.So(o.summary(), convey.ShouldEqual, "unknown 08007")
			convey.So(o.answer, convey.ShouldBeEmpty)
			convey.So(s.query("SELECT 1").Err.Reason, convey.ShouldEqual, jacinthtiller.ReasonNoLease)
			_, err := c.owner.Mark(background, jacinthtiller.MarkRequest{Database: "d", Guests: []string{"guest"}})
			convey.So(jacinthtiller.AsError(err).Reason, convey.ShouldEqual, jacinthtiller.ReasonNoLease)
		})
		convey.Convey("another term begins", func() {
			c.apply(c.db().WithPrimary(2, ""))
			c.setReplicaLag(0)
			g.Wait()
			convey.So(o.summary(), convey.ShouldEqual, "unknown 08007")
		})
		convey.Convey("a fence comes before the view with its term", func() {
			_, err := c.owner.Fence(background, jacinthtiller.FenceRequest{Database: "d", Target: "t1", Term: 2})
			convey.So(err, convey.ShouldBeNil)
			c.setReplicaLag(0)
			g.Wait()
			convey.So(o.summary(), convey.ShouldEqual, "unknown 08007")
			c.apply(c.db())
			convey.So(s.query("SELECT 1").Err.Reason, convey.ShouldEqual, jacinthtiller.ReasonNotOwner)
		})
	})
}

// TestMarks guards against a mark before a guest's write, whichever entries were evicted.
func TestMarks(t *testing.T) {
	convey.Convey("The table never returns a position below a recorded write", t, func() {
		rapid.Check(t, func(r *rapid.T) {
			m := &markTable{limit: rapid.IntRange(1, 4).Draw(r, "limit")}
			newest := map[string]jacinthtiller.Position{}
			var floor jacinthtiller.Position
			for range rapid.IntRange(1, 40).Draw(r, "steps") {
				p := jacinthtiller.Position{Term: 1, Index: rapid.Uint64Range(1, 50).Draw(r, "index")}
				if rapid.IntRange(0, 5).Draw(r, "kind") == 0 {
					m.raiseFloor(p)
					floor = floor.Max(p)
				} else {
					g := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(r, "guest")
					m.record(g, p)
					newest[g] = newest[g].Max(p)
				}
				for g, p := range m.lookup([]string{"a", "b", "c", "d", "e", "f", "none"}) {
					if !p.Covers(newest[g]) || !p.Covers(floor) {
						r.Fatalf("mark of %s is %v, before %v or floor %v", g, p, newest[g], floor)
					}
				}
				if m.size() > m.limit {
					r.Fatalf("%d guests in a table of %d", m.size(), m.limit)
				}
			}
		})
	})
	convey.Convey("A guest's mark covers its acknowledged writes, however they were made", t, func() {
		c := newCluster(t, 3)
		s := newTableSession(c)
		requestMarks := func() jacinthtiller.MarkResponse {
			m, err := c.owner.Mark(background, jacinthtiller.MarkRequest{Database: "d", Guests: []string{"guest", "other"}})
			convey.So(err, convey.ShouldBeNil)
			return m
		}
		floor := requestMarks().Marks["other"]
		for _, sql := range []string{"UPDATE a SET v = 'b'", "BEGIN; UPDATE a SET v = 'c'; COMMIT", "BEGIN", "UPDATE a SET v = 'd'", "COMMIT"} {
			u := s.unit(simpleQuery(sql))
			u.Access = jacinthtiller.AccessRead // a function called by SELECT could write
			o := s.run(u)
			convey.So(o.Outcome, convey.ShouldEqual, jacinthtiller.OutcomeDone)
			if o.Status == 'I' {
				convey.So(requestMarks().Marks["guest"], convey.ShouldResemble, c.targets[0].Position())
			}
		}
		convey.So(requestMarks().Marks["other"], convey.ShouldResemble, floor)
		convey.Convey("also after another epoch began", func() {
			last := c.targets[0].Position()
			tg := c.db().Targets["t1"]
			tg.Epoch++
			c.apply(c.db().WithTarget(tg))
			c.waitReady()
			convey.So(requestMarks().Marks["guest"].Covers(last), convey.ShouldBeTrue)
			convey.So(requestMarks().Marks["other"].Covers(last), convey.ShouldBeTrue)
		})
	})
}

// TestReconcile guards against a promotion that the view does not require, and
// against targets that keep an old role.
func TestReconcile(t *testing.T) {
	convey.Convey("Roles follow the view", t, func() {
		c := newCluster(t, 3)
		s := newTableSession(c)
		roles := func() string {
			out := ""
			for _, x := range c.targets {
				out += fmt.Sprintf("%s %d ", x.Role(), x.Term())
			}
			return out
		}
		convey.Convey("nobody is promoted while the term has no primary", func() {
			c.apply(c.db().WithPrimary(2, ""))
			time.Sleep(3 * reconcileInterval) // time for a wrong order
			convey.So(roles(), convey.ShouldEqual, "primary 1 replica 1 replica 1 ")
			convey.So(s.query("SELECT 1").Err.Reason, convey.ShouldEqual, jacinthtiller.ReasonNotOwner)
		})
		convey.Convey("the primary of another host's view is not promoted here", func() {
			tg := c.db().Targets["t2"]
			tg.Owner, tg.Epoch = "elsewhere", 2
			c.apply(c.db().WithTarget(tg).WithPrimary(2, "t2"))
			eventually(t, func() bool { return roles() == "replica 2 replica 1 replica 2 " })
		})
		convey.Convey("a new primary leads and the others follow it", func() {
			c.apply(c.db().WithPrimary(2, "t2"))
			s.cluster.waitReady()
			convey.So(s.query("INSERT INTO a VALUES (2, 'y')").summary(), convey.ShouldEqual, "done C:INSERT 0 1 Z:I")
			eventually(t, func() bool { return roles() == "replica 2 primary 2 replica 2 " })
		})
		convey.Convey("an older view changes nothing", func() {
			old := c.view
			c.apply(c.db().WithPrimary(2, "t2"))
			c.owner.Apply(old)
			eventually(t, func() bool { return roles() == "replica 2 primary 2 replica 2 " })
		})
	})
}

// TestMove guards against a planned move that aborts work, loses the last commits or hands over too early.
func TestMove(t *testing.T) {
	convey.Convey("A planned move waits for the transaction and the successor", t, func() {
		c := newCluster(t, 3)
		s := newTableSession(c)
		convey.So(s.query("BEGIN").Status, convey.ShouldEqual, byte('T'))
		convey.So(s.query("INSERT INTO a VALUES (2, 'y')").Status, convey.ShouldEqual, byte('T'))
		db := c.db()
		db.Successor = "t2"
		c.apply(db)
		convey.So(c.openSession("s2").query("SELECT 1").Err.Reason, convey.ShouldEqual, jacinthtiller.ReasonDraining)
		lostReportsAfterPause := func() int {
			time.Sleep(3 * reconcileInterval) // time for a handover that comes too early
			lost, _ := c.control.reportCounts()
			return lost
		}
		convey.So(lostReportsAfterPause(), convey.ShouldEqual, 0)
		c.targets[1].SetLag(time.Hour)
		convey.So(s.query("COMMIT").summary(), convey.ShouldEqual, "done C:COMMIT Z:I")
		convey.So(lostReportsAfterPause(), convey.ShouldEqual, 0)
		c.targets[1].SetLag(0)
		eventually(t, func() bool { lost, _ := c.control.reportCounts(); return lost == 1 })
		convey.So(c.targets[1].Position().Covers(c.targets[0].Position()), convey.ShouldBeTrue)
		convey.So(c.openSession("s2").query("SELECT 1").Outcome, convey.ShouldEqual, jacinthtiller.OutcomeNotRun)
	})
}

// TestLoss guards against targets that are declared lost without proof, work that goes on
// after that, and reports that are not delivered.
func TestLoss(t *testing.T) {
	convey.Convey("With a target that fails", t, func() {
		c := newCluster(t, 3)
		s := newTableSession(c)
		c.control.failures = 2
		convey.Convey("a stopped target is lost, and the report is repeated until it is accepted", func() {
			c.targets[0].Kill()
			eventually(t, func() bool { lost, _ := c.control.reportCounts(); return lost == 3 })
			convey.So(c.control.lost[2], convey.ShouldResemble, jacinthtiller.LostRequest{
				Host: "h", Incarnation: "i", Database: "d", Target: "t1", Epoch: 1,
			})
			convey.So(s.query("SELECT 1").Outcome, convey.ShouldEqual, jacinthtiller.OutcomeNotRun)
			convey.So(c.owner.HandleAnnouncement(jacinthtiller.Announcement{Database: "d", Target: "t1"}), convey.ShouldBeFalse)
		})
		convey.Convey("a suspended target is lost, and the unit that it runs is not acknowledged later", func() {
			c.targets[0].Freeze()
			g, o := s.startQuery("INSERT INTO a VALUES (2, 'y')")
			began := time.Now()
			eventually(t, func() bool { lost, _ := c.control.reportCounts(); return lost == 3 })
			convey.So(time.Since(began), convey.ShouldBeGreaterThan, lossTimeout)
			g.Wait()
			c.targets[0].Resume()
			convey.So(o.summary(), convey.ShouldEqual, "unknown 08007")
		})
		convey.Convey("a target that is suspended for less than the timeout is not lost", func() {
			c.targets[0].Freeze()
			time.Sleep(850 * time.Millisecond) // one probe times out and the next is answered
			c.targets[0].Resume()
			convey.So(s.query("SELECT 1").Outcome, convey.ShouldEqual, jacinthtiller.OutcomeDone)
			lost, _ := c.control.reportCounts()
			convey.So(lost, convey.ShouldEqual, 0)
		})
		convey.Convey("a leaving target gets no new work and is reported", func() {
			a := jacinthtiller.Announcement{
				Database: "d", Target: "t1", Address: c.db().Targets["t1"].Address, GroupSize: 3,
				Position: "1/1", Term: 1, Role: jacinthtiller.RolePrimary, State: jacinthtiller.StateLeaving,
			}
			convey.So(c.owner.HandleAnnouncement(a), convey.ShouldBeTrue)
			convey.So(s.query("SELECT 1").Err.Reason, convey.ShouldEqual, jacinthtiller.ReasonDraining)
			eventually(t, func() bool { _, n := c.control.reportCounts(); return n == 1 })
			a.State = jacinthtiller.StateServing
			convey.So(c.owner.HandleAnnouncement(a), convey.ShouldBeTrue)
			convey.So(s.query("SELECT 1").Outcome, convey.ShouldEqual, jacinthtiller.OutcomeDone)
		})
	})
}

// TestRemotePosition guards against counting the position of a replica from a host that does
// not own it, and against a peer that is never asked again after one error.
func TestRemotePosition(t *testing.T) {
	convey.Convey("The replicas' positions come from their owner on another host", t, func() {
		p := &fakePeer{failures: 2}
		c := newCluster(t, 3, WithPeers(p))
		p.cluster = c
		db := c.db()
		for _, n := range []string{"t2", "t3"} {
			tg := db.Targets[n]
			tg.Owner, tg.Epoch = "far", 2
			db = db.WithTarget(tg)
		}
		c.view.Hosts = map[string]jacinthtiller.Host{"h": {Name: "h"}, "far": {Name: "far", RPC: "http://far"}}
		c.view.Databases, c.view.Index = map[string]jacinthtiller.Database{"d": db}, c.view.Index+1
		c.owner.Apply(c.view)
		s := c.waitReady()
		convey.So(s.query("CREATE TABLE a (id int)").summary(), convey.ShouldEqual, "done C:CREATE TABLE Z:I")
		c.control.mu.Lock() // calls for the other replica may still be running
		defer c.control.mu.Unlock()
		convey.So(p.url, convey.ShouldEqual, "http://far")
	})
}

// peer is an alias under which the interface can be embedded beside a method Peer.
type peer = jacinthtiller.Peer

// fakePeer answers with the position of a stand-in replica.
type fakePeer struct {
	peer
	cluster *cluster
	url     string
	// failures is the number of further calls that fail.
	failures int
}

func (p *fakePeer) Peer(url string) jacinthtiller.Peer {
	p.cluster.control.mu.Lock()
	defer p.cluster.control.mu.Unlock()
	p.url = url
	return p
}

func (p *fakePeer) WaitPosition(_ context.Context, r jacinthtiller.WaitPositionRequest) (jacinthtiller.WaitPositionResponse, error) {
	p.cluster.control.mu.Lock()
	defer p.cluster.control.mu.Unlock()
	if p.failures > 0 {
		p.failures--
		return jacinthtiller.WaitPositionResponse{}, errors.New("peer not reachable")
	}
	return jacinthtiller.WaitPositionResponse{Position: p.cluster.targets[1].Position()}, nil
}
