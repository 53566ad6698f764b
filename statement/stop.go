package statement

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// drainPollInterval is the time between checks for sessions that can be closed during a drain.
const drainPollInterval = 100 * time.Millisecond

// reasonStopping is what guests are told whose requests are refused or aborted because of a stop.
const reasonStopping = "the host is stopping"

// StopTimes holds when the steps of a planned stop begin, in this order.
type StopTimes struct {
	// CloseIdle is when sessions that are idle outside a transaction begin to be closed. From then on no transaction begins.
	CloseIdle time.Time
	// Refuse is when open transactions are rolled back. From then on no request outside a transaction and no session begins.
	Refuse time.Time
	// Answer is when the remaining sessions close.
	Answer time.Time
}

// stopStep is a step of a planned stop.
type stopStep int

const (
	stepNone stopStep = iota
	stepCloseIdle
	stepRefuse
	stepAnswer
)

// stopStep returns the step that the stop of the host has reached.
func (s *Server) stopStep() stopStep {
	t, now := s.stopTimes.Load(), time.Now()
	switch {
	case t == nil || now.Before(t.CloseIdle):
		return stepNone
	case now.Before(t.Refuse):
		return stepCloseIdle
	case now.Before(t.Answer):
		return stepRefuse
	}
	return stepAnswer
}

// Drain keeps serving until t.CloseIdle, so that the load balancer can notice that the host is not ready, and then takes the
// steps of t. It returns when no session is left, or when ctx ends.
func (s *Server) Drain(ctx context.Context, t StopTimes) error {
	s.stopTimes.Store(&t)
	ticks := time.NewTicker(drainPollInterval)
	defer ticks.Stop()
	for {
		if s.stopStep() >= stepCloseIdle && s.wakeIdleSessions() {
			return nil
		}
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// wakeIdleSessions wakes all sessions, so that idle ones close, and reports whether none is left. From then on it rejects
// new ones, which the end of the process would cut off.
func (s *Server) wakeIdleSessions() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.sessions {
		n.conn.InterruptNext()
	}
	s.drained = len(s.sessions) == 0
	return s.drained
}

// rejectsSessions reports whether new sessions are rejected because the host stops.
func (s *Server) rejectsSessions() bool {
	if s.stopStep() >= stepRefuse {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained
}

// stopRefuses reports whether a request of the kind is refused because the host stops. A statement of an open transaction
// is not refused here, but finds its transaction rolled back; a commit that comes before that is carried out.
func (n *session) stopRefuses(k jacinthtiller.RequestKind) bool {
	step := n.s.stopStep()
	switch k {
	case jacinthtiller.RequestBegin, jacinthtiller.RequestBeginRead:
		return n.tx == nil && step >= stepCloseIdle
	case jacinthtiller.RequestRead, jacinthtiller.RequestWrite, jacinthtiller.RequestExecute:
		if n.tx != nil && step >= stepRefuse {
			n.abort(reasonStopping)
		}
		return n.tx == nil && step >= stepRefuse
	}
	return false
}

// refuseForStop refuses a request outside a transaction. Other hosts can serve the guest at once.
func (n *session) refuseForStop(r jacinthtiller.GuestRequest) error {
	route, err := n.route()
	if err != nil {
		return err
	}
	q, _ := n.newRequest(r, route)
	q.last = outcome{reason: reasonStopping, cause: causeStopping}
	n.refusedForStop = n.s.stopStep() >= stepRefuse
	return n.fail(q, jacinthtiller.ErrorCodeBusy, "not run: "+reasonStopping, rand.Int64N(retryAfterBusyMilliseconds))
}
