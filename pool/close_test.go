package pool

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
)

// silentConn is a connection, direct or through another host, on which no answer comes.
type silentConn struct {
	asked, closed        chan struct{}
	asksOnce, closesOnce *sync.Once
}

func newSilentConn() silentConn {
	return silentConn{asked: make(chan struct{}), closed: make(chan struct{}), asksOnce: &sync.Once{}, closesOnce: &sync.Once{}}
}

func (c silentConn) Dial(context.Context, jacinthtiller.Target, string) (jacinthtiller.TargetConn, error) {
	return c, nil
}

func (c silentConn) DialRelay(context.Context, string, jacinthtiller.Target, bool) (jacinthtiller.RelayConn, error) {
	return c, nil
}

func (c silentConn) Send(time.Time, ...jacinthtiller.TargetRequest) error { return nil }
func (c silentConn) Start(jacinthtiller.Job) error                        { return nil }
func (c silentConn) Unusable() bool                                       { return false }

func (c silentConn) Receive(deadline time.Time) (jacinthtiller.Reply, error) {
	c.asksOnce.Do(func() { close(c.asked) })
	select {
	case <-c.closed:
		return jacinthtiller.Reply{}, errors.New("closed")
	case <-time.After(time.Until(deadline)):
		return jacinthtiller.Reply{}, context.DeadlineExceeded
	}
}

func (c silentConn) Close() error {
	c.closesOnce.Do(func() { close(c.closed) })
	return nil
}

// TestCloseEndsRequests guards against a process that outlives the time of its stop because it waits for the answer of a target
// or of another host.
func TestCloseEndsRequests(t *testing.T) {
	cases := map[string]struct{ hosts, connections int }{
		"a target":           {hosts: 1, connections: 100},
		"through other host": {hosts: 9, connections: 8}, // too few connections for all hosts
	}
	convey.Convey("A pool is closed while a request waits for the answer of", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				conn := newSilentConn()
				p := New(conn, fakeDialect{}, WithHost("h8"), WithRelays(conn))
				v := view(c.hosts, c.connections)
				p.Apply(v)
				j := newJob("write")
				j.Deadline = time.Now().Add(time.Minute)
				var group conc.WaitGroup
				var err error
				group.Go(func() { _, err = run(p.Find(v.Databases["db"].Targets["a"]), j) })
				<-conn.asked
				began := time.Now()
				p.Close()
				group.Wait()
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(time.Since(began), convey.ShouldBeLessThan, 5*time.Second)
			})
		}
	})
}
