package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics holds the instruments of a control process.
type metrics struct {
	renewals  metric.Int64Counter
	watchers  metric.Int64UpDownCounter
	deltas    metric.Int64Counter
	decisions metric.Int64Counter
	// targetReports counts the reports of targets, by outcome.
	targetReports metric.Int64Counter
}

// The outcomes of a target's report: recorded, without new information, redirected to the leader, or refused.
var (
	outcomeNew        = metric.WithAttributes(attribute.String("outcome", "news"))
	outcomeRepeated   = metric.WithAttributes(attribute.String("outcome", "repeated"))
	outcomeRedirected = metric.WithAttributes(attribute.String("outcome", "elsewhere"))
	outcomeRefused    = metric.WithAttributes(attribute.String("outcome", "refused"))
)

func newMetrics() (metrics, error) {
	m := otel.Meter("jacinthtiller/control")
	var out metrics
	var errs [5]error
	out.renewals, errs[0] = m.Int64Counter("control-renewals", metric.WithDescription("Renewals answered with a lease."))
	out.watchers, errs[1] = m.Int64UpDownCounter("control-watchers", metric.WithDescription("Watches that are open."))
	out.deltas, errs[2] = m.Int64Counter("control-deltas", metric.WithDescription("Views and deltas sent to watchers."))
	out.decisions, errs[3] = m.Int64Counter("control-decisions", metric.WithDescription("Commands proposed by the leader's own decisions."))
	out.targetReports, errs[4] = m.Int64Counter("control-reports", metric.WithDescription("Reports of targets by outcome."))
	if err := errors.Join(errs[:]...); err != nil {
		return metrics{}, fmt.Errorf("create metrics: %w", err)
	}
	return out, nil
}

// observeWaits registers the metric of the groups whose promotion waits; the result ends it.
func (x *directState) observeWaits() func() {
	m := otel.Meter("jacinthtiller/control")
	gauge, err := m.Float64ObservableGauge("control-promotion-wait", metric.WithUnit("s"),
		metric.WithDescription("How long the promotion of a group without a primary has waited."))
	if err != nil {
		otel.Handle(err) // the instrument returned with the error is a no-op
	}
	r, err := m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		x.mu.Lock()
		defer x.mu.Unlock()
		for database, w := range x.waits {
			o.ObserveFloat64(gauge, time.Since(w.since).Seconds(), metric.WithAttributes(
				attribute.String("database", database), attribute.String("required", w.required), attribute.String("possible-holders", w.holders)))
		}
		return nil
	}, gauge)
	if err != nil {
		otel.Handle(err)
		return func() {}
	}
	return func() { _ = r.Unregister() } // fails only for a registration that has ended
}
