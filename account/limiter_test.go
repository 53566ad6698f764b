package account

import (
	"errors"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
)

// fakeNetwork passes requests to the limiters of a test, by address.
type fakeNetwork map[string]*Limiter

var errSilent = errors.New("no reply")

func (n fakeNetwork) RequestTokens(address string, r jacinthtiller.TokenRequest, deadline time.Time) (jacinthtiller.TokenReply, error) {
	time.Sleep(2 * time.Millisecond)
	if l := n[address]; l != nil {
		return l.GrantTokens(r), nil
	}
	time.Sleep(time.Until(deadline))
	return jacinthtiller.TokenReply{}, errSilent
}

// testView returns a view with hosts h0, h1 and so on and the limits of accounts.
func testView(index uint64, hosts int, limits map[string]*jacinthtiller.RateLimit) jacinthtiller.View {
	v := jacinthtiller.View{Index: index, Hosts: map[string]jacinthtiller.Host{}, Edition: &jacinthtiller.Edition{Accounts: map[string]jacinthtiller.Account{}}}
	for i := range hosts {
		n := fmt.Sprint("h", i)
		v.Hosts[n] = jacinthtiller.Host{Name: n, Link: n, ChangedIndex: 1, ServesAccounts: true}
	}
	for name, l := range limits {
		v.Edition.Accounts[name] = jacinthtiller.Account{Name: name, Limit: l}
	}
	return v
}

// startLimiters starts a limiter for each host of the view. Hosts without a lease get none.
func startLimiters(v jacinthtiller.View, withoutLease ...string) fakeNetwork {
	n := fakeNetwork{}
	for name := range v.Hosts {
		n[name] = New(Config{Self: name, Client: n, Allowance: DefaultAllowance()})
	}
	n.apply(v)
	for name, l := range n {
		lease := jacinthtiller.Lease{Host: name, Deadline: clock.Now().Add(time.Hour), SettledIndex: v.Index}
		for _, without := range withoutLease {
			if name == without {
				lease = jacinthtiller.Lease{}
			}
		}
		l.SetLease(lease)
	}
	return n
}

func (n fakeNetwork) apply(v jacinthtiller.View) {
	for _, l := range n {
		l.Apply(v)
	}
}

func (n fakeNetwork) close() {
	for _, l := range n {
		l.Close()
	}
}

// admitted returns how many of the operations are admitted that begin at once on the host.
func (n fakeNetwork) admitted(host, account string, operations int) int {
	count := 0
	for range operations {
		if n[host].Admit(account, time.Now().Add(simDeadline)).Admitted {
			count++
		}
	}
	return count
}

// TestLimiter guards against operations that are refused below the limit or admitted above it, against waits without hope,
// and against changes of a limit that come late.
func TestLimiter(t *testing.T) {
	limits := map[string]*jacinthtiller.RateLimit{
		"large": {PerSecond: 1000, Burst: 100}, "small": {PerSecond: 2, Burst: 2}, "zero": {}, "unlimited": nil,
	}
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("With three hosts that have full shares", t, func() {
			v := testView(5, 3, limits)
			n := startLimiters(v)
			defer n.close()
			time.Sleep(10 * time.Second)
			convey.Convey("an account without a limit, or that no view holds, needs no token", func() {
				convey.So(n.admitted("h0", "unlimited", 1000), convey.ShouldEqual, 1000)
				convey.So(n.admitted("h0", "unknown", 1000), convey.ShouldEqual, 1000)
				convey.So(n["h0"].holders, convey.ShouldBeEmpty)
			})
			convey.Convey("an account without any operations allowed gets none, at once", func() {
				began := time.Now()
				d := n["h0"].Admit("zero", began.Add(time.Second))
				convey.So(d.Admitted || !d.Exhausted || !d.RetryAt.After(began), convey.ShouldBeFalse)
				convey.So(time.Since(began), convey.ShouldEqual, 0)
			})
			convey.Convey("a small account gets its burst and half of the slack, and is then refused", func() {
				convey.So(n.admitted("h0", "small", 12), convey.ShouldEqual, 12)
				d := n["h1"].Admit("small", time.Now().Add(simDeadline))
				convey.So(d.Admitted, convey.ShouldBeFalse)
				convey.So(d.Exhausted, convey.ShouldBeTrue)
				convey.So(d.Limit, convey.ShouldResemble, *limits["small"])
				convey.So(d.RetryAt.After(time.Now()), convey.ShouldBeTrue)
				began := time.Now()
				convey.So(n["h1"].Admit("small", time.Now().Add(simDeadline)).Admitted, convey.ShouldBeFalse)
				convey.So(time.Since(began), convey.ShouldEqual, 0) // the told time has not come
				convey.Convey("but an operation that may wait until the next token gets it", func() {
					convey.So(n["h1"].Admit("small", time.Now().Add(3*time.Second)).Admitted, convey.ShouldBeTrue)
				})
				convey.Convey("and is raised at once", func() {
					raised := testView(6, 3, map[string]*jacinthtiller.RateLimit{"small": {PerSecond: 1000, Burst: 2}})
					n.apply(raised)
					convey.So(n.admitted("h1", "small", 50), convey.ShouldEqual, 50)
				})
				convey.Convey("and is admitted once the limit is removed", func() {
					n.apply(testView(6, 3, map[string]*jacinthtiller.RateLimit{"small": nil}))
					convey.So(n.admitted("h1", "small", 50), convey.ShouldEqual, 50)
				})
			})
			convey.Convey("a lowered limit ends the use of tokens in hand", func() {
				convey.So(n.admitted("h0", "large", 100), convey.ShouldEqual, 100)
				n.apply(testView(6, 3, map[string]*jacinthtiller.RateLimit{"large": {}}))
				convey.So(n.admitted("h0", "large", 100), convey.ShouldEqual, 0)
			})
			convey.Convey("the state of an idle account is dropped", func() {
				n.admitted("h0", "small", 12)
				time.Sleep(time.Minute)
				for _, l := range n {
					l.mu.Lock()
					convey.So(l.holders, convey.ShouldBeEmpty)
					l.mu.Unlock()
					l.adminMu.Lock()
					convey.So(l.admin.buckets, convey.ShouldBeEmpty)
					l.adminMu.Unlock()
				}
			})
			convey.Convey("a silent administrator leaves the other share, and two leave none", func() {
				admins := v.LimitPlacement().LimitAdministrators("small")
				asker := "h0"
				for asker == admins[0].Host || asker == admins[1].Host {
					asker = fmt.Sprint("h", int(asker[1]-'0')+1)
				}
				settle := func() {
					time.Sleep(time.Second)
					synctest.Wait()
				}
				silent := n[admins[0].Host]
				delete(n, admins[0].Host)
				convey.So(n.admitted(asker, "small", 6), convey.ShouldEqual, 6)
				settle() // requests in flight read the map
				other := n[admins[1].Host]
				delete(n, admins[1].Host)
				time.Sleep(20 * time.Second)
				d := n[asker].Admit("small", time.Now().Add(simDeadline))
				convey.So(d.Admitted || d.Exhausted, convey.ShouldBeFalse)
				settle()
				n["a"], n["b"] = silent, other // for close
			})
		})
		convey.Convey("A host whose view lacks what hosts of this version record grants nothing", t, func() {
			v := testView(5, 2, limits)
			h := v.Hosts["h1"]
			h.ChangedIndex = 0
			v.Hosts["h1"] = h
			n := startLimiters(v)
			defer n.close()
			for share := range jacinthtiller.LimitShares {
				host := v.LimitPlacement().LimitAdministrators("large")[share].Host
				r := n[host].GrantTokens(jacinthtiller.TokenRequest{Account: "large", Share: share, Tokens: 1})
				convey.So(r.Refusal, convey.ShouldEqual, jacinthtiller.TokensHandover)
			}
		})
		convey.Convey("A limit that is lowered and raised again within a window starts with no new burst", t, func() {
			with := func(burst float64) map[string]*jacinthtiller.RateLimit {
				return map[string]*jacinthtiller.RateLimit{"a": {PerSecond: 100, Burst: burst}}
			}
			n := startLimiters(testView(5, 1, with(1000)))
			defer n.close()
			time.Sleep(20 * time.Second)
			admitted := n.admitted("h0", "a", 1005)
			n.apply(testView(6, 1, with(0)))
			time.Sleep(time.Second)
			n["h0"].sweep(clock.Now())
			n.apply(testView(7, 1, with(1000)))
			for range 800 {
				if n["h0"].Admit("a", time.Now().Add(time.Millisecond)).Admitted {
					admitted++
				}
			}
			convey.So(admitted, convey.ShouldBeLessThan, (100*5+1000)*1.1+20)
		})
		convey.Convey("An administrator that waits for the settled index renews its lease early, at most every 100 ms", t, func() {
			for hosts, expected := range map[int]int{1: 3, 300: 1} { // with 300 hosts at most every 375 ms
				v := testView(5, hosts, limits)
				host := v.LimitPlacement().LimitAdministrators("large")[0].Host
				renewals := 0
				l := New(Config{Self: host, Allowance: DefaultAllowance(), RenewLease: func() { renewals++ }})
				defer l.Close()
				l.Apply(v)
				l.SetLease(jacinthtiller.Lease{Host: host, Deadline: clock.Now().Add(time.Hour)})
				for range 11 {
					r := l.GrantTokens(jacinthtiller.TokenRequest{Account: "large", Tokens: 1})
					convey.So(r.Refusal, convey.ShouldEqual, jacinthtiller.TokensHandover)
					time.Sleep(20 * time.Millisecond)
				}
				convey.So(renewals, convey.ShouldEqual, expected)
			}
		})
		convey.Convey("A host without a lease grants nothing", t, func() {
			v := testView(5, 2, limits)
			n := startLimiters(v, "h0")
			defer n.close()
			time.Sleep(10 * time.Second)
			convey.So(n["h0"].GrantTokens(jacinthtiller.TokenRequest{Account: "large", Share: shareOf(v, "large", "h0"), Tokens: 1}).Refusal,
				convey.ShouldEqual, jacinthtiller.TokensNoLease)
			convey.So(n.admitted("h0", "large", 55), convey.ShouldEqual, 55)
		})
	})
}

// shareOf returns the share that a host administers.
func shareOf(v jacinthtiller.View, account, host string) int {
	for k, a := range v.LimitPlacement().LimitAdministrators(account) {
		if a.Host == host {
			return k
		}
	}
	return -1
}

// BenchmarkAdmit measures an operation for which a token is in hand.
func BenchmarkAdmit(b *testing.B) {
	l := New(Config{Self: "h0", Client: fakeNetwork{}, Allowance: DefaultAllowance()})
	defer l.Close()
	l.Apply(testView(5, 2, map[string]*jacinthtiller.RateLimit{"a": {PerSecond: 1e6}}))
	h := l.holder("a")
	h.shares[0] = heldShare{tokens: 1 << 60, tokensUntil: clock.Now().Add(time.Hour)}
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		if !l.Admit("a", deadline).Admitted {
			b.Fatal("refused")
		}
	}
}

// BenchmarkMemory measures the state of an account at a host that uses it, and at the administrator of a share.
func BenchmarkMemory(b *testing.B) {
	const accounts = 10000
	limits := map[string]*jacinthtiller.RateLimit{}
	for i := range accounts {
		limits[fmt.Sprint("account", i)] = &jacinthtiller.RateLimit{PerSecond: 100}
	}
	l := New(Config{Self: "h0", Client: fakeNetwork{}, Allowance: DefaultAllowance()})
	defer l.Close()
	l.Apply(testView(5, 1, limits))
	l.SetLease(jacinthtiller.Lease{Deadline: clock.Now().Add(time.Hour), SettledIndex: 5})
	var before, held, granted runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		for name := range limits {
			l.holder(name)
		}
		runtime.GC()
		runtime.ReadMemStats(&held)
		for name := range limits {
			l.GrantTokens(jacinthtiller.TokenRequest{Account: name, Tokens: 1})
		}
		runtime.GC()
		runtime.ReadMemStats(&granted)
		b.ReportMetric(float64(held.HeapAlloc-before.HeapAlloc)/accounts, "B/holder")
		b.ReportMetric(float64(granted.HeapAlloc-held.HeapAlloc)/accounts, "B/bucket")
		clear(l.holders)
		clear(l.admin.buckets)
	}
}

// BenchmarkGrantTokens measures the answer to a request.
func BenchmarkGrantTokens(b *testing.B) {
	l := New(Config{Self: "h0", Client: fakeNetwork{}, Allowance: DefaultAllowance()})
	defer l.Close()
	l.Apply(testView(5, 580, map[string]*jacinthtiller.RateLimit{"a": {PerSecond: 1e6}}))
	admin := l.placement.LimitAdministrators("a")[0].Host
	l.admin.self = admin
	l.SetLease(jacinthtiller.Lease{Deadline: clock.Now().Add(time.Hour), SettledIndex: 5})
	for b.Loop() {
		l.GrantTokens(jacinthtiller.TokenRequest{Account: "a", Tokens: 1})
	}
}

// TestConcurrentUse guards against data races, against operations that wait for ever, and against more tokens than the limit
// allows while views and leases change. The race detector has to be on for the first.
func TestConcurrentUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := map[string]*jacinthtiller.RateLimit{"a": {PerSecond: 200, Burst: 20}, "b": {PerSecond: 5}}
		n := startLimiters(testView(5, 4, limits))
		time.Sleep(5 * time.Second)
		var admitted, done atomic.Int64
		var group conc.WaitGroup
		for i := range 40 {
			group.Go(func() {
				for range 100 {
					time.Sleep(time.Duration(1+i) * time.Millisecond)
					account := []string{"a", "b"}[i%2]
					if n[fmt.Sprint("h", i%4)].Admit(account, time.Now().Add(simDeadline)).Admitted && account == "a" {
						admitted.Add(1)
					}
					done.Add(1)
				}
			})
		}
		group.Go(func() {
			for i := range 20 {
				time.Sleep(50 * time.Millisecond)
				v := testView(uint64(6+i), 4, limits)
				n.apply(v)
				for name, l := range n {
					l.SetLease(jacinthtiller.Lease{Host: name, Deadline: clock.Now().Add(time.Second), SettledIndex: v.Index})
				}
			}
		})
		began := time.Now()
		group.Wait()
		elapsed := time.Since(began).Seconds()
		n.close()
		convey.Convey("All operations end, and no more are admitted than the limit allows", t, func() {
			convey.So(done.Load(), convey.ShouldEqual, 4000)
			convey.So(float64(admitted.Load()), convey.ShouldBeLessThanOrEqualTo, 200*(elapsed+0.3)+30)
			convey.So(admitted.Load(), convey.ShouldBeGreaterThan, 200)
		})
	})
}
