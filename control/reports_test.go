package control

import (
	"errors"
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestMassReports guards against a leader that receives the reports of all targets: 1,435 targets of 480 databases
// report 1,200 times a second to any of the processes, and nearly no report contains new information.
func TestMassReports(t *testing.T) {
	convey.Convey("A process that follows a leader", t, func() {
		const databases, replicas = 480, 3
		s, n, _ := startFake(t, Config{Operators: &Operators{}}, false)
		n.set("c2", false)
		report := func(database, target int, sequence uint64) jacinthtiller.TargetReport {
			name := fmt.Sprintf("t%d-%d", database, target)
			return targetReport(name, fmt.Sprint("db", database), name+":1", 100, sequence)
		}
		index := uint64(0)
		all := func(sequence uint64, do func(jacinthtiller.TargetReport)) {
			for d := range databases {
				for r := range replicas {
					do(report(d, r, sequence))
				}
			}
		}
		all(1, func(r jacinthtiller.TargetReport) {
			index++
			applyTo(s.machine, index, Command{Enlist: &enlistCommand{Report: r}})
		})
		redirected := func(r jacinthtiller.TargetReport) bool {
			var e *jacinthtiller.NotLeadingError
			return errors.As(s.Report(t.Context(), r), &e)
		}
		convey.Convey("accepts what it has recorded, and redirects none of these reports to the leader", func() {
			count := 0
			for sequence := range uint64(10) {
				all(2+sequence, func(r jacinthtiller.TargetReport) {
					if redirected(r) {
						count++
					}
				})
			}
			convey.So(count, convey.ShouldEqual, 0)
		})
		convey.Convey("redirects new information to the leader", func() {
			leaving, promoted, moved, restarted := report(7, 1, 9), report(7, 1, 9), report(7, 1, 9), report(7, 1, 9)
			leaving.State = jacinthtiller.StateLeaving
			promoted.Role = jacinthtiller.RolePrimary
			moved.Address = "elsewhere:1"
			restarted.StartedMilliseconds++
			for name, r := range map[string]jacinthtiller.TargetReport{
				"a target that leaves": leaving, "a change of role": promoted, "a new address": moved,
				"another incarnation": restarted, "an unknown target": targetReport("x", "db7", "x:1", 100, 1),
				"a report older than the recorded one": report(7, 1, 0),
			} {
				convey.Convey(name, func() { convey.So(redirected(r), convey.ShouldBeTrue) })
			}
		})
		convey.Convey("accepts none while it knows no leader, so that a target does not stay with a partitioned process", func() {
			n.set("", false)
			convey.So(redirected(report(7, 1, 9)), convey.ShouldBeTrue)
		})
	})
}

// BenchmarkEnlist measures one report with new information at the size that is expected in two years.
func BenchmarkEnlist(b *testing.B) {
	s := newState()
	for d := range 930 {
		for r := range 3 {
			name := fmt.Sprintf("t%d-%d", d, r)
			s, _, _ = apply(s, s.View.Index+1, Command{Enlist: &enlistCommand{Report: targetReport(name, fmt.Sprint("db", d), name+":1", 100, 1)}})
		}
	}
	sequence := uint64(1)
	for b.Loop() {
		sequence++
		r := targetReport("t7-1", "db7", "t7-1:1", int64(100+sequence), sequence)
		apply(s, s.View.Index+1, Command{Enlist: &enlistCommand{Report: r}})
	}
}
