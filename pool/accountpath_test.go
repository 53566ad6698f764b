package pool

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// accountHosts is the view of many hosts, the gateways of its target, and a host that is none.
type accountHosts struct {
	view     jacinthtiller.View
	target   jacinthtiller.Target
	gateways []jacinthtiller.Host
	other    string
}

func newAccountHosts() accountHosts {
	v, target := accountView("a")
	out := accountHosts{view: v, target: target, gateways: v.Placement().Gateways(target, targetConnections)}
	for _, n := range slices.Sorted(maps.Keys(v.Hosts)) {
		if !slices.ContainsFunc(out.gateways, func(h jacinthtiller.Host) bool { return h.Name == n }) {
			out.other = n
			break
		}
	}
	return out
}

// order returns the links of the gateways of a small account in its order.
func (h accountHosts) order(account string) []string {
	var out []string
	for _, i := range jacinthtiller.RankGateways(h.target, h.gateways, h.other).Order(account, 0, 1) {
		out = append(out, h.gateways[i].Link)
	}
	return out
}

// TestAccountPaths guards against jobs of accounts that hosts of the previous version receive, and against accounts without
// service or without a gateway of their own after the loss of one.
func TestAccountPaths(t *testing.T) {
	convey.Convey("The operations of accounts from a host that is no gateway", t, func() {
		h := newAccountHosts()
		relays := &fakeRelays{down: map[string]bool{}, count: map[string]int{}}
		p := New(&accountTargets{}, fakeDialect{}, WithHost(h.other), WithRelays(relays))
		defer p.Close()
		p.Apply(h.view)
		target := p.Find(h.target)
		run := func(account string, n int) map[string]int {
			before := maps.Clone(relays.count)
			out := map[string]int{}
			for range n {
				if _, err := run(target, jobOf(account)); err != nil {
					out["failed"]++
				}
			}
			for a, c := range relays.count {
				if c > before[a] {
					out[a] = c - before[a]
				}
			}
			return out
		}
		const small, other = "account-80", "account-81"
		first := h.order(small)
		convey.Convey("go to the account's gateway", func() {
			convey.So(run(small, 2), convey.ShouldResemble, map[string]int{first[0]: 2})
			convey.So(run(other, 2), convey.ShouldResemble, map[string]int{h.order(other)[0]: 2})
		})
		convey.Convey("go to the next gateway, one after the other, when gateways fail", func() {
			for i := range first[:4] {
				relays.down[first[i]] = true
				for _, w := range target.relayPaths {
					w.closeIdle(time.Time{})
				}
				got := run(small, 2)
				convey.So(got["failed"], convey.ShouldEqual, 1) // it found out
				convey.So(got[first[i+1]], convey.ShouldEqual, 1)
			}
		})
		convey.Convey("go to no host of the previous version", func() {
			v := h.view
			v.Hosts = maps.Clone(v.Hosts)
			for _, g := range h.gateways[:4] {
				g.ServesAccounts = false
				v.Hosts[g.Name] = g
			}
			p.Apply(v)
			convey.So(run(small, 2), convey.ShouldResemble, map[string]int{h.gateways[4].Link: 2})
			v.Hosts = maps.Clone(v.Hosts)
			for _, g := range h.gateways {
				g.ServesAccounts = false
				v.Hosts[g.Name] = g
			}
			p.Apply(v)
			convey.So(run(small, 1), convey.ShouldResemble, map[string]int{"failed": 1})
			convey.So(run("", 1), convey.ShouldHaveLength, 1) // without account, any gateway serves
		})
	})
	convey.Convey("A gateway sends the operations of its own guests to the account's gateway", t, func() {
		h := newAccountHosts()
		relays := &fakeRelays{down: map[string]bool{}, count: map[string]int{}}
		f := &accountTargets{}
		self := h.gateways[0]
		p := New(f, fakeDialect{}, WithHost(self.Name), WithRelays(relays))
		defer p.Close()
		p.Apply(h.view)
		target := p.Find(h.target)
		for i := 40; i < accountCount; i++ {
			before := len(f.dialed)
			_, err := run(target, jobOf(accountName(i)))
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(f.dialed) > before, convey.ShouldEqual, h.order(accountName(i))[0] == self.Link)
		}
	})
}

// TestIdleRelayConns guards against operations that open a relay connection first because the accounts of a host use all gateways.
func TestIdleRelayConns(t *testing.T) {
	for name, c := range map[string]struct {
		accounts bool
		idle     int
	}{"with accounts": {true, 1}, "without accounts": {false, 0}} {
		synctest.Test(t, func(t *testing.T) {
			convey.Convey("Relay connections "+name, t, func() {
				h := newAccountHosts()
				if !c.accounts {
					h.view.Edition.Accounts = nil
				}
				p := New(&accountTargets{}, fakeDialect{}, WithHost(h.other), WithRelays(&fakeRelays{count: map[string]int{}}))
				defer p.Close()
				p.Apply(h.view)
				target := p.Find(h.target)
				idle := func() (n int) {
					for _, w := range target.relayPaths {
						w.mu.Lock()
						n += len(w.idle)
						w.mu.Unlock()
					}
					return n
				}
				_, err := run(target, jobOf(""))
				convey.So(err, convey.ShouldBeNil)
				convey.So(idle(), convey.ShouldEqual, 1)
				time.Sleep(lastIdleTimeout + 2*sweepInterval)
				convey.So(idle(), convey.ShouldEqual, c.idle)
				time.Sleep(accountRelayTimeout)
				convey.So(idle(), convey.ShouldEqual, 0)
			})
		})
	}
}

// TestRetiredPath guards against connections through former gateways that stay open as long as the process.
func TestRetiredPath(t *testing.T) {
	convey.Convey("When a gateway is replaced", t, func() {
		h := newAccountHosts()
		p := New(&accountTargets{}, fakeDialect{}, WithHost(h.other), WithRelays(&fakeRelays{count: map[string]int{}}))
		defer p.Close()
		p.Apply(h.view)
		target := p.Find(h.target)
		const account = "account-80"
		inUse, err := target.Open(jobOf(account))
		convey.So(err, convey.ShouldBeNil)
		_, err = run(target, jobOf(account))
		convey.So(err, convey.ShouldBeNil)
		former := inUse.path
		convey.So(former.idle, convey.ShouldHaveLength, 1)
		v := h.view
		v.Hosts = maps.Clone(v.Hosts)
		lost := v.Hosts[former.host]
		lost.LeaseEnded = true
		v.Hosts[lost.Name] = lost
		p.Apply(v)
		convey.Convey("its idle connections are closed, and others once they are returned", func() {
			convey.So(former.idle, convey.ShouldBeEmpty)
			inUse.Put()
			convey.So(former.idle, convey.ShouldBeEmpty)
		})
	})
}
