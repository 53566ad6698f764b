package pool

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jacinthtiller/jacinthtiller"
)

type metrics struct {
	opens, closes metric.Int64Counter
	// openings, reuses and evictions are counted for each target.
	openings, reuses, evictions metric.Int64Counter
	// unexpected counts answers that are not, or may not be, those to the requests that wait for them.
	unexpected metric.Int64Counter
}

func newMetrics() metrics {
	m := otel.Meter("jacinthtiller/pool")
	counter := func(name, text string) metric.Int64Counter {
		c, err := m.Int64Counter(name, metric.WithDescription(text))
		if err != nil {
			otel.Handle(err) // the instrument returned with the error is a no-op
		}
		return c
	}
	return metrics{
		opens:     counter("jacinthtiller.pool.opened", "Connections opened to targets."),
		closes:    counter("jacinthtiller.pool.closed", "Connections to targets closed, by reason."),
		openings:  counter("jacinthtiller.pool.openings", "Connections opened, by target and reason."),
		reuses:    counter("jacinthtiller.pool.reused", "Idle connections that were used again, by target."),
		evictions: counter("jacinthtiller.pool.evicted", "Idle connections closed in favour of another account, by target."),

		unexpected: counter("jacinthtiller.pool.unexpected-answers", "Answers that are not, or may not be, those to the requests that wait for them, by target and reason."),
	}
}

func (m metrics) opened() { m.opens.Add(context.Background(), 1) }

// closed counts a closed connection. reason is a label value of the metric; its texts must not change.
func (m metrics) closed(reason string) {
	m.closes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// targetMetrics counts the connections to one target. The attributes are prepared because reuse is counted for every
// statement.
type targetMetrics struct {
	m        metrics
	target   metric.MeasurementOption
	byReason map[string]metric.MeasurementOption
}

func (m metrics) forTarget(t jacinthtiller.Target) targetMetrics {
	labels := []attribute.KeyValue{attribute.String("database", t.Database), attribute.String("target", t.Name)}
	out := targetMetrics{m: m, target: metric.WithAttributeSet(attribute.NewSet(labels...)), byReason: map[string]metric.MeasurementOption{}}
	for _, r := range []string{openedFirst, openedOtherAccount, openedGrown} {
		out.byReason[r] = metric.WithAttributeSet(attribute.NewSet(append(labels[:2:2], attribute.String("reason", r))...))
	}
	return out
}

func (m targetMetrics) opened(reason string) {
	m.m.openings.Add(context.Background(), 1, m.byReason[reason])
}

func (m targetMetrics) reused() { m.m.reuses.Add(context.Background(), 1, m.target) }

func (m targetMetrics) evicted() { m.m.evictions.Add(context.Background(), 1, m.target) }

// unexpected counts an answer. reason is a label value of the metric; its texts must not change.
func (m targetMetrics) unexpected(reason string) {
	m.m.unexpected.Add(context.Background(), 1, m.target, metric.WithAttributes(attribute.String("reason", reason)))
}
