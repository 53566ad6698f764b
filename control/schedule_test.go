package control

import (
	"flag"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthtiller/jacinthtiller"
)

// simHost is a simulated entry host that acts on its view and its lease.
type simHost struct {
	name, domain string
	incarnation  int
	// leaseEnd is the end of its lease by the leader's clock; the host's clock runs up to 2% slower.
	leaseEnd time.Time
	// view is the view in force, which may be old.
	view jacinthtiller.View
	// givenUp holds the epochs that the host has given up.
	givenUp map[string]uint64
}

// simTarget is a simulated target; only the last position of its log matters.
type simTarget struct {
	domain     string
	position   jacinthtiller.Position
	fencedTerm uint64
}

// sim runs a random schedule of a group, its hosts and its targets. Decisions of the leader are committed some time
// after they are made, with other entries between.
type sim struct {
	*harness
	rt       *rapid.T
	hosts    []*simHost
	targets  map[string]*simTarget
	inflight []Command
	calls    []fenceCall
	// acknowledged is the newest position of a commit that a majority holds, by database.
	acknowledged map[string]jacinthtiller.Position
	// primaries holds the primary of each term of each database.
	primaries map[string]string
	edits     uint64
	// settled is the highest settled index that a leader has sent.
	settled uint64
	// reached counts the events that the schedule reached, so that a test that reaches none fails.
	reached map[string]int
}

var simDatabases = []string{"d1", "d2", "d3"}

func newSim(rt *rapid.T) *sim {
	s := &sim{
		harness: newHarness(), rt: rt, targets: map[string]*simTarget{},
		acknowledged: map[string]jacinthtiller.Position{}, primaries: map[string]string{}, reached: map[string]int{},
	}
	for i, d := range []string{"a", "a", "b", "b", "c"} {
		s.hosts = append(s.hosts, &simHost{name: fmt.Sprint("h", i), domain: d, givenUp: map[string]uint64{}})
	}
	for _, db := range simDatabases {
		for i, d := range []string{"a", "b", "c"} {
			s.targets[targetKey(db, fmt.Sprint("t", i))] = &simTarget{domain: d, position: jacinthtiller.Position{Term: 1, Index: 1}, fencedTerm: 1}
		}
	}
	return s
}

func (s *sim) draw(n int, what string) int { return rapid.IntRange(0, n-1).Draw(s.rt, what) }

func (s *sim) host() *simHost { return s.hosts[s.draw(len(s.hosts), "host")] }

func (s *sim) database() string { return simDatabases[s.draw(len(simDatabases), "database")] }

// commit applies one entry and checks the invariants between a state and the next.
func (s *sim) commit(c Command) commandResult {
	before := s.state
	a := s.apply(c)
	after := s.state
	if after.View.Index < before.View.Index {
		s.rt.Fatalf("view went back from %d to %d", before.View.Index, after.View.Index)
	}
	for n, old := range before.View.Sections {
		if after.View.Sections[n].Revision < old.Revision {
			s.rt.Fatalf("revision of %s went back", n)
		}
	}
	if len(after.Handovers) > len(before.Handovers) {
		s.reached["handovers"]++
	}
	for n, h := range after.View.Hosts {
		s.checkGone(h, before.View.Hosts[n])
	}
	for n, d := range after.View.Databases {
		s.checkDatabase(before, before.View.Databases[n], d)
	}
	return a
}

func (s *sim) checkGone(h, old jacinthtiller.Host) {
	for _, x := range s.hosts {
		if x.name == h.Name && h.LeaseEnded && !old.LeaseEnded && fmt.Sprint(x.incarnation) == h.Incarnation && s.now.Before(x.leaseEnd) {
			s.rt.Fatalf("host %s is gone %v before its lease ends", h.Name, x.leaseEnd.Sub(s.now))
		}
	}
}

func (s *sim) checkDatabase(before *state, old, d jacinthtiller.Database) {
	if d.Term < old.Term {
		s.rt.Fatalf("term of %s went back", d.Name)
	}
	for n, t := range d.Targets {
		was := old.Targets[n]
		if t.Epoch < was.Epoch || t.Owner != was.Owner && t.Epoch == was.Epoch {
			s.rt.Fatalf("epoch of %s went from %d to %d, owner from %q to %q", n, was.Epoch, t.Epoch, was.Owner, t.Owner)
		}
	}
	if d.Primary != "" {
		k := fmt.Sprintf("%s/%d", d.Name, d.Term)
		if s.primaries[k] != "" && s.primaries[k] != d.Primary {
			s.rt.Fatalf("term %s has primaries %s and %s", k, s.primaries[k], d.Primary)
		}
		s.primaries[k] = d.Primary
	}
	if d.Primary != "" && d.Term != old.Term || d.Primary != "" && old.Primary == "" {
		if p := s.targets[targetKey(d.Name, d.Primary)].position; !p.Covers(s.acknowledged[d.Name]) {
			s.rt.Fatalf("primary of %s is at %v, commit %v was acknowledged", d.Name, p, s.acknowledged[d.Name])
		}
	}
	if d.Term > old.Term && old.Primary != "" {
		s.reached["promotions"]++
		was := old.Targets[old.Primary]
		e := s.leader.leases[was.Owner]
		gaveUp := was.Owner == "" || d.Targets[old.Primary].Epoch > was.Epoch
		if !gaveUp && !before.View.Hosts[was.Owner].LeaseEnded && e != nil && s.now.Before(e.deadline) {
			s.rt.Fatalf("promotion of %s opened while the lease of %s may be valid", d.Name, was.Owner)
		}
	}
}

// mayAcknowledge reports whether the host would acknowledge writes of a database.
func (s *sim) mayAcknowledge(h *simHost, db string) bool {
	d := h.view.Databases[db]
	t := d.Targets[d.Primary]
	epoch, gave := h.givenUp[targetKey(db, d.Primary)]
	return s.now.Before(h.leaseEnd) && d.Primary != "" && t.Owner == h.name && (!gave || epoch < t.Epoch)
}

// checkActors checks that at most one host acts for a database, in its newest term.
func (s *sim) checkActors() {
	for _, db := range simDatabases {
		var actor string
		for _, h := range s.hosts {
			if !s.mayAcknowledge(h, db) {
				continue
			}
			if now := s.state.View.Databases[db]; h.view.Databases[db].Term != now.Term || actor != "" {
				s.rt.Fatalf("%s acts for %s in term %d; the term is %d and %q acts too",
					h.name, db, h.view.Databases[db].Term, now.Term, actor)
			}
			actor = h.name
		}
	}
}

// checkSettled checks that no host holds a lease under a view before the settled index.
func (s *sim) checkSettled() {
	for _, h := range s.hosts {
		if s.now.Before(h.leaseEnd) && h.view.Index < s.settled {
			s.rt.Fatalf("%s holds a lease under view %d, the settled index is %d", h.name, h.view.Index, s.settled)
		}
	}
}

// advance advances the clock; the leader decides unless a decision is in flight.
func (s *sim) advance(d time.Duration) {
	s.now = s.now.Add(d)
	if s.inflight != nil {
		return
	}
	out := s.leader.step(s.state, s.now)
	s.inflight = out.commands
	s.calls = append(s.calls, out.fences...)
}

func (s *sim) commitInflight() {
	if s.inflight != nil {
		s.commit(Command{Batch: s.inflight})
		s.inflight = nil
	}
}

// changeLeader starts a new leader, after the former one's last decision was committed or lost.
func (s *sim) changeLeader() {
	if s.draw(2, "committed") == 1 {
		s.commitInflight()
	}
	s.inflight, s.calls = nil, nil
	s.leader = newLeader()
}

func (s *sim) answerFence() {
	if len(s.calls) == 0 {
		return
	}
	i := s.draw(len(s.calls), "call")
	c := s.calls[i]
	s.calls = slices.Delete(s.calls, i, i+1)
	r := fenceResult{fenceCall: c}
	if s.draw(4, "fails") == 0 {
		r.err = errNoHeartbeat
	} else {
		t := s.targets[targetKey(c.database, c.target)]
		t.fencedTerm = max(t.fencedTerm, c.term)
		r.position = t.position
	}
	s.leader.recordFence(r, s.now)
}

func (s *sim) renew(h *simHost) {
	r := s.leader.renew(s.state, jacinthtiller.RenewRequest{
		Host: h.name, Incarnation: fmt.Sprint(h.incarnation), Index: h.view.Index,
	}, s.now)
	if r.LeaseMicroseconds > 0 {
		h.leaseEnd = s.now.Add(Lease + ClockRateBound)
		if i := s.leader.settledIndex(s.state, s.now); i > s.settled {
			s.settled = i
			s.reached["settled views"]++
		}
	}
}

func (s *sim) registerHost(h *simHost) {
	s.commit(Command{Register: &registerCommand{Host: jacinthtiller.Host{
		Name: h.name, Domain: h.domain, RPC: h.name, Incarnation: fmt.Sprint(h.incarnation),
	}}})
}

// crash replaces the host's process by one without state.
func (s *sim) crash(h *simHost) {
	h.incarnation++
	h.leaseEnd, h.view, h.givenUp = time.Time{}, jacinthtiller.View{}, map[string]uint64{}
}

func (s *sim) release(h *simHost) {
	c := endLeaseCommand{Host: h.name, Incarnation: fmt.Sprint(h.incarnation), Released: true}
	s.crash(h)
	s.commit(Command{EndLease: &c})
}

// giveUp lets a host report one of its targets as lost, or as drained.
func (s *sim) giveUp(h *simHost) {
	db := s.database()
	n := fmt.Sprint("t", s.draw(3, "target"))
	if t, ok := h.view.Target(db, n); ok && t.Owner == h.name {
		h.givenUp[targetKey(db, n)] = t.Epoch
		s.commit(Command{Lost: &lostCommand{Host: h.name, Database: db, Target: n, Epoch: t.Epoch}})
	}
}

func (s *sim) announce() {
	db, i := s.database(), s.draw(3, "target")
	n := fmt.Sprint("t", i)
	t := s.targets[targetKey(db, n)]
	role := jacinthtiller.RoleReplica
	if s.state.View.Databases[db].Term == 0 && i == 0 {
		role = jacinthtiller.RolePrimary
	}
	s.commit(Command{Observe: &observeCommand{
		Host: s.host().name, OwnerUnreachable: s.draw(2, "unreachable") == 1,
		Announcement: jacinthtiller.Announcement{
			Database: db, Target: n, Domain: t.domain, GroupSize: 3, Position: t.position.String(),
			Term: t.fencedTerm, Role: role, State: jacinthtiller.StateServing,
		},
	}})
}

// write lets the acting host of a database commit on the primary and some replicas.
func (s *sim) write() {
	db := s.database()
	for _, h := range s.hosts {
		d := h.view.Databases[db]
		if !s.mayAcknowledge(h, db) || s.targets[targetKey(db, d.Primary)].fencedTerm > d.Term {
			continue
		}
		p := s.targets[targetKey(db, d.Primary)]
		p.fencedTerm = d.Term
		p.position = jacinthtiller.Position{Term: d.Term, Index: p.position.Index + 1}
		held := 1
		for _, n := range d.TargetNames() {
			t := s.targets[targetKey(db, n)]
			if n != d.Primary && t.fencedTerm <= d.Term && s.draw(2, "replicates") == 1 {
				t.fencedTerm, t.position = d.Term, p.position
				held++
			}
		}
		if held >= d.Quorum() {
			s.acknowledged[db] = p.position
			s.reached["acknowledged commits"]++
		}
	}
}

func (s *sim) edit() {
	team := fmt.Sprint("team", s.draw(2, "team"))
	s.edits++
	s.commit(Command{Section: &sectionCommand{
		Team: team, Text: fmt.Sprint(s.edits), Request: fmt.Sprint(s.draw(20, "request")),
		Replaces: s.state.View.Sections[team].Revision - uint64(s.draw(2, "stale")),
	}})
}

func (s *sim) move() {
	db := s.database()
	s.commit(Command{Move: &moveCommand{
		Database: db, Term: s.state.View.Databases[db].Term, Target: fmt.Sprint("t", s.draw(3, "target")),
	}})
}

// unassign starts a handover at a moment that the leader's rebalancing would rarely choose.
func (s *sim) unassign() {
	db, n := s.database(), fmt.Sprint("t", s.draw(3, "target"))
	if t, ok := s.state.View.Target(db, n); ok {
		s.commit(Command{Unassign: &unassignCommand{Database: db, Target: n, Epoch: t.Epoch}})
	}
}

// restart replaces the state by the one restored from its snapshot.
func (s *sim) restart() {
	m := &machine{current: s.state}
	b, err := m.Snapshot()
	if err != nil {
		s.rt.Fatal(err)
	}
	other := newMachine(nil)
	if err := other.Restore(b); err != nil {
		s.rt.Fatal(err)
	}
	if !reflect.DeepEqual(s.state, other.state()) {
		s.rt.Fatalf("state changed from %+v to %+v by a snapshot", s.state, other.state())
	}
	s.state = other.state()
}

// actions returns the actions of the schedule, each as often as its weight.
func (s *sim) actions() map[string]func(*rapid.T) {
	weights := map[string]struct {
		times int
		run   func()
	}{
		"pass":   {8, func() { s.advance(time.Duration(1+s.draw(200, "ms")) * time.Millisecond) }},
		"long":   {1, func() { s.advance(Lease + ClockRateBound) }},
		"record": {8, s.commitInflight},
		"leader": {1, s.changeLeader},
		"fence":  {8, s.answerFence},
		"renew":  {10, func() { s.renew(s.host()) }},
		"all": {12, func() {
			for _, h := range s.hosts {
				h.view = s.state.View
				s.renew(h)
			}
		}},
		"start":    {6, func() { s.registerHost(s.host()) }},
		"deliver":  {8, func() { s.host().view = s.state.View }},
		"crash":    {1, func() { s.crash(s.host()) }},
		"release":  {1, func() { s.release(s.host()) }},
		"give up":  {2, func() { s.giveUp(s.host()) }},
		"announce": {8, s.announce},
		"write":    {8, s.write},
		"edit":     {2, s.edit},
		"move":     {1, s.move},
		"restart":  {1, s.restart},
		"take":     {2, s.unassign},
	}
	out := map[string]func(*rapid.T){"": func(*rapid.T) {
		s.checkActors()
		s.checkSettled()
	}}
	for name, w := range weights {
		for i := range w.times {
			out[fmt.Sprint(name, i)] = func(rt *rapid.T) { s.rt = rt; w.run() }
		}
	}
	return out
}

// TestSchedules guards against two hosts that act for a database, a primary without acknowledged commits, two primaries
// of a term, a promotion under a valid lease, a lease under a view before the settled index, and epochs, views or revisions
// that decrease.
func TestSchedules(t *testing.T) {
	steps := flag.Lookup("rapid.steps").Value.String()
	seed := flag.Lookup("rapid.seed").Value.String()
	fixed := []string{"1", "2", "3", "4", "5"}
	if seed != "0" {
		fixed = []string{seed}
	}
	for _, n := range fixed {
		t.Run("seed "+n, func(t *testing.T) {
			for k, v := range map[string]string{"rapid.seed": n, "rapid.steps": "1000", "rapid.nofailfile": "true"} {
				if err := flag.Set(k, v); err != nil {
					t.Fatal(err)
				}
			}
			seen := map[string]int{}
			rapid.Check(t, func(rt *rapid.T) {
				s := newSim(rt)
				for _, h := range s.hosts {
					s.registerHost(h)
				}
				rt.Repeat(s.actions())
				for k, v := range s.reached {
					seen[k] += v
				}
			})
			t.Logf("reached %v", seen)
			for _, k := range []string{"promotions", "handovers", "acknowledged commits", "settled views"} {
				if seen[k] < 100 {
					t.Errorf("the schedules reached only %d %s", seen[k], k)
				}
			}
		})
	}
	for k, v := range map[string]string{"rapid.seed": seed, "rapid.steps": steps} {
		if err := flag.Set(k, v); err != nil {
			t.Fatal(err)
		}
	}
}
