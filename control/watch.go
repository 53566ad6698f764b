package control

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// heartbeatEvery is the time between messages of a watch without changes.
	heartbeatEvery = time.Second
	// isolatedAfter is how long a process without a leader goes on serving watches.
	isolatedAfter = 2 * time.Second
	// hostsEvery is the least time between two messages of a watch that tell only which hosts have come or gone. When
	// hundreds of them register at once, each would otherwise be told of each other by a message of its own. It delays a
	// host's first lease by as much, a thirtieth of a lease.
	hostsEvery = 50 * time.Millisecond
)

// watch streams views. A process that knows no leader ends its watches, because
// it may be cut off from the group and its view would grow old unnoticed.
func (s *Server) watch(ctx context.Context, r *connect.Request[WatchRequest], out *connect.ServerStream[encodedDelta]) error {
	s.metrics.watchers.Add(ctx, 1)
	defer s.metrics.watchers.Add(ctx, -1)
	from := r.Msg.From
	ticks := time.NewTicker(heartbeatEvery)
	defer ticks.Stop()
	alone := time.Now().Add(isolatedAfter)
	var p pace
	for {
		d, changed := s.machine.delta(from)
		var held <-chan time.Time
		if d != nil {
			due := p.due(d.delta, time.Now())
			if due.IsZero() {
				if err := out.Send(d); err != nil {
					return fmt.Errorf("send delta: %w", err)
				}
				from = d.delta.Index
				s.metrics.deltas.Add(ctx, 1)
				continue
			}
			held = time.After(time.Until(due))
		}
		select {
		case <-changed:
			continue
		case <-held:
			continue
		case <-s.ctx.Done():
			return s.notLeader("")
		case <-ctx.Done():
			return fmt.Errorf("watch: %w", ctx.Err())
		case <-ticks.C:
		}
		now := time.Now()
		if leader, _, _ := s.node.Leadership(); leader != "" {
			alone = now.Add(isolatedAfter)
		}
		if !now.Before(alone) {
			return s.notLeader("")
		}
		if h := s.machine.heartbeat(from); h != nil {
			if err := out.Send(h); err != nil {
				return fmt.Errorf("send heartbeat: %w", err)
			}
		}
	}
}

// pace decides when the messages of one watch are sent.
type pace struct {
	// next is from when on a message about hosts alone may be sent.
	next time.Time
}

// due returns zero when the delta is to be sent now, which counts as done, and otherwise when to ask again.
func (p *pace) due(d jacinthtiller.Delta, now time.Time) time.Time {
	if onlyHosts(d) && now.Before(p.next) {
		return p.next
	}
	p.next = now.Add(hostsEvery)
	return time.Time{}
}

// onlyHosts reports whether a delta tells only of hosts that have come or gone, which changes nothing of what the
// others may answer.
func onlyHosts(d jacinthtiller.Delta) bool {
	return d.From != 0 && len(d.Databases) == 0 && len(d.Sections) == 0 && d.Edition == nil &&
		len(d.RemovedDatabases) == 0 && len(d.RemovedSections) == 0
}
