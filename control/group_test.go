package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

// fakePlatform holds the targets of one database, which are fenced through fake peers.
type fakePlatform struct {
	mu        sync.Mutex
	positions map[string]jacinthtiller.Position
	broken    map[string]bool
	fenced    map[string]uint64
}

type fakePeer struct {
	jacinthtiller.Peer
	p *fakePlatform
}

func (p *fakePlatform) Peer(string) jacinthtiller.Peer { return fakePeer{p: p} }

func (f fakePeer) Fence(_ context.Context, r jacinthtiller.FenceRequest) (jacinthtiller.FenceResponse, error) {
	f.p.mu.Lock()
	defer f.p.mu.Unlock()
	if f.p.broken[r.Target] {
		return jacinthtiller.FenceResponse{}, errors.New("target is broken")
	}
	f.p.fenced[r.Target] = r.Term
	return jacinthtiller.FenceResponse{Position: f.p.positions[r.Target]}, nil
}

// group is a control group over loopback HTTP with the real log.
type group struct {
	servers map[string]*Server
	urls    []string
}

// lateHandler is a handler that is set after its server has started.
type lateHandler struct {
	mu sync.Mutex
	h  http.Handler
}

func (l *lateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	h := l.h
	l.mu.Unlock()
	if h == nil {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	h.ServeHTTP(w, r)
}

func startGroup(t testing.TB, size int, peers jacinthtiller.Peers) *group {
	t.Helper()
	g := &group{servers: map[string]*Server{}}
	members := map[string]string{}
	handlers := map[string]*lateHandler{}
	dir := t.TempDir()
	for i := range size {
		n := fmt.Sprintf("c%d", i+1)
		handlers[n] = &lateHandler{}
		h := httptest.NewServer(handlers[n])
		t.Cleanup(h.Close)
		t.Cleanup(h.CloseClientConnections)
		members[n] = h.URL
		g.urls = append(g.urls, h.URL)
	}
	for n := range members {
		s, err := Open(Config{Name: n, Dir: filepath.Join(dir, n), Members: members, Bootstrap: true, Peers: peers})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		g.servers[n] = s
		handlers[n].mu.Lock()
		handlers[n].h = s.Handler()
		handlers[n].mu.Unlock()
	}
	return g
}

// host is a minimal entry host: it registers, watches and renews.
type host struct {
	jacinthtiller.Host
	c      *Client
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu       sync.Mutex
	view     jacinthtiller.View
	wentBack bool // a view with a lower index was put in force
}

func startHost(t testing.TB, urls []string, name, domain string) *host {
	t.Helper()
	h := &host{c: NewClient(urls, nil), Host: jacinthtiller.Host{
		Name: name, Domain: domain, RPC: "http://" + name, Incarnation: name + "-1",
	}}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	start, stop := context.WithTimeout(ctx, 20*time.Second)
	defer stop()
	if _, err := h.c.Register(start, h.Host); err != nil {
		t.Fatal(err)
	}
	h.wg.Go(func() { h.watch(ctx) })
	h.wg.Go(func() { h.renew(ctx) })
	t.Cleanup(h.stop)
	return h
}

func (h *host) stop() {
	h.cancel()
	h.wg.Wait()
}

func (h *host) watch(ctx context.Context) {
	for ctx.Err() == nil {
		h.mu.Lock()
		from := h.view.Index
		h.mu.Unlock()
		_ = h.c.Watch(ctx, from, func(d jacinthtiller.Delta) error {
			h.mu.Lock()
			defer h.mu.Unlock()
			next, ok := h.view.With(d)
			h.wentBack = h.wentBack || ok && next.Index < h.view.Index
			h.view = next
			return nil
		})
	}
}

func (h *host) renew(ctx context.Context) {
	for ctx.Err() == nil {
		r, stop := context.WithTimeout(ctx, RenewInterval)
		_, _ = h.c.Renew(r, jacinthtiller.RenewRequest{Host: h.Name, Incarnation: h.Incarnation, Index: h.currentView().Index})
		stop()
		select {
		case <-ctx.Done():
		case <-time.After(RenewInterval / 4):
		}
	}
}

func (h *host) currentView() jacinthtiller.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

func announcement(target, domain string, role jacinthtiller.Role, position string) jacinthtiller.Announcement {
	return jacinthtiller.Announcement{
		Database: "db", Target: target, Address: "127.0.0.1:5432", Domain: domain, GroupSize: 3,
		Position: position, Term: 1, Role: role, State: jacinthtiller.StateServing,
	}
}

// eventually waits for a condition with a generous deadline.
func eventually(t testing.TB, what string, ok func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for time.Since(start) < 20*time.Second {
		if ok() {
			return time.Since(start)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting: %s", what)
	return 0
}

// TestGroup guards against a group that cannot bootstrap a database, promote
// after a lost primary or a dead host, or move a primary, over HTTP and the real log.
func TestGroup(t *testing.T) {
	convey.Convey("A group of three control processes and three hosts", t, func() {
		p := &fakePlatform{
			positions: map[string]jacinthtiller.Position{
				"t1": {Term: 1, Index: 9}, "t2": {Term: 1, Index: 8}, "t3": {Term: 1, Index: 9},
			},
			broken: map[string]bool{}, fenced: map[string]uint64{},
		}
		g := startGroup(t, 3, p)
		hosts := map[string]*host{}
		for i := range 3 {
			n := fmt.Sprintf("h%d", i+1)
			hosts[n] = startHost(t, g.urls, n, fmt.Sprintf("z%d", i+1))
		}
		ctx := t.Context()
		c := NewClient(g.urls, wire.NewHTTPClient())
		for i, role := range []jacinthtiller.Role{jacinthtiller.RolePrimary, jacinthtiller.RoleReplica, jacinthtiller.RoleReplica} {
			n := fmt.Sprint(i + 1)
			convey.So(c.ReportObservation(ctx, jacinthtiller.ObserveRequest{
				Host: "h" + n, Announcement: announcement("t"+n, "z"+n, role, "1/9"),
			}), convey.ShouldBeNil)
		}
		db := func() jacinthtiller.Database { return hosts["h2"].currentView().Databases["db"] }
		owned := func(target, owner string) func() bool {
			return func() bool { return db().Targets[target].Owner == owner }
		}
		eventually(t, "first primary", func() bool {
			return db().Primary == "t1" && owned("t1", "h1")() && owned("t2", "h2")() && owned("t3", "h3")()
		})

		convey.Convey("promotes away a lost primary and takes it back as a replica", func() {
			convey.So(c.ReportLost(ctx, jacinthtiller.LostRequest{
				Host: "h1", Incarnation: "h1-1", Database: "db", Target: "t1", Epoch: db().Targets["t1"].Epoch,
			}), convey.ShouldBeNil)
			gap := eventually(t, "promotion", func() bool { return db().Term == 2 && db().Primary == "t3" })
			t.Logf("lost to new primary in a host's view: %v", gap)
			a := announcement("t1", "z1", jacinthtiller.RolePrimary, "1/9")
			convey.So(c.ReportObservation(ctx, jacinthtiller.ObserveRequest{Host: "h1", Announcement: a}), convey.ShouldBeNil)
			eventually(t, "owner of the returned target", owned("t1", "h1"))
		})
		convey.Convey("promotes away the primary of a dead host after its lease", func() {
			hosts["h1"].stop()
			gap := eventually(t, "promotion", func() bool { return db().Term == 2 && db().Primary == "t3" })
			t.Logf("death of the owner to new primary in a host's view: %v", gap)
			convey.So(gap, convey.ShouldBeGreaterThan, Lease-RenewInterval)
		})
		convey.Convey("moves a primary once its owner has drained it", func() {
			m := conc.NewWaitGroup()
			var out MovePrimaryResponse
			var err error
			m.Go(func() {
				out, err = c.MovePrimary(ctx, MovePrimaryRequest{Database: "db", Target: "t2", WaitMicroseconds: 10_000_000})
			})
			eventually(t, "order to drain", func() bool { return db().Successor == "t2" })
			p.mu.Lock()
			p.positions["t2"] = p.positions["t1"]
			p.mu.Unlock()
			convey.So(c.ReportLost(ctx, jacinthtiller.LostRequest{
				Host: "h1", Incarnation: "h1-1", Database: "db", Target: "t1", Epoch: db().Targets["t1"].Epoch,
			}), convey.ShouldBeNil)
			m.Wait()
			convey.So(err, convey.ShouldBeNil)
			convey.So(out.Database.Primary, convey.ShouldEqual, "t2")
			eventually(t, "owner of the former primary", owned("t1", "h1"))
		})
		convey.Convey("puts an edit in force on every host and answers a resend the same", func() {
			edit := SectionApplyRequest{Operator: Operator{Name: "ana"}, Team: "semintele", Text: "weight: 2", Request: "r1", WaitMicroseconds: 10_000_000}
			out, err := c.SectionApply(ctx, edit)
			convey.So(err, convey.ShouldBeNil)
			convey.So(out.Outcome, convey.ShouldEqual, SectionAccepted)
			convey.So(out.InForce, convey.ShouldResemble, []string{"h1", "h2", "h3"})
			again, err := c.SectionApply(ctx, edit)
			convey.So(err, convey.ShouldBeNil)
			convey.So(again.Index, convey.ShouldEqual, out.Index)
			st, err := c.Status(ctx)
			convey.So(err, convey.ShouldBeNil)
			convey.So(st.Sections["semintele"], convey.ShouldEqual, 1)
			convey.So(st.Hosts[0].Lease, convey.ShouldEqual, LeaseHeld)
		})
		convey.Convey("goes on under another leader without losing a host", func() {
			st, err := c.Status(ctx)
			convey.So(err, convey.ShouldBeNil)
			convey.So(g.servers[st.Leader].Close(), convey.ShouldBeNil)
			after, err := c.Status(ctx)
			convey.So(err, convey.ShouldBeNil)
			convey.So(after.Leader, convey.ShouldNotEqual, st.Leader)
			gap := eventually(t, "leases under the new leader", func() bool {
				s, err := c.Status(ctx)
				return err == nil && s.Hosts[0].Lease == LeaseHeld && s.Hosts[1].Lease == LeaseHeld && s.Hosts[2].Lease == LeaseHeld
			})
			t.Logf("leases held again under the new leader after %v", gap)
			convey.So(db().Term, convey.ShouldEqual, 1)
			convey.So(db().Primary, convey.ShouldEqual, "t1")
		})
		for _, h := range hosts {
			h.mu.Lock()
			back := h.wentBack
			h.mu.Unlock()
			convey.So(back, convey.ShouldBeFalse)
		}
	})
}
