package control

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestPicker guards against clients that keep asking a frozen or partitioned process, that never return to a recovered
// process, or that all ask the same process when they know nothing.
func TestPicker(t *testing.T) {
	now := time.Unix(1000, 0)
	after := now.Add
	convey.Convey("A client that knows five processes", t, func() {
		p := newPicker([]string{"far", "region", "domain", "other", "unknown"}, 0)
		p.distances = map[string]distance{
			"far": distanceFar, "other": distanceFar, "region": distanceRegion, "domain": distanceDomain,
		}
		convey.Convey("asks the nearest process, and the leader for what only the leader answers", func() {
			convey.So(p.nearest(now), convey.ShouldEqual, "domain")
			p.setLeader("far")
			convey.So(p.nearest(now), convey.ShouldEqual, "domain")
			convey.So(p.leaderOrNearest(now), convey.ShouldEqual, "far")
		})
		convey.Convey("avoids a process that failed, and returns to it", func() {
			p.markFailed("domain", now)
			convey.So(p.nearest(now), convey.ShouldEqual, "region")
			convey.So(p.nearest(after(minBackoff)), convey.ShouldEqual, "domain")
			p.markFailed("domain", after(minBackoff))
			convey.So(p.nearest(after(2*minBackoff)), convey.ShouldEqual, "region")
			p.markAvailable("domain")
			convey.So(p.nearest(after(2*minBackoff)), convey.ShouldEqual, "domain")
		})
		convey.Convey("never avoids a process longer than the bound", func() {
			for range 20 {
				p.markFailed("domain", now)
			}
			convey.So(p.nearest(after(maxBackoff)), convey.ShouldEqual, "domain")
		})
		convey.Convey("asks the process whose backoff ends first when all have failed", func() {
			for i, u := range []string{"domain", "region", "unknown", "far", "other"} {
				p.markFailed(u, after(time.Duration(i)*time.Millisecond))
			}
			convey.So(p.nearest(after(10*time.Millisecond)), convey.ShouldEqual, "domain")
		})
		convey.Convey("asks another when the leader does not answer", func() {
			p.setLeader("far")
			p.markFailed("far", now)
			convey.So(p.leaderOrNearest(now), convey.ShouldEqual, "domain")
			convey.So(p.leaderOrNearest(after(minBackoff)), convey.ShouldEqual, "domain")
		})
		convey.Convey("asks a leader that another process names, although it failed for long, but not right after a failure", func() {
			for range 10 { // as when the host was partitioned from all processes
				p.markFailed("far", now)
			}
			p.setLeaderHint("far", after(leaderHintBackoff-1))
			convey.So(p.leaderOrNearest(after(leaderHintBackoff-1)), convey.ShouldEqual, "domain")
			p.setLeaderHint("far", after(leaderHintBackoff))
			convey.So(p.leaderOrNearest(after(leaderHintBackoff)), convey.ShouldEqual, "far")
		})
		convey.Convey("asks each process while none knows a leader", func() {
			asked := map[string]bool{}
			for i := range 5 {
				u := p.leaderOrNearest(after(time.Duration(i) * time.Millisecond))
				asked[u] = true
				p.markLeaderless(u, after(time.Duration(i)*time.Millisecond))
			}
			convey.So(asked, convey.ShouldHaveLength, 5)
		})
		convey.Convey("learns places until it knows a process of its own failure domain", func() {
			convey.So(p.nextUnknownDistance(now), convey.ShouldBeEmpty)
			delete(p.distances, "domain")
			convey.So(p.nextUnknownDistance(now), convey.ShouldBeIn, "domain", "unknown")
			p.markFailed("domain", now)
			p.markFailed("unknown", now)
			convey.So(p.nextUnknownDistance(now), convey.ShouldBeEmpty)
		})
		convey.Convey("keeps what it knows of the processes that stay when the list is replaced", func() {
			p.setLeader("far")
			p.markFailed("region", now)
			p.replace([]string{"region", "new"})
			convey.So(p.distance("region"), convey.ShouldEqual, distanceRegion)
			convey.So(p.nearest(now), convey.ShouldEqual, "new")
			convey.So(p.leaderOrNearest(now), convey.ShouldEqual, "new")
			convey.So(p.distances, convey.ShouldHaveLength, 1)
		})
	})
	convey.Convey("Clients that know nothing begin at different processes", t, func() {
		first := map[string]bool{}
		for salt := range 3 {
			first[newPicker([]string{"a", "b", "c"}, salt).nearest(now)] = true
		}
		convey.So(first, convey.ShouldHaveLength, 3)
	})
	convey.Convey("The fingerprint of a list does not depend on its order", t, func() {
		convey.So(fingerprint([]string{"a", "b"}), convey.ShouldEqual, fingerprint([]string{"b", "a"}))
		convey.So(fingerprint([]string{"a", "b"}), convey.ShouldNotEqual, fingerprint([]string{"a"}))
	})
}
