package statement

import (
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/pool"
	"github.com/jacinthtiller/jacinthtiller/replica"
)

const (
	// ageMargin is subtracted from a route's maximum age, because a commit is acknowledged to a guest slightly later than
	// the primary answers, and timers of hosts differ.
	ageMargin = 20 * time.Millisecond
	// primaryCostMicroseconds keeps reads that any target may serve off the primary unless it is clearly faster.
	primaryCostMicroseconds = 10_000
	// minAssumedLag is the least lag assumed for a target that lacks a position by an unknown amount; it is about the usual
	// lag of replicas.
	minAssumedLag = 50 * time.Millisecond
)

// destination is a target that may run a read or a transaction, with the conditions for it.
type destination struct {
	target *pool.Target
	// after is the position that the target must hold; zero when primary must be confirmed instead.
	after jacinthtiller.Position
	// waitUntil is until when the read should be delayed, because the target is behind; zero when it may run now.
	waitUntil time.Time
	// primary is set when the target is the primary. Unless after is set, the answer counts only if primary is confirmed.
	primary *primary
}

// needsConfirmation reports whether the answer is fresh only if the target is still the primary.
func (d destination) needsConfirmation() bool { return d.primary != nil && d.after.IsZero() }

// freshPosition returns the position that a target must hold for a read that arrived at the given time, and false when none
// is known that is new enough.
func (n *session) freshPosition(route jacinthtiller.Route, arrived time.Time, d jacinthtiller.Database) (replica.Attestation, bool) {
	if route.Class == jacinthtiller.ClassPrimary {
		return replica.Attestation{}, false
	}
	p, ok := n.s.freshnessOf(route.Database).AttestationSince(d.Term, n.freshnessCutoff(route, arrived))
	if !ok {
		return p, false
	}
	if route.Class == jacinthtiller.ClassSession {
		if mark := effectiveMark(n.mark, d); mark.Compare(p.Position) > 0 {
			p = replica.Attestation{At: n.markedAt, Position: mark}
		}
	}
	return p, true
}

// freshnessCutoff returns the time before which all commits must be visible to a read that arrived at the given time.
func (n *session) freshnessCutoff(route jacinthtiller.Route, arrived time.Time) time.Time {
	return arrived.Add(ageMargin - time.Duration(route.MaxAgeMilliseconds)*time.Millisecond)
}

// effectiveMark returns the position that covers everything of the mark that the current primary still has. Commits of
// earlier terms above the floor were lost with their primary.
func effectiveMark(mark jacinthtiller.Position, d jacinthtiller.Database) jacinthtiller.Position {
	if !mark.IsZero() && mark.Term < d.Term && mark.Compare(d.MarkFloor) > 0 {
		return d.MarkFloor
	}
	return mark
}

// findDestination returns where a read of the route may run now. Arrived is on the clock of package clock.
func (n *session) findDestination(route jacinthtiller.Route, arrived time.Time, tried []*pool.Target) (destination, bool) {
	d := n.s.view.Load().Databases[route.Database]
	p, hasPrimary := n.s.currentPrimary(route.Database)
	after, fresh := n.freshPosition(route, arrived, d)
	if !fresh && route.Class != jacinthtiller.ClassPrimary && n.s.queryKeepers(route, d.Term) {
		after, fresh = n.freshPosition(route, arrived, d)
	}
	if !fresh {
		if !hasPrimary || slices.Contains(tried, p.target) || !p.target.Usable(time.Now()) {
			return destination{}, false
		}
		if route.Class != jacinthtiller.ClassPrimary {
			if !n.s.beginPositionQuery(route.Database) {
				return destination{}, false
			}
			if p.target.Direct() && p.target.Saturated() {
				n.s.runInBackground("ask a primary for its position", func() { n.s.queryPrimaryPosition(p) })
				return destination{}, false
			}
		}
		return destination{target: p.target, primary: &p}, true
	}
	at := time.Now()
	r := pool.ReadRequirements{After: after.Position, AfterReachedAt: at.Add(after.At.Sub(now())), Tried: tried, PrimaryCostMicroseconds: primaryCostMicroseconds}
	t, wait := n.s.pool.Choose(d, r, at)
	if t == nil {
		// A primary that leaves is in service until control suspends it, which only a host with a lease learns of in time.
		if !hasPrimary || p.spec.State != jacinthtiller.StateLeaving || slices.Contains(tried, p.target) || !p.target.Usable(at) {
			return destination{}, false
		}
		t = p.target
	}
	dst := destination{target: t, after: after.Position}
	if wait > 0 {
		dst.waitUntil = at.Add(wait)
	}
	if hasPrimary && p.target == t {
		dst.primary = &p
	}
	return dst, true
}

// noTargetLeft reports whether the host knows that no target of a database can run requests: the group has no primary, and
// all its targets have left or are leaving. A host without a lease may have missed a new target.
func (s *Server) noTargetLeft(database string) bool {
	d, ok := s.view.Load().Databases[database]
	if !ok || !d.Direct || d.Primary != "" || !s.lease.Load().Valid(now()) {
		return false
	}
	for _, t := range d.Targets {
		if t.State != jacinthtiller.StateLeaving {
			return false
		}
	}
	return true
}

// outcomeNoTargetLeft is the outcome of a request for a database without targets.
var outcomeNoTargetLeft = outcome{reason: "all targets of the database have left or are leaving", cause: causeLeaving}

// positionQueryTimeout is how long reads that any target could serve wait for an answer from the primary that gives the
// position replicas need. It is several round trips between regions and a short wait for a slot.
const positionQueryTimeout = 150 * time.Millisecond

// beginPositionQuery reports whether the caller may query the primary, or send it a read, to learn its position. Only one
// may do so at a time: otherwise, after a start, all reads of a host would go to the primary while the replicas are idle.
func (s *Server) beginPositionQuery(database string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now()
	if at.Before(s.positionQueryUntil[database]) {
		return false
	}
	s.positionQueryUntil[database] = at.Add(positionQueryTimeout)
	return true
}

// queryPrimaryPosition asks the primary for its position, bypassing the queue, and records it.
func (s *Server) queryPrimaryPosition(p primary) {
	sent := now()
	deadline := time.Now().Add(positionQueryTimeout)
	position, err := p.target.QueryPosition(deadline)
	if err == nil && s.confirmPrimary(p, deadline) {
		s.recordFreshness(p, sent, position)
	}
}

// endPositionQuery wakes the reads that wait for the freshness of a database.
func (s *Server) endPositionQuery(database string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.positionQueryUntil[database]; !ok {
		return
	}
	delete(s.positionQueryUntil, database)
	close(s.changed)
	s.changed = make(chan struct{})
}

// recordLag records how far the target of an answer is behind the primary.
func (n *session) recordLag(dst destination, database string, r jacinthtiller.Reply) {
	if dst.after.IsZero() || r.Position.IsZero() {
		return
	}
	term := n.s.view.Load().Databases[database].Term
	lag, exact, ok := n.s.freshnessOf(database).Lag(term, r.Position, now())
	switch {
	case ok && exact:
		dst.target.RecordLag(lag)
	case r.ErrorCode == jacinthtiller.ErrorCodeBehind:
		// The exact lag is unknown while the host has known the primary only briefly, as after its start or a failover. A
		// target that has been behind for some time is likely to stay behind for about as long again.
		dst.target.RecordLag(lag + max(lag/2, minAssumedLag))
	}
}

// acceptAnswer reports whether the answer to a read may be forwarded, and records what it proves about freshness.
func (n *session) acceptAnswer(dst destination, sent time.Time, r jacinthtiller.Reply, deadline time.Time) bool {
	if dst.primary == nil {
		return true
	}
	if dst.needsConfirmation() {
		if !n.s.confirmPrimary(*dst.primary, deadline) {
			return false
		}
	} else if current, _ := n.s.checkPrimary(*dst.primary); !current {
		return true
	}
	n.s.recordFreshness(*dst.primary, sent, r.Position)
	return true
}

// now returns the time on the clock that leases and freshness use.
func now() time.Time { return clock.Now() }
