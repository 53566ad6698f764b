package control

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// HistoryRevisions is how many revisions of each section are kept.
	HistoryRevisions = 100
	// RequestWindow is how many request ids of each team are kept. A resend after
	// 1000 further edits of the team counts as a new request and, as its revision
	// has been replaced, gets a conflict.
	RequestWindow = 1000
)

// state is what the log's entries add up to. A state never changes: apply
// returns a copy that shares all maps which the command left alone.
type state struct {
	View jacinthtiller.View `cbor:"view"`
	// Registered maps each host to the index of its last registration. A host gets
	// no lease under a view below it, because that view may show it as the owner of
	// targets which it lost before it registered.
	Registered map[string]uint64 `cbor:"registered"`
	// Announced holds what each target last announced, by database and target.
	Announced map[string]map[string]announced `cbor:"announced"`
	// Handovers holds the targets that were taken from a live owner which may not know it yet.
	Handovers map[string]handover `cbor:"handovers"`
	// Leaving holds the targets that an operator has asked to leave.
	Leaving map[string]bool `cbor:"leaving"`
	// Histories holds the last revisions of each section, oldest first.
	Histories map[string][]jacinthtiller.Section `cbor:"histories"`
	// Requests holds the last request ids of each team, oldest first.
	Requests map[string][]request `cbor:"requests"`
	// Roles maps each role to its team.
	Roles map[string]string `cbor:"roles"`
	// EditionText is the edition in force as its author sent it, compressed.
	EditionText []byte `cbor:"edition-text,omitempty"`
	// Departed holds the last targets that have left their direct groups, oldest first.
	Departed []departed `cbor:"departed,omitempty"`
}

// departed is an incarnation of a target that has left; a report of it that arrives late changes nothing.
type departed struct {
	Target           string `cbor:"target"`
	BornMilliseconds int64  `cbor:"born-milliseconds"`
}

// announced is what a target said of itself.
type announced struct {
	Role     jacinthtiller.Role     `cbor:"role"`
	Term     uint64                 `cbor:"term"`
	Position jacinthtiller.Position `cbor:"position"`
}

// handover is the first half of a change of owner between live hosts.
type handover struct {
	// Host is the former owner; it may go on serving until it has Index in force.
	Host  string `cbor:"host"`
	Index uint64 `cbor:"index"`
}

// request is an edit that has been answered.
type request struct {
	ID string `cbor:"id"`
	// Fingerprint tells a resend from another edit under the same id.
	Fingerprint uint64 `cbor:"fingerprint"`
	Answer      answer `cbor:"answer"`
}

func newState() *state {
	return &state{
		View: jacinthtiller.View{
			Hosts:     map[string]jacinthtiller.Host{},
			Databases: map[string]jacinthtiller.Database{},
			Sections:  map[string]jacinthtiller.Section{},
		},
		Registered: map[string]uint64{}, Announced: map[string]map[string]announced{},
		Handovers: map[string]handover{}, Leaving: map[string]bool{},
		Histories: map[string][]jacinthtiller.Section{}, Requests: map[string][]request{}, Roles: map[string]string{},
	}
}

// changes names what one index changed in the view.
type changes struct {
	index                      uint64
	hosts, databases, sections []string
	edition                    bool
	// urgent is true for all changes but those of hosts and of targets that come, go or change their state: a new primary,
	// edition or section decides what hosts may answer.
	urgent bool
}

func (c changes) empty() bool {
	return len(c.hosts) == 0 && len(c.databases) == 0 && len(c.sections) == 0 && !c.edition
}

// editor builds the state after one entry.
type editor struct {
	s       *state
	changes changes
	// own names the maps that are copies already.
	own map[string]bool
}

// apply returns the state after the command, its answer and what changed in the view.
func apply(s *state, index uint64, c Command) (*state, answer, changes) {
	next := *s
	e := &editor{s: &next, changes: changes{index: index}, own: map[string]bool{}}
	out := e.command(c)
	if !e.changes.empty() {
		next.View.Index = index
	}
	if out.Index == 0 {
		out.Index = index
	}
	return &next, out, e.changes
}

func (e *editor) command(c Command) answer {
	switch {
	case c.Register != nil:
		return e.register(*c.Register)
	case c.Gone != nil:
		return e.gone(*c.Gone)
	case c.Forget != nil:
		return e.forget(*c.Forget)
	case c.Observe != nil:
		return e.observe(*c.Observe)
	case c.Assign != nil:
		return e.assign(*c.Assign)
	case c.Unassign != nil:
		return e.unassign(*c.Unassign)
	case c.Lost != nil:
		return e.lost(*c.Lost)
	case c.Leave != nil:
		return e.leave(*c.Leave)
	case c.Remove != nil:
		return e.remove(*c.Remove)
	case c.Bootstrap != nil:
		return e.bootstrap(*c.Bootstrap)
	case c.Open != nil:
		return e.open(*c.Open)
	case c.Commit != nil:
		return e.commit(*c.Commit)
	case c.Move != nil:
		return e.move(*c.Move)
	case c.Section != nil:
		return e.section(*c.Section)
	case c.Edition != nil:
		return e.edition(*c.Edition)
	case c.Enlist != nil:
		return e.enlist(c.Enlist.Report)
	case c.Delist != nil:
		return e.delist(*c.Delist)
	case c.SuspendPrimary != nil:
		return e.suspendPrimary(*c.SuspendPrimary)
	case c.ChooseCandidate != nil:
		return e.chooseCandidate(*c.ChooseCandidate)
	case c.RecordPrimary != nil:
		return e.recordPrimary(*c.RecordPrimary)
	}
	for _, b := range c.Batch {
		e.command(b)
	}
	return answer{}
}

// key names a target in the maps of the state. Names of databases and targets hold no NUL.
func key(database, target string) string { return database + "\x00" + target }

func (e *editor) setHost(h jacinthtiller.Host) {
	if !e.own["hosts"] {
		e.s.View.Hosts, e.own["hosts"] = maps.Clone(e.s.View.Hosts), true
	}
	e.s.View.Hosts[h.Name] = h
	e.changes.hosts = append(e.changes.hosts, h.Name)
}

func (e *editor) setDatabase(d jacinthtiller.Database) {
	if !e.own["databases"] {
		e.s.View.Databases, e.own["databases"] = maps.Clone(e.s.View.Databases), true
	}
	old := e.s.View.Databases[d.Name]
	if !d.Direct || old.Term != d.Term || old.Primary != d.Primary || old.Former != d.Former || old.Candidate != d.Candidate {
		e.changes.urgent = true
	}
	e.s.View.Databases[d.Name] = d
	e.changes.databases = append(e.changes.databases, d.Name)
}

func (e *editor) setHandover(k string, h handover) {
	if !e.own["handovers"] {
		e.s.Handovers, e.own["handovers"] = maps.Clone(e.s.Handovers), true
	}
	if h.Host == "" {
		delete(e.s.Handovers, k)
		return
	}
	e.s.Handovers[k] = h
}

func (e *editor) setLeaving(k string, on bool) {
	e.s.Leaving = maps.Clone(e.s.Leaving)
	delete(e.s.Leaving, k)
	if on {
		e.s.Leaving[k] = true
	}
}

// target finds a target with its database.
func (s *state) target(database, target string) (jacinthtiller.Database, jacinthtiller.Target, bool) {
	d := s.View.Databases[database]
	t, ok := d.Targets[target]
	return d, t, ok
}

func (e *editor) register(c registerCommand) answer {
	h := c.Host
	h.Gone = false
	old, known := e.s.View.Hosts[h.Name]
	if known && !old.Gone && old.Incarnation != h.Incarnation && !h.Exclusive {
		return answer{Code: codeBusy}
	}
	if known && old == h {
		return answer{Index: e.s.Registered[h.Name]}
	}
	e.setHost(h)
	e.s.Registered = maps.Clone(e.s.Registered)
	e.s.Registered[h.Name] = e.changes.index
	if known && old.Incarnation != h.Incarnation {
		// The new process has none of the marks that the former one kept in memory.
		e.eachOwned(h.Name, func(t jacinthtiller.Target) jacinthtiller.Target {
			t.Epoch++
			return t
		})
	}
	return answer{}
}

// eachOwned changes all targets of a host.
func (e *editor) eachOwned(host string, change func(jacinthtiller.Target) jacinthtiller.Target) {
	for _, n := range slices.Sorted(maps.Keys(e.s.View.Databases)) {
		d := e.s.View.Databases[n]
		changed := false
		for _, t := range d.Targets {
			if t.Owner == host {
				d, changed = d.WithTarget(change(t)), true
			}
		}
		if changed {
			e.setDatabase(d)
		}
	}
}

func (e *editor) gone(c goneCommand) answer {
	h, ok := e.s.View.Hosts[c.Host]
	if !ok || h.Gone || h.Incarnation != c.Incarnation {
		return answer{Code: codeStale}
	}
	h.Gone = true
	e.setHost(h)
	for k, v := range e.s.Handovers {
		if v.Host == c.Host {
			e.setHandover(k, handover{})
		}
	}
	if c.Released {
		e.eachOwned(c.Host, func(t jacinthtiller.Target) jacinthtiller.Target {
			t.Owner = ""
			t.Epoch++
			return t
		})
	}
	return answer{}
}

func (e *editor) forget(c forgetCommand) answer {
	h, ok := e.s.View.Hosts[c.Host]
	if !ok || !h.Gone {
		return answer{Code: codeStale}
	}
	for _, d := range e.s.View.Databases {
		for _, t := range d.Targets {
			if t.Owner == c.Host {
				return answer{Code: codeStale}
			}
		}
	}
	e.setHost(h)
	delete(e.s.View.Hosts, c.Host)
	e.s.Registered = maps.Clone(e.s.Registered)
	delete(e.s.Registered, c.Host)
	return answer{}
}

func (e *editor) observe(c observeCommand) answer {
	a := c.Announcement
	e.noteAnnounced(a)
	d, known := e.s.View.Databases[a.Database]
	if !known {
		d = jacinthtiller.Database{Name: a.Database, Targets: map[string]jacinthtiller.Target{}}
	}
	old, seen := d.Targets[a.Target]
	if !seen && d.Term > 0 && len(d.Targets) > d.GroupSize {
		// One target may join before the one that it replaces has left. With more, a
		// majority of the new group need not hold what a majority of the old one settled.
		return answer{Code: codeStale}
	}
	t := old
	t.Name, t.Database, t.Address, t.Domain, t.State = a.Target, a.Database, a.Address, a.Domain, a.State
	if e.s.Leaving[key(a.Database, a.Target)] {
		t.State = jacinthtiller.StateLeaving
	}
	if t.Lost {
		t = e.found(t, c)
	}
	size := max(d.GroupSize, a.GroupSize)
	if known && seen && t == old && size == d.GroupSize {
		return answer{Index: e.s.View.Index}
	}
	d.GroupSize = size
	e.setDatabase(d.WithTarget(t))
	return answer{}
}

// found returns a lost target that has announced itself. Its owner gave up the
// former epoch by reporting it as lost, so an owner gets the target at a new one.
func (e *editor) found(t jacinthtiller.Target, c observeCommand) jacinthtiller.Target {
	t.Lost = false
	t.Epoch++
	reporter, ok := e.s.View.Hosts[c.Host]
	if c.OwnerUnreachable && ok && !reporter.Gone && reporter.Domain == t.Domain {
		t.Owner = reporter.Name
	}
	return t
}

func (e *editor) noteAnnounced(a jacinthtiller.Announcement) {
	p, err := jacinthtiller.ParsePosition(a.Position)
	if err != nil {
		p = jacinthtiller.Position{}
	}
	now := announced{Role: a.Role, Term: a.Term, Position: p}
	if e.s.Announced[a.Database][a.Target] == now {
		return
	}
	e.s.Announced = maps.Clone(e.s.Announced)
	group := maps.Clone(e.s.Announced[a.Database])
	if group == nil {
		group = map[string]announced{}
	}
	group[a.Target] = now
	e.s.Announced[a.Database] = group
}

// free reports whether no host may act as the owner of the target any more.
func (s *state) free(t jacinthtiller.Target) bool {
	if t.Owner == "" {
		_, pending := s.Handovers[key(t.Database, t.Name)]
		return !pending
	}
	h, ok := s.View.Hosts[t.Owner]
	return !ok || h.Gone
}

func (e *editor) assign(c assignCommand) answer {
	d, t, ok := e.s.target(c.Database, c.Target)
	if !ok {
		return answer{Code: codeUnknown}
	}
	k := key(c.Database, c.Target)
	pending, moving := e.s.Handovers[k]
	handedOver := moving && c.InForce >= pending.Index
	to, ok := e.s.View.Hosts[c.Host]
	if t.Epoch != c.Epoch || !ok || to.Gone || !e.s.free(t) && !handedOver {
		return answer{Code: codeStale}
	}
	if moving {
		e.setHandover(k, handover{})
	}
	t.Owner = c.Host
	t.Epoch++
	e.setDatabase(d.WithTarget(t))
	return answer{}
}

func (e *editor) unassign(c unassignCommand) answer {
	d, t, ok := e.s.target(c.Database, c.Target)
	if !ok || t.Epoch != c.Epoch || t.Owner == "" {
		return answer{Code: codeStale}
	}
	e.setHandover(key(c.Database, c.Target), handover{Host: t.Owner, Index: e.changes.index})
	t.Owner = ""
	t.Epoch++
	e.setDatabase(d.WithTarget(t))
	return answer{}
}

// lost records that the owner gives up the target. For a primary it begins the
// next term in the same entry, so that the promotion starts one round earlier.
func (e *editor) lost(c lostCommand) answer {
	d, t, ok := e.s.target(c.Database, c.Target)
	if !ok || t.Owner != c.Host || t.Epoch != c.Epoch || t.Lost {
		return answer{Code: codeStale}
	}
	t.Lost = true
	if d.Primary == c.Target {
		// In a planned move the target itself is well; it only needs an owner that makes it follow.
		t.Lost = d.Moving == ""
		t.Owner = ""
		t.Epoch++
		d = d.WithPrimary(d.Term+1, "")
	}
	e.setDatabase(d.WithTarget(t))
	return answer{}
}

func (e *editor) leave(c leaveCommand) answer {
	d, t, ok := e.s.target(c.Database, c.Target)
	if !ok {
		return answer{Code: codeUnknown}
	}
	e.setLeaving(key(c.Database, c.Target), true)
	if t.State == jacinthtiller.StateLeaving {
		return answer{Index: e.s.View.Index}
	}
	t.State = jacinthtiller.StateLeaving
	e.setDatabase(d.WithTarget(t))
	return answer{}
}

// removable reports whether a target has left: it was leaving, has stopped and is no primary.
func removable(d jacinthtiller.Database, t jacinthtiller.Target) bool {
	return t.State == jacinthtiller.StateLeaving && t.Lost && d.Primary != "" && d.Primary != t.Name
}

func (e *editor) remove(c removeCommand) answer {
	d, t, ok := e.s.target(c.Database, c.Target)
	if !ok || d.Term != c.Term || !removable(d, t) {
		return answer{Code: codeStale}
	}
	k := key(c.Database, c.Target)
	e.setLeaving(k, false)
	e.setHandover(k, handover{})
	d.Targets = maps.Clone(d.Targets)
	delete(d.Targets, c.Target)
	e.setDatabase(d)
	e.s.Announced = maps.Clone(e.s.Announced)
	group := maps.Clone(e.s.Announced[c.Database])
	delete(group, c.Target)
	e.s.Announced[c.Database] = group
	return answer{}
}

func (e *editor) bootstrap(c bootstrapCommand) answer {
	d, t, ok := e.s.target(c.Database, c.Target)
	if !ok || d.Term != 0 || c.Term == 0 || t.Lost {
		return answer{Code: codeStale}
	}
	e.setDatabase(d.WithPrimary(c.Term, c.Target))
	return answer{}
}

func (e *editor) open(c openCommand) answer {
	d, ok := e.s.View.Databases[c.Database]
	if !ok || d.Term != c.From || c.Term <= c.From {
		return answer{Code: codeStale}
	}
	if d.Term != 0 && (d.Primary == "" || !e.s.free(d.Targets[d.Primary])) {
		return answer{Code: codeStale}
	}
	e.setDatabase(d.WithPrimary(c.Term, ""))
	return answer{}
}

func (e *editor) commit(c commitCommand) answer {
	d, t, ok := e.s.target(c.Database, c.Target)
	if !ok || d.Term != c.Term || d.Primary != "" || t.Lost {
		return answer{Code: codeStale}
	}
	d.Moving = ""
	e.setDatabase(d.WithPrimary(c.Term, c.Target))
	return answer{}
}

func (e *editor) move(c moveCommand) answer {
	d, ok := e.s.View.Databases[c.Database]
	if !ok {
		return answer{Code: codeUnknown}
	}
	if d.Term != c.Term || d.Primary == "" || d.Primary == c.Target || d.Moving == c.Target {
		return answer{Code: codeStale}
	}
	if c.Target != "" {
		if t, ok := d.Targets[c.Target]; !ok || t.Lost {
			return answer{Code: codeUnknown}
		}
	}
	d.Moving = c.Target
	e.setDatabase(d)
	return answer{}
}

// fingerprint identifies the content of an edit.
func (c sectionCommand) fingerprint() uint64 {
	b, err := encode([]any{c.Team, c.Author, c.Replaces, c.Text})
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

func (e *editor) section(c sectionCommand) answer {
	for _, r := range e.s.Requests[c.Team] {
		switch {
		case r.ID != c.Request:
		case r.Fingerprint != c.fingerprint():
			return answer{Code: codeReused, Revision: e.s.View.Sections[c.Team].Revision}
		default:
			return r.Answer
		}
	}
	out := e.edit(c)
	out.Index = e.changes.index
	e.s.Requests = maps.Clone(e.s.Requests)
	list := append(slices.Clone(e.s.Requests[c.Team]), request{ID: c.Request, Fingerprint: c.fingerprint(), Answer: out})
	e.s.Requests[c.Team] = list[max(0, len(list)-RequestWindow):]
	return out
}

// edit replaces a section unless it has another revision or a role of another team.
func (e *editor) edit(c sectionCommand) answer {
	old := e.s.View.Sections[c.Team]
	if old.Revision != c.Replaces {
		return answer{Code: codeConflict, Revision: old.Revision}
	}
	var taken []string
	for _, r := range c.Roles {
		if team, ok := e.s.Roles[r]; ok && team != c.Team {
			taken = append(taken, r)
		}
	}
	if len(taken) > 0 {
		return answer{Code: codeRoleTaken, Revision: old.Revision, Names: taken}
	}
	now := jacinthtiller.Section{Team: c.Team, Revision: old.Revision + 1, Text: c.Text, Author: c.Author}
	e.s.View.Sections = maps.Clone(e.s.View.Sections)
	e.s.View.Sections[c.Team] = now
	e.s.View.Document = e.changes.index
	e.changes.sections, e.changes.urgent = append(e.changes.sections, c.Team), true
	e.s.Histories = maps.Clone(e.s.Histories)
	list := append(slices.Clone(e.s.Histories[c.Team]), now)
	e.s.Histories[c.Team] = list[max(0, len(list)-HistoryRevisions):]
	e.s.Roles = maps.Clone(e.s.Roles)
	maps.DeleteFunc(e.s.Roles, func(_, team string) bool { return team == c.Team })
	for _, r := range c.Roles {
		e.s.Roles[r] = c.Team
	}
	return answer{Revision: now.Revision}
}
