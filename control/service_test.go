package control

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/quorum"
)

// fakeNode is a single-process log that can lose its leadership and the results of proposals.
type fakeNode struct {
	node
	machine *machine
	// replaced is true once another process leads without this one knowing it.
	replaced atomic.Bool

	mu          sync.Mutex
	index       uint64
	leader      string
	leads       bool
	lostResults int
	changed     chan struct{}
}

func (n *fakeNode) Propose(_ context.Context, command []byte) ([]byte, uint64, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leads {
		return nil, 0, &quorum.NotLeaderError{Leader: n.leader}
	}
	n.index++
	out := n.machine.Apply(n.index, command)
	if n.lostResults > 0 {
		n.lostResults--
		return nil, 0, &quorum.UnknownOutcomeError{Index: n.index, Err: errors.New("answer lost")}
	}
	return out, n.index, nil
}

func (n *fakeNode) ConfirmLeader(context.Context) error {
	if _, _, leads := n.Leadership(); !leads || n.replaced.Load() {
		return &quorum.NotLeaderError{Leader: n.leader}
	}
	return nil
}

func (n *fakeNode) Leadership() (string, uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader, 1, n.leads
}

// ConfirmedAt is zero, so that each renewal requires a confirmation round.
func (n *fakeNode) ConfirmedAt() time.Time         { return time.Time{} }
func (n *fakeNode) LeaderSince() (time.Time, bool) { return time.Time{}, false }

func (n *fakeNode) Changed() <-chan struct{} { return n.changed }
func (n *fakeNode) Status() quorum.Status    { return quorum.Status{} }
func (n *fakeNode) Close() error             { return nil }

func (n *fakeNode) set(leader string, leads bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leader, n.leads = leader, leads
}

// startFake starts a control process on a fake log; leads says whether it leads.
func startFake(t testing.TB, c Config, leads bool) (*Server, *fakeNode, string) {
	t.Helper()
	h := &lateHandler{}
	web := httptest.NewServer(h)
	if c.Members == nil {
		c.Name, c.Members = "c1", map[string]string{"c1": web.URL}
	}
	s, err := newServer(c)
	if err != nil {
		t.Fatal(err)
	}
	n := &fakeNode{machine: s.machine, leader: "c1", leads: leads, changed: make(chan struct{})}
	s.start(n)
	h.h = s.Handler()
	t.Cleanup(func() {
		_ = s.Close()
		web.CloseClientConnections()
		web.Close()
	})
	eventually(t, "leadership", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !leads || s.leader != nil
	})
	return s, n, web.URL
}

// TestConfirmer guards against a request that accepts a confirmation that began before it, and against one confirmation per
// request.
func TestConfirmer(t *testing.T) {
	var early, late int64
	var begun atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		gate := make(chan struct{})
		r := &confirmer{ctx: t.Context(), wg: conc.NewWaitGroup(), confirm: func(context.Context) error {
			begun.Add(1)
			<-gate
			return nil
		}}
		var done atomic.Int64
		wg := conc.NewWaitGroup()
		wait := func() {
			_ = r.wait(t.Context())
			done.Add(1)
		}
		wg.Go(wait)
		synctest.Wait()
		for range 20 {
			wg.Go(wait)
		}
		synctest.Wait()
		gate <- struct{}{}
		synctest.Wait()
		early = done.Load()
		gate <- struct{}{}
		wg.Wait()
		late = done.Load()
	})
	convey.Convey("Requests share the round that begins after them", t, func() {
		convey.So(early, convey.ShouldEqual, 1)
		convey.So(late, convey.ShouldEqual, 21)
		convey.So(begun.Load(), convey.ShouldEqual, 2)
	})
}

// TestService guards against handlers that let a caller bypass a rule, and against a client that does not find the
// leader or repeats a call that is not idempotent.
func TestService(t *testing.T) {
	so, eq := convey.So, convey.ShouldEqual
	ctx := t.Context()
	host := jacinthtiller.Host{Name: "h1", Domain: "a", RPC: "http://h1", Incarnation: "1"}
	edit := SectionApplyRequest{Operator: Operator{Name: "ana", Token: "secret"}, Team: "semintele", Text: "weight: 2", Request: "r1"}
	renew := jacinthtiller.RenewRequest{Host: "h1", Incarnation: "1", Index: 1000}
	cases := map[string]func(s *Server, n *fakeNode, c *Client, url string){
		"a client that knows a follower only finds the leader": func(_ *Server, _ *fakeNode, _ *Client, url string) {
			_, f, other := startFake(t, Config{Name: "c2", Members: map[string]string{"c1": url, "c2": "http://127.0.0.1:1"}}, false)
			f.set("c1", false)
			_, err := NewClient([]string{other}, nil).Register(ctx, host)
			so(err, convey.ShouldBeNil)
		},
		"no lease is granted when the leadership is not confirmed": func(_ *Server, n *fakeNode, c *Client, _ string) {
			_, err := c.Register(ctx, host)
			so(err, convey.ShouldBeNil)
			out, err := c.Renew(ctx, renew)
			so(err, convey.ShouldBeNil)
			so(out.LeaseMicroseconds, eq, Lease.Microseconds())
			n.replaced.Store(true)
			short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			defer cancel()
			_, err = c.Renew(short, renew)
			so(err, convey.ShouldNotBeNil)
		},
		"an edit whose answer was lost is answered by its resend": func(_ *Server, n *fakeNode, c *Client, _ string) {
			n.mu.Lock()
			n.lostResults = 1
			n.mu.Unlock()
			out, err := c.SectionApply(ctx, edit)
			so(err, convey.ShouldBeNil)
			so(out.Outcome, eq, SectionAccepted)
			so(out.Revision, eq, 1)
		},
		"a change of members is not repeated after an unknown outcome": func(_ *Server, n *fakeNode, c *Client, _ string) {
			n.mu.Lock()
			n.lostResults = 1
			n.mu.Unlock()
			calls := 0
			err := c.callLeader(ctx, callTimeout, false, func(context.Context, *endpoint) error {
				calls++
				return connect.NewError(connect.CodeUnavailable, errors.New("answer lost"))
			})
			so(err, convey.ShouldNotBeNil)
			so(calls, eq, 1)
		},
		"of two operators who race one gets a conflict with the section": func(_ *Server, _ *fakeNode, c *Client, _ string) {
			var outcomes [2]SectionApplyResponse
			wg := conc.NewWaitGroup()
			for i, request := range []string{"r1", "r2"} {
				wg.Go(func() {
					e := edit
					e.Request = request
					outcomes[i], _ = c.SectionApply(ctx, e)
				})
			}
			wg.Wait()
			lost := outcomes[0]
			if lost.Outcome == SectionAccepted {
				lost = outcomes[1]
			}
			so(lost.Outcome, eq, SectionConflict)
			so(lost.Current.Revision, eq, 1)
			got, err := c.SectionGet(ctx, SectionGetRequest{Operator: edit.Operator, Team: "semintele"})
			so(err, convey.ShouldBeNil)
			so(got.Section.Revision, eq, 1)
			for _, who := range []Operator{{}, {Name: "ana", Token: "wrong"}} {
				_, err = c.SectionGet(ctx, SectionGetRequest{Operator: who, Team: "semintele"})
				so(connect.CodeOf(err), eq, connect.CodePermissionDenied)
				_, err = c.SectionHistory(ctx, SectionHistoryRequest{Operator: who, Team: "semintele"})
				so(connect.CodeOf(err), eq, connect.CodePermissionDenied)
			}
		},
		"an invalid section is refused with all its faults": func(_ *Server, _ *fakeNode, c *Client, _ string) {
			e := edit
			e.Text = "weight: 0\nbogus: 1"
			out, err := c.SectionApply(ctx, e)
			so(err, convey.ShouldBeNil)
			so(out.Outcome, eq, SectionInvalid)
			so(out.Faults, convey.ShouldHaveLength, 2)
			so(out.Faults[1].Line, eq, 2)
		},
		"the same id with other content is refused": func(_ *Server, _ *fakeNode, c *Client, _ string) {
			_, err := c.SectionApply(ctx, edit)
			so(err, convey.ShouldBeNil)
			e := edit
			e.Text = "weight: 3"
			out, err := c.SectionApply(ctx, e)
			so(err, convey.ShouldBeNil)
			so(out.Outcome, eq, SectionReused)
		},
		"an operator edits the own team's section only": func(_ *Server, _ *fakeNode, c *Client, _ string) {
			e := edit
			e.Team = "kit"
			_, err := c.SectionApply(ctx, e)
			so(connect.CodeOf(err), eq, connect.CodePermissionDenied)
			_, err = c.MovePrimary(ctx, MovePrimaryRequest{Operator: e.Operator, Database: "db", Target: "t1"})
			so(connect.CodeOf(err), eq, connect.CodePermissionDenied)
			so(connect.CodeOf(c.TargetLeave(ctx, TargetLeaveRequest{Operator: e.Operator})), eq, connect.CodePermissionDenied)
			_, err = c.MemberChange(ctx, MemberChangeRequest{Operator: e.Operator, Action: MemberRemove, Name: "c1"})
			so(connect.CodeOf(err), eq, connect.CodePermissionDenied)
		},
		"an observation without new information is not recorded": func(_ *Server, n *fakeNode, c *Client, _ string) {
			r := jacinthtiller.ObserveRequest{Host: "h1", Announcement: announcement("t1", "a", jacinthtiller.RolePrimary, "1/5")}
			so(c.ReportObservation(ctx, r), convey.ShouldBeNil)
			before := n.index
			r.Announcement.Position = "1/6"
			so(c.ReportObservation(ctx, r), convey.ShouldBeNil)
			so(n.index, eq, before)
			r.Announcement.Address = "nowhere"
			so(connect.CodeOf(c.ReportObservation(ctx, r)), eq, connect.CodeInvalidArgument)
		},
		"a new process waits for the lease of the former one": func(_ *Server, _ *fakeNode, c *Client, _ string) {
			_, err := c.Register(ctx, host)
			so(err, convey.ShouldBeNil)
			start := time.Now()
			_, err = c.Renew(ctx, renew)
			so(err, convey.ShouldBeNil)
			h := host
			h.Incarnation = "2"
			_, err = c.Register(ctx, h)
			so(err, convey.ShouldBeNil)
			so(time.Since(start), convey.ShouldBeGreaterThanOrEqualTo, Lease+ClockRateBound)
		},
		"a process that knows no leader ends its watches": func(_ *Server, n *fakeNode, c *Client, _ string) {
			_, err := c.Register(ctx, host)
			so(err, convey.ShouldBeNil)
			n.set("", false)
			var last jacinthtiller.Delta
			err = c.Watch(ctx, 0, func(d jacinthtiller.Delta) error {
				last = d
				return nil
			})
			so(connect.CodeOf(err), eq, connect.CodeUnavailable)
			so(last.From, eq, last.Index)
		},
		"a watch without messages ends": func(*Server, *fakeNode, *Client, string) {
			h := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after that
				<-r.Context().Done()
			}))
			defer h.Close()
			defer h.CloseClientConnections()
			err := NewClient([]string{h.URL}, nil).Watch(ctx, 0, func(jacinthtiller.Delta) error { return nil })
			so(errors.Is(err, errNoHeartbeat), convey.ShouldBeTrue)
		},
	}
	operators, err := ParseOperators([]byte("- {name: ana, token-sha256: 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b, teams: [semintele]}"))
	if err != nil {
		t.Fatal(err)
	}
	convey.Convey("A control process", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				s, n, url := startFake(t, Config{Operators: operators}, true)
				c(s, n, NewClient([]string{url}, nil), url)
			})
		}
	})
}

// removalPeer fakes the owners of a primary and of its replicas.
type removalPeer struct {
	jacinthtiller.Peer
	majorityPosition jacinthtiller.Position
	reached          map[string]jacinthtiller.Position
}

type removalPeers struct{ p removalPeer }

func (p removalPeers) Peer(string) jacinthtiller.Peer { return p.p }

func (p removalPeer) Mark(context.Context, jacinthtiller.MarkRequest) (jacinthtiller.MarkResponse, error) {
	return jacinthtiller.MarkResponse{Term: 1, Position: p.majorityPosition}, nil
}

func (p removalPeer) WaitPosition(_ context.Context, r jacinthtiller.WaitPositionRequest) (jacinthtiller.WaitPositionResponse, error) {
	return jacinthtiller.WaitPositionResponse{Position: p.reached[r.Target]}, nil
}

// TestRemovalCheck guards against the removal of a target without which stored commits lack a majority.
func TestRemovalCheck(t *testing.T) {
	at := func(term, index uint64) jacinthtiller.Position {
		return jacinthtiller.Position{Term: term, Index: index}
	}
	cases := map[string]struct {
		majorityPosition, replica jacinthtiller.Position
		removed                   bool
	}{
		"the rest has all commits":                    {at(1, 9), at(1, 9), true},
		"the rest is behind":                          {at(1, 9), at(1, 8), false},
		"no commit of the term is known":              {at(0, 0), at(1, 9), false},
		"the majority position is of an earlier term": {at(0, 9), at(1, 9), false},
	}
	convey.Convey("A target that has left is removed", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				w := standardHarness()
				w.apply(Command{Leave: &leaveCommand{Database: "db", Target: "t3"}})
				w.reportLost("t3")
				p := removalPeer{majorityPosition: c.majorityPosition, reached: map[string]jacinthtiller.Position{"t2": c.replica}}
				s, n, _ := startFake(t, Config{Operators: &Operators{}, Peers: removalPeers{p}}, false)
				n.set("c1", true)
				n.machine.current = w.state
				s.checkRemoval(t.Context(), w.leader.step(w.state, w.now).removalChecks[0])
				convey.So(len(n.machine.state().View.Databases["db"].Targets) == 2, convey.ShouldEqual, c.removed)
			})
		}
	})
}
