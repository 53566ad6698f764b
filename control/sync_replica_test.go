package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// syncPlatform fakes a group with one synchronous replica. Its primary has acknowledged commits up to index 100. It is used
// in virtual time.
type syncPlatform struct {
	mu      sync.Mutex // guards the fields below
	primary string
	term    uint64
	// received holds the last index of each target's log, whose term is the one that the target follows or led last.
	received map[string]uint64
	terms    map[string]uint64
	// down and deaf hold the targets that do not run, and those that receive nothing.
	down, deaf map[string]bool
	leadsAt    map[string]time.Time
	promotions []string
	// lost holds the targets that were promoted without all acknowledged commits.
	lost []string
}

const acknowledgedIndex = 100

func newSyncPlatform(received map[string]uint64) *syncPlatform {
	p := &syncPlatform{
		primary: "a", term: 3, received: maps.Clone(received), terms: map[string]uint64{}, down: map[string]bool{}, deaf: map[string]bool{},
		leadsAt: map[string]time.Time{},
	}
	for n := range received {
		p.terms[n] = 3
	}
	return p
}

func (p *syncPlatform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(time.Now())
	change()
}

// advance makes targets with an order lead, and the others receive the primary's log.
func (p *syncPlatform) advance(now time.Time) {
	for n, at := range p.leadsAt {
		if now.Before(at) || p.down[n] {
			continue
		}
		delete(p.leadsAt, n)
		if p.received[n] < acknowledgedIndex {
			p.lost = append(p.lost, n)
		}
		p.term++
		p.primary, p.terms[n] = n, p.term
	}
	if p.down[p.primary] {
		return
	}
	for n := range p.received {
		if !p.down[n] && !p.deaf[n] {
			p.received[n], p.terms[n] = p.received[p.primary], p.term
		}
	}
}

func (p *syncPlatform) Inspect(_ context.Context, t jacinthtiller.Target) (jacinthtiller.TargetStatus, error) {
	time.Sleep(25 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(time.Now())
	if p.down[t.Name] {
		return jacinthtiller.TargetStatus{}, syscall.ECONNREFUSED
	}
	role := jacinthtiller.RoleReplica
	if t.Name == p.primary {
		role = jacinthtiller.RolePrimary
	}
	return status(role, p.terms[t.Name], p.received[t.Name]), nil
}

func (p *syncPlatform) StepDown(context.Context, jacinthtiller.Target, uint64) (jacinthtiller.TargetStatus, error) {
	return jacinthtiller.TargetStatus{}, nil
}

func (p *syncPlatform) Promote(_ context.Context, o jacinthtiller.PromoteOrder) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down[o.Target] {
		return jacinthtiller.ErrTargetDown
	}
	p.promotions = append(p.promotions, o.Target)
	if o.Target != p.primary {
		p.leadsAt[o.Target] = time.Now().Add(300 * time.Millisecond)
	}
	return nil
}

// TestSyncedCommitsOfLeavingReplica guards against the loss of acknowledged commits when the primary of a group with a
// synchronous replica crashes while the only other holder of the commits is leaving, and against a group without a primary
// although a target with all of them is back.
func TestSyncedCommitsOfLeavingReplica(t *testing.T) {
	type timeline struct {
		s *Server
		p *syncPlatform
	}
	report := func(x timeline, target, address string, started int64, state jacinthtiller.TargetState) {
		r := targetReport(target, "db", address, started, 1)
		r.State = state
		_ = x.s.Report(context.Background(), r)
	}
	address := func(n string) string { return directGroup().Targets[n].Address }
	leaves := func(n string) func(timeline) {
		return func(x timeline) { report(x, n, address(n), 1, jacinthtiller.StateLeaving) }
	}
	crashes := func(n string) func(timeline) {
		return func(x timeline) { x.p.set(func() { x.p.down[n] = true }) }
	}
	returns := func(n string) func(timeline) {
		return func(x timeline) { x.p.set(func() { x.p.down[n] = false }) }
	}
	// exits replaces b by d, which has its address and its log.
	exits := func(x timeline) {
		x.p.set(func() {
			x.p.down["b"] = true
			x.p.received["d"], x.p.terms["d"] = x.p.received["b"], x.p.terms["b"]
		})
		report(x, "d", address("b"), 50, jacinthtiller.StateServing)
	}
	cases := map[string]struct {
		received map[string]uint64
		deaf     []string
		// leaving is a target whose report was acknowledged by an earlier leader.
		leaving string
		// events holds what happens, by milliseconds after the start.
		events map[int64]func(timeline)
		// promotions are the expected orders, and primary the expected primary after 20 s.
		promotions []string
		primary    string
		// awayMilliseconds bounds the time without a primary.
		awayMilliseconds int64
	}{
		"the holder leads until the other has its log": {
			received: map[string]uint64{"a": 100, "b": 100, "c": 80}, deaf: []string{"c"},
			events: map[int64]func(timeline){
				1000: leaves("b"), 2000: crashes("a"), 3000: func(x timeline) { x.p.set(func() { x.p.deaf["c"] = false }) },
			},
			promotions: []string{"b", "c"}, primary: "c", awayMilliseconds: 1600,
		},
		"the other receives nothing, and the holder's successor takes over": {
			received: map[string]uint64{"a": 100, "b": 100, "c": 80}, deaf: []string{"c"},
			events: map[int64]func(timeline){
				1000: leaves("b"), 2000: crashes("a"), 9000: exits, 12_000: returns("a"),
			},
			promotions: []string{"b", "d"}, primary: "d", awayMilliseconds: 9000,
		},
		"the holder's time to leave is over, and the primary comes back": {
			received: map[string]uint64{"a": 100, "b": 100, "c": 80}, deaf: []string{"c"}, leaving: "b",
			events:     map[int64]func(timeline){2000: crashes("a"), 9000: returns("a")},
			promotions: nil, primary: "a", awayMilliseconds: 8000,
		},
		"a serving holder is lost, and the primary comes back": {
			received:   map[string]uint64{"a": 100, "b": 100, "c": 80},
			deaf:       []string{"c"},
			events:     map[int64]func(timeline){1500: crashes("b"), 2000: crashes("a"), 9000: returns("a")},
			promotions: nil, primary: "a", awayMilliseconds: 8000,
		},
		"the primary leaves, and a replica is lost": {
			received:   map[string]uint64{"a": 100, "b": 100, "c": 80},
			events:     map[int64]func(timeline){1500: crashes("c"), 2000: leaves("a")},
			promotions: []string{"b"}, primary: "b", awayMilliseconds: 1600,
		},
	}
	convey.Convey("A group with one synchronous replica, in virtual time", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				var promotions, lost []string
				var primary string
				var away int64
				synctest.Test(t, func(t *testing.T) {
					d := directGroup()
					for _, n := range d.TargetNames() {
						x := d.Targets[n]
						x.StartedMilliseconds = 1
						d = d.WithTarget(x)
					}
					if c.leaving != "" {
						d = withState(d, c.leaving, jacinthtiller.StateLeaving)
					}
					p := newSyncPlatform(c.received)
					for _, n := range c.deaf {
						p.deaf[n] = true
					}
					s := newGroupServer(t, p, d)
					s.machine.current.View.Edition = &jacinthtiller.Edition{
						Number: 1, Groups: map[string]jacinthtiller.Group{"db": {SyncReplicas: 1}},
					}
					startLeader(s)
					for ms := int64(0); ms < 20_000; ms += 10 {
						if event := c.events[ms]; event != nil {
							event(timeline{s, p})
						}
						primary = s.machine.state().View.Databases["db"].Primary
						if primary == "" {
							away += 10
						}
						p.set(func() {
							if p.down["a"] && primary == "a" {
								s.recordSuspicion("db", "a", "h1", time.Now())
							}
						})
						time.Sleep(10 * time.Millisecond)
					}
					_ = s.Close()
					promotions, lost = slices.Clone(p.promotions), p.lost
				})
				convey.So(lost, convey.ShouldBeEmpty)
				convey.So(slices.Compact(promotions), convey.ShouldResemble, c.promotions)
				convey.So(primary, convey.ShouldEqual, c.primary)
				convey.So(away, convey.ShouldBeLessThanOrEqualTo, c.awayMilliseconds)
			})
		}
	})
}
