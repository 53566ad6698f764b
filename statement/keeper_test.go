package statement

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/pool"
	"github.com/jacinthtiller/jacinthtiller/replica"
)

// domainHosts holds the hosts of one failure domain, which query one another; their link addresses are their names.
type domainHosts struct {
	servers map[string]*Server
	// silent is the name of a host that does not answer.
	silent atomic.Pointer[string]
	asked  atomic.Int64
}

func (d *domainHosts) QueryFreshness(address string, q jacinthtiller.FreshnessQuery, deadline time.Time) (jacinthtiller.FreshnessReply, error) {
	d.asked.Add(1)
	if s := d.silent.Load(); s != nil && *s == address {
		time.Sleep(time.Until(deadline))
		return jacinthtiller.FreshnessReply{}, errors.New("no answer")
	}
	return d.servers[address].Freshness(q, deadline), nil
}

// startDomain starts the hosts of one failure domain with common targets, whose answers take 20 ms.
func startDomain(t testing.TB, hosts int, useKeepers bool) (*domainHosts, *fakeGroup, []*testServer) {
	d := &domainHosts{servers: map[string]*Server{}}
	g := &fakeGroup{down: map[string]bool{}}
	var index atomic.Int64
	g.script = func(string, jacinthtiller.TargetRequest) (jacinthtiller.Reply, error) {
		time.Sleep(20 * time.Millisecond)
		return success(uint64(100 + index.Add(1)))
	}
	var servers []*testServer
	var view jacinthtiller.View
	for i := range hosts {
		name := fmt.Sprint("h", i)
		ts := newTestServer(t)
		ts.server.Close()
		ts.pool.Close()
		ts.group, ts.pool = g, pool.New(g, dialect{}, pool.WithHost(name))
		opts := []Option{WithHost(name)}
		if useKeepers {
			opts = append(opts, WithFreshnessKeepers("d", d))
		}
		ts.server = New(ts.pool, dialect{}, nil, opts...)
		d.servers[name] = ts.server
		if view = ts.view; i == 0 {
			view.Hosts = map[string]jacinthtiller.Host{}
			view.Edition.Groups = map[string]jacinthtiller.Group{"db": {Connections: 400}} // enough for all hosts
		} else {
			view = servers[0].view
		}
		view.Hosts[name] = jacinthtiller.Host{Name: name, Domain: "d", Link: name}
		ts.view = view
		servers = append(servers, ts)
	}
	for _, ts := range servers {
		ts.view = view
		ts.lease(time.Minute)
		ts.server.Apply(view)
	}
	return d, g, servers
}

// runReads runs a read every 3 s at each host for 12 s. It returns how many reads and how many position queries the primary
// received, and how many reads failed.
func runReads(g *fakeGroup, hosts []*testServer) (atPrimary, positionQueries, failed int) {
	var failures atomic.Int64
	guests := conc.NewWaitGroup()
	for i, ts := range hosts {
		guests.Go(func() {
			guest := ts.guest(jacinthtiller.ClassBounded)
			defer guest.leave()
			time.Sleep(time.Duration(i) * 3 * time.Second / time.Duration(len(hosts)))
			for range 4 {
				if guest.ask("READ 1") != "passed I" {
					failures.Add(1)
				}
				time.Sleep(3 * time.Second)
			}
		})
	}
	guests.Wait()
	for _, line := range g.log() {
		switch {
		case strings.HasPrefix(line, "a: READ"):
			atPrimary++
		case strings.HasPrefix(line, "a: STATUS"):
			positionQueries++
		}
	}
	return atPrimary, positionQueries, int(failures.Load())
}

// TestKeepers guards against reads that all go to the primary while the replicas are idle: with hundreds of hosts, each host
// runs so few reads of one database that it does not know how fresh a replica has to be.
func TestKeepers(t *testing.T) {
	type counts struct{ atPrimary, positionQueries, failed int }
	var withoutKeepers, withKeepers, withSilentKeeper counts
	run := func(useKeepers, keeperSilent bool) (f counts) {
		synctest.Test(t, func(t *testing.T) {
			d, g, hosts := startDomain(t, 32, useKeepers)
			if keeperSilent {
				name := hosts[0].pool.Placement().FreshnessKeepers("d", "db", 1)[0].Name
				d.silent.Store(&name)
			}
			f.atPrimary, f.positionQueries, f.failed = runReads(g, hosts)
			for _, ts := range hosts {
				ts.close()
			}
		})
		return f
	}
	withoutKeepers, withKeepers, withSilentKeeper = run(false, false), run(true, false), run(true, true)
	convey.Convey("Of 128 reads at 32 hosts of a failure domain within 12 seconds, in virtual time", t, func() {
		convey.Convey("all go to the primary without keepers", func() {
			convey.So(withoutKeepers.atPrimary, convey.ShouldBeGreaterThan, 100)
		})
		convey.Convey("few go to the primary with a keeper, which sends the primary a few position queries", func() {
			convey.So(withKeepers.failed, convey.ShouldEqual, 0)
			convey.So(withKeepers.atPrimary, convey.ShouldBeLessThan, 13)
			convey.So(withKeepers.positionQueries, convey.ShouldBeLessThan, 40)
		})
		convey.Convey("a keeper that does not answer is skipped", func() {
			convey.So(withSilentKeeper.failed, convey.ShouldEqual, 0)
			convey.So(withSilentKeeper.atPrimary, convey.ShouldBeLessThan, 26)
		})
	})
}

// TestKeeperAnswers guards against a read that lacks a commit because a keeper's answer is taken for newer than it is: the
// age counts from before the query was sent, however long the answer took, and a keeper does not give an older answer.
func TestKeeperAnswers(t *testing.T) {
	convey.Convey("A keeper that knows a position of one second ago", t, func() {
		ts := newTestServer(t)
		defer ts.close()
		ts.group.set(func() {
			ts.group.script = func(string, jacinthtiller.TargetRequest) (jacinthtiller.Reply, error) {
				return jacinthtiller.Reply{}, errConnReset
			}
		})
		position := jacinthtiller.Position{Term: 1, Index: 7}
		ts.server.freshnessOf("db").Record(1, replica.Attestation{At: clock.Now().Add(-time.Second), Position: position})
		ask := func(term uint64, age time.Duration) jacinthtiller.FreshnessReply {
			q := jacinthtiller.FreshnessQuery{Database: "db", Term: term, AgeMicroseconds: age.Microseconds()}
			return ts.server.Freshness(q, time.Now().Add(50*time.Millisecond))
		}
		convey.Convey("returns it with its age", func() {
			a := ask(1, 1500*time.Millisecond)
			convey.So(a.Positions, convey.ShouldHaveLength, 1)
			convey.So(a.Positions[0].Position, convey.ShouldResemble, position)
			convey.So(a.Positions[0].AgeMicroseconds, convey.ShouldBeBetween, 1_000_000, 1_400_000)
		})
		convey.Convey("also returns a newer one, for replicas that are not behind", func() {
			newer := jacinthtiller.Position{Term: 1, Index: 8}
			ts.server.freshnessOf("db").Record(1, replica.Attestation{At: clock.Now().Add(-100 * time.Millisecond), Position: newer})
			a := ask(1, 1500*time.Millisecond)
			convey.So(a.Positions, convey.ShouldHaveLength, 2)
			convey.So(a.Positions[0].Position, convey.ShouldResemble, position)
			convey.So(a.Positions[1].Position, convey.ShouldResemble, newer)
		})
		convey.Convey("does not return it when it is too old", func() { convey.So(ask(1, 900*time.Millisecond).Positions, convey.ShouldBeEmpty) })
		convey.Convey("does not return it for another term", func() { convey.So(ask(2, 1500*time.Millisecond).Positions, convey.ShouldBeEmpty) })
	})
	convey.Convey("A host counts the age of an answer from before its query", t, func() {
		ts := newTestServer(t)
		defer ts.close()
		delay := 40 * time.Millisecond
		ts.server.host, ts.server.domain, ts.server.freshnessClient = "h1", "d", slowKeeper{delayMicroseconds: delay.Microseconds()}
		ts.view.Hosts = map[string]jacinthtiller.Host{"keeper": {Name: "keeper", Domain: "d", Link: "keeper"}}
		ts.server.Apply(ts.view)
		before := clock.Now()
		convey.So(ts.server.queryKeepers(ts.view.Edition.Routes[string(jacinthtiller.ClassBounded)], 1), convey.ShouldBeTrue)
		a, ok := ts.server.freshnessOf("db").Newest(1)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(a.At.After(before.Add(delay).Add(-300*time.Millisecond)), convey.ShouldBeFalse)
	})
}

// slowKeeper answers after a delay with a position of 300 ms ago.
type slowKeeper struct{ delayMicroseconds int64 }

func (k slowKeeper) QueryFreshness(string, jacinthtiller.FreshnessQuery, time.Time) (jacinthtiller.FreshnessReply, error) {
	time.Sleep(time.Duration(k.delayMicroseconds) * time.Microsecond)
	return jacinthtiller.FreshnessReply{Positions: []jacinthtiller.AgedPosition{
		{Position: jacinthtiller.Position{Term: 1, Index: 9}, AgeMicroseconds: 300_000},
	}}, nil
}

// TestFirstLease guards against one of hundreds of hosts that, with its first lease, queries and keeps the primaries of all
// databases; after a loss of power all hosts would do so. It must query only those that it connects to itself.
func TestFirstLease(t *testing.T) {
	var kept, gateways, asked int
	direct := true
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{down: map[string]bool{}}
		p := pool.New(g, dialect{}, pool.WithHost("h0"))
		s := New(p, dialect{}, nil)
		v := jacinthtiller.View{
			Index: 1, Hosts: map[string]jacinthtiller.Host{}, Databases: map[string]jacinthtiller.Database{},
			Edition: &jacinthtiller.Edition{Number: 1, Groups: map[string]jacinthtiller.Group{}},
		}
		for i := range 300 {
			n := fmt.Sprint("h", i)
			v.Hosts[n] = jacinthtiller.Host{Name: n, Domain: fmt.Sprint("d", i%6), Link: n}
		}
		for i := range 480 {
			n := fmt.Sprint("db", i)
			d := jacinthtiller.Database{Name: n, Direct: true, Term: 1, Primary: "a"}
			for k, name := range []string{"a", "b", "c"} {
				d = d.WithTarget(jacinthtiller.Target{
					Name: name, Database: n, Address: fmt.Sprint(n, name, ":1"), Domain: fmt.Sprint("d", (i+k)%6), Slots: 5,
					State: jacinthtiller.StateServing,
				})
			}
			v.Databases[n] = d
			v.Edition.Groups[n] = jacinthtiller.Group{Connections: 117}
		}
		s.Apply(v)
		s.SetLease(jacinthtiller.Lease{Host: "h0", Deadline: clock.Now().Add(time.Minute)})
		time.Sleep(time.Second)
		for _, d := range v.Databases {
			if p.IsGateway(d.Targets["a"]) {
				gateways++
			}
		}
		kept, asked = len(p.Targets()), len(g.log())
		for _, target := range p.Targets() {
			direct = direct && target.Direct()
		}
		s.Close()
		p.Close()
	})
	convey.Convey("One of 300 hosts with 480 databases gets a lease", t, func() {
		convey.So(gateways, convey.ShouldBeBetween, 1, 60)
		convey.So(kept, convey.ShouldEqual, gateways)
		convey.So(asked, convey.ShouldEqual, gateways)
		convey.So(direct, convey.ShouldBeTrue)
	})
}
