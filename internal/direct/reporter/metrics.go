package reporter

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/services/prober"
)

// counts holds the numbers of messages with health findings.
type counts struct {
	reportsSent, reportsReceived, findingsSent, findingsReceived atomic.Int64
	probes                                                       [4]atomic.Int64 // by prober.Outcome
}

// RegisterMetrics registers the numbers of messages with health findings.
func (r *Reporter) RegisterMetrics(m metric.Meter) error {
	_, err := m.Int64ObservableCounter("bluebelldyke.direct.finding-messages",
		metric.WithDescription("messages with health findings, by kind (report to an aggregator, finding for the zone) and direction"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			observe := func(n *atomic.Int64, kind, direction string) {
				o.Observe(n.Load(), metric.WithAttributes(attribute.String("kind", kind), attribute.String("direction", direction)))
			}
			observe(&r.counts.reportsSent, "report", "sent")
			observe(&r.counts.reportsReceived, "report", "received")
			observe(&r.counts.findingsSent, "finding", "sent")
			observe(&r.counts.findingsReceived, "finding", "received")
			return nil
		}))
	if err != nil {
		return eris.Wrap(err, "metric direct.finding-messages")
	}
	_, err = m.Int64ObservableCounter("bluebelldyke.direct.probes", metric.WithDescription("probes of backend servers by outcome"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, outcome := range prober.Outcomes() {
				o.Observe(r.counts.probes[outcome].Load(), metric.WithAttributes(attribute.String("outcome", outcome.String())))
			}
			return nil
		}))
	return eris.Wrap(err, "metric direct.probes")
}
