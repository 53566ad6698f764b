package control

import (
	"maps"
	"slices"

	"github.com/jacinthtiller/jacinthtiller"
)

// departedTargets is how many targets that have left are remembered; a report can be late by seconds, not by days.
const departedTargets = 512

// edition puts an edition in force. An edition whose number is not higher is accepted and changes nothing, because it
// is a resend or has been overtaken.
func (e *editor) edition(c editionCommand) answer {
	if old := e.s.View.Edition; old != nil && c.Edition.Number <= old.Number {
		return answer{Code: codeOlder, Revision: old.Number}
	}
	now := c.Edition
	e.s.View.Edition, e.s.EditionText = &now, c.Text
	e.s.View.Document = e.changes.index
	e.changes.edition = true
	return answer{Revision: now.Number}
}

// hasDeparted reports whether the incarnation of a target has left its group, or an earlier one than it.
func (s *state) hasDeparted(r jacinthtiller.TargetReport) bool {
	return slices.ContainsFunc(s.Departed, func(d departed) bool {
		return d.Target == r.Target && r.BornMilliseconds <= d.BornMilliseconds
	})
}

// outdated reports whether the report is of an incarnation before the recorded one, was overtaken by another report of
// its incarnation, or is of a target whose address a younger one has taken over.
func (s *state) outdated(r jacinthtiller.TargetReport) bool {
	if s.hasDeparted(r) {
		return true
	}
	for _, d := range s.View.Databases {
		for _, t := range d.Targets {
			same := t.Name == r.Target || t.Address == r.Address
			late := t.Name == r.Target && r.BornMilliseconds == t.BornMilliseconds && r.Sequence < t.Sequence
			if d.Direct && (late || same && r.BornMilliseconds < t.BornMilliseconds) {
				return true
			}
		}
	}
	return false
}

// enlisted returns the target as a report describes it.
func enlisted(r jacinthtiller.TargetReport) jacinthtiller.Target {
	return jacinthtiller.Target{
		Name: r.Target, Database: r.Database, Address: r.Address, Domain: r.Domain, State: r.State,
		Role: r.Role, Slots: r.Slots, BornMilliseconds: r.BornMilliseconds, Sequence: r.Sequence,
		ColdMilliseconds: r.ColdMilliseconds,
	}
}

// isNews reports whether a report changes what is recorded of its target. The time for which a target stays cold
// counts down by itself and is no news.
func (s *state) isNews(r jacinthtiller.TargetReport) bool {
	if s.outdated(r) {
		return false
	}
	old, ok := s.View.Databases[r.Database].Targets[r.Target]
	now := enlisted(r)
	now.ColdMilliseconds, now.Sequence = old.ColdMilliseconds, old.Sequence
	return !ok || old != now
}

func (e *editor) enlist(r jacinthtiller.TargetReport) answer {
	if e.s.outdated(r) {
		return answer{Code: codeStale}
	}
	if !e.s.isNews(r) {
		return answer{}
	}
	for _, n := range slices.Sorted(maps.Keys(e.s.View.Databases)) {
		d := e.s.View.Databases[n]
		for _, t := range d.Targets {
			replaced := t.Address == r.Address || t.Name == r.Target && n != r.Database
			if d.Direct && replaced && (t.Name != r.Target || n != r.Database) {
				e.remember(t)
				d = d.WithoutTarget(t.Name)
				e.setDatabase(d)
			}
		}
	}
	d, ok := e.s.View.Databases[r.Database]
	if !ok {
		d = jacinthtiller.Database{Name: r.Database, Direct: true}
	}
	if !d.Direct {
		return answer{Code: codeStale}
	}
	e.setDatabase(d.WithTarget(enlisted(r)))
	return answer{}
}

// remember notes that the target's present incarnation has left.
func (e *editor) remember(t jacinthtiller.Target) {
	list := append(slices.Clone(e.s.Departed), departed{Target: t.Name, BornMilliseconds: t.BornMilliseconds})
	e.s.Departed = list[max(0, len(list)-departedTargets):]
}

func (e *editor) delist(c delistCommand) answer {
	for _, n := range slices.Sorted(maps.Keys(e.s.View.Databases)) {
		d := e.s.View.Databases[n]
		t, ok := d.Targets[c.Target]
		if !d.Direct || !ok {
			continue
		}
		if t.BornMilliseconds != c.BornMilliseconds {
			return answer{Code: codeStale}
		}
		e.remember(t)
		e.setDatabase(d.WithoutTarget(c.Target))
		return answer{}
	}
	return answer{Code: codeUnknown}
}

func (e *editor) suspendPrimary(c suspendPrimaryCommand) answer {
	d, ok := e.s.View.Databases[c.Database]
	if !ok || !d.Direct || d.Primary == "" || d.Primary != c.Primary || d.Term != c.Term {
		return answer{Code: codeStale}
	}
	d.Former, d.Candidate, d.Changed = d.Primary, "", e.changes.index
	e.setDatabase(d.WithPrimary(d.Term, ""))
	return answer{}
}

func (e *editor) chooseCandidate(c chooseCandidateCommand) answer {
	d, t, ok := e.s.target(c.Database, c.Target)
	if !ok || !d.Direct || d.Primary != "" || d.Term != c.Term || t.State == jacinthtiller.StateLeaving {
		return answer{Code: codeStale}
	}
	d.Candidate = c.Target
	e.setDatabase(d)
	return answer{}
}

func (e *editor) recordPrimary(c recordPrimaryCommand) answer {
	d, _, ok := e.s.target(c.Database, c.Target)
	if !ok || !d.Direct || d.Primary != "" || d.Term != c.From || c.Term < d.Term {
		return answer{Code: codeStale}
	}
	d.Former, d.Candidate, d.Floor, d.Changed = "", "", c.Floor, e.changes.index
	e.setDatabase(d.WithPrimary(c.Term, c.Target))
	return answer{}
}
