package replica

import (
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// minUnreachableBackoff and maxUnreachableBackoff bound how long an unreachable target is not tried; the time doubles
	// with each failure. It is longer than the timeouts of two unresponsive hosts, so that a read tries each of them once
	// and then finds a reachable target. A failure domain that recovers serves reads within maxUnreachableBackoff.
	minUnreachableBackoff = 2 * time.Second
	maxUnreachableBackoff = 8 * time.Second
	// maxSamples bounds the kept positions of a primary per database.
	maxSamples = 32
	// minSampleInterval is the least time between two kept samples; maxSamples of them cover 3 s
	// at the highest rate of requests, and more at lower rates.
	minSampleInterval = 100 * time.Millisecond
	// minSlowBackoff is how long reads do not wait for a replica that did not reach a position in
	// time. It doubles with every consecutive failure up to maxSlowBackoff, so that a replica that
	// stays behind delays one read in a hundred and a short stall sends few reads to the primary.
	minSlowBackoff = 50 * time.Millisecond
	maxSlowBackoff = 5 * time.Second
)

// primarySample is a position that a primary had at requestedAt or later.
type primarySample struct {
	requestedAt time.Time
	position    jacinthtiller.Position
}

// targetState is what is known about one target.
type targetState struct {
	position jacinthtiller.Position
	// slowUntil is zero once the target has reached missedPosition, the position that it did not reach in time.
	slowUntil      time.Time
	missedPosition jacinthtiller.Position
	// misses counts the consecutive positions not reached in time.
	misses int
	// avoidUntil is zero once the target has answered; connectFailures counts the failures to reach it since then.
	avoidUntil      time.Time
	connectFailures int
	// freshAt is the latest time of a sample whose position the target covers; it never decreases.
	freshAt time.Time
}

// databaseState is what is known about one database.
type databaseState struct {
	mu sync.Mutex // guards the fields below
	// samples are ordered by time and by position; there are at most maxSamples.
	samples []primarySample
	targets map[string]*targetState
}

// Positions records the positions of targets known to a host. Positions only grow,
// so each recorded position is a lower bound. Positions is safe for concurrent use.
type Positions struct {
	mu        sync.RWMutex // guards the map, not its values
	databases map[string]*databaseState
}

// NewPositions returns empty Positions.
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

// RecordPosition records that a target has reached a position.
func (p *Positions) RecordPosition(database, target string, position jacinthtiller.Position) {
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

// RecordPrimaryPosition records the position of the primary in the response to a request sent at
// requestedAt: data that covers the position is at least as new as that time.
func (p *Positions) RecordPrimaryPosition(database string, position jacinthtiller.Position, requestedAt time.Time) {
	state := p.database(database)
	state.mu.Lock()
	defer state.mu.Unlock()
	state.addSample(primarySample{requestedAt: requestedAt, position: position})
	for _, t := range state.targets {
		state.updateFreshness(t)
	}
}

// RecordBehind records that a target did not reach the wanted position in time.
func (p *Positions) RecordBehind(database, target string, wanted jacinthtiller.Position, now time.Time) {
	state := p.database(database)
	state.mu.Lock()
	defer state.mu.Unlock()
	t := state.target(target)
	if t.position.Covers(wanted) || now.Before(t.slowUntil) {
		return // failures of reads that waited at the same time count once
	}
	t.missedPosition, t.slowUntil = wanted, now.Add(min(minSlowBackoff<<min(t.misses, 10), maxSlowBackoff))
	t.misses++
}

// RecordUnreachable records that a target or its owner could not be reached. The target is not tried for
// some time, because each read would wait for the same timeout.
func (p *Positions) RecordUnreachable(database, target string, now time.Time) {
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

// PositionSince returns the lowest recorded position of the primary such that data that covers it is at least
// as new as since, and false if none is recorded.
func (p *Positions) PositionSince(database string, since time.Time) (jacinthtiller.Position, bool) {
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

// FreshAt returns a time such that the target's data is at least as new as that time, and false if none is known.
func (p *Positions) FreshAt(database, target string) (time.Time, bool) {
	state := p.database(database)
	state.mu.Lock()
	defer state.mu.Unlock()
	if t := state.targets[target]; t != nil {
		return t.freshAt, !t.freshAt.IsZero()
	}
	return time.Time{}, false
}

// Candidates appends the targets of a database as seen from the host self, in the
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
			Usable: owned && !owner.LeaseEnded && !t.Lost && !tried[name] && t.State != jacinthtiller.StateLeaving,
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

// addSample adds s unless it breaks the order of the samples by time and position. The
// newest sample is replaced if it is less than minSampleInterval after the one before
// it.
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

// insertByName inserts a candidate in the order of the names, so that a decision does
// not depend on the iteration order of a map.
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
