package document

import (
	"fmt"
	"maps"
	"slices"

	"github.com/jacinthtiller/jacinthtiller"
)

// Directory indexes the teams and roles of all sections of one view. It is immutable.
type Directory struct {
	teams map[string]Team
	// rolesByName maps the name of each role, unique over all teams, to its entry.
	rolesByName map[string]roleEntry
	faults      map[string][]Fault
}

// roleEntry is a role with the name of its team.
type roleEntry struct {
	role Role
	team string
}

// NewDirectory parses the sections. It uses the valid part of a section with faults:
// control rejects such sections, but another version of the program may have accepted one.
func NewDirectory(sections map[string]jacinthtiller.Section) *Directory {
	d := &Directory{teams: map[string]Team{}, rolesByName: map[string]roleEntry{}, faults: map[string][]Fault{}}
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		t, faults := Parse(name, sections[name].Text)
		if len(faults) > 0 {
			d.faults[name] = faults
		}
		d.teams[name] = t
		for _, r := range t.Roles {
			if _, taken := d.rolesByName[r.Name]; !taken {
				d.rolesByName[r.Name] = roleEntry{role: r, team: name}
			}
		}
	}
	return d
}

// Role returns a role and its team by the name that a guest logs in with.
func (d *Directory) Role(name string) (Role, Team, bool) {
	entry, ok := d.rolesByName[name]
	if !ok {
		return Role{}, Team{}, false
	}
	return entry.role, d.teams[entry.team], true
}

// Team returns a team by name.
func (d *Directory) Team(name string) (Team, bool) {
	t, ok := d.teams[name]
	return t, ok
}

// ReadClass returns a read class of a team; the empty name selects the team's default.
// The default of a team without a default class has no age limit.
func (d *Directory) ReadClass(team, name string) (ReadClass, bool) {
	t, ok := d.teams[team]
	if !ok {
		return ReadClass{}, false
	}
	if name == "" {
		name = t.DefaultClass
	}
	if name == "" {
		return ReadClass{}, true
	}
	for _, c := range t.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return ReadClass{}, false
}

// Weights returns the weight of each team.
func (d *Directory) Weights() map[string]int {
	out := make(map[string]int, len(d.teams))
	for n, t := range d.teams {
		out[n] = t.Weight
	}
	return out
}

// Faults returns the faults of the sections that have any, by team.
func (d *Directory) Faults() map[string][]Fault { return maps.Clone(d.faults) }

// CheckUniqueRoles reports the candidate's roles whose names are already used in another team's section.
func CheckUniqueRoles(sections map[string]jacinthtiller.Section, candidate Team) []Fault {
	teamByRole := map[string]string{}
	for name, s := range sections {
		if name == candidate.Name {
			continue
		}
		t, _ := Parse(name, s.Text)
		for _, r := range t.Roles {
			teamByRole[r.Name] = name
		}
	}
	return CheckRoleConflicts(teamByRole, candidate)
}

// CheckRoleConflicts reports the candidate's roles that belong to another team according to teamByRole.
func CheckRoleConflicts(teamByRole map[string]string, candidate Team) []Fault {
	var out []Fault
	for _, r := range candidate.Roles {
		if team, ok := teamByRole[r.Name]; ok && team != candidate.Name {
			out = append(out, Fault{
				Line: r.Line, Path: "roles", Value: r.Name,
				Rule: fmt.Sprintf("is a role of team %s already", team),
			})
		}
	}
	return out
}
