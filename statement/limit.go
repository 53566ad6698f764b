package statement

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// maxAccountLabels bounds the accounts with series of their own, because each one costs memory here and at the collector.
	maxAccountLabels = 100
	// otherAccounts is the label of all further accounts.
	otherAccounts = "other"
)

// takeToken asks the limiter to admit an operation. If it returns false, the request has been answered: it needs neither a
// connection nor a place in a queue, and does not count as overload of the database.
func (n *session) takeToken(q *request) (bool, error) {
	if n.account == "" || n.s.limiter == nil {
		return true, nil
	}
	waitUntil := q.admitUntil
	if q.deadline.Before(waitUntil) {
		waitUntil = q.deadline
	}
	d := n.s.limiter.Admit(n.account, waitUntil)
	if d.Admitted {
		if time.Since(q.arrived) > minHold {
			q.held = causeLimitUnknown
		}
		return true, nil
	}
	q.last = outcome{reason: "the limit of the account has been reached", cause: causeLimit}
	if !d.Exhausted {
		q.last = outcome{reason: "no host that knows the limit of the account answered in time", cause: causeLimitUnknown}
	}
	retryAfter := n.s.retryAfter(q)
	if !d.RetryAt.IsZero() {
		// Rounded up, so that a guest that retries as advised is not early; 0 would be no advice.
		retryAfter = max(1, (time.Until(d.RetryAt) + time.Millisecond - 1).Milliseconds())
	}
	n.logRefusedOperation(q, d, retryAfter)
	return false, n.fail(q, jacinthtiller.ErrorCodeBusy, "not run: "+q.last.reason, retryAfter)
}

func (n *session) logRefusedOperation(q *request, d jacinthtiller.LimitDecision, retryAfterMilliseconds int64) {
	n.s.metrics.countRefusedOperation(n.account, q.last.cause)
	f := event.Fields{
		"request": q.ID, "account": n.account, "route": q.route.Name, "verb": string(q.Kind), "cause": string(q.last.cause),
		"limit-per-second": d.Limit.PerSecond, "limit-burst": d.Limit.Burst, "retry-after-milliseconds": retryAfterMilliseconds,
	}
	if !d.KnownAt.IsZero() {
		f["age-milliseconds"] = time.Since(d.KnownAt).Milliseconds()
	}
	n.s.events.Emit(event.OperationRefused, f)
}

func (m metrics) countRefusedOperation(account string, cause failureCause) {
	m.refusedOperations.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("account", m.refusedAccounts.label(account)), attribute.String("cause", string(cause))))
}

// accountLabels bounds the accounts that occur as labels of metrics.
type accountLabels struct {
	mu sync.Mutex // guards the field below
	// names holds the first maxAccountLabels accounts. None is removed: a series that ends and begins again looks like a
	// restart of the process.
	names map[string]bool
}

// label returns the label of an account.
func (l *accountLabels) label(account string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.names[account] {
		if len(l.names) >= maxAccountLabels {
			return otherAccounts
		}
		l.names[account] = true
	}
	return account
}
