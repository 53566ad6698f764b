package replica

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// TestPositions guards against data that is reported as newer than it is, which would
// let a read return data older than its age limit.
func TestPositions(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	convey.Convey("A replica is as new as the newest sample of the primary that it covers", t, func() {
		p := NewPositions()
		p.RecordPrimaryPosition("d", pos(5), at(0))
		p.RecordPrimaryPosition("d", pos(8), at(1000))
		p.RecordPosition("d", "r", pos(7))
		fresh, ok := p.FreshAt("d", "r")
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(fresh, convey.ShouldEqual, at(0))
		position, ok := p.PositionSince("d", at(500))
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(position, convey.ShouldResemble, pos(8))
		_, ok = p.PositionSince("d", at(1001))
		convey.So(ok, convey.ShouldBeFalse)
		p.RecordPosition("d", "r", pos(4))
		convey.So(p.LastPosition("d", "r"), convey.ShouldResemble, pos(7))
		p.RecordPrimaryPosition("d", pos(7), at(2000))
		fresh, _ = p.FreshAt("d", "r")
		convey.So(fresh, convey.ShouldEqual, at(0))
	})
	convey.Convey("A replica that was too slow is tried again once it has caught up or some time has passed", t, func() {
		p := NewPositions()
		v := jacinthtiller.View{Databases: map[string]jacinthtiller.Database{
			"d": {Targets: map[string]jacinthtiller.Target{"r": {Owner: "h"}, "q": {Owner: "gone"}}},
		}, Hosts: map[string]jacinthtiller.Host{"h": {Name: "h"}, "gone": {Name: "gone", LeaseEnded: true}}}
		p.RecordBehind("d", "r", pos(5), at(0))
		cs := p.Candidates(nil, v, jacinthtiller.Host{Name: "h"}, "d", nil)
		convey.So(cs, convey.ShouldHaveLength, 2)
		convey.So(cs[0].Usable, convey.ShouldBeFalse)
		convey.So(cs[1].SlowUntil, convey.ShouldEqual, at(50))
		p.RecordBehind("d", "r", pos(5), at(49))
		p.RecordBehind("d", "r", pos(5), at(60))
		cs = p.Candidates(nil, v, jacinthtiller.Host{Name: "h"}, "d", nil)
		convey.So(cs[1].SlowUntil, convey.ShouldEqual, at(160))
		p.RecordPosition("d", "r", pos(5))
		cs = p.Candidates(nil, v, jacinthtiller.Host{Name: "h"}, "d", map[string]bool{"r": true})
		convey.So(cs[1].SlowUntil.IsZero(), convey.ShouldBeTrue)
		convey.So(cs[1].Usable, convey.ShouldBeFalse)
	})
	convey.Convey("No history of samples and observations makes a replica look newer than it is", t, func() {
		convey.So(func() { rapid.Check(t, checkFreshness) }, convey.ShouldNotPanic)
	})
}

// checkFreshness advances a primary and a lagging replica and compares FreshAt with the true age.
func checkFreshness(t *rapid.T) {
	p, start := NewPositions(), time.Unix(1000, 0)
	writtenAt := []time.Time{start} // written[i] is when entry i was written
	now, applied := start, uint64(0)
	for range rapid.IntRange(1, 200).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "gap")) * time.Millisecond)
		switch rapid.IntRange(0, 3).Draw(t, "step") {
		case 0:
			writtenAt = append(writtenAt, now)
		case 1:
			p.RecordPrimaryPosition("d", pos(uint64(len(writtenAt)-1)), now)
		case 2:
			applied = rapid.Uint64Range(applied, uint64(len(writtenAt)-1)).Draw(t, "applied")
		case 3:
			p.RecordPosition("d", "r", pos(applied))
		}
		fresh, ok := p.FreshAt("d", "r")
		if ok && int(applied)+1 < len(writtenAt) && fresh.After(writtenAt[applied+1]) {
			t.Fatalf("data lacks the entry written at %v but counts as new as %v", writtenAt[applied+1], fresh)
		}
	}
}

// TestReplicationTracker guards against commits that are acknowledged before a majority of
// the group has stored them in the same term.
func TestReplicationTracker(t *testing.T) {
	zero := jacinthtiller.Position{}
	cases := map[string]struct {
		size    int
		reports map[string]jacinthtiller.Position
		want    jacinthtiller.Position
	}{
		"primary alone":          {3, map[string]jacinthtiller.Position{"p": pos(9)}, zero},
		"one replica":            {3, map[string]jacinthtiller.Position{"p": pos(9), "a": pos(7)}, pos(7)},
		"both replicas":          {3, map[string]jacinthtiller.Position{"p": pos(9), "a": pos(7), "b": pos(8)}, pos(8)},
		"replica before primary": {3, map[string]jacinthtiller.Position{"a": pos(7)}, pos(7)},
		"other terms":            {3, map[string]jacinthtiller.Position{"p": pos(9), "a": {Term: 1, Index: 99}, "b": {Term: 3, Index: 99}}, zero},
		"group of five":          {5, map[string]jacinthtiller.Position{"p": pos(9), "a": pos(8), "b": pos(7)}, pos(7)},
		"group of one":           {1, map[string]jacinthtiller.Position{"p": pos(9)}, pos(9)},
		"group of two":           {2, map[string]jacinthtiller.Position{"p": pos(9)}, zero},
	}
	convey.Convey("Position of the majority", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				s := NewReplicationTracker(2, c.size, "p")
				for target, p := range c.reports {
					s.Record(target, p)
				}
				convey.So(s.MajorityPosition(), convey.ShouldResemble, c.want)
			})
		}
	})
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Wait ends with the commit's own position and with its context", t, func() {
			s := NewReplicationTracker(2, 3, "p")
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			early, late := make(chan error, 1), make(chan error, 1)
			var wg sync.WaitGroup
			wg.Go(func() { early <- s.Wait(ctx, pos(4)) })
			wg.Go(func() { late <- s.Wait(ctx, pos(6)) })
			synctest.Wait()
			s.Record("a", pos(5))
			convey.So(<-early, convey.ShouldBeNil)
			convey.So(errors.Is(<-late, context.DeadlineExceeded), convey.ShouldBeTrue)
			convey.So(s.Wait(ctx, pos(5)), convey.ShouldBeNil)
			convey.So(s.waiters, convey.ShouldBeEmpty)
			wg.Wait()
		})
	})
}

// fakePeer answers requests for marks when the test sends a response.
type fakePeer struct {
	jacinthtiller.Peer
	requests  chan jacinthtiller.MarkRequest
	responses chan jacinthtiller.MarkResponse
}

// fakeMarker sends the requests for all hosts to the same peer.
type fakeMarker struct{ peer *fakePeer }

func (f fakeMarker) RequestMarks(ctx context.Context, _ string, r jacinthtiller.MarkRequest) (jacinthtiller.MarkResponse, error) {
	return f.peer.Mark(ctx, r)
}

func (f *fakePeer) Mark(_ context.Context, r jacinthtiller.MarkRequest) (jacinthtiller.MarkResponse, error) {
	f.requests <- r
	return <-f.responses, nil
}

// TestMarks guards against a read that is served by a request sent before the read
// arrived, and against responses of a replaced primary.
func TestMarks(t *testing.T) {
	view := jacinthtiller.View{
		Hosts:     map[string]jacinthtiller.Host{"h": {Name: "h"}},
		Databases: map[string]jacinthtiller.Database{"d": {Term: 2, Primary: "p", Targets: map[string]jacinthtiller.Target{"p": {Owner: "h"}}}},
	}
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Reads that arrive during a request share the next one", t, func() {
			f := &fakePeer{requests: make(chan jacinthtiller.MarkRequest), responses: make(chan jacinthtiller.MarkResponse)}
			m := NewMarkBatcher(fakeMarker{f}, func() jacinthtiller.View { return view }, NewPositions(), event.Discard())
			got := make(chan jacinthtiller.Position, 3)
			var wg sync.WaitGroup
			ask := func(guest string) {
				wg.Go(func() {
					r, err := m.RequestMark(t.Context(), "d", guest)
					if err != nil {
						t.Error(err)
					}
					got <- r.Marks[guest]
				})
				synctest.Wait()
			}
			ask("a")
			convey.So((<-f.requests).Guests, convey.ShouldResemble, []string{"a"})
			ask("a")
			ask("b")
			f.responses <- jacinthtiller.MarkResponse{Term: 2, Marks: map[string]jacinthtiller.Position{"a": pos(1), "b": pos(1)}}
			convey.So(<-got, convey.ShouldResemble, pos(1))
			convey.So(got, convey.ShouldBeEmpty)
			convey.So((<-f.requests).Guests, convey.ShouldResemble, []string{"a", "b"})
			f.responses <- jacinthtiller.MarkResponse{Term: 2, Marks: map[string]jacinthtiller.Position{"a": pos(7), "b": pos(7)}}
			convey.So(<-got, convey.ShouldResemble, pos(7))
			convey.So(<-got, convey.ShouldResemble, pos(7))
			wg.Wait()
			m.Close()
			convey.So(m.workers, convey.ShouldBeEmpty)
		})
	})
	convey.Convey("A response of an older term or without the guest is rejected", t, func() {
		for _, r := range []jacinthtiller.MarkResponse{{Term: 1, Marks: map[string]jacinthtiller.Position{"a": pos(1)}}, {Term: 2}} {
			f := &fakePeer{requests: make(chan jacinthtiller.MarkRequest, 1), responses: make(chan jacinthtiller.MarkResponse, 1)}
			f.responses <- r
			m := NewMarkBatcher(fakeMarker{f}, func() jacinthtiller.View { return view }, nil, event.Discard())
			_, err := m.RequestMark(t.Context(), "d", "a")
			var e *MarkError
			convey.So(errors.As(err, &e), convey.ShouldBeTrue)
			m.Close()
		}
	})
}
