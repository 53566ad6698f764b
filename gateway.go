package jacinthtiller

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// fairPercent is the part of a target's connections that the hosts share out; the rest is for control's
	// questions and for hosts that have just started.
	fairPercent = 85
	// leastShare is how many connections to a target a host needs to do without gateways: one for a transaction that
	// rests, and two for single statements.
	leastShare = 3
	// gatewayShare is how many connections each gateway of a target gets when not every host can have its own.
	gatewayShare = 8
	// leastGateways lets statements through while one gateway is lost.
	leastGateways = 3
)

// Connections returns how many connections each target of the database takes; 0 when the document does not say.
func (v View) Connections(database string) int {
	if v.Edition == nil {
		return 0
	}
	return v.Edition.Groups[database].Connections
}

// Gateways returns the hosts that connect to a target of a direct group themselves, the preferred ones first. All hosts
// do when the target has connections for all of them. Otherwise it is some hosts of the target's own failure domain,
// which relay the statements of the others, so that nothing crosses places twice. Every process that has the same view
// gets the same answer.
func (v View) Gateways(t Target, connections int) []Host {
	var hosts []Host
	for _, h := range v.Hosts {
		if !h.Gone {
			hosts = append(hosts, h)
		}
	}
	share := connections * fairPercent / 100
	score := func(h Host) uint64 { return xxhash.Sum64String(h.Name + "\x00" + t.Database + "\x00" + t.Name) }
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(
			-cmp.Compare(same(a.Domain, t.Domain), same(b.Domain, t.Domain)),
			cmp.Compare(score(a), score(b)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	if len(hosts)*leastShare <= share || len(hosts) == 0 {
		return hosts
	}
	n := min(max(leastGateways, share/gatewayShare), len(hosts))
	near := 0
	for _, h := range hosts {
		near += same(h.Domain, t.Domain)
	}
	if near > 0 {
		n = min(n, near)
	}
	return hosts[:n]
}

// ShareOf returns how many of a target's connections each of n hosts may keep.
func ShareOf(connections, n int) int { return max(1, connections*fairPercent/100/max(1, n)) }

func same(a, b string) int {
	if a == b {
		return 1
	}
	return 0
}
