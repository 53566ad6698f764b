package session

import (
	"context"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// destination is the target and host on which a request runs.
type destination struct {
	target  string
	host    string
	primary bool
	term    uint64
	epoch   uint64
}

// attempt is one try to run a request.
type attempt struct {
	destination
	unit    jacinthtiller.Unit
	answer  *answer
	started time.Time
	result  jacinthtiller.Result
	// err is nil when the target answered, even if the answer is an error.
	err *jacinthtiller.Error
}

// newUnit makes the unit for one attempt.
func (s *session) newUnit(q *request, dest destination, deadline time.Time) jacinthtiller.Unit {
	s.unitCount++
	u := jacinthtiller.Unit{
		Number: s.unitCount, Database: s.database, Target: dest.target, Term: dest.term, Epoch: dest.epoch,
		Team: s.team, Guest: s.role, Session: s.id, Access: q.access, Primary: dest.primary,
		Deadline: deadline, WaitUntil: deadline, Prepares: q.preparedStatements(), Frames: q.frames,
	}
	return u
}

// runUnit runs one unit on a channel and checks that the answer is complete and belongs to the unit.
func (s *session) runUnit(ch jacinthtiller.Channel, q *request, dest destination, u jacinthtiller.Unit) attempt {
	at := attempt{
		destination: dest, unit: u, started: time.Now(),
		answer: &answer{session: s, request: q, start: len(s.out), primary: dest.primary, term: dest.term},
	}
	if !s.setRunning(ch) {
		at.answer.closed = true
		at.err = jacinthtiller.NotRun(codeCanceled, "", "canceling statement due to user request")
		return at
	}
	r, err := ch.Run(s.server.ctx, u, at.answer.sink)
	s.clearRunning()
	at.answer.close()
	at.result = r
	if at.err = at.verify(r, err); at.err != nil {
		q.framesInUse = true
	}
	return at
}

// verify returns nil when the target answered the unit.
func (at *attempt) verify(r jacinthtiller.Result, err error) *jacinthtiller.Error {
	switch {
	case err != nil:
		return at.reconcile(jacinthtiller.AsError(err))
	case r.Number != at.unit.Number:
		return jacinthtiller.UnknownOutcome("the answer to request %d has the number %d", at.unit.Number, r.Number)
	case r.Outcome != jacinthtiller.OutcomeDone && r.Err != nil:
		return at.reconcile(r.Err)
	case r.Outcome == jacinthtiller.OutcomeNotRun:
		return at.reconcile(jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, "", "the request was not run"))
	case r.Outcome != jacinthtiller.OutcomeDone:
		return jacinthtiller.UnknownOutcome("the outcome of the request is unknown")
	case at.answer.err != nil:
		return jacinthtiller.UnknownOutcome("%v", at.answer.err)
	case at.answer.readyCount != 1:
		return jacinthtiller.UnknownOutcome("the answer of the target is not whole")
	case r.Status != 'I' && r.Status != 'T' && r.Status != 'E':
		return jacinthtiller.UnknownOutcome("the answer of the target has no transaction status")
	}
	return nil
}

// reconcile turns "not run" into "unknown" when frames of an answer contradict it.
func (at *attempt) reconcile(e *jacinthtiller.Error) *jacinthtiller.Error {
	if e.Outcome == jacinthtiller.OutcomeNotRun && (at.answer.partlySent || at.answer.completed) {
		return jacinthtiller.UnknownOutcome("%s, but an answer had begun", e.Message)
	}
	return e
}

// fromReplacedPrimary reports whether the result is from a primary that has been replaced.
func (at *attempt) fromReplacedPrimary(v jacinthtiller.View) bool {
	if !at.primary {
		return false
	}
	term := at.result.Position.Term
	if term == 0 {
		term = at.unit.Term
	}
	return term < v.Databases[at.unit.Database].Term
}

// setRunning records the channel for a cancel request; it returns false when the guest has canceled.
func (s *session) setRunning(ch jacinthtiller.Channel) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.canceled {
		return false
	}
	s.runningChannel = ch
	return true
}

func (s *session) clearRunning() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningChannel = nil
}

// cancelTimeout bounds how long the end of a request waits for a cancel of it that is in progress.
const cancelTimeout = time.Second

// cancel cancels the guest's request, if one is in progress. It holds the lock, so that the cancel
// never reaches a later request.
func (s *session) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelContext == nil {
		return
	}
	s.canceled = true
	if s.runningChannel == nil {
		s.cancelContext()
		return
	}
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	// The target's answer shows the guest whether the cancel had an effect.
	_ = s.runningChannel.Cancel(ctx)
}

// startRequest returns the context that bounds the waits of a request.
func (s *session) startRequest(deadline time.Time) context.Context {
	ctx, stop := context.WithDeadline(s.server.ctx, deadline)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelContext, s.canceled = stop, false
	return ctx
}

func (s *session) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelContext()
	s.cancelContext = nil
}
