package control

import (
	"maps"
	"slices"

	"github.com/jacinthtiller/jacinthtiller"
)

// updateOwned changes all targets that a host owns.
func (e *editor) updateOwned(host string, change func(jacinthtiller.Target) jacinthtiller.Target) {
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

func (e *editor) observe(c observeCommand) commandResult {
	a := c.Announcement
	e.recordAnnouncement(a)
	d, known := e.s.View.Databases[a.Database]
	if !known {
		d = jacinthtiller.Database{Name: a.Database, Targets: map[string]jacinthtiller.Target{}}
	}
	old, seen := d.Targets[a.Target]
	if !seen && d.Term > 0 && len(d.Targets) > d.GroupSize {
		// One target may join before the one that it replaces has left. With more, a
		// majority of the new group might lack commits that a majority of the old group has stored.
		return commandResult{Code: codeStale}
	}
	t := old
	t.Name, t.Database, t.Address, t.Domain, t.State = a.Target, a.Database, a.Address, a.Domain, a.State
	if e.s.Leaving[targetKey(a.Database, a.Target)] {
		t.State = jacinthtiller.StateLeaving
	}
	if t.Lost {
		t = e.restoreLost(t, c)
	}
	size := max(d.GroupSize, a.GroupSize)
	if known && seen && t == old && size == d.GroupSize {
		return commandResult{Index: e.s.View.Index}
	}
	d.GroupSize = size
	e.setDatabase(d.WithTarget(t))
	return commandResult{}
}

// restoreLost returns a lost target that has announced itself again. Its owner gave up the former epoch by reporting the
// target as lost, so the target gets a new epoch.
func (e *editor) restoreLost(t jacinthtiller.Target, c observeCommand) jacinthtiller.Target {
	t.Lost = false
	t.Epoch++
	reporter, ok := e.s.View.Hosts[c.Host]
	if c.OwnerUnreachable && ok && !reporter.LeaseEnded && reporter.Domain == t.Domain {
		t.Owner = reporter.Name
	}
	return t
}

// recordAnnouncement records the last announcement of a target.
func (e *editor) recordAnnouncement(a jacinthtiller.Announcement) {
	p, err := jacinthtiller.ParsePosition(a.Position)
	if err != nil {
		p = jacinthtiller.Position{}
	}
	latest := announced{Role: a.Role, Term: a.Term, Position: p}
	if e.s.Announced[a.Database][a.Target] == latest {
		return
	}
	e.s.Announced = maps.Clone(e.s.Announced)
	group := maps.Clone(e.s.Announced[a.Database])
	if group == nil {
		group = map[string]announced{}
	}
	group[a.Target] = latest
	e.s.Announced[a.Database] = group
}

// hasNoActiveOwner reports whether no host may act as the owner of the target any more.
func (s *state) hasNoActiveOwner(t jacinthtiller.Target) bool {
	if t.Owner == "" {
		_, pending := s.Handovers[targetKey(t.Database, t.Name)]
		return !pending
	}
	h, ok := s.View.Hosts[t.Owner]
	return !ok || h.LeaseEnded
}

func (e *editor) assign(c assignCommand) commandResult {
	d, t, ok := e.s.target(c.Database, c.Target)
	if !ok {
		return commandResult{Code: codeUnknown}
	}
	k := targetKey(c.Database, c.Target)
	pending, inHandover := e.s.Handovers[k]
	handedOver := inHandover && c.InForce >= pending.Index
	to, ok := e.s.View.Hosts[c.Host]
	if t.Epoch != c.Epoch || !ok || to.LeaseEnded || !e.s.hasNoActiveOwner(t) && !handedOver {
		return commandResult{Code: codeStale}
	}
	if inHandover {
		e.setHandover(k, handover{})
	}
	t.Owner = c.Host
	t.Epoch++
	e.setDatabase(d.WithTarget(t))
	return commandResult{}
}

func (e *editor) unassign(c unassignCommand) commandResult {
	d, t, ok := e.s.target(c.Database, c.Target)
	if !ok || t.Epoch != c.Epoch || t.Owner == "" {
		return commandResult{Code: codeStale}
	}
	e.setHandover(targetKey(c.Database, c.Target), handover{Host: t.Owner, Index: e.changes.index})
	t.Owner = ""
	t.Epoch++
	e.setDatabase(d.WithTarget(t))
	return commandResult{}
}

// lost records that the owner gives up the target. For a primary, the same entry begins the next term, so that the
// promotion starts one round earlier.
func (e *editor) lost(c lostCommand) commandResult {
	d, t, ok := e.s.target(c.Database, c.Target)
	if !ok || t.Owner != c.Host || t.Epoch != c.Epoch || t.Lost {
		return commandResult{Code: codeStale}
	}
	t.Lost = true
	if d.Primary == c.Target {
		// In a planned move the target itself is healthy and only needs an owner that makes it a replica.
		t.Lost = d.Successor == ""
		t.Owner = ""
		t.Epoch++
		d = d.WithPrimary(d.Term+1, "")
	}
	e.setDatabase(d.WithTarget(t))
	return commandResult{}
}

func (e *editor) leave(c leaveCommand) commandResult {
	d, t, ok := e.s.target(c.Database, c.Target)
	if !ok {
		return commandResult{Code: codeUnknown}
	}
	e.setLeaving(targetKey(c.Database, c.Target), true)
	if t.State == jacinthtiller.StateLeaving {
		return commandResult{Index: e.s.View.Index}
	}
	t.State = jacinthtiller.StateLeaving
	e.setDatabase(d.WithTarget(t))
	return commandResult{}
}

// removable reports whether a target has left: it was leaving, has stopped and is not the primary.
func removable(d jacinthtiller.Database, t jacinthtiller.Target) bool {
	return t.State == jacinthtiller.StateLeaving && t.Lost && d.Primary != "" && d.Primary != t.Name
}

func (e *editor) remove(c removeCommand) commandResult {
	d, t, ok := e.s.target(c.Database, c.Target)
	if !ok || d.Term != c.Term || !removable(d, t) {
		return commandResult{Code: codeStale}
	}
	k := targetKey(c.Database, c.Target)
	e.setLeaving(k, false)
	e.setHandover(k, handover{})
	d.Targets = maps.Clone(d.Targets)
	delete(d.Targets, c.Target)
	e.setDatabase(d)
	e.s.Announced = maps.Clone(e.s.Announced)
	group := maps.Clone(e.s.Announced[c.Database])
	delete(group, c.Target)
	e.s.Announced[c.Database] = group
	return commandResult{}
}

func (e *editor) bootstrap(c bootstrapCommand) commandResult {
	d, t, ok := e.s.target(c.Database, c.Target)
	if !ok || d.Term != 0 || c.Term == 0 || t.Lost {
		return commandResult{Code: codeStale}
	}
	e.setDatabase(d.WithPrimary(c.Term, c.Target))
	return commandResult{}
}

func (e *editor) open(c openCommand) commandResult {
	d, ok := e.s.View.Databases[c.Database]
	if !ok || d.Term != c.From || c.Term <= c.From {
		return commandResult{Code: codeStale}
	}
	if d.Term != 0 && (d.Primary == "" || !e.s.hasNoActiveOwner(d.Targets[d.Primary])) {
		return commandResult{Code: codeStale}
	}
	e.setDatabase(d.WithPrimary(c.Term, ""))
	return commandResult{}
}

func (e *editor) commit(c commitCommand) commandResult {
	d, t, ok := e.s.target(c.Database, c.Target)
	if !ok || d.Term != c.Term || d.Primary != "" || t.Lost {
		return commandResult{Code: codeStale}
	}
	d.Successor = ""
	e.setDatabase(d.WithPrimary(c.Term, c.Target))
	return commandResult{}
}

func (e *editor) move(c moveCommand) commandResult {
	d, ok := e.s.View.Databases[c.Database]
	if !ok {
		return commandResult{Code: codeUnknown}
	}
	if d.Term != c.Term || d.Primary == "" || d.Primary == c.Target || d.Successor == c.Target {
		return commandResult{Code: codeStale}
	}
	if c.Target != "" {
		if t, ok := d.Targets[c.Target]; !ok || t.Lost {
			return commandResult{Code: codeUnknown}
		}
	}
	d.Successor = c.Target
	e.setDatabase(d)
	return commandResult{}
}
