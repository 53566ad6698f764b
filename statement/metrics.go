package statement

import (
	"context"
	"math/rand/v2"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

const (
	// successLogInterval is how many successful requests are counted for each one that is logged.
	successLogInterval = 256
	// retryAfterBusyMilliseconds is the retry hint for a guest when targets are overloaded.
	retryAfterBusyMilliseconds = 150
	// retryAfterReplacedMilliseconds is the retry hint while a primary is being replaced; most failovers end within it.
	retryAfterReplacedMilliseconds = 600
	// retryAfterJitterMilliseconds is the random part of a hint, which keeps guests from retrying at the same time.
	retryAfterJitterMilliseconds = 300
)

// When a guest without an account was refused, as a label of metrics and a field of logs.
const (
	refusedAtStartup   = "startup"
	refusedAtOperation = "operation"
)

// retryAfter returns the hint for a guest, in milliseconds, when to retry.
func (s *Server) retryAfter(q *request) int64 {
	milliseconds := int64(retryAfterBusyMilliseconds)
	if s.Isolated() {
		return rand.Int64N(retryAfterBusyMilliseconds) // another host can serve the guest at once
	}
	if s.view.Load().Databases[q.route.Database].Primary == "" {
		milliseconds = retryAfterReplacedMilliseconds
	}
	return milliseconds + rand.Int64N(retryAfterJitterMilliseconds)
}

// recordFailure logs and counts a request that was answered with an error.
func (s *Server) recordFailure(n *session, q *request, code jacinthtiller.ErrorCode, reason string) {
	s.metrics.countRequest(q.route, string(code), time.Since(q.arrived))
	v := s.view.Load()
	s.events.Emit(event.StatementFailed, event.Fields{
		"request": q.ID, "guest": n.guestName(), "route": q.route.Name, "database": q.route.Database,
		"class": string(q.route.Class), "verb": string(q.Kind),
		"code": string(code), "cause": string(s.causeOf(q, code)), "reason": reason, "target": q.target, "through": q.relayHost, "tries": q.attempts, "index": v.Index,
		"milliseconds": time.Since(q.arrived).Milliseconds(), "primary": v.Databases[q.route.Database].Primary,
		"term": v.Databases[q.route.Database].Term, "lease-milliseconds": s.lease.Load().Deadline.Sub(now()).Milliseconds(),
	})
}

// recordSuccess counts a request, and logs one in successLogInterval.
func (s *Server) recordSuccess(n *session, q *request) {
	s.metrics.countRequest(q.route, "done", time.Since(q.arrived))
	s.countServed(q.route.Database)
	if at := time.Now(); q.late(at) {
		s.events.Emit(event.StatementLate, event.Fields{
			"request": q.ID, "route": q.route.Name, "database": q.route.Database, "class": string(q.route.Class),
			"cause": string(q.causeOfDelay()), "target": q.target, "through": q.relayHost, "tries": q.attempts,
			"milliseconds": at.Sub(q.arrived).Milliseconds(),
		})
	}
	if s.successes.Add(1)%successLogInterval != 0 {
		return
	}
	s.events.Emit(event.StatementDone, event.Fields{
		"request": q.ID, "guest": n.guestName(), "route": q.route.Name, "database": q.route.Database,
		"class": string(q.route.Class), "verb": string(q.Kind),
		"target": q.target, "through": q.relayHost, "tries": q.attempts, "milliseconds": time.Since(q.arrived).Milliseconds(),
		"mark": n.mark.String(), "index": s.view.Load().Index,
	})
}

type metrics struct {
	requests      metric.Int64Counter
	retries       metric.Int64Counter
	duration      metric.Float64Histogram
	keeperAnswers metric.Int64Counter
	// refusedKeys and refusedOperations count the refusals of guests without an account and those of limits.
	refusedKeys       metric.Int64Counter
	refusedOperations metric.Int64Counter
	// refusedAccounts holds the accounts that have series of their own.
	refusedAccounts *accountLabels
}

func newMetrics() metrics {
	m := otel.Meter("jacinthtiller/statement")
	var out metrics
	var err error
	if out.requests, err = m.Int64Counter("jacinthtiller.statement.requests",
		metric.WithDescription("Requests answered, by the class of their route and outcome.")); err != nil {
		otel.Handle(err) // the instrument returned with the error is a no-op
	}
	if out.retries, err = m.Int64Counter("jacinthtiller.statement.retries",
		metric.WithDescription("Requests sent to another target, by the class of their route.")); err != nil {
		otel.Handle(err)
	}
	if out.duration, err = m.Float64Histogram("jacinthtiller.statement.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to its answer, by the class of its route."),
		metric.WithExplicitBucketBoundaries(0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)); err != nil {
		otel.Handle(err)
	}
	if out.keeperAnswers, err = m.Int64Counter("jacinthtiller.statement.keeper-answers",
		metric.WithDescription("Answers of other hosts about the freshness of databases, by whether they knew it.")); err != nil {
		otel.Handle(err)
	}
	if out.refusedKeys, err = m.Int64Counter("jacinthtiller.statement.refused-keys",
		metric.WithDescription("Guests refused because no account has their key, at startup or at a later operation.")); err != nil {
		otel.Handle(err)
	}
	if out.refusedOperations, err = m.Int64Counter("jacinthtiller.statement.refused-operations",
		metric.WithDescription("Operations refused by the limits of accounts, by account and cause.")); err != nil {
		otel.Handle(err)
	}
	out.refusedAccounts = &accountLabels{names: map[string]bool{}}
	return out
}

func (m metrics) countKeeperAnswer(known bool) {
	m.keeperAnswers.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("known", known)))
}

func (m metrics) countRequest(r jacinthtiller.Route, outcome string, took time.Duration) {
	class := attribute.String("class", string(r.Class))
	m.requests.Add(context.Background(), 1, metric.WithAttributes(class, attribute.String("outcome", outcome)))
	m.duration.Record(context.Background(), took.Seconds(), metric.WithAttributes(class))
}

func (m metrics) countRetry(r jacinthtiller.Route) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("class", string(r.Class))))
}

func (m metrics) countRefusedKey(when string) {
	m.refusedKeys.Add(context.Background(), 1, metric.WithAttributes(attribute.String("at", when)))
}
