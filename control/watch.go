package control

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
)

const (
	// heartbeatInterval is the time between messages of a watch without changes.
	heartbeatInterval = time.Second
	// leaderlessWatchTimeout is how long a process without a leader continues to serve watches.
	leaderlessWatchTimeout = 2 * time.Second
	// routineInterval is the shortest time between two messages of a watch that change no primary, edition or section.
	// Otherwise each of hundreds of hosts or targets that register at once would cause a message to every host. It
	// delays a host's first lease by a thirtieth of a lease.
	routineInterval = 50 * time.Millisecond
	// urgentInterval is the shortest time between two messages with other changes. After a loss of power each database
	// gets a primary within a second or two. It delays a change of primary by a two-hundredth of the two seconds that
	// the change may take.
	urgentInterval = 10 * time.Millisecond
)

// watch streams views. A process that knows no leader ends its watches, because it may be partitioned and its view would
// become stale unnoticed.
func (s *Server) watch(ctx context.Context, r *connect.Request[WatchRequest], out *connect.ServerStream[encodedDelta]) error {
	s.metrics.watchers.Add(ctx, 1)
	defer s.metrics.watchers.Add(ctx, -1)
	from := r.Msg.From
	ticks := time.NewTicker(heartbeatInterval)
	defer ticks.Stop()
	leaderDeadline := time.Now().Add(leaderlessWatchTimeout)
	schedule := sendSchedule{origin: s.startedAt}
	for {
		urgent := s.machine.urgentChange() // before the delta, so that no change between the two is missed
		d, changed := s.machine.delta(from, r.Msg.AcceptsEditionDeltas)
		var delay <-chan time.Time
		if d != nil {
			due := schedule.due(d.urgent, time.Now())
			if due.IsZero() {
				message := d
				if r.Msg.AcceptsCompressed {
					compressed, err := d.compress()
					if err != nil {
						return fmt.Errorf("prepare delta for a watch: %w", err)
					}
					message = compressed
				}
				if err := out.Send(message); err != nil {
					return fmt.Errorf("send delta: %w", err)
				}
				from = d.delta.Index
				s.metrics.deltas.Add(ctx, 1)
				continue
			}
			delay, changed = time.After(time.Until(due)), urgent
		}
		select {
		case <-changed:
			continue
		case <-delay:
			continue
		case <-s.ctx.Done():
			return s.notLeaderError("")
		case <-ctx.Done():
			return fmt.Errorf("watch: %w", ctx.Err())
		case <-ticks.C:
		}
		now := time.Now()
		if leader, _, _ := s.node.Leadership(); leader != "" {
			leaderDeadline = now.Add(leaderlessWatchTimeout)
		}
		if !now.Before(leaderDeadline) {
			return s.notLeaderError("")
		}
		if h := s.machine.heartbeat(from); h != nil {
			if err := out.Send(h); err != nil {
				return fmt.Errorf("send heartbeat: %w", err)
			}
		}
	}
}

// sendSchedule decides when the messages of one watch are sent. All watches of a process use the same times, so that
// most of them are at the same index and share one encoded delta.
type sendSchedule struct {
	// origin is the origin of the times at which messages are sent.
	origin time.Time
	// nextRoutine and nextUrgent are the earliest times of the next message of each kind.
	nextRoutine, nextUrgent time.Time
}

// due returns zero when the message may be sent now, which it records as sent; otherwise it returns when to ask again.
func (s *sendSchedule) due(urgent bool, now time.Time) time.Time {
	next := s.nextRoutine
	if urgent {
		next = s.nextUrgent
	}
	if now.Before(next) {
		return next
	}
	s.nextRoutine = s.nextSlot(now, routineInterval)
	if urgent {
		s.nextUrgent = s.nextSlot(now, urgentInterval)
	}
	return time.Time{}
}

// nextSlot returns the first multiple of the interval since the origin that is later than now.
func (s *sendSchedule) nextSlot(now time.Time, every time.Duration) time.Time {
	return now.Add(every - now.Sub(s.origin)%every)
}
