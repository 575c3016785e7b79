package transporter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/recorder"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// Room for the outcomes and causes of steerer.
const (
	outcomes = 3
	causes   = 32
)

// counts count packets by what was decided about them.
type counts struct {
	decisions             [outcomes][causes]atomic.Uint64 // by steerer.Action and steerer.Cause
	malformed, idleResets atomic.Uint64
	placeTime             metric.Float64Histogram
	copies                metric.Int64Histogram
}

// Bounds of the histograms: a decision takes microseconds unless the process waits for its processor, and callers send two
// copies of an opening packet.
var (
	placeTimeBounds = []float64{0.000_01, 0.000_1, 0.001, 0.01, 0.1}
	copiesBounds    = []float64{0, 1, 2}
)

// decided counts a decision about a packet that was read at arrived.
func (c *counts) decided(d *steerer.Decision, arrived time.Time) {
	c.decisions[d.Action][d.Cause].Add(1)
	switch {
	case c.placeTime == nil: // the metrics are not registered
	case d.Cause == steerer.Placed, d.Cause == steerer.Moved:
		c.placeTime.Record(context.Background(), time.Since(arrived).Seconds())
	case d.HandshakeCompleted:
		c.copies.Record(context.Background(), int64(d.Retransmissions))
	}
}

// observe reports the packets by outcome and cause. Pairs that never occurred are left out.
func (c *counts) observe(o metric.Observer, packets metric.Int64Observable) {
	report := func(n uint64, outcome, cause string) {
		if n > 0 {
			o.ObserveInt64(packets, int64(n), metric.WithAttributes(attribute.String("outcome", outcome), attribute.String("cause", cause)))
		}
	}
	for action := range c.decisions {
		for _, cause := range steerer.Causes() {
			report(c.decisions[action][cause].Load(), steerer.Action(action).String(), cause.String())
		}
	}
	report(c.malformed.Load(), steerer.Drop.String(), "malformed")
}

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
	placed, err := m.Int64ObservableCounter("bluebelldyke.direct.placements", metric.WithDescription("new flows, by backend server and availability zone"))
	if err != nil {
		return eris.Wrap(err, "metric direct.placements")
	}
	t.counts.placeTime, err = m.Float64Histogram("bluebelldyke.direct.place-time", metric.WithUnit("s"),
		metric.WithDescription("time from reading an opening packet to the choice of a backend server"), metric.WithExplicitBucketBoundaries(placeTimeBounds...))
	if err != nil {
		return eris.Wrap(err, "metric direct.place-time")
	}
	t.counts.copies, err = m.Int64Histogram("bluebelldyke.direct.handshake-copies",
		metric.WithDescription("copies of the opening packet until the flow was open"), metric.WithExplicitBucketBoundaries(copiesBounds...))
	if err != nil {
		return eris.Wrap(err, "metric direct.handshake-copies")
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		t.counts.observe(o, packets)
		o.ObserveInt64(resets, int64(t.counts.idleResets.Load()))
		t.mu.Lock()
		servers := t.c.Steerer.Servers()
		t.mu.Unlock()
		for _, b := range servers {
			of := metric.WithAttributes(attribute.String("server", recorder.ServerName(b.ID)),
				attribute.String("service", b.Service), attribute.String("availability-zone", b.AvailabilityZone))
			o.ObserveInt64(flows, int64(b.OpenFlows), of)
			o.ObserveInt64(placed, int64(b.PlacedFlows), of)
		}
		return nil
	}, packets, resets, flows, placed)
	return eris.Wrap(err, "metrics of the transporter")
}
