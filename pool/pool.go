// Package pool holds one host's connections to the targets of direct groups: it
// admits work to each target, opens, reuses and closes connections, notices
// targets that cannot be reached or shed work, and chooses the target of a read.
package pool

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// sweepEvery is the time between looks for idle connections to close.
	sweepEvery = 250 * time.Millisecond
	// surplusIdle is how long a connection above the host's fair share may stay idle: other hosts may want it.
	surplusIdle = 500 * time.Millisecond
	// keepIdle is how long one connection of the fair share may stay idle; targets close theirs after a minute.
	keepIdle = 40 * time.Second
	// hangUpAge is the idle time after which a connection is checked for a close by the target before use.
	hangUpAge = 10 * time.Millisecond
	// dialLimit bounds the opening of one connection: two round trips between regions and a short wait for a slot.
	dialLimit = 400 * time.Millisecond
	// fairPercent is the part of a target's connections that the hosts share out; the rest is for control's
	// questions and for hosts whose number is not known yet.
	fairPercent = 85
	// greedyPercent is the part of a target's connections that one host may hold while others do not want them.
	greedyPercent = 50
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
	events  *event.Log
	domain  string
	region  string
	regions map[string]string
	group   *conc.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc
	metrics metrics

	mu sync.Mutex // guards the fields below
	// targets holds one entry for each incarnation that the view names.
	targets map[targetKey]*Target
}

// targetKey names an incarnation of a target, so that connections to a former one are never taken for its successor's.
type targetKey struct {
	database, name, address string
	born                    int64
}

// Option changes a Pool that is being made.
type Option func(*Pool)

// WithPlace sets the failure domain of the host and the regions of all failure domains, by which distances are judged.
func WithPlace(domain string, regions map[string]string) Option {
	return func(p *Pool) { p.domain, p.region, p.regions = domain, regions[domain], regions }
}

// WithEvents sets the log of events.
func WithEvents(l *event.Log) Option { return func(p *Pool) { p.events = l } }

// New returns a pool without targets.
func New(d jacinthtiller.TargetDialer, opts ...Option) *Pool {
	p := &Pool{dialer: d, targets: map[targetKey]*Target{}, group: conc.NewWaitGroup(), metrics: newMetrics()}
	for _, o := range opts {
		o(p)
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.group.Go(p.sweep)
	return p
}

// Apply follows a view: targets that it no longer names get no new work, and limits follow the number of hosts.
func (p *Pool) Apply(v jacinthtiller.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := 0
	for _, h := range v.Hosts {
		if !h.Gone {
			hosts++
		}
	}
	seen := map[targetKey]bool{}
	for _, d := range v.Databases {
		if !d.Direct {
			continue
		}
		connections := defaultConnections
		if v.Edition != nil {
			if g, ok := v.Edition.Groups[d.Name]; ok && g.Connections > 0 {
				connections = g.Connections
			}
		}
		for _, spec := range d.Targets {
			k := targetKey{d.Name, spec.Name, spec.Address, spec.BornMilliseconds}
			seen[k] = true
			t := p.targets[k]
			if t == nil {
				t = p.newTarget(spec)
				p.targets[k] = t
			}
			t.follow(spec, connections, max(1, hosts))
		}
	}
	for k, t := range p.targets {
		if !seen[k] {
			delete(p.targets, k)
			t.retire()
		}
	}
}

// Find returns the target as the view names it; nil when the pool has not applied that view.
func (p *Pool) Find(spec jacinthtiller.Target) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targets[targetKey{spec.Database, spec.Name, spec.Address, spec.BornMilliseconds}]
}

// Targets returns all targets, for dumps.
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
	ticks := time.NewTicker(sweepEvery)
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
	limit := time.Now().Add(dialLimit)
	if deadline.Before(limit) {
		limit = deadline
	}
	ctx, cancel := context.WithDeadline(p.ctx, limit)
	defer cancel()
	return p.dialer.Dial(ctx, spec)
}

// isRefusal returns the target's refusal in the chain of err, or nil.
func isRefusal(err error) *jacinthtiller.FailError {
	var f *jacinthtiller.FailError
	if errors.As(err, &f) {
		return f
	}
	return nil
}
