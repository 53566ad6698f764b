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
	// settleLimit is how long an answer waits for a majority before its outcome is unknown.
	settleLimit = 5 * time.Second
	// holdWritesAfter is the age of an unsettled commit at which new writes wait in the queue.
	holdWritesAfter = 500 * time.Millisecond
	// holdCheckEvery is how often the age of unsettled commits is looked at.
	holdCheckEvery = 20 * time.Millisecond
	// positionWait bounds one wait-position call, so that a change of the replica's owner is noticed.
	positionWait = time.Second
	// positionRetry is the pause after a wait-position call that failed.
	positionRetry = 50 * time.Millisecond
)

// lead is the time during which this host serves one target as the primary of
// one term. A new one begins with every change of term or group size, so that a unit
// that was admitted under one is never acknowledged under another.
type lead struct {
	t    *target
	term uint64
	// group is the size of the group that settled positions are counted for.
	group int
	// ctx ends with the lead; nothing is acknowledged after that.
	ctx context.Context
	end context.CancelFunc
	// ready is closed once the target leads the term and the floor of marks is set.
	ready   chan struct{}
	settled *replica.Settlement
	marks   marks

	mu sync.Mutex // guards the fields below
	// readyAt is zero until ready is closed.
	readyAt time.Time
	// wanted is the newest position that somebody waits for; it never decreases.
	wanted jacinthtiller.Position
	// waits are unsettled positions with the time since when each is waited for, in order.
	waits []waitingSince
	// wakes holds, by replica, a channel of capacity 1 that is full when wanted has grown; a second
	// signal is dropped because the follower reads wanted anew.
	wakes map[string]chan struct{}
	held  bool
	// unsettled has capacity 1 and is full when a commit has begun to wait; a second signal is dropped.
	unsettled chan struct{}
}

type waitingSince struct {
	position jacinthtiller.Position
	since    time.Time
}

func newLead(ctx context.Context, t *target, term uint64, group int) *lead {
	l := &lead{t: t, term: term, group: group, ready: make(chan struct{}), wakes: map[string]chan struct{}{}, unsettled: make(chan struct{}, 1)}
	l.ctx, l.end = context.WithCancel(ctx)
	l.marks.limit = maxGuests
	l.settled = replica.NewSettlement(term, group, t.name)
	return l
}

// begin opens the lead to units. The floor is the target's position after it became primary.
func (l *lead) begin(floor jacinthtiller.Position) {
	l.marks.raise(floor)
	l.t.advance(floor)
	l.settled.Observe(l.t.name, floor)
	l.want(floor)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readyAt.IsZero() {
		l.readyAt = time.Now()
		close(l.ready)
	}
}

func (l *lead) since() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readyAt
}

func (l *lead) over() bool { return l.ctx.Err() != nil }

// valid reports whether an answer may be acknowledged now.
func (l *lead) valid() bool { return !l.over() && l.t.o.leased() }

// follow starts to ask for the position of each replica that is not asked yet.
func (l *lead) follow(replicas []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range replicas {
		if name == l.t.name || l.wakes[name] != nil || l.ctx.Err() != nil {
			continue
		}
		wake := make(chan struct{}, 1)
		l.wakes[name] = wake
		l.t.group.Go(func() { l.chase(name, wake) })
	}
}

// chase keeps at most one wait-position call open to the replica's owner, for the
// newest position wanted. All commits up to that position settle together.
func (l *lead) chase(name string, wake <-chan struct{}) {
	var seen jacinthtiller.Position
	for l.ctx.Err() == nil {
		p := l.newest()
		if l.settled.Settled().Covers(p) || seen.Covers(p) {
			select {
			case <-wake:
			case <-l.ctx.Done():
			}
			continue
		}
		got, err := l.t.o.askPosition(l.ctx, l.t.database, name, p)
		if err != nil {
			_ = pause(l.ctx, positionRetry)
			continue
		}
		seen = got
		l.settled.Observe(name, got)
	}
}

func (l *lead) newest() jacinthtiller.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wanted
}

// want makes the replicas' positions be asked for until p is settled.
func (l *lead) want(p jacinthtiller.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wanted.Covers(p) {
		return
	}
	l.wanted = p
	now := time.Now()
	if n := len(l.waits); n > 0 && now.Sub(l.waits[n-1].since) < holdCheckEvery {
		l.waits[n-1].position = p
	} else {
		l.waits = append(l.waits, waitingSince{position: p, since: now})
	}
	for _, w := range l.wakes {
		select {
		case w <- struct{}{}:
		default:
		}
	}
	select {
	case l.unsettled <- struct{}{}:
	default:
	}
}

// settle waits until a majority has p.
func (l *lead) settle(ctx context.Context, p jacinthtiller.Position) error {
	l.settled.Observe(l.t.name, p)
	if l.settled.Settled().Covers(p) {
		return nil
	}
	l.want(p)
	wait, cancel := context.WithTimeout(l.ctx, settleLimit)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	if err := l.settled.Wait(wait, p); err != nil {
		return fmt.Errorf("settle %v: %w", p, err)
	}
	return nil
}

// watchWrites holds writes in the queue while commits settle too slowly. The age that
// counts is that of the oldest unsettled commit: under a stream of writes the newest is always young.
func (l *lead) watchWrites() {
	for l.ctx.Err() == nil {
		held, changed := l.shouldHold(time.Now())
		if held || changed {
			// Repeated while held, because the end of an earlier lead lets writes go on.
			l.t.gate.HoldWrites(held)
		}
		if changed {
			kind := event.WritesResumed
			if held {
				kind = event.WritesHeld
			}
			l.t.emit(kind, event.Fields{"term": l.term})
		}
		if !l.waiting() {
			select {
			case <-l.unsettled:
			case <-l.ctx.Done():
			}
		}
		_ = pause(l.ctx, holdCheckEvery)
	}
	l.t.gate.HoldWrites(false)
}

// waiting reports whether a commit waits for a majority, or writes are held.
func (l *lead) waiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waits) > 0 || l.held
}

func (l *lead) shouldHold(now time.Time) (held, changed bool) {
	settled := l.settled.Settled()
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.waits) > 0 && settled.Covers(l.waits[0].position) {
		l.waits = l.waits[1:]
	}
	held = len(l.waits) > 0 && now.Sub(l.waits[0].since) > holdWritesAfter
	changed = held != l.held
	l.held = held
	return held, changed
}
