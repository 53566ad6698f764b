package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// latestSuspension is when a leaving primary must be out of service, in milliseconds after its report. A target may get
	// work for 7 s after the acknowledgement, and a host may go on for a while after the suspension: it renews its lease for at
	// most a second without a new view, and the lease lasts Lease.
	latestSuspension = int64((7*time.Second - time.Second - Lease - ClockRateBound) / time.Millisecond)
	// minLeaveService is how long callers get answers from a group's last target at least, in milliseconds.
	minLeaveService = 2000
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
		// operator is true when an operator asks the target to leave, which goes on reporting that it serves.
		operator bool
		// joinsAfterMilliseconds is when another target reports itself; zero for never.
		joinsAfterMilliseconds int64
		// primary is the expected primary 20 s after the report.
		primary string
		// earliestMilliseconds and latestMilliseconds bound when a goes out of service after the report.
		earliestMilliseconds, latestMilliseconds int64
	}{
		"the only target leaves":                   {earliestMilliseconds: minLeaveService, latestMilliseconds: latestSuspension},
		"its report was acknowledged by another":   {recorded: true, latestMilliseconds: 1000},
		"an operator asks it to leave":             {operator: true, earliestMilliseconds: minLeaveService, latestMilliseconds: latestSuspension},
		"another target joins 1 s later":           {joinsAfterMilliseconds: 1000, primary: "b", earliestMilliseconds: 1000, latestMilliseconds: 2000},
		"another target joins when it is too late": {joinsAfterMilliseconds: 10_000, primary: "b", earliestMilliseconds: minLeaveService, latestMilliseconds: latestSuspension},
	}
	convey.Convey("The primary of a group reports that it leaves, in virtual time", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				var reportErr error
				var served int64
				var primary string
				synctest.Test(t, func(t *testing.T) {
					d := leavingGroup("a")
					if c.recorded {
						d = withState(d, "a", jacinthtiller.StateLeaving)
					}
					l := &laggingPlatform{promotionMilliseconds: 300, lagMilliseconds: func(time.Time) int64 { return 0 }}
					s := newLaggingServer(t, l, d)
					defer func() { _ = s.Close() }()
					report := targetReport("a", "db", d.Targets["a"].Address, 0, 1)
					if !c.recorded {
						time.Sleep(time.Second)
					}
					switch {
					case c.operator:
						s.operators = nil // any operator is accepted
						request := connect.NewRequest(&TargetLeaveRequest{Database: "db", Target: "a"})
						_, reportErr = s.targetLeave(context.Background(), request)
						_ = s.Report(context.Background(), report)
					case !c.recorded:
						report.State = jacinthtiller.StateLeaving
						reportErr = s.Report(context.Background(), report)
					}
					reported := time.Now()
					for at := reported; at.Sub(reported) < 20*time.Second; at = time.Now() {
						if primary = s.machine.state().View.Databases["db"].Primary; primary == "a" {
							served = at.Sub(reported).Milliseconds()
						}
						if c.joinsAfterMilliseconds > 0 && at.Sub(reported).Milliseconds() == c.joinsAfterMilliseconds {
							b := directGroup().Targets["b"]
							_ = s.Report(context.Background(), targetReport("b", "db", b.Address, 50, 1))
						}
						time.Sleep(10 * time.Millisecond)
					}
				})
				convey.So(reportErr, convey.ShouldBeNil)
				convey.So(primary, convey.ShouldEqual, c.primary)
				convey.So(served, convey.ShouldBeBetweenOrEqual, c.earliestMilliseconds, c.latestMilliseconds)
			})
		}
	})
}

// TestLeavingWithoutSuccessor guards against a primary that leaves and goes out of service at once although no other target
// answers: its group then serves nothing, while it could go on to the end of its time.
func TestLeavingWithoutSuccessor(t *testing.T) {
	cases := map[string]struct {
		// silentMilliseconds is how long the other target answers nothing.
		silentMilliseconds int64
		primary            string
		// earliestMilliseconds and latestMilliseconds bound when a goes out of service after the report.
		earliestMilliseconds, latestMilliseconds int64
	}{
		"the other target answers":            {0, "b", 0, 1000},
		"the other target is lost":            {3_600_000, "", minLeaveService, latestSuspension},
		"the other target answers after 1 s":  {1000, "b", 1000, 2000},
		"the other target answers after 10 s": {10_000, "b", minLeaveService, latestSuspension},
	}
	convey.Convey("The primary of a group of two reports that it leaves, in virtual time", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				var served int64
				var primary string
				synctest.Test(t, func(t *testing.T) {
					l := &laggingPlatform{promotionMilliseconds: 300, lagMilliseconds: func(time.Time) int64 { return 0 }}
					s := newLaggingServer(t, l, leavingGroup("a", "b"))
					defer func() { _ = s.Close() }()
					time.Sleep(time.Second)
					reported := time.Now()
					l.mu.Lock()
					l.silentUntil = map[string]time.Time{"b": reported.Add(time.Duration(c.silentMilliseconds) * time.Millisecond)}
					l.mu.Unlock()
					leaving := targetReport("a", "db", directGroup().Targets["a"].Address, 0, 1)
					leaving.State = jacinthtiller.StateLeaving
					_ = s.Report(context.Background(), leaving)
					for at := reported; at.Sub(reported) < 20*time.Second; at = time.Now() {
						if primary = s.machine.state().View.Databases["db"].Primary; primary == "a" {
							served = at.Sub(reported).Milliseconds()
						}
						time.Sleep(10 * time.Millisecond)
					}
				})
				convey.So(primary, convey.ShouldEqual, c.primary)
				convey.So(served, convey.ShouldBeBetweenOrEqual, c.earliestMilliseconds, c.latestMilliseconds)
			})
		}
	})
}

// TestCandidateLeaves guards against the promotion of a candidate that began to leave after it was chosen: the group changes
// its primary twice instead of once.
func TestCandidateLeaves(t *testing.T) {
	var promotions []string
	var primary string
	synctest.Test(t, func(t *testing.T) {
		d := withState(directGroup(), "b", jacinthtiller.StateLeaving)
		d.Primary, d.FormerPrimary, d.Candidate, d.PrimaryChangedIndex = "", "a", "b", 9
		l := &laggingPlatform{promotionMilliseconds: 300, lagMilliseconds: func(time.Time) int64 { return 0 }}
		s := newLaggingServer(t, l, d)
		time.Sleep(10 * time.Second)
		primary = s.machine.state().View.Databases["db"].Primary
		_ = s.Close()
		promotions = l.promotions
	})
	convey.Convey("A new leader finds a candidate that is leaving", t, func() {
		convey.So(primary, convey.ShouldEqual, "c")
		convey.So(promotions, convey.ShouldResemble, []string{"c"})
	})
}
