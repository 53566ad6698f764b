package replica

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestFreshnessHistories guards against a position that lacks a commit acknowledged before the requested time, over
// generated histories of commits, reordered responses and changes of the primary.
func TestFreshnessHistories(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		origin := time.Unix(1000, 0)
		var f Freshness
		type commit struct {
			at       time.Time
			position jacinthtiller.Position
		}
		var commits []commit
		term, index, now := uint64(1), uint64(0), origin
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(r, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(r, "step") {
			case 0:
				term++
				// The remaining commits of the former term are below the new term's positions.
				commits = nil
			case 1, 2, 3, 4:
				index++
				commits = append(commits, commit{at: now, position: jacinthtiller.Position{Term: term, Index: index}})
			default:
				// The response may be delayed: its position was read between sent and now.
				sent := now.Add(-time.Duration(rapid.IntRange(0, 100).Draw(r, "way")) * time.Millisecond)
				f.Record(term, Attestation{At: sent, Position: jacinthtiller.Position{Term: term, Index: index}})
			}
			asked := now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(r, "age")) * time.Millisecond)
			found, ok := f.AttestationSince(term, asked)
			if !ok {
				continue
			}
			p := found.Position
			for _, c := range commits {
				if c.at.Before(asked) && !p.Covers(c.position) {
					r.Fatalf("position %v for %v lacks the commit %v of %v", p, asked, c.position, c.at)
				}
			}
		}
	})
}

// TestFreshness guards against positions of a former term, and against positions newer than a read needs.
func TestFreshness(t *testing.T) {
	origin := time.Unix(1000, 0)
	at := func(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }
	position := func(term, index uint64) jacinthtiller.Position {
		return jacinthtiller.Position{Term: term, Index: index}
	}
	convey.Convey("Attestations 100 ms apart", t, func() {
		var f Freshness
		for i := range 10 {
			f.Record(2, Attestation{At: at(100 * i), Position: position(2, uint64(i))})
		}
		convey.Convey("give the lowest position that is new enough", func() {
			p, ok := f.AttestationSince(2, at(250))
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(p, convey.ShouldResemble, Attestation{At: at(300), Position: position(2, 3)})
		})
		convey.Convey("give the lag of a log", func() {
			lag, exact, ok := f.Lag(2, position(2, 3), at(1000))
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(exact, convey.ShouldBeTrue)
			convey.So(lag, convey.ShouldEqual, 600*time.Millisecond)
			lag, _, _ = f.Lag(2, position(2, 9), at(1000))
			convey.So(lag, convey.ShouldEqual, 0)
			_, _, ok = f.Lag(3, position(2, 9), at(1000))
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("give a lower bound of the lag of a log older than all of them", func() {
			lag, exact, ok := f.Lag(2, position(1, 99), at(1000))
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(exact, convey.ShouldBeFalse)
			convey.So(lag, convey.ShouldEqual, time.Second)
		})
		convey.Convey("give no position for a time after the last", func() {
			_, ok := f.AttestationSince(2, at(901))
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("give no position in another term", func() {
			_, ok := f.AttestationSince(3, at(0))
			convey.So(ok, convey.ShouldBeFalse)
			f.Record(3, Attestation{At: at(1000), Position: position(3, 1)})
			_, ok = f.AttestationSince(2, at(0))
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("ignore a response of the former primary", func() {
			f.Record(1, Attestation{At: at(2000), Position: position(1, 99)})
			_, ok := f.AttestationSince(2, at(2000))
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}

// TestWithin guards against a result that has only the newest position, which lagging replicas have not reached, or a
// position that is too old or of another term.
func TestWithin(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := map[string]struct {
		term         uint64
		sinceSeconds int
		count        int
		want         []uint64 // indexes of the positions, equal to the seconds after start
	}{
		"all that fit":                  {2, 5, 10, []uint64{5, 6, 7, 8, 9}},
		"the oldest and the newest":     {2, 5, 2, []uint64{5, 9}},
		"some between":                  {2, 1, 5, []uint64{1, 3, 5, 7, 9}},
		"none is young enough":          {2, 10, 5, nil},
		"another term":                  {1, 0, 5, nil},
		"as many as asked for, of many": {2, 0, 4, []uint64{0, 3, 6, 9}},
	}
	convey.Convey("Of ten positions, one a second", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				var f Freshness
				for i := range uint64(10) {
					f.Record(2, Attestation{At: start.Add(time.Duration(i) * time.Second), Position: jacinthtiller.Position{Term: 2, Index: i}})
				}
				var got []uint64
				for _, a := range f.AttestationsSince(c.term, start.Add(time.Duration(c.sinceSeconds)*time.Second), c.count) {
					got = append(got, a.Position.Index)
				}
				convey.So(got, convey.ShouldResemble, c.want)
			})
		}
	})
}
