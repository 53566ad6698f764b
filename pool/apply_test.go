package pool

import (
	"fmt"
	"maps"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// largeView returns a view of 194 hosts before 20 direct groups of 3 targets that take 117 connections.
func largeView() jacinthtiller.View {
	v := jacinthtiller.View{
		Index: 1, Hosts: map[string]jacinthtiller.Host{}, Databases: map[string]jacinthtiller.Database{},
		Edition: &jacinthtiller.Edition{Groups: map[string]jacinthtiller.Group{}},
	}
	for i := range 194 {
		n := fmt.Sprintf("host-%d", i)
		v.Hosts[n] = jacinthtiller.Host{Name: n, Domain: fmt.Sprint("domain-", i%6), Link: "link-" + n}
	}
	for i := range 20 {
		n := fmt.Sprint("db-", i)
		d := jacinthtiller.Database{Name: n, Direct: true, Term: 1, Primary: "t0"}
		for k := range 3 {
			d = d.WithTarget(jacinthtiller.Target{
				Name: fmt.Sprint("t", k), Database: n, Address: fmt.Sprintf("10.0.%d.%d:1", i, k),
				Domain: fmt.Sprint("domain-", (i+k)%6), Slots: 5, State: jacinthtiller.StateServing,
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
	h.Gone = true
	v.Hosts[name] = h
	v.Index++
	return v
}

// BenchmarkApply measures what a host pays for another host's coming or going.
func BenchmarkApply(b *testing.B) {
	p := New(newFakeTargets(), fakeDialect{}, WithHost("host-0"))
	defer p.Close()
	views := []jacinthtiller.View{largeView(), withoutHost(largeView(), "host-7")}
	for i := range b.N {
		p.Apply(views[i%2])
	}
}

// TestApplyCost guards against the return of a deployment of hundreds of hosts after a loss of power or of control: each
// host that registers changes the view of all others, and what a change costs must not grow with hosts times targets.
func TestApplyCost(t *testing.T) {
	convey.Convey("194 hosts before 60 targets", t, func() {
		p := New(newFakeTargets(), fakeDialect{}, WithHost("host-0"))
		defer p.Close()
		v := largeView()
		p.Apply(v)
		convey.Convey("a host that goes costs something only for the targets of its domain", func() {
			gone := withoutHost(v, "host-7")
			turn := 0
			perView := testing.AllocsPerRun(20, func() {
				turn++
				p.Apply([]jacinthtiller.View{v, gone}[turn%2])
			})
			convey.So(perView, convey.ShouldBeLessThan, 10*20+150)
		})
		convey.Convey("a change of one target costs nothing for the others", func() {
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
