package account

import (
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// maxTokensPerRequest bounds a request; a host that runs 3,100 operations a second uses 930 tokens in their lifetime.
	maxTokensPerRequest = 4096
	// minTurnInterval is the shortest time between the turns that an empty share gives to the hosts that it refuses, so that
	// these ask it at most 500 times a second.
	minTurnInterval = 2 * time.Millisecond
	// maxTurnDelay is the longest wait for a turn. Hosts beyond it are spread over the half before it. With more than
	// maxTurnDelay / minTurnInterval = 1,000 hosts the requests of refused hosts grow with the number of hosts.
	maxTurnDelay = 2 * time.Second
	// transientRetryDelay and its half more are when a host asks again that was refused because of a change of the
	// administrator or its lease, which takes some tenths of a second.
	transientRetryDelay = 100 * time.Millisecond
	// bucketRetention is how long the bucket of an account without a limit is kept. Later the limit may start with a full one,
	// because the last operations under it are outside of every window.
	bucketRetention = time.Hour
	// recentGain is how long after it came to this host a share that is used for the first time is logged as gained.
	recentGain = 10 * time.Second
	// maxSettlements bounds administrator.settlements. Without the oldest one, a share that is that old counts as held since
	// the next one.
	maxSettlements = 64
)

// administrator grants the tokens of the shares that a host administers. It is not safe for concurrent use and reads no
// clock.
type administrator struct {
	self      string
	allowance Allowance
	// spread returns a random duration below its argument.
	spread func(time.Duration) time.Duration

	placement jacinthtiller.LimitPlacement
	accounts  map[string]jacinthtiller.Account
	lease     jacinthtiller.Lease
	// settlements holds when the settled index reached its values, in ascending order of both.
	settlements []settlement
	// buckets holds the shares that were used lately. A share without a bucket has all tokens that it can have.
	buckets map[shareKey]*bucket
	// gained counts the shares that came to this host, and lost those that it no longer administers, since the last sweep.
	gained, lost shareChanges
}

type settlement struct {
	index uint64
	at    time.Time
}

type shareKey struct {
	account string
	share   int
}

// bucket is a token bucket. It holds tokens at the time at.
type bucket struct {
	tokens float64
	at     time.Time
	// admin is the administrator by the view in force, and since its SinceIndex when the bucket was created.
	admin jacinthtiller.LimitAdministrator
	since uint64
	// turn is the last turn that was given to a refused host.
	turn time.Time
	// grantedAt is when tokens were last granted; zero before.
	grantedAt time.Time
}

func newAdministrator(self string, a Allowance, spread func(time.Duration) time.Duration) *administrator {
	return &administrator{self: self, allowance: a, spread: spread, buckets: map[shareKey]*bucket{}}
}

// apply puts a view in force. Buckets get the new rates and capacities from now on.
func (a *administrator) apply(v jacinthtiller.View, p jacinthtiller.LimitPlacement, now time.Time) {
	for k, b := range a.buckets {
		if l := a.accounts[k.account].Limit; l != nil {
			b.fill(shareRate(*l), a.allowance.shareCapacity(*l), now)
		}
	}
	a.placement, a.accounts = p, nil
	if v.Edition != nil {
		a.accounts = v.Edition.Accounts
	}
	for k, b := range a.buckets {
		// The bucket of an account that has left the edition, or has no limit now, stays for the case that it comes back.
		b.admin = p.LimitAdministrators(k.account)[k.share]
		if l := a.accounts[k.account].Limit; l != nil {
			b.tokens = min(b.tokens, a.allowance.shareCapacity(*l))
		}
		if b.admin.Host != a.self {
			a.lost.add(k.account)
			delete(a.buckets, k)
		}
	}
}

// setLease replaces the lease.
func (a *administrator) setLease(l jacinthtiller.Lease, now time.Time) {
	a.lease = l
	if n := len(a.settlements); n == 0 || l.SettledIndex > a.settlements[n-1].index {
		a.settlements = append(a.settlements, settlement{index: l.SettledIndex, at: now})
		if len(a.settlements) > maxSettlements {
			a.settlements = append([]settlement(nil), a.settlements[len(a.settlements)-maxSettlements:]...)
		}
	}
}

// settledAt returns since when no other host can have granted tokens of a share that this host administers since the index.
func (a *administrator) settledAt(index uint64) (time.Time, bool) {
	for _, s := range a.settlements {
		if s.index >= index && s.index > 0 {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// grant answers a request for tokens.
func (a *administrator) grant(r jacinthtiller.TokenRequest, now time.Time) jacinthtiller.TokenReply {
	l := a.accounts[r.Account].Limit
	if l == nil || r.Share < 0 || r.Share >= jacinthtiller.LimitShares {
		return a.refuse(jacinthtiller.TokensNotAdministrator)
	}
	k := shareKey{account: r.Account, share: r.Share}
	b := a.buckets[k]
	var admin jacinthtiller.LimitAdministrator
	if b != nil {
		admin = b.admin
	} else {
		admin = a.placement.LimitAdministrators(r.Account)[r.Share]
	}
	if admin.Host != a.self {
		return a.refuse(jacinthtiller.TokensNotAdministrator)
	}
	if !a.lease.Valid(now) {
		return a.refuse(jacinthtiller.TokensNoLease)
	}
	settledAt, ok := a.settledAt(admin.SinceIndex)
	if !ok || !a.placement.Complete() {
		return a.refuse(jacinthtiller.TokensHandover)
	}
	rate, capacity := shareRate(*l), a.allowance.shareCapacity(*l)
	if b == nil || admin.SinceIndex > b.since {
		// The share was empty when it came to this host: its former administrator may have granted all tokens until then.
		b = &bucket{at: settledAt, admin: admin, since: admin.SinceIndex}
		a.buckets[k] = b
		if now.Sub(settledAt) < recentGain {
			a.gained.add(r.Account)
		}
	}
	b.fill(rate, capacity, now)
	reply := jacinthtiller.TokenReply{LifetimeMicroseconds: a.allowance.lifetime().Microseconds()}
	wanted := min(max(r.Tokens, 1), maxTokensPerRequest)
	if rate == 0 {
		reply.RetryAfterMicroseconds = (maxTurnDelay/2 + a.spread(maxTurnDelay/2)).Microseconds()
		return reply
	}
	reply.Granted = int(min(b.tokens, float64(wanted)))
	if reply.Granted > 0 {
		b.grantedAt = now
	}
	b.tokens -= float64(reply.Granted)
	if missing := wanted - reply.Granted; missing > 0 {
		reply.RetryAfterMicroseconds = max(1, a.retryDelay(b, rate, missing, now).Microseconds())
	}
	return reply
}

// retryDelay gives a host that lacks tokens its turn: after the turns of the hosts that were refused before it, in the time
// in which the shares together get what they lacked, because a refused host asks the other share meanwhile.
func (a *administrator) retryDelay(b *bucket, rate float64, missing int, now time.Time) time.Duration {
	first := now.Add(seconds((1 - b.tokens) / rate)) // when the share has a token again
	step := max(minTurnInterval, min(maxTurnDelay, seconds(float64(missing)/rate/jacinthtiller.LimitShares)))
	turn := b.turn.Add(step)
	if turn.Before(first) {
		turn = first
	}
	latest := now.Add(maxTurnDelay)
	if latest.Before(first) {
		latest = first
	}
	if turn.After(latest) {
		b.turn = latest
		return latest.Sub(now)/2 + a.spread(latest.Sub(now)/2)
	}
	b.turn = turn
	return turn.Sub(now)
}

func (a *administrator) refuse(reason jacinthtiller.TokenRefusal) jacinthtiller.TokenReply {
	delay := transientRetryDelay + a.spread(transientRetryDelay/2)
	return jacinthtiller.TokenReply{Refusal: reason, RetryAfterMicroseconds: delay.Microseconds()}
}

// fill adds the tokens of the time since the last call.
func (b *bucket) fill(rate, capacity float64, now time.Time) {
	if now.After(b.at) {
		b.tokens += rate * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, capacity)
}

// sweep drops the buckets that are full and whose turns have passed; they would be the same when created again.
func (a *administrator) sweep(now time.Time) {
	for k, b := range a.buckets {
		l := a.accounts[k.account].Limit
		if l == nil {
			if now.Sub(b.at) > bucketRetention {
				delete(a.buckets, k)
			}
			continue
		}
		capacity := a.allowance.shareCapacity(*l)
		b.fill(shareRate(*l), capacity, now)
		// A bucket that is full because its limit was lowered would get the tokens of a raised one when created again.
		inWindow := now.Before(b.grantedAt.Add(seconds(a.allowance.WindowSeconds) + a.allowance.lifetime()))
		if b.tokens >= capacity && !now.Before(b.turn) && !inWindow {
			delete(a.buckets, k)
		}
	}
}

// administered returns how many shares of limits the host administers. It takes time in proportion to the accounts and hosts.
func administered(self string, p jacinthtiller.LimitPlacement, accounts map[string]jacinthtiller.Account) int {
	n := 0
	for name, acc := range accounts {
		if acc.Limit == nil {
			continue
		}
		for _, admin := range p.LimitAdministrators(name) {
			if admin.Host == self {
				n++
			}
		}
	}
	return n
}

// seconds converts a number of seconds, which may be greater than a time.Duration can hold.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 86400) * float64(time.Second))
}
