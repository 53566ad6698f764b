package control

import (
	"fmt"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestSections guards against edits that overwrite each other, run twice or
// take another team's role.
func TestSections(t *testing.T) {
	so, eq := convey.So, convey.ShouldEqual
	edit := func(w *harness, request string, replaces uint64, text string, roles ...string) commandResult {
		return w.apply(Command{Section: &sectionCommand{
			Team: "a", Text: text, Author: "ana", Request: request, Replaces: replaces, Roles: roles,
		}})
	}
	cases := map[string]func(w *harness){
		"of two edits of equal revisions the later is a conflict": func(w *harness) {
			so(edit(w, "r1", 0, "x").Code, eq, codeDone)
			second := edit(w, "r2", 0, "y")
			so(second.Code, eq, codeConflict)
			so(second.Revision, eq, 1)
			so(w.state.View.Sections["a"].Text, eq, "x")
		},
		"a resend gets the first answer even after later edits": func(w *harness) {
			first := edit(w, "r1", 0, "x")
			edit(w, "r2", 1, "y")
			so(edit(w, "r1", 0, "x"), convey.ShouldResemble, first)
			so(w.state.View.Sections["a"].Revision, eq, 2)
		},
		"a resend of a conflict stays a conflict": func(w *harness) {
			so(edit(w, "r1", 1, "x").Code, eq, codeConflict)
			edit(w, "r2", 0, "y")
			so(edit(w, "r1", 1, "x").Code, eq, codeConflict)
		},
		"the same id with other content is refused": func(w *harness) {
			edit(w, "r1", 0, "x")
			so(edit(w, "r1", 0, "y").Code, eq, codeReused)
			so(edit(w, "r1", 1, "x").Code, eq, codeReused)
		},
		"a role of another team is refused and named": func(w *harness) {
			w.apply(Command{Section: &sectionCommand{Team: "b", Request: "q", Roles: []string{"app"}}})
			a := edit(w, "r1", 0, "x", "app", "own")
			so(a.Code, eq, codeRoleTaken)
			so(a.Names, convey.ShouldResemble, []string{"app"})
			w.apply(Command{Section: &sectionCommand{Team: "b", Request: "q2", Replaces: 1}})
			so(edit(w, "r2", 0, "x", "app").Code, eq, codeDone)
		},
		"history and request ids are bounded": func(w *harness) {
			for i := range RequestWindow + 10 {
				edit(w, fmt.Sprint(i), uint64(i), "x")
			}
			so(w.state.Histories["a"], convey.ShouldHaveLength, HistoryRevisions)
			so(w.state.Histories["a"][HistoryRevisions-1].Revision, eq, RequestWindow+10)
			so(w.state.Requests["a"], convey.ShouldHaveLength, RequestWindow)
			so(edit(w, "0", 0, "x").Code, eq, codeConflict)
		},
		"the document's index is that of the newest accepted edit": func(w *harness) {
			a := edit(w, "r1", 0, "x")
			edit(w, "r2", 0, "x")
			so(w.state.View.Document, eq, a.Index)
		},
	}
	convey.Convey("Edits of one section", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() { c(newHarness()) })
		}
	})
}

// TestMachine guards against deltas that do not add up to the view, views that
// change in place and snapshots that lose state.
func TestMachine(t *testing.T) {
	apply := func(m *machine, index uint64, c Command) {
		b, err := encode(c)
		convey.So(err, convey.ShouldBeNil)
		m.Apply(index, b)
	}
	register := func(n string) Command {
		return Command{Register: &registerCommand{Host: jacinthtiller.Host{Name: n, Domain: "a", Incarnation: "1"}}}
	}
	convey.Convey("Given a machine with some entries", t, func() {
		m := newMachine(nil)
		apply(m, 3, register("h1"))
		first := m.state().View
		apply(m, 4, register("h2"))
		apply(m, 5, Command{Barrier: &barrierCommand{}})
		convey.So(m.state().View.Index, convey.ShouldEqual, 4)
		apply(m, 6, Command{EndLease: &endLeaseCommand{Host: "h1", Incarnation: "1"}})
		apply(m, 7, Command{Forget: &forgetCommand{Host: "h1"}})
		convey.So(first.Hosts, convey.ShouldContainKey, "h1")
		convey.So(first.Hosts, convey.ShouldNotContainKey, "h2")
		convey.So(first.Hosts["h1"].LeaseEnded, convey.ShouldBeFalse)

		convey.Convey("a delta leads from an older view to the newest", func() {
			d, _ := m.delta(3, true)
			v, ok := first.With(d.delta)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(v, convey.ShouldResemble, m.state().View)
			convey.So(d.delta.From, convey.ShouldEqual, 3)
		})
		convey.Convey("watchers share one encoded delta and one ahead gets nothing", func() {
			d, _ := m.delta(3, true)
			again, _ := m.delta(3, true)
			convey.So(again, convey.ShouldEqual, d)
			ahead, _ := m.delta(8, true)
			convey.So(ahead, convey.ShouldBeNil)
			convey.So(m.heartbeat(8), convey.ShouldBeNil)
			convey.So(m.heartbeat(7), convey.ShouldNotBeNil)
		})
		convey.Convey("a watcher that lags too far gets a full view", func() {
			for i := range uint64(maxRecentChanges) + 1 {
				apply(m, 10+i, register(fmt.Sprint("x", i)))
			}
			d, _ := m.delta(3, true)
			convey.So(d.delta.From, convey.ShouldEqual, 0)
			v, _ := jacinthtiller.View{}.With(d.delta)
			convey.So(v, convey.ShouldResemble, m.state().View)
			near, _ := m.delta(12, true)
			convey.So(near.delta.From, convey.ShouldEqual, 12)
		})
		convey.Convey("a snapshot restores the same state, and older watchers get a full view", func() {
			b, err := m.Snapshot()
			convey.So(err, convey.ShouldBeNil)
			other := newMachine(nil)
			convey.So(other.Restore(b), convey.ShouldBeNil)
			again, err := other.Snapshot()
			convey.So(err, convey.ShouldBeNil)
			convey.So(again, convey.ShouldResemble, b)
			d, _ := other.delta(3, true)
			convey.So(d.delta.From, convey.ShouldEqual, 0)
		})
		convey.Convey("an entry that cannot be read changes nothing", func() {
			before := m.state()
			m.Apply(9, []byte{0xff})
			convey.So(m.state(), convey.ShouldResemble, before)
		})
	})
}

// TestOperators guards against an operator who edits a section of another team.
func TestOperators(t *testing.T) {
	const sum = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b" // of "secret"
	text := "- {name: ana, token-sha256: " + sum + ", teams: [semintele]}\n- {name: root, token-sha256: " + sum + ", teams: ['*']}\n"
	convey.Convey("Operators are held to their teams", t, func() {
		o, err := ParseOperators([]byte(text))
		convey.So(err, convey.ShouldBeNil)
		cases := map[string]struct {
			who  Operator
			team string
			ok   bool
		}{
			"own team":     {Operator{"ana", "secret"}, "semintele", true},
			"other team":   {Operator{"ana", "secret"}, "kit", false},
			"group":        {Operator{"ana", "secret"}, AllTeams, false},
			"wrong token":  {Operator{"ana", "Secret"}, "semintele", false},
			"unknown name": {Operator{"eve", "secret"}, "semintele", false},
			"no name":      {Operator{}, "semintele", false},
			"every team":   {Operator{"root", "secret"}, "kit", true},
		}
		for name, c := range cases {
			convey.Convey(name, func() {
				convey.So(o.allow(c.who, c.team) == nil, convey.ShouldEqual, c.ok)
			})
		}
		convey.Convey("without a file everybody may edit", func() {
			var none *Operators
			convey.So(none.allow(Operator{}, "kit"), convey.ShouldBeNil)
		})
	})
	faults := map[string]string{
		"unknown key": "- {name: a, token: b}",
		"short sum":   "- {name: a, token-sha256: abcd}",
		"twice":       strings.Replace(text, "root", "ana", 1),
		"no name":     "- {token-sha256: " + sum + "}",
	}
	convey.Convey("Faulty files are refused", t, func() {
		for name, f := range faults {
			convey.Convey(name, func() {
				_, err := ParseOperators([]byte(f))
				convey.So(err, convey.ShouldNotBeNil)
			})
		}
	})
}
