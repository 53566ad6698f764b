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
	// firstBackoff and lastBackoff bound the wait between attempts; a change of view ends it.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
	// openTime bounds opening a channel, so that a request for a host which does not answer
	// follows a new view. A new connection takes about 25 ms between regions.
	openTimeout = 200 * time.Millisecond
	// usualTargets is the usual number of targets of a database.
	typicalTargets = 3
)

// run is a request outside a transaction on its way.
type routing struct {
	session   *session
	request   *request
	role      document.Role
	team      document.Team
	readClass document.ReadClass
	ctx       context.Context
	deadline  time.Time
	// mark and need are set when known is true; see replica.Query.
	mark, need jacinthtiller.Position
	markKnown  bool
	ageUnknown bool
	// refused is true after a replica refused the request as a write.
	replicaRefused bool
	// away is true once the primary refused the request for want of a lease, or could not be reached.
	primaryAway bool
	// tried are the replicas that did not run the request.
	excluded map[string]bool
	// waits is true when the next attempt has to wait a little or for a new view.
	backoffNeeded bool
	// pauses counts the waits, which grow.
	backoffs   int
	candidates []replica.Candidate
	// unknown is the first unknown outcome; the guest must not be told "not run" after it.
	firstUnknown *jacinthtiller.Error
	// last is the newest reason for which the request did not run.
	lastNotRun *jacinthtiller.Error
	reason     replica.Reason
}

// outside runs a request outside a transaction: it routes it, and sends it again
// as long as it is proved not to have run.
func (s *session) route(q *request) *pgError {
	role, team, pgErr := s.currentRole()
	if pgErr != nil {
		return pgErr
	}
	now := time.Now()
	r := &routing{session: s, request: q, role: role, team: team, deadline: team.QueueDeadline(now), candidates: make([]replica.Candidate, 0, typicalTargets)}
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

// step makes one decision and one attempt. It is done when the guest has the answer.
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
	return false, r.backoff(changed) // no channel is held meanwhile
}

// place finds where a target runs its requests.
func (r *routing) destination(v jacinthtiller.View, target string) destination {
	d := v.Databases[r.session.database]
	t := d.Targets[target]
	return destination{target: target, host: t.Owner, primary: target == d.Primary, term: d.Term, epoch: t.Epoch}
}

// send makes one attempt on a channel of its own, which is kept only by an open transaction.
func (r *routing) sendTo(p destination, d replica.Decision) (bool, *pgError) {
	r.backoffNeeded = false
	ctx, stop := context.WithTimeout(r.ctx, openTimeout)
	ch, err := r.session.server.opener.Open(ctx, p.host)
	stop()
	if err != nil {
		e := jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, jacinthtiller.ReasonTarget, "host %q cannot be reached: %v", p.host, err)
		return r.handleResult(&attempt{destination: p, err: e, answer: &answer{session: r.session, start: len(r.session.out)}}, nil)
	}
	defer func() {
		if r.session.txn == nil || r.session.txn.channel != ch {
			r.session.closeChannel(ch)
		}
	}()
	at := r.session.runUnit(ch, r.request, p, r.newUnit(p, d))
	return r.handleResult(&at, ch)
}

// decide routes the request, after it has asked for the guest's mark if that may matter.
func (r *routing) decide(v jacinthtiller.View) replica.Decision {
	now := time.Now()
	r.refreshCandidates(v)
	q := replica.Query{
		Access: r.request.access, Primary: r.replicaRefused, PrimaryReason: "",
		NoPrimary: r.role.Access == document.AccessReadOnly && !r.safeOnPrimary(),
		Missing:   r.team.PrimaryMissing, PrimaryAway: r.primaryAway, Spread: rand.Uint64(),
		StaleSince: now.Add(-time.Duration(r.team.StaleAgeMicroseconds) * time.Microsecond),
		WaitUntil:  r.session.server.limits.replicaWaitDeadline(now, r.deadline),
	}
	if r.replicaRefused {
		q.PrimaryReason = replica.ReasonRefused
	}
	if q.NoPrimary {
		q.Access = jacinthtiller.AccessRead // a replica refuses writes, so that it may see anything
	}
	q.Need, q.Mark = r.session.settings.mark, r.session.settings.mark
	d := replica.Route(q, r.candidates, now)
	if d.Action == replica.ActionSend && d.Target != v.Databases[r.session.database].Primary {
		// The mark can only rule replicas out, so that it matters for no other decision.
		if r.findRequiredPosition(now) {
			r.refreshCandidates(v)
		}
		q.MarkUnknown, q.AgeUnknown, q.Need, q.Mark = !r.markKnown, r.ageUnknown, r.need, r.mark
		d = replica.Route(q, r.candidates, now)
	}
	replica.Count(r.ctx, d)
	return d
}

// look fills the candidates from what is known now.
func (r *routing) refreshCandidates(v jacinthtiller.View) {
	r.candidates = r.session.server.positions.Candidates(r.candidates[:0], v, r.session.server.host, r.session.database, r.excluded)
}

// harmless reports whether the request may run on the primary for a role that must
// not write. A transaction may not, because what follows in it is not known.
func (r *routing) safeOnPrimary() bool {
	return r.request.access == jacinthtiller.AccessRead && r.request.repeatable && !r.request.begins
}

// learn finds the position that a replica must have. It asks the primary's owner
// when the guest may have written through another session, or when nothing recent
// enough is known for the class's age. The question is sent after the request arrived.
// It reports whether it asked.
func (r *routing) findRequiredPosition(now time.Time) (asked bool) {
	if r.markKnown && !r.ageUnknown {
		return false
	}
	r.mark, r.markKnown = r.session.settings.mark, !r.needsMark()
	age := time.Duration(r.readClass.MaxAgeMicroseconds) * time.Microsecond
	r.need, r.ageUnknown = r.mark, false
	recent, fresh := jacinthtiller.Position{}, true
	if age > 0 {
		recent, fresh = r.session.server.positions.Needed(r.session.database, now.Add(-age))
	}
	asked = (!r.markKnown || !fresh) && r.session.server.marks != nil
	if asked {
		answer, err := r.session.server.marks.Ask(r.ctx, r.session.database, r.session.role)
		if err == nil {
			if !r.markKnown {
				r.mark = r.mark.Max(answer.Marks[r.session.role])
			}
			r.markKnown, recent, fresh = true, answer.Position, true
		}
	}
	r.need = r.mark
	if age > 0 {
		r.need, r.ageUnknown = r.mark.Max(recent), !fresh
	}
	return asked
}

// asksMark reports whether the guest may have writes that its session does not know of.
func (r *routing) needsMark() bool {
	return r.mayWrite() && !r.session.settings.markFromGuest
}

// unit makes the unit for one attempt.
func (r *routing) newUnit(p destination, d replica.Decision) jacinthtiller.Unit {
	u := r.session.newUnit(r.request, p, r.deadline)
	u.Mark, u.WaitUntil = d.Need, r.session.server.limits.replicaWaitDeadline(time.Now(), r.deadline)
	switch {
	case !p.primary:
		u.Access = jacinthtiller.AccessRead
	case r.replicaRefused:
		u.Access = jacinthtiller.AccessWrite
	}
	if p.primary && r.safeOnPrimary() && !r.replicaRefused && !r.needsMark() && r.team.PrimaryMissing == document.MissingServeReads {
		u.StaleMicroseconds = r.team.StaleAgeMicroseconds
		if age := r.readClass.MaxAgeMicroseconds; age > 0 {
			u.StaleMicroseconds = min(u.StaleMicroseconds, age)
		}
	}
	if p.primary && (!r.request.begins || r.request.commits) {
		u.Key, u.Fingerprint = r.idempotencyKey(), r.request.digest.Sum64()
	}
	return u
}

// key returns the idempotency key for the request, empty for one that surely only
// reads. A query that calls an unknown function may write.
func (r *routing) idempotencyKey() string {
	if r.request.access == jacinthtiller.AccessRead && r.request.repeatable && !r.replicaRefused {
		return ""
	}
	if r.request.idempotencyKey != "" {
		return r.request.idempotencyKey
	}
	return r.session.settings.idempotencyKey
}

// judge decides after an attempt: the request is answered, fails, or goes on.
func (r *routing) handleResult(at *attempt, ch jacinthtiller.Channel) (bool, *pgError) {
	if at.err != nil {
		at.answer.discard()
		if at.err.Outcome == jacinthtiller.OutcomeNotRun {
			return false, r.handleNotRun(at)
		}
		return false, r.handleUnknown(at, at.err)
	}
	r.session.server.positions.Observe(r.session.database, at.target, at.result.Position)
	if !at.primary {
		return r.handleReplicaAnswer(at, ch)
	}
	if at.fromReplacedPrimary(r.session.server.views.View()) {
		at.answer.discard()
		return false, r.handleUnknown(at, jacinthtiller.Unknown(
			"the primary of term %d was replaced before it answered", at.unit.Term))
	}
	if at.result.Failed == "" && at.unit.Key == "" {
		r.session.server.positions.Primary(r.session.database, at.result.Position, at.started)
	}
	r.session.applyAnswer(r, at, ch)
	return true, nil
}

// judgeReplica decides after a replica's answer.
func (r *routing) handleReplicaAnswer(at *attempt, ch jacinthtiller.Channel) (bool, *pgError) {
	switch {
	case at.result.Failed == jacinthtiller.CodeReadOnly && at.result.Status == 'I' && !at.answer.partlySent && r.mayWrite():
		at.answer.discard()
		r.replicaRefused = true
		return false, nil
	case !at.result.Position.Covers(at.unit.Mark):
		at.answer.discard()
		if at.answer.partlySent {
			return false, r.fail(jacinthtiller.Unknown("the replica answered at %s, before the mark %s", at.result.Position, at.unit.Mark))
		}
		r.exclude(at)
		return false, nil
	}
	r.session.applyAnswer(r, at, ch)
	return true, nil
}

func (r *routing) mayWrite() bool { return r.role.Access != document.AccessReadOnly }

// exclude leaves a replica out of the request's next decisions.
func (r *routing) exclude(at *attempt) {
	if r.excluded == nil {
		r.excluded = map[string]bool{}
	}
	r.excluded[at.target] = true
	switch {
	case at.err == nil || at.err.Reason == jacinthtiller.ReasonBehind:
		r.session.server.positions.Behind(r.session.database, at.target, at.unit.Mark, time.Now())
	case at.err.Reason == jacinthtiller.ReasonTarget || at.err.Outcome == jacinthtiller.OutcomeUnknown:
		r.session.server.positions.Unreachable(r.session.database, at.target, time.Now())
	}
}

// notRun goes on after a proof that the request did not run.
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
	r.primaryAway = at.err.Reason == jacinthtiller.ReasonNoLease || at.err.Reason == jacinthtiller.ReasonTarget
	r.backoffNeeded = true
	return nil
}

// final reports whether the request would meet the same error again.
func permanent(e *jacinthtiller.Error) bool {
	switch e.Code {
	case jacinthtiller.CodeKeyReused, codeCanceled:
		return true
	}
	return e.Reason == "" && !strings.HasPrefix(e.Code, "JT")
}

// unclear decides after an unknown outcome: only what cannot change anything, or
// has a key, is sent again, and only while the guest has got nothing.
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

// pause waits a little, or until the view changes. It fails when the deadline has passed.
// Replicas that did not run the request before may do so after it.
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

// ended says why the request's context is over.
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

// fail ends the request with an error. After an unknown outcome it is never "not run".
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
