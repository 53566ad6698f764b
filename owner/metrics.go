package owner

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jacinthtiller/jacinthtiller"
)

// instruments holds the owner's metric instruments. Where one cannot be created, the API
// returns a no-op instrument along with its error.
type instruments struct {
	units         metric.Int64Counter
	resets        metric.Int64Counter
	majorityWaits metric.Float64Histogram
	// regressions counts reported positions below one that the same target reported earlier.
	regressions metric.Int64Counter
	// outcomeOptions holds the attributes of each outcome, created once because units are frequent.
	outcomeOptions map[jacinthtiller.Outcome]metric.MeasurementOption
}

func newInstruments() *instruments {
	m := otel.Meter("jacinthtiller/owner")
	out := &instruments{outcomeOptions: map[jacinthtiller.Outcome]metric.MeasurementOption{}}
	out.units, _ = m.Int64Counter("jacinthtiller.owner.units", metric.WithDescription("units by outcome"))
	out.resets, _ = m.Int64Counter("jacinthtiller.owner.resets", metric.WithDescription("connections reset between sessions"))
	out.regressions, _ = m.Int64Counter("jacinthtiller.owner.regressions", metric.WithDescription("targets that went back in their log"))
	out.majorityWaits, _ = m.Float64Histogram("jacinthtiller.owner.settle",
		metric.WithUnit("s"), metric.WithDescription("waits for a majority"))
	for _, o := range []jacinthtiller.Outcome{jacinthtiller.OutcomeDone, jacinthtiller.OutcomeNotRun, jacinthtiller.OutcomeUnknown} {
		out.outcomeOptions[o] = metric.WithAttributeSet(attribute.NewSet(attribute.String("outcome", string(o))))
	}
	return out
}

func (m *instruments) countUnit(o jacinthtiller.Outcome) {
	if opt, ok := m.outcomeOptions[o]; ok {
		m.units.Add(context.Background(), 1, opt)
	}
}

func (m *instruments) recordMajorityWait(since time.Time) {
	m.majorityWaits.Record(context.Background(), time.Since(since).Seconds())
}
