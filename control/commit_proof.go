package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jacinthtiller/jacinthtiller"
)

// maxDepartedReplicas bounds the departed replicas that a proof lists. A proof that would exceed it proves nothing any more
// until it is renewed.
const maxDepartedReplicas = 64

// commitProof tells which targets of a direct group with synchronous replicas hold its acknowledged commits.
//
// Invariant: the primary of the recorded term, or the former one while there is none, holds every acknowledged commit, and
// at least Copies of the replicas hold it. The replicas are all other recorded targets of the group but those in Absent, and
// those in Departed. Commits that a promotion rolled back do not count.
//
// The log entry that changes the group or its number of synchronous replicas adapts the proof in the same step, so that no
// leader sees one without the other. Only renewProofCommand raises Copies, empties Departed or adds to Absent. The leader
// proposes it after it has seen, in this order, that every departed or absent replica has ended, which position the primary
// has, and that as many other replicas as acknowledge a commit have reached that position.
type commitProof struct {
	// Copies is at most the number of synchronous replicas in force. At 0 only the primary's own log proves anything.
	Copies int `cbor:"copies" json:"copies"`
	// Departed holds replicas that left the group since the proof was renewed, oldest first. Each may hold acknowledged
	// commits that no recorded replica has.
	Departed []logHolder `cbor:"departed,omitempty" json:"departed,omitempty"`
	// Absent holds recorded targets that did not run when the proof was renewed, sorted. One that reports itself again counts
	// as a replica from then on.
	Absent []targetIncarnation `cbor:"absent,omitempty" json:"absent,omitempty"`
	// PrimaryLog is the incarnation whose log holds every acknowledged commit: the primary that was seen to lead or, after its
	// departure, the target that took over its log. Zero while none is known.
	PrimaryLog logHolder `cbor:"primary-log" json:"primary-log"`
	// Unrecorded is a position that was acknowledged when no recorded replica had reached it, so that a target which was not
	// recorded held it. It is zero while none is known to have done so. A new primary must have reached it.
	Unrecorded jacinthtiller.Position `cbor:"unrecorded" json:"unrecorded"`
	// ChangedIndex is the log index of the last change; 0 for a group without a proof.
	ChangedIndex uint64 `cbor:"changed" json:"changed"`
}

// logHolder is an incarnation of a target and what becomes of its log.
type logHolder struct {
	targetIncarnation
	Address string `cbor:"address" json:"address"`
	// HandsOver is true for a target that has departed after it had reported that it was leaving: its log is transferred to a
	// new target at its address.
	HandsOver bool `cbor:"hands-over,omitempty" json:"hands-over,omitempty"`
}

func logHolderOf(t jacinthtiller.Target) logHolder {
	return logHolder{targetIncarnation: incarnationOf(t), Address: t.Address}
}

// isAbsent reports whether the incarnation of a target is in Absent.
func (p commitProof) isAbsent(t jacinthtiller.Target) bool {
	return slices.Contains(p.Absent, incarnationOf(t))
}

// withoutAbsent removes the incarnation of a target from Absent.
func (p *commitProof) withoutAbsent(t jacinthtiller.Target) {
	p.Absent = slices.DeleteFunc(p.Absent, func(x targetIncarnation) bool { return x == incarnationOf(t) })
}

// handsOverTo reports whether the log is transferred to the target that sent the report.
func (t logHolder) handsOverTo(r jacinthtiller.TargetReport) bool {
	return t.HandsOver && t.Address == r.Address && t.Target != r.Target && t.StartedMilliseconds < r.StartedMilliseconds
}

// requirement is what a new primary of a direct group must hold.
type requirement struct {
	commitProof
	// syncReplicas is how many replicas have a commit before it is acknowledged; at 0 nothing is required.
	syncReplicas int
	// certain is at or before an acknowledged commit, and possible at or after each that hosts know of, in the recorded term.
	certain, possible jacinthtiller.Position
	// hostLost is true if a host was lost a moment ago, so that nobody may know of commits that were acknowledged to it.
	hostLost bool
}

// requirement returns what a new primary of the database must hold. Before the first primary is recorded nothing has been
// acknowledged through this system, and all targets count as replicas.
func (s *state) requirement(database string) requirement {
	out := requirement{commitProof: s.CommitProofs[database], syncReplicas: s.View.SyncReplicas(database)}
	if s.View.Databases[database].Term == 0 {
		out.commitProof = commitProof{Copies: out.syncReplicas}
	}
	return out
}

// needsRenewal reports whether the proof depends on former targets, or on fewer replicas than acknowledge a commit.
func (r requirement) needsRenewal(d jacinthtiller.Database) bool {
	return r.syncReplicas > 0 && (r.Copies < r.syncReplicas || len(r.Departed) > 0 || !r.Unrecorded.IsZero() ||
		r.PrimaryLog.targetIncarnation != incarnationOf(d.Targets[d.Primary]))
}

// primaryLogHolder returns the recorded target that has taken over the log of the departed primary; empty when there is none.
func (r requirement) primaryLogHolder(d jacinthtiller.Database) string {
	t, ok := d.Targets[r.PrimaryLog.Target]
	if ok && t.Name != d.FormerPrimary && incarnationOf(t) == r.PrimaryLog.targetIncarnation {
		return t.Name
	}
	return ""
}

// acknowledged returns a position that covers every acknowledged commit, and false when the answers do not prove one. The
// answers must be from after the last acknowledgement under the former primary, and the requirement from after the answers.
// The proof says nothing of targets that are not recorded: what hosts know to be acknowledged is required as well, and
// holdsPossible tells whether anything else may be.
func (s targetStatuses) acknowledged(d jacinthtiller.Database, r requirement) (jacinthtiller.Position, bool) {
	if r.syncReplicas == 0 {
		return jacinthtiller.Position{}, true
	}
	var proven []jacinthtiller.Position
	if p, ok := s.coveredByReplicas(d, r); ok {
		proven = append(proven, p)
	}
	if x, ok := s[d.FormerPrimary]; ok && x.Role == jacinthtiller.RolePrimary && x.Term == d.Term {
		proven = append(proven, x.Received)
	}
	if x, ok := s[r.primaryLogHolder(d)]; ok {
		proven = append(proven, x.Received)
	}
	if len(proven) == 0 {
		return jacinthtiller.Position{}, false
	}
	return slices.MinFunc(proven, jacinthtiller.Position.Compare).Max(r.certain), true
}

// coveredByReplicas derives the position from the answers of the replicas: of the Copies replicas that hold a commit, at
// least Copies less the number of those that have left or do not answer are among the ones that answered.
func (s targetStatuses) coveredByReplicas(d jacinthtiller.Database, r requirement) (jacinthtiller.Position, bool) {
	var received []jacinthtiller.Position
	copies := r.Copies - len(r.Departed)
	for n, t := range d.Targets {
		if n == d.FormerPrimary {
			continue
		}
		if x, ok := s[n]; ok {
			received = append(received, x.Received)
		} else if !r.isAbsent(t) {
			copies--
		}
	}
	switch {
	case copies <= 0:
		return jacinthtiller.Position{}, false
	case len(received) == 0:
		return jacinthtiller.Position{}, true // no replica could acknowledge a commit
	}
	slices.SortFunc(received, func(a, b jacinthtiller.Position) int { return b.Compare(a) })
	return received[min(copies, len(received))-1], true
}

// copies counts the targets other than the successor that hold the position, which covers every acknowledged commit.
func (s targetStatuses) copies(successor string, required jacinthtiller.Position) int {
	out := 0
	for n, x := range s {
		if n != successor && x.Received.Covers(required) {
			out++
		}
	}
	return out
}

// possibleHolders returns the targets that may hold acknowledged commits and have not answered, sorted.
func (s targetStatuses) possibleHolders(d jacinthtiller.Database, r requirement) []string {
	out := map[string]bool{}
	for n, t := range d.Targets {
		if _, ok := s[n]; !ok && !r.isAbsent(t) {
			out[n] = true
		}
	}
	for _, t := range r.Departed {
		out[t.Target] = true
	}
	if n := cmp.Or(r.PrimaryLog.Target, d.FormerPrimary); n != "" {
		if _, ok := s[n]; !ok {
			out[n] = true
		}
	}
	if !r.certain.IsZero() && s.copies("", r.certain) == 0 {
		out[unrecordedHolder] = true
	}
	return slices.Sorted(maps.Keys(out))
}

// unrecordedHolder stands for a target that is not recorded in lists of possible holders. No target has a name with a blank.
const unrecordedHolder = "not recorded"

// sameTargets reports whether two states of a group have the same incarnations of targets.
func sameTargets(a, b jacinthtiller.Database) bool {
	return maps.EqualFunc(a.Targets, b.Targets, func(x, y jacinthtiller.Target) bool { return incarnationOf(x) == incarnationOf(y) })
}

// changeProof changes the proof of a group with synchronous replicas. Groups without them have no proof.
func (e *editor) changeProof(database string, change func(p *commitProof)) {
	if e.s.View.SyncReplicas(database) == 0 {
		return
	}
	p := e.s.CommitProofs[database]
	p.Departed, p.Absent = slices.Clone(p.Departed), slices.Clone(p.Absent)
	change(&p)
	p.ChangedIndex = e.changes.index
	e.setProof(database, &p)
}

// setProof records a proof, or removes it if it is nil.
func (e *editor) setProof(database string, p *commitProof) {
	if !e.cloned["proofs"] {
		e.s.CommitProofs, e.cloned["proofs"] = maps.Clone(e.s.CommitProofs), true
	}
	switch {
	case p == nil:
		delete(e.s.CommitProofs, database)
	case e.s.CommitProofs == nil:
		e.s.CommitProofs = map[string]commitProof{database: *p}
	default:
		e.s.CommitProofs[database] = *p
	}
}

// departFromProof keeps an incarnation that is about to leave its group, or to be replaced under its name, as a possible
// holder of acknowledged commits.
func (e *editor) departFromProof(t jacinthtiller.Target) {
	isPrimary := e.isPrimary(t)
	e.changeProof(t.Database, func(p *commitProof) {
		p.withoutAbsent(t)
		gone := logHolderOf(t)
		// An operator's request to leave does not make the target transfer its log.
		gone.HandsOver = t.State == jacinthtiller.StateLeaving && !e.s.Leaving[targetKey(t.Database, t.Name)]
		if p.PrimaryLog.targetIncarnation == gone.targetIncarnation {
			p.PrimaryLog = gone
		}
		if isPrimary {
			return // no replica
		}
		p.Departed = append(p.Departed, gone)
		if n := len(p.Departed) - maxDepartedReplicas; n > 0 {
			p.Departed, p.Copies = p.Departed[n:], 0
		}
	})
}

// inheritLogs makes a new incarnation of a target answer for the departed ones whose logs it takes over at their address.
// Only the first one at an address does: nobody takes over the logs of the others any more, nor the one of an incarnation
// that started again under its name and may have lost it.
func (e *editor) inheritLogs(r jacinthtiller.TargetReport) {
	waits := func(t logHolder) bool { return t.HandsOver && t.Address == r.Address }
	for n, p := range e.s.CommitProofs {
		if !waits(p.PrimaryLog) && !slices.ContainsFunc(p.Departed, waits) {
			continue
		}
		inherits := func(t logHolder) bool { return n == r.Database && t.handsOverTo(r) }
		e.changeProof(n, func(p *commitProof) {
			p.Departed = slices.DeleteFunc(p.Departed, inherits)
			for i := range p.Departed {
				p.Departed[i].HandsOver = p.Departed[i].HandsOver && !waits(p.Departed[i])
			}
			switch {
			case inherits(p.PrimaryLog):
				p.PrimaryLog = logHolderOf(targetFromReport(r))
			case waits(p.PrimaryLog):
				p.PrimaryLog.HandsOver = false
			}
		})
	}
}

// promoteInProof adapts the proof of a group to its next primary. A new one is no replica any more, while the former one may
// become one. copies is how many others have been seen to hold all acknowledged commits. It is called before the primary is
// recorded.
func (e *editor) promoteInProof(d jacinthtiller.Database, target string, copies int) {
	e.changeProof(d.Name, func(p *commitProof) {
		p.PrimaryLog = logHolderOf(d.Targets[target])
		p.withoutAbsent(d.Targets[target])
		if target != d.FormerPrimary {
			p.Unrecorded = jacinthtiller.Position{} // the new primary has reached it
			p.Copies = max(0, p.Copies-1, min(copies, e.s.View.SyncReplicas(d.Name)))
		}
	})
}

// limitProofs adapts the proofs to the numbers of synchronous replicas of a new edition: commits are acknowledged with these
// from now on. A higher number says nothing about earlier commits.
func (e *editor) limitProofs() {
	for n, p := range e.s.CommitProofs {
		switch k := e.s.View.SyncReplicas(n); {
		case k == 0:
			e.setProof(n, nil)
		case k < p.Copies:
			e.changeProof(n, func(p *commitProof) { p.Copies = k })
		}
	}
}

// renewProof records that all acknowledged commits are on as many of the present replicas as acknowledge one, unless the group
// has changed since the leader began to look.
func (e *editor) renewProof(c renewProofCommand) commandResult {
	d, primary, ok := e.s.target(c.Database, c.Primary.Target)
	edition := e.s.View.Edition
	if !ok || !d.Direct || d.Primary != primary.Name || incarnationOf(primary) != c.Primary || d.Term != c.Term ||
		edition == nil || edition.Number != c.Edition ||
		e.s.CommitProofs[c.Database].ChangedIndex != c.ChangedIndex {
		return commandResult{Code: codeStale}
	}
	e.changeProof(c.Database, func(p *commitProof) {
		*p = commitProof{Copies: e.s.View.SyncReplicas(c.Database), PrimaryLog: logHolderOf(primary)}
		for _, n := range d.TargetNames() {
			if x := incarnationOf(d.Targets[n]); n != d.Primary && slices.Contains(c.Absent, x) {
				p.Absent = append(p.Absent, x)
			}
		}
	})
	return commandResult{}
}
