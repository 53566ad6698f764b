package quorum_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/jacinthtiller/jacinthtiller/quorum"
)

var (
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the simulated schedules")
	seeds     = flag.Uint64("seeds", 150, "number of simulated schedules")
)

// disk is what a simulated member has synced.
type disk struct {
	identity string
	state    quorum.State
	snapshot quorum.Snapshot
	entries  []quorum.Entry
}

func (d *disk) save(e quorum.Effects) {
	if e.State != nil {
		d.state = *e.State
	}
	if e.Snapshot != nil {
		d.snapshot = *e.Snapshot
	}
	d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(x quorum.Entry) bool {
		return x.Index < e.FirstIndex || (e.ReplaceFrom != 0 && x.Index >= e.ReplaceFrom)
	})
	d.entries = append(d.entries, e.Entries...)
}

// member is one simulated process.
type member struct {
	name    string
	disk    disk
	core    *quorum.Core // nil while the process is down
	applied uint64
	// stateHash covers all applied entries in order.
	stateHash uint64
}

// simulation is the simulated network with what is known to be true of the group.
type simulation struct {
	randomInt    func(n int) int
	fail         func(format string, args ...any)
	now          time.Time
	initialNames []string
	members      []*member
	inFlight     []quorum.Message
	blockedLinks map[string]bool
	lastID       uint64
	// lostBeforeFirstCommit counts the folders lost before the first commit.
	lostBeforeFirstCommit int
	// lostDisks are the folders that were lost.
	lostDisks []disk
	// confirmedReads, lostFolders, installedSnapshots and membershipChanges count what the schedules have covered.
	confirmedReads, lostFolders, installedSnapshots, membershipChanges int

	leaders          map[uint64]string
	votes            map[string]string
	committedHashes  map[uint64]uint64 // hash of each committed entry
	stateHashes      map[uint64]uint64 // hash of the machine by applied index
	highestCommitted uint64
	// configuration is the latest committed membership.
	configuration   quorum.Membership
	committedAtRead map[uint64]uint64
}

func newSimulation(choose func(int) int, fail func(string, ...any), initial ...string) *simulation {
	w := &simulation{
		randomInt: choose, fail: fail, now: time.Unix(1000, 0), initialNames: initial, blockedLinks: map[string]bool{},
		leaders: map[uint64]string{}, votes: map[string]string{}, committedHashes: map[uint64]uint64{},
		stateHashes: map[uint64]uint64{}, committedAtRead: map[uint64]uint64{},
	}
	for _, n := range initial {
		w.addMember(n)
	}
	return w
}

func (w *simulation) addMember(name string) *member {
	m := &member{name: name}
	w.members = append(w.members, m)
	w.wipe(m)
	return m
}

// wipe gives the member an empty folder.
func (w *simulation) wipe(m *member) {
	w.lastID++
	w.lostDisks = append(w.lostDisks, m.disk)
	m.disk = disk{identity: fmt.Sprintf("%016x", w.lastID*0x9e3779b97f4a7c15)}
	w.restart(m)
}

func (w *simulation) restart(m *member) {
	m.core = quorum.NewCore(w.now, quorum.Settings{
		Name: m.name, Identity: m.disk.identity, Members: w.initialNames, Bootstrap: slices.Contains(w.initialNames, m.name),
		Seed: uint64(w.randomInt(1 << 30)), TrailingEntries: 3,
	}, m.disk.state, m.disk.snapshot, slices.Clone(m.disk.entries))
	m.applied = m.disk.snapshot.Index
	m.stateHash = w.stateHashes[m.applied]
}

// crashPoint says when a process ends within a step.
type crashPoint int

const (
	noCrash crashPoint = iota
	crashBeforeSync
	crashBeforeSend
)

func (w *simulation) step(m *member, c crashPoint, events ...quorum.Event) {
	if m.core == nil {
		return
	}
	e := m.core.Step(w.now, events...)
	if c == crashBeforeSync {
		m.core = nil
		return
	}
	m.disk.save(e)
	w.checkStep(m, e)
	if c == crashBeforeSend {
		m.core = nil
		return
	}
	for _, x := range e.Messages {
		w.checkVote(m, x)
		w.inFlight = append(w.inFlight, x)
	}
	w.apply(m, e)
	for _, r := range e.ConfirmedReads {
		w.confirmedReads++
		if r.Index < w.committedAtRead[r.ID] {
			w.fail("%s confirmed a read at %d, but %d was committed before it", m.name, r.Index, w.committedAtRead[r.ID])
		}
	}
}

// checkStep checks what a step must never show.
func (w *simulation) checkStep(m *member, e quorum.Effects) {
	s := m.core.Status()
	if s.Role == quorum.RoleLeader {
		if other, ok := w.leaders[s.Term]; ok && other != s.Identity {
			w.fail("term %d has the leaders %s and %s", s.Term, other, s.Identity)
		} else if !ok {
			w.leaders[s.Term] = s.Identity
			w.checkHoldsCommitted(m)
			w.checkElectionFree(m, s.Term)
		}
	}
	if s.Group == "" && s.Role != quorum.RoleFollower {
		w.fail("%s is %s with an empty folder", m.name, s.Role)
	}
	for i, x := range m.disk.entries {
		if i > 0 && x.Index != m.disk.entries[i-1].Index+1 {
			w.fail("%s has a gap before %d", m.name, x.Index)
		}
	}
	if e.Snapshot != nil && e.Snapshot.Index > 1 && w.stateHashes[e.Snapshot.Index] == 0 {
		w.fail("%s has a snapshot at %d, which nobody applied", m.name, e.Snapshot.Index)
	}
}

// checkElectionFree checks that no member is elected while another one may grant leases on its last confirmation.
func (w *simulation) checkElectionFree(m *member, term uint64) {
	for _, x := range w.members {
		if x == m || x.core == nil || x.core.Status().Term >= term {
			continue
		}
		if at := x.core.ConfirmedAt(); !at.IsZero() && w.now.Before(at.Add(quorum.ElectionFree)) {
			w.fail("%s is elected in term %d, %v after the confirmation of %s", m.name, term, w.now.Sub(at), x.name)
		}
	}
}

// checkHoldsCommitted checks that a new leader has all committed entries.
func (w *simulation) checkHoldsCommitted(m *member) {
	hashes := map[uint64]uint64{}
	for _, x := range m.disk.entries {
		hashes[x.Index] = entryHash(x)
	}
	for i, h := range w.committedHashes {
		if i > m.disk.snapshot.Index && hashes[i] != h {
			w.fail("%s leads term %d without the committed entry %d", m.name, m.disk.state.Term, i)
		}
	}
}

func (w *simulation) checkVote(m *member, x quorum.Message) {
	if x.Kind != quorum.KindVoteResponse || x.Reject {
		return
	}
	if m.disk.snapshot.Index == 0 {
		w.fail("%s votes with an empty folder", m.name)
	}
	if m.disk.state.Term != x.Term || m.disk.state.Vote != x.To {
		w.fail("%s votes for %s in term %d but has stored %+v", m.name, x.To, x.Term, m.disk.state)
	}
	key := fmt.Sprint(x.Term, m.disk.identity)
	if old, ok := w.votes[key]; ok && old != x.To {
		w.fail("%s votes for %s and %s in term %d", m.name, old, x.To, x.Term)
	}
	w.votes[key] = x.To
}

func entryHash(e quorum.Entry) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d %d %d %x %+v", e.Index, e.Term, e.Kind, e.Data, e.Membership)) | 1
}

func (w *simulation) apply(m *member, e quorum.Effects) {
	if e.Restore != nil {
		if e.Restore.Index < m.applied {
			w.fail("%s goes back from %d to the snapshot at %d", m.name, m.applied, e.Restore.Index)
		}
		w.installedSnapshots++
		m.applied, m.stateHash = e.Restore.Index, w.stateHashes[e.Restore.Index]
	}
	for _, x := range e.Committed {
		if x.Index != max(m.applied, 1)+1 {
			w.fail("%s applies %d after %d", m.name, x.Index, m.applied)
		}
		h := entryHash(x)
		if old, ok := w.committedHashes[x.Index]; ok && old != h {
			w.fail("%s commits another entry at %d", m.name, x.Index)
		}
		w.committedHashes[x.Index] = h
		m.applied, m.stateHash = x.Index, xxhash.Sum64String(fmt.Sprint(m.stateHash, h))|1
		if old, ok := w.stateHashes[x.Index]; ok && old != m.stateHash {
			w.fail("%s has another state at %d", m.name, x.Index)
		}
		w.stateHashes[x.Index] = m.stateHash
		if x.Index > w.highestCommitted {
			if w.highestCommitted == 0 {
				w.configuration = m.disk.snapshot.Membership
			}
			w.highestCommitted = x.Index
			w.checkMajorityStored(m, x)
			if x.Membership != nil {
				w.membershipChanges++
				w.configuration = *x.Membership
			}
		}
	}
}

// checkMajorityStored checks that a majority of the voters has synced a newly committed
// entry. A folder may be lost while its acknowledgement is under way.
func (w *simulation) checkMajorityStored(leader *member, e quorum.Entry) {
	voters, stored := 0, 0
	for _, x := range leader.core.Status().Members {
		if !x.Voter {
			continue
		}
		voters++
		disks := slices.Clone(w.lostDisks)
		for _, m := range w.members {
			disks = append(disks, m.disk)
		}
		for _, d := range disks {
			has := func(y quorum.Entry) bool { return y.Index == e.Index && y.Term == e.Term }
			if d.identity == x.Identity && (d.snapshot.Index >= e.Index || slices.ContainsFunc(d.entries, has)) {
				stored++
			}
		}
	}
	if stored <= voters/2 {
		w.fail("%s commits %d, which %d of %d voters have stored", leader.name, e.Index, stored, voters)
	}
}

// checkLogs checks that logs which share an entry share all before it.
func (w *simulation) checkLogs() {
	for _, a := range w.members {
		for _, b := range w.members {
			same := false
			for _, x := range slices.Backward(a.disk.entries) {
				k := slices.IndexFunc(b.disk.entries, func(y quorum.Entry) bool { return y.Index == x.Index })
				if k < 0 {
					continue
				}
				equal := entryHash(x) == entryHash(b.disk.entries[k])
				if same = same || x.Term == b.disk.entries[k].Term; same && !equal {
					w.fail("%s and %s differ at %d below a common entry", a.name, b.name, x.Index)
				}
			}
		}
	}
}

// mayLoseFolder reports whether the group survives the loss of the member's folder:
// the committed and the proposed memberships are intact. One folder
// may be lost while the group is being founded.
func (w *simulation) mayLoseFolder(m *member) bool {
	if w.highestCommitted == 0 {
		w.lostBeforeFirstCommit++
		return w.lostBeforeFirstCommit == 1
	}
	if !w.hasRecordedFolders(w.configuration) {
		return false
	}
	for _, y := range w.members {
		for _, x := range y.disk.entries {
			if x.Index > w.highestCommitted && x.Membership != nil && !w.hasRecordedFolders(*x.Membership) {
				return false
			}
		}
	}
	_, known := w.configuration.Member(m.name)
	return known
}

// hasRecordedFolders reports whether there are at least three voters and all members have
// their recorded folders. A lost learner counts too, because it may be promoted
// before the leader notices the loss.
func (w *simulation) hasRecordedFolders(c quorum.Membership) bool {
	for _, m := range w.members {
		if x, ok := c.Member(m.name); ok && x.Identity != m.disk.identity {
			return false
		}
	}
	return c.Voters() >= 3
}

func (w *simulation) deliver(i int, keep bool) {
	m := w.inFlight[i]
	if !keep {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	w.receive(m, w.randomCrash)
}

// randomCrash chooses a crash in one of 400 steps.
func (w *simulation) randomCrash() crashPoint {
	if w.randomInt(400) > 0 {
		return noCrash
	}
	return crashBeforeSync + crashPoint(w.randomInt(2))
}

func (w *simulation) receive(m quorum.Message, c func() crashPoint) {
	for _, x := range w.members {
		if x.name == m.To && !w.blockedLinks[m.From+">"+m.To] {
			w.step(x, c(), quorum.Received{Message: m})
		}
	}
}

func (w *simulation) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for _, m := range w.members {
		if m.core != nil && !w.now.Before(m.core.Deadline()) {
			w.step(m, noCrash, quorum.Tick{})
		}
	}
}

func (w *simulation) isolate(m *member) {
	for _, x := range w.members {
		w.blockedLinks[m.name+">"+x.name], w.blockedLinks[x.name+">"+m.name] = true, true
	}
}

// randomAction does one randomly chosen thing.
func (w *simulation) randomAction() {
	m := w.members[w.randomInt(len(w.members))]
	if l := w.leader(); l != nil && w.randomInt(2) == 0 {
		m = l
	}
	other := w.members[w.randomInt(len(w.members))]
	w.lastID++
	switch k := w.randomInt(1000); {
	case k < 650:
		for range min(3, len(w.inFlight)) {
			w.deliver(w.randomInt(min(len(w.inFlight), 6)), w.randomInt(30) == 0)
		}
	case k < 670 && len(w.inFlight) > 0:
		i := w.randomInt(len(w.inFlight))
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	case k < 780:
		w.tick(time.Duration(w.randomInt(60)) * time.Millisecond)
	case k < 880:
		w.step(m, w.randomCrash(), quorum.Propose{ID: w.lastID, Data: fmt.Append(nil, w.lastID)})
	case k < 930:
		w.committedAtRead[w.lastID] = w.highestCommitted
		w.step(m, noCrash, quorum.Read{ID: w.lastID})
	case k < 950:
		if m.applied > m.disk.snapshot.Index {
			w.step(m, w.randomCrash(), quorum.Compact{Index: m.applied, Data: make([]byte, 8)})
		}
	case k < 960:
		if m.core == nil || w.randomInt(8) == 0 {
			w.restart(m)
		}
	case k < 963:
		w.blockedLinks[m.name+">"+other.name] = true
	case k < 966:
		w.isolate(m)
	case k < 970:
		clear(w.blockedLinks)
	case k < 990:
		kind := []quorum.ChangeKind{quorum.ChangeAdd, quorum.ChangePromote, quorum.ChangeRemove}[w.randomInt(3)]
		if kind != quorum.ChangeRemove || w.configuration.Voters() > 3 {
			w.step(m, w.randomCrash(), quorum.Change{ID: w.lastID, Kind: kind, Name: other.name})
		}
	case k < 993:
		w.step(m, noCrash, quorum.Transfer{ID: w.lastID})
	case k < 996 && w.mayLoseFolder(other):
		w.lostFolders++
		w.wipe(other)
	}
}

// runWithoutFaults runs the group for a time without faults.
func (w *simulation) runWithoutFaults(d time.Duration) {
	clear(w.blockedLinks)
	for _, m := range w.members {
		if m.core == nil {
			w.restart(m)
		}
	}
	w.run(d)
}

// run lets time pass; each message takes 5 ms.
func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.tick(5 * time.Millisecond)
		for n := len(w.inFlight); n > 0; n-- {
			m := w.inFlight[0]
			w.inFlight = w.inFlight[1:]
			w.receive(m, func() crashPoint { return noCrash })
		}
	}
}

func (w *simulation) leader() *member {
	var found *member
	for _, m := range w.members {
		if m.core != nil && m.core.Status().Role == quorum.RoleLeader &&
			(found == nil || m.disk.state.Term > found.disk.state.Term) {
			found = m
		}
	}
	return found
}

// String shows the state of all members.
func (w *simulation) String() string {
	out := fmt.Sprintf("committed %d, membership %+v", w.highestCommitted, w.configuration)
	for _, m := range w.members {
		out += fmt.Sprintf("\n%+v", m.core.Status())
	}
	return out
}

// runSchedule runs one disturbed history and checks that the group recovers from it.
func runSchedule(steps int, choose func(int) int, fail func(string, ...any)) *simulation {
	w := newSimulation(choose, fail, "a", "b", "c")
	w.runWithoutFaults(time.Duration(choose(4)) * time.Second)
	w.addMember("d")
	for range steps {
		w.randomAction()
	}
	w.checkLogs()
	w.runWithoutFaults(10 * time.Second)
	l := w.leader()
	if l == nil {
		fail("no leader after the faults ended: %s", w)
		return w
	}
	before := w.highestCommitted
	w.step(l, noCrash, quorum.Propose{ID: 1, Data: []byte("last")})
	w.runWithoutFaults(time.Second)
	if w.highestCommitted <= before {
		fail("no commit after the faults ended")
	}
	for _, m := range w.members {
		x, ok := w.configuration.Member(m.name)
		// A member that accepted a founding record of which the founder's folder was lost is left to the operator.
		if m.disk.snapshot.Membership.Group != w.configuration.Group && w.lostBeforeFirstCommit > 0 {
			continue
		}
		if ok && (m.applied != w.highestCommitted || x.Identity != m.disk.identity || x.Repair) {
			fail("%s (%+v) applied %d of %d: %s", m.name, x, m.applied, w.highestCommitted, w)
		}
	}
	w.checkLogs()
	return w
}

// TestSchedules guards against two leaders in a term, lost or changed commits,
// logs that differ, stale reads, votes of empty folders and groups that do not
// recover, under message loss, reordering, crashes, partitions, lost folders and
// membership changes.
func TestSchedules(t *testing.T) {
	convey.Convey("Fixed seeds", t, func() {
		var terms, commits, reads, lost, installed, changes int
		for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
			r := rand.New(rand.NewPCG(seed, seed))
			w := runSchedule(2000, r.IntN, func(format string, args ...any) {
				t.Fatalf("seed %d: %s", seed, fmt.Sprintf(format, args...))
			})
			terms, commits, reads = terms+len(w.leaders), commits+len(w.committedHashes), reads+w.confirmedReads
			lost, installed, changes = lost+w.lostFolders, installed+w.installedSnapshots, changes+w.membershipChanges
		}
		t.Logf("%d schedules: %d leaders, %d commits, %d confirmed reads, %d lost folders, %d installed snapshots, %d changes",
			*seeds, terms, commits, reads, lost, installed, changes)
		convey.So(uint64(commits), convey.ShouldBeGreaterThan, 10**seeds)
		convey.So(uint64(reads), convey.ShouldBeGreaterThan, *seeds)
	})
	convey.Convey("Drawn by rapid", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			runSchedule(400, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }, t.Fatalf)
		})
	})
}

// TestFailover guards against a lost leader that is not replaced within a second
// and against an isolated leader that goes on leading.
func TestFailover(t *testing.T) {
	convey.Convey("With 5 ms one way a lost leader is replaced in under 1 s", t, func() {
		var gaps []time.Duration
		for seed := range uint64(1000) {
			r := rand.New(rand.NewPCG(seed, 1))
			w := newSimulation(r.IntN, t.Fatalf, "a", "b", "c")
			w.runWithoutFaults(3*time.Second + time.Duration(r.IntN(100))*time.Millisecond)
			old, lost := w.leader(), w.now
			w.isolate(old)
			for w.leader() == old {
				w.run(5 * time.Millisecond)
			}
			for w.leader() == nil {
				w.run(5 * time.Millisecond)
			}
			gaps = append(gaps, w.now.Sub(lost))
			w.run(600 * time.Millisecond)
			if old.core.Status().Role == quorum.RoleLeader {
				t.Fatalf("seed %d: the isolated leader has not stepped down", seed)
			}
		}
		slices.Sort(gaps)
		t.Logf("time without a leader: median %v, 99%% %v, worst %v", gaps[500], gaps[990], gaps[999])
		convey.So(gaps[999], convey.ShouldBeLessThan, time.Second)
	})
}

// TestTermStart guards against entries of an older term that are committed by
// counting, and against a membership change before the term's first entry is
// committed, beside another change, or to a group without a reachable majority.
func TestTermStart(t *testing.T) {
	convey.Convey("A new leader whose log ends in an older term", t, func() {
		membership := quorum.Membership{Group: "g"}
		for _, n := range []string{"a", "b", "c"} {
			membership = membership.With(quorum.Member{Name: n, Identity: n + n, Voter: true})
		}
		now := time.Unix(1000, 0)
		c := quorum.NewCore(now, quorum.Settings{Name: "a", Identity: "aa"}, quorum.State{Term: 1},
			quorum.Snapshot{Index: 1, Term: 1, Membership: membership}, []quorum.Entry{{Index: 2, Term: 1}})
		from := func(kind quorum.Kind, index uint64) quorum.Event {
			return quorum.Received{Message: quorum.Message{
				Kind: kind, From: "b", To: "a", Group: "g", Identity: "bb", Term: 2, Index: index,
			}}
		}
		now = now.Add(time.Second)
		c.Step(now, quorum.Tick{})
		c.Step(now, from(quorum.KindPreVoteResponse, 0), from(quorum.KindVoteResponse, 0))
		convey.So(c.Status().Role, convey.ShouldEqual, quorum.RoleLeader)
		change := quorum.Change{ID: 7, Kind: quorum.ChangeRemove, Name: "c"}

		e := c.Step(now, from(quorum.KindAppendResponse, 2), change)
		convey.So(e.Committed, convey.ShouldBeEmpty)
		convey.So(e.Answers, convey.ShouldHaveLength, 1)
		convey.So(e.Answers[0].Err, convey.ShouldNotBeNil)

		convey.So(c.Step(now, from(quorum.KindAppendResponse, 3)).Committed, convey.ShouldHaveLength, 2)
		e = c.Step(now, quorum.Received{Message: quorum.Message{
			Kind: quorum.KindHello, From: "b", To: "a", Identity: "xx", NonVoter: true,
		}})
		convey.So(e.Entries, convey.ShouldBeEmpty) // an empty folder does not displace a member that answers
		now = now.Add(500 * time.Millisecond)      // c is silent, so that b cannot be removed
		e = c.Step(now, from(quorum.KindAppendResponse, 3), quorum.Change{ID: 8, Kind: quorum.ChangeRemove, Name: "b"})
		convey.So(e.Answers[0].Err, convey.ShouldNotBeNil)
		convey.So(c.Step(now, change).Answers[0].Err, convey.ShouldBeNil)
		change.Name = "b"
		convey.So(c.Step(now, change).Answers[0].Err, convey.ShouldNotBeNil)
	})
}

// TestWholeReturn guards against a time without a leader after a loss of power that is as long as votes are withheld,
// although the member that led runs again and asks, or its folder is lost for certain; against split votes then; and
// against a term whose first entry takes an additional round trip.
func TestWholeReturn(t *testing.T) {
	cases := map[string]struct {
		wipeLeader bool
		// maxMilliseconds bounds the time from the last start to the first commit.
		maxMilliseconds int64
	}{
		// A quarter of a heartbeat until the next question, and six messages: question, vote and entry with their answers.
		"all folders are kept": {maxMilliseconds: 60},
		// A heartbeat until the hello of the empty folder, the turns of two voters, and six messages.
		"the folder of the member that led is lost": {wipeLeader: true, maxMilliseconds: 280},
	}
	for name, x := range cases {
		convey.Convey("With 5 ms one way, members that start within 100 ms of each other: "+name, t, func() {
			var gaps []time.Duration
			for seed := range uint64(300) {
				r := rand.New(rand.NewPCG(seed, 2))
				w := newSimulation(r.IntN, t.Fatalf, "a", "b", "c", "d", "e")
				w.runWithoutFaults(3 * time.Second)
				formerLeader, before := w.leader(), w.highestCommitted
				for _, m := range w.members {
					m.core = nil
				}
				w.inFlight = nil
				w.run(time.Second)
				for _, i := range r.Perm(len(w.members)) {
					if m := w.members[i]; m == formerLeader && x.wipeLeader {
						w.wipe(m)
					} else {
						w.restart(m)
					}
					w.run(time.Duration(r.IntN(25)) * time.Millisecond)
				}
				started := w.now
				for end := w.now.Add(2 * time.Second); w.highestCommitted == before && w.now.Before(end); {
					w.run(5 * time.Millisecond)
				}
				gaps = append(gaps, w.now.Sub(started))
				if l := w.leader(); (l == formerLeader) == x.wipeLeader {
					t.Fatalf("seed %d: %s leads, %s led", seed, l.name, formerLeader.name)
				}
			}
			slices.Sort(gaps)
			t.Logf("%s: from the last start to the first commit: median %v, 90%% %v, worst %v", name, gaps[150], gaps[270], gaps[299])
			convey.So(gaps[299].Milliseconds(), convey.ShouldBeLessThanOrEqualTo, x.maxMilliseconds)
		})
	}
}
