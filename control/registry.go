package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jacinthtiller/jacinthtiller"
)

// maxDeparted is how many departed targets are remembered; a report can be late by seconds, not by days.
const maxDeparted = 512

// edition puts an edition in force. An edition whose number is not higher is accepted without effect, because it is a
// resend or outdated.
func (e *editor) edition(c editionCommand) commandResult {
	old := e.s.View.Edition
	if old != nil && c.Edition.Number <= old.Number {
		return commandResult{Code: codeOlder, Revision: old.Number}
	}
	updated := c.Edition
	e.s.View.Edition, e.s.EditionText = &updated, c.Text
	e.s.View.Document = e.changes.index
	e.changes.edition, e.changes.urgent = newEditionChange(old, updated), true
	e.limitProofs()
	return commandResult{Revision: updated.Number}
}

// hasDeparted reports whether this incarnation of a target, or a later one, has left its group.
func (s *state) hasDeparted(r jacinthtiller.TargetReport) bool {
	_, ok := s.departureOf(r)
	return ok
}

// conflicting returns the recorded targets of direct groups that have the report's name or address, sorted by database
// and name.
func (s *state) conflicting(r jacinthtiller.TargetReport) []jacinthtiller.Target {
	var out []jacinthtiller.Target
	for _, d := range s.View.Databases {
		if !d.Direct {
			continue
		}
		for _, t := range d.Targets {
			if t.Name == r.Target || t.Address == r.Address {
				out = append(out, t)
			}
		}
	}
	slices.SortFunc(out, func(a, b jacinthtiller.Target) int {
		return cmp.Or(cmp.Compare(a.Database, b.Database), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// isOutdated reports whether a report is of an incarnation before the recorded one, is older than the recorded report of
// its incarnation, or is of a target whose address a younger target has taken over.
func (s *state) isOutdated(r jacinthtiller.TargetReport, conflicts []jacinthtiller.Target) bool {
	return s.hasDeparted(r) || slices.ContainsFunc(conflicts, func(t jacinthtiller.Target) bool {
		older := t.Name == r.Target && r.StartedMilliseconds == t.StartedMilliseconds && r.Sequence < t.Sequence
		return older || r.StartedMilliseconds < t.StartedMilliseconds
	})
}

// targetFromReport returns the target that a report describes.
func targetFromReport(r jacinthtiller.TargetReport) jacinthtiller.Target {
	return jacinthtiller.Target{
		Name: r.Target, Database: r.Database, Address: r.Address, Domain: r.Domain, State: r.State,
		Role: r.Role, Slots: r.Slots, StartedMilliseconds: r.StartedMilliseconds, Sequence: r.Sequence,
		WarmupMilliseconds: r.WarmupMilliseconds,
	}
}

// reported returns the target that a report describes. One that an operator has asked to leave stays leaving whatever it
// reports.
func (s *state) reported(r jacinthtiller.TargetReport) jacinthtiller.Target {
	t := targetFromReport(r)
	if s.Leaving[targetKey(r.Database, r.Target)] {
		t.State = jacinthtiller.StateLeaving
	}
	return t
}

// isNewReport reports whether a report changes the recorded target. The remaining warm-up time of a target counts down
// by itself and does not count as a change.
func (s *state) isNewReport(r jacinthtiller.TargetReport) bool {
	return !s.isRepeat(r) && !s.isOutdated(r, s.conflicting(r))
}

// includes reports whether what is recorded of a target includes a report of it.
func (s *state) includes(r jacinthtiller.TargetReport) bool {
	t, ok := s.View.Databases[r.Database].Targets[r.Target]
	return s.isRepeat(r) || ok && incarnationOf(t) == incarnationOf(targetFromReport(r)) && t.Address == r.Address && t.Sequence >= r.Sequence
}

// isRepeat reports whether a report only repeats what is recorded of its target. A target that is recorded as absent is not,
// once it reports.
func (s *state) isRepeat(r jacinthtiller.TargetReport) bool {
	old, ok := s.View.Databases[r.Database].Targets[r.Target]
	reported := s.reported(r)
	reported.WarmupMilliseconds, reported.Sequence = old.WarmupMilliseconds, old.Sequence
	return ok && old == reported && r.Sequence >= old.Sequence && !s.CommitProofs[r.Database].isAbsent(old)
}

func (e *editor) enlist(c enlistCommand) commandResult {
	r := c.Report
	conflicts := e.s.conflicting(r)
	confirmed := c.Confirmation != nil && c.Confirmation.equal(e.s.contradiction(r))
	if !confirmed && e.s.isOutdated(r, conflicts) {
		return commandResult{Code: codeStale}
	}
	if e.s.isRepeat(r) {
		return commandResult{}
	}
	heldLog := confirmed && e.readmit(r)
	for _, t := range conflicts {
		switch {
		case t.Name != r.Target || t.Database != r.Database:
			e.recordDeparture(t, true)
			e.setDatabase(e.s.View.Databases[t.Database].WithoutTarget(t.Name))
		case t.StartedMilliseconds != r.StartedMilliseconds && !heldLog:
			e.departFromProof(t)
		case e.s.CommitProofs[t.Database].isAbsent(t):
			e.changeProof(t.Database, func(p *commitProof) { p.withoutAbsent(t) })
		}
	}
	if d, ok := e.s.View.Databases[r.Database]; !ok || incarnationOf(d.Targets[r.Target]) != incarnationOf(targetFromReport(r)) {
		e.inheritLogs(r)
	}
	d, ok := e.s.View.Databases[r.Database]
	if !ok {
		d = jacinthtiller.Database{Name: r.Database, Direct: true}
	}
	if !d.Direct {
		return commandResult{Code: codeStale}
	}
	e.setDatabase(d.WithTarget(e.s.reported(r)))
	return commandResult{}
}

// isPrimary reports whether a target is the primary of its direct group, or the former one of a group without a primary.
func (e *editor) isPrimary(t jacinthtiller.Target) bool {
	d := e.s.View.Databases[t.Database]
	return t.Name == cmp.Or(d.Primary, d.FormerPrimary)
}

func (e *editor) delist(c delistCommand) commandResult {
	for _, t := range e.s.conflicting(jacinthtiller.TargetReport{Target: c.Target}) {
		if t.Name != c.Target {
			continue
		}
		if t.StartedMilliseconds != c.StartedMilliseconds {
			return commandResult{Code: codeStale}
		}
		e.recordDeparture(t, false)
		e.setDatabase(e.s.View.Databases[t.Database].WithoutTarget(c.Target))
		return commandResult{}
	}
	return commandResult{Code: codeUnknown}
}

func (e *editor) suspendPrimary(c suspendPrimaryCommand) commandResult {
	d, ok := e.s.View.Databases[c.Database]
	if !ok || !d.Direct || d.Primary == "" || d.Primary != c.Primary || d.Term != c.Term {
		return commandResult{Code: codeStale}
	}
	d.FormerPrimary, d.Candidate, d.PrimaryChangedIndex = d.Primary, "", e.changes.index
	e.setDatabase(d.WithPrimary(d.Term, ""))
	return commandResult{}
}

func (e *editor) chooseCandidate(c chooseCandidateCommand) commandResult {
	d, t, ok := e.s.target(c.Database, c.Target)
	if !ok || !d.Direct || d.Primary != "" || d.Term != c.Term || t.State == jacinthtiller.StateLeaving && !c.MayBeLeaving {
		return commandResult{Code: codeStale}
	}
	d.Candidate = c.Target
	e.setDatabase(d)
	return commandResult{}
}

func (e *editor) recordPrimary(c recordPrimaryCommand) commandResult {
	d, _, ok := e.s.target(c.Database, c.Target)
	if !ok || !d.Direct || d.Primary != "" || d.Term != c.From || c.Term < d.Term {
		return commandResult{Code: codeStale}
	}
	e.promoteInProof(d, c.Target, c.Copies)
	d.FormerPrimary, d.Candidate, d.MarkFloor, d.PrimaryChangedIndex = "", "", c.MarkFloor, e.changes.index
	e.setDatabase(d.WithPrimary(c.Term, c.Target))
	e.setOrderPending(c.Database, c.OrderPending)
	return commandResult{}
}

func (e *editor) setOrderPending(database string, pending bool) {
	if e.s.OrderPending[database] == pending {
		return
	}
	e.s.OrderPending = maps.Clone(e.s.OrderPending)
	switch {
	case !pending:
		delete(e.s.OrderPending, database)
	case e.s.OrderPending == nil:
		e.s.OrderPending = map[string]bool{database: true}
	default:
		e.s.OrderPending[database] = true
	}
}
