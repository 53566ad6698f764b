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
	// noConnectionPause is how long a target that had no free connection is not asked for one.
	noConnectionPause = 40 * time.Millisecond
	// shedPause is how long a target that shed work is passed over by reads that have another choice.
	shedPause = 50 * time.Millisecond
	// maxLagAge is how long a measured lag counts; after that the target is tried again to find out.
	maxLagAge = 700 * time.Millisecond
	// inFlightFactor is how many times a target's slots its gateways together may keep in flight: more only moves the
	// queue from the hosts, which order it, to the target, which does not.
	inFlightFactor = 3
	// minInFlight lets one host use a target whose slots are fewer than its gateways.
	minInFlight = 2
	// latencyWeightPercent is the weight of a new measurement in the smoothed latency, in percent.
	latencyWeightPercent = 20
	// maxRelayPaths bounds the hosts through which a target is tried.
	maxRelayPaths = 4
)

// Target is one incarnation of a target as this host sees it. It is safe for concurrent use.
type Target struct {
	p *Pool
	// database and name never change.
	database, name string
	gate           *admission.Gate
	// directPath is the way of this host's directPath connections.
	directPath *path

	mu   sync.Mutex // guards the fields below
	spec jacinthtiller.Target
	// connections is how many connections the target takes from all hosts together; 0 until a view was followed.
	connections int
	// direct is true when this host is a gateway of the target.
	direct bool
	// relayPaths lead through other hosts, the preferred one first: to gateways, or, when this host is one itself, to other
	// gateways that are used while it cannot reach the target.
	relayPaths []*path
	// fairShare is how many connections the host may keep idle.
	fairShare int
	// openConns counts connections, those being opened included.
	openConns int
	// idle holds connections that no work uses, the one used last at the end.
	idle []*directConn
	// coldUntil is when the target is warm.
	coldUntil time.Time
	// noConnectionUntil is when the target may be asked for another connection.
	noConnectionUntil time.Time
	// shedUntil is until when reads prefer other targets because this one shed work.
	shedUntil time.Time
	// lagMicroseconds is by how much the target was behind the primary at lagAt; 0 when it was not known to be.
	lagMicroseconds int64
	lagAt           time.Time
	// answeredAt is when the target answered this host's own connections last.
	answeredAt time.Time
	// latencyMicroseconds is the smoothed time of one statement in microseconds; 0 before the first.
	latencyMicroseconds int64
	// load counts statements of this host in flight and waiting, and maxInFlight how many may be in flight.
	load, maxInFlight int
	// newestPosition is the newest log position that the target reported.
	newestPosition jacinthtiller.Position
	retired        bool
}

// newTarget returns a target that is cold until the time; zero when it is not.
func (p *Pool) newTarget(spec jacinthtiller.Target, coldUntil time.Time) *Target {
	t := &Target{
		p: p, database: spec.Database, name: spec.Name, spec: spec, directPath: &path{}, coldUntil: coldUntil,
		gate: admission.NewGate(
			admission.WithCapacity(queueCapacity), admission.WithForesight(), admission.WithStatementsFirst(),
			admission.WithLog(p.events, spec.Name),
		),
	}
	t.gate.SetWeights(priorityWeights())
	return t
}

// upToDate reports whether the target has taken over the spec and the number of connections already.
func (t *Target) upToDate(spec jacinthtiller.Target, connections int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connections == connections && t.spec == spec
}

// update takes over what the view says. Gateways are those of the target.
func (t *Target) update(spec jacinthtiller.Target, connections int, gateways []jacinthtiller.Host) {
	slots := spec.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	n := max(1, len(gateways))
	direct := len(gateways) == 0 || slices.ContainsFunc(gateways, func(h jacinthtiller.Host) bool { return h.Name == t.p.host })
	t.mu.Lock()
	t.spec, t.connections, t.direct = spec, connections, direct
	t.fairShare = jacinthtiller.ShareOf(connections, n)
	maxConnections := max(t.fairShare, connections*maxSharePercent/100)
	t.relayPaths = t.relayPathsTo(gateways)
	t.maxInFlight = max(minInFlight, (inFlightFactor*slots+n-1)/n)
	room := t.maxInFlight
	t.mu.Unlock()
	t.gate.SetCapacity(room, maxConnections)
}

// relayPathsTo returns the ways through the gateways, those that are known already with what is known of them. Each host
// begins at another gateway. t.mu is held.
func (t *Target) relayPathsTo(gateways []jacinthtiller.Host) []*path {
	var out []*path
	start := 0
	if len(gateways) > 0 {
		start = int(t.p.salt % uint64(len(gateways)))
	}
	for i := range gateways {
		h := gateways[(start+i)%len(gateways)]
		if h.Name == t.p.host || h.Link == "" || len(out) == maxRelayPaths {
			continue
		}
		w := &path{host: h.Name, address: h.Link}
		for _, old := range t.relayPaths {
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
	ways := t.relayPaths
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
	var old []*directConn
	t.idle = slices.DeleteFunc(t.idle, func(c *directConn) bool {
		idle := now.Sub(c.idleSince)
		left := t.openConns - len(old)
		if left > t.fairShare && idle > surplusIdleTimeout || left > 1 && idle > spareIdleTimeout || idle > lastIdleTimeout {
			old = append(old, c)
			return true
		}
		return false
	})
	ways := t.relayPaths
	t.mu.Unlock()
	for _, c := range old {
		t.close(c, "idle")
	}
	for _, w := range ways {
		w.closeIdle(now.Add(-lastIdleTimeout))
	}
}

func (t *Target) close(c *directConn, reason string) {
	_ = c.tc.Close() // the connection is of no use whatever the result
	t.mu.Lock()
	t.openConns--
	t.mu.Unlock()
	t.p.metrics.closed(reason)
}

// pickPath returns the way to use now: the host's own, or the first through another host that works.
func (t *Target) pickPath(now time.Time) *path {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.retired {
		return nil
	}
	if t.direct && t.directPath.usable(now) {
		return t.directPath
	}
	if t.p.relays == nil {
		return nil
	}
	for _, w := range t.relayPaths {
		if w.usable(now) {
			return w
		}
	}
	return nil
}

// Usable reports whether the target may be tried now.
func (t *Target) Usable(now time.Time) bool { return t.pickPath(now) != nil }

// CanRelay reports whether this host can run jobs of other hosts on its own connections now.
func (t *Target) CanRelay(now time.Time) bool { return t.directPath.usable(now) }

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
	return t.directPath.failureStart()
}

// Saturated reports whether work of this host waits for room at the target.
func (t *Target) Saturated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load >= t.maxInFlight
}

// AskPosition asks the target for its log position, past the queue of its work: on one of this host's own connections, or
// through another host.
func (t *Target) AskPosition(deadline time.Time) (jacinthtiller.Position, error) {
	w := t.pickPath(time.Now())
	if w == nil {
		return jacinthtiller.Position{}, &NoTargetError{Target: t.name, Cause: errRecentlyUnreachable}
	}
	if w != t.directPath {
		return t.askThroughRelay(w, deadline)
	}
	return t.AskPositionDirect(deadline)
}

// AskPositionDirect is like AskPosition, but uses only this host's own connections.
func (t *Target) AskPositionDirect(deadline time.Time) (jacinthtiller.Position, error) {
	if !t.directPath.usable(time.Now()) {
		return jacinthtiller.Position{}, &NoTargetError{Target: t.name, Cause: errRecentlyUnreachable}
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
	t.putIdle(c)
	return r.Position, nil
}

// askThroughRelay asks the target for its log position through another host.
func (t *Target) askThroughRelay(w *path, deadline time.Time) (jacinthtiller.Position, error) {
	c := w.takeIdle()
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
		t.startProbe(w)
	} else {
		w.putIdle(c)
		t.recordReachable(w)
	}
	if err != nil {
		return jacinthtiller.Position{}, fmt.Errorf("ask %s for its position through %s: %w", t.name, w.host, err)
	}
	return r.Position, nil
}

// Probe tries to connect to the target and reports whether it answered.
func (t *Target) Probe() bool { return t.probe(t.directPath) }

// recordShedding notes why the target or its gate recordShedding work.
func (t *Target) recordShedding(code jacinthtiller.FailCode) {
	if code != jacinthtiller.FailBusy && code != jacinthtiller.FailConnections {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shedUntil = time.Now().Add(shedPause)
}

// RecordLag notes by how much the target is behind the primary.
func (t *Target) RecordLag(lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lagMicroseconds, t.lagAt = lag.Microseconds(), time.Now()
}

// usualLatency returns the usualLatency time of a statement at the target.
func (t *Target) usualLatency() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.latencyMicroseconds) * time.Microsecond
}

// recordReply takes note of an answer.
func (t *Target) recordReply(r jacinthtiller.Reply, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answeredAt = time.Now()
	if r.Position.Compare(t.newestPosition) > 0 {
		t.newestPosition = r.Position
	}
	if r.Fail != "" {
		return
	}
	us := took.Microseconds()
	if t.latencyMicroseconds == 0 {
		t.latencyMicroseconds = us
		return
	}
	t.latencyMicroseconds += (us - t.latencyMicroseconds) * latencyWeightPercent / 100
}

func (t *Target) addLoad(n int) {
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
