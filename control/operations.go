package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/document"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/quorum"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

func (s *Server) sectionGet(ctx context.Context, r *connect.Request[SectionGetRequest]) (*connect.Response[SectionGetResponse], error) {
	if err := s.operators.allow(r.Msg.Operator, r.Msg.Team); err != nil {
		return nil, s.connectError(err)
	}
	if _, err := s.confirmedLeader(ctx); err != nil {
		return nil, err
	}
	v := s.machine.state().View
	return connect.NewResponse(&SectionGetResponse{Section: v.Sections[r.Msg.Team], Index: v.Document}), nil
}

func (s *Server) sectionHistory(ctx context.Context, r *connect.Request[SectionHistoryRequest]) (*connect.Response[SectionHistoryResponse], error) {
	if err := s.operators.allow(r.Msg.Operator, r.Msg.Team); err != nil {
		return nil, s.connectError(err)
	}
	if _, err := s.confirmedLeader(ctx); err != nil {
		return nil, err
	}
	return connect.NewResponse(&SectionHistoryResponse{Revisions: s.machine.state().Histories[r.Msg.Team]}), nil
}

func (s *Server) sectionApply(ctx context.Context, r *connect.Request[SectionApplyRequest]) (*connect.Response[SectionApplyResponse], error) {
	m := *r.Msg
	if _, err := s.currentLeader(); err != nil {
		return nil, err
	}
	if err := s.operators.allow(m.Operator, m.Team); err != nil {
		return nil, s.connectError(err)
	}
	if m.Request == "" {
		return nil, invalidArgument("section %s: request id is empty", m.Team)
	}
	team, faults := document.Parse(m.Team, m.Text)
	if len(faults) > 0 {
		s.events.Emit(event.ControlSectionRefused, event.Fields{"team": m.Team, "author": m.Operator.Name, "faults": len(faults)})
		return connect.NewResponse(&SectionApplyResponse{Outcome: SectionInvalid, Faults: faults}), nil
	}
	c := sectionCommand{Team: m.Team, Text: m.Text, Author: m.Operator.Name, Request: m.Request, Replaces: m.Replaces}
	for _, role := range team.Roles {
		c.Roles = append(c.Roles, role.Name)
	}
	a, err := s.proposeIfLeading(ctx, Command{Section: &c})
	if err != nil {
		return nil, err
	}
	out := s.sectionResponse(a, team)
	if out.Outcome != SectionAccepted {
		s.events.Emit(event.ControlSectionRefused, event.Fields{
			"team": m.Team, "author": m.Operator.Name, "outcome": string(out.Outcome), "replaces": m.Replaces,
		})
		return connect.NewResponse(&out), nil
	}
	out.InForce, out.Waiting = s.awaitInForce(ctx, out.Index, m.WaitMicroseconds)
	return connect.NewResponse(&out), nil
}

// sectionResponse converts the result of a section command to the operator's response.
func (s *Server) sectionResponse(a commandResult, team document.Team) SectionApplyResponse {
	st := s.machine.state()
	switch a.Code {
	case codeDone:
		return SectionApplyResponse{Outcome: SectionAccepted, Revision: a.Revision, Index: a.Index}
	case codeConflict:
		return SectionApplyResponse{Outcome: SectionConflict, Current: st.View.Sections[team.Name]}
	case codeRoleTaken:
		faults := document.CheckRoleConflicts(st.Roles, team)
		if len(faults) == 0 {
			faults = []document.Fault{{Path: "roles", Value: fmt.Sprint(a.Names), Rule: "were roles of another team"}}
		}
		return SectionApplyResponse{Outcome: SectionInvalid, Faults: faults}
	default:
		return SectionApplyResponse{Outcome: SectionReused, Current: st.View.Sections[team.Name]}
	}
}

// awaitInForce returns which hosts have the index in force, once all of them do or the wait has expired.
func (s *Server) awaitInForce(ctx context.Context, index uint64, microseconds int64) (have, lack []string) {
	end := time.Now().Add(min(time.Duration(microseconds)*time.Microsecond, maxOperatorWait))
	for {
		s.mu.Lock()
		if s.leader != nil {
			have, lack = s.leader.splitByInForce(s.machine.state(), index)
		}
		s.mu.Unlock()
		if len(lack) == 0 || !time.Now().Before(end) || ctx.Err() != nil || s.ctx.Err() != nil {
			return have, lack
		}
		s.sleep(leaseCheckInterval)
	}
}

func (s *Server) status(ctx context.Context, _ *connect.Request[wire.Empty]) (*connect.Response[StatusResponse], error) {
	l, err := s.confirmedLeader(ctx)
	if err != nil {
		return nil, err
	}
	st := s.machine.state()
	leader, term, _ := s.node.Leadership()
	out := &StatusResponse{
		Leader: leader, Term: term, Index: st.View.Index, Document: st.View.Document,
		Sections: map[string]uint64{}, Log: s.node.Status(),
	}
	for n, sec := range st.View.Sections {
		out.Sections[n] = sec.Revision
	}
	for _, n := range slices.Sorted(maps.Keys(st.View.Databases)) {
		out.Databases = append(out.Databases, st.View.Databases[n])
	}
	if e := st.View.Edition; e != nil {
		out.Accounts = accountStatuses(*e)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out.Hosts = l.hosts(st, time.Now())
	return connect.NewResponse(out), nil
}

// accountStatuses returns the status of each account of an edition, by name.
func accountStatuses(e jacinthtiller.Edition) []AccountStatus {
	var out []AccountStatus
	for _, n := range slices.Sorted(maps.Keys(e.Accounts)) {
		a := e.Accounts[n]
		out = append(out, AccountStatus{Name: n, Priority: a.Priority, Keys: len(a.KeyDigests), Limit: a.Limit})
	}
	return out
}

// hosts returns the status of each host.
func (l *leader) hosts(s *state, now time.Time) []HostStatus {
	counts := map[string]int{}
	for _, d := range s.View.Databases {
		for _, t := range d.Targets {
			counts[t.Owner]++
		}
	}
	var out []HostStatus
	for _, n := range slices.Sorted(maps.Keys(s.View.Hosts)) {
		h := HostStatus{Host: s.View.Hosts[n], Lease: LeaseUnknown, Targets: counts[n]}
		if e := l.leases[n]; e != nil {
			h.InForce = e.inForce
		}
		switch {
		case h.Host.LeaseEnded:
			h.Lease = LeaseEnded
		case l.holdsLease(n, now):
			h.Lease = LeaseHeld
		}
		out = append(out, h)
	}
	return out
}

func (s *Server) members(context.Context, *connect.Request[wire.Empty]) (*connect.Response[MembersResponse], error) {
	return connect.NewResponse(&MembersResponse{Log: s.node.Status(), URLs: s.urls}), nil
}

func (s *Server) memberChange(ctx context.Context, r *connect.Request[MemberChangeRequest]) (*connect.Response[MembersResponse], error) {
	if _, err := s.currentLeader(); err != nil {
		return nil, err
	}
	if err := s.operators.allow(r.Msg.Operator, AllTeams); err != nil {
		return nil, s.connectError(err)
	}
	var err error
	switch r.Msg.Action {
	case MemberAdd:
		if _, ok := s.urls[r.Msg.Name]; !ok {
			return nil, invalidArgument("member %q has no URL in the settings of this process", r.Msg.Name)
		}
		err = s.node.AddMember(ctx, r.Msg.Name)
	case MemberPromote:
		err = s.node.PromoteMember(ctx, r.Msg.Name)
	case MemberRemove:
		err = s.node.RemoveMember(ctx, r.Msg.Name)
	default:
		return nil, invalidArgument("action %q is none of add, promote, remove", r.Msg.Action)
	}
	var refused *quorum.ChangeError
	if errors.As(err, &refused) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err != nil {
		return nil, s.connectError(err)
	}
	s.events.Emit(event.ControlMembersChanged, event.Fields{
		"action": string(r.Msg.Action), "name": r.Msg.Name, "operator": r.Msg.Operator.Name,
	})
	return s.members(ctx, nil)
}

func (s *Server) movePrimary(ctx context.Context, r *connect.Request[MovePrimaryRequest]) (*connect.Response[MovePrimaryResponse], error) {
	m := *r.Msg
	if _, err := s.currentLeader(); err != nil {
		return nil, err
	}
	if err := s.operators.allow(m.Operator, AllTeams); err != nil {
		return nil, s.connectError(err)
	}
	d, t, ok := s.machine.state().target(m.Database, m.Target)
	switch {
	case !ok:
		return nil, invalidArgument("target %q of database %q is not known", m.Target, m.Database)
	case d.Primary == m.Target:
		return connect.NewResponse(&MovePrimaryResponse{Database: d}), nil
	case d.Primary == "" || d.Successor != "":
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			fmt.Errorf("database %s is changing its primary in term %d", d.Name, d.Term))
	case !s.canLead(t):
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			fmt.Errorf("target %s is lost, is leaving or has no owner with a lease", t.Name))
	}
	a, err := s.proposeIfLeading(ctx, Command{Move: &moveCommand{Database: m.Database, Term: d.Term, Target: m.Target}})
	if err != nil {
		return nil, err
	}
	if a.Code != codeDone {
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("database %s changed meanwhile (%s)", d.Name, a.Code))
	}
	d = s.awaitMove(ctx, m)
	return connect.NewResponse(&MovePrimaryResponse{Database: d}), nil
}

func (s *Server) canLead(t jacinthtiller.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader != nil && s.leader.canLead(t, time.Now())
}

// awaitMove returns the database once the move has ended or the wait has expired.
func (s *Server) awaitMove(ctx context.Context, m MovePrimaryRequest) jacinthtiller.Database {
	end := time.NewTimer(min(time.Duration(m.WaitMicroseconds)*time.Microsecond, maxOperatorWait))
	defer end.Stop()
	for {
		st, changed := s.machine.watch()
		d := st.View.Databases[m.Database]
		if d.Successor == "" {
			return d
		}
		select {
		case <-changed:
		case <-end.C:
			return d
		case <-ctx.Done():
			return d
		case <-s.ctx.Done():
			return d
		}
	}
}

func (s *Server) targetLeave(ctx context.Context, r *connect.Request[TargetLeaveRequest]) (*connect.Response[wire.Empty], error) {
	if _, err := s.currentLeader(); err != nil {
		return nil, err
	}
	if err := s.operators.allow(r.Msg.Operator, AllTeams); err != nil {
		return nil, s.connectError(err)
	}
	if t, ok := s.machine.state().View.Target(r.Msg.Database, r.Msg.Target); ok {
		t.State = jacinthtiller.StateLeaving
		s.setLeaveDeadline(t)
	}
	a, err := s.proposeIfLeading(ctx, Command{Leave: &leaveCommand{Database: r.Msg.Database, Target: r.Msg.Target}})
	if err != nil {
		return nil, err
	}
	if a.Code == codeUnknown {
		return nil, invalidArgument("target %q of database %q is not known", r.Msg.Target, r.Msg.Database)
	}
	return connect.NewResponse(&wire.Empty{}), nil
}
