package bench

import (
	"bytes"
	"errors"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestCompare guards against a check that misses a lost or duplicated write, or one that ran although it was reported as
// not run.
func TestCompare(t *testing.T) {
	cases := map[string]struct {
		state     writeState
		found     int64
		violation bool
	}{
		"acknowledged and present":    {writeAcknowledged, 1, false},
		"acknowledged and lost":       {writeAcknowledged, 0, true},
		"acknowledged and duplicated": {writeAcknowledged, 2, true},
		"not run and absent":          {writeNotRun, 0, false},
		"not run but present":         {writeNotRun, 1, true},
		"unknown and absent":          {writeUnknown, 0, false},
		"unknown and present":         {writeUnknown, 1, false},
		"unknown and duplicated":      {writeUnknown, 2, true},
	}
	convey.Convey("Entries are compared with what the guest was told", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				r := newRecorder(Plan{}, time.Now())
				g := &guest{name: "g", entries: []writeState{c.state}, recorder: r}
				g.checkEntries(map[int64]int64{1: c.found})
				convey.So(r.snapshot().ViolationCount > 0, convey.ShouldEqual, c.violation)
			})
		}
	})
}

// TestClassify guards against reporting a definite outcome that the error does not prove.
func TestClassify(t *testing.T) {
	cases := map[string]struct {
		err  error
		want jacinthtiller.Outcome
	}{
		"deadline passed":    {&pgconn.PgError{Code: "JT001"}, jacinthtiller.OutcomeNotRun},
		"outcome unknown":    {&pgconn.PgError{Code: "08007"}, jacinthtiller.OutcomeUnknown},
		"unique violation":   {&pgconn.PgError{Code: "23505"}, jacinthtiller.OutcomeNotRun},
		"admin shutdown":     {&pgconn.PgError{Code: "57P01"}, jacinthtiller.OutcomeNotRun},
		"broken connection":  {errors.New("unexpected EOF"), jacinthtiller.OutcomeUnknown},
		"connection refused": {errors.New("connect: refused"), jacinthtiller.OutcomeNotRun},
	}
	convey.Convey("An error is classified by the outcome that it proves", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() { convey.So(classify(c.err), convey.ShouldEqual, c.want) })
		}
	})
}

// TestPlan guards against accepting plans that cannot run.
func TestPlan(t *testing.T) {
	valid := Plan{Milliseconds: 1, Logins: []Login{{Team: "a", Guests: 1, URLs: map[string][]string{"d": {"u"}}}}}
	cases := map[string]struct {
		change  func(*Plan)
		invalid bool
	}{
		"good":          {func(*Plan) {}, false},
		"no time":       {func(p *Plan) { p.Milliseconds = 0 }, true},
		"no logins":     {func(p *Plan) { p.Logins = nil }, true},
		"long warm-up":  {func(p *Plan) { p.WarmupMilliseconds = 1 }, true},
		"negative rate": {func(p *Plan) { p.Rate = -1 }, true},
		"share above 1": {func(p *Plan) { p.ReadShare = 1.1 }, true},
	}
	convey.Convey("Plans are checked", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				p := valid
				c.change(&p)
				var e *PlanError
				convey.So(errors.As(p.Check(), &e), convey.ShouldEqual, c.invalid)
			})
		}
	})
}

// TestSteady guards against counting operations outside the interval in which all guests are active: a large team's last
// operations end after the load has stopped, when the small team has finished, and a share of 55% was measured as 43%.
func TestSteady(t *testing.T) {
	convey.Convey("Operations count as steady between the warm-up and the end of the load", t, func() {
		now := time.Now()
		for name, c := range map[string]struct {
			began time.Time
			want  int64
		}{
			"in the warm-up":              {now, 0},
			"while all guests are active": {now.Add(-30 * time.Second), 1},
			"after the end":               {now.Add(-2 * time.Minute), 0},
		} {
			convey.Convey(name, func() {
				r := newRecorder(Plan{Milliseconds: 60_000, WarmupMilliseconds: 10_000}, c.began)
				r.recordSuccess("a", kindRead, now)
				convey.So(r.snapshot().Steady["a"], convey.ShouldEqual, c.want)
				convey.So(r.snapshot().Teams["a"].Count, convey.ShouldEqual, 1)
				convey.So(r.snapshot().SteadyMilliseconds, convey.ShouldEqual, 50_000)
			})
		}
	})
}

// TestResult guards against results that change when they are stored.
func TestResult(t *testing.T) {
	convey.Convey("A stored result is read back and compared", t, func() {
		r := newRecorder(Plan{Seed: 3}, time.Now())
		r.recordSuccess("a", kindWrite, time.Now().Add(-time.Millisecond))
		r.recordFailure("a", jacinthtiller.OutcomeNotRun, &pgconn.PgError{Code: "JT001"})
		r.endLoad(time.Now())
		path := filepath.Join(t.TempDir(), "r.json")
		convey.So(r.snapshot().WriteFile(path), convey.ShouldBeNil)
		got, err := ReadResult(path)
		convey.So(err, convey.ShouldBeNil)
		convey.So(got.Writes, convey.ShouldResemble, r.snapshot().Writes)
		convey.So(got.Failed["not-run JT001"], convey.ShouldEqual, 1)
		var b bytes.Buffer
		convey.So(Compare(&b, map[string]Result{"one": got, "two": got}), convey.ShouldBeNil)
		convey.So(b.String(), convey.ShouldContainSubstring, "write gap ms")
	})
}
