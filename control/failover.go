package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// failoverRetryDelay is the delay between two attempts to find a primary for a group.
	failoverRetryDelay = 40 * time.Millisecond
	// promoteOrderTimeout bounds one order to the platform.
	promoteOrderTimeout = time.Second
	// promotionTimeout is how long an ordered promotion may take before another target is considered; the slowest known
	// targets take a second.
	promotionTimeout = 4 * time.Second
	// maxOrderConfirmationAge is how old the confirmation of the leadership may be when the order is sent. A process
	// that was suspended meanwhile asks for another confirmation.
	maxOrderConfirmationAge = 250 * time.Millisecond
	// promoteOrderDelay is how long a leader sends no order after its election, so that the last order of its
	// predecessor has been sent: an order is sent at most maxOrderConfirmationAge after a confirmation, and the
	// predecessor gets no confirmation after the election.
	promoteOrderDelay = 2 * maxOrderConfirmationAge
	// candidateBackoff is how long a target that could not be promoted is avoided.
	candidateBackoff = 3 * time.Second
	// catchUpTimeout is how long a planned change waits for the successor to receive the former primary's last commits.
	catchUpTimeout = 600 * time.Millisecond
	// maxDemoteAttempts is how often a former primary is ordered to step down; it steps down by itself once it can reach
	// the new one.
	maxDemoteAttempts = 5
)

// failover is the volatile state of the search for a direct group's primary.
type failover struct {
	database string
	// term is the leader's term, which is the fencing token of its orders.
	term uint64
	// avoidUntil holds until when a target that could not be promoted is avoided.
	avoidUntil map[string]time.Time
	// catchUpDeadline is until when a planned change waits for its successor.
	catchUpDeadline time.Time
	// unrecordedHolderDeadline is until when it waits for a target that is not recorded and may hold acknowledged commits, and
	// runningPrimaryDeadline until when if the former primary runs.
	unrecordedHolderDeadline, runningPrimaryDeadline time.Time
	pending                                          pendingOrder
	// refuted is the target that this leader ordered to lead and that provably does not.
	refuted string
	// delayReported is the reason of the last wait that was reported and its possible holders; empty before the first.
	delayReported string
	// awaitsFormer is true once no target can be promoted without the former primary, which is then inspected even if it
	// was unreachable.
	awaitsFormer bool
}

// orderPending reports whether a target may still begin to lead because of an order of this leader or of an earlier one.
// Until then the former primary must not acknowledge anything, unless the order is for itself. ordered is the target of
// p.pending.
func (p *failover) orderPending(d jacinthtiller.Database, ordered string) bool {
	return ordered != "" && ordered != d.FormerPrimary || d.Candidate != "" && d.Candidate != p.refuted
}

// failOver finds a primary for a direct group that has none: it waits until no host can acknowledge work of the former
// one, chooses the target with the most of the log, has it promoted and records it once it leads.
func (s *Server) failOver(ctx context.Context, wg *conc.WaitGroup, term uint64, database string) {
	defer s.finishTask(s.direct.failingOver, database)
	now := time.Now()
	p := &failover{
		database: database, term: term, avoidUntil: map[string]time.Time{}, catchUpDeadline: now.Add(catchUpTimeout),
		unrecordedHolderDeadline: now.Add(unrecordedHolderWait), runningPrimaryDeadline: now.Add(runningPrimaryWait),
		pending: s.pendingOrder(database),
	}
	defer func() { s.direct.keepOrder(database, p.pending) }()
	for ctx.Err() == nil {
		d := s.machine.state().View.Databases[database]
		if !d.Direct || d.Primary != "" {
			return
		}
		if s.tryFailover(ctx, wg, p, d) {
			return
		}
		s.sleep(failoverRetryDelay)
	}
}

// tryFailover makes one attempt to find a primary and reports whether the group has one.
func (s *Server) tryFailover(ctx context.Context, wg *conc.WaitGroup, p *failover, d jacinthtiller.Database) bool {
	s.direct.mu.Lock()
	suspendCause := s.direct.causes[d.Name]
	s.direct.mu.Unlock()
	bootstrapping := d.Term == 0 && time.Now().Before(p.catchUpDeadline.Add(bootstrapWait))
	// Checked before the inspection, so that the answers include all that was acknowledged.
	unused := s.noHostUsesFormer(d)
	v := s.inspectTargets(ctx, d, targetsToInspect(d, suspendCause, bootstrapping, p.awaitsFormer))
	now := time.Now()
	ordered := p.pending.targetAt(d, v, now)
	if n := v.leading(d); n != "" && d.Targets[n].State == jacinthtiller.StateServing && (ordered == "" || ordered == n) {
		return s.recordPrimary(ctx, wg, p, d, n, v[n], 0)
	}
	if v.stillLeads(d) && !suspendCause.replacesServing() && !p.orderPending(d, ordered) {
		return s.recordPrimary(ctx, wg, p, d, d.FormerPrimary, v[d.FormerPrimary], 0)
	}
	if !unused {
		s.reportDelay(p, d, v, requirement{}, "hosts may still hold a lease under the former primary")
		return false
	}
	st := s.machine.state() // read after the answers, so that the requirement has every target that left meanwhile
	r := s.requirement(st, d)
	if r.syncReplicas > 0 && !sameTargets(d, st.View.Databases[d.Name]) {
		return false // a target that has joined meanwhile may hold acknowledged commits
	}
	required, known := v.acknowledged(d, r)
	n := d.Candidate
	if x, ok := v[n]; !ok || now.Before(p.avoidUntil[n]) || d.Targets[n].State == jacinthtiller.StateLeaving || !known || !x.Received.Covers(required) {
		n = v.successor(d, r, s.mayStillLead, p.avoidUntil, now)
	}
	p.awaitsFormer = n == ""
	switch {
	case bootstrapping:
		return false // the first primary may still report itself
	case suspendCause == causeBehind && ordered == d.FormerPrimary && ordered != "":
		return s.abandonRelief(ctx, wg, p, d, v)
	case ordered != "" && ordered != n:
		s.reportDelay(p, d, v, r, "an order to promote "+ordered+" may still take effect")
		return false
	case suspendCause == causeBehind && p.refuted != "" && !p.orderPending(d, ordered):
		return s.abandonRelief(ctx, wg, p, d, v)
	case suspendCause == causeBehind && !p.orderPending(d, ordered) && !v.holdsAll(d, n):
		return !now.Before(p.catchUpDeadline) && s.abandonRelief(ctx, wg, p, d, v)
	case !known:
		s.reportDelay(p, d, v, r, "a target that may hold acknowledged commits does not answer")
		return false
	case n == "" && v.anyServing(d):
		s.reportDelay(p, d, v, r, "all serving targets lack acknowledged commits")
		return false
	case n == "":
		s.reportDelay(p, d, v, r, "no target is able to lead")
		return false
	case p.awaitsHolder(d, v, r, n, now):
		s.reportDelay(p, d, v, r, "a target that is not recorded, or the former primary, may hold acknowledged commits")
		return false
	case suspendCause == causeLeaving && !v.caughtUp(d, n) && now.Before(p.catchUpDeadline):
		return false
	}
	return s.promoteTarget(ctx, wg, p, d, n, v.copies(n, required), event.Fields{
		"received": v.received(), "required": required.String(), "sync-replicas": r.syncReplicas,
	})
}

// abandonRelief ends a change of primary for overload whose successor did not catch up in time: the former primary is put
// back, or replaced as a lost one if it does not answer any more. It reports whether the group has a primary.
func (s *Server) abandonRelief(ctx context.Context, wg *conc.WaitGroup, p *failover, d jacinthtiller.Database, v targetStatuses) bool {
	if v.stillLeads(d) {
		return s.recordPrimary(ctx, wg, p, d, d.FormerPrimary, v[d.FormerPrimary], 0)
	}
	s.direct.mu.Lock()
	defer s.direct.mu.Unlock()
	s.direct.causes[d.Name] = causeSilent
	return false
}

// promotionWait is why a search for a primary waits, for metrics.
type promotionWait struct {
	// since is when the search began to wait.
	since  time.Time
	reason string
	// required is the position that a new primary must have; empty when it is not known.
	required string
	// holders names the targets that may hold acknowledged commits and have not answered.
	holders string
}

// reportDelay reports why the failover waits, once until the reason changes.
func (s *Server) reportDelay(p *failover, d jacinthtiller.Database, v targetStatuses, r requirement, reason string) {
	w := promotionWait{since: time.Now(), reason: reason}
	if r.syncReplicas > 0 {
		w.holders = strings.Join(v.possibleHolders(d, r), ",")
		if required, known := v.acknowledged(d, r); known {
			w.required = required.String()
		}
	}
	x := s.direct
	x.mu.Lock()
	if former, ok := x.waits[d.Name]; ok {
		w.since = former.since
	}
	x.waits[d.Name] = w
	x.mu.Unlock()
	if reported := w.reason + w.holders; p.delayReported != reported {
		p.delayReported = reported
		s.events.Emit(event.ControlPromoteDelayed, event.Fields{
			"database": d.Name, "term": d.Term, "reason": reason, "received": v.received(), "targets": len(d.Targets),
			"required": w.required, "possible-holders": w.holders, "since": w.since.UTC().Format(time.RFC3339Nano),
		})
	}
}

// noHostUsesFormer reports whether no host can acknowledge work of the former primary.
func (s *Server) noHostUsesFormer(d jacinthtiller.Database) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader != nil && s.leader.noHostBehind(s.machine.state(), d.PrimaryChangedIndex, time.Now())
}

// promoteTarget records the candidate, sends the order and waits until the target leads. copies is how many others hold all
// acknowledged commits, and evidence what the choice was based on, for the log.
func (s *Server) promoteTarget(ctx context.Context, wg *conc.WaitGroup, p *failover, d jacinthtiller.Database, target string, copies int, evidence event.Fields) bool {
	if d.Candidate != target {
		c := chooseCandidateCommand{
			Database: d.Name, Term: d.Term, Target: target, MayBeLeaving: d.Targets[target].State == jacinthtiller.StateLeaving,
		}
		if !s.proposeBatch(ctx, []Command{{ChooseCandidate: &c}}) {
			return false
		}
	}
	err := s.sendPromoteOrder(ctx, wg, p, d, target)
	f := event.Fields{"database": d.Name, "term": d.Term, "target": target, "token": p.term, "state": string(d.Targets[target].State)}
	maps.Copy(f, evidence)
	if err != nil {
		f["error"] = err.Error()
		s.events.Emit(event.ControlPromoteOrdered, f)
		if errors.Is(err, jacinthtiller.ErrTargetDown) {
			p.refuted, p.avoidUntil[target] = target, time.Now().Add(candidateBackoff)
		}
		return false
	}
	s.events.Emit(event.ControlPromoteOrdered, f)
	end := time.Now().Add(promotionTimeout)
	p.refuted = ""
	answered := false
	for ctx.Err() == nil && time.Now().Before(end) {
		status, err := s.inspect(ctx, d.Targets[target], inspectTimeout)
		if err == nil && status.Role == jacinthtiller.RolePrimary && status.Term > d.Term {
			if t := s.machine.state().View.Databases[d.Name].Targets[target]; t.State == jacinthtiller.StateLeaving && !s.mayStillLead(t) {
				return false // others can receive its log, but it gets no more work
			}
			return s.recordPrimary(ctx, wg, p, d, target, status, copies)
		}
		answered = err == nil
		if errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		s.sleep(failoverRetryDelay)
	}
	if answered {
		p.refuted = target // it is still a replica
	}
	p.avoidUntil[target] = time.Now().Add(candidateBackoff)
	return false
}

// sendPromoteOrder sends the order to promote immediately after a confirmation of the leadership.
func (s *Server) sendPromoteOrder(ctx context.Context, wg *conc.WaitGroup, p *failover, d jacinthtiller.Database, target string) error {
	if since, leads := s.node.LeaderSince(); leads {
		s.sleep(clock.Until(since.Add(promoteOrderDelay)))
	}
	o := jacinthtiller.PromoteOrder{Database: d.Name, Target: target, LeaseHolder: s.leaseHolder, Token: p.term}
	for ctx.Err() == nil {
		began := clock.Now()
		call, cancel := context.WithTimeout(ctx, promoteOrderTimeout)
		err := s.confirmLeadership(call)
		if err == nil && !s.leadsTerm(p.term) {
			err = &jacinthtiller.NotLeadingError{}
		}
		if err == nil && clock.Now().Sub(began) > maxOrderConfirmationAge {
			cancel()
			continue
		}
		if err == nil {
			var c *orderCall
			c, err = s.orderPromotion(ctx, call, wg, o)
			now := time.Now()
			switch {
			case err == nil:
				p.pending = p.pending.withOrder(target, now.Add(acceptedOrderTimeout), now)
			case !errors.Is(err, jacinthtiller.ErrTargetDown) && !errors.Is(err, jacinthtiller.ErrOrderNotTaken):
				p.pending = p.pending.withOrder(target, now.Add(promotionTimeout), now).withUnanswered(c)
			}
		}
		cancel()
		if err != nil {
			return fmt.Errorf("promote %s of %s: %w", target, d.Name, err)
		}
		return nil
	}
	return fmt.Errorf("promote %s of %s: %w", target, d.Name, ctx.Err())
}

// orderPromotion sends an order and waits for its answer until call ends. The answer is recorded in the result even if it arrives
// later, since it tells until when the order may take effect.
func (s *Server) orderPromotion(ctx, call context.Context, wg *conc.WaitGroup, o jacinthtiller.PromoteOrder) (*orderCall, error) {
	c := &orderCall{deadline: time.Now().Add(unansweredOrderTimeout)}
	answer := make(chan error, 1)
	s.runAsync(wg, "order a promotion", func() {
		late, cancel := context.WithDeadline(ctx, c.deadline)
		defer cancel()
		err := s.promoter.Promote(late, o)
		c.record(err, time.Now())
		answer <- err
	})
	select {
	case err := <-answer:
		return c, err
	case <-call.Done():
		return c, fmt.Errorf("wait for the platform's answer: %w", call.Err())
	}
}

// recordPrimary records the primary, and makes the former one step down. copies is recordPrimaryCommand.Copies.
func (s *Server) recordPrimary(ctx context.Context, wg *conc.WaitGroup, p *failover, d jacinthtiller.Database, target string, v jacinthtiller.TargetStatus, copies int) bool {
	pending := p.pending.afterEffect(target)
	c := recordPrimaryCommand{
		Database: d.Name, From: d.Term, Term: v.Term, Target: target, Copies: copies, MarkFloor: v.Received,
		OrderPending: time.Now().Before(pending.deadline(true)),
	}
	if !s.proposeBatch(ctx, []Command{{RecordPrimary: &c}}) {
		return false
	}
	p.pending = pending
	s.recordChange(d.Name, target != d.FormerPrimary)
	if former, ok := d.Targets[d.FormerPrimary]; ok && d.FormerPrimary != target {
		s.runAsync(wg, "demote a primary", func() { s.demote(ctx, former, v.Term) })
	}
	return true
}

// recordChange ends the search for a database's primary. A change of a primary that still served shows how long a planned
// change takes.
func (s *Server) recordChange(database string, changed bool) {
	x := s.direct
	x.mu.Lock()
	defer x.mu.Unlock()
	if began, ok := x.suspendedAt[database]; ok && changed && x.causes[database].planned() {
		x.changeMilliseconds = time.Since(began).Milliseconds()
	}
	delete(x.suspendedAt, database)
	delete(x.waits, database)
	delete(x.causes, database)
	delete(x.evidence, database)
	delete(x.overloads, database)
}

// demote orders a former primary to step down, so that guests of hosts with an old view do not wait for refusals.
func (s *Server) demote(ctx context.Context, t jacinthtiller.Target, term uint64) {
	for range maxDemoteAttempts {
		call, cancel := context.WithTimeout(ctx, inspectTimeout)
		_, err := s.inspector.StepDown(call, t, term)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		s.events.Emit(event.ControlInspectFailed, event.Fields{"database": t.Database, "target": t.Name, "error": err.Error()})
		s.sleep(inspectTimeout)
	}
}
