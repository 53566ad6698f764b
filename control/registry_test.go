package control

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/jacinthtiller/jacinthtiller"
)

func targetReport(target, database, address string, startedMilliseconds int64, sequence uint64) jacinthtiller.TargetReport {
	return jacinthtiller.TargetReport{
		Target: target, Database: database, Address: address, Role: jacinthtiller.RoleReplica,
		State: jacinthtiller.StateServing, StartedMilliseconds: startedMilliseconds, Sequence: sequence,
	}
}

// TestEnlist guards against reports that arrive late, from another incarnation, or from an address that another target
// has taken over.
func TestEnlist(t *testing.T) {
	convey.Convey("A group of one target", t, func() {
		s := newState()
		do := func(c Command) commandResult {
			next, out, _ := apply(s, s.View.Index+1, c)
			s = next
			return out
		}
		enlist := func(r jacinthtiller.TargetReport) commandResult {
			return do(Command{Enlist: &enlistCommand{Report: r}})
		}
		targets := func(database string) []string { return s.View.Databases[database].TargetNames() }
		enlist(targetReport("a", "db", "10.0.0.1:1", 100, 5))
		convey.So(s.View.Databases["db"].Direct, convey.ShouldBeTrue)
		convey.Convey("applies a change of state, but not a late report of the former state", func() {
			leaving := targetReport("a", "db", "10.0.0.1:1", 100, 7)
			leaving.State = jacinthtiller.StateLeaving
			enlist(leaving)
			convey.So(enlist(targetReport("a", "db", "10.0.0.1:1", 100, 6)).Code, convey.ShouldEqual, codeStale)
			convey.So(s.View.Databases["db"].Targets["a"].State, convey.ShouldEqual, jacinthtiller.StateLeaving)
		})
		convey.Convey("accepts a younger incarnation of the name, but not an older one", func() {
			enlist(targetReport("a", "db", "10.0.0.1:1", 200, 1))
			convey.So(enlist(targetReport("a", "db", "10.0.0.1:1", 100, 9)).Code, convey.ShouldEqual, codeStale)
			convey.So(s.View.Databases["db"].Targets["a"].StartedMilliseconds, convey.ShouldEqual, 200)
		})
		convey.Convey("loses the target whose address a younger one uses, also in another group", func() {
			enlist(targetReport("z", "other", "10.0.0.1:1", 300, 1))
			convey.So(targets("db"), convey.ShouldBeEmpty)
			convey.So(targets("other"), convey.ShouldResemble, []string{"z"})
			convey.So(enlist(targetReport("a", "db", "10.0.0.1:1", 100, 9)).Code, convey.ShouldEqual, codeStale)
			convey.So(targets("other"), convey.ShouldResemble, []string{"z"})
		})
		convey.Convey("rejects a target that has left, but accepts its next incarnation", func() {
			do(Command{Delist: &delistCommand{Target: "a", StartedMilliseconds: 100}})
			convey.So(targets("db"), convey.ShouldBeEmpty)
			convey.So(enlist(targetReport("a", "db", "10.0.0.1:1", 100, 9)).Code, convey.ShouldEqual, codeStale)
			convey.So(enlist(targetReport("a", "db", "10.0.0.1:1", 101, 1)).Code, convey.ShouldEqual, codeDone)
		})
		convey.Convey("rejects outdated reports of a target that has left or leaves after a restart from a snapshot", func() {
			leaving := targetReport("b", "db", "10.0.0.2:1", 100, 7)
			leaving.State = jacinthtiller.StateLeaving
			enlist(leaving)
			do(Command{Delist: &delistCommand{Target: "a", StartedMilliseconds: 100}})
			b, err := encode(s)
			convey.So(err, convey.ShouldBeNil)
			s = newState()
			convey.So(decode(b, s), convey.ShouldBeNil)
			convey.So(enlist(targetReport("a", "db", "10.0.0.1:1", 100, 9)).Code, convey.ShouldEqual, codeStale)
			convey.So(enlist(targetReport("b", "db", "10.0.0.2:1", 100, 6)).Code, convey.ShouldEqual, codeStale)
			convey.So(targets("db"), convey.ShouldResemble, []string{"b"})
			convey.So(s.View.Databases["db"].Targets["b"].State, convey.ShouldEqual, jacinthtiller.StateLeaving)
		})
		convey.Convey("keeps the younger incarnation when the departure of the former one arrives late", func() {
			enlist(targetReport("a", "db", "10.0.0.1:1", 200, 1))
			convey.So(do(Command{Delist: &delistCommand{Target: "a", StartedMilliseconds: 100}}).Code, convey.ShouldEqual, codeStale)
			convey.So(targets("db"), convey.ShouldResemble, []string{"a"})
		})
		convey.Convey("keeps a target leaving that an operator asked to leave, until it has departed", func() {
			convey.So(do(Command{Leave: &leaveCommand{Database: "db", Target: "a"}}).Code, convey.ShouldEqual, codeDone)
			index := s.View.Index
			enlist(targetReport("a", "db", "10.0.0.1:1", 100, 8))
			convey.So(s.View.Databases["db"].Targets["a"].State, convey.ShouldEqual, jacinthtiller.StateLeaving)
			convey.So(s.isNewReport(targetReport("a", "db", "10.0.0.1:1", 100, 9)), convey.ShouldBeFalse)
			convey.So(s.View.Index, convey.ShouldEqual, index)
			enlist(targetReport("a", "db", "10.0.0.1:1", 200, 1))
			convey.So(s.View.Databases["db"].Targets["a"].State, convey.ShouldEqual, jacinthtiller.StateLeaving)
			do(Command{Delist: &delistCommand{Target: "a", StartedMilliseconds: 200}})
			enlist(targetReport("a", "db", "10.0.0.1:1", 300, 1))
			convey.So(s.View.Databases["db"].Targets["a"].State, convey.ShouldEqual, jacinthtiller.StateServing)
		})
		convey.Convey("does not change for a report without new information", func() {
			index := s.View.Index
			enlist(targetReport("a", "db", "10.0.0.1:1", 100, 8))
			convey.So(s.View.Index, convey.ShouldEqual, index)
		})
	})
}

// TestPrimaryCommands guards against applying decisions that are based on an outdated state.
func TestPrimaryCommands(t *testing.T) {
	convey.Convey("A group led by a in term 3", t, func() {
		s := newState()
		s.View.Databases["db"] = directGroup()
		do := func(c Command) resultCode {
			next, out, _ := apply(s, s.View.Index+1, c)
			s = next
			return out.Code
		}
		suspend := Command{SuspendPrimary: &suspendPrimaryCommand{Database: "db", Primary: "a", Term: 3}}
		record := func(target string, from, term uint64) Command {
			return Command{RecordPrimary: &recordPrimaryCommand{Database: "db", From: from, Term: term, Target: target}}
		}
		convey.So(do(record("b", 3, 4)), convey.ShouldEqual, codeStale)
		convey.So(do(Command{ChooseCandidate: &chooseCandidateCommand{Database: "db", Term: 3, Target: "b"}}), convey.ShouldEqual, codeStale)
		convey.So(do(suspend), convey.ShouldEqual, codeDone)
		convey.So(s.View.Databases["db"].PrimaryChangedIndex, convey.ShouldEqual, s.View.Index)
		convey.So(do(suspend), convey.ShouldEqual, codeStale)
		convey.So(do(Command{ChooseCandidate: &chooseCandidateCommand{Database: "db", Term: 3, Target: "b"}}), convey.ShouldEqual, codeDone)
		convey.So(do(record("b", 2, 4)), convey.ShouldEqual, codeStale)
		convey.So(do(record("x", 3, 4)), convey.ShouldEqual, codeStale)
		convey.So(do(record("b", 3, 4)), convey.ShouldEqual, codeDone)
		d := s.View.Databases["db"]
		convey.So(d.Primary, convey.ShouldEqual, "b")
		convey.So(d.FormerPrimary+d.Candidate, convey.ShouldEqual, "")
	})
}

// TestEditions guards against an edition that is replaced by a lower number, or whose content changes under its number,
// over generated sequences of concurrent, repeated and late editions.
func TestEditions(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newState()
		first := map[uint64]string{}
		var highest uint64
		for i := range rapid.IntRange(1, 40).Draw(r, "orders") {
			number := rapid.Uint64Range(1, 10).Draw(r, "number")
			text := fmt.Sprint(i)
			var out commandResult
			s, out, _ = apply(s, s.View.Index+1, Command{Edition: &editionCommand{
				Edition: jacinthtiller.Edition{Number: number}, Text: []byte(text),
			}})
			if number > highest {
				highest, first[number] = number, text
				if out.Code != codeDone {
					r.Fatalf("edition %d was not put in force: %s", number, out.Code)
				}
			} else if out.Code != codeOlder {
				r.Fatalf("edition %d after %d was answered %q", number, highest, out.Code)
			}
			if s.View.Edition.Number != highest || string(s.EditionText) != first[highest] {
				r.Fatalf("edition %d with %s is in force, not %d with %s", s.View.Edition.Number, s.EditionText, highest, first[highest])
			}
		}
		b, err := encode(s)
		if err != nil {
			r.Fatal(err)
		}
		restored := newState()
		if err := decode(b, restored); err != nil {
			r.Fatal(err)
		}
		if restored.View.Edition.Number != highest || string(restored.EditionText) != first[highest] {
			r.Fatalf("a snapshot loses the edition")
		}
	})
}
