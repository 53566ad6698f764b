package owner

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestStale guards against a partitioned failure domain that serves no read, and against units other than reads that
// accept stale data being served without a lease.
func TestStale(t *testing.T) {
	const age = int64(time.Hour / time.Microsecond)
	cases := map[string]struct {
		change func(*jacinthtiller.Unit)
		// leaseEndedMilliseconds is how long ago the lease ended; negative while it holds.
		leaseEndedMilliseconds int64
		served                 bool
	}{
		"read that accepts the age":     {func(u *jacinthtiller.Unit) { u.MaxStalenessMicroseconds = age }, 1000, true},
		"read that does not":            {func(*jacinthtiller.Unit) {}, 1000, false},
		"read that is too old by now":   {func(u *jacinthtiller.Unit) { u.MaxStalenessMicroseconds = 500_000 }, 1000, false},
		"read of a mark not reached":    {func(u *jacinthtiller.Unit) { u.MaxStalenessMicroseconds, u.Mark.Term = age, 9 }, 1000, false},
		"write":                         {func(u *jacinthtiller.Unit) { u.MaxStalenessMicroseconds, u.Access = age, jacinthtiller.AccessWrite }, 1000, false},
		"read that needs no stale data": {func(*jacinthtiller.Unit) {}, -60_000, true},
	}
	convey.Convey("After the lease has ended", t, func() {
		c := newCluster(t, 3)
		newTableSession(c)
		for name, k := range cases {
			convey.Convey(name, func() {
				s := c.openSession("s-" + name)
				u := s.unit(simpleQuery("SELECT v FROM a WHERE id = 1"))
				u.Access, u.Primary = jacinthtiller.AccessRead, false
				k.change(&u)
				c.owner.SetLease(jacinthtiller.Lease{Deadline: time.Now().Add(-time.Duration(k.leaseEndedMilliseconds) * time.Millisecond)})
				o := s.run(u)
				if k.served {
					convey.So(o.Outcome, convey.ShouldEqual, jacinthtiller.OutcomeDone)
					return
				}
				convey.So(o.Err.Reason, convey.ShouldEqual, jacinthtiller.ReasonNoLease)
			})
		}
	})
}
