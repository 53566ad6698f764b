package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/quorum"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

const (
	// leaderHeader is set in the error of a process that does not lead: the leader's URL, or leaderUnknown. It proves
	// that the request did not run.
	leaderHeader  = "Jacinthtiller-Leader"
	leaderUnknown = "unknown"
	// maxLeaseConfirmationAge is how old a confirmation of the leadership may be for a lease to be granted without
	// another round. No other process can be elected within quorum.NoElectionPeriod after a confirmation; the
	// remaining fifth allows for different clock rates.
	maxLeaseConfirmationAge = quorum.NoElectionPeriod * 4 / 5
	// leaderWaitTimeout is how long a host's call waits for an election; it is shorter than an attempt of a renewal.
	leaderWaitTimeout = 150 * time.Millisecond
	// maxOperatorWait bounds the waits that operators may request.
	maxOperatorWait = 30 * time.Second
)

// Handler returns the HTTP handler of the process's RPC services.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	opts := wire.HandlerOptions(s.events)
	mux.Handle(wire.ProcRegister, connect.NewUnaryHandler(wire.ProcRegister, s.register, opts...))
	mux.Handle(wire.ProcRenew, connect.NewUnaryHandler(wire.ProcRenew, s.renew, opts...))
	mux.Handle(wire.ProcRenewMany, connect.NewUnaryHandler(wire.ProcRenewMany, s.renewMany, opts...))
	mux.Handle(wire.ProcPlace, connect.NewUnaryHandler(wire.ProcPlace, s.location, opts...))
	mux.Handle(wire.ProcRelease, connect.NewUnaryHandler(wire.ProcRelease, s.release, opts...))
	mux.Handle(wire.ProcObserve, connect.NewUnaryHandler(wire.ProcObserve, s.observe, opts...))
	mux.Handle(wire.ProcLost, connect.NewUnaryHandler(wire.ProcLost, s.lost, opts...))
	mux.Handle(wire.ProcOverload, connect.NewUnaryHandler(wire.ProcOverload, s.overload, opts...))
	// Deltas are compressed once for all watches, so the handler itself does not compress them.
	watch := append(slices.Clone(opts), connect.WithCompressMinBytes(wire.MaxMessageBytes))
	mux.Handle(wire.ProcWatch, connect.NewServerStreamHandler(wire.ProcWatch, s.watch, watch...))
	mux.Handle(wire.ProcStep, connect.NewUnaryHandler(wire.ProcStep, s.step, opts...))
	mux.Handle(wire.ProcSectionGet, connect.NewUnaryHandler(wire.ProcSectionGet, s.sectionGet, opts...))
	mux.Handle(wire.ProcSectionApply, connect.NewUnaryHandler(wire.ProcSectionApply, s.sectionApply, opts...))
	mux.Handle(wire.ProcSectionHistory, connect.NewUnaryHandler(wire.ProcSectionHistory, s.sectionHistory, opts...))
	mux.Handle(wire.ProcStatus, connect.NewUnaryHandler(wire.ProcStatus, s.status, opts...))
	mux.Handle(wire.ProcJoin, connect.NewUnaryHandler(wire.ProcJoin, s.admit, opts...))
	mux.Handle(wire.ProcMembers, connect.NewUnaryHandler(wire.ProcMembers, s.members, opts...))
	mux.Handle(wire.ProcMemberChange, connect.NewUnaryHandler(wire.ProcMemberChange, s.memberChange, opts...))
	mux.Handle(wire.ProcMovePrimary, connect.NewUnaryHandler(wire.ProcMovePrimary, s.movePrimary, opts...))
	mux.Handle(wire.ProcTargetLeave, connect.NewUnaryHandler(wire.ProcTargetLeave, s.targetLeave, opts...))
	return mux
}

// notLeaderError returns the error that redirects a caller to the leader.
func (s *Server) notLeaderError(leader string) error {
	url := s.url(leader)
	if url == "" || leader == s.name {
		url = leaderUnknown
	}
	e := connect.NewError(connect.CodeUnavailable, &quorum.NotLeaderError{Leader: leader})
	e.Meta().Set(leaderHeader, url)
	return e
}

// currentLeader returns the leader's state, or an error that names the leader when this process does not lead.
func (s *Server) currentLeader() (*leader, error) {
	s.mu.Lock()
	l := s.leader
	s.mu.Unlock()
	name, _, leads := s.node.Leadership()
	if l == nil || !leads {
		return nil, s.notLeaderError(name)
	}
	return l, nil
}

// awaitLeader is like currentLeader, but waits for a short time while the group has no leader or this process is
// becoming it: otherwise callers would only retry.
func (s *Server) awaitLeader(ctx context.Context) (*leader, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderWaitTimeout)
	defer cancel()
	for {
		changed := s.node.Changed()
		s.mu.Lock()
		ready := s.leaderChanged
		s.mu.Unlock()
		l, err := s.currentLeader()
		if err == nil {
			return l, nil
		}
		if name, _, leads := s.node.Leadership(); name != "" && name != s.name && !leads {
			return nil, err
		}
		select {
		case <-changed:
		case <-ready:
		case <-ctx.Done():
			return nil, err
		case <-s.ctx.Done():
			return nil, err
		}
	}
}

// confirmedLeader returns the leader's state after a quorum has confirmed the leadership.
func (s *Server) confirmedLeader(ctx context.Context) (*leader, error) {
	l, err := s.currentLeader()
	if err != nil {
		return nil, err
	}
	if err := s.confirmer.wait(ctx); err != nil {
		return nil, s.connectError(err)
	}
	return l, nil
}

// connectError converts an error of the log or of a permission check to an RPC error.
func (s *Server) connectError(err error) error {
	var n *quorum.NotLeaderError
	var f *ForbiddenError
	switch {
	case errors.As(err, &n):
		return s.notLeaderError(n.Leader)
	case errors.As(err, &f):
		return connect.NewError(connect.CodePermissionDenied, err)
	case errors.Is(err, context.DeadlineExceeded):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

func invalidArgument(format string, args ...any) error {
	return connect.NewError(connect.CodeInvalidArgument, fmt.Errorf(format, args...))
}

// proposeIfLeading proposes a caller's command.
func (s *Server) proposeIfLeading(ctx context.Context, c Command) (commandResult, error) {
	if _, err := s.currentLeader(); err != nil {
		return commandResult{}, err
	}
	a, err := s.propose(ctx, c)
	if err != nil {
		return commandResult{}, s.connectError(err)
	}
	return a, nil
}

func (s *Server) register(ctx context.Context, r *connect.Request[jacinthtiller.Host]) (*connect.Response[jacinthtiller.RegisterResponse], error) {
	h := *r.Msg
	if h.Name == "" || h.Domain == "" || h.RPC == "" || h.Incarnation == "" {
		return nil, invalidArgument("host: name, domain, rpc and incarnation must be set")
	}
	if _, err := s.awaitLeader(ctx); err != nil {
		return nil, err
	}
	for {
		st, changed := s.machine.watch()
		if old := st.View.Hosts[h.Name]; old.Name == "" || old.LeaseEnded || old.Incarnation == h.Incarnation || h.Exclusive {
			a, err := s.proposeIfLeading(ctx, Command{Register: &registerCommand{Host: h}})
			if err != nil {
				return nil, err
			}
			if a.Code == codeDone {
				return connect.NewResponse(&jacinthtiller.RegisterResponse{Index: a.Index}), nil
			}
			continue
		}
		// The lease of the former process must end first, because that process may still run.
		if _, err := s.currentLeader(); err != nil {
			return nil, err
		}
		select {
		case <-changed:
		case <-time.After(Lease):
		case <-s.ctx.Done():
			return nil, s.notLeaderError("")
		case <-ctx.Done():
			return nil, s.connectError(fmt.Errorf("wait for the lease of the former process: %w", ctx.Err()))
		}
	}
}

// renew grants a host's lease, or forwards the request to the leader.
func (s *Server) renew(ctx context.Context, r *connect.Request[jacinthtiller.RenewRequest]) (*connect.Response[jacinthtiller.RenewResponse], error) {
	var out jacinthtiller.RenewResponse
	l, err := s.leaderForLeases(ctx)
	name, _, leads := s.node.Leadership()
	switch url := s.url(name); {
	case err == nil:
		answers, err := s.grantLeases(ctx, l, []jacinthtiller.RenewRequest{*r.Msg})
		if err != nil {
			return nil, err
		}
		out = answers[0]
	case leads || name == s.name || url == "":
		return nil, err
	default:
		if out, err = s.forwarder.renew(ctx, url, *r.Msg); err != nil {
			return nil, s.notLeaderError(name)
		}
	}
	if members := s.memberURLs(); fingerprint(members) != r.Msg.Members {
		out.Members = members
	}
	return connect.NewResponse(&out), nil
}

// renewMany grants the leases that another control process forwards.
func (s *Server) renewMany(ctx context.Context, r *connect.Request[RenewManyRequest]) (*connect.Response[RenewManyResponse], error) {
	l, err := s.leaderForLeases(ctx)
	if err != nil {
		return nil, err
	}
	answers, err := s.grantLeases(ctx, l, r.Msg.Renewals)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&RenewManyResponse{Answers: answers}), nil
}

// leaderForLeases returns the leader's state once its leadership is confirmed as recently as a lease requires.
func (s *Server) leaderForLeases(ctx context.Context) (*leader, error) {
	l, err := s.awaitLeader(ctx)
	if err == nil && clock.Now().Sub(s.node.ConfirmedAt()) > maxLeaseConfirmationAge {
		return s.confirmedLeader(ctx)
	}
	return l, err
}

// grantLeases answers renewals.
func (s *Server) grantLeases(ctx context.Context, l *leader, renewals []jacinthtiller.RenewRequest) ([]jacinthtiller.RenewResponse, error) {
	for _, r := range renewals {
		s.recordAcknowledged(r.Acknowledged) // before the views that the hosts have in force
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != l {
		return nil, s.notLeaderError("")
	}
	// The state is read under the lock, so that no lease is granted to a host whose lease the leader has ended.
	st := s.machine.state()
	out := make([]jacinthtiller.RenewResponse, len(renewals))
	for i, r := range renewals {
		now := time.Now()
		out[i] = l.renew(st, r, now)
		out[i].Index = st.View.Index
		if out[i].LeaseMicroseconds > 0 {
			out[i].SettledIndex = l.settledIndex(st, now)
			s.metrics.renewals.Add(ctx, 1)
		}
	}
	return out, nil
}

// location returns the location of the process.
func (s *Server) location(context.Context, *connect.Request[wire.Empty]) (*connect.Response[LocationResponse], error) {
	return connect.NewResponse(&LocationResponse{Domain: s.domain, Region: s.region}), nil
}

func (s *Server) release(ctx context.Context, r *connect.Request[jacinthtiller.ReleaseRequest]) (*connect.Response[wire.Empty], error) {
	s.recordAcknowledged(r.Msg.Acknowledged)
	a, err := s.proposeIfLeading(ctx, Command{EndLease: &endLeaseCommand{Host: r.Msg.Host, Incarnation: r.Msg.Incarnation, Released: true}})
	if err != nil {
		return nil, err
	}
	if a.Code == codeDone {
		s.events.Emit(event.ControlHostReleased, event.Fields{"name": r.Msg.Host, "index": a.Index})
	}
	return connect.NewResponse(&wire.Empty{}), nil
}

func (s *Server) observe(ctx context.Context, r *connect.Request[jacinthtiller.ObserveRequest]) (*connect.Response[wire.Empty], error) {
	if err := r.Msg.Announcement.Validate(); err != nil {
		return nil, invalidArgument("%w", err)
	}
	if _, err := s.currentLeader(); err != nil {
		return nil, err
	}
	c := observeCommand{Host: r.Msg.Host, Announcement: r.Msg.Announcement, OwnerUnreachable: r.Msg.OwnerUnreachable}
	// Hosts repeat observations until their view shows them, so most observations change nothing.
	if !s.machine.state().isNewObservation(c) {
		return connect.NewResponse(&wire.Empty{}), nil
	}
	if _, err := s.proposeIfLeading(ctx, Command{Observe: &c}); err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.Empty{}), nil
}

// isNewObservation reports whether an observation would change the view, or the choice of a first primary.
func (s *state) isNewObservation(c observeCommand) bool {
	_, _, ch := apply(s, s.View.Index+1, Command{Observe: &c})
	if !ch.empty() {
		return true
	}
	a := c.Announcement
	old, known := s.Announced[a.Database][a.Target]
	return s.View.Databases[a.Database].Term == 0 && (!known || old.Role != a.Role || old.Term != a.Term)
}

func (s *Server) lost(ctx context.Context, r *connect.Request[jacinthtiller.LostRequest]) (*connect.Response[wire.Empty], error) {
	if s.machine.state().View.Databases[r.Msg.Database].Direct {
		if _, err := s.currentLeader(); err != nil {
			return nil, err
		}
		s.recordSuspicion(r.Msg.Database, r.Msg.Target, r.Msg.Host, time.Now())
		return connect.NewResponse(&wire.Empty{}), nil
	}
	// A report for a past epoch changes nothing, so resends are harmless.
	_, err := s.proposeIfLeading(ctx, Command{Lost: &lostCommand{
		Host: r.Msg.Host, Database: r.Msg.Database, Target: r.Msg.Target, Epoch: r.Msg.Epoch,
	}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.Empty{}), nil
}

func (s *Server) overload(_ context.Context, r *connect.Request[jacinthtiller.OverloadReport]) (*connect.Response[wire.Empty], error) {
	if _, err := s.currentLeader(); err != nil {
		return nil, err
	}
	s.recordOverload(*r.Msg, time.Now())
	return connect.NewResponse(&wire.Empty{}), nil
}

func (s *Server) step(_ context.Context, r *connect.Request[StepRequest]) (*connect.Response[wire.Empty], error) {
	for _, m := range r.Msg.Messages {
		s.node.Receive(m)
	}
	return connect.NewResponse(&wire.Empty{}), nil
}
