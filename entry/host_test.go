package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/owner"
)

// fakeControl grants leases after a delay and sends the deltas from its channel.
type fakeControl struct {
	mu           sync.Mutex
	down         bool
	answeredAt   time.Time
	deltas       chan jacinthtiller.Delta
	observed     []jacinthtiller.ObserveRequest
	unregistered bool
	// leaderIndex is the index of the leader's view, and watches counts the watches that were started.
	leaderIndex   uint64
	settledIndex  uint64
	watches       int
	registrations int
	released      bool
	// watchedFrom is the index from which the last watch started.
	watchedFrom uint64
}

var errUnreachable = errors.New("control is unreachable")

const testLease = 1500 * time.Millisecond

func (c *fakeControl) isDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

func (c *fakeControl) locked(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *fakeControl) watchStart() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watchedFrom
}

func (c *fakeControl) Register(context.Context, jacinthtiller.Host) (jacinthtiller.RegisterResponse, error) {
	if c.isDown() {
		return jacinthtiller.RegisterResponse{}, errUnreachable
	}
	c.locked(func() { c.registrations++; c.unregistered = false })
	return jacinthtiller.RegisterResponse{Index: 1}, nil
}

func (c *fakeControl) Renew(context.Context, jacinthtiller.RenewRequest) (jacinthtiller.RenewResponse, error) {
	time.Sleep(100 * time.Millisecond)
	if c.isDown() {
		return jacinthtiller.RenewResponse{}, errUnreachable
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredAt = time.Now()
	return jacinthtiller.RenewResponse{LeaseMicroseconds: testLease.Microseconds(), Unregistered: c.unregistered, Index: c.leaderIndex, SettledIndex: c.settledIndex}, nil
}

func (c *fakeControl) Release(context.Context, jacinthtiller.ReleaseRequest) error {
	c.locked(func() { c.released = true })
	return nil
}

func (c *fakeControl) ReportObservation(_ context.Context, r jacinthtiller.ObserveRequest) error {
	c.locked(func() { c.observed = append(c.observed, r) })
	return nil
}

func (c *fakeControl) ReportLost(context.Context, jacinthtiller.LostRequest) error { return nil }

func (c *fakeControl) ReportOverload(context.Context, jacinthtiller.OverloadReport) error { return nil }

func (c *fakeControl) Watch(ctx context.Context, from uint64, apply func(jacinthtiller.Delta) error) error {
	c.locked(func() { c.watches, c.watchedFrom = c.watches+1, from })
	for {
		if c.isDown() {
			return errUnreachable
		}
		select {
		case d := <-c.deltas:
			if err := apply(d); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// blockingSubscriber receives a lease that is not empty only once proceed is closed.
type blockingSubscriber struct {
	lease            jacinthtiller.Lease
	started, proceed chan struct{}
}

func (*blockingSubscriber) Apply(jacinthtiller.View) {}

func (s *blockingSubscriber) SetLease(l jacinthtiller.Lease) {
	if !l.Deadline.IsZero() {
		close(s.started)
		<-s.proceed
	}
	s.lease = l
}

// TestReleaseDuringRenewal guards against a renewal that publishes its lease after a release: nothing would end that lease, and
// the host would go on granting tokens beside the next administrator.
func TestReleaseDuringRenewal(t *testing.T) {
	convey.Convey("The subscribers of a released host have no lease", t, func() {
		b := &blockingSubscriber{started: make(chan struct{}), proceed: make(chan struct{})}
		h := &Host{config: Config{Control: &fakeControl{}, Subscribers: []jacinthtiller.ViewSubscriber{b}}}
		var group conc.WaitGroup
		group.Go(func() { h.extendLease(clock.Now().Add(time.Hour), 0) })
		<-b.started
		released := make(chan struct{})
		group.Go(func() { _ = h.Release(context.Background()); close(released) })
		select {
		case <-released:
		case <-time.After(100 * time.Millisecond): // the release waits for the renewal
		}
		close(b.proceed)
		group.Wait()
		convey.So(b.lease.Deadline.IsZero(), convey.ShouldBeTrue)
	})
}

// unimplementedPeer provides the methods of jacinthtiller.Peer that no test calls.
type unimplementedPeer = jacinthtiller.Peer

// fakePeer stands for all other hosts.
type fakePeer struct {
	unimplementedPeer
	mu        sync.Mutex
	view      jacinthtiller.View
	err       error
	announced []jacinthtiller.Announcement
}

func (p *fakePeer) Peer(string) jacinthtiller.Peer { return p }

func (p *fakePeer) View(context.Context) (jacinthtiller.View, error) { return p.view, p.err }

func (p *fakePeer) Announce(_ context.Context, a jacinthtiller.Announcement) (jacinthtiller.AnnounceResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announced = append(p.announced, a)
	return jacinthtiller.AnnounceResponse{Owner: "http://owner"}, p.err
}

func startHost(c *fakeControl, p *fakePeer) *Host {
	c.deltas = make(chan jacinthtiller.Delta)
	return Start(Config{
		Self:    jacinthtiller.Host{Name: "h1", Domain: "cluj-a", Incarnation: "i1", RPC: "http://h1"},
		Control: c, Peers: p, PeerURLs: []string{"http://h2"}, Views: NewViewStore(), Owner: owner.New(owner.WithHost("h1")),
	})
}

// stopHost stops the host and its owner, so that all goroutines of the synctest bubble end.
func stopHost(h *Host) {
	h.Close()
	_ = h.config.Owner.Close()
}

// TestLease guards against a lease that the host considers valid longer than the leader does, or after its release, and
// against a settled index that decreases.
func TestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("The deadline counts from the start of the request", t, func() {
			c := &fakeControl{}
			h := startHost(c, &fakePeer{})
			defer stopHost(h)
			time.Sleep(150 * time.Millisecond)
			synctest.Wait()
			convey.So(h.Ready(), convey.ShouldBeFalse) // it has no view, so it knows neither roles nor databases
			c.deltas <- jacinthtiller.Delta{Index: 1}
			synctest.Wait()
			convey.So(h.Ready(), convey.ShouldBeTrue)
			// The response came 100 ms after the request.
			convey.So(h.Dump().LeaseDeadline, convey.ShouldEqual, c.answeredAt.Add(testLease-100*time.Millisecond))

			convey.Convey("The lease ends while control is unreachable and is granted again afterwards", func() {
				c.locked(func() { c.down = true })
				time.Sleep(3 * time.Second)
				convey.So(h.Dump().LeaseDeadline.IsZero(), convey.ShouldBeTrue)
				c.locked(func() { c.down = false })
				time.Sleep(time.Second)
				convey.So(h.Dump().LeaseDeadline.After(time.Now()), convey.ShouldBeTrue)
			})
			convey.Convey("A host that is not registered with control registers again", func() {
				c.locked(func() { c.unregistered = true })
				time.Sleep(2 * time.Second)
				c.mu.Lock()
				defer c.mu.Unlock()
				convey.So(c.registrations, convey.ShouldEqual, 2)
			})
			convey.Convey("A watch that stays behind the leader is replaced, any other is kept", func() {
				time.Sleep(2 * time.Second)
				convey.So(c.watches, convey.ShouldEqual, 1)
				c.locked(func() { c.leaderIndex = 50 })
				time.Sleep(time.Second)
				c.mu.Lock()
				defer c.mu.Unlock()
				convey.So(c.watches, convey.ShouldBeGreaterThan, 1)
			})
			convey.Convey("The settled index of the lease follows control and never decreases", func() {
				settled := func() uint64 {
					time.Sleep(time.Second)
					h.mu.Lock()
					defer h.mu.Unlock()
					return h.lease.SettledIndex
				}
				convey.So(settled(), convey.ShouldEqual, 0)
				c.locked(func() { c.settledIndex = 7 })
				convey.So(settled(), convey.ShouldEqual, 7)
				c.locked(func() { c.settledIndex = 0 }) // a new leader has not heard from all hosts
				convey.So(settled(), convey.ShouldEqual, 7)
			})
			convey.Convey("A change of hosts is reported early where limits of accounts depend on it", func() {
				afterChange := func(e *jacinthtiller.Edition, hosts int) time.Duration {
					c.mu.Lock()
					last := c.answeredAt
					c.mu.Unlock()
					renewed := func() time.Time {
						for {
							time.Sleep(time.Millisecond)
							c.mu.Lock()
							at := c.answeredAt
							c.mu.Unlock()
							if at.After(last) {
								last = at
								return at
							}
						}
					}
					renewed()
					sent := time.Now()
					d := jacinthtiller.Delta{From: 1, Index: 2, Edition: e, Hosts: map[string]jacinthtiller.Host{}}
					for i := range hosts {
						n := fmt.Sprint("h", i)
						d.Hosts[n] = jacinthtiller.Host{Name: n}
					}
					c.deltas <- d
					return renewed().Sub(sent)
				}
				const earliest = 250 * time.Millisecond // 80 hosts / maxEarlyRenewals, the reply after 100 ms, and a margin
				accounts := &jacinthtiller.Edition{RequiresKeys: true}
				convey.Convey("with accounts", func() {
					convey.So(afterChange(accounts, 80), convey.ShouldBeLessThan, earliest)
				})
				convey.Convey("but not without", func() {
					convey.So(afterChange(&jacinthtiller.Edition{}, 80), convey.ShouldBeGreaterThan, earliest)
				})
				convey.Convey("and not with so many hosts that their renewals would keep the leader busy", func() {
					convey.So(afterChange(accounts, 300), convey.ShouldBeGreaterThan, earliest)
				})
			})
			convey.Convey("After a release the lease is not renewed", func() {
				convey.So(h.Release(context.Background()), convey.ShouldBeNil)
				time.Sleep(2 * time.Second)
				convey.So(h.Dump().LeaseDeadline.IsZero(), convey.ShouldBeTrue)
				convey.So(h.Ready(), convey.ShouldBeFalse)
				convey.So(c.released, convey.ShouldBeTrue)
				c.locked(func() { c.unregistered = true })
				time.Sleep(2 * time.Second)
				convey.So(c.registrations, convey.ShouldEqual, 1)
			})
		})
	})
}

// TestViewMismatch guards against a host that asks again and again for deltas to a view that they do not apply to: one that
// has an edition without accounts, from a peer of an earlier version.
func TestViewMismatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("After a delta that does not apply the host asks for a full view once", t, func() {
			c := &fakeControl{}
			h := startHost(c, &fakePeer{})
			defer stopHost(h)
			// interrupt ends the watch after a delta that applies.
			interrupt := func(d jacinthtiller.Delta) {
				synctest.Wait() // the host watches
				c.locked(func() { c.down = true })
				c.deltas <- d
				time.Sleep(time.Second)
				c.locked(func() { c.down = false })
				time.Sleep(2 * time.Second)
			}
			interrupt(jacinthtiller.Delta{Index: 20, Edition: &jacinthtiller.Edition{Number: 3}})
			convey.So(c.watchStart(), convey.ShouldEqual, 20)
			c.deltas <- jacinthtiller.Delta{From: 20, Index: 21, EditionDelta: &jacinthtiller.EditionDelta{
				From: 3, Changed: jacinthtiller.Edition{Number: 4}, Entries: 2,
			}}
			time.Sleep(2 * time.Second)
			convey.So(h.config.Views.View().Index, convey.ShouldEqual, 20)
			convey.So(c.watchStart(), convey.ShouldEqual, 0)
			c.deltas <- jacinthtiller.Delta{Index: 21, Edition: &jacinthtiller.Edition{Number: 4}}
			interrupt(jacinthtiller.Delta{From: 21, Index: 22})
			convey.So(h.config.Views.View().Edition.Number, convey.ShouldEqual, 4)
			convey.So(c.watchStart(), convey.ShouldEqual, 22)
			// A control process of an earlier version passes on hosts without ChangedIndex, on which limits depend.
			interrupt(jacinthtiller.Delta{
				From: 22, Index: 23, Edition: &jacinthtiller.Edition{Number: 5, RequiresKeys: true},
				Hosts: map[string]jacinthtiller.Host{"h2": {Name: "h2"}},
			})
			convey.So(c.watchStart(), convey.ShouldEqual, 0)
		})
	})
}

// TestView guards against a view that is replaced by an older one from control or from a peer.
func TestView(t *testing.T) {
	cases := map[string]struct {
		delta jacinthtiller.Delta
		want  uint64
	}{
		"next delta":              {jacinthtiller.Delta{From: 20, Index: 21}, 21},
		"newer full view":         {jacinthtiller.Delta{Index: 30}, 30},
		"older full view":         {jacinthtiller.Delta{Index: 10}, 20},
		"delta from another view": {jacinthtiller.Delta{From: 25, Index: 26}, 20},
		"delta that was applied":  {jacinthtiller.Delta{From: 19, Index: 20}, 20},
	}
	convey.Convey("Only a newer view replaces the current one", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				v := NewViewStore()
				v.Apply(jacinthtiller.Delta{Index: 20})
				v.Apply(c.delta)
				convey.So(v.View().Index, convey.ShouldEqual, c.want)
			})
		}
	})
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Without control the newest view of the peers is used", t, func() {
			c, p := &fakeControl{down: true}, &fakePeer{view: jacinthtiller.View{Index: 40}}
			h := startHost(c, p)
			defer stopHost(h)
			time.Sleep(time.Second)
			convey.So(h.config.Views.View().Index, convey.ShouldEqual, 40)
			p.view.Index = 30
			time.Sleep(time.Second)
			convey.So(h.config.Views.View().Index, convey.ShouldEqual, 40)
		})
	})
}

// TestAnnounce guards against invalid announcements that are accepted and changes that are not reported to control.
func TestAnnounce(t *testing.T) {
	valid := jacinthtiller.Announcement{
		Database: "d", Target: "t", Address: "127.0.0.1:1", Domain: "cluj-a", GroupSize: 3, Position: "1/2", Term: 1,
		Role: jacinthtiller.RolePrimary, State: jacinthtiller.StateServing,
	}
	view := jacinthtiller.View{
		Index: 5,
		Hosts: map[string]jacinthtiller.Host{"h2": {Name: "h2", RPC: "http://h2"}},
		Databases: map[string]jacinthtiller.Database{"d": {
			Name: "d", Term: 1, Primary: "t", GroupSize: 3, Targets: map[string]jacinthtiller.Target{"t": {
				Name: "t", Database: "d", Address: "127.0.0.1:1", Domain: "cluj-a", Owner: "h2", Epoch: 1,
				State: jacinthtiller.StateServing,
			}},
		}},
	}
	cases := map[string]struct {
		change      func(*jacinthtiller.Announcement)
		ownerDown   bool
		refused     bool
		observed    int
		unreachable bool
	}{
		"no change":               {change: func(*jacinthtiller.Announcement) {}},
		"owner does not answer":   {change: func(*jacinthtiller.Announcement) {}, ownerDown: true, observed: 1, unreachable: true},
		"another address":         {change: func(a *jacinthtiller.Announcement) { a.Address = "127.0.0.1:2" }, observed: 1},
		"leaving":                 {change: func(a *jacinthtiller.Announcement) { a.State = jacinthtiller.StateLeaving }, observed: 1},
		"unknown target":          {change: func(a *jacinthtiller.Announcement) { a.Target = "new" }, observed: 1},
		"larger group":            {change: func(a *jacinthtiller.Announcement) { a.GroupSize = 5 }, observed: 1},
		"no target name":          {change: func(a *jacinthtiller.Announcement) { a.Target = "" }, refused: true},
		"invalid position":        {change: func(a *jacinthtiller.Announcement) { a.Position = "2" }, refused: true},
		"term below the position": {change: func(a *jacinthtiller.Announcement) { a.Position = "2/1" }, refused: true},
		"another failure domain":  {change: func(a *jacinthtiller.Announcement) { a.Domain = "iasi-a" }, refused: true},
		"group of size 0":         {change: func(a *jacinthtiller.Announcement) { a.GroupSize = 0 }, refused: true},
		"unknown role":            {change: func(a *jacinthtiller.Announcement) { a.Role = "leader" }, refused: true},
	}
	convey.Convey("Announcements are checked, forwarded and reported", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				control, peer := &fakeControl{}, &fakePeer{}
				if c.ownerDown {
					peer.err = errUnreachable
				}
				h := startHost(control, peer)
				defer stopHost(h)
				h.config.Views.ReplaceIfNewer(view)
				a := valid
				c.change(&a)
				_, err := h.Announce(context.Background(), a)
				convey.So(err != nil, convey.ShouldEqual, c.refused)
				deadline := time.Now().Add(10 * time.Second)
				reports := func() []jacinthtiller.ObserveRequest {
					control.mu.Lock()
					defer control.mu.Unlock()
					return control.observed
				}
				for len(reports()) < c.observed && time.Now().Before(deadline) {
					time.Sleep(time.Millisecond)
				}
				convey.So(reports(), convey.ShouldHaveLength, c.observed)
				if c.observed > 0 {
					convey.So(reports()[0].OwnerUnreachable, convey.ShouldEqual, c.unreachable)
				}
				if !c.refused && a.Target == "t" {
					convey.So(peer.announced, convey.ShouldHaveLength, 1)
					convey.So(peer.announced[0].Forwarded, convey.ShouldBeTrue)
				}
			})
		}
	})
}

// TestBehind guards against a watch that every host cancels and opens again while hundreds of hosts register and the
// leader is always a little ahead, and against a watch that is kept although its process is cut off.
func TestBehind(t *testing.T) {
	cases := map[string]struct {
		delivers bool
		kept     bool
	}{
		"the watch delivers each view of the leader": {true, true},
		"the watch delivers nothing":                 {false, false},
	}
	convey.Convey("The leader's view changes before each renewal", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				h := &Host{config: Config{Views: NewViewStore()}}
				kept := true
				h.cancelWatch = func() { kept = false }
				h.config.Views.ReplaceIfNewer(jacinthtiller.View{Index: 10})
				now := time.Unix(1000, 0)
				for i := range 20 {
					leader := uint64(11 + i)
					h.checkWatchLag(leader, now)
					if c.delivers {
						h.config.Views.ReplaceIfNewer(jacinthtiller.View{Index: leader})
					}
					now = now.Add(laggingRenewInterval)
				}
				convey.So(kept, convey.ShouldEqual, c.kept)
			})
		}
	})
	convey.Convey("Control is overloaded and late for all hosts for a minute", t, func() {
		h := &Host{config: Config{Views: NewViewStore()}}
		stops := 0
		h.cancelWatch = func() { stops++ }
		h.config.Views.ReplaceIfNewer(jacinthtiller.View{Index: 10})
		now := time.Unix(1000, 0)
		for range 500 {
			h.checkWatchLag(11, now)
			now = now.Add(laggingRenewInterval)
		}
		convey.So(stops, convey.ShouldBeBetween, 2, 12)
	})
}

// TestViewOutdated guards against a host that keeps renewing its lease while its watches deliver nothing, as when control
// is overloaded. Such a host told guests that a database does not exist, by an edition that was 6 s old.
func TestViewOutdated(t *testing.T) {
	cases := map[string]struct {
		// viewIndex returns the index of the current view at a renewal; the leader's index grows by one each time.
		viewIndex func(leader uint64) uint64
		leased    bool
	}{
		"the view is current":                                     {func(leader uint64) uint64 { return leader }, true},
		"the view is one renewal behind":                          {func(leader uint64) uint64 { return leader - 1 }, true},
		"the view does not change":                                {func(uint64) uint64 { return 10 }, false},
		"the view falls further and further behind":               {func(leader uint64) uint64 { return 10 + (leader-10)/9 }, false},
		"the view does not change and is newer than the leader's": {func(uint64) uint64 { return 1000 }, true},
	}
	convey.Convey("The leader's view changes at each renewal for 6 s, and a new watch is opened twice a second", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				var leased bool
				synctest.Test(t, func(t *testing.T) {
					control := &fakeControl{leaderIndex: 10}
					h := &Host{ctx: t.Context(), config: Config{Views: NewViewStore(), Control: control}}
					h.config.Views.ReplaceIfNewer(jacinthtiller.View{Index: 10})
					for i := range 30 {
						control.locked(func() { control.leaderIndex++ })
						h.config.Views.ReplaceIfNewer(jacinthtiller.View{Index: c.viewIndex(control.leaderIndex)})
						if i%3 == 0 {
							h.newWatchContext()
						}
						if _, err := h.renewLease(); err != nil {
							t.Error(err)
						}
						time.Sleep(100 * time.Millisecond)
					}
					leased = h.lease.Valid(clock.Now())
				})
				convey.So(leased, convey.ShouldEqual, c.leased)
			})
		}
	})
}
