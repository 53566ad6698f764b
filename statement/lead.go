package statement

import (
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/pool"
	"github.com/jacinthtiller/jacinthtiller/replica"
)

// lead is a primary in one term, as a view named it while the host's lease held.
type lead struct {
	database string
	spec     jacinthtiller.Target
	term     uint64
	target   *pool.Target
}

// lead returns the primary of a database, and false when there is none or the host may not rely on its view.
func (s *Server) lead(database string) (lead, bool) {
	d := s.view.Load().Databases[database]
	if d.Primary == "" || !s.lease.Load().Valid(clock.Now()) {
		return lead{}, false
	}
	spec, ok := d.Targets[d.Primary]
	t := s.pool.Find(spec)
	if !ok || t == nil {
		return lead{}, false
	}
	return lead{database: database, spec: spec, term: d.Term, target: t}, true
}

// holds reports whether the primary still leads by the view in force, and whether that may still change because the
// lease has ended or a new primary is being found.
func (s *Server) holds(l lead) (yes, open bool) {
	d := s.view.Load().Databases[l.database]
	if d.Primary == "" && d.Former == l.spec.Name && d.Term == l.term {
		return false, true
	}
	spec := d.Targets[d.Primary]
	if d.Primary != l.spec.Name || d.Term != l.term || spec.BornMilliseconds != l.spec.BornMilliseconds {
		return false, false
	}
	valid := s.lease.Load().Valid(clock.Now())
	return valid, !valid
}

// confirm reports whether an answer that has arrived from the primary may be relied on. While that is open it waits
// until the deadline.
func (s *Server) confirm(l lead, deadline time.Time) bool {
	for {
		changed := s.watch()
		yes, open := s.holds(l)
		if yes {
			return true
		}
		if !open || !s.wait(changed, deadline) {
			s.events.Emit(event.AnswerWithheld, event.Fields{
				"database": l.database, "target": l.spec.Name, "term": l.term, "index": s.view.Load().Index,
			})
			return false
		}
	}
}

// awaitLead waits for a primary until the deadline.
func (s *Server) awaitLead(database string, deadline time.Time) (lead, bool) {
	for {
		changed := s.watch()
		if l, ok := s.lead(database); ok {
			return l, true
		}
		if s.Isolated() || !s.wait(changed, deadline) {
			return lead{}, false
		}
	}
}

// attest notes what an answer of the primary proves about freshness. Sent is when its request was sent.
func (s *Server) attest(l lead, sent time.Time, p jacinthtiller.Position) {
	if !p.IsZero() {
		s.fresh(l.database).Attest(l.term, replica.Attested{At: sent, Position: p})
		s.endAttesting(l.database)
	}
}
