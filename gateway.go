package jacinthtiller

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// sharedPercent is the part of a target's connections that the hosts share out; the rest is for control's
	// questions and for hosts that have just started.
	sharedPercent = 85
	// minDirectConnections is how many connections to a target a host needs to do without gateways: one for a transaction that
	// rests, and two for single statements.
	minDirectConnections = 3
	// connectionsPerGateway is how many connections each gateway of a target gets when not every host can have its own.
	connectionsPerGateway = 8
	// minGateways lets statements through while one gateway is lost.
	minGateways = 3
)

// Connections returns how many connections each target of the database takes; 0 when the document does not say.
func (v View) Connections(database string) int {
	if v.Edition == nil {
		return 0
	}
	return v.Edition.Groups[database].Connections
}

// Placement answers which hosts connect to which target. It holds the live hosts of one view in the form in which the
// question is cheap, because every host asks it for every target whenever a host comes or goes. It is never changed.
type Placement struct {
	// hosts are the live hosts in order of names.
	hosts []hashedHost
	// byDomain holds the same hosts by failure domain.
	byDomain map[string][]hashedHost
}

// hashedHost is a host with the hash of its name.
type hashedHost struct {
	host Host
	hash uint64
}

// Placement returns the placement of the view's live hosts.
func (v View) Placement() Placement {
	p := Placement{hosts: make([]hashedHost, 0, len(v.Hosts)), byDomain: map[string][]hashedHost{}}
	for _, name := range slices.Sorted(maps.Keys(v.Hosts)) {
		if h := v.Hosts[name]; !h.Gone {
			hashed := hashedHost{host: h, hash: xxhash.Sum64String(name)}
			p.hosts = append(p.hosts, hashed)
			p.byDomain[h.Domain] = append(p.byDomain[h.Domain], hashed)
		}
	}
	return p
}

// candidates returns the hosts among which the target's gateways are, and how many of them are gateways.
func (p Placement) candidates(t Target, connections int) ([]hashedHost, int) {
	share := connections * sharedPercent / 100
	if len(p.hosts)*minDirectConnections <= share {
		return p.hosts, len(p.hosts)
	}
	list := p.byDomain[t.Domain]
	if len(list) == 0 {
		list = p.hosts
	}
	return list, min(max(minGateways, share/connectionsPerGateway), len(list))
}

// SameGateways reports whether the target has the same gateways at the same addresses in both placements. It may report
// false also when it has.
func (p Placement) SameGateways(other Placement, t Target, connections int) bool {
	mine, n := p.candidates(t, connections)
	theirs, m := other.candidates(t, connections)
	return n == m && slices.EqualFunc(mine, theirs, func(a, b hashedHost) bool {
		return a.host.Name == b.host.Name && a.host.Link == b.host.Link
	})
}

// Gateways returns the hosts that connect to a target of a direct group themselves. All hosts do when the target has
// connections for all of them. Otherwise it is some hosts of the target's own failure domain, the preferred ones first,
// which relay the statements of the others, so that nothing crosses places twice. Every process that has the same view
// gets the same answer.
func (p Placement) Gateways(t Target, connections int) []Host {
	list, n := p.candidates(t, connections)
	// Each target has an order of its own over the hosts, so that the loss of one changes the gateways of few targets.
	return rankHosts(list, xxhash.Sum64String(t.Database+"\x00"+t.Name), n)
}

// Keepers returns n hosts of the failure domain, the preferred ones first, that know for the others how fresh the replicas
// of the database have to be. Every host of the domain gets the same answer, and each database has an order of its own.
func (p Placement) Keepers(domain, database string, n int) []Host {
	return rankHosts(p.byDomain[domain], xxhash.Sum64String(database), n)
}

// Spread returns n live hosts of all failure domains in an order that depends on the name, which is not among them.
func (p Placement) Spread(name string, n int) []Host {
	out := rankHosts(p.hosts, xxhash.Sum64String(name), n+1)
	out = slices.DeleteFunc(out, func(h Host) bool { return h.Name == name })
	return out[:min(n, len(out))]
}

// rankHosts returns n hosts in an order that depends on the salt.
func rankHosts(list []hashedHost, salt uint64, n int) []Host {
	ranking := make([]rankedHost, len(list))
	for i := range list {
		ranking[i] = rankedHost{hash: mixBits(list[i].hash ^ salt), index: i}
	}
	slices.SortFunc(ranking, func(a, b rankedHost) int { return cmp.Or(cmp.Compare(a.hash, b.hash), a.index-b.index) })
	var out []Host
	for _, r := range ranking[:min(n, len(ranking))] {
		out = append(out, list[r.index].host)
	}
	return out
}

// rankedHost is a host's rank at one target; place is its index among the candidates.
type rankedHost struct {
	hash  uint64
	index int
}

// mixBits spreads the differences of two hashes over all bits; it is the finalizer of a 64-bit multiplicative hash.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// ShareOf returns how many of a target's connections each of n hosts may keep.
func ShareOf(connections, n int) int { return max(1, connections*sharedPercent/100/max(1, n)) }
