package quickstart

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/bench"
)

// TestFairness guards against a large team that takes the slots of a small one, from guest to target: while 300 guests
// of one team write without a pause, 10 guests of another get their fair share within 5 percentage points.
func TestFairness(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	convey.Convey("A small team keeps its share beside a large one", t, func() {
		c, err := Start(ctx, Options{Slots: 2, ServiceTimeMicroseconds: 5000})
		convey.So(err, convey.ShouldBeNil)
		defer c.Kill()
		logins := c.BenchLogins(10)
		small, large := logins[0], logins[1]
		large.Guests = 300
		load := func(l ...bench.Login) bench.Result {
			r, err := bench.Run(ctx, bench.Plan{
				Logins: l, Milliseconds: 6000, WarmupMilliseconds: 2000, HostChangeShare: 0.02, Seed: 5,
			}, io.Discard)
			convey.So(err, convey.ShouldBeNil)
			convey.So(r.Violations, convey.ShouldBeEmpty)
			convey.So(r.Failed, convey.ShouldBeEmpty)
			return r
		}
		aloneRate := rate(load(small), small.Team)
		r := load(small, large)
		sharedRate, totalRate := rate(r, small.Team), rate(r, small.Team)+rate(r, large.Team)
		t.Logf("operations in all: %d of the small team and %d of the large one in %d ms", r.Teams[small.Team].Count,
			r.Teams[large.Team].Count, r.Milliseconds)
		t.Logf("small team: %.0f/s alone, %.0f of %.0f/s beside the large one; median %d us, the large one's %d us",
			aloneRate, sharedRate, totalRate, r.Teams[small.Team].Median, r.Teams[large.Team].Median)
		convey.So(sharedRate, convey.ShouldBeGreaterThan, min(aloneRate, totalRate/2)-0.05*totalRate)
	})
}

// rate returns a team's operations per second while all guests were active.
func rate(r bench.Result, team string) float64 {
	return float64(r.Steady[team]) * 1000 / float64(r.SteadyMilliseconds)
}
