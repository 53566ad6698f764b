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
	// refusalsUntilDown is how many consecutive refused connections show that no process listens at a primary's address.
	refusalsUntilDown = 2
	// timeoutsUntilSilent is how many consecutive unanswered inspections show that this process cannot reach a primary.
	timeoutsUntilSilent = 2
	// cutOffPercent is the percentage of the hosts with a lease from which a primary that this process still reaches is
	// replaced because they cannot reach it. Below it those hosts relay, since a promotion stops the writes of all
	// hosts.
	cutOffPercent = 85
	// silentPercent is the percentage of the hosts with a lease that must fail to reach a primary which this process
	// cannot reach either: a primary that most hosts still reach is only partitioned from control.
	silentPercent = 40
	// singleTimeoutPercent is the percentage from which one unanswered inspection is enough.
	singleTimeoutPercent = 80
)

// evidence is what the leader knows about the reachability of a primary.
type evidence struct {
	// target is the primary that the evidence is about.
	target string
	// suspicions holds when each host last reported that it cannot reach the primary.
	suspicions map[string]time.Time
	// refusals and timeouts count the leader's consecutive failed inspections.
	refusals, timeouts int
	// answered is true while the leader's last inspection was answered.
	answered bool
	// role is the role in that answer.
	role jacinthtiller.Role
}

// suspectingHosts counts the hosts whose reports have not expired.
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

// The causes for the replacement of a primary.
const (
	causeNone     cause = ""
	causeDeparted cause = "departed" // the primary has left the group
	causeLeaving  cause = "leaving"  // the primary reports that it is leaving
	causeDemoted  cause = "demoted"  // the primary answers that it is a replica
	causeDown     cause = "down"     // no process listens at the primary's address
	causeSilent   cause = "silent"   // neither the leader nor enough hosts reach the primary
	causeCutOff   cause = "cut-off"  // the leader reaches the primary, but most hosts do not
	causeBehind   cause = "behind"   // the primary is overloaded and its replicas are too far behind to take reads
)

// planned reports whether the former primary takes part in the change.
func (c cause) planned() bool { return c == causeLeaving || c == causeBehind }

// replacesServing reports whether a primary that was taken out of service for the cause is replaced even though it still leads.
func (c cause) replacesServing() bool {
	return c == causeCutOff || c.planned()
}

// replacementCause decides whether the primary of a direct group has to be replaced. hosts is how many hosts hold a
// lease and connect to the primary directly. leaveEnded is true when the primary is leaving and its time to leave is over.
func replacementCause(d jacinthtiller.Database, e *evidence, hosts int, leaveEnded bool, now time.Time) cause {
	t, ok := d.Targets[d.Primary]
	if !ok {
		return causeDeparted
	}
	if leaveEnded {
		return causeLeaving
	}
	replaceable := slices.ContainsFunc(d.TargetNames(), func(n string) bool {
		return n != d.Primary && d.Targets[n].State == jacinthtiller.StateServing
	})
	if !replaceable {
		return causeNone // no other target could take over
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

// targetStatuses holds the answers of the targets of a direct group, by name.
type targetStatuses map[string]jacinthtiller.TargetStatus

// targetsToInspect returns the targets to inspect, sorted by name. An unreachable former primary is left out, because
// waiting for it would delay the promotion, unless the group has to wait for it anyway. During bootstrap only targets that
// report themselves as the primary are inspected: nothing is promoted yet, and at the first start there are hundreds of
// targets.
func targetsToInspect(d jacinthtiller.Database, suspendCause cause, bootstrapping, awaitsFormer bool) []jacinthtiller.Target {
	var out []jacinthtiller.Target
	for _, n := range d.TargetNames() {
		lost := n == d.FormerPrimary && !awaitsFormer && (suspendCause == causeSilent || suspendCause == causeDown)
		if !lost && (!bootstrapping || d.Targets[n].Role == jacinthtiller.RolePrimary) {
			out = append(out, d.Targets[n])
		}
	}
	return out
}

// leading returns the target that leads a later term than the recorded one, or any term when none is recorded; empty
// when there is none.
func (s targetStatuses) leading(d jacinthtiller.Database) string {
	best := ""
	for _, n := range d.TargetNames() {
		x, ok := s[n]
		if !ok || x.Role != jacinthtiller.RolePrimary || x.Term < d.Term || x.Term == d.Term && d.Term != 0 {
			continue
		}
		if best == "" || x.Term > s[best].Term {
			best = n
		}
	}
	return best
}

// stillLeads reports whether the former primary leads the recorded term and may be put back into service.
func (s targetStatuses) stillLeads(d jacinthtiller.Database) bool {
	x, ok := s[d.FormerPrimary]
	return ok && x.Role == jacinthtiller.RolePrimary && x.Term == d.Term &&
		d.Targets[d.FormerPrimary].State == jacinthtiller.StateServing
}

// successor returns the target to promote: the serving target with the most of the log. Targets in avoidUntil are chosen
// only when there is no other. The former primary is never chosen, and neither is a target that lacks a commit which was
// acknowledged under synchronous replication. If only targets that are leaving hold all of these, one for which mayLead
// returns true is chosen, so that the others can receive its log.
func (s targetStatuses) successor(d jacinthtiller.Database, r requirement, mayLead func(jacinthtiller.Target) bool, avoidUntil map[string]time.Time, now time.Time) string {
	required, ok := s.acknowledged(d, r)
	if !ok {
		return ""
	}
	var serving, leaving []string
	for _, n := range d.TargetNames() {
		x, answered := s[n]
		switch {
		case !answered || n == d.FormerPrimary || !x.Received.Covers(required):
		case d.Targets[n].State == jacinthtiller.StateServing:
			serving = append(serving, n)
		case r.syncReplicas > 0 && mayLead(d.Targets[n]):
			leaving = append(leaving, n)
		}
	}
	names := serving
	if len(names) == 0 {
		names = leaving
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
			s[b].Received.Compare(s[a].Received),
			cmp.Compare(d.Targets[a].WarmupMilliseconds, d.Targets[b].WarmupMilliseconds),
			cmp.Compare(a, b),
		)
	})
}

// anyServing reports whether a target other than the former primary serves and has answered.
func (s targetStatuses) anyServing(d jacinthtiller.Database) bool {
	return slices.ContainsFunc(d.TargetNames(), func(n string) bool {
		_, answered := s[n]
		return answered && n != d.FormerPrimary && d.Targets[n].State == jacinthtiller.StateServing
	})
}

// received returns the positions of the targets that answered, for logs.
func (s targetStatuses) received() map[string]string {
	out := map[string]string{}
	for n, x := range s {
		out[n] = x.Received.String()
	}
	return out
}

// caughtUp reports whether the successor holds all commits of the former primary, which a planned change waits for.
// There is nothing to wait for when the former primary does not answer.
func (s targetStatuses) caughtUp(d jacinthtiller.Database, successor string) bool {
	former, ok := s[d.FormerPrimary]
	return !ok || former.Role != jacinthtiller.RolePrimary || s[successor].Received.Covers(former.Received)
}

// holdsAll reports whether the successor provably holds all commits of the former primary.
func (s targetStatuses) holdsAll(d jacinthtiller.Database, successor string) bool {
	_, answered := s[d.FormerPrimary]
	return answered && s.caughtUp(d, successor)
}

// noHostBehind reports whether no host can acknowledge work under a view before index any more: each host has a later
// view in force, or its lease has ended.
func (l *leader) noHostBehind(s *state, index uint64, now time.Time) bool {
	l.syncLeases(s, now)
	for name := range s.View.Hosts {
		if e := l.leases[name]; e != nil && e.inForce < index && now.Before(e.deadline) {
			return false
		}
	}
	return true
}
