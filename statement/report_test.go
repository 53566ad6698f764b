package statement

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/pool"
)

// TestReportTimes guards against unreachable primaries that are reported at every check when several fail together: the loss
// of a failure domain affects many primaries, and every host reports them.
func TestReportTimes(t *testing.T) {
	convey.Convey("When three primaries are unreachable for a second", t, func() {
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
		convey.Convey("each is reported once per interval", func() {
			for _, x := range lost {
				convey.So(reports[x], convey.ShouldEqual, 4)
			}
		})
		convey.Convey("those that are reachable again are removed from the limiter", func() {
			r.allow(lost[0], start.Add(time.Minute))
			convey.So(len(r), convey.ShouldEqual, 1)
		})
	})
}
