package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// proofInspectRate is how many inspections per second renewals of proofs may begin; searches for a primary have the rest
	// of inspectRate.
	proofInspectRate = inspectRate / 2
	// proofInspectBurst is how many of them may begin at once; the largest group takes one for each target.
	proofInspectBurst = 100
	// replicasReachTimeout is how long a renewal waits for replicas to reach the position of the primary.
	replicasReachTimeout = 2 * time.Second
	// replicasReachPause is the time between two inspections of the replicas meanwhile.
	replicasReachPause = 100 * time.Millisecond
	// proofRetryDelay is the delay after a renewal that failed.
	proofRetryDelay = 500 * time.Millisecond
)

// checkProof renews the proof of a group that has a primary, if that is needed.
func (s *Server) checkProof(ctx context.Context, wg *conc.WaitGroup, st *state, d jacinthtiller.Database) {
	r := st.requirement(d.Name)
	if r.syncReplicas == 0 || !r.needsRenewal(d) && len(s.stoppedReplicas(d, r)) == 0 || !s.startTask(s.direct.renewingProof, d.Name) {
		return
	}
	s.runAsync(wg, "find out which replicas hold the acknowledged commits", func() {
		defer s.finishTask(s.direct.renewingProof, d.Name)
		if !s.renewProof(ctx, d.Name) {
			s.sleep(proofRetryDelay)
		}
	})
}

// renewProof tries once to renew the proof of a group and reports whether it has.
func (s *Server) renewProof(ctx context.Context, database string) bool {
	st := s.machine.state()
	d, r := st.View.Databases[database], st.requirement(database)
	stopped := s.stoppedReplicas(d, r)
	if _, ok := d.Targets[d.Primary]; !ok || !r.needsRenewal(d) && len(stopped) == 0 || !s.departedEnded(ctx, st, d, r.Departed) {
		return false
	}
	absent := slices.Clone(r.Absent)
	for _, t := range stopped {
		if s.refusesConnections(ctx, t, s.proofLimiter) {
			absent = append(absent, incarnationOf(t))
		}
	}
	// Asked after the departed and absent replicas have ended: what they held, the primary has had before its answer.
	if !s.awaitInspections(ctx, s.proofLimiter, 1) {
		return false
	}
	primary, ok := s.inspectTargets(ctx, d, []jacinthtiller.Target{d.Targets[d.Primary]})[d.Primary]
	if !ok || primary.Role != jacinthtiller.RolePrimary || primary.Term != d.Term {
		return false
	}
	holders := s.replicasThatReach(ctx, d, primary.Received, r.syncReplicas)
	if len(holders) < r.syncReplicas {
		return false
	}
	c := renewProofCommand{
		Database: database, Primary: incarnationOf(d.Targets[d.Primary]), Term: d.Term, Edition: st.View.Edition.Number, ChangedIndex: r.ChangedIndex,
		Absent: absent,
	}
	if !s.proposeBatch(ctx, []Command{{RenewProof: &c}}) || s.machine.state().CommitProofs[database].ChangedIndex == r.ChangedIndex {
		return false
	}
	departed := []string{}
	for _, t := range r.Departed {
		departed = append(departed, t.Target)
	}
	s.events.Emit(event.ControlProofRenewed, event.Fields{
		"database": database, "term": d.Term, "primary": d.Primary, "position": primary.Received.String(), "holders": holders,
		"departed": departed, "absent": s.machine.state().CommitProofs[database].Absent, "sync-replicas": r.syncReplicas,
	})
	return true
}

// departedEnded reports whether the targets that have left a group run no more in it. A target sends its departure just
// before it exits, so one that does not answer any more has ended.
func (s *Server) departedEnded(ctx context.Context, st *state, d jacinthtiller.Database, departed []logHolder) bool {
	for _, t := range departed {
		if st.isReplaced(t) {
			continue
		}
		if !s.awaitInspections(ctx, s.proofLimiter, 1) {
			return false
		}
		_, err := s.inspect(ctx, jacinthtiller.Target{Name: t.Target, Database: d.Name, Address: t.Address}, inspectTimeout)
		var refused *jacinthtiller.TargetError
		if err == nil || errors.As(err, &refused) && refused.Code != jacinthtiller.ErrorCodeWrongTarget || ctx.Err() != nil {
			return false
		}
	}
	return true
}

// isReplaced reports whether a recorded target has the name or the address of a departed one, so that this has ended or
// moved to another group.
func (s *state) isReplaced(t logHolder) bool {
	return len(s.conflicting(jacinthtiller.TargetReport{Target: t.Target, Address: t.Address})) > 0
}

// replicasThatReach waits until wanted replicas have received the position and returns the names of those that have.
func (s *Server) replicasThatReach(ctx context.Context, d jacinthtiller.Database, p jacinthtiller.Position, wanted int) []string {
	var replicas []jacinthtiller.Target
	for _, n := range d.TargetNames() {
		if n != d.Primary {
			replicas = append(replicas, d.Targets[n])
		}
	}
	deadline := time.Now().Add(replicasReachTimeout)
	for len(replicas) >= wanted && s.awaitInspections(ctx, s.proofLimiter, len(replicas)) {
		var out []string
		v := s.inspectTargets(ctx, d, replicas)
		for _, t := range replicas {
			if x, ok := v[t.Name]; ok && x.Received.Covers(p) {
				out = append(out, t.Name)
			}
		}
		if len(out) >= wanted || !time.Now().Before(deadline) {
			return out
		}
		s.sleep(replicasReachPause)
	}
	return nil
}

// awaitInspections waits until n inspections may begin and reports whether they may.
func (s *Server) awaitInspections(ctx context.Context, limiter *rate.Limiter, n int) bool {
	if err := limiter.WaitN(ctx, n); err != nil {
		if ctx.Err() == nil {
			s.events.Emit(event.ControlInspectFailed, event.Fields{"targets": n, "error": fmt.Sprintf("wait to inspect replicas: %v", err)})
		}
		return false
	}
	return true
}
