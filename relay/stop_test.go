package relay

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/pool"
)

// TestRelayStopRefusals guards against a host that is in doubt about a write, or goes on sending work, although the relaying
// host has refused everything since its stop began.
func TestRelayStopRefusals(t *testing.T) {
	convey.Convey("A host sends statements through another one, which stops", t, func() {
		f := &fakeTargets{}
		p, target := newPool(f, 4)
		defer p.Close()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		s := NewServer(p, "rollback", nil)
		var group conc.WaitGroup
		group.Go(func() { s.Serve(l) })
		defer func() {
			l.Close()
			s.Close()
			group.Wait()
		}()
		sender := pool.New(f, dialect{}, pool.WithHost("h1"), pool.WithRelays(Dialer{}))
		defer sender.Close()
		sender.Apply(jacinthtiller.View{
			Index: 1, Hosts: map[string]jacinthtiller.Host{"h0": {Name: "h0", Link: l.Addr().String()}},
			Databases: map[string]jacinthtiller.Database{"db": jacinthtiller.Database{Name: "db", Direct: true}.WithTarget(target)},
		})
		remote := sender.Find(target)
		job := func() jacinthtiller.Job {
			return jacinthtiller.Job{TargetRequest: jacinthtiller.TargetRequest{ID: "x", Text: "write"}, Deadline: time.Now().Add(5 * time.Second)}
		}
		open := func() *pool.Conn {
			c, err := remote.Open(job())
			convey.So(err, convey.ShouldBeNil)
			return c
		}
		first, second := open(), open()
		_, err = first.Run(job())
		convey.So(err, convey.ShouldBeNil)
		_, err = second.Run(job())
		convey.So(err, convey.ShouldBeNil)
		convey.So(s.Drain(context.Background()), convey.ShouldBeNil)
		var notSent *jacinthtiller.NotSentError

		convey.Convey("each further job is refused as not run, also on a connection that was refused before", func() {
			for range 20 {
				_, err := first.Run(job())
				convey.So(errors.As(err, &notSent), convey.ShouldBeTrue)
			}
		})
		convey.Convey("a query for the position doesn't make the path usable", func() {
			second.Put()
			_, err := remote.QueryPosition(time.Now().Add(time.Second))
			convey.So(errors.As(err, &notSent), convey.ShouldBeTrue)
			convey.So(remote.Usable(time.Now()), convey.ShouldBeFalse)
		})
		convey.Convey("a new connection is refused", func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := Dialer{}.DialRelay(ctx, l.Addr().String(), target, false)
			convey.So(err, convey.ShouldNotBeNil)
		})
		convey.Convey("a job that crosses with the end of the host is refused as not run", func() {
			s.Close()
			_, err := second.Run(job())
			convey.So(errors.As(err, &notSent), convey.ShouldBeTrue)
		})
	})
}

// TestRelayStopTimes guards against statements and transactions of other hosts that a stopping host takes and then cuts off,
// because its own guests used up the time, and against refusals of what would have ended in time.
func TestRelayStopTimes(t *testing.T) {
	now := time.Now()
	deadline := func(milliseconds int64) jacinthtiller.Job {
		return jacinthtiller.Job{Deadline: now.Add(time.Duration(milliseconds) * time.Millisecond)}
	}
	cases := map[string]struct {
		job jacinthtiller.Job
		// refuseMilliseconds is when the host begins to refuse work.
		refuseMilliseconds int64
		want               bool
	}{
		"a job that ends in time":                  {deadline(2000), 0, false},
		"a job that may end too late":              {deadline(4000), 0, true},
		"a transaction":                            {jacinthtiller.Job{BeginsTransaction: true, Deadline: now.Add(time.Second)}, 0, true},
		"a job that may end too late, before that": {deadline(4000), 60_000, false},
		"a transaction, before that":               {jacinthtiller.Job{BeginsTransaction: true, Deadline: now.Add(time.Second)}, 60_000, false},
	}
	convey.Convey("A stopping host gets", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				s := NewServer(nil, "rollback", nil)
				s.BeginStop(StopTimes{Refuse: now.Add(time.Duration(c.refuseMilliseconds) * time.Millisecond), End: now.Add(3 * time.Second)})
				convey.So(s.stopRefuses(c.job), convey.ShouldEqual, c.want)
			})
		}
	})
}

// unwritableConn is a connection whose writes fail once told so.
type unwritableConn struct {
	net.Conn
	failed atomic.Bool
}

func (c *unwritableConn) Write(b []byte) (int, error) {
	if c.failed.Load() {
		return 0, errors.New("the other host does not read")
	}
	return c.Conn.Write(b)
}

// TestNoRefusalAfterLostReply guards against a job that ran and whose reply could not be written, after which the close of a stopping host says that it was
// refused as not run.
func TestNoRefusalAfterLostReply(t *testing.T) {
	convey.Convey("The reply to a job can't be written", t, func() {
		f := &fakeTargets{held: make(chan struct{})}
		p, target := newPool(f, 4)
		defer p.Close()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer l.Close()
		s := NewServer(p, "rollback", nil)
		nc := &unwritableConn{}
		var group conc.WaitGroup
		group.Go(func() {
			if nc.Conn, err = l.Accept(); err == nil && s.addConn(nc) {
				s.serve(nc) // the connection stays known, as it is until removeConn
			}
		})
		c, dialErr := Dialer{}.DialRelay(context.Background(), l.Addr().String(), target, false)
		convey.So(dialErr, convey.ShouldBeNil)
		defer c.Close()
		convey.So(c.Start(jacinthtiller.Job{
			TargetRequest: jacinthtiller.TargetRequest{ID: "x", Text: "write"}, Deadline: time.Now().Add(5 * time.Second),
		}), convey.ShouldBeNil)
		for len(f.log()) == 0 {
			time.Sleep(time.Millisecond)
		}
		nc.failed.Store(true)
		close(f.held)
		group.Wait()
		convey.So(err, convey.ShouldBeNil)
		s.mu.Lock()
		resting, working := len(s.resting), s.working
		s.mu.Unlock()
		convey.So(resting, convey.ShouldEqual, 0)
		convey.So(working, convey.ShouldEqual, 0)
	})
}
