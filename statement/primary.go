package statement

import (
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/pool"
	"github.com/jacinthtiller/jacinthtiller/replica"
)

// primary is the primary of a database in one term, from a view that was read under a valid lease.
type primary struct {
	database string
	spec     jacinthtiller.Target
	term     uint64
	target   *pool.Target
}

// currentPrimary returns the primary of a database, and false when there is none or the host has no valid lease.
func (s *Server) currentPrimary(database string) (primary, bool) {
	d := s.view.Load().Databases[database]
	if d.Primary == "" || !s.lease.Load().Valid(clock.Now()) {
		return primary{}, false
	}
	spec, ok := d.Targets[d.Primary]
	t := s.pool.Find(spec)
	if !ok || t == nil {
		return primary{}, false
	}
	return primary{database: database, spec: spec, term: d.Term, target: t}, true
}

// checkPrimary reports whether p is the primary in the current view under a valid lease. If not, undecided reports whether
// that may still change, because the lease has ended or a failover is in progress.
func (s *Server) checkPrimary(p primary) (current, undecided bool) {
	d := s.view.Load().Databases[p.database]
	if d.Primary == "" && d.FormerPrimary == p.spec.Name && d.Term == p.term {
		return false, true
	}
	spec := d.Targets[d.Primary]
	if d.Primary != p.spec.Name || d.Term != p.term || spec.StartedMilliseconds != p.spec.StartedMilliseconds {
		return false, false
	}
	valid := s.lease.Load().Valid(clock.Now())
	return valid, !valid
}

// confirmPrimary reports whether an answer that has arrived from the primary may be relied on. While that is undecided, it
// waits until the deadline.
func (s *Server) confirmPrimary(p primary, deadline time.Time) bool {
	for {
		changed := s.changeSignal()
		current, undecided := s.checkPrimary(p)
		if current {
			return true
		}
		if !undecided || !s.waitForChange(changed, deadline) {
			s.events.Emit(event.AnswerWithheld, event.Fields{
				"database": p.database, "target": p.spec.Name, "term": p.term, "index": s.view.Load().Index,
			})
			return false
		}
	}
}

// awaitPrimary waits for a primary until the deadline, or until the host is isolated or no target is left.
func (s *Server) awaitPrimary(database string, deadline time.Time) (primary, bool) {
	for {
		changed := s.changeSignal()
		if p, ok := s.currentPrimary(database); ok {
			return p, true
		}
		if s.Isolated() || s.noTargetLeft(database) || !s.waitForChange(changed, deadline) {
			return primary{}, false
		}
	}
}

// recordFreshness records that the primary's position p includes every commit acknowledged before its request was sent.
func (s *Server) recordFreshness(p primary, sent time.Time, position jacinthtiller.Position) {
	if !position.IsZero() {
		s.recordSeen(p, position)
		s.freshnessOf(p.database).Record(p.term, replica.Attestation{At: sent, Position: position})
		s.endPositionQuery(p.database)
	}
}
