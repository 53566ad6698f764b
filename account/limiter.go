package account

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// sweepInterval is the time between two removals of idle state, and between two log lines about shares.
const sweepInterval = 5 * time.Second

// renewInterval is the least time between two early renewals of the lease. Hosts report a new view to control within 100 ms.
const renewInterval = 100 * time.Millisecond

// maxEarlyRenewals bounds the early renewals a second of all hosts together, as package entry does for those that report a change
// of hosts: many more keep the leader of control busy in large deployments.
const maxEarlyRenewals = 800

// Config configures a Limiter.
type Config struct {
	// Self is the name of the host, and Region its region.
	Self, Region string

	Client    jacinthtiller.LimitClient
	Allowance Allowance
	// RenewLease asks for an early renewal of the host's lease, which brings a newer settled index; nil does nothing.
	RenewLease func()
	Events     *event.Log
}

// Limiter enforces the limits of accounts for the operations of one host, and administers shares for all hosts. It
// implements jacinthtiller.Limiter, jacinthtiller.LimitSource and jacinthtiller.ViewSubscriber and is safe for concurrent
// use.
type Limiter struct {
	config Config
	// lifetimeNanoseconds is the lifetime of tokens.
	lifetimeNanoseconds int64

	metrics metrics
	ctx     context.Context
	stop    context.CancelFunc
	group   duty.Group

	mu sync.Mutex // guards the fields below
	// accounts are those of the edition in force; nil without one.
	accounts  map[string]jacinthtiller.Account
	placement jacinthtiller.LimitPlacement
	// holders holds the state of the accounts that were used lately.
	holders map[string]*holder
	// silent counts the requests without a reply since the last sweep, by administrator.
	silent map[string]int

	adminMu sync.Mutex // guards the fields below; it is never held together with mu
	admin   *administrator
	// renewDue is when the next early renewal of the lease may be requested.
	renewDue time.Time
}

var (
	_ jacinthtiller.Limiter        = (*Limiter)(nil)
	_ jacinthtiller.LimitSource    = (*Limiter)(nil)
	_ jacinthtiller.ViewSubscriber = (*Limiter)(nil)
)

// New returns a Limiter without a view, which admits everything.
func New(c Config) *Limiter {
	l := &Limiter{
		config: c, lifetimeNanoseconds: c.Allowance.lifetime().Nanoseconds(), holders: map[string]*holder{}, silent: map[string]int{},
		admin: newAdministrator(c.Self, c.Allowance, randomBelow),
	}
	l.metrics = newMetrics(l)
	l.ctx, l.stop = context.WithCancel(context.Background())
	l.group.Go(func() { duty.RunWithRestart(l.ctx, c.Events, "drop the state of idle accounts", l.sweepAll) })
	return l
}

func (l *Limiter) lifetime() time.Duration { return time.Duration(l.lifetimeNanoseconds) }

// Close ends the requests in flight. Operations are refused after it when they need tokens.
func (l *Limiter) Close() {
	l.stop()
	l.group.Close()
	l.metrics.close()
}

// randomBelow returns a random duration below d.
func randomBelow(d time.Duration) time.Duration { return rand.N(max(d, 1)) }

// Apply puts a view in force, also for the requests of other hosts.
func (l *Limiter) Apply(v jacinthtiller.View) {
	p := v.LimitPlacement()
	now := clock.Now()
	l.adminMu.Lock()
	l.admin.apply(v, p, now)
	l.adminMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.placement, l.accounts = p, nil
	if v.Edition != nil {
		l.accounts = v.Edition.Accounts
	}
	for name, h := range l.holders {
		limit := l.accounts[name].Limit
		if limit == nil {
			h.release()
			delete(l.holders, name)
			continue
		}
		h.apply(*limit, p)
	}
}

// SetLease replaces the host's lease, without which it grants no tokens.
func (l *Limiter) SetLease(lease jacinthtiller.Lease) {
	now := clock.Now()
	l.adminMu.Lock()
	defer l.adminMu.Unlock()
	l.admin.setLease(lease, now)
}

// GrantTokens answers the request of another host.
func (l *Limiter) GrantTokens(r jacinthtiller.TokenRequest) jacinthtiller.TokenReply {
	l.adminMu.Lock()
	now := clock.Now()
	reply := l.admin.grant(r, now)
	renew := reply.Refusal == jacinthtiller.TokensHandover && !now.Before(l.renewDue)
	if renew {
		l.renewDue = now.Add(max(renewInterval, time.Duration(l.admin.placement.Size())*time.Second/maxEarlyRenewals))
	}
	l.adminMu.Unlock()
	l.metrics.countReply(reply)
	if renew && l.config.RenewLease != nil {
		l.config.RenewLease()
	}
	return reply
}

// Admit takes a token for one operation of the account.
func (l *Limiter) Admit(account string, deadline time.Time) jacinthtiller.LimitDecision {
	l.mu.Lock()
	h := l.holder(account)
	if h == nil {
		l.mu.Unlock()
		return jacinthtiller.LimitDecision{Admitted: true}
	}
	now := clock.Now()
	if h.admit(now) {
		limit := h.limit
		r, ok := h.nextRequest(l.lifetime(), now)
		l.mu.Unlock()
		if ok {
			l.send(account, h, r)
		}
		return jacinthtiller.LimitDecision{Admitted: true, Limit: limit}
	}
	w := newWaiter(now.Add(time.Until(deadline)))
	h.add(w)
	return l.await(account, h, w, now)
}

// holder returns the state of an account; nil if it has no limit. The caller holds l.mu.
func (l *Limiter) holder(account string) *holder {
	if h := l.holders[account]; h != nil {
		return h
	}
	limit := l.accounts[account].Limit
	if limit == nil {
		return nil
	}
	h := newHolder(account, l.config.Region, *limit, l.placement)
	l.holders[account] = h
	return h
}

// await waits until the operation gets a token or is refused. The caller holds l.mu, which await releases.
func (l *Limiter) await(account string, h *holder, w *waiter, now time.Time) jacinthtiller.LimitDecision {
	for {
		r, due := h.nextRequest(l.lifetime(), now)
		outcome, again := h.poll(w, now)
		var d jacinthtiller.LimitDecision
		if outcome != pollWait {
			d = l.decision(h, outcome, now)
		}
		l.mu.Unlock()
		if due {
			l.send(account, h, r)
		}
		if outcome != pollWait {
			return d
		}
		t := time.NewTimer(again.Sub(now))
		select {
		case <-w.ready:
		case <-t.C:
		}
		t.Stop()
		l.mu.Lock()
		now = clock.Now()
	}
}

// decision returns the decision after poll, with times of package time. The caller holds l.mu.
func (l *Limiter) decision(h *holder, outcome int, now time.Time) jacinthtiller.LimitDecision {
	d := jacinthtiller.LimitDecision{Admitted: outcome == pollAdmitted, Limit: h.limit}
	if d.Admitted {
		return d
	}
	plain := time.Now()
	retryAt, exhausted := h.retryAt(now)
	delay := max(0, retryAt.Sub(now))
	if h.limit.PerSecond == 0 {
		delay, exhausted = maxSilence, true
	}
	d.Exhausted = exhausted
	d.RetryAt = plain.Add(delay + randomBelow(max(refusalSpread, delay/2)))
	if !h.knownAt.IsZero() {
		d.KnownAt = plain.Add(h.knownAt.Sub(now))
	}
	l.metrics.countRefusal(exhausted)
	return d
}

// send sends a request and passes on the reply; the reply of another host arrives later.
func (l *Limiter) send(account string, h *holder, r request) {
	ask := jacinthtiller.TokenRequest{Account: account, Share: r.share, Tokens: r.tokens}
	if r.admin.Host == l.config.Self {
		l.receive(account, h, r, l.GrantTokens(ask), true)
		return
	}
	started := l.group.Go(func() {
		var reply jacinthtiller.TokenReply
		answered := false
		duty.Run(l.config.Events, "ask for tokens", event.Fields{"account": account}, func() {
			var err error
			reply, err = l.config.Client.RequestTokens(r.admin.Address, ask, time.Now().Add(replyTimeout))
			answered = err == nil
		})
		l.receive(account, h, r, reply, answered)
	})
	if !started {
		l.receive(account, h, r, jacinthtiller.TokenReply{}, false)
	}
}

// receive records a reply, or that there was none, and sends the next request if one is due.
func (l *Limiter) receive(account string, h *holder, r request, reply jacinthtiller.TokenReply, answered bool) {
	l.metrics.countRequest(reply, answered)
	l.mu.Lock()
	now := clock.Now()
	h.receive(r, reply, answered, l.lifetime(), randomBelow, now)
	if !answered && l.ctx.Err() == nil {
		l.silent[r.admin.Host]++
	}
	next, due := h.nextRequest(l.lifetime(), now)
	l.mu.Unlock()
	if due {
		l.send(account, h, next)
	}
}

// sweepAll sweeps until the limiter is closed.
func (l *Limiter) sweepAll() {
	ticks := time.NewTicker(sweepInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			l.sweep(clock.Now())
		case <-l.ctx.Done():
			return
		}
	}
}

// sweep drops the state of idle accounts and logs what has happened to shares.
func (l *Limiter) sweep(now time.Time) {
	l.adminMu.Lock()
	l.admin.sweep(now)
	gained, lost := l.admin.gained, l.admin.lost
	l.admin.gained, l.admin.lost = shareChanges{}, shareChanges{}
	l.adminMu.Unlock()
	l.mu.Lock()
	for name, h := range l.holders {
		if h.idle(now) {
			delete(l.holders, name)
		}
	}
	silent := l.silent
	l.silent = map[string]int{}
	l.mu.Unlock()
	if gained.count > 0 {
		l.config.Events.Emit(event.LimitSharesGained, gained.fields())
	}
	if lost.count > 0 {
		l.config.Events.Emit(event.LimitSharesLost, lost.fields())
	}
	if len(silent) > 0 {
		l.config.Events.Emit(event.LimitAdministratorSilent, silentFields(silent))
	}
}
