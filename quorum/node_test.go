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

// waitTimeout bounds waits for events that occur much sooner on a correct node.
const waitTimeout = 30 * time.Second

// sumMachine is a state machine that adds up the commands, which are numbers.
type sumMachine struct{ sum atomic.Uint64 }

func (m *sumMachine) Apply(_ uint64, command []byte) []byte {
	return encodeNumber(m.sum.Add(binary.BigEndian.Uint64(command)))
}

func (m *sumMachine) Snapshot() ([]byte, error) { return encodeNumber(m.sum.Load()), nil }

func (m *sumMachine) Restore(b []byte) error {
	if len(b) != 8 {
		return fmt.Errorf("snapshot has %d bytes", len(b))
	}
	m.sum.Store(binary.BigEndian.Uint64(b))
	return nil
}

func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// memoryTransport connects nodes of one process. Isolated nodes neither send nor receive.
type memoryTransport struct {
	mu       sync.Mutex
	nodes    map[string]*quorum.Node
	isolated map[string]bool
	// onSend is called with each delivered message unless it is nil.
	onSend func(m quorum.Message)
}

func newMemoryTransport() *memoryTransport {
	return &memoryTransport{nodes: map[string]*quorum.Node{}, isolated: map[string]bool{}}
}

func (t *memoryTransport) Send(to string, m quorum.Message) {
	t.mu.Lock()
	n, cut, sent := t.nodes[to], t.isolated[to] || t.isolated[m.From], t.onSend
	t.mu.Unlock()
	if n == nil || cut {
		return
	}
	if sent != nil {
		sent(m)
	}
	n.Receive(m)
}

func (t *memoryTransport) setIsolated(name string, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isolated[name] = on
}

// cluster is a group of nodes on disk.
type cluster struct {
	t            testing.TB
	dir          string
	transport    *memoryTransport
	names        []string
	nodes        map[string]*quorum.Node
	machines     map[string]*sumMachine
	adjustConfig func(c *quorum.Config)
}

func newCluster(t testing.TB, config func(c *quorum.Config), names ...string) *cluster {
	c := &cluster{
		t: t, dir: t.TempDir(), transport: newMemoryTransport(), names: names, adjustConfig: config,
		nodes: map[string]*quorum.Node{}, machines: map[string]*sumMachine{},
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
	m := &sumMachine{}
	config := quorum.Config{
		Name: name, Dir: c.folder(name), Members: c.names, Bootstrap: true, Machine: m, Transport: c.transport, Seed: 7,
	}
	if c.adjustConfig != nil {
		c.adjustConfig(&config)
	}
	n, err := quorum.Open(config)
	if err != nil {
		return err
	}
	c.transport.mu.Lock()
	defer c.transport.mu.Unlock()
	c.nodes[name], c.machines[name], c.transport.nodes[name] = n, m, n
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
	c.transport.mu.Lock()
	n := c.nodes[name]
	delete(c.nodes, name)
	delete(c.transport.nodes, name)
	c.transport.mu.Unlock()
	if n != nil {
		if err := n.Close(); err != nil {
			c.t.Error(err)
		}
	}
}

// waitFor polls until the condition is true.
func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			for _, n := range c.nodes {
				c.t.Logf("%+v", n.Status())
			}
			c.t.Fatalf("no %s after %v", what, waitTimeout)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// waitForLeader waits for a leader that is not one of the excluded names.
func (c *cluster) waitForLeader(excluded ...string) string {
	c.t.Helper()
	var found string
	c.waitFor("leader", func() bool {
		for name, n := range c.nodes {
			if _, _, leads := n.Leadership(); leads && !slices.Contains(excluded, name) && !c.transport.isolated[name] {
				found = name
				return true
			}
		}
		return false
	})
	return found
}

// propose proposes a number to the leader until it is applied.
func (c *cluster) propose(n uint64) uint64 {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for {
		_, index, err := c.nodes[c.waitForLeader()].Propose(ctx, encodeNumber(n))
		var notLeader *quorum.NotLeaderError
		if err == nil {
			return index
		}
		if !errors.As(err, &notLeader) {
			c.t.Fatal(err)
		}
	}
}

// TestNodes guards against a group that does not elect a leader, replicate, confirm
// reads, transfer the leadership or keep its state over a restart.
func TestNodes(t *testing.T) {
	convey.Convey("Three members with folders", t, func() {
		c := newCluster(t, nil, "a", "b", "c")
		c.start("a", "b", "c")
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		first := c.waitForLeader()
		result, index, err := c.nodes[first].Propose(ctx, encodeNumber(5))
		convey.So(err, convey.ShouldBeNil)
		convey.So(result, convey.ShouldResemble, encodeNumber(5))
		convey.So(c.nodes[first].ConfirmLeader(ctx), convey.ShouldBeNil)
		c.waitFor("replication", func() bool {
			return c.machines["a"].sum.Load() == 5 && c.machines["b"].sum.Load() == 5 && c.machines["c"].sum.Load() == 5
		})

		convey.Convey("a follower refuses and names the leader", func() {
			for name, n := range c.nodes {
				if name == first {
					continue
				}
				_, _, err := n.Propose(ctx, encodeNumber(1))
				var notLeader *quorum.NotLeaderError
				convey.So(errors.As(err, &notLeader), convey.ShouldBeTrue)
				convey.So(notLeader.Leader, convey.ShouldEqual, first)
			}
		})
		convey.Convey("the leadership is transferred", func() {
			convey.So(c.nodes[first].TransferLeadership(ctx), convey.ShouldBeNil)
			convey.So(c.waitForLeader(first), convey.ShouldNotEqual, first)
			c.propose(1)
		})
		convey.Convey("an isolated leader confirms nothing and is replaced", func() {
			c.transport.setIsolated(first, true)
			short, stop := context.WithTimeout(ctx, time.Second)
			defer stop()
			convey.So(c.nodes[first].ConfirmLeader(short), convey.ShouldNotBeNil)
			second := c.waitForLeader(first)
			_, _, err := c.nodes[second].Propose(ctx, encodeNumber(1))
			convey.So(err, convey.ShouldBeNil)
			c.waitFor("step-down", func() bool { _, _, leads := c.nodes[first].Leadership(); return !leads })
		})
		convey.Convey("a restart keeps the state", func() {
			for _, n := range c.names {
				c.stop(n)
			}
			c.start(c.names...)
			convey.So(c.propose(2), convey.ShouldBeGreaterThan, index)
			c.waitFor("sum", func() bool { return c.machines["a"].sum.Load() == 7 })
		})
	})
}

// TestSyncBeforeSend guards against a vote or an acknowledgement that is sent before it is stored.
func TestSyncBeforeSend(t *testing.T) {
	convey.Convey("The file holds what a sent message states", t, func() {
		c := newCluster(t, nil, "a", "b", "c")
		var mu sync.Mutex
		votes, acks := 0, 0
		c.transport.onSend = func(m quorum.Message) {
			ack := m.Kind == quorum.KindAppendResponse
			if m.Reject || (!ack && m.Kind != quorum.KindVoteResponse) {
				return
			}
			c.transport.mu.Lock()
			n := c.transport.nodes[m.From]
			c.transport.mu.Unlock()
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

// TestReturn guards against a member that deposes the leader, or never catches up, when it
// is reconnected after the entries that it lacks were compacted.
func TestReturn(t *testing.T) {
	convey.Convey("A follower that was isolated for hundreds of entries", t, func() {
		c := newCluster(t, func(x *quorum.Config) { x.SnapshotEvery, x.TrailingEntries = 50, 5 }, "a", "b", "c")
		c.start("a", "b", "c")
		c.propose(0)
		leader := c.waitForLeader()
		isolated := map[string]string{"a": "b", "b": "c", "c": "a"}[leader]
		c.transport.setIsolated(isolated, true)
		var sum uint64
		for i := range uint64(400) {
			c.propose(i)
			sum += i
		}
		c.waitFor("campaign", func() bool { return c.nodes[isolated].Status().Role == quorum.RolePreCandidate })
		_, term, leads := c.nodes[leader].Leadership()
		convey.So(leads, convey.ShouldBeTrue)
		c.transport.setIsolated(isolated, false)
		c.waitFor("catching up", func() bool { return c.machines[isolated].sum.Load() == sum })
		_, after, leads := c.nodes[leader].Leadership()
		convey.So(leads, convey.ShouldBeTrue)
		convey.So(after, convey.ShouldEqual, term)
		convey.So(c.nodes[isolated].Status().Snapshot, convey.ShouldBeGreaterThan, 300)
	})
}

// TestLostFolders guards against a member that votes with an empty folder, a second
// group, and a group that does not survive the loss of another host right after a repair.
func TestLostFolders(t *testing.T) {
	convey.Convey("Three members with committed entries", t, func() {
		c := newCluster(t, nil, "a", "b", "c")
		c.start("a", "b", "c")
		for range 10 {
			c.propose(1)
		}
		wipeAndRestart := func(name string) {
			c.stop(name)
			convey.So(os.RemoveAll(c.folder(name)), convey.ShouldBeNil)
			c.start(name)
		}
		convey.Convey("a lost folder is repaired and then the leader is lost", func() {
			leader := c.waitForLeader()
			lost := map[string]string{"a": "b", "b": "c", "c": "a"}[leader]
			wipeAndRestart(lost)
			c.waitFor("repair", func() bool {
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
			c.waitFor("sum", func() bool { return c.machines[lost].sum.Load() == 11 })
		})
		convey.Convey("two empty folders found no second group beside the third member", func() {
			group := c.nodes["c"].Status().Group
			for _, n := range []string{"a", "b"} {
				c.stop(n)
				convey.So(os.RemoveAll(c.folder(n)), convey.ShouldBeNil)
			}
			c.stop("c")
			var voted atomic.Bool
			c.transport.onSend = func(m quorum.Message) {
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
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			c.start("d")
			leader := c.nodes[c.waitForLeader()]
			convey.So(leader.AddMember(ctx, "d"), convey.ShouldBeNil)
			convey.So(leader.PromoteMember(ctx, "d"), convey.ShouldBeNil)
			convey.So(leader.Status().Members, convey.ShouldHaveLength, 4)
			convey.So(leader.RemoveMember(ctx, "d"), convey.ShouldBeNil)
			convey.So(leader.Status().Members, convey.ShouldHaveLength, 3)
		})
	})
}
