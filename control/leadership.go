package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// runLeadership makes the leader's decisions whenever this process leads the group.
func (s *Server) runLeadership() {
	for s.ctx.Err() == nil {
		changed := s.node.Changed()
		if _, term, leads := s.node.Leadership(); leads {
			s.leadTerm(term)
			s.sleep(leaseCheckInterval)
			continue
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
		}
	}
}

// sleep waits for d or until the server closes.
func (s *Server) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

// leadTerm makes decisions until the process no longer leads the term.
func (s *Server) leadTerm(term uint64) {
	if err := s.confirmTerm(); err != nil {
		s.events.Emit(event.ControlProposalFailed, event.Fields{"error": err.Error()})
		return
	}
	s.direct.reset()
	s.setLeader(newLeader())
	s.events.Emit(event.ControlLeading, event.Fields{"term": term})
	ctx, cancel := context.WithCancel(s.ctx)
	wg := conc.NewWaitGroup()
	defer func() {
		s.setLeader(nil)
		cancel()
		wg.Wait()
		s.events.Emit(event.ControlFollowing, event.Fields{"term": term})
	}()
	// results receives the answers of fencing calls; senders block when it is full.
	results := make(chan fenceResult, maxFenceCalls)
	slots := make(chan struct{}, maxFenceCalls)
	ticks := time.NewTicker(leaseCheckInterval)
	defer ticks.Stop()
	for s.leadsTerm(term) {
		st, changed := s.machine.watch()
		d := s.decide(st)
		s.manageDirectGroups(ctx, wg, term, st)
		if s.managesMembers && s.changingMembers.CompareAndSwap(false, true) {
			s.runAsync(wg, "maintain members", func() { s.maintainMembers(ctx) })
		}
		for _, c := range d.fences {
			s.callFence(ctx, wg, c, slots, results)
		}
		for _, c := range d.removalChecks {
			s.runAsync(wg, "check a target for removal", func() { s.checkRemoval(ctx, c) })
		}
		if len(d.commands) > 0 && s.proposeBatch(ctx, d.commands) && s.machine.state().View.Index > st.View.Index {
			continue
		}
		select {
		case <-ticks.C:
		case <-changed:
		case <-ctx.Done():
		case r := <-results:
			s.recordFenceResults(r, results)
		}
	}
}

// confirmTerm returns nil once a quorum has confirmed that this process leads and all entries of earlier terms are
// applied.
func (s *Server) confirmTerm() error {
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	if err := s.node.ConfirmLeader(ctx); err != nil {
		return fmt.Errorf("begin the term: %w", err)
	}
	return nil
}

func (s *Server) leadsTerm(term uint64) bool {
	_, current, leads := s.node.Leadership()
	return leads && current == term && s.ctx.Err() == nil
}

func (s *Server) setLeader(l *leader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = l
	close(s.leaderChanged)
	s.leaderChanged = make(chan struct{})
}

func (s *Server) decide(st *state) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader.step(st, time.Now())
}

// proposeBatch writes decisions to the log as one entry and reports whether that succeeded.
func (s *Server) proposeBatch(ctx context.Context, commands []Command) bool {
	s.metrics.decisions.Add(ctx, int64(len(commands)))
	if _, err := s.propose(ctx, Command{Batch: commands}); err != nil {
		s.events.Emit(event.ControlProposalFailed, event.Fields{"error": err.Error(), "commands": len(commands)})
		return false
	}
	return true
}

// recordFenceResults records r and all other results that have arrived.
func (s *Server) recordFenceResults(r fenceResult, results <-chan fenceResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		s.leader.recordFence(r, time.Now())
		select {
		case r = <-results:
		default:
			return
		}
	}
}

// callFence makes one fencing call. When all slots are taken the call is skipped, and the leader requests it again
// later.
func (s *Server) callFence(ctx context.Context, wg *conc.WaitGroup, c fenceCall, slots chan struct{}, results chan<- fenceResult) {
	select {
	case slots <- struct{}{}:
	default:
		return
	}
	s.runAsync(wg, "fence a target", func() {
		defer func() { <-slots }()
		call, cancel := context.WithDeadline(ctx, c.deadline)
		defer cancel()
		r := fenceResult{fenceCall: c}
		out, err := s.peers.Peer(c.url).Fence(call, jacinthtiller.FenceRequest{
			Database: c.database, Target: c.target, Term: c.term,
		})
		r.position, r.err = out.Position, err
		s.emitFenceResult(r)
		select {
		case results <- r:
		case <-ctx.Done():
		}
	})
}

// runAsync runs work of the leader in the background.
func (s *Server) runAsync(wg *conc.WaitGroup, name string, work func()) {
	wg.Go(func() { duty.Run(s.events, name, nil, work) })
}

// checkRemoval removes a target when a majority of the rest of its group has reached the newest position that a majority
// has stored. Commits that a majority stores later do not depend on the target, because it is lost.
func (s *Server) checkRemoval(ctx context.Context, c removalCheck) {
	call, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	m, err := s.peers.Peer(c.primary).Mark(call, jacinthtiller.MarkRequest{Database: c.database})
	// Before a majority has stored a commit of the term, the position does not cover earlier commits.
	if err != nil || m.Term != c.term || m.Position.Term != c.term {
		return
	}
	var reached atomic.Int64
	reached.Add(1) // the primary
	wg := conc.NewWaitGroup()
	for name, url := range c.others {
		wg.Go(func() {
			out, err := s.peers.Peer(url).WaitPosition(call, jacinthtiller.WaitPositionRequest{
				Database: c.database, Target: name, Position: m.Position, WaitMicroseconds: removalCheckTimeout.Microseconds() / 2,
			})
			if err == nil && out.Position.Covers(m.Position) {
				reached.Add(1)
			}
		})
	}
	wg.Wait()
	if int(reached.Load()) >= c.quorum {
		s.proposeBatch(ctx, []Command{{Remove: &removeCommand{Database: c.database, Target: c.target, Term: c.term}}})
	}
}

func (s *Server) emitFenceResult(r fenceResult) {
	f := event.Fields{"database": r.database, "target": r.target, "term": r.term}
	if r.err != nil {
		f["error"] = r.err.Error()
		s.events.Emit(event.ControlFenceFailed, f)
		return
	}
	f["position"] = r.position.String()
	s.events.Emit(event.ControlTargetFenced, f)
}
