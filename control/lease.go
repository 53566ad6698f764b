package control

import (
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// Lease is the duration of a host's lease, counted by the host from before it asked.
	Lease = 1500 * time.Millisecond
	// RenewInterval is the time between a host's renewals; three may fail before the lease ends.
	RenewInterval = 400 * time.Millisecond
	// ClockRateBound is what the leader adds to a lease, because the rates of clocks may differ by 2%.
	ClockRateBound = Lease / 50
	// settledInterval is the time between two computations of the settled index. One takes time in proportion to the number of
	// hosts, and every renewal carries the result; at 580 hosts there are 1,450 renewals a second.
	settledInterval = 20 * time.Millisecond
)

// leaseEnd returns the time, by the leader's clock, until which a host that was answered at now may consider its lease
// valid.
func leaseEnd(now time.Time) time.Time { return now.Add(Lease + ClockRateBound) }

// lease is the leader's record of one host. It is not replicated.
type lease struct {
	incarnation string
	// registeredIndex is the index of the registration that the record belongs to.
	registeredIndex uint64
	// deadline is when the host no longer holds a lease; it never decreases.
	deadline time.Time
	// grantedAt is when this leader first granted the lease; zero before. Only hosts with a granted lease get targets.
	grantedAt time.Time
	// ended is set once the leader has decided that the lease has ended. No lease is granted after that until the host has
	// registered again.
	ended bool
	// inForce is the highest index that the host has reported under this incarnation.
	inForce uint64
}

// syncLeases matches the leases to the hosts in the view. A host without a record may hold a lease that a former leader
// granted, so it counts as alive for a full lease.
func (l *leader) syncLeases(s *state, now time.Time) {
	for name, h := range s.View.Hosts {
		e, ok := l.leases[name]
		switch {
		case h.LeaseEnded:
			delete(l.leases, name)
		case ok && e.incarnation != h.Incarnation:
			l.hostLossUntil = now.Add(hostLossRetention)
			fallthrough
		case !ok || e.registeredIndex != s.Registered[name]:
			l.leases[name] = &lease{
				incarnation: h.Incarnation, registeredIndex: s.Registered[name], deadline: leaseEnd(now),
			}
		}
	}
	for name := range l.leases {
		if _, ok := s.View.Hosts[name]; !ok {
			delete(l.leases, name)
		}
	}
}

// renew grants a lease unless the host is not registered under the incarnation, the leader has ended its lease, or the
// host has not yet put the view of its registration in force: a host with an older view may believe that it owns targets
// which it has lost. It is called after a quorum has confirmed the leadership.
func (l *leader) renew(s *state, r jacinthtiller.RenewRequest, now time.Time) jacinthtiller.RenewResponse {
	h, ok := s.View.Hosts[r.Host]
	if !ok || h.LeaseEnded || h.Incarnation != r.Incarnation {
		return jacinthtiller.RenewResponse{Unregistered: true}
	}
	if e := l.leases[r.Host]; e == nil || e.registeredIndex != s.Registered[r.Host] {
		l.syncLeases(s, now)
	}
	e := l.leases[r.Host]
	if e.ended {
		return jacinthtiller.RenewResponse{Unregistered: true}
	}
	if r.Index > e.inForce {
		e.inForce = r.Index
		l.needsScan = l.needsScan || len(s.Handovers) > 0
	}
	if r.Index < s.Registered[r.Host] {
		return jacinthtiller.RenewResponse{}
	}
	if e.grantedAt.IsZero() {
		e.grantedAt = now
		l.needsScan = true
	}
	e.deadline = leaseEnd(now)
	return jacinthtiller.RenewResponse{LeaseMicroseconds: Lease.Microseconds()}
}

// expireLeases returns commands for the hosts whose leases have ended.
func (l *leader) expireLeases(now time.Time) []Command {
	var out []Command
	for name, e := range l.leases {
		if now.Before(e.deadline) {
			continue
		}
		if !e.ended {
			l.hostLossUntil = now.Add(hostLossRetention)
		}
		e.ended = true
		out = append(out, Command{EndLease: &endLeaseCommand{Host: name, Incarnation: e.incarnation}})
	}
	slices.SortFunc(out, func(a, b Command) int {
		if a.EndLease.Host < b.EndLease.Host {
			return -1
		}
		return 1
	})
	return out
}

// lostHost reports whether a host was lost a moment ago: its lease has ended without a release, or it has started again.
func (l *leader) lostHost(now time.Time) bool {
	if now.Before(l.hostLossUntil) {
		return true
	}
	for _, e := range l.leases {
		if !e.ended && !now.Before(e.deadline) {
			return true
		}
	}
	return false
}

// holdsLease reports whether the host holds a lease that this leader granted.
func (l *leader) holdsLease(host string, now time.Time) bool {
	e := l.leases[host]
	return e != nil && !e.ended && !e.grantedAt.IsZero() && now.Before(e.deadline)
}

// splitByInForce splits the hosts whose leases have not ended by whether they have the index in force.
func (l *leader) splitByInForce(s *state, index uint64) (have, lack []string) {
	for name, h := range s.View.Hosts {
		e := l.leases[name]
		switch {
		case h.LeaseEnded:
		case e != nil && e.incarnation == h.Incarnation && e.inForce >= index:
			have = append(have, name)
		default:
			lack = append(lack, name)
		}
	}
	slices.Sort(have)
	slices.Sort(lack)
	return have, lack
}

// settledIndex returns the index of a view such that no host holds a lease under an earlier view, now or later. It counts
// only what holds under every leader: a host without a lease by this leader's clock may renew it, with this leader or the
// next one, under the view that it has in force, until the log records the end of its lease. A host that has not reported
// a view to this leader has no lease under a view before its registration.
func (l *leader) settledIndex(s *state, now time.Time) uint64 {
	if !l.settledAt.IsZero() && now.Sub(l.settledAt) < settledInterval && !now.Before(l.settledAt) {
		return l.settled
	}
	// Hosts that register later get no lease under the leader's present view or an earlier one.
	index := s.View.Index
	for name, h := range s.View.Hosts {
		if h.LeaseEnded {
			continue
		}
		registered := s.Registered[name]
		inForce := registered
		if e := l.leases[name]; e != nil && e.registeredIndex == registered && e.incarnation == h.Incarnation {
			inForce = max(inForce, e.inForce)
		}
		index = min(index, inForce)
	}
	l.settled, l.settledAt = max(l.settled, index), now
	return l.settled
}
