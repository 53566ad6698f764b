package control

import (
	"context"
	"errors"
	"maps"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// replicaCheckInterval is the time between two checks of the replicas of a group with synchronous replicas.
	replicaCheckInterval = 2 * time.Second
	// replicaCheckRate is how many of these checks may begin per second; the replicas of 930 databases take 40 s.
	replicaCheckRate = 50
	// refusalsUntilStopped is how many consecutive checks must find that no process listens at a replica's address; a
	// restart takes less time.
	refusalsUntilStopped = 2
)

// checkReplicas finds out from time to time which replicas of a group with synchronous replicas have stopped. A replica that is
// lost for good sends nothing, and without a primary nobody can tell any more that the others have all that it had.
func (s *Server) checkReplicas(ctx context.Context, wg *conc.WaitGroup, st *state, d jacinthtiller.Database, now time.Time) {
	r := st.requirement(d.Name)
	if r.syncReplicas == 0 || !s.isReplicaCheckDue(d.Name, now) || !s.startTask(s.direct.checkingReplicas, d.Name) {
		return
	}
	s.runAsync(wg, "check whether replicas run", func() {
		defer s.finishTask(s.direct.checkingReplicas, d.Name)
		for n, t := range d.Targets {
			if n == d.Primary || r.isAbsent(t) {
				continue
			}
			stopped := s.refusesConnections(ctx, t, s.replicaCheckLimiter)
			if ctx.Err() != nil {
				return
			}
			s.recordReplicaCheck(t, stopped)
		}
		s.forgetRefusals()
	})
}

// isReplicaCheckDue reports whether the replicas of a group have to be checked, and sets the time of the next check.
func (s *Server) isReplicaCheckDue(database string, now time.Time) bool {
	x := s.direct
	x.mu.Lock()
	defer x.mu.Unlock()
	if now.Before(x.replicaCheckTimes[database]) || x.checkingReplicas[database] {
		return false
	}
	x.replicaCheckTimes[database] = now.Add(replicaCheckInterval)
	return true
}

func (s *Server) recordReplicaCheck(t jacinthtiller.Target, stopped bool) {
	s.direct.mu.Lock()
	defer s.direct.mu.Unlock()
	if stopped {
		s.direct.refusals[incarnationOf(t)]++
		return
	}
	delete(s.direct.refusals, incarnationOf(t))
}

// forgetRefusals forgets the checks of incarnations that are recorded no more.
func (s *Server) forgetRefusals() {
	v := s.machine.state().View
	recorded := map[targetIncarnation]bool{}
	for _, d := range v.Databases {
		for _, t := range d.Targets {
			recorded[incarnationOf(t)] = true
		}
	}
	s.direct.mu.Lock()
	defer s.direct.mu.Unlock()
	maps.DeleteFunc(s.direct.refusals, func(x targetIncarnation, _ int) bool { return !recorded[x] })
}

// stoppedReplicas returns the replicas of a group that the checks have found to be stopped and that the proof has not as
// absent yet.
func (s *Server) stoppedReplicas(d jacinthtiller.Database, r requirement) []jacinthtiller.Target {
	s.direct.mu.Lock()
	defer s.direct.mu.Unlock()
	if len(s.direct.refusals) == 0 {
		return nil
	}
	var out []jacinthtiller.Target
	for n, t := range d.Targets {
		if n != d.Primary && !r.isAbsent(t) && s.direct.refusals[incarnationOf(t)] >= refusalsUntilStopped {
			out = append(out, t)
		}
	}
	return out
}

// refusesConnections reports whether no process listens at a target's address. A target that does not answer may be cut
// off from this process only, and receive commits all the while.
func (s *Server) refusesConnections(ctx context.Context, t jacinthtiller.Target, limiter *rate.Limiter) bool {
	if !s.awaitInspections(ctx, limiter, 1) {
		return false
	}
	_, err := s.inspect(ctx, t, inspectTimeout)
	return errors.Is(err, syscall.ECONNREFUSED)
}
