package statement

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// withStates returns the group with only the given targets, in their states.
func withStates(d jacinthtiller.Database, states map[string]jacinthtiller.TargetState) jacinthtiller.Database {
	for _, n := range d.TargetNames() {
		t := d.Targets[n]
		d = d.WithoutTarget(n)
		if s, ok := states[n]; ok {
			t.State = s
			d = d.WithTarget(t)
		}
	}
	return d
}

// TestReadsOfLeavingPrimary guards against reads that fail from the moment when a group's last target reports that it
// leaves, although it still serves writes.
func TestReadsOfLeavingPrimary(t *testing.T) {
	const serving, leaving = jacinthtiller.StateServing, jacinthtiller.StateLeaving
	cases := map[string]struct {
		states map[string]jacinthtiller.TargetState
		down   map[string]bool
		// leaseMilliseconds is how long the host holds its lease.
		leaseMilliseconds int64
		class             jacinthtiller.ReadClass
		want              string
		// target is the one that runs the read; empty for none.
		target string
	}{
		"it is the only target, bounded read":  {map[string]jacinthtiller.TargetState{"a": leaving}, nil, 60_000, jacinthtiller.ClassBounded, "passed I", "a"},
		"it is the only target, session read":  {map[string]jacinthtiller.TargetState{"a": leaving}, nil, 60_000, jacinthtiller.ClassSession, "passed I", "a"},
		"the replicas leave, too":              {map[string]jacinthtiller.TargetState{"a": leaving, "b": leaving}, nil, 60_000, jacinthtiller.ClassBounded, "passed I", "a"},
		"the replica that stays is down":       {map[string]jacinthtiller.TargetState{"a": leaving, "b": serving}, map[string]bool{"b": true}, 60_000, jacinthtiller.ClassBounded, "passed I", "a"},
		"a replica stays":                      {map[string]jacinthtiller.TargetState{"a": leaving, "b": serving}, nil, 60_000, jacinthtiller.ClassBounded, "passed I", "b"},
		"it is the only target, without lease": {map[string]jacinthtiller.TargetState{"a": leaving}, nil, -1000, jacinthtiller.ClassBounded, "busy I", ""},
	}
	for name, c := range cases {
		var got string
		var log []string
		synctest.Test(t, func(t *testing.T) {
			ts := newTestServer(t)
			g := ts.guest(c.class)
			g.ask("READ 1") // tells the primary's position
			ts.group.set(func() { ts.group.down = c.down })
			ts.change(func(d jacinthtiller.Database) jacinthtiller.Database { return withStates(d, c.states) })
			ts.lease(time.Duration(c.leaseMilliseconds) * time.Millisecond)
			ts.group.log()
			got = g.ask("READ 1")
			log = ts.group.log()
			g.leave()
			ts.close()
		})
		convey.Convey("When the primary leaves and "+name, t, func() {
			convey.So(got, convey.ShouldEqual, c.want)
			if c.target == "" {
				convey.So(log, convey.ShouldBeEmpty)
				return
			}
			convey.So(log, convey.ShouldResemble, []string{c.target + ": READ 1 after 1/10"})
		})
	}
}

// TestUnservableRefused guards against requests that are held until they time out although no target of their database can
// run them: all have left, or leave and are out of service.
func TestUnservableRefused(t *testing.T) {
	const leaving = jacinthtiller.StateLeaving
	groups := map[string]map[string]jacinthtiller.TargetState{
		"all targets have left":                        {},
		"the last target leaves and is out of service": {"a": leaving},
	}
	requests := map[string]struct {
		class jacinthtiller.ReadClass
		texts []string
	}{
		"a read of the primary":       {jacinthtiller.ClassPrimary, []string{"READ 1"}},
		"a read of any target":        {jacinthtiller.ClassBounded, []string{"READ 1"}},
		"a write":                     {jacinthtiller.ClassPrimary, []string{"WRITE 1 x"}},
		"a transaction":               {jacinthtiller.ClassPrimary, []string{"BEGIN", "READ 1"}},
		"a transaction that is empty": {jacinthtiller.ClassPrimary, []string{"BEGIN", "COMMIT"}},
	}
	for group, states := range groups {
		for request, r := range requests {
			var got string
			var took time.Duration
			var log []string
			synctest.Test(t, func(t *testing.T) {
				ts := newTestServer(t)
				g := ts.guest(r.class)
				ts.change(func(d jacinthtiller.Database) jacinthtiller.Database {
					d = withStates(d, states)
					d.FormerPrimary = d.Primary
					return d.WithPrimary(d.Term, "")
				})
				ts.group.log()
				began := time.Now()
				for _, text := range r.texts {
					got = g.ask(text)
				}
				took = time.Since(began)
				log = ts.group.log()
				g.leave()
				ts.close()
			})
			convey.Convey("When "+group+", "+request+" is refused at once", t, func() {
				convey.So(got, convey.ShouldBeIn, "busy I", "busy E", "aborted I")
				convey.So(took, convey.ShouldBeLessThan, 50*time.Millisecond)
				convey.So(log, convey.ShouldBeEmpty)
			})
		}
	}
}
