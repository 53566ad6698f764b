package quorum_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/jacinthtiller/jacinthtiller/quorum"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience bounds waits for events that a correct node brings about much sooner.
const patience = 30 * time.Second

// counter adds up the commands, which are numbers.
type counter struct{ sum atomic.Uint64 }

func (c *counter) Apply(_ uint64, command []byte) []byte {
	return number(c.sum.Add(binary.BigEndian.Uint64(command)))
}

func (c *counter) Snapshot() ([]byte, error) { return number(c.sum.Load()), nil }

func (c *counter) Restore(b []byte) error {
	if len(b) != 8 {
		return fmt.Errorf("snapshot has %d bytes", len(b))
	}
	c.sum.Store(binary.BigEndian.Uint64(b))
	return nil
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// hub joins nodes of one process. Cut names get and send nothing.
type hub struct {
	mu    sync.Mutex
	nodes map[string]*quorum.Node
	cut   map[string]bool
	// sent observes the messages that pass; nil means that nobody does.
	sent func(m quorum.Message)
}

func newHub() *hub { return &hub{nodes: map[string]*quorum.Node{}, cut: map[string]bool{}} }

func (h *hub) Send(to string, m quorum.Message) {
	h.mu.Lock()
	n, cut, sent := h.nodes[to], h.cut[to] || h.cut[m.From], h.sent
	h.mu.Unlock()
	if n == nil || cut {
		return
	}
	if sent != nil {
		sent(m)
	}
	n.Receive(m)
}

func (h *hub) isolate(name string, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut[name] = on
}

// cluster is a group of nodes on disk.
type cluster struct {
	t        testing.TB
	dir      string
	hub      *hub
	names    []string
	nodes    map[string]*quorum.Node
	machines map[string]*counter
	config   func(c *quorum.Config)
}

func newCluster(t testing.TB, config func(c *quorum.Config), names ...string) *cluster {
	c := &cluster{
		t: t, dir: t.TempDir(), hub: newHub(), names: names, config: config,
		nodes: map[string]*quorum.Node{}, machines: map[string]*counter{},
	}
	t.Cleanup(func() {
		for n := range c.nodes {
			c.stop(n)
		}
	})
	return c
}

func (c *cluster) folder(name string) string { return filepath.Join(c.dir, name) }

func (c *cluster) open(name string) error {
	m := &counter{}
	config := quorum.Config{
		Name: name, Dir: c.folder(name), Members: c.names, Bootstrap: true, Machine: m, Transport: c.hub, Seed: 7,
	}
	if c.config != nil {
		c.config(&config)
	}
	n, err := quorum.Open(config)
	if err != nil {
		return err
	}
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	c.nodes[name], c.machines[name], c.hub.nodes[name] = n, m, n
	return nil
}

func (c *cluster) start(names ...string) {
	for _, n := range names {
		if err := c.open(n); err != nil {
			c.t.Fatal(err)
		}
	}
}

func (c *cluster) stop(name string) {
	c.hub.mu.Lock()
	n := c.nodes[name]
	delete(c.nodes, name)
	delete(c.hub.nodes, name)
	c.hub.mu.Unlock()
	if n != nil {
		if err := n.Close(); err != nil {
			c.t.Error(err)
		}
	}
}

// until waits until f is true for a node, at each of its changes.
func (c *cluster) until(what string, f func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(patience)
	for !f() {
		if time.Now().After(deadline) {
			for _, n := range c.nodes {
				c.t.Logf("%+v", n.Status())
			}
			c.t.Fatalf("no %s after %v", what, patience)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// leader waits for a leader that is not one of the names.
func (c *cluster) leader(not ...string) string {
	c.t.Helper()
	var found string
	c.until("leader", func() bool {
		for name, n := range c.nodes {
			if _, _, leads := n.Leadership(); leads && !slices.Contains(not, name) && !c.hub.cut[name] {
				found = name
				return true
			}
		}
		return false
	})
	return found
}

// propose sends a number to the leader until it is known to be applied.
func (c *cluster) propose(n uint64) uint64 {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for {
		_, index, err := c.nodes[c.leader()].Propose(ctx, number(n))
		var other *quorum.NotLeaderError
		if err == nil {
			return index
		}
		if !errors.As(err, &other) {
			c.t.Fatal(err)
		}
	}
}

// TestNodes guards against a group that does not elect, replicate, confirm
// reads, hand over the leadership or keep its state over a restart.
func TestNodes(t *testing.T) {
	convey.Convey("Three members with folders", t, func() {
		c := newCluster(t, nil, "a", "b", "c")
		c.start("a", "b", "c")
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		first := c.leader()
		result, index, err := c.nodes[first].Propose(ctx, number(5))
		convey.So(err, convey.ShouldBeNil)
		convey.So(result, convey.ShouldResemble, number(5))
		convey.So(c.nodes[first].ConfirmLeader(ctx), convey.ShouldBeNil)
		c.until("replication", func() bool {
			return c.machines["a"].sum.Load() == 5 && c.machines["b"].sum.Load() == 5 && c.machines["c"].sum.Load() == 5
		})

		convey.Convey("a follower refuses and names the leader", func() {
			for name, n := range c.nodes {
				if name == first {
					continue
				}
				_, _, err := n.Propose(ctx, number(1))
				var other *quorum.NotLeaderError
				convey.So(errors.As(err, &other), convey.ShouldBeTrue)
				convey.So(other.Leader, convey.ShouldEqual, first)
			}
		})
		convey.Convey("the leadership is handed over", func() {
			convey.So(c.nodes[first].TransferLeadership(ctx), convey.ShouldBeNil)
			convey.So(c.leader(first), convey.ShouldNotEqual, first)
			c.propose(1)
		})
		convey.Convey("an isolated leader confirms nothing and is replaced", func() {
			c.hub.isolate(first, true)
			short, stop := context.WithTimeout(ctx, time.Second)
			defer stop()
			convey.So(c.nodes[first].ConfirmLeader(short), convey.ShouldNotBeNil)
			second := c.leader(first)
			_, _, err := c.nodes[second].Propose(ctx, number(1))
			convey.So(err, convey.ShouldBeNil)
			c.until("step-down", func() bool { _, _, leads := c.nodes[first].Leadership(); return !leads })
		})
		convey.Convey("a restart keeps everything", func() {
			for _, n := range c.names {
				c.stop(n)
			}
			c.start(c.names...)
			convey.So(c.propose(2), convey.ShouldBeGreaterThan, index)
			c.until("sum", func() bool { return c.machines["a"].sum.Load() == 7 })
		})
	})
}

// TestSyncBeforeSend guards against a vote or an acknowledgement that leaves before its write.
func TestSyncBeforeSend(t *testing.T) {
	convey.Convey("The file holds what a message promises", t, func() {
		c := newCluster(t, nil, "a", "b", "c")
		var mu sync.Mutex
		votes, acks := 0, 0
		c.hub.sent = func(m quorum.Message) {
			ack := m.Kind == quorum.KindAppendResponse
			if m.Reject || (!ack && m.Kind != quorum.KindVoteResponse) {
				return
			}
			c.hub.mu.Lock()
			n := c.hub.nodes[m.From]
			c.hub.mu.Unlock()
			if n == nil {
				return
			}
			state, last, err := n.Stored()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				t.Error(err)
			case ack && last < m.Index:
				t.Errorf("%s acknowledges %d but stores up to %d", m.From, m.Index, last)
			case ack:
				acks++
			case state.Term != m.Term || state.Vote != m.To:
				t.Errorf("%s votes for %s in term %d but stores %+v", m.From, m.To, m.Term, state)
			default:
				votes++
			}
		}
		c.start("a", "b", "c")
		for i := range uint64(50) {
			c.propose(i)
		}
		mu.Lock()
		defer mu.Unlock()
		convey.So(votes, convey.ShouldBeGreaterThan, 0)
		convey.So(acks, convey.ShouldBeGreaterThan, 50)
	})
}

// TestReturn guards against a member that deposes the leader, or gets stuck, when it
// returns after the entries it lacks were compacted.
func TestReturn(t *testing.T) {
	convey.Convey("A follower that was isolated for hundreds of entries", t, func() {
		c := newCluster(t, func(x *quorum.Config) { x.SnapshotEvery, x.Trailing = 50, 5 }, "a", "b", "c")
		c.start("a", "b", "c")
		c.propose(0)
		leader := c.leader()
		away := map[string]string{"a": "b", "b": "c", "c": "a"}[leader]
		c.hub.isolate(away, true)
		var sum uint64
		for i := range uint64(400) {
			c.propose(i)
			sum += i
		}
		c.until("campaign", func() bool { return c.nodes[away].Status().Role == quorum.RolePreCandidate })
		_, term, leads := c.nodes[leader].Leadership()
		convey.So(leads, convey.ShouldBeTrue)
		c.hub.isolate(away, false)
		c.until("catching up", func() bool { return c.machines[away].sum.Load() == sum })
		_, after, leads := c.nodes[leader].Leadership()
		convey.So(leads, convey.ShouldBeTrue)
		convey.So(after, convey.ShouldEqual, term)
		convey.So(c.nodes[away].Status().Snapshot, convey.ShouldBeGreaterThan, 300)
	})
}

// TestLostFolders guards against an empty folder that votes, a second history, and
// a group that does not survive the loss of another host right after a repair.
func TestLostFolders(t *testing.T) {
	convey.Convey("Three members with a history", t, func() {
		c := newCluster(t, nil, "a", "b", "c")
		c.start("a", "b", "c")
		for range 10 {
			c.propose(1)
		}
		lose := func(name string) {
			c.stop(name)
			convey.So(os.RemoveAll(c.folder(name)), convey.ShouldBeNil)
			c.start(name)
		}
		convey.Convey("a lost folder is repaired and then the leader is lost", func() {
			leader := c.leader()
			lost := map[string]string{"a": "b", "b": "c", "c": "a"}[leader]
			lose(lost)
			c.until("repair", func() bool {
				s := c.nodes[leader].Status()
				for _, m := range s.Members {
					if m.Name == lost && (!m.Voter || m.Identity != c.nodes[lost].Status().Identity) {
						return false
					}
				}
				return !s.RepairUnfinished
			})
			c.stop(leader)
			c.propose(1)
			c.until("sum", func() bool { return c.machines[lost].sum.Load() == 11 })
		})
		convey.Convey("two empty folders found no second group beside the third member", func() {
			group := c.nodes["c"].Status().Group
			for _, n := range []string{"a", "b"} {
				c.stop(n)
				convey.So(os.RemoveAll(c.folder(n)), convey.ShouldBeNil)
			}
			c.stop("c")
			var voted atomic.Bool
			c.hub.sent = func(m quorum.Message) {
				if m.Kind == quorum.KindVoteResponse || m.Kind == quorum.KindVote {
					voted.Store(true)
				}
			}
			c.start("a", "b")
			time.Sleep(1500 * time.Millisecond)
			convey.So(c.nodes["a"].Status().Group, convey.ShouldBeEmpty)
			c.start("c")
			time.Sleep(1500 * time.Millisecond)
			for _, n := range c.nodes {
				convey.So(n.Status().Role, convey.ShouldNotEqual, quorum.RoleLeader)
			}
			convey.So(c.nodes["c"].Status().Group, convey.ShouldEqual, group)
			for _, n := range c.names {
				c.stop(n)
			}
			convey.So(voted.Load(), convey.ShouldBeFalse)
		})
		convey.Convey("a new member is added, promoted and removed", func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			c.start("d")
			l := c.nodes[c.leader()]
			convey.So(l.AddMember(ctx, "d"), convey.ShouldBeNil)
			convey.So(l.PromoteMember(ctx, "d"), convey.ShouldBeNil)
			convey.So(l.Status().Members, convey.ShouldHaveLength, 4)
			convey.So(l.RemoveMember(ctx, "d"), convey.ShouldBeNil)
			convey.So(l.Status().Members, convey.ShouldHaveLength, 3)
		})
	})
}
