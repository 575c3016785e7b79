package transporter

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/recorder"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// Sizes of the array of counters: the number of values of steerer.Action, and at least that of steerer.Cause.
const (
	actionCount = 4
	maxCauses   = 32
)

// counts holds the counters and histograms of the decisions about packets.
type counts struct {
	decisions [actionCount][maxCauses]atomic.Uint64 // by steerer.Action and steerer.Cause
	malformed atomic.Uint64
	// refusedDocuments counts documents that were not put in force because of a panic, and rebuilds the rebuilds of the Steerer after one.
	refusedDocuments, rebuilds atomic.Uint64
	pool                       poolCounts
	placementTime              metric.Float64Histogram
	retransmissions            metric.Int64Histogram
}

// Bucket bounds of the histograms: a decision takes microseconds unless the process waits for a processor, and callers retransmit an
// opening packet twice.
var (
	placementTimeBounds  = []float64{0.000_01, 0.000_1, 0.001, 0.01, 0.1}
	retransmissionBounds = []float64{0, 1, 2}
)

// addDecision counts a decision about a packet that was read at readAt.
func (c *counts) addDecision(d *steerer.Decision, readAt time.Time) {
	c.decisions[d.Action][d.Cause].Add(1)
	switch {
	case c.placementTime == nil: // RegisterMetrics was not called
	case d.Cause == steerer.Placed, d.Cause == steerer.Moved:
		c.placementTime.Record(context.Background(), time.Since(readAt).Seconds())
	case d.HandshakeCompleted:
		c.retransmissions.Record(context.Background(), int64(d.Retransmissions))
	}
}

// lostFlows returns the number of established flows that were reset because their backend server was lost.
func (c *counts) lostFlows() uint64 {
	resets := &c.decisions[steerer.Reset]
	return resets[steerer.BackendServerRemoved].Load() + resets[steerer.BackendServerSilent].Load()
}

// observe reports the number of packets by outcome and cause. Pairs that never occurred are omitted.
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

// RegisterMetrics registers the metrics of the transporter.
func (t *Transporter) RegisterMetrics(m metric.Meter) error {
	packets, err := m.Int64ObservableCounter("bluebelldyke.direct.packets", metric.WithDescription("packets of callers by decision"))
	if err != nil {
		return eris.Wrap(err, "metric direct.packets")
	}
	flows, err := m.Int64ObservableGauge("bluebelldyke.direct.flows", metric.WithDescription("open flows seen, by backend server and availability zone"))
	if err != nil {
		return eris.Wrap(err, "metric direct.flows")
	}
	admission, err := newAdmissionMetrics(m)
	if err != nil {
		return err
	}
	placed, err := m.Int64ObservableCounter("bluebelldyke.direct.placements", metric.WithDescription("new flows, by backend server and availability zone"))
	if err != nil {
		return eris.Wrap(err, "metric direct.placements")
	}
	refused, err := m.Int64ObservableCounter("bluebelldyke.direct.refused-documents", metric.WithDescription("configurations, backend lists and sets of evacuated zones not put in force because of a panic"))
	if err != nil {
		return eris.Wrap(err, "metric direct.refused-documents")
	}
	sharedTags, err := m.Int64ObservableGauge("bluebelldyke.direct.shared-tags", metric.WithDescription("backend servers that share a flow tag with another one"))
	if err != nil {
		return eris.Wrap(err, "metric direct.shared-tags")
	}
	rebuilds, err := m.Int64ObservableCounter("bluebelldyke.direct.rebuilds", metric.WithDescription("rebuilds of the state of flows from the documents in force after a panic"))
	if err != nil {
		return eris.Wrap(err, "metric direct.rebuilds")
	}
	zones, err := newZoneInstruments(m)
	if err != nil {
		return err
	}
	t.counts.placementTime, err = m.Float64Histogram("bluebelldyke.direct.place-time", metric.WithUnit("s"),
		metric.WithDescription("time from reading an opening packet to the choice of a backend server"), metric.WithExplicitBucketBoundaries(placementTimeBounds...))
	if err != nil {
		return eris.Wrap(err, "metric direct.place-time")
	}
	t.counts.retransmissions, err = m.Int64Histogram("bluebelldyke.direct.handshake-copies",
		metric.WithDescription("copies of the opening packet until the flow was open"), metric.WithExplicitBucketBoundaries(retransmissionBounds...))
	if err != nil {
		return eris.Wrap(err, "metric direct.handshake-copies")
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		t.counts.observe(o, packets)
		o.ObserveInt64(refused, int64(t.counts.refusedDocuments.Load()))
		o.ObserveInt64(rebuilds, int64(t.counts.rebuilds.Load()))
		var servers []steerer.ServerFlows
		var zoneCounts map[string]steerer.ZoneCounts
		var services []steerer.ServiceAdmission
		var routes []steerer.RouteAdmission
		shared := 0
		t.guarded(readBoundary, func(now time.Time) {
			servers, zoneCounts = t.c.Steerer.Servers(), t.c.Steerer.Zones(now)
			shared = len(t.c.Steerer.SharedTags())
			services, routes = t.c.Steerer.AdmissionServices(), t.c.Steerer.AdmissionRoutes()
		})
		o.ObserveInt64(sharedTags, int64(shared))
		zones.observe(o, zoneCounts)
		admission.observe(o, services, routes)
		for _, b := range servers {
			labels := metric.WithAttributes(attribute.String("server", recorder.ServerName(b.ID)),
				attribute.String("service", b.Service), attribute.String("availability-zone", b.AvailabilityZone))
			o.ObserveInt64(flows, int64(b.OpenFlows), labels)
			o.ObserveInt64(placed, int64(b.PlacedFlows), labels)
		}
		return nil
	}, slices.Concat(zones.all(), admission.instruments(), []metric.Observable{packets, flows, placed, refused, rebuilds, sharedTags})...)
	if err != nil {
		return eris.Wrap(err, "metrics of the transporter")
	}
	if err := t.registerStartMetrics(m); err != nil {
		return err
	}
	if err := t.registerPoolMetrics(m); err != nil {
		return err
	}
	return t.registerPlacementMetrics(m)
}
