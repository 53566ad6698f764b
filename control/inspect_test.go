package control

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// countingInspector fakes a platform whose targets lead when they report that they do or have been promoted. It records
// when targets are inspected.
type countingInspector struct {
	mu          sync.Mutex
	inspections []time.Time
	promoted    map[string]bool
	// leadsFrom is when the primaries begin to lead.
	leadsFrom time.Time
	// report receives the reports of promoted targets.
	report func(context.Context, jacinthtiller.TargetReport) error
}

func (i *countingInspector) Inspect(_ context.Context, t jacinthtiller.Target) (jacinthtiller.TargetStatus, error) {
	i.mu.Lock()
	i.inspections = append(i.inspections, time.Now())
	promoted := i.promoted[t.Name]
	i.mu.Unlock()
	time.Sleep(25 * time.Millisecond) // a round trip between regions
	if promoted {
		return jacinthtiller.TargetStatus{Role: jacinthtiller.RolePrimary, Term: 4}, nil
	}
	if t.Role == jacinthtiller.RolePrimary && !time.Now().Before(i.leadsFrom) {
		return jacinthtiller.TargetStatus{Role: jacinthtiller.RolePrimary, Term: 1}, nil
	}
	return jacinthtiller.TargetStatus{Role: jacinthtiller.RoleReplica}, nil
}

func (i *countingInspector) StepDown(context.Context, jacinthtiller.Target, uint64) (jacinthtiller.TargetStatus, error) {
	return jacinthtiller.TargetStatus{}, nil
}

func (i *countingInspector) Promote(ctx context.Context, o jacinthtiller.PromoteOrder) error {
	time.Sleep(25 * time.Millisecond)
	i.mu.Lock()
	i.promoted[o.Target] = true
	i.mu.Unlock()
	r := targetReport(o.Target, o.Database, o.Target+":1", 100, 2)
	r.Role = jacinthtiller.RolePrimary
	return i.report(ctx, r)
}

// maxWithin returns the greatest number of inspections that began within the time.
func (i *countingInspector) maxWithin(within time.Duration) int {
	slices.SortFunc(i.inspections, time.Time.Compare)
	most := 0
	for n, first := 0, 0; n < len(i.inspections); n++ {
		for i.inspections[n].Sub(i.inspections[first]) >= within {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// TestMassFailover guards against inspections that grow with databases times targets times attempts when all databases
// look for a primary at once: each inspection opens a connection, which saturated the leader of control at 300 machines.
func TestMassFailover(t *testing.T) {
	const databases = 480
	start := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC) // of the virtual time
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	cases := map[string]struct {
		// lead is when the primaries begin to lead, and reported whether their reports show it already.
		lead     time.Time
		reported bool
		term     uint64
		// until is when all must have a primary, and inspections limits the inspections until then.
		until       time.Time
		inspections int
	}{
		"first start, the primaries lead":                   {at(0), true, 0, at(1.5), 2 * databases},
		"first start, the primaries lead a little later":    {at(1), true, 0, at(2.5), 4 * databases},
		"first start, no target reports that it leads":      {at(0), false, 0, at(10), 6 * databases},
		"all primaries were lost, which may take 10 s each": {at(0), true, 3, at(10), 6 * databases},
	}
	convey.Convey("480 databases of three targets without a primary, in virtual time", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				var withPrimary, most, asked int
				synctest.Test(t, func(t *testing.T) {
					i := &countingInspector{promoted: map[string]bool{}, leadsFrom: c.lead}
					s, err := newServer(Config{
						Name: "c1", Members: map[string]string{"c1": "http://c1"}, Operators: &Operators{}, Inspector: i, Promoter: i,
					})
					if err != nil {
						t.Fatal(err)
					}
					i.report = s.Report
					var index uint64
					for d := range databases {
						for r := range 3 {
							n := fmt.Sprintf("t%d-%d", d, r)
							report := targetReport(n, fmt.Sprint("db", d), n+":1", 100, 1)
							if r == 0 && c.reported {
								report.Role = jacinthtiller.RolePrimary
							}
							index++
							s.machine.current, _, _ = apply(s.machine.current, index, Command{Enlist: &enlistCommand{Report: report}})
						}
					}
					if c.term > 0 {
						v := s.machine.current.View
						v.Databases = maps.Clone(v.Databases)
						for n, d := range v.Databases {
							d.Term, d.FormerPrimary = c.term, d.TargetNames()[0]
							v.Databases[n] = d
						}
						s.machine.current.View = v
					}
					n := &fakeNode{machine: s.machine, leader: "c1", leads: true, changed: make(chan struct{}), index: index}
					s.start(n)
					time.Sleep(time.Until(c.until))
					for _, d := range s.machine.state().View.Databases {
						if d.Primary != "" {
							withPrimary++
						}
					}
					_ = s.Close()
					most, asked = i.maxWithin(100*time.Millisecond), len(i.inspections)
				})
				convey.So(withPrimary, convey.ShouldEqual, databases)
				convey.So(asked, convey.ShouldBeLessThanOrEqualTo, c.inspections)
				convey.So(most, convey.ShouldBeLessThanOrEqualTo, inspectBurst+inspectRate/10+1)
			})
		}
	})
}
