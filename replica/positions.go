package replica

import (
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// shortAvoid and longAvoid bound how long a target that could not be reached is not tried; the time doubles
	// with each failure. It is longer than finding two silent hosts takes, so that a read finds what is left after one try
	// of each. A domain that is reached again serves reads after longAvoid at the latest.
	shortAvoid = 2 * time.Second
	longAvoid  = 8 * time.Second
	// sampleCount bounds the positions of a primary that are kept per database.
	sampleCount = 32
	// sampleGap is the time between two samples that are both kept; 32 of them reach back 3 s
	// at the highest rate of questions, and further when there are fewer.
	sampleGap = 100 * time.Millisecond
	// shortSlow is how long a replica that did not reach a position in time is not asked to wait
	// again. It doubles with every failure in a row up to longSlow, so that a replica which stays
	// behind delays one read in a hundred and a short stall costs few reads on the primary.
	shortSlow = 50 * time.Millisecond
	longSlow  = 5 * time.Second
)

// sample is a position that a primary had when it was asked at an instant or later.
type sample struct {
	asked    time.Time
	position jacinthtiller.Position
}

// known is what is known of one target.
type known struct {
	position jacinthtiller.Position
	// slowUntil is zero once the target has reached the position that it was too slow for.
	slowUntil time.Time
	slowFor   jacinthtiller.Position
	// failures counts the positions not reached in time since the last one reached.
	failures int
	// avoidUntil is zero once the target has answered; unreachable counts the failures to reach it since then.
	avoidUntil  time.Time
	unreachable int
	// fresh is the latest instant of a sample whose position the target covers; it never goes back.
	fresh time.Time
}

// history is what is known of one database.
type history struct {
	mu sync.Mutex // guards the fields below
	// samples are ordered by instant and by position, at most sampleCount.
	samples []sample
	targets map[string]*known
}

// Positions is what a host knows of the positions of targets. Positions only
// grow, so what it knows is always a lower bound. It is safe for concurrent use.
type Positions struct {
	mu        sync.RWMutex // guards the map, not the histories
	databases map[string]*history
}

// NewPositions returns Positions that know nothing.
func NewPositions() *Positions { return &Positions{databases: map[string]*history{}} }

func (p *Positions) history(database string) *history {
	p.mu.RLock()
	h := p.databases[database]
	p.mu.RUnlock()
	if h != nil {
		return h
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if h = p.databases[database]; h == nil {
		h = &history{targets: map[string]*known{}}
		p.databases[database] = h
	}
	return h
}

// Observe records that a target has reached a position.
func (p *Positions) Observe(database, target string, at jacinthtiller.Position) {
	h := p.history(database)
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.target(target)
	k.position = k.position.Max(at)
	k.avoidUntil, k.unreachable = time.Time{}, 0
	if k.position.Covers(k.slowFor) {
		k.slowUntil, k.failures = time.Time{}, 0
	}
	h.refresh(k)
}

// Primary records the position of the primary when it was asked at an instant:
// data that covers the position is at least as new as that instant.
func (p *Positions) Primary(database string, at jacinthtiller.Position, asked time.Time) {
	h := p.history(database)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(sample{asked: asked, position: at})
	for _, k := range h.targets {
		h.refresh(k)
	}
}

// Behind records that a target did not reach a position in time.
func (p *Positions) Behind(database, target string, wanted jacinthtiller.Position, now time.Time) {
	h := p.history(database)
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.target(target)
	if k.position.Covers(wanted) || now.Before(k.slowUntil) {
		return // refusals of reads that waited at the same time count once
	}
	k.slowFor, k.slowUntil = wanted, now.Add(min(shortSlow<<min(k.failures, 10), longSlow))
	k.failures++
}

// Unreachable records that a target or its owner could not be reached. Reads are not tried on it for a
// while, because each of them would wait for the same timeout.
func (p *Positions) Unreachable(database, target string, now time.Time) {
	h := p.history(database)
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.target(target)
	if now.Before(k.avoidUntil) {
		return // failures of reads that waited at the same time count once
	}
	k.avoidUntil = now.Add(min(shortAvoid<<min(k.unreachable, 10), longAvoid))
	k.unreachable++
}

// Needed returns a position such that data which covers it is at least as new as since.
func (p *Positions) Needed(database string, since time.Time) (jacinthtiller.Position, bool) {
	h := p.history(database)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.samples {
		if !s.asked.Before(since) {
			return s.position, true
		}
	}
	return jacinthtiller.Position{}, false
}

// Known returns the newest known position of a target.
func (p *Positions) Known(database, target string) jacinthtiller.Position {
	h := p.history(database)
	h.mu.Lock()
	defer h.mu.Unlock()
	if k := h.targets[target]; k != nil {
		return k.position
	}
	return jacinthtiller.Position{}
}

// Fresh returns an instant than which the target's data is not older.
func (p *Positions) Fresh(database, target string) (time.Time, bool) {
	h := p.history(database)
	h.mu.Lock()
	defer h.mu.Unlock()
	if k := h.targets[target]; k != nil {
		return k.fresh, !k.fresh.IsZero()
	}
	return time.Time{}, false
}

// Candidates appends the targets of a database as seen from a host, in the
// order of their names. Targets in tried are not usable.
func (p *Positions) Candidates(out []Candidate, v jacinthtiller.View, self jacinthtiller.Host, database string, tried map[string]bool) []Candidate {
	d, ok := v.Databases[database]
	if !ok {
		return out
	}
	h := p.history(database)
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, t := range d.Targets {
		owner, owned := v.Owner(database, name)
		c := Candidate{
			Name: name, Primary: name == d.Primary, Distance: distance(self, owner),
			Usable: owned && !owner.Gone && !t.Lost && !tried[name] && t.State != jacinthtiller.StateLeaving,
		}
		if k := h.targets[name]; k != nil {
			c.Position, c.Fresh, c.SlowUntil, c.AvoidUntil = k.position, k.fresh, k.slowUntil, k.avoidUntil
		}
		out = insert(out, c)
	}
	return out
}

func (h *history) target(name string) *known {
	k := h.targets[name]
	if k == nil {
		k = &known{}
		h.targets[name] = k
	}
	return k
}

// add keeps s if it says something new: the samples stay ordered by instant and
// position. The newest sample is replaced while it is nearer than sampleGap to
// the one before it.
func (h *history) add(s sample) {
	n := len(h.samples)
	if n > 0 {
		last := h.samples[n-1]
		if !s.asked.After(last.asked) || !s.position.Covers(last.position) {
			return
		}
		if n > 1 && last.asked.Sub(h.samples[n-2].asked) < sampleGap {
			h.samples[n-1] = s
			return
		}
	}
	if n == sampleCount {
		copy(h.samples, h.samples[1:])
		h.samples = h.samples[:n-1]
	}
	h.samples = append(h.samples, s)
}

func (h *history) refresh(k *known) {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if k.position.Covers(h.samples[i].position) {
			if h.samples[i].asked.After(k.fresh) {
				k.fresh = h.samples[i].asked
			}
			return
		}
	}
}

// insert keeps candidates in the order of their names, so that a decision does
// not depend on the order of a map.
func insert(out []Candidate, c Candidate) []Candidate {
	out = append(out, c)
	for i := len(out) - 1; i > 0 && out[i].Name < out[i-1].Name; i-- {
		out[i], out[i-1] = out[i-1], out[i]
	}
	return out
}

func distance(self, owner jacinthtiller.Host) Distance {
	switch {
	case owner.Name == self.Name:
		return SameHost
	case owner.Domain == self.Domain:
		return SameDomain
	case owner.Region == self.Region:
		return SameRegion
	}
	return Elsewhere
}
