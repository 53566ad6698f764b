package jacinthtiller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// keyDigestBytes is the length of a key digest before encoding. 128 bits rule out collisions among the keys of all accounts.
const keyDigestBytes = 16

// KeyDigest identifies a key of a client account without revealing it.
type KeyDigest string

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:keyDigestBytes]))
}

// Account is a client account. Guests authenticate with one of its keys, and everything that they run counts toward it.
type Account struct {
	Name string `cbor:"name" json:"name"`
	// KeyDigests identifies the account's keys. Keys themselves are secrets and are in no view, log or dump.
	KeyDigests []KeyDigest `cbor:"key-digests,omitempty" json:"-"`
	// Priority orders the accounts of one priority class; 0 is the highest.
	Priority int `cbor:"priority,omitempty" json:"priority,omitempty"`
	// Limit bounds the operations of the account on all hosts together; nil means no limit.
	Limit *RateLimit `cbor:"limit,omitempty" json:"limit,omitempty"`
}

// Equal reports whether all fields of the accounts are equal. With reflect.DeepEqual the comparison of two editions of 10,000
// accounts took twice as long.
func (a Account) Equal(other Account) bool {
	sameLimit := a.Limit == other.Limit || a.Limit != nil && other.Limit != nil && *a.Limit == *other.Limit
	return a.Name == other.Name && a.Priority == other.Priority && sameLimit && slices.Equal(a.KeyDigests, other.KeyDigests)
}

// MarshalJSON returns the account as operators see it: with the number of its keys in place of their digests.
func (a Account) MarshalJSON() ([]byte, error) {
	type fields Account // without this method
	b, err := json.Marshal(struct {
		fields
		Keys int `json:"keys"`
	}{fields(a), len(a.KeyDigests)})
	if err != nil {
		return nil, fmt.Errorf("encode account %q: %w", a.Name, err)
	}
	return b, nil
}

// RateLimit bounds the operations of an account: PerSecond times the length of any period, plus Burst. A single statement
// and a whole transaction are one operation each.
type RateLimit struct {
	PerSecond float64 `cbor:"per-second" json:"per-second"`
	Burst     float64 `cbor:"burst" json:"burst"`
}

// validate returns an error for the first invalid field of an account that is stored under the name. Errors contain no key.
func (a Account) validate(name string) error {
	switch {
	case a.Name == "" || a.Name != name:
		return fmt.Errorf("account %q has no name", a.Name)
	case len(name) > maxNameBytes:
		return fmt.Errorf("account %q has a name of more than %d bytes", name[:maxNameBytes], maxNameBytes)
	case strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) || r == utf8.RuneError }):
		// The name is a field of a line that targets read.
		return fmt.Errorf("account %q has a space, a control character or invalid UTF-8 in its name", name)
	}
	if l := a.Limit; l != nil {
		for field, value := range map[string]float64{"rate": l.PerSecond, "burst": l.Burst} {
			if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
				return fmt.Errorf("account %q has the %s %v, which is not a number of at least 0", name, field, value)
			}
		}
	}
	return nil
}

// validateAccounts returns an error for the first invalid account, or for a key that two accounts share.
func (e Edition) validateAccounts() error {
	owners := map[KeyDigest]string{}
	for _, name := range slices.Sorted(maps.Keys(e.Accounts)) {
		a := e.Accounts[name]
		if err := a.validate(name); err != nil {
			return err
		}
		for _, d := range a.KeyDigests {
			if other, ok := owners[d]; ok && other != name {
				return fmt.Errorf("accounts %q and %q share a key", other, name)
			}
			owners[d] = name
		}
	}
	return nil
}

// AccountsByKey returns the account of each key of the edition.
func (e Edition) AccountsByKey() map[KeyDigest]Account {
	out := map[KeyDigest]Account{}
	for _, a := range e.Accounts {
		for _, d := range a.KeyDigests {
			out[d] = a
		}
	}
	return out
}

// LimitShares is the number of shares into which an account's limit is divided. Each share is administered by another host,
// so that the loss of one administrator leaves the account the rest of its limit.
const LimitShares = 2

// LimitPlacement assigns the shares of the limits of all accounts to hosts. Every host with the same view gets the same
// result. It is never modified.
type LimitPlacement struct {
	// index is the index of the view.
	index uint64
	// hosts holds all hosts of the view, also those whose leases have ended, in no order.
	hosts []limitHost
	// complete is false if the record of a live host lacks what control of this version records.
	complete bool
}

// limitHost is a host that administers shares, or that did so earlier.
type limitHost struct {
	name, address, region string
	hash                  uint64
	changedIndex          uint64
	// eligible is true when the host is live and understands requests for tokens.
	eligible bool
}

// LimitAdministrator is the host that administers a share of an account's limit.
type LimitAdministrator struct {
	// Host is the host's name; empty when the view has no host that can administer the share.
	Host string
	// Address is that of the host's listener for other hosts.
	Address string
	Region  string
	// SinceIndex is the index of a view such that in no view from it up to this one another host administers the share.
	SinceIndex uint64
}

// HostsComplete reports whether all live hosts of the view have a ChangedIndex. A control process of a previous version drops it
// and ServesAccounts from the records that it passes on, so that hosts with the same index may have different placements.
func (v View) HostsComplete() bool {
	for _, h := range v.Hosts {
		if !h.LeaseEnded && h.ChangedIndex == 0 {
			return false
		}
	}
	return true
}

// Size returns the number of hosts of the view, also those whose leases have ended.
func (p LimitPlacement) Size() int { return len(p.hosts) }

// Complete reports whether every host with this view has the same placement.
func (p LimitPlacement) Complete() bool { return p.complete }

// LimitPlacement returns the placement of the limits on the view's hosts.
func (v View) LimitPlacement() LimitPlacement {
	p := LimitPlacement{index: v.Index, hosts: make([]limitHost, 0, len(v.Hosts)), complete: v.HostsComplete()}
	for name, h := range v.Hosts {
		p.hosts = append(p.hosts, limitHost{
			name: name, address: h.Link, region: h.Region, hash: xxhash.Sum64String(name), changedIndex: h.ChangedIndex,
			eligible: !h.LeaseEnded && h.ServesAccounts,
		})
	}
	return p
}

// LimitAdministrators returns the hosts that administer the shares of an account's limit, in order of the shares. The hosts
// are divided among the shares of the account, and the first of its part by rendezvous hashing administers a share, so that
// the loss of one host moves one share only. A share whose part has no host is on the last of all hosts.
//
// A host is the administrator of a share for as long as neither it nor a host of the part that ranks before it has changed,
// because parts and ranks are fixed. SinceIndex follows from the present records alone, whichever views the caller has skipped.
func (p LimitPlacement) LimitAdministrators(account string) [LimitShares]LimitAdministrator {
	var first [LimitShares]limitRank
	var last limitRank
	salt := accountSalt(account)
	for i := range p.hosts {
		if !p.hosts[i].eligible {
			continue
		}
		r := limitRank{hash: mixBits(p.hosts[i].hash ^ salt), host: &p.hosts[i]}
		if f := &first[r.share()]; f.host == nil || r.before(*f) {
			*f = r
		}
		if last.host == nil || last.before(r) {
			last = r
		}
	}
	var out [LimitShares]LimitAdministrator
	if last.host == nil {
		return out
	}
	for k := range out {
		h := first[k].host
		if h == nil {
			h = last.host
		}
		out[k] = LimitAdministrator{Host: h.name, Address: h.address, Region: h.region}
	}
	for i := range p.hosts {
		r := limitRank{hash: mixBits(p.hosts[i].hash ^ salt), host: &p.hosts[i]}
		changed := r.host.changedIndex
		if changed == 0 {
			changed = p.index // unknown; no host can have a lease under a view that is later than this one
		}
		for k := range out {
			if first[k].host == nil || r.share() == k && !first[k].before(r) {
				out[k].SinceIndex = max(out[k].SinceIndex, changed)
			}
		}
	}
	return out
}

// limitRank is the rank of a host for one account.
type limitRank struct {
	hash uint64
	host *limitHost
}

// share returns the share that the host may administer.
func (r limitRank) share() int { return int(r.hash % LimitShares) }

func (r limitRank) before(other limitRank) bool {
	return r.hash < other.hash || r.hash == other.hash && r.host.name < other.host.name
}

// TokenRequest asks the administrator of a share of an account's limit for tokens. One token admits one operation.
type TokenRequest struct {
	Account string
	// Share is the number of the share, from 0 to LimitShares-1.
	Share int
	// Tokens is how many tokens the host wants, at least 1.
	Tokens int
}

// TokenRefusal is why a host grants no tokens, although the share may have some.
type TokenRefusal string

// The reasons of a refusal.
const (
	TokensGranted          TokenRefusal = ""                  // the reply states what the share has
	TokensNotAdministrator TokenRefusal = "not-administrator" // by the host's view, another host administers the share
	TokensNoLease          TokenRefusal = "no-lease"          // the host may have been replaced as the administrator
	TokensHandover         TokenRefusal = "handover"          // the former administrator may still grant tokens
)

// TokenReply answers a TokenRequest.
type TokenReply struct {
	Refusal TokenRefusal
	// Granted is how many tokens the requesting host may use, between 0 and TokenRequest.Tokens.
	Granted int
	// LifetimeMicroseconds is how long the tokens may be used, counted by the requesting host from before it sent the request.
	LifetimeMicroseconds int64
	// RetryAfterMicroseconds is when the share is expected to have tokens for this host again; 0 when it has some left.
	RetryAfterMicroseconds int64
}

// LimitClient asks other hosts for tokens. The address is that of a host's listener for other hosts.
type LimitClient interface {
	RequestTokens(address string, r TokenRequest, deadline time.Time) (TokenReply, error)
}

// LimitSource answers the token requests of other hosts.
type LimitSource interface {
	GrantTokens(r TokenRequest) TokenReply
}

// Limiter enforces the limits of accounts over all hosts.
type Limiter interface {
	// Admit takes a token for one operation of the account. It waits until the deadline for tokens that are on their way or due
	// within a short time, and returns at once when there are none. An account without a limit, or one that the view does not
	// hold, needs no token.
	Admit(account string, deadline time.Time) LimitDecision
}

// LimitDecision is the result of Limiter.Admit.
type LimitDecision struct {
	Admitted bool
	// Exhausted is true when the account has used up its limit, and false when no administrator answered in time.
	Exhausted bool
	// RetryAt is when a refused operation should be tried again; it is spread over the hosts and requests.
	RetryAt time.Time
	// Limit is the limit that decided, and KnownAt when the host last heard from an administrator about the account; KnownAt
	// is zero for an admitted operation, and when the host has not heard from one lately. Times are those of package time.
	Limit   RateLimit
	KnownAt time.Time
}
