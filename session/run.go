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
	firstBackoff = 2 * time.Millisecond
	lastBackoff  = 100 * time.Millisecond
	// openTime bounds opening a channel, so that a request for a host which does not answer
	// follows a new view. A new connection takes about 25 ms between regions.
	openTime = 200 * time.Millisecond
	// usualTargets is the usual number of targets of a database.
	usualTargets = 3
)

// run is a request outside a transaction on its way.
type run struct {
	s        *session
	q        *request
	role     document.Role
	team     document.Team
	class    document.ReadClass
	ctx      context.Context
	deadline time.Time
	// mark and need are set when known is true; see replica.Query.
	mark, need jacinthtiller.Position
	known      bool
	ageUnknown bool
	// refused is true after a replica refused the request as a write.
	refused bool
	// away is true once the primary refused the request for want of a lease, or could not be reached.
	away bool
	// tried are the replicas that did not run the request.
	tried map[string]bool
	// waits is true when the next attempt has to wait a little or for a new view.
	waits bool
	// pauses counts the waits, which grow.
	pauses     int
	candidates []replica.Candidate
	// unknown is the first unknown outcome; the guest must not be told "not run" after it.
	unknown *jacinthtiller.Error
	// last is the newest reason for which the request did not run.
	last *jacinthtiller.Error
	why  replica.Reason
}

// outside runs a request outside a transaction: it routes it, and sends it again
// as long as it is proved not to have run.
func (s *session) outside(q *request) *pgError {
	role, team, pgErr := s.currentRole()
	if pgErr != nil {
		return pgErr
	}
	now := time.Now()
	r := &run{s: s, q: q, role: role, team: team, deadline: team.QueueDeadline(now), candidates: make([]replica.Candidate, 0, usualTargets)}
	if r.class, pgErr = s.readClass(q); pgErr != nil {
		return pgErr
	}
	r.ctx = s.startRequest(r.deadline)
	defer s.endRequest()
	for {
		done, pgErr := r.step()
		if done || pgErr != nil {
			return pgErr
		}
	}
}

// step makes one decision and one attempt. It is done when the guest has the answer.
func (r *run) step() (bool, *pgError) {
	changed := r.s.server.views.Changed()
	v := r.s.server.views.View()
	if _, ok := v.Databases[r.s.database]; !ok {
		r.last = jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, "", "database %q has no target yet", r.s.database)
		return false, r.pause(changed)
	}
	d := r.decide(v)
	r.why = d.Reason
	switch d.Action {
	case replica.ActionRefuse:
		return false, r.fail(jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, "", "database %q has no primary", r.s.database))
	case replica.ActionWait:
		if r.last == nil {
			r.last = jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, "", "database %q has no suitable target", r.s.database)
		}
		return false, r.pause(changed)
	}
	done, pgErr := r.send(r.place(v, d.Target), d)
	if done || pgErr != nil || !r.waits {
		return done, pgErr
	}
	return false, r.pause(changed) // no channel is held meanwhile
}

// place finds where a target runs its requests.
func (r *run) place(v jacinthtiller.View, target string) destination {
	d := v.Databases[r.s.database]
	t := d.Targets[target]
	return destination{target: target, host: t.Owner, primary: target == d.Primary, term: d.Term, epoch: t.Epoch}
}

// send makes one attempt on a channel of its own, which is kept only by an open transaction.
func (r *run) send(p destination, d replica.Decision) (bool, *pgError) {
	r.waits = false
	ctx, stop := context.WithTimeout(r.ctx, openTime)
	ch, err := r.s.server.opener.Open(ctx, p.host)
	stop()
	if err != nil {
		e := jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, jacinthtiller.ReasonTarget, "host %q cannot be reached: %v", p.host, err)
		return r.judge(&attempt{destination: p, err: e, answer: &answer{session: r.s, start: len(r.s.out)}}, nil)
	}
	defer func() {
		if r.s.txn == nil || r.s.txn.channel != ch {
			r.s.closeChannel(ch)
		}
	}()
	at := r.s.runUnit(ch, r.q, p, r.unit(p, d))
	return r.judge(&at, ch)
}

// decide routes the request, after it has asked for the guest's mark if that may matter.
func (r *run) decide(v jacinthtiller.View) replica.Decision {
	now := time.Now()
	r.look(v)
	q := replica.Query{
		Access: r.q.access, Primary: r.refused, PrimaryReason: "",
		NoPrimary: r.role.Access == document.AccessReadOnly && !r.harmless(),
		Missing:   r.team.PrimaryMissing, PrimaryAway: r.away, Spread: rand.Uint64(),
		StaleSince: now.Add(-time.Duration(r.team.StaleAgeMicroseconds) * time.Microsecond),
		WaitUntil:  r.s.server.limits.replicaWait(now, r.deadline),
	}
	if r.refused {
		q.PrimaryReason = replica.ReasonRefused
	}
	if q.NoPrimary {
		q.Access = jacinthtiller.AccessRead // a replica refuses writes, so that it may see anything
	}
	q.Need, q.Mark = r.s.settings.mark, r.s.settings.mark
	d := replica.Route(q, r.candidates, now)
	if d.Action == replica.ActionSend && d.Target != v.Databases[r.s.database].Primary {
		// The mark can only rule replicas out, so that it matters for no other decision.
		if r.learn(now) {
			r.look(v)
		}
		q.MarkUnknown, q.AgeUnknown, q.Need, q.Mark = !r.known, r.ageUnknown, r.need, r.mark
		d = replica.Route(q, r.candidates, now)
	}
	replica.Count(r.ctx, d)
	return d
}

// look fills the candidates from what is known now.
func (r *run) look(v jacinthtiller.View) {
	r.candidates = r.s.server.positions.Candidates(r.candidates[:0], v, r.s.server.host, r.s.database, r.tried)
}

// harmless reports whether the request may run on the primary for a role that must
// not write. A transaction may not, because what follows in it is not known.
func (r *run) harmless() bool {
	return r.q.access == jacinthtiller.AccessRead && r.q.repeatable && !r.q.begins
}

// learn finds the position that a replica must have. It asks the primary's owner
// when the guest may have written through another session, or when nothing recent
// enough is known for the class's age. The question is sent after the request arrived.
// It reports whether it asked.
func (r *run) learn(now time.Time) (asked bool) {
	if r.known && !r.ageUnknown {
		return false
	}
	r.mark, r.known = r.s.settings.mark, !r.asksMark()
	age := time.Duration(r.class.MaxAgeMicroseconds) * time.Microsecond
	r.need, r.ageUnknown = r.mark, false
	recent, fresh := jacinthtiller.Position{}, true
	if age > 0 {
		recent, fresh = r.s.server.positions.Needed(r.s.database, now.Add(-age))
	}
	asked = (!r.known || !fresh) && r.s.server.marks != nil
	if asked {
		answer, err := r.s.server.marks.Ask(r.ctx, r.s.database, r.s.role)
		if err == nil {
			if !r.known {
				r.mark = r.mark.Max(answer.Marks[r.s.role])
			}
			r.known, recent, fresh = true, answer.Position, true
		}
	}
	r.need = r.mark
	if age > 0 {
		r.need, r.ageUnknown = r.mark.Max(recent), !fresh
	}
	return asked
}

// asksMark reports whether the guest may have writes that its session does not know of.
func (r *run) asksMark() bool {
	return r.mayWrite() && !r.s.settings.markFromGuest
}

// unit makes the unit for one attempt.
func (r *run) unit(p destination, d replica.Decision) jacinthtiller.Unit {
	u := r.s.newUnit(r.q, p, r.deadline)
	u.Mark, u.WaitUntil = d.Need, r.s.server.limits.replicaWait(time.Now(), r.deadline)
	switch {
	case !p.primary:
		u.Access = jacinthtiller.AccessRead
	case r.refused:
		u.Access = jacinthtiller.AccessWrite
	}
	if p.primary && r.harmless() && !r.refused && !r.asksMark() && r.team.PrimaryMissing == document.MissingServeReads {
		u.StaleMicroseconds = r.team.StaleAgeMicroseconds
		if age := r.class.MaxAgeMicroseconds; age > 0 {
			u.StaleMicroseconds = min(u.StaleMicroseconds, age)
		}
	}
	if p.primary && (!r.q.begins || r.q.commits) {
		u.Key, u.Fingerprint = r.key(), r.q.digest.Sum64()
	}
	return u
}

// key returns the idempotency key for the request, empty for one that surely only
// reads. A query that calls an unknown function may write.
func (r *run) key() string {
	if r.q.access == jacinthtiller.AccessRead && r.q.repeatable && !r.refused {
		return ""
	}
	if r.q.idempotencyKey != "" {
		return r.q.idempotencyKey
	}
	return r.s.settings.idempotencyKey
}

// judge decides after an attempt: the request is answered, fails, or goes on.
func (r *run) judge(at *attempt, ch jacinthtiller.Channel) (bool, *pgError) {
	if at.err != nil {
		at.answer.discard()
		if at.err.Outcome == jacinthtiller.OutcomeNotRun {
			return false, r.notRun(at)
		}
		return false, r.unclear(at, at.err)
	}
	r.s.server.positions.Observe(r.s.database, at.target, at.result.Position)
	if !at.primary {
		return r.judgeReplica(at, ch)
	}
	if at.fromReplacedPrimary(r.s.server.views.View()) {
		at.answer.discard()
		return false, r.unclear(at, jacinthtiller.Unknown(
			"the primary of term %d was replaced before it answered", at.unit.Term))
	}
	if at.result.Failed == "" && at.unit.Key == "" {
		r.s.server.positions.Primary(r.s.database, at.result.Position, at.started)
	}
	r.s.applyAnswer(r, at, ch)
	return true, nil
}

// judgeReplica decides after a replica's answer.
func (r *run) judgeReplica(at *attempt, ch jacinthtiller.Channel) (bool, *pgError) {
	switch {
	case at.result.Failed == jacinthtiller.CodeReadOnly && at.result.Status == 'I' && !at.answer.partlySent && r.mayWrite():
		at.answer.discard()
		r.refused = true
		return false, nil
	case !at.result.Position.Covers(at.unit.Mark):
		at.answer.discard()
		if at.answer.partlySent {
			return false, r.fail(jacinthtiller.Unknown("the replica answered at %s, before the mark %s", at.result.Position, at.unit.Mark))
		}
		r.exclude(at)
		return false, nil
	}
	r.s.applyAnswer(r, at, ch)
	return true, nil
}

func (r *run) mayWrite() bool { return r.role.Access != document.AccessReadOnly }

// exclude leaves a replica out of the request's next decisions.
func (r *run) exclude(at *attempt) {
	if r.tried == nil {
		r.tried = map[string]bool{}
	}
	r.tried[at.target] = true
	switch {
	case at.err == nil || at.err.Reason == jacinthtiller.ReasonBehind:
		r.s.server.positions.Behind(r.s.database, at.target, at.unit.Mark, time.Now())
	case at.err.Reason == jacinthtiller.ReasonTarget || at.err.Outcome == jacinthtiller.OutcomeUnknown:
		r.s.server.positions.Unreachable(r.s.database, at.target, time.Now())
	}
}

// notRun goes on after a proof that the request did not run.
func (r *run) notRun(at *attempt) *pgError {
	if at.err.Code == jacinthtiller.CodeReadOnly && !at.primary {
		if r.refused = r.mayWrite(); !r.refused {
			return r.fail(at.err)
		}
		return nil
	}
	if final(at.err) {
		return r.fail(at.err)
	}
	r.last = at.err
	r.s.server.events.Emit(event.UnitRetried, event.Fields{
		"session": r.s.id, "database": r.s.database, "target": at.target, "reason": string(at.err.Reason), "code": at.err.Code,
	})
	if !at.primary {
		r.exclude(at)
		return nil
	}
	r.away = at.err.Reason == jacinthtiller.ReasonNoLease || at.err.Reason == jacinthtiller.ReasonTarget
	r.waits = true
	return nil
}

// final reports whether the request would meet the same error again.
func final(e *jacinthtiller.Error) bool {
	switch e.Code {
	case jacinthtiller.CodeKeyReused, codeCanceled:
		return true
	}
	return e.Reason == "" && !strings.HasPrefix(e.Code, "JT")
}

// unclear decides after an unknown outcome: only what cannot change anything, or
// has a key, is sent again, and only while the guest has got nothing.
func (r *run) unclear(at *attempt, e *jacinthtiller.Error) *pgError {
	repeatable := !at.primary || at.unit.Key != "" || r.q.beginOnly ||
		(r.q.access == jacinthtiller.AccessRead && r.q.repeatable && !r.refused)
	if at.answer.partlySent || !repeatable {
		return r.fail(e)
	}
	if r.unknown == nil {
		r.unknown = e
	}
	if !at.primary {
		r.exclude(at)
		return nil
	}
	r.waits = true
	return nil
}

// pause waits a little, or until the view changes. It fails when the deadline has passed.
// Replicas that did not run the request before may do so after it.
func (r *run) pause(changed <-chan struct{}) *pgError {
	r.tried = nil
	longest := min(firstBackoff<<min(r.pauses, 10), lastBackoff)
	r.pauses++
	timer := time.NewTimer(longest/2 + rand.N(longest/2+1))
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return nil
	case <-r.ctx.Done():
		return r.ended()
	}
}

// ended says why the request's context is over.
func (r *run) ended() *pgError {
	switch {
	case r.s.wasCanceled():
		return r.fail(jacinthtiller.NotRun(codeCanceled, "", "canceling statement due to user request"))
	case !errors.Is(r.ctx.Err(), context.DeadlineExceeded):
		return r.fail(jacinthtiller.NotRun(jacinthtiller.CodeNotRunShutdown, jacinthtiller.ReasonDraining, "the host is shutting down"))
	case r.last != nil && r.last.Code == jacinthtiller.CodeNotRunShutdown:
		// Another host is shutting down, not this one.
		return r.fail(jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, r.last.Reason, "%s", r.last.Message))
	case r.last != nil:
		return r.fail(r.last)
	}
	return r.fail(jacinthtiller.NotRun(jacinthtiller.CodeNotRunDeadline, jacinthtiller.ReasonDeadline, "the deadline has passed"))
}

// fail ends the request with an error. After an unknown outcome it is never "not run".
func (r *run) fail(e *jacinthtiller.Error) *pgError {
	if r.unknown != nil && e.Outcome == jacinthtiller.OutcomeNotRun && e.Code != jacinthtiller.CodeKeyReused {
		e = r.unknown
	}
	r.s.recordOutcome(r.q, nil, e, r.why)
	return pgErrorFrom(e)
}

func (s *session) wasCanceled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canceled
}
