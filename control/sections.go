package control

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// HistoryRevisions is how many revisions of each section are retained.
	HistoryRevisions = 100
	// RequestWindow is how many request ids of each team are retained. A resend after 1000 further edits of the team
	// counts as a new request and gets a conflict, because its revision has been replaced.
	RequestWindow = 1000
)

// fingerprint identifies the content of an edit.
func (c sectionCommand) fingerprint() uint64 {
	b, err := encode([]any{c.Team, c.Author, c.Replaces, c.Text})
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

func (e *editor) section(c sectionCommand) commandResult {
	for _, r := range e.s.Requests[c.Team] {
		switch {
		case r.ID != c.Request:
		case r.Fingerprint != c.fingerprint():
			return commandResult{Code: codeReused, Revision: e.s.View.Sections[c.Team].Revision}
		default:
			return r.Answer
		}
	}
	out := e.replaceSection(c)
	out.Index = e.changes.index
	e.s.Requests = maps.Clone(e.s.Requests)
	list := append(slices.Clone(e.s.Requests[c.Team]), request{ID: c.Request, Fingerprint: c.fingerprint(), Answer: out})
	e.s.Requests[c.Team] = list[max(0, len(list)-RequestWindow):]
	return out
}

// replaceSection replaces a section unless it has another revision, or the new text claims a role of another team.
func (e *editor) replaceSection(c sectionCommand) commandResult {
	old := e.s.View.Sections[c.Team]
	if old.Revision != c.Replaces {
		return commandResult{Code: codeConflict, Revision: old.Revision}
	}
	var taken []string
	for _, r := range c.Roles {
		if team, ok := e.s.Roles[r]; ok && team != c.Team {
			taken = append(taken, r)
		}
	}
	if len(taken) > 0 {
		return commandResult{Code: codeRoleTaken, Revision: old.Revision, Names: taken}
	}
	updated := jacinthtiller.Section{Team: c.Team, Revision: old.Revision + 1, Text: c.Text, Author: c.Author}
	e.s.View.Sections = maps.Clone(e.s.View.Sections)
	e.s.View.Sections[c.Team] = updated
	e.s.View.Document = e.changes.index
	e.changes.sections, e.changes.urgent = append(e.changes.sections, c.Team), true
	e.s.Histories = maps.Clone(e.s.Histories)
	list := append(slices.Clone(e.s.Histories[c.Team]), updated)
	e.s.Histories[c.Team] = list[max(0, len(list)-HistoryRevisions):]
	e.s.Roles = maps.Clone(e.s.Roles)
	maps.DeleteFunc(e.s.Roles, func(_, team string) bool { return team == c.Team })
	for _, r := range c.Roles {
		e.s.Roles[r] = c.Team
	}
	return commandResult{Revision: updated.Revision}
}
