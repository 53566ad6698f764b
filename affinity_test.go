package jacinthtiller_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestAccountShares guards against accounts without a limit that get no share, and against an edition whose limits are all 0.
func TestAccountShares(t *testing.T) {
	limit := func(rate float64) *jacinthtiller.RateLimit { return &jacinthtiller.RateLimit{PerSecond: rate} }
	cases := map[string]struct {
		limits map[string]*jacinthtiller.RateLimit
		want   map[string]float64
	}{
		"no accounts":   {nil, map[string]float64{"a": 0, "": 0}},
		"limits":        {map[string]*jacinthtiller.RateLimit{"a": limit(3), "b": limit(1)}, map[string]float64{"a": 0.75, "b": 0.25, "c": 0}},
		"without limit": {map[string]*jacinthtiller.RateLimit{"a": nil, "b": limit(2), "c": limit(1)}, map[string]float64{"a": 0.4, "b": 0.4, "c": 0.2}},
		"no limits":     {map[string]*jacinthtiller.RateLimit{"a": nil, "b": nil}, map[string]float64{"a": 0.5, "b": 0.5}},
		"limits of 0":   {map[string]*jacinthtiller.RateLimit{"a": limit(0), "b": limit(0)}, map[string]float64{"a": 0, "b": 0}},
	}
	convey.Convey("The shares of accounts", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				e := jacinthtiller.Edition{Accounts: map[string]jacinthtiller.Account{}}
				for a, l := range c.limits {
					e.Accounts[a] = jacinthtiller.Account{Name: a, Limit: l}
				}
				s := e.AccountShares()
				convey.So(s.Empty(), convey.ShouldEqual, len(c.limits) == 0)
				for a, want := range c.want {
					convey.So(s.Share(a), convey.ShouldAlmostEqual, want)
				}
			})
		}
	})
}

// TestAccountRanking guards against accounts that have another gateway on each host, that all change their gateway when one
// is lost, or that cross failure domains twice.
func TestAccountRanking(t *testing.T) {
	target := jacinthtiller.Target{Name: "t", Database: "db", Domain: "a"}
	gateways := func(domain string, n int) []jacinthtiller.Host {
		var out []jacinthtiller.Host
		for i := range n {
			out = append(out, jacinthtiller.Host{Name: fmt.Sprintf("%s-%d", domain, i), Domain: domain})
		}
		return out
	}
	const accounts = 200
	name := func(i int) string { return fmt.Sprint("account-", i) }
	convey.Convey("The gateways of accounts", t, func() {
		list := gateways("a", 5)
		r := jacinthtiller.RankGateways(target, list, "other")
		convey.Convey("are the same on all hosts and evenly used by small accounts", func() {
			counts := make([]int, len(list))
			for i := range accounts {
				order := r.Order(name(i), 0, 1)
				convey.So(jacinthtiller.RankGateways(target, list, "another").Order(name(i), 0, 1), convey.ShouldResemble, order)
				convey.So(jacinthtiller.RankGateways(target, list, "a-3").Order(name(i), 0, 1), convey.ShouldResemble, order)
				counts[order[0]]++
			}
			convey.So(slices.Min(counts), convey.ShouldBeGreaterThan, accounts/5/2)
		})
		convey.Convey("change only for the accounts of a lost gateway, which go to their next one", func() {
			without := slices.Delete(slices.Clone(list), 2, 3)
			after := jacinthtiller.RankGateways(target, without, "other")
			for i := range accounts {
				order := r.Order(name(i), 0, 1)
				want := slices.DeleteFunc(slices.Clone(order), func(i int) bool { return i == 2 })
				got := after.Order(name(i), 0, 1)
				for i := range got {
					convey.So(without[got[i]].Name, convey.ShouldEqual, list[want[i]].Name)
				}
			}
		})
		convey.Convey("are several for a large account, one of them for each host", func() {
			for share, want := range map[float64]int{0: 1, 0.2: 1, 0.2 + 1e-12: 1, 0.21: 2, 0.5: 3, 1: 5} {
				convey.So(r.Spread(share), convey.ShouldEqual, want)
				first := map[int]bool{}
				for i := range 100 {
					order := jacinthtiller.RankGateways(target, list, fmt.Sprint("host-", i)).Order("x", share, 1)
					first[order[0]] = true
					slices.Sort(order)
					convey.So(order, convey.ShouldResemble, []int{0, 1, 2, 3, 4})
				}
				convey.So(first, convey.ShouldHaveLength, want)
			}
			convey.So(r.Order("x", 0, 9), convey.ShouldHaveLength, 5)
		})
		convey.Convey("begin with the host itself when it is one of several", func() {
			own := jacinthtiller.RankGateways(target, list, "a-3")
			for i := range accounts {
				convey.So(list[own.Order(name(i), 1, 1)[0]].Name, convey.ShouldEqual, "a-3")
			}
		})
		convey.Convey("are in its own failure domain first for a host that is one of them", func() {
			mixed := slices.Concat(gateways("a", 2), gateways("b", 2), gateways("c", 2))
			own := jacinthtiller.RankGateways(target, mixed, "b-1")
			for i := range accounts {
				order := own.Order(name(i), 1, 1)
				convey.So(mixed[order[0]].Domain+mixed[order[1]].Domain, convey.ShouldEqual, "bb")
			}
		})
		convey.Convey("are none without gateways", func() {
			convey.So(jacinthtiller.RankGateways(target, nil, "x").Order("x", 1, 3), convey.ShouldBeEmpty)
		})
	})
}
