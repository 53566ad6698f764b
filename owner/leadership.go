package owner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/replica"
)

const (
	// majorityTimeout is how long an answer waits for replication to a majority before its outcome is unknown.
	majorityTimeout = 5 * time.Second
	// holdWritesAge is the age of a commit without a majority above which new writes wait in the queue.
	holdWritesAge = 500 * time.Millisecond
	// holdCheckInterval is the interval between checks of the age of commits without a majority.
	holdCheckInterval = 20 * time.Millisecond
	// positionCallTimeout bounds the wait of one wait-position call, so that a change of the replica's owner is noticed.
	positionCallTimeout = time.Second
	// positionRetryInterval is the pause after a wait-position call that failed.
	positionRetryInterval = 50 * time.Millisecond
)

// leadership is the period in which this host serves one target as the primary of one
// term. A new one begins with every change of term or group size, so that a unit that was
// admitted under one leadership is never acknowledged under another.
type leadership struct {
	target *target
	term   uint64
	// groupSize is the size of the group whose majority must have a commit.
	groupSize int
	// ctx ends with the leadership; nothing is acknowledged after that.
	ctx context.Context
	end context.CancelFunc
	// ready is closed once the target leads the term and the floor of marks is set.
	ready chan struct{}
	// replication computes the newest position that a majority of the group has.
	replication *replica.ReplicationTracker
	marks       markTable

	mu sync.Mutex // guards the fields below
	// readyAt is zero until ready is closed.
	readyAt time.Time
	// wantedPosition is the newest position that replicas are asked for; it never decreases.
	wantedPosition jacinthtiller.Position
	// unreplicated holds the positions that wait for a majority, the oldest first.
	unreplicated []unreplicatedPosition
	// replicaSignals holds, by replica, a channel of capacity 1 that signals a change of wantedPosition to
	// trackReplica; a signal that finds it full is dropped because trackReplica reads wantedPosition anew.
	replicaSignals map[string]chan struct{}
	holdsWrites    bool
	// commitSignal has capacity 1 and signals that a commit has begun to wait; a signal that finds it full is dropped.
	commitSignal chan struct{}
}

// unreplicatedPosition is a position without a majority, with the time since when it is waited for.
type unreplicatedPosition struct {
	position jacinthtiller.Position
	since    time.Time
}

func newLeadership(ctx context.Context, t *target, term uint64, groupSize int) *leadership {
	l := &leadership{target: t, term: term, groupSize: groupSize, ready: make(chan struct{}), replicaSignals: map[string]chan struct{}{}, commitSignal: make(chan struct{}, 1)}
	l.ctx, l.end = context.WithCancel(ctx)
	l.marks.limit = maxMarkedGuests
	l.replication = replica.NewReplicationTracker(term, groupSize, t.name)
	return l
}

// open lets units run under the leadership. The floor is the target's position after it became primary.
func (l *leadership) open(floor jacinthtiller.Position) {
	l.marks.raiseFloor(floor)
	l.target.advancePosition(floor)
	l.replication.Record(l.target.name, floor)
	l.requestReplication(floor)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readyAt.IsZero() {
		l.readyAt = time.Now()
		close(l.ready)
	}
}

func (l *leadership) readySince() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readyAt
}

func (l *leadership) ended() bool { return l.ctx.Err() != nil }

// mayAcknowledge reports whether the leadership and the host's lease allow an answer to be acknowledged now.
func (l *leadership) mayAcknowledge() bool { return !l.ended() && l.target.owner.leased() }

// trackReplicas starts to query the position of each replica that is not tracked yet.
func (l *leadership) trackReplicas(replicas []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range replicas {
		if name == l.target.name || l.replicaSignals[name] != nil || l.ctx.Err() != nil {
			continue
		}
		signal := make(chan struct{}, 1)
		l.replicaSignals[name] = signal
		l.target.goroutines.Go(func() { l.trackReplica(name, signal) })
	}
}

// trackReplica keeps at most one wait-position call open to the replica's owner, for
// wantedPosition. One answer counts for all commits up to that position.
func (l *leadership) trackReplica(name string, signal <-chan struct{}) {
	var reported jacinthtiller.Position
	for l.ctx.Err() == nil {
		p := l.newestWanted()
		if l.replication.MajorityPosition().Covers(p) || reported.Covers(p) {
			select {
			case <-signal:
			case <-l.ctx.Done():
			}
			continue
		}
		position, err := l.target.owner.waitReplicaPosition(l.ctx, l.target.database, name, p)
		if err != nil {
			_ = sleep(l.ctx, positionRetryInterval)
			continue
		}
		reported = position
		l.replication.Record(name, position)
	}
}

func (l *leadership) newestWanted() jacinthtiller.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wantedPosition
}

// requestReplication makes trackReplica query the replicas' positions until a majority has p.
func (l *leadership) requestReplication(p jacinthtiller.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wantedPosition.Covers(p) {
		return
	}
	l.wantedPosition = p
	now := time.Now()
	if n := len(l.unreplicated); n > 0 && now.Sub(l.unreplicated[n-1].since) < holdCheckInterval {
		l.unreplicated[n-1].position = p
	} else {
		l.unreplicated = append(l.unreplicated, unreplicatedPosition{position: p, since: now})
	}
	for _, w := range l.replicaSignals {
		select {
		case w <- struct{}{}:
		default:
		}
	}
	select {
	case l.commitSignal <- struct{}{}:
	default:
	}
}

// awaitMajority waits until a majority of the group has p, for at most majorityTimeout.
func (l *leadership) awaitMajority(ctx context.Context, p jacinthtiller.Position) error {
	l.replication.Record(l.target.name, p)
	if l.replication.MajorityPosition().Covers(p) {
		return nil
	}
	l.requestReplication(p)
	wait, cancel := context.WithTimeout(l.ctx, majorityTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	if err := l.replication.Wait(wait, p); err != nil {
		return fmt.Errorf("settle %v: %w", p, err)
	}
	return nil
}

// holdWritesOnLag holds writes in the queue while replication to a majority is too slow. It
// checks the oldest commit without a majority, because under a stream of writes the newest is always young.
func (l *leadership) holdWritesOnLag() {
	for l.ctx.Err() == nil {
		hold, changed := l.updateHold(time.Now())
		if hold || changed {
			// Repeated while writes are held, because the end of an earlier leadership resumes them.
			l.target.gate.HoldWrites(hold)
		}
		if changed {
			kind := event.WritesResumed
			if hold {
				kind = event.WritesHeld
			}
			l.target.emit(kind, event.Fields{"term": l.term})
		}
		if !l.hasPendingCommits() {
			select {
			case <-l.commitSignal:
			case <-l.ctx.Done():
			}
		}
		_ = sleep(l.ctx, holdCheckInterval)
	}
	l.target.gate.HoldWrites(false)
}

// hasPendingCommits reports whether a commit waits for a majority or writes are held.
func (l *leadership) hasPendingCommits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unreplicated) > 0 || l.holdsWrites
}

func (l *leadership) updateHold(now time.Time) (hold, changed bool) {
	majority := l.replication.MajorityPosition()
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.unreplicated) > 0 && majority.Covers(l.unreplicated[0].position) {
		l.unreplicated = l.unreplicated[1:]
	}
	hold = len(l.unreplicated) > 0 && now.Sub(l.unreplicated[0].since) > holdWritesAge
	changed = hold != l.holdsWrites
	l.holdsWrites = hold
	return hold, changed
}
