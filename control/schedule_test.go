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

// simHost is an entry host that believes its view and its lease.
type simHost struct {
	name, domain string
	incarnation  int
	// until is the end of its lease by the leader's clock; its own clock runs up to 2% slower.
	until time.Time
	// view is what it has in force, which may be old.
	view jacinthtiller.View
	// gave holds the epochs that it has given up.
	gave map[string]uint64
}

// simTarget is a target with its log, of which only the last position matters.
type simTarget struct {
	domain   string
	position jacinthtiller.Position
	fence    uint64
}

// sim runs a random schedule of a group, its hosts and its targets. Decisions of
// the leader are recorded some time after they are made, and other entries come between.
type sim struct {
	*world
	rt       *rapid.T
	hosts    []*simHost
	targets  map[string]*simTarget
	inflight []Command
	calls    []fenceCall
	// acked is the newest position of a commit that a majority holds, by database.
	acked map[string]jacinthtiller.Position
	// led is the primary of each term of each database.
	led   map[string]string
	edits uint64
	// seen counts what the schedule reached, so that a test which reaches nothing is noticed.
	seen map[string]int
}

var simDatabases = []string{"d1", "d2", "d3"}

func newSim(rt *rapid.T) *sim {
	s := &sim{
		world: newWorld(), rt: rt, targets: map[string]*simTarget{},
		acked: map[string]jacinthtiller.Position{}, led: map[string]string{}, seen: map[string]int{},
	}
	for i, d := range []string{"a", "a", "b", "b", "c"} {
		s.hosts = append(s.hosts, &simHost{name: fmt.Sprint("h", i), domain: d, gave: map[string]uint64{}})
	}
	for _, db := range simDatabases {
		for i, d := range []string{"a", "b", "c"} {
			s.targets[targetKey(db, fmt.Sprint("t", i))] = &simTarget{domain: d, position: jacinthtiller.Position{Term: 1, Index: 1}, fence: 1}
		}
	}
	return s
}

func (s *sim) pick(n int, what string) int { return rapid.IntRange(0, n-1).Draw(s.rt, what) }

func (s *sim) host() *simHost { return s.hosts[s.pick(len(s.hosts), "host")] }

func (s *sim) database() string { return simDatabases[s.pick(len(simDatabases), "database")] }

// record applies one entry and checks what must hold between a state and the next.
func (s *sim) record(c Command) commandResult {
	before := s.s
	a := s.do(c)
	after := s.s
	if after.View.Index < before.View.Index {
		s.rt.Fatalf("view went back from %d to %d", before.View.Index, after.View.Index)
	}
	for n, old := range before.View.Sections {
		if after.View.Sections[n].Revision < old.Revision {
			s.rt.Fatalf("revision of %s went back", n)
		}
	}
	if len(after.Handovers) > len(before.Handovers) {
		s.seen["handovers"]++
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
		if x.name == h.Name && h.Gone && !old.Gone && fmt.Sprint(x.incarnation) == h.Incarnation && s.now.Before(x.until) {
			s.rt.Fatalf("host %s is gone %v before its lease ends", h.Name, x.until.Sub(s.now))
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
		if s.led[k] != "" && s.led[k] != d.Primary {
			s.rt.Fatalf("term %s has primaries %s and %s", k, s.led[k], d.Primary)
		}
		s.led[k] = d.Primary
	}
	if d.Primary != "" && d.Term != old.Term || d.Primary != "" && old.Primary == "" {
		if p := s.targets[targetKey(d.Name, d.Primary)].position; !p.Covers(s.acked[d.Name]) {
			s.rt.Fatalf("primary of %s is at %v, commit %v was acknowledged", d.Name, p, s.acked[d.Name])
		}
	}
	if d.Term > old.Term && old.Primary != "" {
		s.seen["promotions"]++
		was := old.Targets[old.Primary]
		e := s.l.leases[was.Owner]
		gaveUp := was.Owner == "" || d.Targets[old.Primary].Epoch > was.Epoch
		if !gaveUp && !before.View.Hosts[was.Owner].Gone && e != nil && s.now.Before(e.deadline) {
			s.rt.Fatalf("promotion of %s opened while the lease of %s may be valid", d.Name, was.Owner)
		}
	}
}

// acts reports whether the host would acknowledge writes of a database.
func (s *sim) acts(h *simHost, db string) bool {
	d := h.view.Databases[db]
	t := d.Targets[d.Primary]
	epoch, gave := h.gave[targetKey(db, d.Primary)]
	return s.now.Before(h.until) && d.Primary != "" && t.Owner == h.name && (!gave || epoch < t.Epoch)
}

// check holds at every moment: at most one host acts for a database, in its newest term.
func (s *sim) check() {
	for _, db := range simDatabases {
		var actor string
		for _, h := range s.hosts {
			if !s.acts(h, db) {
				continue
			}
			if now := s.s.View.Databases[db]; h.view.Databases[db].Term != now.Term || actor != "" {
				s.rt.Fatalf("%s acts for %s in term %d; the term is %d and %q acts too",
					h.name, db, h.view.Databases[db].Term, now.Term, actor)
			}
			actor = h.name
		}
	}
}

// pass lets time pass; the leader decides unless a decision is on its way.
func (s *sim) pass(d time.Duration) {
	s.now = s.now.Add(d)
	if s.inflight != nil {
		return
	}
	out := s.l.step(s.s, s.now)
	s.inflight = out.commands
	s.calls = append(s.calls, out.fences...)
}

func (s *sim) recordInflight() {
	if s.inflight != nil {
		s.record(Command{Batch: s.inflight})
		s.inflight = nil
	}
}

// changeLeader starts a new leader, which has applied the former one's last decision or replaced it.
func (s *sim) changeLeader() {
	if s.pick(2, "committed") == 1 {
		s.recordInflight()
	}
	s.inflight, s.calls = nil, nil
	s.l = newLeader()
}

func (s *sim) answerFence() {
	if len(s.calls) == 0 {
		return
	}
	i := s.pick(len(s.calls), "call")
	c := s.calls[i]
	s.calls = slices.Delete(s.calls, i, i+1)
	r := fenceResult{fenceCall: c}
	if s.pick(4, "fails") == 0 {
		r.err = errNoHeartbeat
	} else {
		t := s.targets[targetKey(c.database, c.target)]
		t.fence = max(t.fence, c.term)
		r.position = t.position
	}
	s.l.recordFence(r, s.now)
}

func (s *sim) renew(h *simHost) {
	r := s.l.renew(s.s, jacinthtiller.RenewRequest{
		Host: h.name, Incarnation: fmt.Sprint(h.incarnation), Index: h.view.Index,
	}, s.now)
	if r.LeaseMicroseconds > 0 {
		h.until = s.now.Add(Lease + ClockRateBound)
	}
}

func (s *sim) start(h *simHost) {
	s.record(Command{Register: &registerCommand{Host: jacinthtiller.Host{
		Name: h.name, Domain: h.domain, RPC: h.name, Incarnation: fmt.Sprint(h.incarnation),
	}}})
}

// crash replaces the host's process by one that knows nothing.
func (s *sim) crash(h *simHost) {
	h.incarnation++
	h.until, h.view, h.gave = time.Time{}, jacinthtiller.View{}, map[string]uint64{}
}

func (s *sim) release(h *simHost) {
	c := goneCommand{Host: h.name, Incarnation: fmt.Sprint(h.incarnation), Released: true}
	s.crash(h)
	s.record(Command{Gone: &c})
}

// giveUp lets a host report one of its targets as lost, or as drained.
func (s *sim) giveUp(h *simHost) {
	db := s.database()
	n := fmt.Sprint("t", s.pick(3, "target"))
	if t, ok := h.view.Target(db, n); ok && t.Owner == h.name {
		h.gave[targetKey(db, n)] = t.Epoch
		s.record(Command{Lost: &lostCommand{Host: h.name, Database: db, Target: n, Epoch: t.Epoch}})
	}
}

func (s *sim) announce() {
	db, i := s.database(), s.pick(3, "target")
	n := fmt.Sprint("t", i)
	t := s.targets[targetKey(db, n)]
	role := jacinthtiller.RoleReplica
	if s.s.View.Databases[db].Term == 0 && i == 0 {
		role = jacinthtiller.RolePrimary
	}
	s.record(Command{Observe: &observeCommand{
		Host: s.host().name, OwnerUnreachable: s.pick(2, "unreachable") == 1,
		Announcement: jacinthtiller.Announcement{
			Database: db, Target: n, Domain: t.domain, GroupSize: 3, Position: t.position.String(),
			Term: t.fence, Role: role, State: jacinthtiller.StateServing,
		},
	}})
}

// write lets the acting host of a database commit on the primary and some replicas.
func (s *sim) write() {
	db := s.database()
	for _, h := range s.hosts {
		d := h.view.Databases[db]
		if !s.acts(h, db) || s.targets[targetKey(db, d.Primary)].fence > d.Term {
			continue
		}
		p := s.targets[targetKey(db, d.Primary)]
		p.fence = d.Term
		p.position = jacinthtiller.Position{Term: d.Term, Index: p.position.Index + 1}
		held := 1
		for _, n := range d.TargetNames() {
			t := s.targets[targetKey(db, n)]
			if n != d.Primary && t.fence <= d.Term && s.pick(2, "replicates") == 1 {
				t.fence, t.position = d.Term, p.position
				held++
			}
		}
		if held >= d.Quorum() {
			s.acked[db] = p.position
			s.seen["acknowledged commits"]++
		}
	}
}

func (s *sim) edit() {
	team := fmt.Sprint("team", s.pick(2, "team"))
	s.edits++
	s.record(Command{Section: &sectionCommand{
		Team: team, Text: fmt.Sprint(s.edits), Request: fmt.Sprint(s.pick(20, "request")),
		Replaces: s.s.View.Sections[team].Revision - uint64(s.pick(2, "stale")),
	}})
}

func (s *sim) move() {
	db := s.database()
	s.record(Command{Move: &moveCommand{
		Database: db, Term: s.s.View.Databases[db].Term, Target: fmt.Sprint("t", s.pick(3, "target")),
	}})
}

// takeAway starts a handover at a moment that the leader's balance would rarely choose.
func (s *sim) takeAway() {
	db, n := s.database(), fmt.Sprint("t", s.pick(3, "target"))
	if t, ok := s.s.View.Target(db, n); ok {
		s.record(Command{Unassign: &unassignCommand{Database: db, Target: n, Epoch: t.Epoch}})
	}
}

// restart replaces the state by the one from its snapshot.
func (s *sim) restart() {
	m := &machine{current: s.s}
	b, err := m.Snapshot()
	if err != nil {
		s.rt.Fatal(err)
	}
	other := newMachine(nil)
	if err := other.Restore(b); err != nil {
		s.rt.Fatal(err)
	}
	if !reflect.DeepEqual(s.s, other.state()) {
		s.rt.Fatalf("state changed from %+v to %+v by a snapshot", s.s, other.state())
	}
	s.s = other.state()
}

// actions are what can happen, each as often as its number says.
func (s *sim) actions() map[string]func(*rapid.T) {
	weights := map[string]struct {
		times int
		run   func()
	}{
		"pass":   {8, func() { s.pass(time.Duration(1+s.pick(200, "ms")) * time.Millisecond) }},
		"long":   {1, func() { s.pass(Lease + ClockRateBound) }},
		"record": {8, s.recordInflight},
		"leader": {1, s.changeLeader},
		"fence":  {8, s.answerFence},
		"renew":  {10, func() { s.renew(s.host()) }},
		"all": {12, func() {
			for _, h := range s.hosts {
				h.view = s.s.View
				s.renew(h)
			}
		}},
		"start":    {6, func() { s.start(s.host()) }},
		"deliver":  {8, func() { s.host().view = s.s.View }},
		"crash":    {1, func() { s.crash(s.host()) }},
		"release":  {1, func() { s.release(s.host()) }},
		"give up":  {2, func() { s.giveUp(s.host()) }},
		"announce": {8, s.announce},
		"write":    {8, s.write},
		"edit":     {2, s.edit},
		"move":     {1, s.move},
		"restart":  {1, s.restart},
		"take":     {2, s.takeAway},
	}
	out := map[string]func(*rapid.T){"": func(*rapid.T) { s.check() }}
	for name, w := range weights {
		for i := range w.times {
			out[fmt.Sprint(name, i)] = func(rt *rapid.T) { s.rt = rt; w.run() }
		}
	}
	return out
}

// TestSchedules guards against two hosts that act for a database, a primary
// without acknowledged commits, two primaries of a term, a promotion under a
// valid lease, and epochs, views or revisions that go back.
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
					s.start(h)
				}
				rt.Repeat(s.actions())
				for k, v := range s.seen {
					seen[k] += v
				}
			})
			t.Logf("reached %v", seen)
			for _, k := range []string{"promotions", "handovers", "acknowledged commits"} {
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
