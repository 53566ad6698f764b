package session

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/document"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/replica"
)

const (
	// minBackoff and maxBackoff bound the wait between attempts; a change of view ends it.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
	// openTimeout bounds opening a channel, so that a request whose host does not answer is routed
	// again by a new view. A new connection takes about 25 ms between regions.
	openTimeout = 200 * time.Millisecond
	// typicalTargets is the usual number of targets of a database.
	typicalTargets = 3
)

// routing is the state of a request outside a transaction while it is routed and run.
type routing struct {
	session   *session
	request   *request
	role      document.Role
	team      document.Team
	readClass document.ReadClass
	ctx       context.Context
	deadline  time.Time
	// mark and requiredPosition are set when markKnown is true; see replica.Query.
	mark, requiredPosition jacinthtiller.Position
	markKnown              bool
	ageUnknown             bool
	// replicaRefused is true after a replica refused the request as a write.
	replicaRefused bool
	// primaryUnavailable is true when the last not-run attempt on the primary failed for want of a lease or of a connection.
	primaryUnavailable bool
	// excluded are the replicas that did not run the request.
	excluded map[string]bool
	// backoffNeeded is true when the next attempt has to wait for backoff or a new view.
	backoffNeeded bool
	// backoffs counts the waits, each of which is longer up to maxBackoff.
	backoffs   int
	candidates []replica.Candidate
	// firstUnknown is the first unknown outcome; after it, the guest must not receive "not run".
	firstUnknown *jacinthtiller.Error
	// lastNotRun is the newest reason for which the request did not run.
	lastNotRun *jacinthtiller.Error
	reason     replica.Reason
}

// route runs a request outside a transaction: it chooses a target, and sends the request again as long
// as it is proved not to have run.
func (s *session) route(q *request) *pgError {
	role, team, pgErr := s.currentRole()
	if pgErr != nil {
		return pgErr
	}
	now := time.Now()
	r := &routing{session: s, request: q, role: role, team: team, deadline: s.server.beforeStop(team.QueueDeadline(now)), candidates: make([]replica.Candidate, 0, typicalTargets)}
	if r.readClass, pgErr = s.readClass(q); pgErr != nil {
		return pgErr
	}
	r.ctx = s.startRequest(r.deadline)
	defer s.endRequest()
	for {
		done, pgErr := r.tryOnce()
		if done || pgErr != nil {
			return pgErr
		}
	}
}

// tryOnce makes one routing decision and at most one attempt. It returns true once the guest has the answer.
func (r *routing) tryOnce() (bool, *pgError) {
	changed := r.session.server.views.Changed()
	v := r.session.server.views.View()
	if _, ok := v.Databases[r.session.database]; !ok {
		r.lastNotRun = jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, "", "database %q has no target yet", r.session.database)
		return false, r.backoff(changed)
	}
	d := r.decide(v)
	r.reason = d.Reason
	switch d.Action {
	case replica.ActionRefuse:
		return false, r.fail(jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, "", "database %q has no primary", r.session.database))
	case replica.ActionWait:
		if r.lastNotRun == nil {
			r.lastNotRun = jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, "", "database %q has no suitable target", r.session.database)
		}
		return false, r.backoff(changed)
	}
	done, pgErr := r.sendTo(r.destination(v, d.Target), d)
	if done || pgErr != nil || !r.backoffNeeded {
		return done, pgErr
	}
	return false, r.backoff(changed) // no channel is held during the wait
}

// destination returns where a request for the target runs.
func (r *routing) destination(v jacinthtiller.View, target string) destination {
	d := v.Databases[r.session.database]
	t := d.Targets[target]
	return destination{target: target, host: t.Owner, primary: target == d.Primary, term: d.Term, epoch: t.Epoch}
}

// sendTo makes one attempt on a new channel, which only an open transaction keeps.
func (r *routing) sendTo(dest destination, d replica.Decision) (bool, *pgError) {
	r.backoffNeeded = false
	ctx, stop := context.WithTimeout(r.ctx, openTimeout)
	ch, err := r.session.server.opener.Open(ctx, dest.host)
	stop()
	if err != nil {
		e := jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, jacinthtiller.ReasonTarget, "host %q cannot be reached: %v", dest.host, err)
		return r.handleResult(&attempt{destination: dest, err: e, answer: &answer{session: r.session, start: len(r.session.out)}}, nil)
	}
	defer func() {
		if r.session.txn == nil || r.session.txn.channel != ch {
			r.session.closeChannel(ch)
		}
	}()
	at := r.session.runUnit(ch, r.request, dest, r.newUnit(dest, d))
	return r.handleResult(&at, ch)
}

// decide routes the request. It queries the guest's mark first if that may change the decision.
func (r *routing) decide(v jacinthtiller.View) replica.Decision {
	now := time.Now()
	r.refreshCandidates(v)
	q := replica.Query{
		Access: r.request.access, NeedsPrimary: r.replicaRefused, PrimaryReason: "",
		ReplicaOnly:    r.role.Access == document.AccessReadOnly && !r.safeOnPrimary(),
		PrimaryMissing: r.team.PrimaryMissing, PrimaryUnavailable: r.primaryUnavailable, TieBreak: rand.Uint64(),
		OldestAllowed: now.Add(-time.Duration(r.team.StaleAgeMicroseconds) * time.Microsecond),
		WaitUntil:     r.session.server.limits.replicaWaitDeadline(now, r.deadline),
	}
	if r.replicaRefused {
		q.PrimaryReason = replica.ReasonRefused
	}
	if q.ReplicaOnly {
		q.Access = jacinthtiller.AccessRead // replicas refuse writes, so any statement may be sent to one
	}
	q.RequiredPosition, q.Mark = r.session.settings.mark, r.session.settings.mark
	d := replica.Route(q, r.candidates, now)
	if d.Action == replica.ActionSend && d.Target != v.Databases[r.session.database].Primary {
		// The mark can only rule out replicas, so it affects no other decision.
		if r.findRequiredPosition(now) {
			r.refreshCandidates(v)
		}
		q.MarkUnknown, q.AgeUnknown, q.RequiredPosition, q.Mark = !r.markKnown, r.ageUnknown, r.requiredPosition, r.mark
		d = replica.Route(q, r.candidates, now)
	}
	replica.Count(r.ctx, d)
	return d
}

// refreshCandidates updates the candidates from the current positions.
func (r *routing) refreshCandidates(v jacinthtiller.View) {
	r.candidates = r.session.server.positions.Candidates(r.candidates[:0], v, r.session.server.host, r.session.database, r.excluded)
}

// safeOnPrimary reports whether the request may run on the primary for a role that must not write. A
// request that begins a transaction may not, because the statements that follow are unknown.
func (r *routing) safeOnPrimary() bool {
	return r.request.access == jacinthtiller.AccessRead && r.request.repeatable && !r.request.begins
}

// findRequiredPosition finds the position that a replica must have reached. It asks the primary's owner when the guest
// may have written through another session, or when no known position is recent enough for the class's age, and
// reports whether it asked. The query is sent after the request arrived.
func (r *routing) findRequiredPosition(now time.Time) (asked bool) {
	if r.markKnown && !r.ageUnknown {
		return false
	}
	r.mark, r.markKnown = r.session.settings.mark, !r.needsMark()
	age := time.Duration(r.readClass.MaxAgeMicroseconds) * time.Microsecond
	r.requiredPosition, r.ageUnknown = r.mark, false
	recent, fresh := jacinthtiller.Position{}, true
	if age > 0 {
		recent, fresh = r.session.server.positions.PositionSince(r.session.database, now.Add(-age))
	}
	asked = (!r.markKnown || !fresh) && r.session.server.marks != nil
	if asked {
		answer, err := r.session.server.marks.RequestMark(r.ctx, r.session.database, r.session.role)
		if err == nil {
			if !r.markKnown {
				r.mark = r.mark.Max(answer.Marks[r.session.role])
			}
			r.markKnown, recent, fresh = true, answer.Position, true
		}
	}
	r.requiredPosition = r.mark
	if age > 0 {
		r.requiredPosition, r.ageUnknown = r.mark.Max(recent), !fresh
	}
	return asked
}

// needsMark reports whether the guest may have writes that its session does not know of.
func (r *routing) needsMark() bool {
	return r.mayWrite() && !r.session.settings.markFromGuest
}

// newUnit makes the unit for one attempt.
func (r *routing) newUnit(dest destination, d replica.Decision) jacinthtiller.Unit {
	u := r.session.newUnit(r.request, dest, r.deadline)
	u.Mark, u.WaitUntil = d.RequiredPosition, r.session.server.limits.replicaWaitDeadline(time.Now(), r.deadline)
	switch {
	case !dest.primary:
		u.Access = jacinthtiller.AccessRead
	case r.replicaRefused:
		u.Access = jacinthtiller.AccessWrite
	}
	if dest.primary && r.safeOnPrimary() && !r.replicaRefused && !r.needsMark() && r.team.PrimaryMissing == document.PrimaryMissingServeReads {
		u.MaxStalenessMicroseconds = r.team.StaleAgeMicroseconds
		if age := r.readClass.MaxAgeMicroseconds; age > 0 {
			u.MaxStalenessMicroseconds = min(u.MaxStalenessMicroseconds, age)
		}
	}
	if dest.primary && (!r.request.begins || r.request.commits) {
		u.Key, u.Fingerprint = r.idempotencyKey(), r.request.digest.Sum64()
	}
	return u
}

// idempotencyKey returns the key for the request, empty for one that certainly only reads. A query
// that calls an unknown function may write.
func (r *routing) idempotencyKey() string {
	if r.request.access == jacinthtiller.AccessRead && r.request.repeatable && !r.replicaRefused {
		return ""
	}
	if r.request.idempotencyKey != "" {
		return r.request.idempotencyKey
	}
	return r.session.settings.idempotencyKey
}

// handleResult decides after an attempt whether the request is answered, fails or is tried again.
func (r *routing) handleResult(at *attempt, ch jacinthtiller.Channel) (bool, *pgError) {
	if at.err != nil {
		at.answer.discard()
		if at.err.Outcome == jacinthtiller.OutcomeNotRun {
			return false, r.handleNotRun(at)
		}
		return false, r.handleUnknown(at, at.err)
	}
	r.session.server.positions.RecordPosition(r.session.database, at.target, at.result.Position)
	if !at.primary {
		return r.handleReplicaAnswer(at, ch)
	}
	if at.fromReplacedPrimary(r.session.server.views.View()) {
		at.answer.discard()
		return false, r.handleUnknown(at, jacinthtiller.UnknownOutcome(
			"the primary of term %d was replaced before it answered", at.unit.Term))
	}
	if at.result.SQLSTATE == "" && at.unit.Key == "" {
		r.session.server.positions.RecordPrimaryPosition(r.session.database, at.result.Position, at.started)
	}
	r.session.applyAnswer(r, at, ch)
	return true, nil
}

// handleReplicaAnswer decides after a replica's answer, like handleResult.
func (r *routing) handleReplicaAnswer(at *attempt, ch jacinthtiller.Channel) (bool, *pgError) {
	switch {
	case at.result.SQLSTATE == jacinthtiller.CodeReadOnly && at.result.Status == 'I' && !at.answer.partlySent && r.mayWrite():
		at.answer.discard()
		r.replicaRefused = true
		return false, nil
	case !at.result.Position.Covers(at.unit.Mark):
		at.answer.discard()
		if at.answer.partlySent {
			return false, r.fail(jacinthtiller.UnknownOutcome("the replica answered at %s, before the mark %s", at.result.Position, at.unit.Mark))
		}
		r.exclude(at)
		return false, nil
	}
	r.session.applyAnswer(r, at, ch)
	return true, nil
}

func (r *routing) mayWrite() bool { return r.role.Access != document.AccessReadOnly }

// exclude rules a replica out for the request's next decisions.
func (r *routing) exclude(at *attempt) {
	if r.excluded == nil {
		r.excluded = map[string]bool{}
	}
	r.excluded[at.target] = true
	switch {
	case at.err == nil || at.err.Reason == jacinthtiller.ReasonBehind:
		r.session.server.positions.RecordBehind(r.session.database, at.target, at.unit.Mark, time.Now())
	case at.err.Reason == jacinthtiller.ReasonTarget || at.err.Outcome == jacinthtiller.OutcomeUnknown:
		r.session.server.positions.RecordUnreachable(r.session.database, at.target, time.Now())
	}
}

// handleNotRun handles an attempt that is proved not to have run.
func (r *routing) handleNotRun(at *attempt) *pgError {
	if at.err.Code == jacinthtiller.CodeReadOnly && !at.primary {
		if r.replicaRefused = r.mayWrite(); !r.replicaRefused {
			return r.fail(at.err)
		}
		return nil
	}
	if permanent(at.err) {
		return r.fail(at.err)
	}
	r.lastNotRun = at.err
	r.session.server.events.Emit(event.UnitRetried, event.Fields{
		"session": r.session.id, "database": r.session.database, "target": at.target, "reason": string(at.err.Reason), "code": at.err.Code,
	})
	if !at.primary {
		r.exclude(at)
		return nil
	}
	r.primaryUnavailable = at.err.Reason == jacinthtiller.ReasonNoLease || at.err.Reason == jacinthtiller.ReasonTarget
	r.backoffNeeded = true
	return nil
}

// permanent reports whether a retry would end in the same error.
func permanent(e *jacinthtiller.Error) bool {
	switch e.Code {
	case jacinthtiller.CodeKeyReused, codeCanceled:
		return true
	}
	return e.Reason == "" && !strings.HasPrefix(e.Code, "JT")
}

// handleUnknown handles an unknown outcome. A request is retried only if it cannot change anything or
// has an idempotency key, and only while no part of an answer was sent to the guest.
func (r *routing) handleUnknown(at *attempt, e *jacinthtiller.Error) *pgError {
	repeatable := !at.primary || at.unit.Key != "" || r.request.beginOnly ||
		(r.request.access == jacinthtiller.AccessRead && r.request.repeatable && !r.replicaRefused)
	if at.answer.partlySent || !repeatable {
		return r.fail(e)
	}
	if r.firstUnknown == nil {
		r.firstUnknown = e
	}
	if !at.primary {
		r.exclude(at)
		return nil
	}
	r.backoffNeeded = true
	return nil
}

// backoff waits for a short random time, or until the view changes. It fails when the deadline has
// passed. Replicas that were excluded may be tried again after it.
func (r *routing) backoff(changed <-chan struct{}) *pgError {
	r.excluded = nil
	maxWait := min(minBackoff<<min(r.backoffs, 10), maxBackoff)
	r.backoffs++
	timer := time.NewTimer(maxWait/2 + rand.N(maxWait/2+1))
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return nil
	case <-r.ctx.Done():
		return r.contextError()
	}
}

// contextError returns the error for a request whose context has ended.
func (r *routing) contextError() *pgError {
	switch {
	case r.session.wasCanceled():
		return r.fail(jacinthtiller.NotRun(codeCanceled, "", "canceling statement due to user request"))
	case !errors.Is(r.ctx.Err(), context.DeadlineExceeded):
		return r.fail(jacinthtiller.NotRun(jacinthtiller.CodeNotRunShutdown, jacinthtiller.ReasonDraining, "the host is shutting down"))
	case r.lastNotRun != nil && r.lastNotRun.Code == jacinthtiller.CodeNotRunShutdown:
		// Another host is shutting down, not this one.
		return r.fail(jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, r.lastNotRun.Reason, "%s", r.lastNotRun.Message))
	case r.lastNotRun != nil:
		return r.fail(r.lastNotRun)
	}
	return r.fail(jacinthtiller.NotRun(jacinthtiller.CodeNotRunDeadline, jacinthtiller.ReasonDeadline, "the deadline has passed"))
}

// fail ends the request with an error. After an unknown outcome, the error is never "not run".
func (r *routing) fail(e *jacinthtiller.Error) *pgError {
	if r.firstUnknown != nil && e.Outcome == jacinthtiller.OutcomeNotRun && e.Code != jacinthtiller.CodeKeyReused {
		e = r.firstUnknown
	}
	r.session.recordOutcome(r.request, nil, e, r.reason)
	return pgErrorFrom(e)
}

func (s *session) wasCanceled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canceled
}
