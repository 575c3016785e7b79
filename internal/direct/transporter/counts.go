package transporter

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/recorder"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// counts count packets by what was decided about them.
type counts struct {
	causes                [32]atomic.Uint64 // by steerer.Cause
	malformed, idleResets atomic.Uint64
}

func (c *counts) decided(d *steerer.Decision) { c.causes[d.Cause].Add(1) }

// Register makes the counters and gauges of the transporter visible.
func (t *Transporter) Register(m metric.Meter) error {
	packets, err := m.Int64ObservableCounter("bluebelldyke.direct.packets", metric.WithDescription("packets of callers by decision"))
	if err != nil {
		return eris.Wrap(err, "metric direct.packets")
	}
	resets, err := m.Int64ObservableCounter("bluebelldyke.direct.idle-resets", metric.WithDescription("idle flows reset because their backend server was lost"))
	if err != nil {
		return eris.Wrap(err, "metric direct.idle-resets")
	}
	flows, err := m.Int64ObservableGauge("bluebelldyke.direct.flows", metric.WithDescription("open flows seen, by backend server and availability zone"))
	if err != nil {
		return eris.Wrap(err, "metric direct.flows")
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, cause := range steerer.Causes() {
			o.ObserveInt64(packets, int64(t.counts.causes[cause].Load()), metric.WithAttributes(attribute.String("cause", cause.String())))
		}
		o.ObserveInt64(packets, int64(t.counts.malformed.Load()), metric.WithAttributes(attribute.String("cause", "malformed")))
		o.ObserveInt64(resets, int64(t.counts.idleResets.Load()))
		t.mu.Lock()
		servers := t.c.Steerer.Servers()
		t.mu.Unlock()
		for _, b := range servers {
			o.ObserveInt64(flows, int64(b.Flows), metric.WithAttributes(attribute.String("server", recorder.ServerName(b.ID)),
				attribute.String("service", b.Service), attribute.String("availability-zone", b.AvailabilityZone)))
		}
		return nil
	}, packets, resets, flows)
	return eris.Wrap(err, "metrics of the transporter")
}
