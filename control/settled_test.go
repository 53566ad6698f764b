package control

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestSettledIndex guards against a settled index under which a host may still hold a lease, or get one from this leader or
// the next one, and against one that does not advance.
func TestSettledIndex(t *testing.T) {
	now := time.Unix(1000, 0)
	convey.Convey("With two hosts", t, func() {
		s := newState()
		for _, n := range []string{"h1", "h2"} {
			s, _, _ = apply(s, s.View.Index+1, Command{Register: &registerCommand{Host: jacinthtiller.Host{Name: n, Incarnation: "i"}}})
		}
		edit := func() {
			s, _, _ = apply(s, s.View.Index+1, Command{Section: &sectionCommand{Team: "t", Text: "x", Request: s.View.Sections["t"].Text + "x"}})
		}
		for range 3 {
			edit()
		}
		l := newLeader()
		renew := func(host string, index uint64) {
			l.renew(s, jacinthtiller.RenewRequest{Host: host, Incarnation: "i", Index: index}, now)
		}
		later := func(d time.Duration) uint64 {
			now = now.Add(d)
			return l.settledIndex(s, now)
		}
		convey.Convey("a new leader knows that no host has a lease under a view before its registration", func() {
			convey.So(l.settledIndex(s, now), convey.ShouldEqual, s.Registered["h1"])
		})
		convey.Convey("the index is the least that a host has in force", func() {
			index := s.View.Index
			renew("h1", index)
			renew("h2", index-1)
			convey.So(l.settledIndex(s, now), convey.ShouldEqual, index-1)
			convey.Convey("and is computed again after a short time", func() {
				renew("h2", index)
				convey.So(later(settledInterval-1), convey.ShouldEqual, index-1)
				convey.So(later(1), convey.ShouldEqual, index)
			})
			convey.Convey("a silent host holds it back until the log has the end of its lease, because it may still renew", func() {
				edit()
				renew("h1", s.View.Index)
				convey.So(later(10*Lease), convey.ShouldEqual, index-1)
				s, _, _ = apply(s, s.View.Index+1, Command{EndLease: &endLeaseCommand{Host: "h2", Incarnation: "i"}})
				convey.So(later(settledInterval), convey.ShouldEqual, s.View.Index-1)
			})
			convey.Convey("a host that registers does not move it back, and gets no lease under an earlier view", func() {
				renew("h2", index)
				convey.So(later(settledInterval), convey.ShouldEqual, index)
				s, _, _ = apply(s, index+1, Command{Register: &registerCommand{Host: jacinthtiller.Host{Name: "h3", Incarnation: "i"}}})
				convey.So(later(settledInterval), convey.ShouldEqual, index)
				r := l.renew(s, jacinthtiller.RenewRequest{Host: "h3", Incarnation: "i", Index: index}, now)
				convey.So(r.LeaseMicroseconds, convey.ShouldEqual, 0)
			})
		})
	})
}

// TestChangedIndex guards against a host that leaves and comes back between two views without a trace in its record, and
// against a repeated registration that looks like a change.
func TestChangedIndex(t *testing.T) {
	convey.Convey("The record of a host has the index of its last change", t, func() {
		h := jacinthtiller.Host{Name: "h1", Incarnation: "i"}
		s, _, _ := apply(newState(), 3, Command{Register: &registerCommand{Host: h}})
		convey.So(s.View.Hosts["h1"].ChangedIndex, convey.ShouldEqual, 3)
		same, _, ch := apply(s, 4, Command{Register: &registerCommand{Host: h}})
		convey.So(ch.empty(), convey.ShouldBeTrue)
		convey.So(same.View.Hosts["h1"].ChangedIndex, convey.ShouldEqual, 3)
		ended, _, _ := apply(same, 5, Command{EndLease: &endLeaseCommand{Host: "h1", Incarnation: "i"}})
		convey.So(ended.View.Hosts["h1"].ChangedIndex, convey.ShouldEqual, 5)
		back, _, _ := apply(ended, 6, Command{Register: &registerCommand{Host: h}})
		convey.So(back.View.Hosts["h1"].ChangedIndex, convey.ShouldEqual, 6)
	})
}

// BenchmarkSettledIndex measures one computation with 580 hosts, of which there are at most 50 a second.
func BenchmarkSettledIndex(b *testing.B) {
	w := largeHarness(580, 0)
	now := w.now
	for b.Loop() {
		now = now.Add(settledInterval)
		w.leader.settledIndex(w.state, now)
	}
}
