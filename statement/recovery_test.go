package statement

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestReadsAfterStart guards against reads that stay on the primary long after the replicas have caught up. It happens in
// the first second after a loss of power or a failover: the host knows one position of the primary, and the replicas are
// slightly behind it.
func TestReadsAfterStart(t *testing.T) {
	convey.Convey("Replicas that lack the first known position for 60 ms", t, func() {
		ts := newTestServer(t)
		defer ts.close()
		caughtUp := time.Now().Add(60 * time.Millisecond)
		ts.group.set(func() {
			ts.group.script = func(target string, _ jacinthtiller.TargetRequest) (jacinthtiller.Reply, error) {
				if target != "a" && time.Now().Before(caughtUp) {
					r, _ := fail(jacinthtiller.ErrorCodeBehind)
					r.Position = jacinthtiller.Position{Term: 1, Index: 9}
					return r, nil
				}
				if target == "a" {
					time.Sleep(20 * time.Millisecond) // the primary is busy with writes
				}
				return success(10)
			}
		})
		g := ts.guest(jacinthtiller.ClassSession)
		defer g.leave()
		for time.Now().Before(caughtUp) {
			convey.So(g.ask("READ 1"), convey.ShouldEqual, "passed I")
		}
		time.Sleep(150 * time.Millisecond)
		ts.group.log()
		atPrimary := 0
		for range 40 {
			convey.So(g.ask("READ 1"), convey.ShouldEqual, "passed I")
		}
		for _, line := range ts.group.log() {
			if strings.HasPrefix(line, "a:") {
				atPrimary++
			}
		}
		convey.So(atPrimary, convey.ShouldBeLessThan, 10)
	})
}

// TestPositionsWithLease guards against concurrent reads that wait for one another after a start, because the host did not
// query the primary's position when it got the lease.
func TestPositionsWithLease(t *testing.T) {
	convey.Convey("A host that regains its lease queries the primary once", t, func() {
		ts := newTestServer(t)
		defer ts.close()
		ts.lease(-time.Second)
		ts.lease(time.Minute)
		var log []string
		for end := time.Now().Add(5 * time.Second); len(log) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			log = ts.group.log()
		}
		convey.So(log, convey.ShouldResemble, []string{"a: STATUS"})
	})
}

// TestHeldRequests guards against requests that were held for a lease and are refused as soon as the lease is back, although
// the targets are idle, because their admission time passed during an outage of the control group.
func TestHeldRequests(t *testing.T) {
	for name, c := range map[string]struct {
		class    jacinthtiller.ReadClass
		requests []string
	}{
		"a read of the primary":       {jacinthtiller.ClassPrimary, []string{"READ 1"}},
		"a read of any target":        {jacinthtiller.ClassBounded, []string{"READ 1"}},
		"a write":                     {jacinthtiller.ClassPrimary, []string{"WRITE 1 x"}},
		"the start of a transaction":  {jacinthtiller.ClassPrimary, []string{"BEGIN", "READ 1"}},
		"a transaction that is empty": {jacinthtiller.ClassPrimary, []string{"BEGIN", "COMMIT"}},
	} {
		var got string
		synctest.Test(t, func(t *testing.T) {
			ts := newTestServer(t)
			ts.lease(-time.Second)
			g := ts.guest(c.class)
			back := time.AfterFunc(250*time.Millisecond, func() { ts.lease(time.Minute) }) // of 400 ms, 180 ms for admission
			for _, r := range c.requests {
				got = g.ask(r)
			}
			back.Stop()
			g.leave()
			ts.close()
		})
		convey.Convey("During an outage of the control group for most of its time, "+name, t, func() {
			convey.So(got, convey.ShouldStartWith, "passed")
		})
	}
}
