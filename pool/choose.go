package pool

import (
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// otherDomainCostMicroseconds and otherRegionCost are what work in another failure domain or region must be faster by before
	// it goes there, in microseconds: the round trip, and the load on links that all share; a guest does not notice
	// the difference.
	otherDomainCostMicroseconds = 15_000
	otherRegionCostMicroseconds = 60_000
	// unknownLatencyMicroseconds is assumed of a target that has not been measured yet, in microseconds.
	unknownLatencyMicroseconds = 20_000
	// coldCostPercent is how much slower a target is assumed to be while it says that it is cold, in percent.
	coldCostPercent = 200
	// shedCostMicroseconds makes reads prefer another target for a moment after it has shed a statement, in microseconds.
	shedCostMicroseconds = 300_000
)

// ReadRequirements says what a read wants.
type ReadRequirements struct {
	// After is the position that the target has to hold; zero means any.
	After jacinthtiller.Position
	// AfterReachedAt is when the primary had that position.
	AfterReachedAt time.Time
	// Tried are targets that have failed the read already; they are not chosen again.
	Tried []*Target
	// PrimaryCostMicroseconds is added to the primary's cost, in microseconds, because writes need it.
	PrimaryCostMicroseconds int64
}

// Choose returns the target with the lowest expected time to answer, or nil when none can be used, and how long the
// caller should wait before it sends the read there, because the target is behind. It decides from the view's database,
// the places and what has been measured at each target.
func (p *Pool) Choose(d jacinthtiller.Database, c ReadRequirements, now time.Time) (*Target, time.Duration) {
	var best *Target
	var least, wait int64
	for _, spec := range d.Targets {
		if spec.State == jacinthtiller.StateLeaving {
			continue
		}
		t := p.Find(spec)
		if t == nil || slices.Contains(c.Tried, t) {
			continue
		}
		cost, behind, ok := t.cost(c, now)
		if !ok {
			continue
		}
		if spec.Name == d.Primary {
			cost += c.PrimaryCostMicroseconds - behind
			behind = 0
		}
		cost += p.distanceCost(spec.Domain)
		// Equal costs go to the lower name, so that the choice does not depend on the order of the map.
		if best == nil || cost < least || cost == least && spec.Name < best.name {
			best, least, wait = t, cost, behind
		}
	}
	return best, time.Duration(wait) * time.Microsecond
}

// distanceCost returns what work at another place costs, in microseconds.
func (p *Pool) distanceCost(domain string) int64 {
	switch {
	case domain == p.domain:
		return 0
	case p.regions[domain] == p.region && p.region != "":
		return otherDomainCostMicroseconds
	}
	return otherRegionCostMicroseconds
}

// cost returns the expected time of one more statement in microseconds, with the part of it that passes until the
// target has the wanted position, and false when the target cannot be used.
func (t *Target) cost(c ReadRequirements, now time.Time) (cost, behind int64, ok bool) {
	if !t.Usable(now) {
		return 0, 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	latency := t.latencyMicroseconds
	if latency == 0 {
		latency = unknownLatencyMicroseconds
	}
	// A statement waits until those before it have left room.
	cost = latency + latency*int64(t.load)/int64(max(1, t.maxInFlight))
	if now.Before(t.coldUntil) {
		cost = cost * coldCostPercent / 100
	}
	if now.Before(t.shedUntil) {
		cost += shedCostMicroseconds
	}
	if c.After.IsZero() || t.newestPosition.Covers(c.After) || now.Sub(t.lagAt) > maxLagAge {
		return cost, 0, true
	}
	behind = max(0, t.lagMicroseconds-now.Sub(c.AfterReachedAt).Microseconds())
	return cost + behind, behind, true
}
