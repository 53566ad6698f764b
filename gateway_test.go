package jacinthtiller_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestGateways guards against more connections than a target takes when hosts are many, against statements that cross
// failure domains twice, and against a target that nobody connects to.
func TestGateways(t *testing.T) {
	hosts := func(each int, domains ...string) jacinthtiller.View {
		v := jacinthtiller.View{Hosts: map[string]jacinthtiller.Host{}}
		for _, d := range domains {
			for i := range each {
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
		near        bool
	}{
		"few hosts":                           {hosts(2, "a", "b", "c"), 30, 6, false},
		"many hosts, few connections":         {hosts(11, "a", "b", "c", "d", "e", "f"), 49, 5, true},
		"many hosts, many connections":        {hosts(13, "a", "b", "c", "d", "e", "f"), 166, 13, true},
		"as many as the target's domain has":  {hosts(2, "a", "b", "c", "d", "e", "f", "g", "h", "i"), 49, 2, true},
		"no host in the target's domain":      {hosts(20, "x", "y", "z"), 49, 5, false},
		"very few connections":                {hosts(20, "a", "b", "c"), 4, 3, true},
		"no hosts":                            {hosts(0, "a"), 49, 0, false},
		"two years from now, 580 in 6 places": {hosts(97, "a", "b", "c", "d", "e", "f"), 30, 3, true},
	}
	convey.Convey("The gateways of a target", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				got := c.view.Gateways(target, c.connections)
				convey.So(got, convey.ShouldHaveLength, c.want)
				for _, h := range got {
					if c.near {
						convey.So(h.Domain, convey.ShouldEqual, "b")
					}
				}
				convey.So(c.view.Gateways(target, c.connections), convey.ShouldResemble, got)
			})
		}
		convey.Convey("do not include a host that is gone", func() {
			v := hosts(1, "a", "b")
			h := v.Hosts["b-0"]
			h.Gone = true
			v.Hosts["b-0"] = h
			convey.So(v.Gateways(target, 49), convey.ShouldResemble, []jacinthtiller.Host{v.Hosts["a-0"]})
		})
	})
}
