package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/quorum"
)

const (
	// defaultVoters tolerates the loss of one process.
	defaultVoters = 3
	// memberCheckInterval is the time between two checks of the members.
	memberCheckInterval = 250 * time.Millisecond
	// memberChangeTimeout bounds one change of the members.
	memberChangeTimeout = 2 * time.Second
	// voterTimeout is how long a voter must have been silent before a learner takes its place. A restart or an election
	// takes less, and a replacement is complete within 4 s, the shortest time after which another loss may follow.
	voterTimeout = 2 * time.Second
	// learnerTimeout is how long a learner may be silent before it is removed; it asks to join again when it is back.
	learnerTimeout = 5 * time.Second
	// maxLearnerLag is how many entries a learner may lack when it becomes a voter; the log itself checks again.
	maxLearnerLag = 64
	// joinInterval is the time between two requests to join.
	joinInterval = 300 * time.Millisecond
	// leaderlessJoinDelay is how long a process waits for a leader's message before it asks whether it is still a
	// member.
	leaderlessJoinDelay = 1500 * time.Millisecond
	// maxKnownURLs bounds the control processes that a client remembers; a group and all processes that it has replaced
	// are far fewer.
	maxKnownURLs = 64
	// joinTimeout bounds one request to join.
	joinTimeout = time.Second
)

// memberChange is one change of the members that the leader makes by itself.
type memberChange struct {
	action MemberAction
	name   string
	reason string
}

// nextMemberChange returns the change of the members that is due, if any. It maintains the wanted number of voters,
// replaces silent voters by learners that have caught up, and makes one change at a time: first a learner becomes
// a voter, so that every commit until then is on a majority of the larger group, and then the silent voter is
// removed.
func nextMemberChange(s quorum.Status, wanted int, now time.Time) (memberChange, bool) {
	var learner, silent, surplus string
	voters := 0
	for _, m := range s.Members {
		isSilent := m.Name != s.Name && now.Sub(m.Heard) > voterTimeout
		switch {
		case m.Voter:
			voters++
			if isSilent && silent == "" {
				silent = m.Name
			}
			if m.Name != s.Name {
				surplus = m.Name
			}
		case m.Repair:
			// The log itself promotes a voter that lost its data folder.
		case now.Sub(m.Heard) > learnerTimeout && !m.Heard.IsZero():
			return memberChange{action: MemberRemove, name: m.Name, reason: "the learner is silent"}, true
		case !isSilent && m.Match+maxLearnerLag >= s.Last && learner == "":
			learner = m.Name
		}
	}
	switch {
	case voters < wanted && learner != "":
		return memberChange{action: MemberPromote, name: learner, reason: "the group has too few voters"}, true
	case voters > wanted && silent != "":
		return memberChange{action: MemberRemove, name: silent, reason: "another voter has taken its place"}, true
	case voters > wanted:
		return memberChange{action: MemberRemove, name: surplus, reason: "the group has too many voters"}, true
	case silent != "" && learner != "":
		return memberChange{action: MemberPromote, name: learner, reason: fmt.Sprintf("voter %s is silent", silent)}, true
	}
	return memberChange{}, false
}

// maintainMembers makes the change of the members that is due.
func (s *Server) maintainMembers(ctx context.Context) {
	defer s.changingMembers.Store(false)
	u, ok := nextMemberChange(s.node.Status(), s.voters, clock.Now())
	if !ok {
		s.sleep(memberCheckInterval)
		return
	}
	call, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	err := s.changeMember(call, u.action, u.name)
	f := event.Fields{"action": string(u.action), "name": u.name, "reason": u.reason}
	if err != nil {
		f["error"] = err.Error()
	}
	s.events.Emit(event.ControlUpkeep, f)
	s.sleep(memberCheckInterval)
}

func (s *Server) changeMember(ctx context.Context, action MemberAction, name string) error {
	switch action {
	case MemberAdd:
		return s.node.AddMember(ctx, name)
	case MemberPromote:
		return s.node.PromoteMember(ctx, name)
	case MemberRemove:
		return s.node.RemoveMember(ctx, name)
	}
	return invalidArgument("action %q is none of add, promote, remove", action)
}

// JoinRequest asks the leader to add a process to the group.
type JoinRequest struct {
	// Name is the process's address.
	Name string `cbor:"name" json:"name"`
	// Identity identifies the process's data folder.
	Identity string `cbor:"identity" json:"identity"`
}

// JoinResponse holds the URLs of the members.
type JoinResponse struct {
	URLs []string `cbor:"urls" json:"urls"`
}

// admit adds the calling process as a learner.
func (s *Server) admit(ctx context.Context, r *connect.Request[JoinRequest]) (*connect.Response[JoinResponse], error) {
	if _, err := s.confirmedLeader(ctx); err != nil {
		return nil, err
	}
	for _, m := range s.node.Status().Members {
		if m.Name == r.Msg.Name && m.Identity == r.Msg.Identity {
			return connect.NewResponse(&JoinResponse{URLs: s.memberURLs()}), nil
		}
	}
	if err := s.node.AddMember(ctx, r.Msg.Name); err != nil {
		var refused *quorum.ChangeError
		if errors.As(err, &refused) {
			return nil, connect.NewError(connect.CodeFailedPrecondition, err)
		}
		return nil, s.connectError(err)
	}
	s.events.Emit(event.ControlUpkeep, event.Fields{"action": string(MemberAdd), "name": r.Msg.Name, "reason": "the process asked to join"})
	return connect.NewResponse(&JoinResponse{URLs: s.memberURLs()}), nil
}

// isMember reports whether the process is a member according to its own log.
func isMember(s quorum.Status) bool {
	return slices.ContainsFunc(s.Members, func(m quorum.MemberStatus) bool {
		return m.Name == s.Name && m.Identity == s.Identity
	})
}

// join asks to join the group while the process is not a member, and also while it knows no leader: it may have been
// removed while it was away, which its own log does not show.
func (s *Server) join() {
	urls := make([]string, 0, len(s.urls))
	for name, u := range s.urls {
		if name != s.name {
			urls = append(urls, u)
		}
	}
	group := NewClient(urls, s.client)
	leaderSeen := time.Now()
	for s.ctx.Err() == nil {
		s.sleep(joinInterval)
		leader, _, _ := s.node.Leadership()
		now := time.Now()
		if leader != "" {
			leaderSeen = now
		}
		st := s.node.Status()
		if isMember(st) && now.Sub(leaderSeen) < leaderlessJoinDelay {
			continue
		}
		group.AddURLs(s.knownURLs())
		call, cancel := context.WithTimeout(s.ctx, joinTimeout)
		r, err := group.Join(call, JoinRequest{Name: s.name, Identity: st.Identity})
		cancel()
		if err != nil {
			if s.ctx.Err() == nil {
				s.events.Emit(event.ControlJoinFailed, event.Fields{"name": s.name, "error": err.Error()})
			}
			continue
		}
		group.AddURLs(r.URLs)
	}
}

// SetSeeds sets further processes that may know the group, as a reload of the settings does.
func (s *Server) SetSeeds(urls []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = slices.Clone(urls)
}

// knownURLs returns the members according to the process's own log and the seeds, without the process itself.
func (s *Server) knownURLs() []string {
	s.mu.Lock()
	out := slices.Clone(s.seeds)
	s.mu.Unlock()
	out = append(out, s.memberURLs()...)
	return slices.DeleteFunc(out, func(u string) bool { return u == s.url(s.name) })
}

// Join asks the leader to add a process to the group.
func (c *Client) Join(ctx context.Context, m JoinRequest) (JoinResponse, error) {
	var out JoinResponse
	err := c.callLeader(ctx, callTimeout, true, func(ctx context.Context, e *endpoint) error {
		r, err := e.join.CallUnary(ctx, connect.NewRequest(&m))
		if err != nil {
			return fmt.Errorf("join as %s: %w", m.Name, err)
		}
		out = *r.Msg
		return nil
	})
	return out, err
}

// AddURLs adds control processes to ask.
func (c *Client) AddURLs(urls []string) {
	c.updatePicker(func(p *picker, _ time.Time) { p.add(urls) })
}
