package control

import (
	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// reportKept reports once for each incarnation that a leaving primary stays in service.
func (s *Server) reportKept(d jacinthtiller.Database) {
	t := d.Targets[d.Primary]
	if t.State != jacinthtiller.StateLeaving {
		return
	}
	kept := targetIncarnation{Target: t.Name, StartedMilliseconds: t.StartedMilliseconds}
	s.direct.mu.Lock()
	reported := s.direct.kept[d.Name] == kept
	s.direct.kept[d.Name] = kept
	s.direct.mu.Unlock()
	if reported {
		return
	}
	others := map[string]string{}
	for n, o := range d.Targets {
		if n != d.Primary {
			others[n] = string(o.State)
		}
	}
	s.events.Emit(event.ControlPrimaryKept, event.Fields{
		"database": d.Name, "target": d.Primary, "term": d.Term, "others": others, "index": s.machine.state().View.Index,
	})
}
