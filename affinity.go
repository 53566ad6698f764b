package jacinthtiller

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AccountShares holds the share of each account of an edition in the sum of all rate limits. It is never modified. The zero
// value is that of an edition without accounts.
type AccountShares struct {
	accounts map[string]Account
	// total is the sum of the rates of all accounts, and unlimited the rate that is assumed for an account without a limit:
	// the largest of the edition.
	total, unlimited float64
}

// AccountShares returns the shares of the edition's accounts.
func (e Edition) AccountShares() AccountShares {
	s := AccountShares{accounts: e.Accounts}
	for _, a := range e.Accounts {
		if a.Limit != nil {
			s.unlimited = max(s.unlimited, a.Limit.PerSecond)
		}
	}
	if s.unlimited == 0 {
		s.unlimited = 1 // no account has a limit above 0: those without one have equal shares
	}
	for _, n := range slices.Sorted(maps.Keys(e.Accounts)) { // the order of a sum of floats determines its last digits
		s.total += s.rate(n)
	}
	return s
}

// Empty reports whether the edition has no accounts.
func (s AccountShares) Empty() bool { return len(s.accounts) == 0 }

func (s AccountShares) rate(account string) float64 {
	a, ok := s.accounts[account]
	switch {
	case !ok:
		return 0
	case a.Limit == nil:
		return s.unlimited
	}
	return a.Limit.PerSecond
}

// Share returns the part of an account in the sum of all limits, between 0 and 1; 0 for an unknown account.
func (s AccountShares) Share(account string) float64 {
	if s.total == 0 {
		return 0
	}
	return s.rate(account) / s.total
}

// AccountRanking orders the gateways of one target for the jobs of accounts as one host uses them. It is never modified.
type AccountRanking struct {
	salt uint64
	// gateways holds the gateways in the order in which they were passed, and host the hash of the name of the host.
	gateways []rankedGateway
	host     uint64
	// self is the index of the host among the gateways; -1 when it is none.
	self int
	// near is the number of gateways that come first for all accounts.
	near int
}

// rankedGateway is a gateway with the hash of its name.
type rankedGateway struct {
	hash uint64
	near bool
}

// RankGateways prepares the ranking of the gateways of the target for the named host. A host that is a gateway itself prefers
// the gateways of its own failure domain: a further hop between failure domains would cost more than a connection. For
// other hosts, all gateways are equal.
func RankGateways(t Target, gateways []Host, host string) AccountRanking {
	r := AccountRanking{
		salt: mixBits(xxhash.Sum64String("connections\x00" + t.Database + "\x00" + t.Name)), host: xxhash.Sum64String(host),
		self: slices.IndexFunc(gateways, func(h Host) bool { return h.Name == host }),
	}
	for _, h := range gateways {
		near := r.self < 0 || h.Domain == gateways[r.self].Domain
		if near {
			r.near++
		}
		r.gateways = append(r.gateways, rankedGateway{hash: xxhash.Sum64String(h.Name), near: near})
	}
	return r
}

// Spread returns the number of gateways to which an account with the share of all limits is bound: as many as it would fill if
// every account used the same part of its limit.
func (r AccountRanking) Spread(share float64) int {
	const roundingError = 1e-9 // of the sum of the limits
	return min(max(1, int(math.Ceil(share*float64(r.near)-roundingError))), r.near)
}

// ranked returns the indexes of the gateways in the account's order, the near ones first.
func (r AccountRanking) ranked(salt uint64) []int {
	out := make([]int, len(r.gateways))
	for i := range out {
		out[i] = i
	}
	slices.SortFunc(out, func(a, b int) int {
		x, y := r.gateways[a], r.gateways[b]
		if x.near != y.near {
			if x.near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(mixBits(x.hash^salt), mixBits(y.hash^salt)), a-b)
	})
	return out
}

// Order returns the indexes of the gateways in the order in which the host uses them for an account with the share of all
// limits. The account is bound to the first gateways of its own order, as many as Spread says and at least the given number. Of
// these, the host begins with itself or else with one that depends on its name; the others are the fallbacks.
func (r AccountRanking) Order(account string, share float64, atLeast int) []int {
	salt := mixBits(r.salt ^ xxhash.Sum64String(account))
	out := r.ranked(salt)
	spread := min(max(r.Spread(share), atLeast), r.near)
	if spread < 2 {
		return out
	}
	first := slices.Index(out[:spread], r.self)
	if first < 0 {
		first = int(mixBits(r.host^salt) % uint64(spread))
	}
	bound := slices.Clone(out[:spread])
	for i := range bound {
		out[i] = bound[(first+i)%spread]
	}
	return out
}
