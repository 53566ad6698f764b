package replica

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/jacinthtiller/jacinthtiller"
)

// ReplicationTracker computes which commits of one term are stored by a majority of a
// group. It is safe for concurrent use.
type ReplicationTracker struct {
	term     uint64
	majority int
	primary  string

	mu sync.Mutex // guards the fields below
	// targets maps names to the newest reported positions of the term. The primary's is at
	// least as high as any other, because the entries of the term come from the primary.
	targets map[string]jacinthtiller.Position
	// majorityPosition never decreases.
	majorityPosition jacinthtiller.Position
	waiters          map[*waiter]struct{}
}

type waiter struct {
	position jacinthtiller.Position
	done     chan struct{} // closed once a majority has position
}

// NewReplicationTracker returns a ReplicationTracker for a group led by primary in the term.
func NewReplicationTracker(term uint64, groupSize int, primary string) *ReplicationTracker {
	return &ReplicationTracker{
		term: term, majority: groupSize/2 + 1, primary: primary,
		targets: map[string]jacinthtiller.Position{}, waiters: map[*waiter]struct{}{},
	}
}

// Record stores a position that a target reported. Positions of other terms are
// ignored.
func (t *ReplicationTracker) Record(target string, p jacinthtiller.Position) {
	if p.Term != t.term {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.targets[target] = t.targets[target].Max(p)
	t.targets[t.primary] = t.targets[t.primary].Max(p)
	t.majorityPosition = t.majorityPosition.Max(t.computeMajorityPosition())
	for w := range t.waiters {
		if t.majorityPosition.Covers(w.position) {
			close(w.done)
			delete(t.waiters, w)
		}
	}
}

// MajorityPosition returns the newest position of the term that is known to be stored by a
// majority, or the zero position if there is none.
func (t *ReplicationTracker) MajorityPosition() jacinthtiller.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.majorityPosition
}

// Wait returns nil once a majority has the position, or the error of ctx.
func (t *ReplicationTracker) Wait(ctx context.Context, p jacinthtiller.Position) error {
	t.mu.Lock()
	if t.majorityPosition.Covers(p) {
		t.mu.Unlock()
		return nil
	}
	w := &waiter{position: p, done: make(chan struct{})}
	t.waiters[w] = struct{}{}
	t.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		t.mu.Lock()
		delete(t.waiters, w)
		t.mu.Unlock()
		return fmt.Errorf("wait until %s is settled in term %d: %w", p, t.term, ctx.Err())
	}
}

func (t *ReplicationTracker) computeMajorityPosition() jacinthtiller.Position {
	if len(t.targets) < t.majority {
		return jacinthtiller.Position{}
	}
	positions := make([]jacinthtiller.Position, 0, len(t.targets))
	for _, p := range t.targets {
		positions = append(positions, p)
	}
	slices.SortFunc(positions, func(a, b jacinthtiller.Position) int { return b.Compare(a) })
	return positions[t.majority-1]
}
