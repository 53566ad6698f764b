package replica

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// decisions counts decisions by reason.
var decisions, decisionsErr = otel.Meter("jacinthtiller/replica").Int64Counter("jacinthtiller.route.decisions",
	metric.WithDescription("Decisions of the router by reason"))

// reasonOptions holds the metric options of each reason, so that Count does not allocate.
var reasonOptions = func() map[Reason][]metric.AddOption {
	out := map[Reason][]metric.AddOption{}
	for _, r := range Reasons() {
		out[r] = []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(attribute.String("reason", string(r))))}
	}
	return out
}()

// Count counts the decision under its reason.
func Count(ctx context.Context, d Decision) {
	if decisionsErr == nil {
		decisions.Add(ctx, 1, reasonOptions[d.Reason]...)
	}
}
