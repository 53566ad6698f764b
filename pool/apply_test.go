package pool

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// largeView returns a view of 194 hosts and 60 targets, and hugeView one of 300 hosts and 1,440 targets.
func largeView() jacinthtiller.View { return sizedView(194, 20) }
func hugeView() jacinthtiller.View  { return sizedView(300, 480) }

// sizedView returns a view of hosts and direct groups of 3 targets that warm up and take 117 connections each.
func sizedView(hosts, databases int) jacinthtiller.View {
	v := jacinthtiller.View{
		Index: 1, Hosts: map[string]jacinthtiller.Host{}, Databases: map[string]jacinthtiller.Database{},
		Edition: &jacinthtiller.Edition{Groups: map[string]jacinthtiller.Group{}},
	}
	for i := range hosts {
		n := fmt.Sprintf("host-%d", i)
		v.Hosts[n] = jacinthtiller.Host{Name: n, Domain: fmt.Sprint("domain-", i%6), Link: "link-" + n}
	}
	for i := range databases {
		n := fmt.Sprint("db-", i)
		d := jacinthtiller.Database{Name: n, Direct: true, Term: 1, Primary: "t0"}
		for k := range 3 {
			d = d.WithTarget(jacinthtiller.Target{
				Name: fmt.Sprint("t", k), Database: n, Address: fmt.Sprintf("10.%d.%d.%d:1", k, i/250, i%250),
				Domain: fmt.Sprint("domain-", (i+k)%6), Slots: 5, State: jacinthtiller.StateServing, WarmupMilliseconds: 1000,
			})
		}
		v.Databases[n] = d
		v.Edition.Groups[n] = jacinthtiller.Group{Connections: 117}
	}
	return v
}

// withoutHost returns the view in which the host is gone.
func withoutHost(v jacinthtiller.View, name string) jacinthtiller.View {
	v.Hosts = maps.Clone(v.Hosts)
	h := v.Hosts[name]
	h.LeaseEnded = true
	v.Hosts[name] = h
	v.Index++
	return v
}

// findAll creates all targets of the view.
func findAll(p *Pool, v jacinthtiller.View) {
	for _, d := range v.Databases {
		for _, t := range d.Targets {
			p.Find(t)
		}
	}
}

// BenchmarkApply measures the cost of a view in which another host is added or removed.
func BenchmarkApply(b *testing.B) {
	p := New(newFakeTargets(), fakeDialect{}, WithHost("host-0"))
	defer p.Close()
	views := []jacinthtiller.View{largeView(), withoutHost(largeView(), "host-7")}
	p.Apply(views[0])
	findAll(p, views[0])
	for i := range b.N {
		p.Apply(views[i%2])
	}
}

// TestApplyCost guards against views whose cost grows with hosts times targets: when hundreds of hosts restart after a loss
// of power or of the control group, each registration changes the view of all others.
func TestApplyCost(t *testing.T) {
	convey.Convey("With 194 hosts and 60 targets", t, func() {
		p := New(newFakeTargets(), fakeDialect{}, WithHost("host-0"))
		defer p.Close()
		v := largeView()
		p.Apply(v)
		findAll(p, v)
		convey.So(len(p.Targets()), convey.ShouldEqual, 60)
		convey.Convey("the loss of a host has a cost only for the targets of its domain", func() {
			gone := withoutHost(v, "host-7")
			turn := 0
			perView := testing.AllocsPerRun(20, func() {
				turn++
				p.Apply([]jacinthtiller.View{v, gone}[turn%2])
			})
			convey.So(perView, convey.ShouldBeLessThan, 10*20+150)
		})
		convey.Convey("a change of one target has no cost for the others", func() {
			changed := v
			changed.Databases = maps.Clone(v.Databases)
			d := v.Databases["db-3"]
			target := d.Targets["t1"]
			target.State = jacinthtiller.StateLeaving
			changed.Databases["db-3"] = d.WithTarget(target)
			turn := 0
			perView := testing.AllocsPerRun(20, func() {
				turn++
				p.Apply([]jacinthtiller.View{v, changed}[turn%2])
			})
			convey.So(perView, convey.ShouldBeLessThan, 100)
			convey.So(p.Find(changed.Databases["db-3"].Targets["t1"]).Spec().State, convey.ShouldBeIn,
				jacinthtiller.StateLeaving, jacinthtiller.StateServing)
		})
	})
}

// TestApplyUnused guards against work for targets that a host does not use: one of 300 hosts uses a few of 1,440 targets,
// and when all hosts and targets start at once, 20 views arrive per second.
func TestApplyUnused(t *testing.T) {
	convey.Convey("With 300 hosts and 1,440 targets, of which this host uses two", t, func() {
		p := New(newFakeTargets(), fakeDialect{}, WithHost("host-0"))
		defer p.Close()
		v := hugeView()
		p.Apply(v)
		used, other := v.Databases["db-7"].Targets["t1"], v.Databases["db-8"].Targets["t2"]
		convey.So(p.Find(used), convey.ShouldNotBeNil)
		convey.So(p.FindNamed("db-8", "t2"), convey.ShouldEqual, p.Find(other))
		convey.So(len(p.Targets()), convey.ShouldEqual, 2)
		convey.Convey("the loss of a host changes the gateways of those two and has no cost for the others", func() {
			gone := withoutHost(v, "host-7")
			turn := 0
			perView := testing.AllocsPerRun(10, func() {
				turn++
				p.Apply([]jacinthtiller.View{v, gone}[turn%2])
			})
			convey.So(perView, convey.ShouldBeLessThan, 200)
		})
		convey.Convey("a removed target or an earlier incarnation is not found", func() {
			next := v
			next.Databases = maps.Clone(v.Databases)
			restarted := used
			restarted.StartedMilliseconds = 5
			next.Databases["db-7"] = v.Databases["db-7"].WithTarget(restarted)
			next.Databases["db-8"] = v.Databases["db-8"].WithoutTarget("t2")
			p.Apply(next)
			convey.So(p.Find(used), convey.ShouldBeNil)
			convey.So(p.Find(restarted), convey.ShouldNotBeNil)
			convey.So(p.FindNamed("db-8", "t2"), convey.ShouldBeNil)
			convey.So(len(p.Targets()), convey.ShouldEqual, 1)
		})
		convey.Convey("the warm-up time of a target starts when a view first names it, not when it is created", func() {
			var before, after bool
			synctest.Test(t, func(t *testing.T) {
				q := New(newFakeTargets(), fakeDialect{}, WithHost("host-0"))
				q.Apply(v)
				time.Sleep(900 * time.Millisecond)
				later := v
				later.Index++
				q.Apply(later)
				before = time.Now().Before(q.Find(used).warmupUntil)
				time.Sleep(200 * time.Millisecond)
				after = time.Now().Before(q.Find(other).warmupUntil)
				q.Close()
			})
			convey.So(before, convey.ShouldBeTrue)
			convey.So(after, convey.ShouldBeFalse)
		})
	})
}

// BenchmarkApplyUnused measures the cost of a changed target and of a lost host for a host that uses no targets.
func BenchmarkApplyUnused(b *testing.B) {
	v := hugeView()
	changed := v
	changed.Databases = maps.Clone(v.Databases)
	target := v.Databases["db-3"].Targets["t1"]
	target.State = jacinthtiller.StateLeaving
	changed.Databases["db-3"] = v.Databases["db-3"].WithTarget(target)
	for name, other := range map[string]jacinthtiller.View{"target": changed, "host": withoutHost(v, "host-7")} {
		b.Run(name, func(b *testing.B) {
			p := New(newFakeTargets(), fakeDialect{}, WithHost("host-0"))
			defer p.Close()
			p.Apply(v)
			turn := 0
			for b.Loop() {
				turn++
				p.Apply([]jacinthtiller.View{v, other}[turn%2])
			}
		})
	}
}
