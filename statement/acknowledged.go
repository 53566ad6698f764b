package statement

import (
	"slices"
	"strings"

	"github.com/jacinthtiller/jacinthtiller"
)

// maxReportedCommits bounds the databases with a primary in one report of acknowledged commits, since every renewal of the lease
// carries one.
const maxReportedCommits = 16

// commitBounds is what this host knows of the commits that the primary of a database has acknowledged to it in one term.
type commitBounds struct {
	jacinthtiller.AcknowledgedCommits
	// seen is the newest position in an answer of the primary. A request that is sent later commits after it.
	seen jacinthtiller.Position
	// reported is true once a report has had the present bounds.
	reported bool
}

// waitsForReplicas reports whether the commits of a database are acknowledged by replicas, so that control needs to know of them.
func (s *Server) waitsForReplicas(database string) bool {
	return s.view.Load().SyncReplicas(database) > 0
}

// boundsOf returns the bounds of a primary's term; earlier terms are forgotten, and nil is returned for them. The caller holds
// s.mu.
func (s *Server) boundsOf(p primary) *commitBounds {
	b := s.commits[p.database]
	if b == nil || b.Term < p.term {
		b = &commitBounds{AcknowledgedCommits: jacinthtiller.AcknowledgedCommits{Database: p.database, Term: p.term}, reported: true}
		s.commits[p.database] = b
	}
	if b.Term > p.term {
		return nil
	}
	return b
}

// lastSeen returns a position that each commit of a request which is sent after the call exceeds.
func (s *Server) lastSeen(p primary) jacinthtiller.Position {
	if !s.waitsForReplicas(p.database) {
		return jacinthtiller.Position{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.boundsOf(p); b != nil {
		return b.seen
	}
	return jacinthtiller.Position{}
}

// recordSeen records a position in an answer of the primary.
func (s *Server) recordSeen(p primary, position jacinthtiller.Position) {
	if !s.waitsForReplicas(p.database) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.boundsOf(p); b != nil {
		b.seen = b.seen.Max(position)
	}
}

// recordAcknowledged records that the primary has acknowledged a commit: one after the position that was seen before its request
// was sent, and not after the position in its answer. It is called before the answer is confirmed, so that a report which is made
// after a later view is in force includes all answers that were confirmed under earlier ones.
func (s *Server) recordAcknowledged(p primary, seen, answered jacinthtiller.Position) {
	if !s.waitsForReplicas(p.database) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.boundsOf(p)
	if b == nil || answered.IsZero() {
		return
	}
	b.seen, b.Possible, b.reported = b.seen.Max(answered), b.Possible.Max(answered), false
	if next := (jacinthtiller.Position{Term: p.term, Index: seen.Index + 1}); answered.Covers(next) {
		b.Certain = b.Certain.Max(next)
	}
}

// AcknowledgedCommits returns what control needs to know of acknowledged commits: those of databases with synchronous replicas, if
// they have no primary at present or there is news of them.
func (s *Server) AcknowledgedCommits() []jacinthtiller.AcknowledgedCommits {
	v := s.view.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	var without, news []jacinthtiller.AcknowledgedCommits
	for n, b := range s.commits {
		d := v.Databases[n]
		switch {
		case d.Term > b.Term || !s.waitsForReplicas(n):
			delete(s.commits, n)
		case b.Possible.IsZero():
		case d.Primary == "":
			without = append(without, b.AcknowledgedCommits)
		case !b.reported && len(news) < maxReportedCommits:
			news, b.reported = append(news, b.AcknowledgedCommits), true
		}
	}
	out := slices.Concat(without, news)
	slices.SortFunc(out, func(a, b jacinthtiller.AcknowledgedCommits) int { return strings.Compare(a.Database, b.Database) })
	return out
}
