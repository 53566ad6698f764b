package pool

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/admission"
)

const (
	// noConnectionPause is how long no connection is opened to a target that refused one because it had none free.
	noConnectionPause = 40 * time.Millisecond
	// maxLagAge is how long a measured lag is used; after it the target is tried again.
	maxLagAge = 700 * time.Millisecond
	// recentLagAge is how long a measured lag counts for ReplicasBehind. A host asks a target that is behind at most every
	// maxLagAge, and less often when it has few reads.
	recentLagAge = 3 * time.Second
	// inFlightFactor limits the statements that a target's gateways keep in flight, as a multiple of its slots. More would
	// only move the queue from the hosts, which put urgent guests and open transactions first, to the target, which does not.
	inFlightFactor = 2
	// minInFlight is the least limit of one host, for targets with fewer slots than gateways.
	minInFlight = 2
	// minLatencyWeightPercent is the least weight of a new measurement in the smoothed latency.
	minLatencyWeightPercent = 20
	// latencyRenewal is the age of the smoothed latency at which a new measurement outweighs it by 63 to 37 percent. In a
	// large deployment a host asks a target once a second or less, and bursts last seconds.
	latencyRenewal = time.Second
	// latencyDecay is the age at which 37 percent are left of what the smoothed latency exceeds the assumed one by, so that a
	// target which was slow is tried again.
	latencyDecay = 2 * time.Second
	// maxRelayPaths bounds the number of relaying hosts that are tried for a target when the edition has no accounts. With
	// accounts, any gateway may be the preferred one of an account.
	maxRelayPaths = 4
)

// Target is one incarnation of a target as this host sees it. It is safe for concurrent use.
type Target struct {
	p *Pool
	// database and name never change.
	database, name string
	gate           *admission.Gate
	directPath     *path
	metrics        targetMetrics
	// learned is nil unless the pool learns capacities.
	learned *learnedLimit

	mu   sync.Mutex // guards the fields below
	spec jacinthtiller.Target
	// inService is false for a target that is leaving, except for a primary that has not been replaced.
	inService bool
	// connections is the target's connection limit over all hosts; 0 until the first update.
	connections int
	// direct is true when this host is a gateway of the target.
	direct bool
	// relayPaths lead through gateways of the target, the preferred one first. A host that is a gateway itself uses them
	// while it cannot reach the target, and for jobs of accounts.
	relayPaths []*path
	affinity   affinity
	// accounts is true when the edition has accounts.
	accounts bool
	// fairShare is how many connections the host may keep idle.
	fairShare int
	// openConns counts connections, including those being opened.
	openConns int
	// openByAccount counts the same connections by account; it has no entries of 0.
	openByAccount map[string]int
	idle          idleConns
	// warmupUntil is when the target's warm-up ends.
	warmupUntil time.Time
	// noConnectionUntil is when a further connection may be opened.
	noConnectionUntil time.Time
	// scarceUntil is until when the target is assumed to have no connection to spare, after it refused one.
	scarceUntil time.Time
	// lagMicroseconds is the target's replication lag measured at lagAt; 0 when unknown.
	lagMicroseconds int64
	lagAt           time.Time
	// answeredAt is when the target last answered.
	answeredAt time.Time
	// latencyMicroseconds is the smoothed duration of one statement, last updated at latencyAt; 0 before the first.
	latencyMicroseconds int64
	latencyAt           time.Time
	// load counts this host's statements that are in flight or queued, and maxInFlight limits those in flight.
	load, maxInFlight int
	// newestPosition is the newest log position that the target has reported.
	newestPosition jacinthtiller.Position
	retired        bool
}

// newTarget returns a target that warms up until warmupUntil; the zero time means that it is warm.
func (p *Pool) newTarget(spec jacinthtiller.Target, warmupUntil time.Time) *Target {
	t := &Target{
		p: p, database: spec.Database, name: spec.Name, spec: spec, directPath: &path{}, warmupUntil: warmupUntil, inService: true,
		openByAccount: map[string]int{}, metrics: p.metrics.forTarget(spec),
		gate: admission.NewGate(
			admission.WithCapacity(queueCapacity), admission.WithEarlyRejection(), admission.WithStatementsFirst(),
			admission.WithTransactionOverflow(),
			admission.WithLog(p.events, spec.Name),
		),
	}
	t.gate.SetWeights(priorityWeights())
	t.learned = t.newLearnedLimit()
	return t
}

// upToDate reports whether the target already has the spec and the connection limit.
func (t *Target) upToDate(spec jacinthtiller.Target, connections int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connections == connections && t.spec == spec
}

// setInService starts or stops new work at the target. Requests that wait in its queue are refused when it stops, so that
// they can run elsewhere; open transactions go on.
func (t *Target) setInService(inService bool) {
	t.mu.Lock()
	changed := t.inService != inService
	t.inService = inService
	t.mu.Unlock()
	switch {
	case !changed:
	case inService:
		t.gate.Undrain()
	default:
		t.gate.Drain()
	}
}

// update sets the spec, limits and paths. Gateways are those of the target, and accounts is whether the edition has accounts.
func (t *Target) update(spec jacinthtiller.Target, connections int, gateways []jacinthtiller.Host, accounts bool) {
	slots := spec.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	n := max(1, len(gateways))
	direct := len(gateways) == 0 || slices.ContainsFunc(gateways, func(h jacinthtiller.Host) bool { return h.Name == t.p.host })
	t.mu.Lock()
	t.spec, t.connections, t.direct, t.accounts = spec, connections, direct, accounts
	t.fairShare = fairShare(connections, n, accounts)
	maxConnections := max(t.fairShare, connections*maxSharePercent/100)
	formerPaths := t.relayPaths
	t.relayPaths = t.relayPathsTo(gateways, accounts)
	paths := t.relayPaths
	t.maxInFlight = max(minInFlight, (inFlightFactor*slots+n-1)/n)
	t.updateAffinity(gateways)
	maxInFlight := t.maxInFlight
	t.mu.Unlock()
	if t.learned != nil {
		t.learned.update(maxInFlight, slots, n, maxConnections)
	} else {
		t.gate.SetCapacity(maxInFlight, maxConnections)
	}
	for _, p := range formerPaths {
		if !slices.Contains(paths, p) {
			p.retire()
		}
	}
}

// relayPathsTo returns the paths through the gateways, at most maxRelayPaths or all, and keeps the state of existing ones. Each
// host starts at another gateway. The caller holds t.mu.
func (t *Target) relayPathsTo(gateways []jacinthtiller.Host, all bool) []*path {
	var out []*path
	first := 0
	if len(gateways) > 0 {
		first = int(t.p.salt % uint64(len(gateways)))
	}
	for i := range gateways {
		h := gateways[(first+i)%len(gateways)]
		if h.Name == t.p.host || h.Link == "" || !all && len(out) == maxRelayPaths {
			continue
		}
		p := &path{host: h.Name, address: h.Link, compress: h.RelayCompression && h.Region != t.p.region}
		for _, old := range t.relayPaths {
			if old.host == p.host && old.address == p.address && old.compress == p.compress {
				p = old
			}
		}
		out = append(out, p)
	}
	return out
}

// Spec returns the target's entry in the view.
func (t *Target) Spec() jacinthtiller.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spec
}

// retire ends new work and closes idle connections; those in use are closed when they are returned. Open transactions go on.
func (t *Target) retire() {
	t.mu.Lock()
	t.retired = true
	idle := t.idle
	t.idle = nil
	paths := t.relayPaths
	t.mu.Unlock()
	for _, c := range idle {
		t.close(c, "target left the view")
	}
	for _, p := range paths {
		p.retire()
	}
	t.gate.Drain()
	t.learned.stop()
}

// sweep closes connections that have exceeded their idle timeout.
func (t *Target) sweep(now time.Time) {
	t.mu.Lock()
	var old []*directConn
	t.idle = slices.DeleteFunc(t.idle, func(c *directConn) bool {
		if t.idleTooLong(c, now.Sub(c.idleSince), t.openConns-len(old)) {
			old = append(old, c)
			return true
		}
		return false
	})
	paths, relayTimeout := t.relayPaths, lastIdleTimeout
	if t.accounts {
		relayTimeout = accountRelayTimeout
	}
	t.mu.Unlock()
	for _, c := range old {
		t.close(c, "idle")
	}
	for _, p := range paths {
		p.closeIdle(now.Add(-relayTimeout))
	}
}

// pickPath returns the direct path if usable, else the first usable relay path, or nil.
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
	for _, p := range t.relayPaths {
		if p.usable(now) {
			return p
		}
	}
	return nil
}

// Usable reports whether there is a usable path to the target.
func (t *Target) Usable(now time.Time) bool { return t.pickPath(now) != nil }

// CanRelay reports whether this host can run jobs of other hosts on direct connections now.
func (t *Target) CanRelay(now time.Time) bool { return t.directPath.usable(now) }

// Direct reports whether this host connects to the target itself.
func (t *Target) Direct() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.direct
}

// FailingSince returns when this host's direct connections to the target began to fail; zero while they work, and for a
// host that is not a gateway.
func (t *Target) FailingSince() time.Time {
	if !t.Direct() {
		return time.Time{}
	}
	return t.directPath.failureStart()
}

// Saturated reports whether further statements of this host would be queued.
func (t *Target) Saturated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if limit := t.learned.value(); limit > 0 && t.direct {
		return float64(t.load) >= limit
	}
	return t.load >= t.maxInFlight
}

// QueryPosition asks the target for its log position, directly or through another host. The query bypasses the queue.
func (t *Target) QueryPosition(deadline time.Time) (jacinthtiller.Position, error) {
	p := t.pickPath(time.Now())
	if p == nil {
		return jacinthtiller.Position{}, &NoTargetError{Target: t.name, Cause: errRecentlyUnreachable}
	}
	if p != t.directPath {
		return t.queryThroughRelay(p, deadline)
	}
	return t.QueryPositionDirect(deadline)
}

// QueryPositionDirect is like QueryPosition, but uses only direct connections.
func (t *Target) QueryPositionDirect(deadline time.Time) (jacinthtiller.Position, error) {
	if !t.directPath.usable(time.Now()) {
		return jacinthtiller.Position{}, &NoTargetError{Target: t.name, Cause: errRecentlyUnreachable}
	}
	c, err := t.connectAny(deadline)
	if err != nil {
		return jacinthtiller.Position{}, err
	}
	r, err := c.queryStatus(deadline)
	if err != nil {
		t.close(c, "no answer to a question")
		return jacinthtiller.Position{}, fmt.Errorf("ask %s for its position: %w", t.name, err)
	}
	t.putBack(c)
	return r.Position, nil
}

// queryThroughRelay asks the target for its log position over a relay path.
func (t *Target) queryThroughRelay(p *path, deadline time.Time) (jacinthtiller.Position, error) {
	c := p.takeIdle()
	var err error
	if c == nil {
		if c, err = t.dialRelay(p, deadline); err != nil {
			return jacinthtiller.Position{}, &NoTargetError{Target: t.name, Cause: err}
		}
	}
	j := jacinthtiller.Job{TargetRequest: jacinthtiller.TargetRequest{Text: t.p.dialect.Status()}, PositionQuery: true, Repeatable: true, Deadline: deadline}
	var r jacinthtiller.Reply
	if err = c.Start(j); err == nil {
		r, err = c.Receive(deadline)
	}
	var notSent *jacinthtiller.NotSentError
	switch {
	case err != nil && !errors.As(err, &notSent):
		_ = c.Close() // a late answer would be taken for that of the next job
		t.startProbe(p)
	case notSent != nil && notSent.TargetUnreachable:
		p.putIdle(c)
		t.recordUnreachable(p, err)
	default:
		p.putIdle(c)
		t.recordReachable(p)
	}
	if err != nil {
		return jacinthtiller.Position{}, fmt.Errorf("ask %s for its position through %s: %w", t.name, p.host, err)
	}
	return r.Position, nil
}

// Probe tries a direct connection to the target and reports whether the target answered.
func (t *Target) Probe() bool { return t.probe(t.directPath) }

// RecordLag stores a measurement of how far the target is behind the primary.
func (t *Target) RecordLag(lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lagMicroseconds, t.lagAt = lag.Microseconds(), time.Now()
}

// behindBy reports whether the target was found to be at least lag behind the primary within recentLagAge.
func (t *Target) behindBy(lag time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lagMicroseconds >= lag.Microseconds() && now.Sub(t.lagAt) <= recentLagAge
}

// usualLatency returns the smoothed duration of a statement at the target.
func (t *Target) usualLatency() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.latencyMicroseconds) * time.Microsecond
}

// recordReply updates the newest position and, on success, the latency.
func (t *Target) recordReply(r jacinthtiller.Reply, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answeredAt = time.Now()
	if r.Position.Compare(t.newestPosition) > 0 {
		t.newestPosition = r.Position
	}
	if r.ErrorCode != "" {
		return
	}
	us := took.Microseconds()
	age := t.answeredAt.Sub(t.latencyAt)
	t.latencyAt = t.answeredAt
	if t.latencyMicroseconds == 0 {
		t.latencyMicroseconds = us
		return
	}
	weight := max(minLatencyWeightPercent, 100-percentLeft(age, latencyRenewal))
	t.latencyMicroseconds += (us - t.latencyMicroseconds) * weight / 100
}

// expectedLatency returns the expected duration of one statement in microseconds. The caller holds t.mu.
func (t *Target) expectedLatency(now time.Time) int64 {
	if t.latencyMicroseconds == 0 {
		return unknownLatencyMicroseconds
	}
	excess := max(0, t.latencyMicroseconds-unknownLatencyMicroseconds)
	return t.latencyMicroseconds - excess + excess*percentLeft(now.Sub(t.latencyAt), latencyDecay)/100
}

// percentLeft returns what is left of 100 after exponential decay with the time constant.
func percentLeft(age, constant time.Duration) int64 {
	return int64(100 * math.Exp(-float64(age)/float64(constant)))
}

func (t *Target) addLoad(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load += n
}

// NoTargetError means that no connection to the target could be opened. Nothing ran.
type NoTargetError struct {
	Target string
	Cause  error
}

// Error names the target and the cause.
func (e *NoTargetError) Error() string { return fmt.Sprintf("no way to %s: %v", e.Target, e.Cause) }

// Unwrap returns the cause.
func (e *NoTargetError) Unwrap() error { return e.Cause }
