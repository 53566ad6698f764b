package control

import (
	"context"
	"maps"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// DefaultLeaveMilliseconds is the default of Config.LeaveMilliseconds.
const DefaultLeaveMilliseconds = 7000

// leaveMargin is how long before the end of its time a leaving primary is taken out of service. A host that gets no views
// renews its lease for up to a second more and then holds it for Lease; the rest is for requests on their way.
const leaveMargin = time.Second + Lease + 500*time.Millisecond

// setLeaveDeadline sets until when a target that begins to leave may get work. The first time of an incarnation counts; a
// target that serves again has no deadline.
func (s *Server) setLeaveDeadline(t jacinthtiller.Target) {
	deadline := clock.Now().Add(time.Duration(s.leaveMilliseconds)*time.Millisecond - leaveMargin)
	x, k := s.direct, incarnationOf(t)
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, ok := x.leaveDeadlines[k]; t.State != jacinthtiller.StateLeaving {
		delete(x.leaveDeadlines, k)
	} else if !ok {
		x.leaveDeadlines[k] = deadline
	}
}

// leaveEnded reports whether the time in which a leaving target may get work is over. The caller holds x.mu.
func (x *directState) leaveEnded(t jacinthtiller.Target) bool {
	return t.State == jacinthtiller.StateLeaving && !clock.Now().Before(x.leaveDeadlines[incarnationOf(t)])
}

// mayStillLead reports whether a leaving target may get work for now, so that it can lead until the others have its log.
func (s *Server) mayStillLead(t jacinthtiller.Target) bool {
	s.direct.mu.Lock()
	defer s.direct.mu.Unlock()
	return t.State == jacinthtiller.StateLeaving && !s.direct.leaveEnded(t)
}

// forgetLeaveDeadline forgets the deadline of a target that departs.
func (x *directState) forgetLeaveDeadline(t jacinthtiller.Target) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.leaveDeadlines, incarnationOf(t))
}

// prepareChange inspects the other targets of a group once, and takes its leaving primary out of service if one of them can
// take over. Until then the primary serves on.
func (s *Server) prepareChange(ctx context.Context, d jacinthtiller.Database) {
	defer s.finishTask(s.direct.preparing, d.Name)
	if s.orderMayTakeEffect(d, time.Now()) {
		s.reportKept(d)
		s.sleep(suspectInspectPause)
		return
	}
	var others []jacinthtiller.Target
	for _, n := range d.TargetNames() {
		if n != d.Primary {
			others = append(others, d.Targets[n])
		}
	}
	var primary targetStatuses
	if s.machine.state().View.SyncReplicas(d.Name) > 0 {
		// Before the others, so that a successor which covers the answer is at most a round trip behind.
		primary = s.inspectTargets(ctx, d, []jacinthtiller.Target{d.Targets[d.Primary]})
	}
	v := s.inspectTargets(ctx, d, others)
	maps.Copy(v, primary)
	now := time.Now()
	st := s.machine.state()
	if latest := st.View.Databases[d.Name]; ctx.Err() != nil || latest.Primary != d.Primary || latest.Term != d.Term {
		return
	}
	suspended := d
	suspended.FormerPrimary = d.Primary
	noneLeaving := func(jacinthtiller.Target) bool { return false }
	r := s.requirement(st, d)
	if v.formerLeads(suspended) { // its own position is a stronger proof than those of the others
		r.certain = r.certain.Max(v[d.Primary].Received)
	}
	if v.successor(suspended, r, noneLeaving, nil, now) == "" {
		s.reportKept(d)
		s.sleep(suspectInspectPause)
		return
	}
	s.replacePrimary(ctx, d, causeLeaving, 0, now)
}

// reportKept reports once for each incarnation that a leaving primary stays in service.
func (s *Server) reportKept(d jacinthtiller.Database) {
	t := d.Targets[d.Primary]
	if t.State != jacinthtiller.StateLeaving {
		return
	}
	s.direct.mu.Lock()
	reported := s.direct.kept[d.Name] == incarnationOf(t)
	s.direct.kept[d.Name] = incarnationOf(t)
	deadline := s.direct.leaveDeadlines[incarnationOf(t)]
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
		"database": d.Name, "target": d.Primary, "term": d.Term, "others": others,
		"milliseconds": clock.Until(deadline).Milliseconds(), "index": s.machine.state().View.Index,
	})
}
