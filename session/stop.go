package session

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// stopAnswerMargin is how long before StopTimes.Answer the deadline of a request ends at the latest, so that a request
	// that still waits then is proved not to have run.
	stopAnswerMargin = 50 * time.Millisecond
	// answerGrace is how long sessions have at least for their final answers, even if the step StopTimes.Answer is late.
	answerGrace = 200 * time.Millisecond
)

// StopTimes holds when the steps of a planned stop begin, in this order.
type StopTimes struct {
	// CloseIdle is when the listeners close. From then on a session closes as soon as its guest has neither a transaction
	// nor an unfinished request.
	CloseIdle time.Time
	// Refuse is when open transactions are rolled back. From then on no request begins.
	Refuse time.Time
	// Answer is when the requests that still run are given up, so that each session reports what is known of the outcome.
	Answer time.Time
}

// Drain serves as before until t.CloseIdle, takes the steps of t, and returns when no guest is left. When ctx ends first,
// Drain returns its error without the steps that are not due, and the remaining guests stay connected until Close.
func (s *Server) Drain(ctx context.Context, t StopTimes) error {
	s.stopTimes.Store(&t)
	steps := []struct {
		at  time.Time
		run func()
	}{{t.CloseIdle, s.closeIdle}, {t.Refuse, s.refuseRequests}, {t.Answer, s.giveUpRequests}}
	for _, step := range steps {
		if ended, err := s.waitForStep(ctx, step.at); ended || err != nil {
			return err
		}
		step.run()
	}
	grace := time.NewTimer(answerGrace)
	defer grace.Stop()
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
	}
	select {
	case <-s.drained:
		return nil
	case <-grace.C:
		return s.drainError(ctx)
	}
}

// waitForStep waits until a step is due, unless the drain or ctx ends before.
func (s *Server) waitForStep(ctx context.Context, at time.Time) (ended bool, err error) {
	if !time.Now().Before(at) {
		return false, nil
	}
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return false, nil
	case <-s.drained:
		return true, nil
	case <-ctx.Done():
		return false, s.drainError(ctx)
	}
}

func (s *Server) drainError(ctx context.Context) error {
	return fmt.Errorf("drain %d guests: %w", s.Stats().Guests, ctx.Err())
}

// closeIdle closes the listeners, the connections that have not logged in, and the sessions of idle guests.
func (s *Server) closeIdle() {
	s.events.Emit(event.GuestsDraining, event.Fields{"guests": s.Stats().Guests})
	s.mu.Lock()
	s.draining = true
	s.checkDrained()
	for l := range s.listeners {
		_ = l.Close() // Serve returns
	}
	s.mu.Unlock()
	for _, g := range s.allSessions() {
		g.drain()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.loginConns {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // the login fails
	}
}

// refuseRequests ends all sessions that run no request.
func (s *Server) refuseRequests() {
	for _, g := range s.allSessions() {
		g.refuse()
	}
}

// giveUpRequests ends the requests that still run. Their sessions answer them.
func (s *Server) giveUpRequests() {
	s.events.Emit(event.GuestsCutOff, event.Fields{"guests": s.Stats().Guests})
	s.stop()
}

func (s *Server) allSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for _, g := range s.sessions {
		all = append(all, g)
	}
	return all
}

// checkDrained ends a drain when no session is left. It is called with mu held.
func (s *Server) checkDrained() {
	if !s.draining || len(s.sessions) > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// beforeStop returns the deadline of a request, which ends before the last step of a stop that has begun.
func (s *Server) beforeStop(deadline time.Time) time.Time {
	t := s.stopTimes.Load()
	if t == nil {
		return deadline
	}
	if end := t.Answer.Add(-stopAnswerMargin); end.Before(deadline) {
		return end
	}
	return deadline
}

// drain closes the session as soon as nothing is in flight.
func (s *session) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if s.idle {
		s.interruptRead()
	}
}

// refuse closes the session as soon as no request runs.
func (s *session) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = true
	if s.reading {
		s.interruptRead()
	}
}

// interruptRead fails only when the connection is closed.
func (s *session) interruptRead() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) }

// endsForStop reports whether the stop of the host ends the session before its next request. It is called with mu held.
func (s *session) endsForStop() bool { return s.refusing || s.draining && s.quiescent() }

// stopError tells the guest why its session ends.
func (s *session) stopError() *pgError {
	if s.txn != nil {
		return newFatalError(codeAdminShutdown, "the host is shutting down; the transaction is rolled back")
	}
	return newFatalError(codeAdminShutdown, "the host is shutting down")
}
