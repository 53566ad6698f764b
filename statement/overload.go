package statement

import (
	"context"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// overloadReportInterval is the time between two reports of an overload, and the period that a report covers.
	overloadReportInterval = 500 * time.Millisecond
	// minReportedLag is the least lag of all replicas with which a refusal for lack of capacity is reported: replicas that
	// lag less take reads again before a change of primary would end.
	minReportedLag = time.Second
)

// requestCounts counts the requests for one database.
type requestCounts struct {
	served, refused int
}

// countServed counts a request that was answered.
func (s *Server) countServed(database string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts[database]
	c.served++
	s.counts[database] = c
}

// countRefused counts a request that was refused although the database has a primary.
func (s *Server) countRefused(database string) {
	if _, ok := s.currentPrimary(database); !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts[database]
	c.refused++
	s.counts[database] = c
}

// takeCounts returns the counts since the last call and resets them.
func (s *Server) takeCounts() map[string]requestCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.counts
	s.counts = make(map[string]requestCounts, len(out))
	return out
}

// reportOverloads tells the control group about databases whose requests this host refuses because all replicas are behind.
func (s *Server) reportOverloads() {
	ticks := time.NewTicker(overloadReportInterval)
	defer ticks.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticks.C:
			for _, r := range s.overloads(now) {
				s.runInBackground("report an overload", func() { s.reportOverload(r) })
			}
		}
	}
}

// overloads returns the reports about the databases whose requests this host has refused since the last call because all
// replicas are behind.
func (s *Server) overloads(now time.Time) []jacinthtiller.OverloadReport {
	var out []jacinthtiller.OverloadReport
	v := s.view.Load()
	for name, c := range s.takeCounts() {
		d := v.Databases[name]
		if c.refused > 0 && d.Direct && d.Primary != "" && s.pool.ReplicasBehind(d, minReportedLag, now) {
			out = append(out, jacinthtiller.OverloadReport{
				Host: s.host, Database: name, Primary: d.Primary, Served: c.served, Refused: c.refused,
			})
		}
	}
	return out
}

func (s *Server) reportOverload(r jacinthtiller.OverloadReport) {
	if s.control == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, suspicionTimeout)
	defer cancel()
	f := event.Fields{"database": r.Database, "target": r.Primary, "served": r.Served, "refused": r.Refused}
	if err := s.control.ReportOverload(ctx, r); err != nil {
		f["error"] = err.Error()
	}
	s.events.Emit(event.OverloadReported, f)
}
