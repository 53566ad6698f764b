package pool

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/jacinthtiller/jacinthtiller"
)

// idleBound returns the number of connections that all hosts hold idle at most when each has one of the two views.
func idleBound(a, b jacinthtiller.View, t jacinthtiller.Target, connections int) int {
	most := map[string]int{}
	for _, v := range []jacinthtiller.View{a, b} {
		list := v.Placement().Gateways(t, connections)
		share := fairShare(connections, len(list), true)
		for _, h := range list {
			most[h.Name] = max(most[h.Name], share)
		}
	}
	sum := 0
	for _, n := range most {
		sum += n
	}
	return sum
}

// allConnect reports whether all hosts of the view are gateways.
func allConnect(v jacinthtiller.View, t jacinthtiller.Target, connections int) bool {
	return len(v.Placement().Gateways(t, connections)) == len(v.Hosts)
}

// TestConnectionBound guards against more connections than a target accepts while some hosts have the view before the loss
// or the arrival of a host and some the one after it.
func TestConnectionBound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		v := jacinthtiller.View{Hosts: map[string]jacinthtiller.Host{}}
		hosts, domains := rapid.IntRange(2, 200).Draw(r, "hosts"), rapid.IntRange(1, 6).Draw(r, "domains")
		connections := rapid.IntRange(10, 300).Draw(r, "connections")
		for i := range hosts {
			n := fmt.Sprint("h", i)
			v.Hosts[n] = jacinthtiller.Host{Name: n, Domain: fmt.Sprint("d", i%domains)}
		}
		target := jacinthtiller.Target{Name: fmt.Sprint("t", rapid.IntRange(0, 1000).Draw(r, "target")), Database: "db", Domain: "d0"}
		after := v
		after.Hosts = maps.Clone(v.Hosts)
		delete(after.Hosts, fmt.Sprint("h", rapid.IntRange(0, hosts-1).Draw(r, "lost")))
		if len(v.Placement().Gateways(target, connections)) != hosts && allConnect(after, target, connections) {
			r.Skip("worst case: fewer hosts, so that all connect; see docs/design/connections.md")
		}
		if !slices.ContainsFunc(slices.Collect(maps.Values(after.Hosts)), func(h jacinthtiller.Host) bool { return h.Domain == target.Domain }) {
			r.Skip("worst case: the target's failure domain has lost its last host; see docs/design/connections.md")
		}
		if got := idleBound(v, after, target, connections); got > connections {
			r.Fatalf("%d connections are above %d", got, connections)
		}
	})
}

// TestWorstConnectionBound guards against a worst case that is worse than the design note says. The target refuses what
// exceeds its limit.
func TestWorstConnectionBound(t *testing.T) {
	view := func(hosts int, exists func(i int) bool) jacinthtiller.View {
		v := jacinthtiller.View{Hosts: map[string]jacinthtiller.Host{}}
		for i := range hosts {
			if n := fmt.Sprintf("h%d", i); exists(i) {
				v.Hosts[n] = jacinthtiller.Host{Name: n, Domain: fmt.Sprintf("d%d", i%domainCount)}
			}
		}
		return v
	}
	all := func(int) bool { return true }
	cases := map[string]struct {
		a, b jacinthtiller.View
		want int
	}{
		"the target's failure domain is lost":     {view(hostCount, all), view(hostCount, func(i int) bool { return i%domainCount != 1 }), 90},
		"16 hosts are too many to connect":        {view(15, all), view(16, all), 78},
		"all hosts are replaced at the same time": {view(hostCount, all), view(2*hostCount, func(i int) bool { return i >= hostCount }), 90},
	}
	convey.Convey("Hosts hold at most so many connections when", t, func() {
		target := jacinthtiller.Target{Name: "a", Database: "db", Domain: "d1"}
		for name, c := range cases {
			convey.Convey(name, func() {
				convey.So(idleBound(c.a, c.b, target, targetConnections), convey.ShouldEqual, c.want)
			})
		}
	})
}

// hostNetwork connects the pools of hosts without a network.
type hostNetwork struct {
	mu sync.Mutex // guards the fields below
	// targets holds the target of each host's pool by the host's address.
	targets map[string]*Target
	lost    map[string]bool
}

func (n *hostNetwork) DialRelay(_ context.Context, address string, _ jacinthtiller.Target, _ bool) (jacinthtiller.RelayConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lost[address] {
		return nil, syscall.ECONNREFUSED
	}
	return &hostConn{n: n, address: address}, nil
}

// hostConn runs jobs at another host.
type hostConn struct {
	n       *hostNetwork
	address string
	job     jacinthtiller.Job
}

func (c *hostConn) Start(j jacinthtiller.Job) error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	c.job = j
	if c.n.lost[c.address] {
		return syscall.ECONNRESET
	}
	return nil
}

func (c *hostConn) Receive(time.Time) (jacinthtiller.Reply, error) {
	c.n.mu.Lock()
	t := c.n.targets[c.address]
	c.n.mu.Unlock()
	conn, err := t.OpenDirect(c.job)
	if err != nil {
		return jacinthtiller.Reply{}, &jacinthtiller.NotSentError{Cause: err}
	}
	r, err := conn.Run(c.job)
	if err != nil {
		conn.Drop("test")
		return r, err
	}
	conn.Put()
	return r, nil
}

func (c *hostConn) Unusable() bool { return false }
func (c *hostConn) Close() error   { return nil }

// TestViewChange plays "a view that reaches the hosts one after the other" on the real pools of all hosts. It guards against
// more connections than the target accepts while hosts that lost power still count there.
func TestViewChange(t *testing.T) {
	cases := map[string]struct {
		// lost holds the gateways without power, by their place among the target's gateways.
		lost []int
		most int
	}{
		"no host is lost":         {nil, targetConnections},
		"a gateway loses power":   {[]int{2}, targetConnections},
		"two gateways lose power": {[]int{1, 3}, 7 * 9}, // above what the target accepts, which refuses the rest
	}
	for name, c := range cases {
		convey.Convey("While "+name, t, func() {
			most, failed, total := playViewChange(t, c.lost)
			t.Logf("%s: at most %d connections, %d of %d operations failed", name, most, failed, total)
			convey.So(most, convey.ShouldBeLessThanOrEqualTo, c.most)
			convey.So(failed*100, convey.ShouldBeLessThan, total*5)
		})
	}
}

// playViewChange returns the greatest number of connections at the target and of operations that were not answered in three
// attempts.
func playViewChange(t *testing.T, lost []int) (most, failed, total int) {
	const (
		changeSeconds    = 10
		endSeconds       = 20
		noticeMillis     = 1500 // the lease of a lost host ends
		maxViewMillis    = 800  // from then on until the last host has the new view
		lostConnsSeconds = 3    // how long the connections of a lost host count
	)
	before, spec := accountView("a")
	gateways := before.Placement().Gateways(spec, targetConnections)
	after := before
	after.Index, after.Hosts = 2, maps.Clone(before.Hosts)
	var lostHosts []string
	for _, i := range lost {
		h := gateways[i]
		h.LeaseEnded = true
		after.Hosts[h.Name] = h
		lostHosts = append(lostHosts, h.Name)
	}
	operations := accountLoad{ratePercent: 200, target: "a"}.operations()
	synctest.Test(t, func(*testing.T) {
		network := &hostNetwork{targets: map[string]*Target{}, lost: map[string]bool{}}
		s := &slotTarget{slots: make(chan struct{}, targetSlots)}
		pools := make([]*Pool, hostCount)
		for i := range pools {
			h := before.Hosts[fmt.Sprintf("h%d", i)]
			pools[i] = New(s, fakeDialect{}, WithHost(h.Name), WithRelays(network))
			pools[i].Apply(before)
			network.targets[h.Link] = pools[i].Find(spec)
		}
		var guests conc.WaitGroup
		var mu sync.Mutex
		begin := time.Now()
		change := begin.Add(changeSeconds * time.Second)
		guests.Go(func() {
			time.Sleep(time.Until(change))
			for _, n := range lostHosts {
				network.mu.Lock()
				network.lost[before.Hosts[n].Link] = true
				network.mu.Unlock()
			}
			time.Sleep(lostConnsSeconds * time.Second)
			for _, n := range lostHosts {
				pools[slices.Index(hostNames(), n)].Close()
			}
		})
		random := rand.New(rand.NewPCG(3, 4))
		for _, p := range pools {
			if slices.Contains(lostHosts, p.host) {
				continue // it never sees the view, and its connections stay open until the target notices
			}
			at := change.Add(time.Duration(noticeMillis+random.IntN(maxViewMillis)) * time.Millisecond)
			guests.Go(func() {
				time.Sleep(time.Until(at))
				p.Apply(after)
			})
		}
		for _, o := range operations {
			if o.atMicroseconds > endSeconds*1_000_000 {
				break
			}
			name := fmt.Sprintf("h%d", o.host)
			if slices.Contains(lostHosts, name) {
				continue
			}
			time.Sleep(time.Until(begin.Add(time.Duration(o.atMicroseconds) * time.Microsecond)))
			total++
			guests.Go(func() {
				var err error
				for range 3 {
					j := jobOf(o.account)
					j.Text = fmt.Sprint(o.workMilliseconds)
					if _, err = run(network.targets["link-"+name], j); err == nil {
						return
					}
				}
				mu.Lock()
				defer mu.Unlock()
				failed++
			})
		}
		guests.Wait()
		for _, p := range pools {
			p.Close()
		}
		most = s.maxOpen
	})
	return most, failed, total
}

func hostNames() []string {
	out := make([]string, hostCount)
	for i := range out {
		out[i] = fmt.Sprintf("h%d", i)
	}
	return out
}
