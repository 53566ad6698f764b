package daemon

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"github.com/jacinthtiller/jacinthtiller/replica"
)

// unitsMetric is the counter of package session from which Reads takes the number of reads.
const unitsMetric = "jacinthtiller.session.units"

// metricReader collects the metrics of the whole operating system process for Reads.
var metricReader = metric.NewManualReader()

// startMetrics installs the OpenTelemetry metrics provider, once for the operating system process.
var startMetrics = sync.OnceValue(func() error {
	exporter, err := prometheus.New()
	if err != nil {
		return fmt.Errorf("start the Prometheus exporter: %w", err)
	}
	otel.SetMeterProvider(metric.NewMeterProvider(metric.WithReader(exporter), metric.WithReader(metricReader)))
	return nil
})

// metricsHandler serves the metrics in the Prometheus text format.
func metricsHandler() http.Handler {
	if err := startMetrics(); err != nil {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		})
	}
	return promhttp.Handler()
}

// ReadCounts returns how many reads replicas and primaries have served through all
// hosts of this operating system process. Statements in a transaction are not counted.
func ReadCounts() (onReplica, onPrimary uint64) {
	for reason, n := range unitsByReason() {
		switch {
		case strings.HasPrefix(reason, "replica-"):
			onReplica += n
		case reason != string(replica.ReasonWrite) && strings.HasPrefix(reason, "primary-"):
			onPrimary += n
		}
	}
	return onReplica, onPrimary
}

// unitsByReason returns the number of answered requests by routing reason.
func unitsByReason() map[string]uint64 {
	out := map[string]uint64{}
	var all metricdata.ResourceMetrics
	if err := metricReader.Collect(context.Background(), &all); err != nil {
		return out
	}
	for _, scope := range all.ScopeMetrics {
		for _, m := range scope.Metrics {
			sum, ok := m.Data.(metricdata.Sum[int64])
			if m.Name != unitsMetric || !ok {
				continue
			}
			for _, p := range sum.DataPoints {
				reason, _ := p.Attributes.Value(attribute.Key("reason"))
				out[reason.AsString()] += uint64(p.Value)
			}
		}
	}
	return out
}
