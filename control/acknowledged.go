package control

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// unrecordedHolderWait is how long the search for a primary waits for a target that is not recorded and may hold
	// acknowledged commits, when that is possible and not certain. A target that runs reports itself within 1.2 s of its start.
	unrecordedHolderWait = 1500 * time.Millisecond
	// runningPrimaryWait is how long it waits instead while the former primary runs, whose commits the others receive meanwhile.
	runningPrimaryWait = 3 * time.Second
	// hostLossRetention is how long the loss of a host makes it possible that nobody knows of commits which were
	// acknowledged to it: until its lease has ended, and some changes of primary later.
	hostLossRetention = 5 * time.Second
	// holderCheckInterval is the time between two checks whether recorded replicas hold the commits that are acknowledged.
	holderCheckInterval = 500 * time.Millisecond
	// holderCheckRate is how many inspections per second these checks may begin; the replicas of 930 databases take 40 s.
	holderCheckRate = 50
)

// recordAcknowledged records what a host knows of acknowledged commits. What it knows of earlier terms does not matter: the
// primary of the recorded term was promoted with all commits of them.
func (s *Server) recordAcknowledged(commits []jacinthtiller.AcknowledgedCommits) {
	if len(commits) == 0 {
		return
	}
	v := s.machine.state().View
	x := s.direct
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range commits {
		if d, ok := v.Databases[c.Database]; !ok || !d.Direct || c.Term != d.Term {
			continue
		}
		known := x.acknowledged[c.Database]
		if known.Term != c.Term {
			known = jacinthtiller.AcknowledgedCommits{Database: c.Database, Term: c.Term}
		}
		known.Certain, known.Possible = known.Certain.Max(c.Certain), known.Possible.Max(c.Possible)
		x.acknowledged[c.Database] = known
	}
}

// acknowledgedIn returns what hosts know of acknowledged commits of the group's recorded term.
func (x *directState) acknowledgedIn(d jacinthtiller.Database) jacinthtiller.AcknowledgedCommits {
	x.mu.Lock()
	defer x.mu.Unlock()
	if a := x.acknowledged[d.Name]; a.Term == d.Term {
		return a
	}
	return jacinthtiller.AcknowledgedCommits{}
}

// requirement returns what a new primary of the group must hold, by the proof of its commits and by what hosts know of them.
func (s *Server) requirement(st *state, d jacinthtiller.Database) requirement {
	r := st.requirement(d.Name)
	if r.syncReplicas == 0 {
		return r
	}
	a := s.direct.acknowledgedIn(d)
	r.certain, r.possible = a.Certain.Max(r.Unrecorded), a.Possible.Max(r.Unrecorded)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.hostLost = s.leader != nil && s.leader.lostHost(time.Now())
	return r
}

// holdsPossible reports whether the target holds all commits that may have been acknowledged, as far as hosts or the former
// primary, which still leads, know of them.
func (s targetStatuses) holdsPossible(d jacinthtiller.Database, r requirement, target string) bool {
	if s.formerLeads(d) && s[target].Received.Covers(s[d.FormerPrimary].Received) {
		return true
	}
	return !r.hostLost && s[target].Received.Covers(r.possible)
}

// formerLeads reports whether the former primary has answered that it leads the recorded term.
func (s targetStatuses) formerLeads(d jacinthtiller.Database) bool {
	x, ok := s[d.FormerPrimary]
	return ok && x.Role == jacinthtiller.RolePrimary && x.Term == d.Term
}

// awaitsHolder reports whether the search for a primary waits for a target that is not recorded, or for the former primary, although
// the target holds everything that is certainly acknowledged.
func (p *failover) awaitsHolder(d jacinthtiller.Database, v targetStatuses, r requirement, target string, now time.Time) bool {
	if r.syncReplicas == 0 || v.holdsPossible(d, r, target) {
		return false
	}
	if v.formerLeads(d) {
		return now.Before(p.runningPrimaryDeadline)
	}
	return now.Before(p.unrecordedHolderDeadline)
}

// checkHolders finds out whether a target that is not recorded lets the primary of a group acknowledge commits: then hosts know of
// acknowledged commits that no recorded replica has. This is recorded, because the hosts and the leader that know it may be lost
// together with the primary.
func (s *Server) checkHolders(ctx context.Context, wg *conc.WaitGroup, st *state, d jacinthtiller.Database, now time.Time) {
	r := st.requirement(d.Name)
	if r.syncReplicas == 0 || !r.Unrecorded.IsZero() {
		return
	}
	x := s.direct
	x.mu.Lock()
	certain := x.acknowledged[d.Name]
	due := certain.Term == d.Term && certain.Certain.Compare(x.checkedCommits[d.Name]) > 0 && !now.Before(x.holderCheckTimes[d.Name])
	x.mu.Unlock()
	if !due || !s.startTask(x.checkingHolders, d.Name) {
		return
	}
	s.runAsync(wg, "check whether recorded replicas hold acknowledged commits", func() {
		defer s.finishTask(x.checkingHolders, d.Name)
		var replicas []jacinthtiller.Target
		for _, n := range d.TargetNames() {
			if t := d.Targets[n]; n != d.Primary && !r.isAbsent(t) {
				replicas = append(replicas, t)
			}
		}
		if len(replicas) > 0 && !s.awaitInspections(ctx, s.holderCheckLimiter, len(replicas)) {
			return
		}
		v := s.inspectTargets(ctx, d, replicas)
		x.mu.Lock()
		x.holderCheckTimes[d.Name] = time.Now().Add(holderCheckInterval)
		x.checkedCommits[d.Name] = certain.Certain
		x.mu.Unlock()
		if len(v) < len(replicas) || v.copies("", certain.Certain) > 0 {
			return // one that does not answer may be the holder
		}
		c := noteUnrecordedHolderCommand{Database: d.Name, Term: d.Term, ChangedIndex: r.ChangedIndex, Position: certain.Certain}
		if s.proposeBatch(ctx, []Command{{NoteUnrecordedHolder: &c}}) && s.machine.state().CommitProofs[d.Name].Unrecorded == c.Position {
			s.events.Emit(event.ControlHolderUnrecorded, event.Fields{
				"database": d.Name, "term": d.Term, "primary": d.Primary, "position": certain.Certain.String(), "received": v.received(),
			})
		}
	})
}

// noteUnrecordedHolder records that a target which is not recorded holds acknowledged commits, unless the group has changed since
// its replicas were asked: one that joined meanwhile may be the holder.
func (e *editor) noteUnrecordedHolder(c noteUnrecordedHolderCommand) commandResult {
	d, ok := e.s.View.Databases[c.Database]
	if !ok || !d.Direct || d.Term != c.Term || e.s.CommitProofs[c.Database].ChangedIndex != c.ChangedIndex {
		return commandResult{Code: codeStale}
	}
	e.changeProof(c.Database, func(p *commitProof) { p.Unrecorded = c.Position })
	return commandResult{}
}
