package session

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/replica"
)

var meter = otel.Meter("jacinthtiller/session")

var (
	unitCounter, unitCounterErr = meter.Int64Counter("jacinthtiller.session.units",
		metric.WithDescription("Answered requests by outcome and reason of routing; the share of reads served by replicas is that of the reasons replica-*"))
	guestCounter, guestCounterErr = meter.Int64UpDownCounter("jacinthtiller.session.guests",
		metric.WithDescription("Guest connections by team"))
)

// inTransaction is the reason of requests that are not routed because their transaction was.
const inTransaction replica.Reason = "in-transaction"

// unitOptions holds one option per outcome and reason, so that counting does not allocate.
var unitOptions = func() map[jacinthtiller.Outcome]map[replica.Reason][]metric.AddOption {
	out := map[jacinthtiller.Outcome]map[replica.Reason][]metric.AddOption{}
	for _, o := range []jacinthtiller.Outcome{jacinthtiller.OutcomeDone, jacinthtiller.OutcomeNotRun, jacinthtiller.OutcomeUnknown} {
		out[o] = map[replica.Reason][]metric.AddOption{}
		for _, r := range append(replica.Reasons(), inTransaction) {
			out[o][r] = []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(
				attribute.String("outcome", string(o)), attribute.String("reason", string(r))))}
		}
	}
	return out
}()

func countUnit(o jacinthtiller.Outcome, r replica.Reason) {
	if r == "" {
		r = inTransaction
	}
	if unitCounterErr == nil {
		unitCounter.Add(context.Background(), 1, unitOptions[o][r]...)
	}
}

func countGuest(team string, n int64) {
	if guestCounterErr == nil {
		guestCounter.Add(context.Background(), n, metric.WithAttributes(attribute.String("team", team)))
	}
}
