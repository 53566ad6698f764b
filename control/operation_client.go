package control

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/jacinthtiller/jacinthtiller/wire"
)

// SectionGet returns a team's section.
func (c *Client) SectionGet(ctx context.Context, m SectionGetRequest) (SectionGetResponse, error) {
	var out SectionGetResponse
	err := c.callLeader(ctx, callTimeout, true, func(ctx context.Context, e *endpoint) error {
		r, err := e.sectionGet.CallUnary(ctx, connect.NewRequest(&m))
		if err != nil {
			return fmt.Errorf("get section of %s: %w", m.Team, err)
		}
		out = *r.Msg
		return nil
	})
	return out, err
}

// SectionApply replaces a team's section. It is retried under the same request id until it is answered.
func (c *Client) SectionApply(ctx context.Context, m SectionApplyRequest) (SectionApplyResponse, error) {
	var out SectionApplyResponse
	timeout := slowCallTimeout + min(time.Duration(m.WaitMicroseconds)*time.Microsecond, maxOperatorWait)
	err := c.callLeader(ctx, timeout, true, func(ctx context.Context, e *endpoint) error {
		r, err := e.sectionApply.CallUnary(ctx, connect.NewRequest(&m))
		if err != nil {
			return fmt.Errorf("apply section of %s: %w", m.Team, err)
		}
		out = *r.Msg
		return nil
	})
	return out, err
}

// SectionHistory returns the retained revisions of a team's section, oldest first.
func (c *Client) SectionHistory(ctx context.Context, m SectionHistoryRequest) (SectionHistoryResponse, error) {
	var out SectionHistoryResponse
	err := c.callLeader(ctx, callTimeout, true, func(ctx context.Context, e *endpoint) error {
		r, err := e.sectionHistory.CallUnary(ctx, connect.NewRequest(&m))
		if err != nil {
			return fmt.Errorf("history of the section of %s: %w", m.Team, err)
		}
		out = *r.Msg
		return nil
	})
	return out, err
}

// Status returns the leader's status of the group.
func (c *Client) Status(ctx context.Context) (StatusResponse, error) {
	var out StatusResponse
	err := c.callLeader(ctx, callTimeout, true, func(ctx context.Context, e *endpoint) error {
		r, err := e.status.CallUnary(ctx, connect.NewRequest(&wire.Empty{}))
		if err != nil {
			return fmt.Errorf("status: %w", err)
		}
		out = *r.Msg
		return nil
	})
	return out, err
}

// Members returns the members of the control group as known to the process that answers.
func (c *Client) Members(ctx context.Context) (MembersResponse, error) {
	var out MembersResponse
	err := c.callLeader(ctx, callTimeout, true, func(ctx context.Context, e *endpoint) error {
		r, err := e.members.CallUnary(ctx, connect.NewRequest(&wire.Empty{}))
		if err != nil {
			return fmt.Errorf("members: %w", err)
		}
		out = *r.Msg
		return nil
	})
	return out, err
}

// MemberChange changes the members of the control group. It is not retried after an unknown outcome; an error other than
// a refusal leaves the outcome unknown.
func (c *Client) MemberChange(ctx context.Context, m MemberChangeRequest) (MembersResponse, error) {
	var out MembersResponse
	err := c.callLeader(ctx, slowCallTimeout, false, func(ctx context.Context, e *endpoint) error {
		r, err := e.memberChange.CallUnary(ctx, connect.NewRequest(&m))
		if err != nil {
			return fmt.Errorf("%s member %s: %w", m.Action, m.Name, err)
		}
		out = *r.Msg
		return nil
	})
	return out, err
}

// MovePrimary requests a planned change of primary and waits for it as long as the request says.
func (c *Client) MovePrimary(ctx context.Context, m MovePrimaryRequest) (MovePrimaryResponse, error) {
	var out MovePrimaryResponse
	timeout := slowCallTimeout + min(time.Duration(m.WaitMicroseconds)*time.Microsecond, maxOperatorWait)
	err := c.callLeader(ctx, timeout, false, func(ctx context.Context, e *endpoint) error {
		r, err := e.movePrimary.CallUnary(ctx, connect.NewRequest(&m))
		if err != nil {
			return fmt.Errorf("move primary of %s: %w", m.Database, err)
		}
		out = *r.Msg
		return nil
	})
	return out, err
}

// TargetLeave marks a target as leaving, so that it gets no new work.
func (c *Client) TargetLeave(ctx context.Context, m TargetLeaveRequest) error {
	return c.callLeader(ctx, callTimeout, true, func(ctx context.Context, e *endpoint) error {
		if _, err := e.targetLeave.CallUnary(ctx, connect.NewRequest(&m)); err != nil {
			return fmt.Errorf("leave target %s: %w", m.Target, err)
		}
		return nil
	})
}
