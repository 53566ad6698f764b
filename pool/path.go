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
	// A path that failed is not used for minRetryPause; the pause doubles with each failure up to maxRetryPause.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = time.Second
	// recentAnswerAge is how long a target counts as reachable after an answer. An overloaded target may not accept new
	// connections in time, but still answers on open ones.
	recentAnswerAge = 300 * time.Millisecond
	// maxIdleRelayConns bounds the idle connections through one host to one target.
	maxIdleRelayConns = 8
)

// path is how a target is reached: by direct connections of this host, or through a relaying host. It is safe for
// concurrent use.
type path struct {
	// host and address are those of the relaying host; empty for the direct path.
	host, address string
	// compress is true when the relaying host is in another region and understands compressed frames. Bytes between regions
	// cost more than the processor time that compression takes.
	compress bool

	mu sync.Mutex // guards the fields below
	// failures counts consecutive failed attempts, and retryAt is when the path may be tried again.
	failures int
	retryAt  time.Time
	// failingSince is the time of the first of these failures; zero when the last attempt succeeded.
	failingSince time.Time
	// probing is true while a probe of the path runs.
	probing bool
	// retired is true when the target no longer uses the path, which then keeps no connections.
	retired bool
	// idle holds unused connections through the relaying host, with the time of their last use.
	idle []idleRelayConn
}

type idleRelayConn struct {
	conn  jacinthtiller.RelayConn
	since time.Time
}

func (p *path) usable(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.retryAt)
}

func (p *path) failureStart() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failingSince
}

// recordSuccess resets the failure count and reports whether the path was failing.
func (p *path) recordSuccess() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	failed := p.failures > 0
	p.failures, p.retryAt, p.failingSince = 0, time.Time{}, time.Time{}
	return failed
}

// recordFailure counts a failed attempt, sets the retry time and reports whether it is the first failure in a row.
func (p *path) recordFailure(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.failures == 0
	if first {
		p.failingSince = now
	}
	p.failures++
	p.retryAt = now.Add(min(maxRetryPause, minRetryPause<<min(p.failures-1, 5)))
	return first
}

// beginProbe reports whether the caller may probe the path; if so, endProbe must follow.
func (p *path) beginProbe() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	started := !p.probing
	p.probing = true
	return started
}

func (p *path) endProbe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing = false
}

// takeIdle returns an idle connection, or nil.
func (p *path) takeIdle() jacinthtiller.RelayConn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if time.Since(c.since) > staleCheckAge && c.conn.Unusable() {
			_ = c.conn.Close()
			continue
		}
		return c.conn
	}
}

// putIdle makes a connection idle, or closes it when there are enough or the path is retired.
func (p *path) putIdle(c jacinthtiller.RelayConn) {
	p.mu.Lock()
	keep := !p.retired && len(p.idle) < maxIdleRelayConns
	if keep {
		p.idle = append(p.idle, idleRelayConn{conn: c, since: time.Now()})
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// closeIdle closes the connections that were last used before the time; all of them for the zero time.
func (p *path) closeIdle(before time.Time) {
	p.mu.Lock()
	var keep, old []idleRelayConn
	for _, c := range p.idle {
		if before.IsZero() || c.since.Before(before) {
			old = append(old, c)
		} else {
			keep = append(keep, c)
		}
	}
	p.idle = keep
	p.mu.Unlock()
	for _, c := range old {
		_ = c.conn.Close()
	}
}

// retire closes the idle connections, and those in use once they are returned.
func (p *path) retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.closeIdle(time.Time{})
}

func (t *Target) recordReachable(p *path) {
	if p.recordSuccess() {
		t.p.events.Emit(event.TargetRegained, event.Fields{"database": t.database, "target": t.name, "through": p.host})
	}
}

func (t *Target) recordUnreachable(p *path, cause error) {
	if p.recordFailure(time.Now()) {
		t.p.events.Emit(event.TargetUnreached, event.Fields{
			"database": t.database, "target": t.name, "through": p.host, "error": cause.Error(),
		})
	}
}

// startProbe probes a path in the background, unless a probe is running or the target has just answered.
func (t *Target) startProbe(p *path) {
	if p == t.directPath && t.answeredRecently(time.Now()) || !p.beginProbe() {
		return
	}
	if !t.p.group.Go(func() {
		defer p.endProbe()
		duty.Run(t.p.events, "probe a target", nil, func() { t.probe(p) })
	}) {
		p.endProbe()
	}
}

// answeredRecently reports whether the target has answered within recentAnswerAge.
func (t *Target) answeredRecently(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.answeredAt.Add(recentAnswerAge))
}

// probe opens a connection on the path or takes an idle one, makes it idle, and reports whether the other end answered.
func (t *Target) probe(p *path) bool {
	deadline := time.Now().Add(dialTimeout)
	if p != t.directPath {
		c, err := t.dialRelay(p, deadline)
		if err != nil {
			return false
		}
		p.putIdle(c)
		return true
	}
	for {
		c, err := t.connectAny(deadline)
		if err != nil {
			refusal := refusalOf(err)
			return refusal != nil && refusal.Code != jacinthtiller.ErrorCodeWrongTarget
		}
		if c.account == "" {
			t.putBack(c)
			return true
		}
		if answered, known := t.checkIdle(c, deadline); known {
			return answered
		}
	}
}

// dialRelay opens a connection to the target through the path's host.
func (t *Target) dialRelay(p *path, deadline time.Time) (jacinthtiller.RelayConn, error) {
	ctx, cancel := context.WithDeadline(t.p.ctx, earlier(deadline, time.Now().Add(dialTimeout)))
	defer cancel()
	c, err := t.p.relays.DialRelay(ctx, p.address, t.Spec(), p.compress)
	if err != nil {
		t.recordUnreachable(p, err)
		return nil, err
	}
	t.recordReachable(p)
	return &relayConn{RelayConn: c, forget: context.AfterFunc(t.p.ctx, func() { _ = c.Close() })}, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// refusalOf returns the *TargetError in the chain of err, or nil.
func refusalOf(err error) *jacinthtiller.TargetError {
	var f *jacinthtiller.TargetError
	if errors.As(err, &f) {
		return f
	}
	return nil
}
