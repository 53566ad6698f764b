package pool

import (
	"errors"
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// accountIdleTimeout is the idle timeout of connections that belong to an account. Each opening costs the target 12 ms of
	// a slot, so connections stay open for the next operation of the account. See docs/design/connections.md for the measured
	// effect of other values.
	accountIdleTimeout = 10 * time.Second
	// lostHostHold is how long the connections of a host that lost power count at a target. While a target has none left,
	// a host replaces its own idle connections and does not add to them.
	lostHostHold = 3 * time.Second
)

// fairShare returns how many connections each of n gateways may keep idle. With accounts it keeps them for long; then one more
// gateway with as many connections fits below the target's limit: one that another gateway replaces, or that lost power.
func fairShare(connections, n int, accounts bool) int {
	share := jacinthtiller.ConnectionsPerHost(connections, n)
	if accounts {
		share = max(1, min(share, connections/(n+1)))
	}
	return share
}

// idleConns holds the unused connections to one target in order of their last use, the most recently used one last. Each
// belongs to the account with which it was opened. The number of connections per target is small, so lookups scan the list.
type idleConns []*directConn

// take removes and returns the most recently used connection of the account, or nil.
func (l *idleConns) take(account string) *directConn {
	for i := len(*l) - 1; i >= 0; i-- {
		if (*l)[i].account == account {
			return l.remove(i)
		}
	}
	return nil
}

// takeAny removes and returns a connection for a request that needs no account: the most recently used one without an
// account, or else the least recently used one, which its account is least likely to need soon. It returns nil if there is
// none.
func (l *idleConns) takeAny() *directConn {
	if c := l.take(""); c != nil || len(*l) == 0 {
		return c
	}
	return l.remove(0)
}

// takeLeastUsed removes and returns the connection to close in favour of another account: the least recently used one
// without an account, or else the least recently used one. It returns nil if there is none.
func (l *idleConns) takeLeastUsed() *directConn {
	if len(*l) == 0 {
		return nil
	}
	return l.remove(max(0, slices.IndexFunc(*l, func(c *directConn) bool { return c.account == "" })))
}

// put inserts a connection by the time of its last use.
func (l *idleConns) put(c *directConn) {
	i := len(*l)
	for i > 0 && (*l)[i-1].idleSince.After(c.idleSince) {
		i--
	}
	*l = slices.Insert(*l, i, c)
}

func (l *idleConns) remove(i int) *directConn {
	c := (*l)[i]
	*l = slices.Delete(*l, i, i+1)
	return c
}

// accounts returns the number of connections of each account; those without an account are not counted.
func (l *idleConns) accounts() map[string]int {
	out := map[string]int{}
	for _, c := range *l {
		if c.account != "" {
			out[c.account]++
		}
	}
	return out
}

// connect returns an idle connection of the account or opens one.
func (t *Target) connect(account string, deadline time.Time) (*directConn, error) {
	return t.connectWith(account, deadline, func() *directConn { return t.idle.take(account) })
}

// connectAny returns an idle connection of any account or opens one without an account. The caller must not change the
// state of the connection, and returns it with putBack.
func (t *Target) connectAny(deadline time.Time) (*directConn, error) {
	return t.connectWith("", deadline, func() *directConn { return t.idle.takeAny() })
}

// connectWith returns a usable connection that take returns, which is called with t.mu held, or opens one for the account.
func (t *Target) connectWith(account string, deadline time.Time, take func() *directConn) (*directConn, error) {
	for {
		t.mu.Lock()
		c := take()
		if c == nil {
			break
		}
		t.mu.Unlock()
		if err := c.discardArrived(); err != nil {
			reason := "closed by target"
			if errors.Is(err, errOutOfStep) {
				reason = closedOutOfStep
			}
			t.close(c, reason)
			continue
		}
		t.metrics.reused()
		return c, nil
	}
	now := time.Now()
	if t.retired || now.Before(t.noConnectionUntil) {
		t.mu.Unlock()
		return nil, &jacinthtiller.TargetError{Code: jacinthtiller.ErrorCodeConnections, Text: "no free connection a moment ago"}
	}
	var victim *directConn
	if t.openConns >= t.fairShare || now.Before(t.scarceUntil) {
		victim = t.idle.takeLeastUsed()
	}
	reason := t.openingReason(account, victim)
	t.openConns++
	t.openByAccount[account]++
	spec := t.spec
	t.mu.Unlock()
	if victim != nil {
		t.close(victim, "other account") // before the new one is opened, so that the host never exceeds its share by both
		t.metrics.evicted()
	}
	return t.open(spec, account, reason, deadline)
}

// The reasons for which connections are opened. They are label values of a metric.
const (
	openedFirst        = "first"         // the account has no connection from this host
	openedOtherAccount = "other-account" // it replaces an idle connection of another account
	openedGrown        = "grown"         // all connections of the account are in use
)

// closedOutOfStep is a label value of a metric: the connection has had, or may get, an answer that nothing waits for.
const closedOutOfStep = "answers out of step"

// openingReason returns why a connection is opened in place of the victim, which may be nil. The caller holds t.mu.
func (t *Target) openingReason(account string, victim *directConn) string {
	switch {
	case victim != nil:
		return openedOtherAccount
	case t.openByAccount[account] > 0:
		return openedGrown
	}
	return openedFirst
}

// open opens a connection that is already counted in openConns and openByAccount.
func (t *Target) open(spec jacinthtiller.Target, account, reason string, deadline time.Time) (*directConn, error) {
	tc, err := t.p.dial(spec, account, deadline)
	if err != nil {
		t.mu.Lock()
		t.forgetConn(account)
		refusal := refusalOf(err)
		busy := isTimeout(err) && time.Now().Before(t.answeredAt.Add(recentAnswerAge))
		// A refusal of one account's login says nothing about the others.
		if busy || refusal != nil && (account == "" || refusal.Code == jacinthtiller.ErrorCodeConnections || refusal.Code == jacinthtiller.ErrorCodeBusy) {
			t.noConnectionUntil = time.Now().Add(noConnectionPause)
		}
		if refusal != nil && refusal.Code == jacinthtiller.ErrorCodeConnections {
			t.scarceUntil = time.Now().Add(lostHostHold)
		}
		t.mu.Unlock()
		switch {
		case busy: // the target is overloaded, not unreachable: it answers on open connections
		case refusal != nil && refusal.Code != jacinthtiller.ErrorCodeWrongTarget:
			t.recordReachable(t.directPath)
		default:
			t.recordUnreachable(t.directPath, err)
		}
		return nil, err
	}
	t.p.metrics.opened()
	t.metrics.opened(reason)
	t.recordReachable(t.directPath)
	return &directConn{t: t, tc: tc, account: account, state: jacinthtiller.StateIdle, values: map[string]string{}, statements: map[string]bool{}}, nil
}

// putIdle makes a connection idle after a request of its account, or closes it when its target has been retired or it is broken.
func (t *Target) putIdle(c *directConn) {
	c.idleSince = time.Now()
	t.putBack(c)
}

// putBack makes a connection idle without changing the time of its last use, or closes it when its target has been retired.
// A position query or a probe is no use by the account and does not protect the connection from eviction.
func (t *Target) putBack(c *directConn) {
	if c.account == "" {
		c.idleSince = time.Now()
	}
	t.mu.Lock()
	retired := t.retired
	if !retired && !c.broken {
		t.idle.put(c)
	}
	t.mu.Unlock()
	switch {
	case retired:
		t.close(c, "target left the view")
	case c.broken:
		t.close(c, closedOutOfStep)
	}
}

// close closes a connection that is not idle.
func (t *Target) close(c *directConn, reason string) {
	_ = c.tc.Close() // the connection is discarded whether or not Close fails
	t.mu.Lock()
	t.forgetConn(c.account)
	t.mu.Unlock()
	t.p.metrics.closed(reason)
}

// forgetConn counts one connection of the account less. The caller holds t.mu.
func (t *Target) forgetConn(account string) {
	t.openConns--
	if t.openByAccount[account]--; t.openByAccount[account] <= 0 {
		delete(t.openByAccount, account)
	}
}

// idleTooLong reports whether a connection should be closed that has been idle for the time, when the host would have that
// many connections left with it. The caller holds t.mu.
func (t *Target) idleTooLong(c *directConn, idle time.Duration, left int) bool {
	timeout := spareIdleTimeout
	if c.account != "" {
		if !t.direct {
			// The host is no gateway any more, and its connections count beside those of the gateways.
			return idle > spareIdleTimeout
		}
		timeout = accountIdleTimeout
	}
	return left > t.fairShare && idle > surplusIdleTimeout || left > 1 && idle > timeout || idle > lastIdleTimeout
}

// checkIdle asks the target for its status over an idle connection that belongs to an account, because such connections stay
// open for long and their existence proves nothing. It reports whether the target answered, and whether that is known.
func (t *Target) checkIdle(c *directConn, deadline time.Time) (answered, known bool) {
	_, err := c.queryStatus(deadline)
	if err == nil {
		t.putBack(c)
		t.recordReachable(t.directPath)
		return true, true
	}
	t.close(c, "no answer to a question")
	if !isTimeout(err) {
		return false, false // the connection has ended, which says nothing about the target
	}
	if !t.answeredRecently(time.Now()) {
		t.recordUnreachable(t.directPath, err)
	}
	return false, true
}
