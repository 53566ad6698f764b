package jacinthtiller_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestLimitAdministrators guards against shares on hosts that cannot answer, against both shares on one host, and against
// the loss of one host that moves both shares of an account.
func TestLimitAdministrators(t *testing.T) {
	convey.Convey("Shares of limits", t, func() {
		v := jacinthtiller.View{Index: 50, Hosts: map[string]jacinthtiller.Host{}}
		add := func(h jacinthtiller.Host) {
			h.Link = h.Name + ":1"
			v.Hosts[h.Name] = h
		}
		convey.Convey("have no administrator without a host that understands the requests", func() {
			add(jacinthtiller.Host{Name: "old", ChangedIndex: 1})
			add(jacinthtiller.Host{Name: "ended", ChangedIndex: 1, ServesAccounts: true, LeaseEnded: true})
			convey.So(v.LimitPlacement().LimitAdministrators("a")[0].Host, convey.ShouldBeEmpty)
		})
		convey.Convey("are on the same host if there is one", func() {
			add(jacinthtiller.Host{Name: "h", ChangedIndex: 3, ServesAccounts: true})
			add(jacinthtiller.Host{Name: "old", ChangedIndex: 9})
			a := v.LimitPlacement().LimitAdministrators("a")
			convey.So(a[0].Host, convey.ShouldEqual, "h")
			convey.So(a[1], convey.ShouldResemble, jacinthtiller.LimitAdministrator{Host: "h", Address: "h:1", SinceIndex: 9})
		})
		convey.Convey("are spread evenly and on different hosts", func() {
			for i := range 81 {
				add(jacinthtiller.Host{Name: fmt.Sprint("h", i), ChangedIndex: uint64(i + 1), ServesAccounts: true})
			}
			p, counts := v.LimitPlacement(), map[string]int{}
			for i := range 8100 {
				a := p.LimitAdministrators(fmt.Sprint("account", i))
				convey.So(a[0].Host, convey.ShouldNotEqual, a[1].Host)
				counts[a[0].Host]++
				counts[a[1].Host]++
			}
			convey.So(len(counts), convey.ShouldEqual, 81)
			convey.Convey("and the loss of a host moves its own shares only", func() {
				lost := v.Hosts["h7"]
				lost.LeaseEnded = true
				v.Hosts["h7"] = lost
				after := v.LimitPlacement()
				for i := range 1000 {
					account := fmt.Sprint("account", i)
					before := p.LimitAdministrators(account)
					for k, a := range after.LimitAdministrators(account) {
						convey.So(a.Host != before[k].Host, convey.ShouldEqual, before[k].Host == "h7")
					}
				}
			})
			for _, n := range counts {
				convey.So(n, convey.ShouldBeBetween, 130, 280) // 200 on average
			}
		})
		convey.Convey("count as held since the view if control does not record changes", func() {
			add(jacinthtiller.Host{Name: "h", ServesAccounts: true})
			convey.So(v.LimitPlacement().LimitAdministrators("a")[0].SinceIndex, convey.ShouldEqual, 50)
		})
	})
}

// TestSinceIndex guards against a host that believes that it has administered a share all the time, although another host
// did so in a view that it has skipped.
func TestSinceIndex(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := jacinthtiller.View{Hosts: map[string]jacinthtiller.Host{}}
		var history [][jacinthtiller.LimitShares]jacinthtiller.LimitAdministrator
		for range rapid.IntRange(1, 30).Draw(rt, "views") {
			v.Index++
			n := fmt.Sprint("h", rapid.IntRange(0, 4).Draw(rt, "host"))
			h := jacinthtiller.Host{Name: n, ChangedIndex: v.Index, ServesAccounts: true, LeaseEnded: rapid.Bool().Draw(rt, "ended")}
			v.Hosts[n] = h
			admins := v.LimitPlacement().LimitAdministrators("a")
			history = append(history, admins)
			for k, a := range admins {
				if a.Host == "" {
					continue
				}
				for i := a.SinceIndex; i <= v.Index; i++ {
					if other := history[i-1][k].Host; other != a.Host {
						rt.Fatalf("share %d is on %s since view %d, but was on %q in view %d", k, a.Host, a.SinceIndex, other, i)
					}
				}
			}
		}
	})
}

// BenchmarkLimitAdministrators measures the cost of finding the administrators of one account.
func BenchmarkLimitAdministrators(b *testing.B) {
	v := jacinthtiller.View{Index: 1, Hosts: map[string]jacinthtiller.Host{}}
	for i := range 580 {
		n := fmt.Sprint("h", i)
		v.Hosts[n] = jacinthtiller.Host{Name: n, ChangedIndex: 1, ServesAccounts: true}
	}
	p := v.LimitPlacement()
	for b.Loop() {
		p.LimitAdministrators("account")
	}
}
