package replica

import (
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// minUnreachableBackoff and longAvoid bound how long a target that could not be reached is not tried; the time doubles
	// with each failure. It is longer than finding two silent hosts takes, so that a read finds what is left after one try
	// of each. A domain that is reached again serves reads after longAvoid at the latest.
	minUnreachableBackoff = 2 * time.Second
	maxUnreachableBackoff = 8 * time.Second
	// maxSamples bounds the positions of a primary that are kept per database.
	maxSamples = 32
	// minSampleInterval is the time between two samples that are both kept; 32 of them reach back 3 s
	// at the highest rate of questions, and further when there are fewer.
	minSampleInterval = 100 * time.Millisecond
	// minSlowBackoff is how long a replica that did not reach a position in time is not asked to wait
	// again. It doubles with every failure in a row up to longSlow, so that a replica which stays
	// behind delays one read in a hundred and a short stall costs few reads on the primary.
	minSlowBackoff = 50 * time.Millisecond
	maxSlowBackoff = 5 * time.Second
)

// primarySample is a position that a primary had when it was asked at an instant or later.
type primarySample struct {
	requestedAt time.Time
	position    jacinthtiller.Position
}

// targetState is what is targetState of one target.
type targetState struct {
	position jacinthtiller.Position
	// slowUntil is zero once the target has reached the position that it was too slow for.
	slowUntil      time.Time
	missedPosition jacinthtiller.Position
	// misses counts the positions not reached in time since the last one reached.
	misses int
	// avoidUntil is zero once the target has answered; unreachable counts the failures to reach it since then.
	avoidUntil      time.Time
	connectFailures int
	// freshAt is the latest instant of a sample whose position the target covers; it never goes back.
	freshAt time.Time
}

// databaseState is what is known of one database.
type databaseState struct {
	mu sync.Mutex // guards the fields below
	// samples are ordered by instant and by position, at most sampleCount.
	samples []primarySample
	targets map[string]*targetState
}

// Positions is what a host knows of the positions of targets. Positions only
// grow, so what it knows is always a lower bound. It is safe for concurrent use.
type Positions struct {
	mu        sync.RWMutex // guards the map, not the histories
	databases map[string]*databaseState
}

// NewPositions returns Positions that know nothing.
func NewPositions() *Positions { return &Positions{databases: map[string]*databaseState{}} }

func (p *Positions) database(database string) *databaseState {
	p.mu.RLock()
	state := p.databases[database]
	p.mu.RUnlock()
	if state != nil {
		return state
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if state = p.databases[database]; state == nil {
		state = &databaseState{targets: map[string]*targetState{}}
		p.databases[database] = state
	}
	return state
}

// Observe records that a target has reached a position.
func (p *Positions) Observe(database, target string, position jacinthtiller.Position) {
	state := p.database(database)
	state.mu.Lock()
	defer state.mu.Unlock()
	t := state.target(target)
	t.position = t.position.Max(position)
	t.avoidUntil, t.connectFailures = time.Time{}, 0
	if t.position.Covers(t.missedPosition) {
		t.slowUntil, t.misses = time.Time{}, 0
	}
	state.updateFreshness(t)
}

// Primary records the position of the primary when it was asked at an instant:
// data that covers the position is at least as new as that instant.
func (p *Positions) Primary(database string, position jacinthtiller.Position, requestedAt time.Time) {
	state := p.database(database)
	state.mu.Lock()
	defer state.mu.Unlock()
	state.addSample(primarySample{requestedAt: requestedAt, position: position})
	for _, t := range state.targets {
		state.updateFreshness(t)
	}
}

// Behind records that a target did not reach a position in time.
func (p *Positions) Behind(database, target string, wanted jacinthtiller.Position, now time.Time) {
	state := p.database(database)
	state.mu.Lock()
	defer state.mu.Unlock()
	t := state.target(target)
	if t.position.Covers(wanted) || now.Before(t.slowUntil) {
		return // refusals of reads that waited at the same time count once
	}
	t.missedPosition, t.slowUntil = wanted, now.Add(min(minSlowBackoff<<min(t.misses, 10), maxSlowBackoff))
	t.misses++
}

// Unreachable records that a target or its owner could not be reached. Reads are not tried on it for a
// while, because each of them would wait for the same timeout.
func (p *Positions) Unreachable(database, target string, now time.Time) {
	state := p.database(database)
	state.mu.Lock()
	defer state.mu.Unlock()
	t := state.target(target)
	if now.Before(t.avoidUntil) {
		return // failures of reads that waited at the same time count once
	}
	t.avoidUntil = now.Add(min(minUnreachableBackoff<<min(t.connectFailures, 10), maxUnreachableBackoff))
	t.connectFailures++
}

// Needed returns a position such that data which covers it is at least as new as since.
func (p *Positions) Needed(database string, since time.Time) (jacinthtiller.Position, bool) {
	state := p.database(database)
	state.mu.Lock()
	defer state.mu.Unlock()
	for _, s := range state.samples {
		if !s.requestedAt.Before(since) {
			return s.position, true
		}
	}
	return jacinthtiller.Position{}, false
}

// LastPosition returns the newest known position of a target.
func (p *Positions) LastPosition(database, target string) jacinthtiller.Position {
	state := p.database(database)
	state.mu.Lock()
	defer state.mu.Unlock()
	if t := state.targets[target]; t != nil {
		return t.position
	}
	return jacinthtiller.Position{}
}

// FreshAt returns an instant than which the target's data is not older.
func (p *Positions) FreshAt(database, target string) (time.Time, bool) {
	state := p.database(database)
	state.mu.Lock()
	defer state.mu.Unlock()
	if t := state.targets[target]; t != nil {
		return t.freshAt, !t.freshAt.IsZero()
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
	state := p.database(database)
	state.mu.Lock()
	defer state.mu.Unlock()
	for name, t := range d.Targets {
		owner, owned := v.Owner(database, name)
		c := Candidate{
			Name: name, Primary: name == d.Primary, Distance: distance(self, owner),
			Usable: owned && !owner.Gone && !t.Lost && !tried[name] && t.State != jacinthtiller.StateLeaving,
		}
		if s := state.targets[name]; s != nil {
			c.Position, c.FreshAt, c.SlowUntil, c.AvoidUntil = s.position, s.freshAt, s.slowUntil, s.avoidUntil
		}
		out = insertByName(out, c)
	}
	return out
}

func (d *databaseState) target(name string) *targetState {
	t := d.targets[name]
	if t == nil {
		t = &targetState{}
		d.targets[name] = t
	}
	return t
}

// addSample keeps s if it says something new: the samples stay ordered by instant and
// position. The newest sample is replaced while it is nearer than sampleGap to
// the one before it.
func (d *databaseState) addSample(s primarySample) {
	n := len(d.samples)
	if n > 0 {
		last := d.samples[n-1]
		if !s.requestedAt.After(last.requestedAt) || !s.position.Covers(last.position) {
			return
		}
		if n > 1 && last.requestedAt.Sub(d.samples[n-2].requestedAt) < minSampleInterval {
			d.samples[n-1] = s
			return
		}
	}
	if n == maxSamples {
		copy(d.samples, d.samples[1:])
		d.samples = d.samples[:n-1]
	}
	d.samples = append(d.samples, s)
}

func (d *databaseState) updateFreshness(t *targetState) {
	for i := len(d.samples) - 1; i >= 0; i-- {
		if t.position.Covers(d.samples[i].position) {
			if d.samples[i].requestedAt.After(t.freshAt) {
				t.freshAt = d.samples[i].requestedAt
			}
			return
		}
	}
}

// insertByName keeps candidates in the order of their names, so that a decision does
// not depend on the order of a map.
func insertByName(out []Candidate, c Candidate) []Candidate {
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
	return OtherRegion
}
