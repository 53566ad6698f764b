package control

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/quorum"
)

// failingNode is a node that can be stopped as if its disk were full.
type failingNode struct {
	fakeNode
	once    sync.Once
	stopped chan struct{}
	name    string
}

func newFailingNode(name string) *failingNode {
	n := &failingNode{stopped: make(chan struct{}), name: name}
	n.changed = make(chan struct{})
	return n
}

func (n *failingNode) Stopped() <-chan struct{} { return n.stopped }
func (n *failingNode) Err() error               { return errors.New("no space left on device") }
func (n *failingNode) Close() error             { return nil }
func (n *failingNode) Leadership() (string, uint64, bool) {
	return n.name, 1, true
}
func (n *failingNode) Status() quorum.Status { return quorum.Status{Name: n.name} }
func (n *failingNode) fail()                 { n.once.Do(func() { close(n.stopped); close(n.changed) }) }

// TestReopen guards against a control process that never rejoins after its disk was full for seconds: two such processes
// permanently cost the group its majority (day deploy/days/storage.toml).
func TestReopen(t *testing.T) {
	convey.Convey("A node whose storage fails", t, func() {
		var mu sync.Mutex
		var nodes []*failingNode
		refused, resets := 0, 0
		open := func() (stoppableNode, error) {
			mu.Lock()
			defer mu.Unlock()
			if len(nodes) == 1 && refused < 2 {
				refused++
				return nil, errors.New("no space left on device")
			}
			n := newFailingNode(string(rune('a' + len(nodes))))
			nodes = append(nodes, n)
			return n, nil
		}
		r, err := newReopeningNode(context.Background(), open, func() { resets++ }, nil)
		convey.So(err, convey.ShouldBeNil)
		defer r.Close()
		leader, _, leads := r.Leadership()
		convey.So(leader == "a" && leads, convey.ShouldBeTrue)
		changed := r.Changed()
		nodes[0].fail()
		<-changed
		_, _, leads = r.Leadership()
		convey.So(leads, convey.ShouldBeFalse)
		select {
		case <-r.Changed():
		case <-time.After(10 * time.Second):
			t.Fatal("waiters for a change are not woken when the log is open again")
		}
		leader, _, leads = r.Leadership()
		convey.So(leader == "b" && leads, convey.ShouldBeTrue)
		convey.So(refused, convey.ShouldEqual, 2)
		convey.So(resets, convey.ShouldEqual, 3) // the state is emptied before each attempt
	})
}
