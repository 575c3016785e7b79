package checker

import (
	"context"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/services/examiner"
)

func (c *Checker) registerMetrics(m metric.Meter) error {
	events, err := m.Int64ObservableCounter("bluebelldyke.health.events", metric.WithDescription("health checks and reports by kind"))
	if err != nil {
		return eris.Wrap(err, "register metric health.events")
	}
	assigned, err := m.Int64ObservableGauge("bluebelldyke.health.assigned", metric.WithDescription("backend servers that this daemon checks"))
	if err != nil {
		return eris.Wrap(err, "register metric health.assigned")
	}
	exceptions, err := m.Int64ObservableGauge("bluebelldyke.health.exceptions",
		metric.WithDescription("valid reports of backend servers that are failed, draining or warming"))
	if err != nil {
		return eris.Wrap(err, "register metric health.exceptions")
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		counts := c.Counts()
		for name, value := range eventCounts(counts) {
			o.ObserveInt64(events, int64(value), metric.WithAttributes(attribute.String("event", name)))
		}
		o.ObserveInt64(assigned, int64(counts.AssignedServers))
		o.ObserveInt64(exceptions, int64(counts.NonLiveReports))
		return nil
	}, events, assigned, exceptions)
	return eris.Wrap(err, "register the callback of the health metrics")
}

func eventCounts(c examiner.Counts) map[string]uint64 {
	return map[string]uint64{
		"check": c.Checks, "failed-check": c.FailedChecks, "report-sent": c.ReportsSent, "report-taken": c.ReportsAccepted,
		"report-ignored": c.ReportsIgnored,
	}
}
