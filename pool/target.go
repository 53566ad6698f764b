package pool

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/admission"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// fullPause is how long a target that had no free connection is not asked for one.
	fullPause = 40 * time.Millisecond
	// firstPause and longestPause bound how long a target that could not be reached is passed over; the pause doubles.
	firstPause   = 100 * time.Millisecond
	longestPause = time.Second
	// shedPause is how long a target that shed work is passed over by reads that have another choice.
	shedPause = 50 * time.Millisecond
	// inFlightFactor is how many times a target's slots the hosts together may keep in flight: more only moves the
	// queue from the hosts, which order it, to the target, which does not.
	inFlightFactor = 3
	// leastInFlight lets one host use a target whose slots are fewer than the hosts.
	leastInFlight = 2
	// latencyWeight is the weight of a new measurement in the smoothed latency, in percent.
	latencyWeight = 20
	// statementsKept bounds the prepared statements of one connection, after which it is reset.
	statementsKept = 200
)

// Target is one incarnation of a target as this host sees it. It is safe for concurrent use.
type Target struct {
	p    *Pool
	gate *admission.Gate

	mu   sync.Mutex // guards the fields below
	spec jacinthtiller.Target
	// fair is how many connections the host may keep idle.
	fair int
	// open counts connections, those being opened included.
	open int
	// idle holds connections that no work uses, the one used last at the end.
	idle []*Conn
	// coldUntil is when the target is warm.
	coldUntil time.Time
	// failures counts failed attempts in a row to reach the target, and retryAt is when it may be tried again.
	failures int
	retryAt  time.Time
	// failingSince is the time of the first of the failures; zero when the last attempt succeeded.
	failingSince time.Time
	// fullUntil is when the target may be asked for another connection.
	fullUntil time.Time
	// shedUntil is until when reads prefer other targets because this one shed work.
	shedUntil time.Time
	// latency is the smoothed time of one statement in microseconds; 0 before the first.
	latency int64
	// running counts statements in flight from this host.
	running int
	// seen is the newest log position that the target reported.
	seen    jacinthtiller.Position
	retired bool
	// probing is true while somebody tries the target on a connection of its own.
	probing bool
}

func (p *Pool) newTarget(spec jacinthtiller.Target) *Target {
	t := &Target{
		p: p, spec: spec,
		gate: admission.NewGate(admission.WithCapacity(queueCapacity), admission.WithLog(p.events, spec.Name)),
	}
	if spec.ColdMilliseconds > 0 {
		t.coldUntil = time.Now().Add(time.Duration(spec.ColdMilliseconds) * time.Millisecond)
	}
	return t
}

// follow takes over what the view says.
func (t *Target) follow(spec jacinthtiller.Target, connections, hosts int) {
	slots := spec.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	t.mu.Lock()
	t.spec = spec
	t.fair = max(1, connections*fairPercent/100/hosts)
	most := max(t.fair, connections*greedyPercent/100)
	t.mu.Unlock()
	t.gate.SetCapacity(max(leastInFlight, (inFlightFactor*slots+hosts-1)/hosts), most)
}

// Spec returns the target as the view names it.
func (t *Target) Spec() jacinthtiller.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spec
}

// retire closes idle connections; those in use are closed when they are given back.
func (t *Target) retire() {
	t.mu.Lock()
	t.retired = true
	idle := t.idle
	t.idle = nil
	t.mu.Unlock()
	for _, c := range idle {
		t.close(c, "target left the view")
	}
	t.gate.Close()
}

// sweep closes connections that are idle for too long.
func (t *Target) sweep(now time.Time) {
	t.mu.Lock()
	var old []*Conn
	t.idle = slices.DeleteFunc(t.idle, func(c *Conn) bool {
		idle := now.Sub(c.idleSince)
		surplus := t.open-len(old) > t.fair && idle > surplusIdle
		if surplus || idle > keepIdle {
			old = append(old, c)
			return true
		}
		return false
	})
	t.mu.Unlock()
	for _, c := range old {
		t.close(c, "idle")
	}
}

func (t *Target) close(c *Conn, reason string) {
	_ = c.conn.Close() // the connection is of no use whatever the result
	t.mu.Lock()
	t.open--
	t.mu.Unlock()
	t.p.metrics.closed(reason)
}

// Work is what is to run on a target.
type Work struct {
	// Route and Guest are for a fair share among those who wait.
	Route, Guest string
	// Opens is true when the work keeps its connection, as a transaction does.
	Opens bool
	// Deadline is when the caller gives up.
	Deadline time.Time
}

// Conn is a connection in use. It is used by one goroutine at a time.
type Conn struct {
	t     *Target
	conn  jacinthtiller.TargetConn
	grant *admission.Grant
	// values and statements are what the target holds for this connection.
	values     map[string]string
	statements map[string]bool
	// dirty is true when values or statements are not certain, so that a reset must come first.
	dirty     bool
	idleSince time.Time
	sentAt    time.Time
	// reused is true when the connection was idle before this use.
	reused bool
}

// ErrNoTarget means that no connection to the target can be had now; nothing ran.
type ErrNoTarget struct {
	Target string
	Cause  error
}

// Error names the target and the cause.
func (e *ErrNoTarget) Error() string {
	return fmt.Sprintf("no connection to %s: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrNoTarget) Unwrap() error { return e.Cause }

// Get waits for the target to have room and returns a connection. The first statement on it may run at once; Done
// ends it. Errors prove that nothing ran.
func (t *Target) Get(w Work) (*Conn, error) {
	g, err := t.gate.Acquire(context.Background(), admission.Request{
		Team: w.Route, Guest: w.Guest, Opens: w.Opens, Deadline: w.Deadline,
	})
	if err != nil {
		return nil, &ErrNoTarget{Target: t.spec.Name, Cause: err}
	}
	c, err := t.connect(w.Deadline)
	if err != nil {
		g.Done(false)
		return nil, &ErrNoTarget{Target: t.spec.Name, Cause: err}
	}
	c.grant = g
	t.mu.Lock()
	t.running++
	t.mu.Unlock()
	return c, nil
}

// connect returns an idle connection or opens one.
func (t *Target) connect(deadline time.Time) (*Conn, error) {
	for {
		t.mu.Lock()
		n := len(t.idle)
		if n == 0 {
			break
		}
		c := t.idle[n-1]
		t.idle = t.idle[:n-1]
		t.mu.Unlock()
		if time.Since(c.idleSince) > hangUpAge && c.conn.Stale() {
			t.close(c, "closed by target")
			continue
		}
		c.reused = true
		return c, nil
	}
	now := time.Now()
	if t.retired || now.Before(t.fullUntil) {
		t.mu.Unlock()
		return nil, &jacinthtiller.FailError{Code: jacinthtiller.FailConnections, Text: "no free connection a moment ago"}
	}
	t.open++
	spec := t.spec
	t.mu.Unlock()
	conn, err := t.p.dial(spec, deadline)
	if err != nil {
		t.mu.Lock()
		t.open--
		t.mu.Unlock()
		t.dialFailed(err)
		return nil, err
	}
	t.p.metrics.opened()
	t.reached()
	return &Conn{t: t, conn: conn, values: map[string]string{}, statements: map[string]bool{}}, nil
}

// dialFailed notes why a connection could not be opened.
func (t *Target) dialFailed(err error) {
	if f := isRefusal(err); f != nil && f.Code != jacinthtiller.FailWrongTarget {
		t.mu.Lock()
		t.fullUntil = time.Now().Add(fullPause)
		t.mu.Unlock()
		t.reached()
		return
	}
	t.Unreached(err)
}

// reached notes that the target answered.
func (t *Target) reached() {
	t.mu.Lock()
	failed := t.failures > 0
	t.failures, t.retryAt, t.failingSince = 0, time.Time{}, time.Time{}
	t.mu.Unlock()
	if failed {
		t.p.events.Emit(event.TargetRegained, event.Fields{"database": t.spec.Database, "target": t.spec.Name})
	}
}

// Unreached notes that the target could not be reached or did not answer.
func (t *Target) Unreached(cause error) {
	now := time.Now()
	t.mu.Lock()
	if t.failures == 0 {
		t.failingSince = now
	}
	first := t.failures == 0
	t.failures++
	pause := min(longestPause, firstPause<<min(t.failures-1, 5))
	t.retryAt = now.Add(pause)
	t.mu.Unlock()
	if first {
		t.p.events.Emit(event.TargetUnreached, event.Fields{
			"database": t.spec.Database, "target": t.spec.Name, "error": cause.Error(),
		})
	}
}

// FailingSince returns since when the target has not been reached; zero when it was reached last time.
func (t *Target) FailingSince() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failingSince
}

// Usable reports whether the target may be tried now.
func (t *Target) Usable(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.retired && !now.Before(t.retryAt)
}

// Shed notes that the target refused work because it had too much.
func (t *Target) Shed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shedUntil = time.Now().Add(shedPause)
}

// Seen returns the newest log position that the target reported.
func (t *Target) Seen() jacinthtiller.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seen
}

// Probe opens a connection to the target, keeps it for later work, and reports whether the target answered.
func (t *Target) Probe() bool {
	c, err := t.connect(time.Now().Add(dialLimit))
	if err != nil {
		return isRefusal(err) != nil && isRefusal(err).Code != jacinthtiller.FailWrongTarget
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.retired {
		_ = c.conn.Close()
		t.open--
		return true
	}
	c.idleSince = time.Now()
	t.idle = append(t.idle, c)
	return true
}

// BeginProbe reports whether the caller may probe the target; EndProbe follows.
func (t *Target) BeginProbe() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	begun := !t.probing
	t.probing = true
	return begun
}

// EndProbe follows BeginProbe.
func (t *Target) EndProbe() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.probing = false
}
