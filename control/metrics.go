package control

import (
	"errors"
	"fmt"

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

// The outcomes of a target's report: recorded, without new information, or redirected to the leader.
var (
	outcomeNew        = metric.WithAttributes(attribute.String("outcome", "news"))
	outcomeRepeated   = metric.WithAttributes(attribute.String("outcome", "repeated"))
	outcomeRedirected = metric.WithAttributes(attribute.String("outcome", "elsewhere"))
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
