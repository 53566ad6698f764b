package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestOddReport guards against one report of another writer, with numbers too large, that keeps a target out of its group for good:
// its own reports count as older, and are acknowledged without being recorded, also the one that it leaves.
func TestOddReport(t *testing.T) {
	cases := map[string]func(r *jacinthtiller.TargetReport){
		"a start in a year to come": func(r *jacinthtiller.TargetReport) {
			r.StartedMilliseconds = time.Now().AddDate(1, 0, 0).UnixMilli()
		},
		"a start after all calendars": func(r *jacinthtiller.TargetReport) { r.StartedMilliseconds = 1 << 62 },
		"the greatest sequence":       func(r *jacinthtiller.TargetReport) { r.Sequence = 1<<64 - 1 },
		"a port out of range":         func(r *jacinthtiller.TargetReport) { r.Address = "10.0.0.1:65536" },
		"a port below zero":           func(r *jacinthtiller.TargetReport) { r.Address = "10.0.0.1:-1" },
		"slots below zero":            func(r *jacinthtiller.TargetReport) { r.Slots = -1 },
		"slots above all sense":       func(r *jacinthtiller.TargetReport) { r.Slots = 1 << 61 },
		"a warm-up of years":          func(r *jacinthtiller.TargetReport) { r.WarmupMilliseconds = 1 << 62 },
		"a warm-up below zero":        func(r *jacinthtiller.TargetReport) { r.WarmupMilliseconds = -1 },
	}
	// The odd report is of the target itself, or of another name at its address.
	for _, name := range []string{"b", "x"} {
		for oddity, change := range cases {
			var oddErr, err error
			var got jacinthtiller.Target
			synctest.Test(t, func(t *testing.T) {
				l := &laggingPlatform{promotionMilliseconds: 300, lagMilliseconds: func(time.Time) int64 { return 0 }}
				s := newLaggingServer(t, l, directGroup())
				defer func() { _ = s.Close() }()
				time.Sleep(time.Second)
				address := directGroup().Targets["b"].Address
				odd := targetReport(name, "db", address, 0, 5)
				odd.Slots = 4
				change(&odd)
				oddErr = s.Report(context.Background(), odd)
				leaving := targetReport("b", "db", address, 0, 6)
				leaving.State = jacinthtiller.StateLeaving
				err = s.Report(context.Background(), leaving)
				got = s.machine.state().View.Databases["db"].Targets["b"]
			})
			convey.Convey("After a report of "+name+" with "+oddity+", b reports that it leaves", t, func() {
				convey.So(oddErr, convey.ShouldNotBeNil)
				convey.So(err, convey.ShouldBeNil)
				convey.So(got.State, convey.ShouldEqual, jacinthtiller.StateLeaving)
			})
		}
	}
}
