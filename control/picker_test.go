package control

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestRoster guards against clients that keep asking a frozen or partitioned process, that never return to a recovered
// process, or that all ask the same process when they know nothing.
func TestRoster(t *testing.T) {
	now := time.Unix(1000, 0)
	after := now.Add
	convey.Convey("A client that knows five processes", t, func() {
		r := newPicker([]string{"far", "region", "domain", "other", "unknown"}, 0)
		r.distances = map[string]distance{
			"far": distanceFar, "other": distanceFar, "region": distanceRegion, "domain": distanceDomain,
		}
		convey.Convey("asks the nearest process, and the leader for what only the leader answers", func() {
			convey.So(r.nearest(now), convey.ShouldEqual, "domain")
			r.setLeader("far")
			convey.So(r.nearest(now), convey.ShouldEqual, "domain")
			convey.So(r.leaderOrNearest(now), convey.ShouldEqual, "far")
		})
		convey.Convey("avoids a process that failed, and returns to it", func() {
			r.markFailed("domain", now)
			convey.So(r.nearest(now), convey.ShouldEqual, "region")
			convey.So(r.nearest(after(minBackoff)), convey.ShouldEqual, "domain")
			r.markFailed("domain", after(minBackoff))
			convey.So(r.nearest(after(2*minBackoff)), convey.ShouldEqual, "region")
			r.markAvailable("domain")
			convey.So(r.nearest(after(2*minBackoff)), convey.ShouldEqual, "domain")
		})
		convey.Convey("never avoids a process longer than the bound", func() {
			for range 20 {
				r.markFailed("domain", now)
			}
			convey.So(r.nearest(after(maxBackoff)), convey.ShouldEqual, "domain")
		})
		convey.Convey("asks the process whose backoff ends first when all have failed", func() {
			for i, u := range []string{"domain", "region", "unknown", "far", "other"} {
				r.markFailed(u, after(time.Duration(i)*time.Millisecond))
			}
			convey.So(r.nearest(after(10*time.Millisecond)), convey.ShouldEqual, "domain")
		})
		convey.Convey("asks another when the leader does not answer", func() {
			r.setLeader("far")
			r.markFailed("far", now)
			convey.So(r.leaderOrNearest(now), convey.ShouldEqual, "domain")
			convey.So(r.leaderOrNearest(after(minBackoff)), convey.ShouldEqual, "domain")
		})
		convey.Convey("asks a leader that another process names, although it failed for long, but not right after a failure", func() {
			for range 10 { // as when the host was partitioned from all processes
				r.markFailed("far", now)
			}
			r.setLeaderHint("far", after(leaderHintBackoff-1))
			convey.So(r.leaderOrNearest(after(leaderHintBackoff-1)), convey.ShouldEqual, "domain")
			r.setLeaderHint("far", after(leaderHintBackoff))
			convey.So(r.leaderOrNearest(after(leaderHintBackoff)), convey.ShouldEqual, "far")
		})
		convey.Convey("asks each process while none knows a leader", func() {
			asked := map[string]bool{}
			for i := range 5 {
				u := r.leaderOrNearest(after(time.Duration(i) * time.Millisecond))
				asked[u] = true
				r.markLeaderless(u, after(time.Duration(i)*time.Millisecond))
			}
			convey.So(asked, convey.ShouldHaveLength, 5)
		})
		convey.Convey("learns places until it knows a process of its own failure domain", func() {
			convey.So(r.nextUnknownDistance(now), convey.ShouldBeEmpty)
			delete(r.distances, "domain")
			convey.So(r.nextUnknownDistance(now), convey.ShouldBeIn, "domain", "unknown")
			r.markFailed("domain", now)
			r.markFailed("unknown", now)
			convey.So(r.nextUnknownDistance(now), convey.ShouldBeEmpty)
		})
		convey.Convey("keeps what it knows of the processes that stay when the list is replaced", func() {
			r.setLeader("far")
			r.markFailed("region", now)
			r.replace([]string{"region", "new"})
			convey.So(r.distance("region"), convey.ShouldEqual, distanceRegion)
			convey.So(r.nearest(now), convey.ShouldEqual, "new")
			convey.So(r.leaderOrNearest(now), convey.ShouldEqual, "new")
			convey.So(r.distances, convey.ShouldHaveLength, 1)
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
