package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// suspicionTTL is how long a host's report that it cannot reach a primary counts; hosts repeat it every 300 ms.
	suspicionTTL = time.Second
	// refusalsUntilDown is how many refused connections in a row show that no process listens at a primary's address.
	refusalsUntilDown = 2
	// timeoutsUntilSilent is how many unanswered questions in a row show that a primary is out of this process's reach.
	timeoutsUntilSilent = 2
	// cutOffPercent is the share of the hosts with a lease, in percent, from which on a primary that this process still
	// reaches is replaced because they cannot reach it: the others relay until then, and a promotion stops the writes of all.
	cutOffPercent = 85
	// silentPercent is the share of the hosts with a lease, in percent, that must miss a primary which this process
	// cannot reach either: a primary that most hosts still reach is only cut off from control.
	silentPercent = 40
	// singleTimeoutPercent is the share from which on one unanswered question is enough.
	singleTimeoutPercent = 80
)

// evidence is what the leader knows about whether a primary can be reached.
type evidence struct {
	// target is the primary that the evidence is about.
	target string
	// suspicions holds when each host last reported that it cannot reach the primary.
	suspicions map[string]time.Time
	// refusals and timeouts count the leader's own failed questions in a row.
	refusals, timeouts int
	// answered is true once the leader's own question was answered after the newest failure.
	answered bool
	// role is the role in that answer.
	role jacinthtiller.Role
}

// suspectingHosts counts the hosts whose reports still count.
func (e *evidence) suspectingHosts(now time.Time) int {
	n := 0
	for _, at := range e.suspicions {
		if now.Sub(at) < suspicionTTL {
			n++
		}
	}
	return n
}

// cause is why a primary must be replaced; empty when it stays.
type cause string

// The causes on a primary.
const (
	causeNone     cause = ""
	causeDeparted cause = "departed" // it has left the group
	causeLeaving  cause = "leaving"  // it says that it is leaving
	causeDemoted  cause = "demoted"  // it answers that it is a replica
	causeDown     cause = "down"     // nothing listens at its address
	causeSilent   cause = "silent"   // neither the leader nor enough hosts reach it
	causeCutOff   cause = "cut-off"  // the leader reaches it, but most hosts do not
)

// replacementCause decides whether the primary of a direct group has to be replaced. Hosts is how many hosts hold a lease and
// connect to the primary themselves.
func replacementCause(d jacinthtiller.Database, e *evidence, hosts int, now time.Time) cause {
	t, ok := d.Targets[d.Primary]
	if !ok {
		return causeDeparted
	}
	replaceable := slices.ContainsFunc(d.TargetNames(), func(n string) bool {
		return n != d.Primary && d.Targets[n].State == jacinthtiller.StateServing
	})
	if !replaceable {
		return causeNone // nobody could take over
	}
	if t.State == jacinthtiller.StateLeaving {
		return causeLeaving
	}
	if e == nil || e.target != d.Primary {
		return causeNone
	}
	suspecting := e.suspectingHosts(now)
	percent := 0
	if hosts > 0 {
		percent = suspecting * 100 / hosts
	}
	switch {
	case e.answered && e.role == jacinthtiller.RoleReplica:
		return causeDemoted
	case e.refusals >= refusalsUntilDown && (suspecting > 0 || hosts == 0):
		return causeDown
	case e.timeouts >= timeoutsUntilSilent && percent >= silentPercent, e.timeouts > 0 && percent >= singleTimeoutPercent:
		return causeSilent
	case e.answered && percent >= cutOffPercent:
		return causeCutOff
	}
	return causeNone
}

// targetStatuses is what the targets of a direct group have answered.
type targetStatuses map[string]jacinthtiller.TargetStatus

// targetsToInspect returns the targets to ask for their state, by name. A former primary that was found to be out of reach is left
// out: waiting for it would hold up the promotion. While a database is young only targets that report themselves as its
// primary are asked: nothing is promoted yet, and at the first start of all there are hundreds.
func targetsToInspect(d jacinthtiller.Database, why cause, bootstrapping bool) []jacinthtiller.Target {
	var out []jacinthtiller.Target
	for _, n := range d.TargetNames() {
		lost := n == d.Former && (why == causeSilent || why == causeDown)
		if !lost && (!bootstrapping || d.Targets[n].Role == jacinthtiller.RolePrimary) {
			out = append(out, d.Targets[n])
		}
	}
	return out
}

// leading returns the target that leads a later term than the recorded one, or that leads any term when none is
// recorded; empty when there is none.
func (v targetStatuses) leading(d jacinthtiller.Database) string {
	best := ""
	for _, n := range d.TargetNames() {
		x, ok := v[n]
		if !ok || x.Role != jacinthtiller.RolePrimary || x.Term < d.Term || x.Term == d.Term && d.Term != 0 {
			continue
		}
		if best == "" || x.Term > v[best].Term {
			best = n
		}
	}
	return best
}

// stillLeads reports whether the former primary leads the recorded term and may be put back into service.
func (v targetStatuses) stillLeads(d jacinthtiller.Database) bool {
	x, ok := v[d.Former]
	return ok && x.Role == jacinthtiller.RolePrimary && x.Term == d.Term &&
		d.Targets[d.Former].State == jacinthtiller.StateServing
}

// successor returns the target to promote: the one with the most of the log among those that serve. Avoided ones are
// passed over unless there is no other. The former primary is never chosen.
func (v targetStatuses) successor(d jacinthtiller.Database, avoidUntil map[string]time.Time, now time.Time) string {
	var names []string
	for _, n := range d.TargetNames() {
		if _, ok := v[n]; ok && n != d.Former && d.Targets[n].State == jacinthtiller.StateServing {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return ""
	}
	avoided := func(n string) int {
		if now.Before(avoidUntil[n]) {
			return 1
		}
		return 0
	}
	return slices.MinFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(avoided(a), avoided(b)),
			v[b].Received.Compare(v[a].Received),
			cmp.Compare(d.Targets[a].ColdMilliseconds, d.Targets[b].ColdMilliseconds),
			cmp.Compare(a, b),
		)
	})
}

// complete reports whether a promotion can lose no commit that a replica had before it was acknowledged: with
// synchronous replicas, so many of the others must have answered that one of them holds every such commit.
func (v targetStatuses) complete(d jacinthtiller.Database, g jacinthtiller.Group) bool {
	if g.SyncReplicas == 0 {
		return true
	}
	answered, others := 0, 0
	for _, n := range d.TargetNames() {
		if n == d.Former {
			continue
		}
		others++
		if _, ok := v[n]; ok {
			answered++
		}
	}
	return answered > others-g.SyncReplicas
}

// caughtUp reports whether the successor holds all that the former primary holds, as a planned change wants. A former
// primary that does not answer has nothing to wait for.
func (v targetStatuses) caughtUp(d jacinthtiller.Database, successor string) bool {
	former, ok := v[d.Former]
	return !ok || former.Role != jacinthtiller.RolePrimary || v[successor].Received.Covers(former.Received)
}

// noHostBehind reports whether no host can acknowledge work under a view before index any more: each has a later view in
// force, or its lease has ended.
func (l *leader) noHostBehind(s *state, index uint64, now time.Time) bool {
	l.syncLeases(s, now)
	for name := range s.View.Hosts {
		if e := l.leases[name]; e != nil && e.inForce < index && now.Before(e.deadline) {
			return false
		}
	}
	return true
}
