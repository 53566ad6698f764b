package session

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/document"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/replica"
)

// session is one guest's connection after its login. One goroutine serves it;
// other goroutines only cancel and drain it.
type session struct {
	server *Server
	conn   net.Conn
	reader *reader
	// out is the output buffer; nil while the guest is idle.
	out []byte

	id       string
	role     string
	team     string
	database string
	pid      uint32
	secret   [4]byte

	// unitCount is the number of the newest unit.
	unitCount uint64
	settings  settings
	// reportedMark is the mark last reported to the guest.
	reportedMark jacinthtiller.Position
	// statements maps the guest's statement names; "" is the unnamed statement.
	statements map[string]*statement
	// pending collects the messages received since the last Sync; nil when there are none.
	pending *request
	// skipUntilSync is true from an error in the extended protocol until Sync.
	skipUntilSync bool
	// txn is nil outside a transaction.
	txn *transaction

	mu sync.Mutex // guards the fields below
	// cancelContext ends the waits of the request in progress; nil when there is none.
	cancelContext context.CancelFunc
	canceled      bool
	// runningChannel is the channel on which a unit runs.
	runningChannel jacinthtiller.Channel
	// reading is true while the session waits for a message or reads one.
	reading bool
	// idle is true while the session waits for a request outside a transaction.
	idle bool
	// draining and refusing are true from the steps of StopTimes on.
	draining, refusing bool
}

// errTerminated means that the guest has sent Terminate.
var errTerminated = errors.New("the guest has terminated the connection")

// serve answers requests until the guest disconnects or an error ends the session. The caller closes the connection.
func (s *session) serve() {
	err := s.serveMessages()
	s.abortTransaction()
	if pgErr, ok := asPgError(err); ok {
		pgErr.fatal = true
		s.send(pgErr.response())
		_ = s.flush() // the guest may be gone
		linger(s.conn)
	}
	if !errors.Is(err, errTerminated) && !errors.Is(err, io.EOF) {
		s.server.events.Emit(event.GuestClosed, event.Fields{"session": s.id, "role": s.role, "error": err.Error()})
	}
}

// lingerTimeout is how long a connection that the host has ended waits for the guest to close it.
const lingerTimeout = 500 * time.Millisecond

// linger waits until the guest has closed the connection. Closing a connection with unread input
// resets it, and the guest could lose the error that explains the end.
func linger(conn net.Conn) {
	c, ok := conn.(interface{ CloseWrite() error })
	if !ok || c.CloseWrite() != nil || conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn) // ends with the guest or the deadline
}

func (s *session) serveMessages() error {
	for {
		if err := s.waitMessage(); err != nil {
			return err
		}
		kind, body, err := s.reader.next()
		if err = s.endRead(err); err != nil {
			return err
		}
		if err := s.handleMessage(kind, body); err != nil {
			return err
		}
	}
}

// waitMessage returns when a message has begun to arrive. Before it waits, it flushes the output and
// releases the buffers.
func (s *session) waitMessage() error {
	if !s.reader.buffered() {
		if err := s.flushAndRelease(); err != nil {
			return err
		}
		if err := s.waitFirstByte(); err != nil {
			return err
		}
	}
	return s.startRead(false, time.Now().Add(messageTimeout))
}

// flushAndRelease writes the output and returns the buffers to the pool.
func (s *session) flushAndRelease() error {
	if err := s.flush(); err != nil {
		return err
	}
	putBuffer(s.out)
	s.out = nil
	s.reader.release()
	return nil
}

// waitFirstByte waits for the first byte of a message. Only this wait can be ended by the limit on idle transactions.
func (s *session) waitFirstByte() error {
	var deadline time.Time
	if s.txn != nil {
		deadline = s.server.limits.idleTransactionDeadline(time.Now())
	}
	if err := s.startRead(s.quiescent(), deadline); err != nil {
		return err
	}
	_, err := s.reader.input.Peek(1)
	err = s.endRead(err)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded) && s.txn != nil:
		return newFatalError(codeIdleTransaction, "terminating connection due to idle-in-transaction timeout")
	}
	return fmt.Errorf("wait for a message: %w", err)
}

// quiescent reports whether the guest has neither a transaction nor an unfinished request.
func (s *session) quiescent() bool { return s.txn == nil && s.pending == nil }

// startRead sets the deadline of a read from the guest, and lets the stop of the host interrupt it. It fails when the stop
// ends the session.
func (s *session) startRead(idle bool, deadline time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endsForStop() {
		return s.stopError()
	}
	s.reading, s.idle = true, idle
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("set the deadline of a read: %w", err)
	}
	return nil
}

// endRead ends a read and returns its error, or the reason for which the stop of the host has interrupted it.
func (s *session) endRead(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading, s.idle = false, false
	if errors.Is(err, os.ErrDeadlineExceeded) && s.endsForStop() {
		return s.stopError()
	}
	return err
}

// handleMessage handles one message of the guest.
func (s *session) handleMessage(kind byte, body []byte) error {
	switch kind {
	case 'X':
		return errTerminated
	case 'S':
		return s.handleSync()
	case 'd', 'c', 'f': // COPY data after a refused COPY is ignored, as PostgreSQL does
		return nil
	case 'P', 'B', 'D', 'E', 'C', 'H', 'Q', 'F':
		if s.skipUntilSync {
			return nil
		}
	default:
		return newFatalError(codeProtocol, "invalid frontend message type %d", kind)
	}
	switch kind {
	case 'Q':
		return s.handleQuery(body)
	case 'H':
		return s.handleFlush()
	case 'F':
		return s.reject(newUnsupportedError("function calls by message are not supported", "Call the function with SELECT."))
	}
	if s.pending == nil {
		s.pending = newRequest()
	}
	if pgErr := s.pending.add(s, kind, body); pgErr != nil {
		return s.reject(pgErr)
	}
	return nil
}

// reject reports an error in the extended protocol: the request does not run, and messages are skipped until Sync.
func (s *session) reject(pgErr *pgError) error {
	if pgErr.fatal {
		return pgErr
	}
	s.discardPending()
	s.abortTransaction()
	s.send(pgErr.response())
	s.skipUntilSync = true
	return nil
}

// discardPending releases the request that was being received.
func (s *session) discardPending() {
	if s.pending != nil {
		s.pending.release()
		s.pending = nil
	}
}

// handleSync runs the messages received up to Sync.
func (s *session) handleSync() error {
	if q := s.pending; q != nil {
		if err := s.runExtended(q); err != nil {
			return err
		}
	}
	s.skipUntilSync = false
	s.sendReady()
	return nil
}

// handleFlush runs the messages received up to Flush as a request of its own.
func (s *session) handleFlush() error {
	q := s.pending
	if q == nil {
		return nil
	}
	if q.executes {
		return s.reject(newUnsupportedError("Flush after Bind or Execute is not supported", "Send Sync instead."))
	}
	q.endsInFlush = true
	return s.runExtended(q)
}

// runExtended runs a request of the extended protocol. After an error, messages are skipped until Sync.
func (s *session) runExtended(q *request) error {
	s.pending = nil
	defer q.release()
	all, some := s.allLocal(q)
	var pgErr *pgError
	switch {
	case all:
		if pgErr = s.answerLocalMessages(q); pgErr != nil && s.status() != 'I' {
			s.abortTransaction()
		}
	case some:
		pgErr = newUnsupportedError("statements that the proxy answers cannot be combined with others before Sync", "Send Sync between them.")
		s.abortTransaction()
	default:
		q.appendSync()
		pgErr = s.execute(q)
	}
	if pgErr == nil {
		return nil
	}
	s.skipUntilSync = true
	return s.reportError(pgErr)
}

// reportError sends an error to the guest; a fatal one ends the connection.
func (s *session) reportError(pgErr *pgError) error {
	if pgErr.fatal {
		return pgErr
	}
	s.send(pgErr.response())
	return nil
}

// handleQuery runs a Query message.
func (s *session) handleQuery(body []byte) error {
	if q := s.pending; q != nil {
		q.endsInFlush = true
		if err := s.runExtended(q); err != nil || s.skipUntilSync {
			return err
		}
	}
	sql, rest, ok := cutString(body)
	if !ok || len(rest) > 0 {
		return newFatalError(codeProtocol, "invalid Query message")
	}
	c := classify(sql)
	delete(s.statements, "") // as in PostgreSQL, Query ends the unnamed statement
	pgErr := c.refusal
	switch {
	case pgErr != nil && !s.txn.aborted():
		s.abortTransaction()
	case s.answersLocally(&c):
		if pgErr = s.answerLocal(&c, true); pgErr != nil && s.status() != 'I' {
			s.abortTransaction()
		}
	default:
		q := newQueryRequest(&c)
		pgErr = s.execute(q)
		q.release()
	}
	if pgErr != nil {
		if err := s.reportError(pgErr); err != nil {
			return err
		}
	}
	s.sendReady()
	return nil
}

// execute runs a request on a target.
func (s *session) execute(q *request) *pgError {
	q.firstUnit = s.unitCount + 1
	if s.txn != nil {
		return s.runInTransaction(q)
	}
	return s.route(q)
}

// applyAnswer updates the state of the session after an answered request.
func (s *session) applyAnswer(r *routing, at *attempt, ch jacinthtiller.Channel) {
	s.settings.mark = s.settings.mark.Max(at.result.Position)
	if at.unit.Key != "" && r.request.idempotencyKey == "" {
		s.settings.idempotencyKey = ""
	}
	s.updateStatements(r.request, at.answer.parseCount)
	s.updateTransaction(r.request, at, ch)
	if at.answer.failed {
		s.skipUntilSync = r.request.endsInFlush
	}
	s.recordOutcome(r.request, at, nil, r.reason)
}

// currentRole finds the guest's role in the newest document.
func (s *session) currentRole() (document.Role, document.Team, *pgError) {
	role, team, ok := s.server.directory().Role(s.role)
	if !ok || team.Name != s.team {
		return role, team, newFatalError(codeAuthorization, "role %q does not exist any more", s.role)
	}
	if pgErr := checkAccess(role, s.database); pgErr != nil {
		pgErr.fatal = true
		return role, team, pgErr
	}
	return role, team, nil
}

// readClass finds the read class of a request: that of its comment, of the session, or the team's default.
func (s *session) readClass(q *request) (document.ReadClass, *pgError) {
	if q.readClass != "" {
		c, ok := s.server.directory().ReadClass(s.team, q.readClass)
		if !ok {
			return c, newPgError(codeInvalidValue, "read class %q does not exist", q.readClass)
		}
		return c, nil
	}
	if c, ok := s.server.directory().ReadClass(s.team, s.settings.readClass); ok {
		return c, nil
	}
	// The class was removed from the document. The shortest age is the safe choice.
	return document.ReadClass{MaxAgeMicroseconds: 1}, nil
}

// sendReady reports the mark if it has changed, then the transaction status.
func (s *session) sendReady() {
	if s.settings.mark != s.reportedMark {
		s.reportedMark = s.settings.mark
		s.send(&pgproto3.ParameterStatus{Name: settingPrefix + "mark", Value: s.reportedMark.String()})
	}
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.status()})
}

// send appends a message to the output.
func (s *session) send(m pgproto3.BackendMessage) {
	if s.out == nil {
		s.out = getBuffer()
	}
	s.out = encode(s.out, m)
}

// flush writes the output.
func (s *session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set the deadline of an answer: %w", err)
	}
	if _, err := s.conn.Write(s.out); err != nil {
		return fmt.Errorf("write to the guest: %w", err)
	}
	s.out = s.out[:0]
	return nil
}

// recordOutcome counts the end of a request and writes it to the trace; at is nil when the request failed.
func (s *session) recordOutcome(q *request, at *attempt, e *jacinthtiller.Error, reason replica.Reason) {
	outcome := jacinthtiller.OutcomeDone
	if e != nil {
		outcome = e.Outcome
	}
	countUnit(outcome, reason)
	if !s.server.events.Tracing() {
		return
	}
	fields := event.Fields{
		"session": s.id, "role": s.role, "team": s.team, "database": s.database, "first": q.firstUnit, "number": s.unitCount,
		"access": string(q.access), "outcome": string(outcome), "reason": string(reason), "mark": s.settings.mark.String(),
	}
	if e != nil {
		fields["code"], fields["message"] = e.Code, e.Message
	}
	if at != nil {
		fields["target"], fields["term"], fields["need"] = at.target, at.term, at.unit.Mark.String()
		fields["key"], fields["fingerprint"] = at.unit.Key, at.unit.Fingerprint
		fields["position"], fields["status"], fields["failed"] = at.result.Position.String(), string(at.result.Status), at.result.SQLSTATE
	}
	s.server.events.Emit(event.UnitAnswered, fields)
}
