package replica

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/jacinthtiller/jacinthtiller"
)

// Settlement computes which commits of one term are settled: stored by a majority
// of a group. It is safe for concurrent use.
type Settlement struct {
	term     uint64
	majority int
	primary  string

	mu sync.Mutex // guards the fields below
	// targets maps names to the newest reported positions of the term. The primary's is at
	// least as high as any other, because the entries of the term come from the primary.
	targets map[string]jacinthtiller.Position
	// settled never decreases.
	settled jacinthtiller.Position
	waiters map[*waiter]struct{}
}

type waiter struct {
	position jacinthtiller.Position
	done     chan struct{} // closed once position is settled
}

// NewSettlement returns a Settlement for a group led by primary in the term.
func NewSettlement(term uint64, groupSize int, primary string) *Settlement {
	return &Settlement{
		term: term, majority: groupSize/2 + 1, primary: primary,
		targets: map[string]jacinthtiller.Position{}, waiters: map[*waiter]struct{}{},
	}
}

// Observe records a position that a target reported. Positions of other terms are
// ignored.
func (s *Settlement) Observe(target string, p jacinthtiller.Position) {
	if p.Term != s.term {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets[target] = s.targets[target].Max(p)
	s.targets[s.primary] = s.targets[s.primary].Max(p)
	s.settled = s.settled.Max(s.majorityPosition())
	for w := range s.waiters {
		if s.settled.Covers(w.position) {
			close(w.done)
			delete(s.waiters, w)
		}
	}
}

// Settled returns the newest position of the term that is known to be stored by a
// majority, or the zero position if there is none.
func (s *Settlement) Settled() jacinthtiller.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settled
}

// Wait returns nil once the position is settled, or the error of ctx.
func (s *Settlement) Wait(ctx context.Context, p jacinthtiller.Position) error {
	s.mu.Lock()
	if s.settled.Covers(p) {
		s.mu.Unlock()
		return nil
	}
	w := &waiter{position: p, done: make(chan struct{})}
	s.waiters[w] = struct{}{}
	s.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.waiters, w)
		s.mu.Unlock()
		return fmt.Errorf("wait until %s is settled in term %d: %w", p, s.term, ctx.Err())
	}
}

func (s *Settlement) majorityPosition() jacinthtiller.Position {
	if len(s.targets) < s.majority {
		return jacinthtiller.Position{}
	}
	positions := make([]jacinthtiller.Position, 0, len(s.targets))
	for _, p := range s.targets {
		positions = append(positions, p)
	}
	slices.SortFunc(positions, func(a, b jacinthtiller.Position) int { return b.Compare(a) })
	return positions[s.majority-1]
}
