package statement

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// drainPollInterval is the time between checks for sessions that can be closed during a drain.
const drainPollInterval = 100 * time.Millisecond

// answerPollInterval is the time between checks whether all requests have been answered.
const answerPollInterval = 20 * time.Millisecond

// minQuiet is how long a session must have had no request before it counts as idle during a drain. A guest's next request may
// be on its way after an answer or the startup; round trips between regions take 25 ms.
const minQuiet = 60 * time.Millisecond

// abortNotice is how long after StopTimes.Refuse a guest in a transaction that was rolled back has to send its next request,
// which tells it so. Then its session closes, so that the host is not away for longer than it has to be.
const abortNotice = 300 * time.Millisecond

// stopAnswerMargin is how long before StopTimes.Answer the deadline of a request ends at the latest, so that its session can
// still say what has become of it.
const stopAnswerMargin = 50 * time.Millisecond

// reasonStopping is what guests are told whose requests are refused or aborted because of a stop.
const reasonStopping = "the host is stopping"

// StopTimes holds when the steps of a planned stop begin, in this order.
type StopTimes struct {
	// CloseIdle is when sessions that have been idle outside a transaction for minQuiet begin to be closed. From then on no
	// transaction begins.
	CloseIdle time.Time
	// Refuse is when open transactions are rolled back. From then on no request outside a transaction and no session begins.
	Refuse time.Time
	// Answer is when each request that still runs gets its final answer, and the remaining sessions close.
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

// String returns the name of the step for logs.
func (p stopStep) String() string {
	return [...]string{"none", "close-idle", "refuse", "answer"}[p]
}

// beginsAt returns when the step begins.
func (t *StopTimes) beginsAt(p stopStep) time.Time {
	return [...]time.Time{stepCloseIdle: t.CloseIdle, stepRefuse: t.Refuse, stepAnswer: t.Answer}[p]
}

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

// abortNoticeEnded reports whether sessions whose transactions were rolled back for the stop are closed.
func (s *Server) abortNoticeEnded() bool {
	t := s.stopTimes.Load()
	return t != nil && !time.Now().Before(t.Refuse.Add(abortNotice))
}

// Drain keeps serving until t.CloseIdle, so that the load balancer can notice that the host is not ready, and then takes the
// steps of t. It returns when no session is left, or when ctx ends.
func (s *Server) Drain(ctx context.Context, t StopTimes) error {
	s.stopTimes.Store(&t)
	ticks := time.NewTicker(drainPollInterval)
	defer ticks.Stop()
	answer := time.NewTimer(time.Until(t.Answer))
	defer answer.Stop()
	logged := stepNone
	for {
		for step := s.stopStep(); logged < step; {
			logged++
			s.logStopStep(logged, time.Since(t.beginsAt(logged)))
			s.notifyChange() // wakes startups that wait for a route
		}
		if s.stopStep() >= stepCloseIdle && s.wakeIdleSessions() {
			return nil
		}
		select {
		case <-ticks.C:
		case <-answer.C:
			s.cutOffRequests()
		case <-ctx.Done():
			s.cutOffRequests() // the last step may be overdue too
			return ctx.Err()
		}
	}
}

// FinishAnswers waits until each request that was taken has a whole answer, or until ctx ends. A guest that reads slowly may
// need longer than the drain for a long one.
func (s *Server) FinishAnswers(ctx context.Context) error {
	ticks := time.NewTicker(answerPollInterval)
	defer ticks.Stop()
	for {
		running, writing := s.progress()
		if running+writing == 0 {
			return nil
		}
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return fmt.Errorf("finish %d answers, of which %d were begun: %w", running+writing, writing, ctx.Err())
		}
	}
}

// progress returns the numbers of sessions whose request has no answer yet and of those that are writing one.
func (s *Server) progress() (running, writing int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.sessions {
		switch pending, busy := n.conn.progress(); {
		case busy:
			writing++
		case pending:
			running++
		}
	}
	return running, writing
}

// logStopStep logs that a step has begun, and how late.
func (s *Server) logStopStep(p stopStep, late time.Duration) {
	running, writing := s.progress()
	s.events.Emit(event.StopStepReached, event.Fields{
		"step": p.String(), "late-milliseconds": late.Milliseconds(), "sessions": s.Stats().Sessions, "running": running, "writing": writing,
	})
}

// wakeIdleSessions wakes all sessions, so that idle ones close, and reports whether none is left. From then on it rejects
// new ones, which the end of the process would cut off.
func (s *Server) wakeIdleSessions() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = true
	for n := range s.sessions {
		if n.ended.Load() || n.conn.isCutOff() {
			continue
		}
		s.drained = false
		n.conn.InterruptNext()
	}
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

// stopRefuses reports whether a request of the kind, which must not be one of an open transaction, is refused because the host
// stops: from stepRefuse on whatever it is, also what the host could answer itself, since the next request would be cut off.
func (n *session) stopRefuses(k jacinthtiller.RequestKind) bool {
	step := n.s.stopStep()
	return step >= stepRefuse || step >= stepCloseIdle && (k == jacinthtiller.RequestBegin || k == jacinthtiller.RequestBeginRead)
}

// refuseForStop refuses a request outside a transaction. Other hosts can serve the guest at once.
func (n *session) refuseForStop(r jacinthtiller.GuestRequest) error {
	route, ok, err := n.authorize(r)
	if !ok {
		return err
	}
	q, _ := n.newRequest(r, route)
	q.last = outcome{reason: reasonStopping, cause: causeStopping}
	return n.fail(q, jacinthtiller.ErrorCodeBusy, "not run: "+reasonStopping, rand.Int64N(retryAfterBusyMilliseconds))
}

// endsAfterAnswer reports whether the session closes after the answer to the request that it takes now, because the host stops.
func (n *session) endsAfterAnswer() bool {
	if n.tx == nil {
		return n.s.stopStep() >= stepRefuse
	}
	return n.tx.aborted != "" && n.s.abortNoticeEnded()
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

// cutOffRequests answers all requests that still run, in place of their sessions.
func (s *Server) cutOffRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.sessions {
		// In a goroutine for each, since a guest may not read its answer.
		s.runInBackground("answer a request for the stop", func() {
			if r, code, cut := n.conn.cutOff(); cut {
				s.events.Emit(event.RequestCutOff, event.Fields{
					"request": r.ID, "verb": string(r.Kind), "code": string(code), "reason": reasonStopping,
				})
			}
		})
	}
}

// errCutOff ends a session whose request was answered by the stop of the host.
var errCutOff = errors.New("the stop of the host has answered the request")

// sessionConn is a guest's connection on which the stop of the host can answer a request in place of the session.
type sessionConn struct {
	jacinthtiller.GuestConn

	mu sync.Mutex // guards the fields below
	// pending is true while no answer to the last request has been begun, and writing while one is being written.
	pending, writing bool
	// unanswered is true until the last request, read at readAt, has a whole answer.
	unanswered bool
	request    jacinthtiller.GuestRequest
	readAt     time.Time
	// writeError is the error of the last answer; nil if it was written.
	writeError error
	// state is the session's state that the guest was last told.
	state byte
	// closed is true once cutOff answers; the session sends nothing after that.
	closed bool
}

// Next waits for the next request.
func (c *sessionConn) Next(deadline time.Time) (jacinthtiller.GuestRequest, error) {
	r, err := c.GuestConn.Next(deadline)
	if err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pending, c.unanswered, c.request, c.readAt, c.writeError = true, true, r, time.Now(), nil
	}
	return r, err
}

// ReplyDone answers a request that the host has carried out itself.
func (c *sessionConn) ReplyDone(state byte) error {
	return c.reply(state, func() error { return c.GuestConn.ReplyDone(state) })
}

// ForwardReply forwards a target's reply.
func (c *sessionConn) ForwardReply(r jacinthtiller.Reply, state byte) error {
	return c.reply(state, func() error { return c.GuestConn.ForwardReply(r, state) })
}

// ReplyError answers with an error.
func (c *sessionConn) ReplyError(code jacinthtiller.ErrorCode, text string, retryAfterMilliseconds int64, state byte) error {
	return c.reply(state, func() error { return c.GuestConn.ReplyError(code, text, retryAfterMilliseconds, state) })
}

func (c *sessionConn) reply(state byte, write func() error) error {
	if !c.beginAnswer(state) {
		return errCutOff
	}
	err := write()
	c.endAnswer(err)
	return err
}

// beginAnswer reports false if the stop of the host has answered in place of the session.
func (c *sessionConn) beginAnswer(state byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.pending, c.writing, c.state = false, true, state
	return true
}

func (c *sessionConn) endAnswer(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.unanswered, c.writeError = false, err != nil, err
}

// progress reports whether no answer to the last request has been begun, and whether one is being written.
func (c *sessionConn) progress() (pending, writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending, c.writing
}

// isCutOff reports whether cutOff has answered, or is answering. The session may still wait for a target, but sends nothing any
// more.
func (c *sessionConn) isCutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// cutOff answers the pending request and closes the connection. It reports false if there is none, or if its answer has been
// begun. Since the session can't commit any more, a statement of an open transaction has no effect.
func (c *sessionConn) cutOff() (r jacinthtiller.GuestRequest, code jacinthtiller.ErrorCode, cut bool) {
	r, code, state, cut := c.beginCutOff()
	if !cut {
		return r, "", false
	}
	c.endAnswer(c.GuestConn.ReplyError(code, reasonStopping+" and the request has no result yet", 0, state))
	_ = c.Close()
	return r, code, true
}

// beginCutOff returns what cutOff answers, and ends the answers of the session.
func (c *sessionConn) beginCutOff() (r jacinthtiller.GuestRequest, code jacinthtiller.ErrorCode, state byte, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.pending || c.closed {
		return r, "", 0, false
	}
	c.pending, c.writing, c.closed = false, true, true
	switch {
	case c.request.Kind == jacinthtiller.RequestCommit:
		return c.request, jacinthtiller.ErrorCodeUnknown, jacinthtiller.StateIdle, true
	case c.state == jacinthtiller.StateTransaction:
		return c.request, jacinthtiller.ErrorCodeAborted, jacinthtiller.StateFailed, true
	case c.request.Kind == jacinthtiller.RequestRead:
		return c.request, jacinthtiller.ErrorCodeTimeout, jacinthtiller.StateIdle, true
	}
	return c.request, jacinthtiller.ErrorCodeUnknown, jacinthtiller.StateIdle, true
}

// logUnanswered logs a request that has no whole answer at the end of its session.
func (n *session) logUnanswered() {
	c := n.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unanswered {
		return
	}
	f := event.Fields{
		"request": c.request.ID, "verb": string(c.request.Kind), "guest": n.guestName(), "route": n.routeName, "cause": "no answer was begun",
		"milliseconds": time.Since(c.readAt).Milliseconds(), "stop-step": n.s.stopStep().String(),
	}
	if c.writeError != nil {
		f["cause"], f["error"] = "the answer was not written", c.writeError.Error()
	}
	n.s.events.Emit(event.RequestUnanswered, f)
}
