package jacinthtiller_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestGateways guards against more connections than a target accepts from many hosts, against statements that cross failure
// domains twice, and against a target without gateways.
func TestGateways(t *testing.T) {
	hosts := func(perDomain int, domains ...string) jacinthtiller.View {
		v := jacinthtiller.View{Hosts: map[string]jacinthtiller.Host{}}
		for _, d := range domains {
			for i := range perDomain {
				n := fmt.Sprintf("%s-%d", d, i)
				v.Hosts[n] = jacinthtiller.Host{Name: n, Domain: d}
			}
		}
		return v
	}
	target := jacinthtiller.Target{Name: "t", Database: "db", Domain: "b"}
	cases := map[string]struct {
		view        jacinthtiller.View
		connections int
		want        int
		sameDomain  bool
	}{
		"few hosts":                          {hosts(2, "a", "b", "c"), 30, 6, false},
		"many hosts, few connections":        {hosts(11, "a", "b", "c", "d", "e", "f"), 49, 5, true},
		"many hosts, many connections":       {hosts(13, "a", "b", "c", "d", "e", "f"), 166, 13, true},
		"as many as the target's domain has": {hosts(2, "a", "b", "c", "d", "e", "f", "g", "h", "i"), 49, 2, true},
		"no host in the target's domain":     {hosts(20, "x", "y", "z"), 49, 5, false},
		"very few connections":               {hosts(20, "a", "b", "c"), 4, 3, true},
		"no hosts":                           {hosts(0, "a"), 49, 0, false},
		"582 hosts, projected in two years":  {hosts(97, "a", "b", "c", "d", "e", "f"), 30, 3, true},
	}
	convey.Convey("The gateways of a target", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				got := c.view.Placement().Gateways(target, c.connections)
				convey.So(got, convey.ShouldHaveLength, c.want)
				for _, h := range got {
					if c.sameDomain {
						convey.So(h.Domain, convey.ShouldEqual, "b")
					}
				}
				convey.So(c.view.Placement().Gateways(target, c.connections), convey.ShouldResemble, got)
			})
		}
		convey.Convey("do not include a host whose lease has ended", func() {
			v := hosts(1, "a", "b")
			h := v.Hosts["b-0"]
			h.LeaseEnded = true
			v.Hosts["b-0"] = h
			convey.So(v.Placement().Gateways(target, 49), convey.ShouldResemble, []jacinthtiller.Host{v.Hosts["a-0"]})
		})
	})
}

// TestPlacement guards against the loss of one host changing the gateways of many targets, and against lookups whose cost on
// each host grows with the number of hosts times that of targets.
func TestPlacement(t *testing.T) {
	view := jacinthtiller.View{Hosts: map[string]jacinthtiller.Host{}}
	for i := range 200 {
		n := fmt.Sprintf("host-%d", i)
		view.Hosts[n] = jacinthtiller.Host{Name: n, Domain: fmt.Sprint("domain-", i%6), Link: "link"}
	}
	target := func(i int) jacinthtiller.Target {
		return jacinthtiller.Target{Name: fmt.Sprint("t", i), Database: "db", Domain: fmt.Sprint("domain-", i%6)}
	}
	names := func(hosts []jacinthtiller.Host) map[string]bool {
		out := map[string]bool{}
		for _, h := range hosts {
			out[h.Name] = true
		}
		return out
	}
	convey.Convey("200 hosts before 60 targets with connections for 12 gateways each", t, func() {
		before := view.Placement()
		convey.Convey("distribute the gateways evenly", func() {
			counts := map[string]int{}
			for i := range 60 {
				for n := range names(before.Gateways(target(i), 117)) {
					counts[n]++
				}
			}
			largest := 0
			for _, n := range counts {
				largest = max(largest, n)
			}
			convey.So(len(counts), convey.ShouldBeGreaterThan, 180)
			convey.So(largest, convey.ShouldBeLessThanOrEqualTo, 10)
		})
		convey.Convey("keep 11 of 12 gateways when one of them is lost", func() {
			lostHost := before.Gateways(target(1), 117)[3]
			after := view
			after.Hosts = maps.Clone(view.Hosts)
			lostHost.LeaseEnded = true
			after.Hosts[lostHost.Name] = lostHost
			placement := after.Placement()
			convey.So(placement.SameGateways(before, target(1), 117), convey.ShouldBeFalse)
			convey.So(placement.SameGateways(before, target(2), 117), convey.ShouldBeTrue)
			convey.So(placement.SameGateways(before, target(2), 1000), convey.ShouldBeFalse)
			kept := names(placement.Gateways(target(1), 117))
			for n := range names(before.Gateways(target(1), 117)) {
				convey.So(kept[n], convey.ShouldEqual, n != lostHost.Name)
			}
		})
	})
}
