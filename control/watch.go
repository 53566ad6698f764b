package control

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
)

const (
	// heartbeatEvery is the time between messages of a watch without changes.
	heartbeatEvery = time.Second
	// isolatedAfter is how long a process without a leader goes on serving watches.
	isolatedAfter = 2 * time.Second
	// routineEvery is the least time between two messages of a watch that change no primary, edition or section. When hundreds
	// of hosts or targets register at once, each would otherwise be a message to every host. It delays a host's first lease
	// by as much, a thirtieth of a lease.
	routineEvery = 50 * time.Millisecond
	// urgentEvery is the least time between two messages with other changes. After a loss of power each database gets a
	// primary within a second or two; it delays a change of primary by a two-hundredth of the two seconds that one may take.
	urgentEvery = 10 * time.Millisecond
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
	p := pace{start: s.startedAt}
	for {
		urgent := s.machine.urgentChange() // before the delta, so that no change falls between them
		d, changed := s.machine.delta(from)
		var held <-chan time.Time
		if d != nil {
			due := p.due(d.urgent, time.Now())
			if due.IsZero() {
				message := d
				if r.Msg.AcceptsCompressed {
					packed, err := d.compress()
					if err != nil {
						return fmt.Errorf("prepare delta for a watch: %w", err)
					}
					message = packed
				}
				if err := out.Send(message); err != nil {
					return fmt.Errorf("send delta: %w", err)
				}
				from = d.delta.Index
				s.metrics.deltas.Add(ctx, 1)
				continue
			}
			held, changed = time.After(time.Until(due)), urgent
		}
		select {
		case <-changed:
			continue
		case <-held:
			continue
		case <-s.ctx.Done():
			return s.notLeaderError("")
		case <-ctx.Done():
			return fmt.Errorf("watch: %w", ctx.Err())
		case <-ticks.C:
		}
		now := time.Now()
		if leader, _, _ := s.node.Leadership(); leader != "" {
			alone = now.Add(isolatedAfter)
		}
		if !now.Before(alone) {
			return s.notLeaderError("")
		}
		if h := s.machine.heartbeat(from); h != nil {
			if err := out.Send(h); err != nil {
				return fmt.Errorf("send heartbeat: %w", err)
			}
		}
	}
}

// pace decides when the messages of one watch are sent. All watches of a process wait for the same times, so that most of
// them stand at the same index and share what is encoded.
type pace struct {
	// start is the origin of the times at which messages are sent.
	start time.Time
	// routine and urgent are from when on a message of the kind may be sent.
	routine, urgent time.Time
}

// due returns zero when the message is to be sent now, which counts as done, and otherwise when to ask again.
func (p *pace) due(urgent bool, now time.Time) time.Time {
	next := p.routine
	if urgent {
		next = p.urgent
	}
	if now.Before(next) {
		return next
	}
	p.routine = p.after(now, routineEvery)
	if urgent {
		p.urgent = p.after(now, urgentEvery)
	}
	return time.Time{}
}

// after returns the first multiple of the interval since the start that is later than now.
func (p *pace) after(now time.Time, every time.Duration) time.Time {
	return now.Add(every - now.Sub(p.start)%every)
}
