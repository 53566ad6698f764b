// Package pool holds one host's connections to the targets of direct groups: it
// admits work to each target, opens, reuses and closes connections, notices
// targets that cannot be reached or shed work, and chooses the target of a read.
package pool

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// sweepInterval is the time between looks for idle connections to close.
	sweepInterval = 250 * time.Millisecond
	// surplusIdleTimeout is how long a connection above the host's fair share may stay idle: other hosts may want it.
	surplusIdleTimeout = 500 * time.Millisecond
	// spareIdleTimeout is how long a further connection may stay idle. Those of a host that loses power count at the target
	// until it notices, after 3 s, and keep the host from coming back.
	spareIdleTimeout = 400 * time.Millisecond
	// lastIdleTimeout is how long the last connection may stay idle; targets close theirs after a minute.
	lastIdleTimeout = 40 * time.Second
	// staleCheckAge is the idle time after which a connection is checked for a close by the target before use.
	staleCheckAge = 10 * time.Millisecond
	// dialTimeout bounds the opening of one connection: two round trips between regions and a short wait for a slot.
	dialTimeout = 400 * time.Millisecond
	// maxSharePercent is the part of a target's connections that one host may hold while others do not want them.
	maxSharePercent = 50
	// defaultConnections is used until the document names a target's connections.
	defaultConnections = 30
	// defaultSlots is used for a target that does not say how many statements it runs at a time.
	defaultSlots = 4
	// queueCapacity bounds the work of one host that waits for one target.
	queueCapacity = 2000
)

// Pool holds the targets of all direct groups. It is safe for concurrent use.
type Pool struct {
	dialer  jacinthtiller.TargetDialer
	dialect jacinthtiller.Dialect
	// relays is nil when no other host relays.
	relays jacinthtiller.RelayDialer
	host   string
	// salt makes each host begin at another gateway.
	salt    uint64
	events  *event.Log
	domain  string
	region  string
	regions map[string]string
	group   *conc.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc
	metrics metrics
	// routes holds the routes of the view in force, a map by name that is never changed.
	routes atomic.Value

	mu sync.Mutex // guards the fields below
	// targets holds those that have been asked for, one entry for each incarnation, and only such as the view names.
	targets map[targetKey]*Target
	// view is the newest one, and placement that of its hosts.
	view      jacinthtiller.View
	placement jacinthtiller.Placement
	// coldUntil holds until when targets of the view that have not been asked for are slow after their start.
	coldUntil map[targetKey]time.Time
}

// targetKey names an incarnation of a target, so that connections to a former one are never taken for its successor's.
type targetKey struct {
	database, name, address string
	born                    int64
}

func keyOf(t jacinthtiller.Target) targetKey {
	return targetKey{t.Database, t.Name, t.Address, t.BornMilliseconds}
}

// Option changes a Pool that is being made.
type Option func(*Pool)

// WithPlace sets the failure domain of the host and the regions of all failure domains, by which distances are judged.
func WithPlace(domain string, regions map[string]string) Option {
	return func(p *Pool) { p.domain, p.region, p.regions = domain, regions[domain], regions }
}

// WithHost sets the name of the host, by which views name gateways.
func WithHost(name string) Option {
	return func(p *Pool) { p.host, p.salt = name, xxhash.Sum64String(name) }
}

// WithRelays sets how targets are reached through other hosts.
func WithRelays(d jacinthtiller.RelayDialer) Option { return func(p *Pool) { p.relays = d } }

// WithEvents sets the log of events.
func WithEvents(l *event.Log) Option { return func(p *Pool) { p.events = l } }

// New returns a pool without targets.
func New(d jacinthtiller.TargetDialer, dialect jacinthtiller.Dialect, opts ...Option) *Pool {
	p := &Pool{dialer: d, dialect: dialect, targets: map[targetKey]*Target{}, group: conc.NewWaitGroup(), metrics: newMetrics()}
	for _, o := range opts {
		o(p)
	}
	p.routes.Store(map[string]jacinthtiller.Route{})
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.group.Go(func() { duty.Keep(p.ctx, p.events, "close idle connections", p.sweep) })
	return p
}

// Apply follows a view: targets that it no longer names get no new work, and limits follow the number of hosts. A host
// uses few of the targets of a large deployment; the others cost it nothing but a look.
func (p *Pool) Apply(v jacinthtiller.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	former, hostsChanged := p.placement, !maps.Equal(p.view.Hosts, v.Hosts)
	if hostsChanged {
		p.placement = v.Placement()
	}
	p.view = v
	if v.Edition != nil {
		p.routes.Store(v.Edition.Routes)
	}
	p.updateColdUntil(time.Now())
	for k, t := range p.targets {
		spec, ok := p.specOf(k)
		if !ok {
			delete(p.targets, k)
			t.retire()
			continue
		}
		connections := p.connections(spec.Database)
		if !t.upToDate(spec, connections) || hostsChanged && !p.placement.SameGateways(former, spec, connections) {
			t.update(spec, connections, p.placement.Gateways(spec, connections))
		}
	}
}

// specOf returns the target of the view that has the key.
func (p *Pool) specOf(k targetKey) (jacinthtiller.Target, bool) {
	d := p.view.Databases[k.database]
	spec, ok := d.Targets[k.name]
	return spec, ok && d.Direct && keyOf(spec) == k
}

// connections returns how many connections each target of the database takes from all hosts.
func (p *Pool) connections(database string) int {
	if n := p.view.Connections(database); n > 0 {
		return n
	}
	return defaultConnections
}

// updateColdUntil keeps until when targets are cold, which a report tells as the time that is left.
func (p *Pool) updateColdUntil(now time.Time) {
	former := p.coldUntil
	p.coldUntil = map[targetKey]time.Time{}
	for _, d := range p.view.Databases {
		for _, t := range d.Targets {
			if t.ColdMilliseconds <= 0 {
				continue
			}
			k := keyOf(t)
			until, known := former[k]
			if !known {
				until = now.Add(time.Duration(t.ColdMilliseconds) * time.Millisecond)
			}
			p.coldUntil[k] = until
		}
	}
}

// findOrCreate returns the target as the view names it, and makes it when it is asked for the first time; p.mu is held.
func (p *Pool) findOrCreate(k targetKey) *Target {
	if t := p.targets[k]; t != nil {
		return t
	}
	spec, ok := p.specOf(k)
	if !ok || p.ctx.Err() != nil {
		return nil
	}
	t := p.newTarget(spec, p.coldUntil[k])
	connections := p.connections(spec.Database)
	t.update(spec, connections, p.placement.Gateways(spec, connections))
	p.targets[k] = t
	return t
}

// lowestPriority is the priority from which on routes have the least share of a crowded target.
const lowestPriority = 3

// priorityClass is a priority's name and weight at the gates: all routes of a priority are one team there, in which the guests take
// turns, so that of two equal guests none waits longer because fewer or more use the same route.
type priorityClass struct {
	name   string
	weight int
}

// priorityClasses holds them by priority; each step of priority doubles the share in a crowded target.
var priorityClasses = [lowestPriority + 1]priorityClass{{"priority-0", 8}, {"priority-1", 4}, {"priority-2", 2}, {"priority-3", 1}}

func priorityWeights() map[string]int {
	out := map[string]int{}
	for _, r := range priorityClasses {
		out[r.name] = r.weight
	}
	return out
}

// priorityClassOf returns the rank's name of a route; a route that the view lacks has the lowest.
func (p *Pool) priorityClassOf(route string) string {
	if r, ok := p.routes.Load().(map[string]jacinthtiller.Route)[route]; ok {
		return priorityClasses[min(max(r.Priority, 0), lowestPriority)].name
	}
	return priorityClasses[lowestPriority].name
}

// FindNamed returns a target by its name; nil when the view has none.
func (p *Pool) FindNamed(database, name string) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	spec, ok := p.view.Databases[database].Targets[name]
	if !ok {
		return nil
	}
	return p.findOrCreate(keyOf(spec))
}

// Placement returns that of the newest view.
func (p *Pool) Placement() jacinthtiller.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement
}

// Find returns the target as the view names it; nil when the pool has not applied that view.
func (p *Pool) Find(spec jacinthtiller.Target) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.findOrCreate(keyOf(spec))
}

// FindExisting returns the target as the view names it if it has been asked for, and nil otherwise.
func (p *Pool) FindExisting(spec jacinthtiller.Target) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targets[keyOf(spec)]
}

// IsGateway reports whether this host connects to the target itself, without making it.
func (p *Pool) IsGateway(spec jacinthtiller.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.placement.Gateways(spec, p.connections(spec.Database))
	return len(list) == 0 || slices.ContainsFunc(list, func(h jacinthtiller.Host) bool { return h.Name == p.host })
}

// Targets returns the targets that have been asked for, for dumps.
func (p *Pool) Targets() []*Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*Target, 0, len(p.targets))
	for _, t := range p.targets {
		out = append(out, t)
	}
	return out
}

// sweep closes connections that have been idle for long.
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

// Close closes all connections.
func (p *Pool) Close() {
	p.stop()
	p.mu.Lock()
	for k, t := range p.targets {
		delete(p.targets, k)
		t.retire()
	}
	p.mu.Unlock()
	p.group.Wait()
}

// dial opens a connection before the deadline.
func (p *Pool) dial(spec jacinthtiller.Target, deadline time.Time) (jacinthtiller.TargetConn, error) {
	ctx, cancel := context.WithDeadline(p.ctx, earlier(deadline, time.Now().Add(dialTimeout)))
	defer cancel()
	return p.dialer.Dial(ctx, spec)
}
