package account

import (
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// replyTimeout bounds the wait for the reply to a request. A reply between regions takes 25 ms on an idle host.
	replyTimeout = 150 * time.Millisecond
	// batchDivisor makes a host ask for the tokens of a quarter of their lifetime, so that few expire unused: of 2 tokens, at
	// 8 operations in a lifetime, 0.3% of the batches.
	batchDivisor = 4
	// minSilence and maxSilence bound the time for which an administrator is not asked after it gave no reply; the time doubles
	// with each one.
	minSilence = 200 * time.Millisecond
	maxSilence = time.Second
	// refusalSpread is the least range over which the times to retry of the operations of a host are spread.
	refusalSpread = 50 * time.Millisecond
	// idlePeriod is how long an account's state is kept without an operation.
	idlePeriod = 10 * time.Second
	// maxRetryDelay bounds what an administrator may ask a host to wait.
	maxRetryDelay = time.Minute
)

// holder decides about the operations of one account at one host, and what to ask of the administrators. It is not safe for
// concurrent use and reads no clock.
type holder struct {
	limit jacinthtiller.RateLimit
	// unlimited is true once a view without a limit of the account is in force.
	unlimited       bool
	account, region string
	// placement is that of the view in force, and stale is true until admins, the administrators of the shares, follow from it.
	// They are looked up at the next request only, because that takes time in proportion to the number of hosts.
	placement jacinthtiller.LimitPlacement
	stale     bool
	admins    [jacinthtiller.LimitShares]jacinthtiller.LimitAdministrator
	shares    [jacinthtiller.LimitShares]heldShare
	// next is the share to ask first, unless one share alone is administered in the host's region. It alternates, so that both
	// get about as many requests.
	next int
	// nearest is the only share that is administered in the host's region; -1 when it is none or all.
	nearest int
	demand  demand
	// waiters holds the operations that wait for a token, the oldest first.
	waiters []*waiter
	// usedAt is the time of the last operation, and knownAt that of the last reply.
	usedAt, knownAt time.Time
}

// heldShare is what a host has of one share, and knows about it.
type heldShare struct {
	tokens int
	// tokensUntil is when the tokens expire.
	tokensUntil time.Time
	// asked is how many tokens the request in flight is for; 0 when there is none. It was sent at sentAt.
	asked  int
	sentAt time.Time
	// sequence numbers the requests, so that late replies are recognised.
	sequence uint64
	// retryAt is when the share may be asked again, and exhausted why: whether the share was empty.
	retryAt   time.Time
	exhausted bool
	// silences counts the consecutive requests without a reply.
	silences int
}

// waiter is an operation that waits for a token.
type waiter struct {
	// deadline is until when the operation may wait. One whose share has no token by then is refused at once.
	deadline time.Time
	// granted is true when the operation has a token, which expires at until.
	granted bool
	until   time.Time
	// ready receives a value when poll should be called; it has capacity 1.
	ready chan struct{}
}

func newWaiter(deadline time.Time) *waiter {
	return &waiter{deadline: deadline, ready: make(chan struct{}, 1)}
}

func (w *waiter) wake() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// demand measures the operations of an account at a host.
type demand struct {
	perSecond float64
	count     int
	since     time.Time
	// batch is how many tokens the host asks for in advance; -1 until it is computed from perSecond.
	batch int
}

// demandPeriod is the period of one measurement.
const demandPeriod = 250 * time.Millisecond

func (d *demand) add(now time.Time) {
	if elapsed := now.Sub(d.since); elapsed >= demandPeriod {
		current := float64(d.count) / elapsed.Seconds()
		if elapsed < 2*demandPeriod {
			current = (current + d.perSecond) / 2
		}
		d.perSecond, d.count, d.since, d.batch = current, 0, now, -1
	}
	d.count++
}

// batch returns how many tokens the host asks for in advance.
func (h *holder) batch(lifetime time.Duration) int {
	if h.demand.batch < 0 {
		h.demand.batch = min(int(h.demand.perSecond*lifetime.Seconds()/batchDivisor), maxTokensPerRequest)
	}
	return h.demand.batch
}

// admit counts an operation and takes a token in hand, if there is one.
func (h *holder) admit(now time.Time) bool {
	h.usedAt = now
	h.demand.add(now)
	_, ok := h.take(now)
	return ok
}

// take takes a token in hand and returns when it expires.
func (h *holder) take(now time.Time) (time.Time, bool) {
	for i := range h.shares {
		s := &h.shares[i]
		if s.tokens > 0 && now.Before(s.tokensUntil) {
			s.tokens--
			return s.tokensUntil, true
		}
		s.tokens = 0
	}
	return time.Time{}, false
}

// request is a request that is to be sent.
type request struct {
	admin         jacinthtiller.LimitAdministrator
	share, tokens int
	sequence      uint64
}

// nextRequest returns the request that is due, if any, and counts it as sent.
func (h *holder) nextRequest(lifetime time.Duration, now time.Time) (request, bool) {
	if h.limit.PerSecond == 0 || h.unlimited {
		return request{}, false
	}
	covered := 0 // tokens in hand or on their way
	for i := range h.shares {
		if s := &h.shares[i]; s.asked > 0 {
			covered += s.asked
		} else if now.Before(s.tokensUntil) {
			covered += s.tokens
		}
	}
	batch := h.batch(lifetime)
	wanted := len(h.waiters) + batch - covered
	if wanted <= 0 || len(h.waiters) == 0 && covered > batch/2 {
		return request{}, false
	}
	h.refresh()
	first := h.next
	if h.nearest >= 0 {
		first = h.nearest // the other share is asked while this one is empty
	}
	for i := range h.shares {
		k := (first + i) % len(h.shares)
		s := &h.shares[k]
		if s.asked > 0 || now.Before(s.retryAt) || h.admins[k].Host == "" {
			continue
		}
		h.next = (k + 1) % len(h.shares)
		s.asked, s.sentAt = min(wanted, maxTokensPerRequest), now
		s.sequence++
		return request{admin: h.admins[k], share: k, tokens: s.asked, sequence: s.sequence}, true
	}
	return request{}, false
}

// receive records the reply to a request, or that there was none, and gives tokens to the operations that wait.
func (h *holder) receive(r request, reply jacinthtiller.TokenReply, answered bool, lifetime time.Duration, spread func(time.Duration) time.Duration, now time.Time) {
	s := &h.shares[r.share]
	if s.asked == 0 || s.sequence != r.sequence {
		return
	}
	asked := s.asked
	s.asked = 0
	switch {
	case !answered:
		pause := min(maxSilence, minSilence<<min(s.silences, 8))
		s.retryAt, s.exhausted = now.Add(pause/2+spread(pause/2)), false
		s.silences++
	default:
		h.knownAt, s.silences = now, 0
		s.exhausted = reply.Refusal == jacinthtiller.TokensGranted
		s.retryAt = now.Add(min(maxRetryDelay, time.Duration(max(0, reply.RetryAfterMicroseconds))*time.Microsecond))
		if earliest := now.Add(minTurnInterval); reply.Granted == 0 && s.retryAt.Before(earliest) {
			s.retryAt = earliest
		}
		until := s.sentAt.Add(min(lifetime, time.Duration(max(0, reply.LifetimeMicroseconds))*time.Microsecond))
		if reply.Granted > 0 && now.Before(until) {
			if s.tokens > 0 && now.Before(s.tokensUntil) {
				until = s.tokensUntil // all tokens of the share expire with the oldest
			} else {
				s.tokens = 0
			}
			s.tokens, s.tokensUntil = s.tokens+min(asked, reply.Granted), until
		}
	}
	for len(h.waiters) > 0 {
		until, ok := h.take(now)
		if !ok {
			break
		}
		w := h.waiters[0]
		h.waiters[0], h.waiters = nil, h.waiters[1:]
		w.granted, w.until = true, until
		w.wake()
	}
	for _, w := range h.waiters {
		w.wake()
	}
}

// The outcomes of poll.
const (
	pollAdmitted = iota
	pollRefused
	pollWait
)

// poll returns what becomes of an operation that has no token in hand: a waiter's first call adds it to the waiters. With
// pollWait, poll is to be called again at the time returned, or when the waiter is woken; nextRequest is to be called before.
func (h *holder) poll(w *waiter, now time.Time) (outcome int, again time.Time) {
	if w.granted {
		if now.Before(w.until) {
			return pollAdmitted, time.Time{}
		}
		w.granted = false // the host was suspended since the token was given
		h.waiters = append([]*waiter{w}, h.waiters...)
	}
	if h.unlimited {
		h.remove(w)
		return pollAdmitted, time.Time{}
	}
	if !now.Before(w.deadline) || h.limit.PerSecond == 0 {
		h.remove(w)
		return pollRefused, time.Time{}
	}
	retryAt, _ := h.retryAt(now)
	switch {
	case h.inFlight():
		return pollWait, w.deadline
	case retryAt.After(w.deadline):
		h.remove(w)
		return pollRefused, time.Time{}
	}
	if earliest := now.Add(minTurnInterval); retryAt.Before(earliest) {
		retryAt = earliest
	}
	return pollWait, retryAt
}

func (h *holder) inFlight() bool {
	for i := range h.shares {
		if h.shares[i].asked > 0 {
			return true
		}
	}
	return false
}

// retryAt returns when the first share may be asked again, and whether a share was empty.
func (h *holder) retryAt(now time.Time) (at time.Time, exhausted bool) {
	for i := range h.shares {
		s := &h.shares[i]
		retryAt := s.retryAt
		if h.admins[i].Host == "" {
			retryAt = now.Add(maxSilence)
		}
		if i == 0 || retryAt.Before(at) {
			at = retryAt
		}
		exhausted = exhausted || s.exhausted && now.Before(s.retryAt)
	}
	return at, exhausted
}

func (h *holder) add(w *waiter) { h.waiters = append(h.waiters, w) }

func (h *holder) remove(w *waiter) {
	for i, x := range h.waiters {
		if x == w {
			h.waiters = slices.Delete(h.waiters, i, i+1)
			return
		}
	}
}

// newHolder returns the state of an account at a host of the region.
func newHolder(account, region string, l jacinthtiller.RateLimit, p jacinthtiller.LimitPlacement) *holder {
	return &holder{account: account, region: region, limit: l, placement: p, stale: true, nearest: -1}
}

// refresh looks up the administrators after a new view. What is known of another administrator does not hold for the new one.
func (h *holder) refresh() {
	if !h.stale {
		return
	}
	admins := h.placement.LimitAdministrators(h.account)
	for i := range h.shares {
		if admins[i] != h.admins[i] {
			h.shares[i].retryAt, h.shares[i].silences = time.Time{}, 0
		}
	}
	h.admins, h.nearest, h.stale = admins, nearestShare(admins, h.region), false
}

// nearestShare returns the only share that is administered in the region; -1 when it is none or all.
func nearestShare(admins [jacinthtiller.LimitShares]jacinthtiller.LimitAdministrator, region string) int {
	nearest, count := -1, 0
	for i := range admins {
		if admins[i].Region == region {
			nearest = i
			count++
		}
	}
	if count != 1 {
		return -1
	}
	return nearest
}

// apply puts the limit and the placement of a new view in force.
func (h *holder) apply(l jacinthtiller.RateLimit, p jacinthtiller.LimitPlacement) {
	lowered := l.PerSecond < h.limit.PerSecond || l.Burst < h.limit.Burst
	raised := l.PerSecond > h.limit.PerSecond || l.Burst > h.limit.Burst
	for i := range h.shares {
		s := &h.shares[i]
		if lowered {
			s.tokens = 0
			s.sequence++ // a reply that is on its way belongs to the former limit
			s.asked = 0
		}
		if raised {
			s.retryAt, s.silences = time.Time{}, 0
		}
	}
	h.limit, h.placement, h.stale = l, p, true
	for _, w := range h.waiters {
		w.wake()
	}
}

// idle reports whether the state can be dropped without loss.
func (h *holder) idle(now time.Time) bool {
	if len(h.waiters) > 0 || h.inFlight() || now.Sub(h.usedAt) < idlePeriod {
		return false
	}
	for i := range h.shares {
		if now.Before(h.shares[i].retryAt) {
			return false
		}
	}
	return true
}

// release admits all operations, because the account has no limit any more.
func (h *holder) release() {
	h.unlimited = true
	for _, w := range h.waiters {
		w.wake()
	}
}
