package session

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// transaction is a guest's open transaction.
type transaction struct {
	destination
	// channel is nil once the session has aborted the transaction.
	channel jacinthtiller.Channel
	// status is 'T' or 'E'.
	status byte
	// digest identifies the requests of the transaction so far.
	digest uint64
	// commits is true when a COMMIT was bound in an earlier request, so that any request may run it.
	commits bool
}

// aborted reports whether the session has rolled the transaction back and the guest has yet to end it.
func (t *transaction) aborted() bool { return t != nil && t.channel == nil }

// status returns the transaction status for ReadyForQuery.
func (s *session) status() byte {
	if s.txn == nil {
		return 'I'
	}
	return s.txn.status
}

// runInTransaction runs a request of an open transaction, which stays on its channel.
func (s *session) runInTransaction(q *request) *pgError {
	t := s.txn
	_, team, pgErr := s.currentRole()
	if pgErr != nil {
		s.abortTransaction()
		return pgErr
	}
	deadline := s.server.beforeStop(team.QueueDeadline(time.Now()))
	s.startRequest(deadline)
	defer s.endRequest()
	u := s.newUnit(q, t.destination, deadline)
	t.digest = chainDigest(t.digest, q.digest.Sum64())
	t.commits = t.commits || q.commits
	if q.commits && t.primary {
		u.Key, u.Fingerprint = s.settings.idempotencyKey, t.digest
		if q.idempotencyKey != "" {
			u.Key = q.idempotencyKey
		}
	}
	at := s.runUnit(t.channel, q, t.destination, u)
	if at.err == nil && at.result.SQLSTATE == "" && at.fromReplacedPrimary(s.server.views.View()) {
		at.err = jacinthtiller.UnknownOutcome("the primary of term %d was replaced before it answered", u.Term)
	}
	if at.err != nil {
		at.answer.discard()
		return s.failTransaction(q, at.err, t.commits)
	}
	s.server.positions.RecordPosition(s.database, at.target, at.result.Position)
	s.applyAnswer(&routing{session: s, request: q}, &at, t.channel)
	return nil
}

// failTransaction ends a transaction whose channel is lost. Unless COMMIT may have been sent, the
// transaction is certainly rolled back.
func (s *session) failTransaction(q *request, e *jacinthtiller.Error, commits bool) *pgError {
	s.server.events.Emit(event.TransactionLost, event.Fields{
		"session": s.id, "database": s.database, "target": s.txn.target, "commit": commits, "error": e.Message,
	})
	s.abortTransaction()
	if commits {
		s.txn = nil
	}
	notRun := e.Outcome == jacinthtiller.OutcomeNotRun
	if (notRun && strings.HasPrefix(e.Code, "JT") && e.Code != jacinthtiller.CodeKeyReused) || (!notRun && !commits) {
		e = jacinthtiller.NotRun(jacinthtiller.CodeRolledBack, e.Reason, "the transaction was lost and is rolled back: %s", e.Message)
	}
	s.recordOutcome(q, nil, e, "")
	return pgErrorFrom(e)
}

// abortTransaction rolls back the open transaction; the guest still has to end it.
func (s *session) abortTransaction() {
	if s.txn == nil || s.txn.channel == nil {
		return
	}
	s.closeChannel(s.txn.channel)
	s.txn.channel, s.txn.status = nil, 'E'
}

// updateTransaction applies the transaction status of an answered request.
func (s *session) updateTransaction(q *request, at *attempt, ch jacinthtiller.Channel) {
	if at.result.Status == 'I' {
		if s.txn != nil {
			s.closeChannel(ch)
			s.txn = nil
		}
		return
	}
	if s.txn == nil {
		s.txn = &transaction{destination: at.destination, channel: ch, digest: chainDigest(0, q.digest.Sum64())}
	}
	s.txn.status = at.result.Status
}

// chainDigest adds the digest of a request to that of the transaction.
func chainDigest(digest, request uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], digest)
	binary.BigEndian.PutUint64(b[8:], request)
	return xxhash.Sum64(b[:])
}

// closeChannel closes a channel. After an error the connection is gone, so the owner frees the channel.
func (s *session) closeChannel(ch jacinthtiller.Channel) {
	if err := ch.Close(); err != nil {
		s.server.events.Emit(event.ChannelLost, event.Fields{"session": s.id, "error": err.Error()})
	}
}
