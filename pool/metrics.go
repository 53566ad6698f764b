package pool

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

type metrics struct {
	opens, closes metric.Int64Counter
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
		opens:  counter("jacinthtiller.pool.opened", "Connections opened to targets."),
		closes: counter("jacinthtiller.pool.closed", "Connections to targets closed, by reason."),
	}
}

func (m metrics) opened() { m.opens.Add(context.Background(), 1) }

// closed counts a closed connection. reason is a label value of the metric; its texts must not change.
func (m metrics) closed(reason string) {
	m.closes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}
