package account

import (
	"context"
	"maps"
	"slices"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// maxNames bounds the names in one event.
const maxNames = 5

// shareChanges counts shares that were gained or lost.
type shareChanges struct {
	count int
	// accounts holds the accounts of the first of them.
	accounts []string
}

func (c *shareChanges) add(account string) {
	c.count++
	if len(c.accounts) < maxNames && !slices.Contains(c.accounts, account) {
		c.accounts = append(c.accounts, account)
	}
}

func (c *shareChanges) fields() event.Fields {
	return event.Fields{"count": c.count, "accounts": c.accounts}
}

// silentFields returns the fields of the event for administrators that did not reply, by host.
func silentFields(counts map[string]int) event.Fields {
	hosts := slices.Sorted(maps.Keys(counts))
	requests := 0
	for _, n := range counts {
		requests += n
	}
	return event.Fields{"count": len(hosts), "hosts": hosts[:min(len(hosts), maxNames)], "requests": requests}
}

// The outcomes of a request for tokens, which label the metrics beside the reasons of refusals.
const (
	outcomeGranted = "granted"
	outcomeEmpty   = "empty"
	outcomeSilent  = "silent"
)

// metrics holds the instruments of a limiter.
type metrics struct {
	requests, replies, refusals metric.Int64Counter
	registration                metric.Registration
	// attributes holds the label of each outcome.
	attributes map[string]metric.MeasurementOption
}

func newMetrics(l *Limiter) metrics {
	m := otel.Meter("jacinthtiller/account")
	counter := func(name, text string) metric.Int64Counter {
		c, err := m.Int64Counter(name, metric.WithDescription(text))
		if err != nil {
			otel.Handle(err) // the instrument returned with the error is a no-op
		}
		return c
	}
	out := metrics{
		requests:   counter("jacinthtiller.limit.requests", "Requests for tokens of limits that this host sent, by outcome."),
		replies:    counter("jacinthtiller.limit.replies", "Requests for tokens of limits that this host answered as the administrator, by outcome."),
		refusals:   counter("jacinthtiller.limit.refusals", "Operations refused by the limit of their account, by whether it was exhausted or no administrator answered."),
		attributes: map[string]metric.MeasurementOption{},
	}
	for _, name := range []string{
		outcomeGranted, outcomeEmpty, outcomeSilent, string(jacinthtiller.TokensNotAdministrator),
		string(jacinthtiller.TokensNoLease), string(jacinthtiller.TokensHandover),
	} {
		out.attributes[name] = metric.WithAttributeSet(attribute.NewSet(attribute.String("outcome", name)))
	}
	shares, err := m.Int64ObservableGauge("jacinthtiller.limit.shares", metric.WithDescription("Shares of limits that this host administers."))
	if err != nil {
		otel.Handle(err)
		return out
	}
	if out.registration, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		l.adminMu.Lock()
		placement, accounts := l.admin.placement, l.admin.accounts // neither is modified
		l.adminMu.Unlock()
		o.ObserveInt64(shares, int64(administered(l.config.Self, placement, accounts)))
		return nil
	}, shares); err != nil {
		otel.Handle(err)
	}
	return out
}

func (m metrics) close() {
	if m.registration != nil {
		_ = m.registration.Unregister()
	}
}

// replyOutcome returns the label of a reply.
func replyOutcome(r jacinthtiller.TokenReply) string {
	switch {
	case r.Refusal != jacinthtiller.TokensGranted:
		return string(r.Refusal)
	case r.Granted == 0:
		return outcomeEmpty
	}
	return outcomeGranted
}

func (m metrics) countReply(r jacinthtiller.TokenReply) { m.add(m.replies, replyOutcome(r)) }

func (m metrics) countRequest(r jacinthtiller.TokenReply, answered bool) {
	if !answered {
		m.add(m.requests, outcomeSilent)
		return
	}
	m.add(m.requests, replyOutcome(r))
}

func (m metrics) countRefusal(exhausted bool) {
	if exhausted {
		m.add(m.refusals, outcomeEmpty)
		return
	}
	m.add(m.refusals, outcomeSilent)
}

// add counts one event. A label that another version of the program sends is not counted.
func (m metrics) add(c metric.Int64Counter, outcome string) {
	if a, ok := m.attributes[outcome]; ok {
		c.Add(context.Background(), 1, a)
	}
}
