// Package exposer serves the metrics of OpenTelemetry instruments in the Prometheus text format.
//
// The Prometheus exporter of OpenTelemetry depends on the Prometheus client and protobuf. They add 0.2 MB, and 15 ms
// to each start on a VM with 0.09 of a CPU core (ADR 0010). This package produces the same output without them.
package exposer

import (
	"net/http"

	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
)

// contentType is the content type of version 0.0.4 of the Prometheus text format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// New returns a meter provider and an HTTP handler that serves the metrics of its instruments.
func New() (*sdkmetric.MeterProvider, http.Handler, error) {
	reader := sdkmetric.NewManualReader()
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader))
	return provider, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var collected metricdata.ResourceMetrics
		if err := reader.Collect(r.Context(), &collected); err != nil {
			http.Error(w, "metrics could not be collected: "+err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write(formatPage(&collected)) // an error means that the client has disconnected
	}), nil
}
