package statement

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/pool"
)

// TestReportTimes guards against primaries of several databases that, lost together, are each reported at every look:
// a lost failure domain takes many, and every host reports them.
func TestReportTimes(t *testing.T) {
	convey.Convey("Three primaries are lost for a second", t, func() {
		lost := []*pool.Target{{}, {}, {}}
		r, reports := reportLimiter{}, map[*pool.Target]int{}
		start := time.Now()
		for past := time.Duration(0); past < time.Second; past += suspicionCheckInterval {
			for _, x := range lost {
				if r.allow(x, start.Add(past)) {
					reports[x]++
				}
			}
		}
		convey.Convey("and each is reported once in each period", func() {
			for _, x := range lost {
				convey.So(reports[x], convey.ShouldEqual, 4)
			}
		})
		convey.Convey("and no longer remembered when it is back", func() {
			r.allow(lost[0], start.Add(time.Minute))
			convey.So(len(r), convey.ShouldEqual, 1)
		})
	})
}
