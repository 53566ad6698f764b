package pool

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/admission"
)

const (
	// fullPause is how long a target that had no free connection is not asked for one.
	fullPause = 40 * time.Millisecond
	// shedPause is how long a target that shed work is passed over by reads that have another choice.
	shedPause = 50 * time.Millisecond
	// lagAge is how long a measured lag counts; after that the target is tried again to find out.
	lagAge = 700 * time.Millisecond
	// inFlightFactor is how many times a target's slots its gateways together may keep in flight: more only moves the
	// queue from the hosts, which order it, to the target, which does not.
	inFlightFactor = 3
	// leastInFlight lets one host use a target whose slots are fewer than its gateways.
	leastInFlight = 2
	// latencyWeight is the weight of a new measurement in the smoothed latency, in percent.
	latencyWeight = 20
	// waysKept bounds the hosts through which a target is tried.
	waysKept = 4
)

// Target is one incarnation of a target as this host sees it. It is safe for concurrent use.
type Target struct {
	p *Pool
	// database and name never change.
	database, name string
	gate           *admission.Gate
	// own is the way of this host's own connections.
	own *way

	mu   sync.Mutex // guards the fields below
	spec jacinthtiller.Target
	// connections is how many connections the target takes from all hosts together; 0 until a view was followed.
	connections int
	// direct is true when this host is a gateway of the target.
	direct bool
	// ways lead through other hosts, the preferred one first: to gateways, or, when this host is one itself, to other
	// gateways that are used while it cannot reach the target.
	ways []*way
	// fair is how many connections the host may keep idle.
	fair int
	// open counts connections, those being opened included.
	open int
	// idle holds connections that no work uses, the one used last at the end.
	idle []*ownConn
	// coldUntil is when the target is warm.
	coldUntil time.Time
	// fullUntil is when the target may be asked for another connection.
	fullUntil time.Time
	// shedUntil is until when reads prefer other targets because this one shed work.
	shedUntil time.Time
	// lagMicroseconds is by how much the target was behind the primary at lagAt; 0 when it was not known to be.
	lagMicroseconds int64
	lagAt           time.Time
	// answeredAt is when the target answered this host's own connections last.
	answeredAt time.Time
	// latency is the smoothed time of one statement in microseconds; 0 before the first.
	latency int64
	// load counts statements of this host in flight and waiting, and room how many may be in flight.
	load, room int
	// seen is the newest log position that the target reported.
	seen    jacinthtiller.Position
	retired bool
}

// newTarget returns a target that is cold until the time; zero when it is not.
func (p *Pool) newTarget(spec jacinthtiller.Target, cold time.Time) *Target {
	t := &Target{
		p: p, database: spec.Database, name: spec.Name, spec: spec, own: &way{}, coldUntil: cold,
		gate: admission.NewGate(
			admission.WithCapacity(queueCapacity), admission.WithForesight(), admission.WithStatementsFirst(),
			admission.WithLog(p.events, spec.Name),
		),
	}
	t.gate.SetWeights(rankWeights())
	return t
}

// follows reports whether the target has taken over the spec and the number of connections already.
func (t *Target) follows(spec jacinthtiller.Target, connections int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connections == connections && t.spec == spec
}

// follow takes over what the view says. Gateways are those of the target.
func (t *Target) follow(spec jacinthtiller.Target, connections int, gateways []jacinthtiller.Host) {
	slots := spec.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	n := max(1, len(gateways))
	direct := len(gateways) == 0 || slices.ContainsFunc(gateways, func(h jacinthtiller.Host) bool { return h.Name == t.p.host })
	t.mu.Lock()
	t.spec, t.connections, t.direct = spec, connections, direct
	t.fair = jacinthtiller.ShareOf(connections, n)
	most := max(t.fair, connections*greedyPercent/100)
	t.ways = t.waysTo(gateways)
	t.room = max(leastInFlight, (inFlightFactor*slots+n-1)/n)
	room := t.room
	t.mu.Unlock()
	t.gate.SetCapacity(room, most)
}

// waysTo returns the ways through the gateways, those that are known already with what is known of them. Each host
// begins at another gateway. t.mu is held.
func (t *Target) waysTo(gateways []jacinthtiller.Host) []*way {
	var out []*way
	start := 0
	if len(gateways) > 0 {
		start = int(t.p.salt % uint64(len(gateways)))
	}
	for i := range gateways {
		h := gateways[(start+i)%len(gateways)]
		if h.Name == t.p.host || h.Link == "" || len(out) == waysKept {
			continue
		}
		w := &way{host: h.Name, address: h.Link}
		for _, old := range t.ways {
			if old.host == h.Name && old.address == h.Link {
				w = old
			}
		}
		out = append(out, w)
	}
	return out
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
	ways := t.ways
	t.mu.Unlock()
	for _, c := range idle {
		t.close(c, "target left the view")
	}
	for _, w := range ways {
		w.closeIdle(time.Time{})
	}
	t.gate.Close()
}

// sweep closes connections that are idle for too long.
func (t *Target) sweep(now time.Time) {
	t.mu.Lock()
	var old []*ownConn
	t.idle = slices.DeleteFunc(t.idle, func(c *ownConn) bool {
		idle := now.Sub(c.idleSince)
		left := t.open - len(old)
		if left > t.fair && idle > surplusIdle || left > 1 && idle > spareIdle || idle > keepIdle {
			old = append(old, c)
			return true
		}
		return false
	})
	ways := t.ways
	t.mu.Unlock()
	for _, c := range old {
		t.close(c, "idle")
	}
	for _, w := range ways {
		w.closeIdle(now.Add(-keepIdle))
	}
}

func (t *Target) close(c *ownConn, reason string) {
	_ = c.tc.Close() // the connection is of no use whatever the result
	t.mu.Lock()
	t.open--
	t.mu.Unlock()
	t.p.metrics.closed(reason)
}

// pick returns the way to use now: the host's own, or the first through another host that works.
func (t *Target) pick(now time.Time) *way {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.retired {
		return nil
	}
	if t.direct && t.own.usable(now) {
		return t.own
	}
	if t.p.relays == nil {
		return nil
	}
	for _, w := range t.ways {
		if w.usable(now) {
			return w
		}
	}
	return nil
}

// Usable reports whether the target may be tried now.
func (t *Target) Usable(now time.Time) bool { return t.pick(now) != nil }

// Relays reports whether this host can run jobs of other hosts on its own connections now.
func (t *Target) Relays(now time.Time) bool { return t.own.usable(now) }

// Direct reports whether this host connects to the target itself.
func (t *Target) Direct() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.direct
}

// FailingSince returns since when this host's own connections to the target fail; zero while they work, and for a host
// that has none.
func (t *Target) FailingSince() time.Time {
	if !t.Direct() {
		return time.Time{}
	}
	return t.own.failing()
}

// Crowded reports whether work of this host waits for room at the target.
func (t *Target) Crowded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load >= t.room
}

// AskPosition asks the target for its log position, past the queue of its work: on one of this host's own connections, or
// through another host.
func (t *Target) AskPosition(deadline time.Time) (jacinthtiller.Position, error) {
	w := t.pick(time.Now())
	if w == nil {
		return jacinthtiller.Position{}, &NoTargetError{Target: t.name, Cause: errLostNow}
	}
	if w != t.own {
		return t.askThrough(w, deadline)
	}
	return t.AskOwnPosition(deadline)
}

// AskOwnPosition is like AskPosition, but uses only this host's own connections.
func (t *Target) AskOwnPosition(deadline time.Time) (jacinthtiller.Position, error) {
	if !t.own.usable(time.Now()) {
		return jacinthtiller.Position{}, &NoTargetError{Target: t.name, Cause: errLostNow}
	}
	c, err := t.connect(deadline)
	if err != nil {
		return jacinthtiller.Position{}, err
	}
	var r jacinthtiller.Reply
	if err = c.tc.Send(deadline, jacinthtiller.Order{Text: t.p.dialect.Status()}); err == nil {
		r, err = c.tc.Receive(deadline)
	}
	if err != nil {
		t.close(c, "no answer to a question")
		return jacinthtiller.Position{}, fmt.Errorf("ask %s for its position: %w", t.name, err)
	}
	t.keep(c)
	return r.Position, nil
}

// askThrough asks the target for its log position through another host.
func (t *Target) askThrough(w *way, deadline time.Time) (jacinthtiller.Position, error) {
	c := w.take()
	var err error
	if c == nil {
		if c, err = t.dialRelay(w, deadline); err != nil {
			return jacinthtiller.Position{}, &NoTargetError{Target: t.name, Cause: err}
		}
	}
	j := jacinthtiller.Job{Order: jacinthtiller.Order{Text: t.p.dialect.Status()}, Question: true, Repeatable: true, Deadline: deadline}
	var r jacinthtiller.Reply
	if err = c.Start(j); err == nil {
		r, err = c.Receive(deadline)
	}
	var notSent *jacinthtiller.NotSentError
	if err != nil && !errors.As(err, &notSent) {
		_ = c.Close() // its answer may still come
		t.suspect(w)
	} else {
		w.put(c)
		t.reached(w)
	}
	if err != nil {
		return jacinthtiller.Position{}, fmt.Errorf("ask %s for its position through %s: %w", t.name, w.host, err)
	}
	return r.Position, nil
}

// Probe tries to connect to the target and reports whether it answered.
func (t *Target) Probe() bool { return t.probe(t.own) }

// refused notes why the target or its gate refused work.
func (t *Target) refused(code jacinthtiller.FailCode) {
	if code != jacinthtiller.FailBusy && code != jacinthtiller.FailConnections {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shedUntil = time.Now().Add(shedPause)
}

// Lags notes by how much the target is behind the primary.
func (t *Target) Lags(lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lagMicroseconds, t.lagAt = lag.Microseconds(), time.Now()
}

// usual returns the usual time of a statement at the target.
func (t *Target) usual() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.latency) * time.Microsecond
}

// answered takes note of an answer.
func (t *Target) answered(r jacinthtiller.Reply, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answeredAt = time.Now()
	if r.Position.Compare(t.seen) > 0 {
		t.seen = r.Position
	}
	if r.Fail != "" {
		return
	}
	us := took.Microseconds()
	if t.latency == 0 {
		t.latency = us
		return
	}
	t.latency += (us - t.latency) * latencyWeight / 100
}

func (t *Target) begun(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load += n
}

// NoTargetError means that the target cannot be had now. Nothing ran.
type NoTargetError struct {
	Target string
	Cause  error
}

// Error names the target and the cause.
func (e *NoTargetError) Error() string { return fmt.Sprintf("no way to %s: %v", e.Target, e.Cause) }

// Unwrap returns the cause.
func (e *NoTargetError) Unwrap() error { return e.Cause }
