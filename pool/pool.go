// Package pool manages one host's connections to the targets of direct groups: it
// admits work to each target, opens, reuses and closes connections, detects
// targets that are unreachable, and chooses the target of a read.
package pool

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// sweepInterval is the time between two sweeps of idle connections.
	sweepInterval = 250 * time.Millisecond
	// surplusIdleTimeout is the idle timeout of connections above the host's fair share, which other hosts may need.
	surplusIdleTimeout = 500 * time.Millisecond
	// spareIdleTimeout is the idle timeout of all connections but the last. The connections of a host that loses power
	// count at the target until it notices, after 3 s, and keep the host from reconnecting.
	spareIdleTimeout = 400 * time.Millisecond
	// lastIdleTimeout is the idle timeout of the last connection; targets close idle connections after a minute.
	lastIdleTimeout = 40 * time.Second
	// staleCheckAge is the idle time after which a connection through another host is checked for a close before it is reused.
	staleCheckAge = 10 * time.Millisecond
	// dialTimeout bounds one connection attempt: two round trips between regions and a short wait for a slot.
	dialTimeout = 400 * time.Millisecond
	// maxSharePercent is the part of a target's connections that one host may hold while others do not need them.
	maxSharePercent = 50
	// defaultConnections is used until the document sets a target's connection limit.
	defaultConnections = 30
	// defaultSlots is used for a target that does not report how many statements it runs concurrently.
	defaultSlots = 4
	// queueCapacity bounds the number of jobs of one host that wait for one target.
	queueCapacity = 2000
)

// Pool holds the targets of all direct groups. It is safe for concurrent use.
type Pool struct {
	dialer  jacinthtiller.TargetDialer
	dialect jacinthtiller.Dialect
	// relays is nil when targets are not reached through other hosts.
	relays jacinthtiller.RelayDialer
	host   string
	// salt makes each host start at another gateway.
	salt    uint64
	events  *event.Log
	domain  string
	region  string
	regions map[string]string
	group   duty.Group
	ctx     context.Context
	stop    context.CancelFunc
	metrics metrics
	// learnsCapacity is true with WithLearnedCapacity, and stopObserving ends its metric then.
	learnsCapacity bool
	stopObserving  func()
	// routes holds the routes of the current view, an immutable map by name.
	routes atomic.Value
	// shares holds the jacinthtiller.AccountShares of the current view.
	shares atomic.Value
	// liveHosts is the number of live hosts in the current view.
	liveHosts atomic.Int64

	mu sync.Mutex // guards the fields below
	// targets holds the targets of the view that have been requested, one entry per incarnation.
	targets map[targetKey]*Target
	// view is the current view, and placement that of its hosts.
	view      jacinthtiller.View
	placement jacinthtiller.Placement
	// warmupUntil holds when each target of the view that is warming up will have warmed up.
	warmupUntil map[targetKey]time.Time
}

// targetKey identifies an incarnation of a target, so that connections to an earlier one are not used for its successor.
type targetKey struct {
	database, name, address string
	startedMilliseconds     int64
}

func keyOf(t jacinthtiller.Target) targetKey {
	return targetKey{t.Database, t.Name, t.Address, t.StartedMilliseconds}
}

// Option configures a Pool.
type Option func(*Pool)

// WithLocation sets the failure domain of the host and the regions of all failure domains, which determine distance costs.
func WithLocation(domain string, regions map[string]string) Option {
	return func(p *Pool) { p.domain, p.region, p.regions = domain, regions[domain], regions }
}

// WithHost sets the name of the host in views.
func WithHost(name string) Option {
	return func(p *Pool) { p.host, p.salt = name, xxhash.Sum64String(name) }
}

// WithRelays sets how targets are reached through other hosts.
func WithRelays(d jacinthtiller.RelayDialer) Option { return func(p *Pool) { p.relays = d } }

// WithEvents sets the log of events.
func WithEvents(l *event.Log) Option { return func(p *Pool) { p.events = l } }

// New returns a pool without targets.
func New(d jacinthtiller.TargetDialer, dialect jacinthtiller.Dialect, opts ...Option) *Pool {
	p := &Pool{dialer: d, dialect: dialect, targets: map[targetKey]*Target{}, metrics: newMetrics()}
	for _, o := range opts {
		o(p)
	}
	p.routes.Store(map[string]jacinthtiller.Route{})
	p.shares.Store(jacinthtiller.AccountShares{})
	p.ctx, p.stop = context.WithCancel(context.Background())
	if p.learnsCapacity {
		p.stopObserving = p.observeLimits()
	}
	p.group.Go(func() { duty.RunWithRestart(p.ctx, p.events, "close idle connections", p.sweep) })
	return p
}

// Apply puts a view in force: it retires targets that the view lacks and adapts limits to the number of hosts. A host uses
// few of the targets of a large deployment; the others cost only a lookup.
func (p *Pool) Apply(v jacinthtiller.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous, hostsChanged, accountsChanged := p.placement, !maps.Equal(p.view.Hosts, v.Hosts), false
	if v.Edition != nil && v.Edition != p.view.Edition {
		shares := v.Edition.AccountShares()
		accountsChanged = shares.Empty() != p.accountShares().Empty()
		p.shares.Store(shares)
	}
	if hostsChanged {
		p.placement = v.Placement()
		p.liveHosts.Store(int64(p.placement.Size()))
	}
	p.view = v
	if v.Edition != nil {
		p.routes.Store(v.Edition.Routes)
	}
	p.updateWarmupUntil(time.Now())
	for k, t := range p.targets {
		spec, ok := p.specOf(k)
		if !ok {
			delete(p.targets, k)
			t.retire()
			continue
		}
		connections := p.connections(spec.Database)
		if !t.upToDate(spec, connections) || accountsChanged || hostsChanged && !p.placement.SameGateways(previous, spec, connections) {
			t.update(spec, connections, p.placement.Gateways(spec, connections), !p.accountShares().Empty())
		}
		t.setInService(p.inService(spec))
	}
}

// accountShares returns the shares of the accounts in the current view.
func (p *Pool) accountShares() jacinthtiller.AccountShares {
	s, _ := p.shares.Load().(jacinthtiller.AccountShares)
	return s
}

// inService reports whether the view lets the target take new work.
func (p *Pool) inService(spec jacinthtiller.Target) bool {
	return spec.State != jacinthtiller.StateLeaving || p.view.Databases[spec.Database].Primary == spec.Name
}

// specOf returns the target that has the key in the current view.
func (p *Pool) specOf(k targetKey) (jacinthtiller.Target, bool) {
	d := p.view.Databases[k.database]
	spec, ok := d.Targets[k.name]
	return spec, ok && d.Direct && keyOf(spec) == k
}

// connections returns the connection limit of each target of the database, over all hosts.
func (p *Pool) connections(database string) int {
	if n := p.view.Connections(database); n > 0 {
		return n
	}
	return defaultConnections
}

// updateWarmupUntil sets warmupUntil for targets whose warm-up the view shows for the first time.
func (p *Pool) updateWarmupUntil(now time.Time) {
	previous := p.warmupUntil
	p.warmupUntil = map[targetKey]time.Time{}
	for _, d := range p.view.Databases {
		for _, t := range d.Targets {
			if t.WarmupMilliseconds <= 0 {
				continue
			}
			k := keyOf(t)
			until, known := previous[k]
			if !known {
				until = now.Add(time.Duration(t.WarmupMilliseconds) * time.Millisecond)
			}
			p.warmupUntil[k] = until
		}
	}
}

// findOrCreate returns the target with the key, and nil when the view does not name it. The caller holds p.mu.
func (p *Pool) findOrCreate(k targetKey) *Target {
	if t := p.targets[k]; t != nil {
		return t
	}
	spec, ok := p.specOf(k)
	if !ok || p.ctx.Err() != nil {
		return nil
	}
	t := p.newTarget(spec, p.warmupUntil[k])
	connections := p.connections(spec.Database)
	t.update(spec, connections, p.placement.Gateways(spec, connections), !p.accountShares().Empty())
	t.setInService(p.inService(spec))
	p.targets[k] = t
	return t
}

// lowestPriority is the priority from which on routes get the smallest share of a saturated target.
const lowestPriority = 3

// priorityClass is a priority's name and weight at the gates. All routes of a priority are one team there and its guests
// take turns, so that the number of guests on a route does not affect how long each of them waits.
type priorityClass struct {
	name   string
	weight int
}

// priorityClasses is indexed by priority; each step doubles the share of a saturated target.
var priorityClasses = [lowestPriority + 1]priorityClass{{"priority-0", 8}, {"priority-1", 4}, {"priority-2", 2}, {"priority-3", 1}}

func priorityWeights() map[string]int {
	out := map[string]int{}
	for _, r := range priorityClasses {
		out[r.name] = r.weight
	}
	return out
}

// priorityClassOf returns the name of a route's priority class; an unknown route has the lowest.
func (p *Pool) priorityClassOf(route string) string {
	if r, ok := p.routes.Load().(map[string]jacinthtiller.Route)[route]; ok {
		return priorityClasses[min(max(r.Priority, 0), lowestPriority)].name
	}
	return priorityClasses[lowestPriority].name
}

// FindNamed returns the target with the name, created on first use; nil when the view has none.
func (p *Pool) FindNamed(database, name string) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	spec, ok := p.view.Databases[database].Targets[name]
	if !ok {
		return nil
	}
	return p.findOrCreate(keyOf(spec))
}

// Placement returns the placement of the current view.
func (p *Pool) Placement() jacinthtiller.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement
}

// Find returns the target for a spec, created on first use; nil when the current view lacks it.
func (p *Pool) Find(spec jacinthtiller.Target) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.findOrCreate(keyOf(spec))
}

// FindExisting returns the target for a spec if it has been created, and nil otherwise.
func (p *Pool) FindExisting(spec jacinthtiller.Target) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targets[keyOf(spec)]
}

// IsGateway reports whether this host connects to the target itself. It does not create the target.
func (p *Pool) IsGateway(spec jacinthtiller.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.placement.Gateways(spec, p.connections(spec.Database))
	return len(list) == 0 || slices.ContainsFunc(list, func(h jacinthtiller.Host) bool { return h.Name == p.host })
}

// Targets returns the targets that have been created.
func (p *Pool) Targets() []*Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*Target, 0, len(p.targets))
	for _, t := range p.targets {
		out = append(out, t)
	}
	return out
}

// sweep closes connections that have exceeded their idle timeout.
func (p *Pool) sweep() {
	ticks := time.NewTicker(sweepInterval)
	defer ticks.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case now := <-ticks.C:
			for _, t := range p.Targets() {
				t.sweep(now)
			}
		}
	}
}

// Close retires all targets and closes their connections, also those with a request under way, whose answer would come after
// the end of the process.
func (p *Pool) Close() {
	p.stop()
	if p.stopObserving != nil {
		p.stopObserving()
	}
	p.mu.Lock()
	for k, t := range p.targets {
		delete(p.targets, k)
		t.retire()
		t.gate.Close()
	}
	p.mu.Unlock()
	p.group.Close()
}

// dial opens a connection for the account before the deadline, within dialTimeout.
func (p *Pool) dial(spec jacinthtiller.Target, account string, deadline time.Time) (jacinthtiller.TargetConn, error) {
	ctx, cancel := context.WithDeadline(p.ctx, earlier(deadline, time.Now().Add(dialTimeout)))
	defer cancel()
	c, err := p.dialer.Dial(ctx, spec, account)
	if err != nil {
		return nil, err
	}
	return &targetConn{TargetConn: c, forget: context.AfterFunc(p.ctx, func() { _ = c.Close() })}, nil
}

// targetConn is a connection to a target that closes with the pool.
type targetConn struct {
	jacinthtiller.TargetConn
	forget func() bool
}

// Close closes the connection.
func (c *targetConn) Close() error {
	c.forget()
	return c.TargetConn.Close()
}

// relayConn is a connection through another host that closes with the pool.
type relayConn struct {
	jacinthtiller.RelayConn
	forget func() bool
}

// Close closes the connection.
func (c *relayConn) Close() error {
	c.forget()
	return c.RelayConn.Close()
}
