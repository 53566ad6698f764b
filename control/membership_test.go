package control

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/jacinthtiller/jacinthtiller/quorum"
)

func member(name string, voter bool, heard time.Time, match uint64) quorum.MemberStatus {
	return quorum.MemberStatus{Member: quorum.Member{Name: name, Voter: voter}, Match: match, Heard: heard}
}

// TestNextMemberChange guards against a missing voter that is not replaced, and against unnecessary changes.
func TestNextMemberChange(t *testing.T) {
	now := time.Unix(1000, 0)
	gone := now.Add(-time.Minute)
	cases := map[string]struct {
		members []quorum.MemberStatus
		want    memberChange
	}{
		"all voters answer": {
			[]quorum.MemberStatus{member("a", true, now, 100), member("b", true, now, 100), member("c", true, now, 100)}, memberChange{},
		},
		"a voter is gone and nobody can replace it": {
			[]quorum.MemberStatus{member("a", true, now, 100), member("b", true, now, 100), member("c", true, gone, 100)}, memberChange{},
		},
		"a voter is gone and a learner has caught up": {
			[]quorum.MemberStatus{member("a", true, now, 100), member("b", true, now, 100), member("c", true, gone, 100), member("d", false, now, 100)},
			memberChange{action: MemberPromote, name: "d"},
		},
		"the learner lacks entries": {
			[]quorum.MemberStatus{member("a", true, now, 100), member("b", true, now, 100), member("c", true, gone, 100), member("d", false, now, 20)},
			memberChange{},
		},
		"the learner has replaced the voter": {
			[]quorum.MemberStatus{member("a", true, now, 100), member("b", true, now, 100), member("c", true, gone, 100), member("d", true, now, 100)},
			memberChange{action: MemberRemove, name: "c"},
		},
		"the voter is back before it was removed": {
			[]quorum.MemberStatus{member("a", true, now, 100), member("b", true, now, 100), member("c", true, now, 100), member("d", true, now, 100)},
			memberChange{action: MemberRemove, name: "d"},
		},
		"too few voters": {
			[]quorum.MemberStatus{member("a", true, now, 100), member("b", true, now, 100), member("d", false, now, 100)},
			memberChange{action: MemberPromote, name: "d"},
		},
		"a spare learner is kept": {
			[]quorum.MemberStatus{member("a", true, now, 100), member("b", true, now, 100), member("c", true, now, 100), member("d", false, now, 100)},
			memberChange{},
		},
		"a silent learner is removed": {
			[]quorum.MemberStatus{member("a", true, now, 100), member("b", true, now, 100), member("c", true, now, 100), member("d", false, gone, 100)},
			memberChange{action: MemberRemove, name: "d"},
		},
	}
	convey.Convey("The leader a changes", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				u, ok := nextMemberChange(quorum.Status{Name: "a", Last: 150, Members: c.members}, 3, now)
				convey.So(ok, convey.ShouldEqual, c.want != memberChange{})
				u.reason = ""
				convey.So(u, convey.ShouldResemble, c.want)
			})
		}
	})
}

// TestMemberMaintenanceEnds guards against changes that undo each other forever, and against a group that loses its majority
// of responsive voters, over generated groups.
func TestMemberMaintenanceEnds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := time.Unix(1000, 0)
		s := quorum.Status{Name: "a", Last: 100, Members: []quorum.MemberStatus{member("a", true, now, 100)}}
		wanted := 2*rapid.IntRange(1, 2).Draw(r, "tolerate") + 1
		voters, live := 1, 1
		for i := range rapid.IntRange(0, 7).Draw(r, "others") {
			m := member(string(rune('b'+i)), rapid.Bool().Draw(r, "voter"), now, 100)
			if rapid.Bool().Draw(r, "gone") {
				m.Heard = now.Add(-time.Minute)
			}
			s.Members = append(s.Members, m)
			if m.Voter {
				voters++
				if m.Heard.Equal(now) {
					live++
				}
			}
		}
		if live <= voters/2 {
			return // there would be no leader
		}
		for range 40 {
			u, ok := nextMemberChange(s, wanted, now)
			if !ok {
				return
			}
			for i, m := range s.Members {
				if m.Name != u.name {
					continue
				}
				if u.action == MemberPromote {
					s.Members[i].Voter = true
				} else {
					s.Members = append(s.Members[:i:i], s.Members[i+1:]...)
				}
				break
			}
			voters, live = 0, 0
			for _, m := range s.Members {
				if m.Voter {
					voters++
					if m.Heard.Equal(now) {
						live++
					}
				}
			}
			if live <= voters/2 {
				r.Fatalf("after %v only %d of %d voters answer", u, live, voters)
			}
		}
		r.Fatalf("the changes do not end: %v", s.Members)
	})
}
