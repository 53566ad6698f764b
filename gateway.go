package jacinthtiller

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// sharedPercent is the percentage of a target's connections that is divided among the hosts; the rest is for queries
	// of the control group and for hosts that have just started.
	sharedPercent = 85
	// minDirectConnections is the number of connections to a target that a host needs to work without gateways: one for an
	// idle transaction and two for single statements.
	minDirectConnections = 3
	// connectionsPerGateway is the number of connections per gateway when not every host can connect to the target itself.
	connectionsPerGateway = 8
	// minGateways keeps a target reachable when one gateway is lost.
	minGateways = 3
)

// Connections returns the number of connections that each target of the database accepts; 0 when the document has none.
func (v View) Connections(database string) int {
	if v.Edition == nil {
		return 0
	}
	return v.Edition.Groups[database].Connections
}

// Placement decides which hosts connect to which target. It holds the live hosts of one view, prepared for cheap lookups,
// because every host looks up every target whenever a host is added or lost. It is never modified.
type Placement struct {
	// hosts holds the live hosts in order of their names.
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
		if h := v.Hosts[name]; !h.LeaseEnded {
			hashed := hashedHost{host: h, hash: xxhash.Sum64String(name)}
			p.hosts = append(p.hosts, hashed)
			p.byDomain[h.Domain] = append(p.byDomain[h.Domain], hashed)
		}
	}
	return p
}

// Size returns the number of live hosts.
func (p Placement) Size() int { return len(p.hosts) }

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

// SameGateways reports whether the target has the same gateways at the same addresses in both placements. It may return
// false although they are the same.
func (p Placement) SameGateways(other Placement, t Target, connections int) bool {
	mine, n := p.candidates(t, connections)
	theirs, m := other.candidates(t, connections)
	return n == m && slices.EqualFunc(mine, theirs, func(a, b hashedHost) bool {
		return a.host.Name == b.host.Name && a.host.Link == b.host.Link && a.host.ServesAccounts == b.host.ServesAccounts
	})
}

// Gateways returns the hosts that connect to a target of a direct group themselves, in order of preference. All hosts do
// when the target has enough connections. Otherwise some hosts of the target's own failure domain do, or of all domains if
// its own has no host. They relay the statements of the others, so that no statement crosses failure domains twice. Every
// process with the same view gets the same result.
func (p Placement) Gateways(t Target, connections int) []Host {
	list, n := p.candidates(t, connections)
	// Each target has its own order of the hosts, so that the loss of one host changes the gateways of few targets.
	return rankHosts(list, xxhash.Sum64String(t.Database+"\x00"+t.Name), n)
}

// FreshnessKeepers returns n hosts of the failure domain, in order of preference, that track for the others the positions
// that replicas of the database must have reached. Every host of the domain gets the same result, and each database has
// its own order.
func (p Placement) FreshnessKeepers(domain, database string, n int) []Host {
	return rankHosts(p.byDomain[domain], xxhash.Sum64String(database), n)
}

// accountSalt returns the salt under which the hosts of an account are ranked.
func accountSalt(account string) uint64 { return xxhash.Sum64String("account\x00" + account) }

// SampleHosts returns up to n live hosts of all failure domains, without the named one, in an order that depends on the
// name.
func (p Placement) SampleHosts(name string, n int) []Host {
	out := rankHosts(p.hosts, xxhash.Sum64String(name), n+1)
	out = slices.DeleteFunc(out, func(h Host) bool { return h.Name == name })
	return out[:min(n, len(out))]
}

// rankHosts returns up to n hosts in an order that depends on the salt (rendezvous hashing).
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

// rankedHost is the rank of a host under one salt; index is its index in the list of hosts.
type rankedHost struct {
	hash  uint64
	index int
}

// mixBits makes every bit of x affect all bits of the result; it is the 64-bit finalizer of MurmurHash3.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// ConnectionsPerHost returns how many of a target's connections each of n hosts may open.
func ConnectionsPerHost(connections, n int) int {
	return max(1, connections*sharedPercent/100/max(1, n))
}
