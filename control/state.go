package control

import (
	"maps"

	"github.com/jacinthtiller/jacinthtiller"
)

// state is the replicated state. It is immutable: apply returns a copy that shares all maps that the command does not
// change.
type state struct {
	View jacinthtiller.View `cbor:"view"`
	// Registered maps each host to the index of its last registration. A host gets no lease under an older view, because
	// that view may show it as the owner of targets that it lost before it registered.
	Registered map[string]uint64 `cbor:"registered"`
	// Announced holds the last announcement of each target, by database and target.
	Announced map[string]map[string]announced `cbor:"announced"`
	// Handovers holds the targets that were taken from a live owner which may not know of it yet.
	Handovers map[string]handover `cbor:"handovers"`
	// Leaving holds the targets that an operator has asked to leave.
	Leaving map[string]bool `cbor:"leaving"`
	// Histories holds the retained revisions of each section, oldest first.
	Histories map[string][]jacinthtiller.Section `cbor:"histories"`
	// Requests holds the retained request ids of each team, oldest first.
	Requests map[string][]request `cbor:"requests"`
	// Roles maps each role to its team.
	Roles map[string]string `cbor:"roles"`
	// EditionText is the edition in force as its author sent it, compressed.
	EditionText []byte `cbor:"edition-text,omitempty"`
	// Departed holds the last incarnations of targets that have left their direct groups, oldest first; late reports of
	// them change nothing, unless the target is found to run.
	Departed []departure `cbor:"departed,omitempty"`
	// CommitProofs holds the proofs of direct groups with synchronous replicas. One that is missing proves nothing.
	CommitProofs map[string]commitProof `cbor:"commit-proofs,omitempty"`
	// OrderPending holds the direct groups whose primary was recorded while another order for it could still take effect.
	OrderPending map[string]bool `cbor:"order-pending,omitempty"`
}

// targetIncarnation identifies an incarnation of a target.
type targetIncarnation struct {
	Target              string `cbor:"target" json:"target"`
	StartedMilliseconds int64  `cbor:"born-milliseconds" json:"born-milliseconds"`
}

func incarnationOf(t jacinthtiller.Target) targetIncarnation {
	return targetIncarnation{Target: t.Name, StartedMilliseconds: t.StartedMilliseconds}
}

// announced is the replicated part of a target's announcement.
type announced struct {
	Role     jacinthtiller.Role     `cbor:"role"`
	Term     uint64                 `cbor:"term"`
	Position jacinthtiller.Position `cbor:"position"`
}

// handover is the first half of a change of owner between live hosts.
type handover struct {
	// Host is the former owner; it may continue to serve until it has Index in force.
	Host  string `cbor:"host"`
	Index uint64 `cbor:"index"`
}

// request is an edit that has been answered.
type request struct {
	ID string `cbor:"id"`
	// Fingerprint distinguishes a resend from another edit under the same id.
	Fingerprint uint64        `cbor:"fingerprint"`
	Answer      commandResult `cbor:"answer"`
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

// changes holds the names of what one log entry changed in the view.
type changes struct {
	index                      uint64
	hosts, databases, sections []string
	// edition is nil when the edition has not changed.
	edition *editionChange
	// urgent is true for all changes except those of hosts and of targets that join, leave or change their state: a new
	// primary, edition or section affects which requests hosts may answer.
	urgent bool
}

func (c changes) empty() bool {
	return len(c.hosts) == 0 && len(c.databases) == 0 && len(c.sections) == 0 && c.edition == nil
}

// editor builds the state after one entry.
type editor struct {
	s       *state
	changes changes
	// cloned names the maps that are copied already.
	cloned map[string]bool
}

// apply returns the state after the command, the command's result and the changes to the view.
func apply(s *state, index uint64, c Command) (*state, commandResult, changes) {
	next := *s
	e := &editor{s: &next, changes: changes{index: index}, cloned: map[string]bool{}}
	out := e.command(c)
	if !e.changes.empty() {
		next.View.Index = index
	}
	if out.Index == 0 {
		out.Index = index
	}
	return &next, out, e.changes
}

func (e *editor) command(c Command) commandResult {
	switch {
	case c.Register != nil:
		return e.register(*c.Register)
	case c.EndLease != nil:
		return e.endLease(*c.EndLease)
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
		return e.enlist(*c.Enlist)
	case c.Delist != nil:
		return e.delist(*c.Delist)
	case c.SuspendPrimary != nil:
		return e.suspendPrimary(*c.SuspendPrimary)
	case c.ChooseCandidate != nil:
		return e.chooseCandidate(*c.ChooseCandidate)
	case c.RecordPrimary != nil:
		return e.recordPrimary(*c.RecordPrimary)
	case c.RenewProof != nil:
		return e.renewProof(*c.RenewProof)
	case c.NoteUnrecordedHolder != nil:
		return e.noteUnrecordedHolder(*c.NoteUnrecordedHolder)
	}
	for _, b := range c.Batch {
		e.command(b)
	}
	return commandResult{}
}

// targetKey returns the key of a target in the maps of the state. Names of databases and targets contain no NUL.
func targetKey(database, target string) string { return database + "\x00" + target }

func (e *editor) setHost(h jacinthtiller.Host) {
	if !e.cloned["hosts"] {
		e.s.View.Hosts, e.cloned["hosts"] = maps.Clone(e.s.View.Hosts), true
	}
	h.ChangedIndex = e.changes.index
	e.s.View.Hosts[h.Name] = h
	e.changes.hosts = append(e.changes.hosts, h.Name)
}

func (e *editor) setDatabase(d jacinthtiller.Database) {
	if !e.cloned["databases"] {
		e.s.View.Databases, e.cloned["databases"] = maps.Clone(e.s.View.Databases), true
	}
	old := e.s.View.Databases[d.Name]
	if !d.Direct || old.Term != d.Term || old.Primary != d.Primary || old.FormerPrimary != d.FormerPrimary || old.Candidate != d.Candidate {
		e.changes.urgent = true
	}
	e.s.View.Databases[d.Name] = d
	e.changes.databases = append(e.changes.databases, d.Name)
}

func (e *editor) setHandover(k string, h handover) {
	if !e.cloned["handovers"] {
		e.s.Handovers, e.cloned["handovers"] = maps.Clone(e.s.Handovers), true
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

// target returns a target and its database.
func (s *state) target(database, target string) (jacinthtiller.Database, jacinthtiller.Target, bool) {
	d := s.View.Databases[database]
	t, ok := d.Targets[target]
	return d, t, ok
}

func (e *editor) register(c registerCommand) commandResult {
	h := c.Host
	h.LeaseEnded = false
	old, known := e.s.View.Hosts[h.Name]
	if known && !old.LeaseEnded && old.Incarnation != h.Incarnation && !h.Exclusive {
		return commandResult{Code: codeBusy}
	}
	h.ChangedIndex = old.ChangedIndex
	if known && old == h {
		return commandResult{Index: e.s.Registered[h.Name]}
	}
	e.setHost(h)
	e.s.Registered = maps.Clone(e.s.Registered)
	e.s.Registered[h.Name] = e.changes.index
	if known && old.Incarnation != h.Incarnation {
		// The new process does not have the marks that the former one kept in memory.
		e.updateOwned(h.Name, func(t jacinthtiller.Target) jacinthtiller.Target {
			t.Epoch++
			return t
		})
	}
	return commandResult{}
}

func (e *editor) endLease(c endLeaseCommand) commandResult {
	h, ok := e.s.View.Hosts[c.Host]
	if !ok || h.LeaseEnded || h.Incarnation != c.Incarnation {
		return commandResult{Code: codeStale}
	}
	h.LeaseEnded = true
	e.setHost(h)
	for k, v := range e.s.Handovers {
		if v.Host == c.Host {
			e.setHandover(k, handover{})
		}
	}
	if c.Released {
		e.updateOwned(c.Host, func(t jacinthtiller.Target) jacinthtiller.Target {
			t.Owner = ""
			t.Epoch++
			return t
		})
	}
	return commandResult{}
}

func (e *editor) forget(c forgetCommand) commandResult {
	h, ok := e.s.View.Hosts[c.Host]
	if !ok || !h.LeaseEnded {
		return commandResult{Code: codeStale}
	}
	for _, d := range e.s.View.Databases {
		for _, t := range d.Targets {
			if t.Owner == c.Host {
				return commandResult{Code: codeStale}
			}
		}
	}
	e.setHost(h)
	delete(e.s.View.Hosts, c.Host)
	e.s.Registered = maps.Clone(e.s.Registered)
	delete(e.s.Registered, c.Host)
	return commandResult{}
}
