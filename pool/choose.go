package pool

import (
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// A target in another failure domain or region must be faster by this much to be chosen. The costs cover the round
	// trip and the load on shared links; a guest does not notice the difference.
	otherDomainCostMicroseconds = 15_000
	otherRegionCostMicroseconds = 60_000
	// unknownLatencyMicroseconds is assumed for a target without a measurement.
	unknownLatencyMicroseconds = 20_000
	// warmupCostPercent is the cost of a target that is warming up, relative to a warm one.
	warmupCostPercent = 200
)

// ReadRequirements restricts and weights the targets of a read.
type ReadRequirements struct {
	// After is the position that the target must hold; zero means any.
	After jacinthtiller.Position
	// AfterReachedAt is when the primary had reached After.
	AfterReachedAt time.Time
	// Tried holds targets on which the read has already failed; they are excluded.
	Tried []*Target
	// PrimaryCostMicroseconds is added to the primary's cost, because only the primary can run writes.
	PrimaryCostMicroseconds int64
}

// Choose returns the target with the lowest expected response time, or nil when none is usable, and how long the caller
// should wait before it sends the read, because the target is behind. The choice depends on the view's database, the
// locations, and the latency, load and lag measured at each target.
func (p *Pool) Choose(d jacinthtiller.Database, r ReadRequirements, now time.Time) (*Target, time.Duration) {
	var best *Target
	var least, wait int64
	for _, spec := range d.Targets {
		if spec.State == jacinthtiller.StateLeaving {
			continue
		}
		t := p.Find(spec)
		if t == nil || slices.Contains(r.Tried, t) {
			continue
		}
		cost, behind, ok := t.cost(r, now)
		if !ok {
			continue
		}
		if spec.Name == d.Primary {
			cost += r.PrimaryCostMicroseconds - behind
			behind = 0
		}
		cost += p.distanceCost(spec.Domain)
		// Ties are broken by name, so that the choice does not depend on the map order.
		if best == nil || cost < least || cost == least && spec.Name < best.name {
			best, least, wait = t, cost, behind
		}
	}
	return best, time.Duration(wait) * time.Microsecond
}

// ReplicasBehind reports whether the database has serving replicas and each that this host can use was last found to be at
// least lag behind the primary.
func (p *Pool) ReplicasBehind(d jacinthtiller.Database, lag time.Duration, now time.Time) bool {
	behind := false
	for _, spec := range d.Targets {
		if spec.Name == d.Primary || spec.State == jacinthtiller.StateLeaving {
			continue
		}
		t := p.FindExisting(spec)
		if t != nil && !t.Usable(now) {
			continue
		}
		if t == nil || !t.behindBy(lag, now) {
			return false
		}
		behind = true
	}
	return behind
}

// distanceCost returns the added cost of a target in the failure domain, in microseconds.
func (p *Pool) distanceCost(domain string) int64 {
	switch {
	case domain == p.domain:
		return 0
	case p.regions[domain] == p.region && p.region != "":
		return otherDomainCostMicroseconds
	}
	return otherRegionCostMicroseconds
}

// cost returns the expected response time of one more statement in microseconds and the part of it that is spent waiting
// for the target to reach the required position. Ok is false when the target is not usable.
func (t *Target) cost(r ReadRequirements, now time.Time) (cost, behind int64, ok bool) {
	if !t.Usable(now) {
		return 0, 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	latency := t.expectedLatency(now)
	// A statement queues behind those that exceed the concurrency limit.
	cost = latency + t.queueCost(latency)
	if now.Before(t.warmupUntil) {
		cost = cost * warmupCostPercent / 100
	}
	if r.After.IsZero() || t.newestPosition.Covers(r.After) || now.Sub(t.lagAt) > maxLagAge {
		return cost, 0, true
	}
	behind = max(0, t.lagMicroseconds-now.Sub(r.AfterReachedAt).Microseconds())
	return cost + behind, behind, true
}
