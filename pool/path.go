package pool

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// minRetryPause and longestPause bound how long a way that failed is passed over; the pause doubles.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = time.Second
	// recentAnswerAge is how long a target counts as reachable after an answer: one that is overloaded takes no new connections
	// in time, and still works.
	recentAnswerAge = 300 * time.Millisecond
	// maxIdleRelayConns bounds the idle paths through one host to one target.
	maxIdleRelayConns = 8
)

// path is how a target is reached: by this host's own connections, or through another host. It is safe for concurrent use.
type path struct {
	// host and address are empty for the host's own connections.
	host, address string

	mu sync.Mutex // guards the fields below
	// failures counts failed attempts in a row, and retryAt is when the way may be tried again.
	failures int
	retryAt  time.Time
	// failingSince is the time of the first of the failures; zero when the last attempt succeeded.
	failingSince time.Time
	// probing is true while somebody tries the way on a connection of its own.
	probing bool
	// idle holds paths through the host that no work uses, with the time of their last use.
	idle []idleRelayConn
}

type idleRelayConn struct {
	conn  jacinthtiller.RelayConn
	since time.Time
}

func (w *path) usable(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !now.Before(w.retryAt)
}

func (w *path) failureStart() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failingSince
}

// recordSuccess notes that the way led to the target and reports whether it had failed before.
func (w *path) recordSuccess() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	failed := w.failures > 0
	w.failures, w.retryAt, w.failingSince = 0, time.Time{}, time.Time{}
	return failed
}

// recordFailure notes that the way did not lead to the target and reports whether it did before.
func (w *path) recordFailure(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.failures == 0
	if first {
		w.failingSince = now
	}
	w.failures++
	w.retryAt = now.Add(min(maxRetryPause, minRetryPause<<min(w.failures-1, 5)))
	return first
}

// beginProbe reports whether the caller may probe the way; end follows.
func (w *path) beginProbe() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	begun := !w.probing
	w.probing = true
	return begun
}

func (w *path) endProbe() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probing = false
}

// takeIdle returns an idle path; nil when there is none.
func (w *path) takeIdle() jacinthtiller.RelayConn {
	for {
		w.mu.Lock()
		n := len(w.idle)
		if n == 0 {
			w.mu.Unlock()
			return nil
		}
		p := w.idle[n-1]
		w.idle = w.idle[:n-1]
		w.mu.Unlock()
		if time.Since(p.since) > staleCheckAge && p.conn.Stale() {
			_ = p.conn.Close()
			continue
		}
		return p.conn
	}
}

// putIdle keeps a path for other work.
func (w *path) putIdle(c jacinthtiller.RelayConn) {
	w.mu.Lock()
	keep := len(w.idle) < maxIdleRelayConns
	if keep {
		w.idle = append(w.idle, idleRelayConn{conn: c, since: time.Now()})
	}
	w.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// closeIdle closes the paths that were used last before the time; all of them for the zero time.
func (w *path) closeIdle(before time.Time) {
	w.mu.Lock()
	var keep, old []idleRelayConn
	for _, p := range w.idle {
		if before.IsZero() || p.since.Before(before) {
			old = append(old, p)
		} else {
			keep = append(keep, p)
		}
	}
	w.idle = keep
	w.mu.Unlock()
	for _, p := range old {
		_ = p.conn.Close()
	}
}

// recordReachable notes that a way led to the target.
func (t *Target) recordReachable(w *path) {
	if w.recordSuccess() {
		t.p.events.Emit(event.TargetRegained, event.Fields{"database": t.database, "target": t.name, "through": w.host})
	}
}

// recordUnreachable notes that a way did not lead to the target.
func (t *Target) recordUnreachable(w *path, cause error) {
	if w.recordFailure(time.Now()) {
		t.p.events.Emit(event.TargetUnreached, event.Fields{
			"database": t.database, "target": t.name, "through": w.host, "error": cause.Error(),
		})
	}
}

// startProbe tries a way on another connection, unless that is being done already or the target has just answered.
func (t *Target) startProbe(w *path) {
	if w == t.directPath && t.answeredRecently(time.Now()) || !w.beginProbe() {
		return
	}
	t.p.group.Go(func() {
		defer w.endProbe()
		duty.Run(t.p.events, "probe a target", nil, func() { t.probe(w) })
	})
}

// answeredRecently reports whether the target has answered this host's own connections a moment ago.
func (t *Target) answeredRecently(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.answeredAt.Add(recentAnswerAge))
}

// probe opens a connection or a path, keeps it for later work, and reports whether the other end answered.
func (t *Target) probe(w *path) bool {
	deadline := time.Now().Add(dialTimeout)
	if w != t.directPath {
		c, err := t.dialRelay(w, deadline)
		if err != nil {
			return false
		}
		w.putIdle(c)
		return true
	}
	c, err := t.connect(deadline)
	if err != nil {
		f := refusalOf(err)
		return f != nil && f.Code != jacinthtiller.FailWrongTarget
	}
	t.putIdle(c)
	return true
}

// dialRelay opens a path through another host.
func (t *Target) dialRelay(w *path, deadline time.Time) (jacinthtiller.RelayConn, error) {
	ctx, cancel := context.WithDeadline(t.p.ctx, earlier(deadline, time.Now().Add(dialTimeout)))
	defer cancel()
	c, err := t.p.relays.DialRelay(ctx, w.address, t.Spec())
	if err != nil {
		t.recordUnreachable(w, err)
		return nil, err
	}
	t.recordReachable(w)
	return c, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// refusalOf returns the target's refusal in the chain of err, or nil.
func refusalOf(err error) *jacinthtiller.FailError {
	var f *jacinthtiller.FailError
	if errors.As(err, &f) {
		return f
	}
	return nil
}
