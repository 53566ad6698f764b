package capacity_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/capacity"
)

// play keeps as many statements in flight as the limit allows, each for the time that latency gives for the number in flight.
func play(l *capacity.Limit, from time.Time, seconds float64, latency func(inFlight int) time.Duration) time.Time {
	type running struct{ began, ends time.Time }
	var list []running
	now := from
	for now.Sub(from).Seconds() < seconds {
		for kept := list[:0]; ; {
			for _, r := range list {
				if r.ends.After(now) {
					kept = append(kept, r)
					continue
				}
				l.End(capacity.Sample{Class: "q", BeganAt: r.began}, now)
			}
			list = kept
			break
		}
		for places, _ := l.Places(now); len(list) < places; places, _ = l.Places(now) {
			l.Begin(now)
			list = append(list, running{now, now.Add(latency(len(list) + 1))})
		}
		now = now.Add(time.Millisecond)
	}
	for _, r := range list {
		l.End(capacity.Sample{Class: "q", BeganAt: r.began}, now)
	}
	return now
}

// TestLimit guards against a limit that starts elsewhere than at the reported one, that falls below its floor, that stays low
// without statements, and that is lost when the number of gateways changes.
func TestLimit(t *testing.T) {
	share := capacity.Share{Reported: 8, Slots: 4}
	// A statement takes the longer the more are in flight above two.
	collapsing := func(n int) time.Duration { return time.Duration(10*(1+4*max(0, n-2))) * time.Millisecond }
	convey.Convey("A new limit is the reported one", t, func() {
		l := capacity.New(share, start)
		convey.So(l.Value(), convey.ShouldEqual, 8)
		places, changesAt := l.Places(start)
		convey.So(places, convey.ShouldEqual, 8)
		convey.So(changesAt.IsZero(), convey.ShouldBeTrue)
	})
	convey.Convey("With a target that collapses", t, func() {
		l := capacity.New(share, start)
		now := play(l, start, 260, collapsing)
		convey.Convey("the limit falls to the floor, and the change says why", func() {
			convey.So(l.Value(), convey.ShouldEqual, 2)
			c := l.Change()
			convey.So(c.Cause, convey.ShouldEqual, capacity.CauseNoGain)
			convey.So(c.Class, convey.ShouldEqual, "q")
			convey.So(c.ThroughputPercent, convey.ShouldBeGreaterThan, 100)
		})
		convey.Convey("it stays for two seconds without statements and is the reported one after twenty", func() {
			l.Places(now.Add(2 * time.Second))
			convey.So(l.Value(), convey.ShouldEqual, 2)
			l.Places(now.Add(5 * time.Second))
			convey.So(l.Value(), convey.ShouldBeBetween, 2, 8)
			l.Places(now.Add(20 * time.Second))
			convey.So(l.Value(), convey.ShouldEqual, 8)
			convey.So(l.Change().Cause, convey.ShouldEqual, capacity.CauseNoSamples)
		})
		convey.Convey("it is in proportion after a change of the number of gateways", func() {
			l.SetShare(capacity.Share{Reported: 4, Slots: 2}, now)
			convey.So(l.Value(), convey.ShouldEqual, 1)
		})
	})
	convey.Convey("Below one, pauses keep the mean in flight at the limit", t, func() {
		l := capacity.New(capacity.Share{Reported: 2, Slots: 0.8}, start)
		// One statement at a time takes a quarter of the time that two take, so that three fifths of the time do more work.
		now := play(l, start, 260, func(n int) time.Duration { return time.Duration(10*n*n) * time.Millisecond })
		convey.So(l.Value(), convey.ShouldAlmostEqual, 0.6)
		begun := now.Add(time.Second)
		l.Places(begun)
		l.Begin(begun)
		l.End(capacity.Sample{Class: "q", BeganAt: begun}, begun.Add(10*time.Millisecond))
		places, growsAt := l.Places(begun.Add(10 * time.Millisecond))
		convey.So(places, convey.ShouldEqual, 0)
		convey.So(growsAt, convey.ShouldHappenBetween, begun.Add(16*time.Millisecond), begun.Add(18*time.Millisecond))
	})
}
