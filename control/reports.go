package control

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// maxStartAhead is how far in the future the start in a report may be. The recorded start decides which reports are
// outdated, so that one from a year to come would keep the target out of its group until then.
const maxStartAhead = 24 * time.Hour

// Report accepts the report of a target of a direct group. When it returns nil, all new information in the report is
// durable. A follower accepts a report that repeats what is recorded, as nearly every report does; otherwise the leader
// would receive the reports of hundreds of targets. A report that is refused changes nothing.
func (s *Server) Report(ctx context.Context, r jacinthtiller.TargetReport) error {
	err := r.Validate()
	if start := time.UnixMilli(r.StartedMilliseconds); err == nil && start.After(time.Now().Add(maxStartAhead)) {
		err = fmt.Errorf("report: the start %s is in the future", start.UTC())
	}
	if err != nil {
		s.RefuseReport(r.Target, err)
		return &jacinthtiller.InvalidError{Err: err}
	}
	if err := s.requireLeader(); err != nil {
		if s.follows() && s.machine.state().isRepeat(r) {
			s.metrics.targetReports.Add(ctx, 1, outcomeRepeated)
			return nil
		}
		s.metrics.targetReports.Add(ctx, 1, outcomeRedirected)
		return err
	}
	st := s.machine.state()
	if st.isRepeat(r) {
		if !s.direct.isOutOfOrder(r) {
			s.direct.setNewest(r)
			s.direct.endChallenges(r)
		}
		s.metrics.targetReports.Add(ctx, 1, outcomeRepeated)
		return nil
	}
	confirmed, err := s.admitReport(ctx, st, r)
	if err != nil {
		s.RefuseReport(r.Target, err)
		return err
	}
	s.direct.setNewest(r)
	s.direct.endChallenges(r)
	s.metrics.targetReports.Add(ctx, 1, outcomeNew)
	s.setLeaveDeadline(s.machine.state().reported(r))
	if err := s.recorder.record(ctx, enlistCommand{Report: r, Confirmation: confirmed}); err != nil {
		return s.asNotLeadingError(err)
	}
	if !s.machine.state().includes(r) {
		return errOutdatedReport // something else was recorded meanwhile
	}
	return nil
}

// follows reports whether another process leads and this one receives its messages. A partitioned process stops knowing
// its leader and must not accept reports, so that its targets look for another process.
func (s *Server) follows() bool {
	leader, _, leads := s.node.Leadership()
	return leader != "" && leader != s.name && !leads
}

// RemoveTarget removes the present incarnation of a target from its direct group.
func (s *Server) RemoveTarget(ctx context.Context, target string) error {
	if err := s.requireLeader(); err != nil {
		return err
	}
	for _, d := range s.machine.state().View.Databases {
		t, ok := d.Targets[target]
		if !d.Direct || !ok {
			continue
		}
		s.direct.forgetLeaveDeadline(t)
		c := delistCommand{Target: target, StartedMilliseconds: t.StartedMilliseconds}
		if _, err := s.propose(ctx, Command{Delist: &c}); err != nil {
			return s.asNotLeadingError(err)
		}
	}
	return nil
}
