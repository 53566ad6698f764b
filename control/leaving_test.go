package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// leaveLimit is how long after the acknowledgement of its report a target may get work.
	leaveLimit = 7 * time.Second
	// hostReaction is how long a host may go on after the primary is out of service: it renews its lease for at most a
	// second without a new view, and the lease lasts Lease.
	hostReaction = time.Second + Lease + ClockRateBound
	// minLeaveService is how long callers get answers from a group's last target at least.
	minLeaveService = 2 * time.Second
)

// leavingGroup returns the group with only the named targets, of which a leads.
func leavingGroup(names ...string) jacinthtiller.Database {
	d := directGroup()
	for _, n := range d.TargetNames() {
		d = d.WithoutTarget(n)
	}
	for _, n := range names {
		d = d.WithTarget(directGroup().Targets[n])
	}
	return d
}

// TestLastTargetLeaves guards against requests that reach a target long after it reported that it leaves: without another
// target to take over, the leader kept it as the primary until it exited.
func TestLastTargetLeaves(t *testing.T) {
	cases := map[string]struct {
		// recorded is true when the report was recorded under an earlier leader.
		recorded bool
		// joinsAfter is when another target reports itself; zero for never.
		joinsAfter time.Duration
		// primary is the expected primary 20 s after the report.
		primary string
		// earliest and latest bound when a goes out of service after the report.
		earliest, latest time.Duration
	}{
		"the only target leaves":                   {earliest: minLeaveService, latest: leaveLimit - hostReaction},
		"its report was acknowledged by another":   {recorded: true, latest: time.Second},
		"another target joins 1 s later":           {joinsAfter: time.Second, primary: "b", earliest: time.Second, latest: 2 * time.Second},
		"another target joins when it is too late": {joinsAfter: 10 * time.Second, primary: "b", earliest: minLeaveService, latest: leaveLimit - hostReaction},
	}
	convey.Convey("The primary of a group reports that it leaves, in virtual time", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				var reportErr error
				var served time.Duration
				var primary string
				synctest.Test(t, func(t *testing.T) {
					d := leavingGroup("a")
					if c.recorded {
						d = withState(d, "a", jacinthtiller.StateLeaving)
					}
					l := &laggingPlatform{promotionMilliseconds: 300, lagMilliseconds: func(time.Time) int64 { return 0 }}
					s := newLaggingServer(t, l, d)
					defer func() { _ = s.Close() }()
					if !c.recorded {
						time.Sleep(time.Second)
						leaving := targetReport("a", "db", d.Targets["a"].Address, 0, 1)
						leaving.State = jacinthtiller.StateLeaving
						reportErr = s.Report(context.Background(), leaving)
					}
					reported := time.Now()
					for at := reported; at.Sub(reported) < 20*time.Second; at = time.Now() {
						if primary = s.machine.state().View.Databases["db"].Primary; primary == "a" {
							served = at.Sub(reported)
						}
						if c.joinsAfter > 0 && at.Sub(reported) == c.joinsAfter {
							b := directGroup().Targets["b"]
							_ = s.Report(context.Background(), targetReport("b", "db", b.Address, 50, 1))
						}
						time.Sleep(10 * time.Millisecond)
					}
				})
				convey.So(reportErr, convey.ShouldBeNil)
				convey.So(primary, convey.ShouldEqual, c.primary)
				convey.So(served, convey.ShouldBeBetweenOrEqual, c.earliest, c.latest)
			})
		}
	})
}

// TestLeavingWithoutSuccessor guards against a primary that leaves and goes out of service at once although no other target
// answers: its group then serves nothing, while it could go on to the end of its time.
func TestLeavingWithoutSuccessor(t *testing.T) {
	cases := map[string]struct {
		// silent is how long the other target answers nothing.
		silent           time.Duration
		primary          string
		earliest, latest time.Duration
	}{
		"the other target answers":            {0, "b", 0, time.Second},
		"the other target is lost":            {time.Hour, "", minLeaveService, leaveLimit - hostReaction},
		"the other target answers after 1 s":  {time.Second, "b", time.Second, 2 * time.Second},
		"the other target answers after 10 s": {10 * time.Second, "b", minLeaveService, leaveLimit - hostReaction},
	}
	convey.Convey("The primary of a group of two reports that it leaves, in virtual time", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				var served time.Duration
				var primary string
				synctest.Test(t, func(t *testing.T) {
					l := &laggingPlatform{promotionMilliseconds: 300, lagMilliseconds: func(time.Time) int64 { return 0 }}
					s := newLaggingServer(t, l, leavingGroup("a", "b"))
					defer func() { _ = s.Close() }()
					time.Sleep(time.Second)
					reported := time.Now()
					l.mu.Lock()
					l.silentUntil = map[string]time.Time{"b": reported.Add(c.silent)}
					l.mu.Unlock()
					leaving := targetReport("a", "db", directGroup().Targets["a"].Address, 0, 1)
					leaving.State = jacinthtiller.StateLeaving
					_ = s.Report(context.Background(), leaving)
					for at := reported; at.Sub(reported) < 20*time.Second; at = time.Now() {
						if primary = s.machine.state().View.Databases["db"].Primary; primary == "a" {
							served = at.Sub(reported)
						}
						time.Sleep(10 * time.Millisecond)
					}
				})
				convey.So(primary, convey.ShouldEqual, c.primary)
				convey.So(served, convey.ShouldBeBetweenOrEqual, c.earliest, c.latest)
			})
		}
	})
}
