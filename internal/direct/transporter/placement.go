package transporter

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/services/estimator"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// SetZoneRank sets the function that returns the place of this daemon in the order of the daemons of its availability zone. It is called
// before Run.
func (t *Transporter) SetZoneRank(rank func() int) { t.zoneRank = rank }

// OnDigest sets the function that sends the speed digests of this daemon to its peers. It is called before Run.
func (t *Transporter) OnDigest(send func([]estimator.Record)) { t.sendDigest = send }

// AddDigest applies the speed digest of a peer.
func (t *Transporter) AddDigest(digest []estimator.Record) {
	t.guarded(messageBoundary, func(now time.Time) { t.c.Steerer.AddDigest(now, digest) })
}

// registerPlacementMetrics registers the metrics of connections to backend servers and of slow backend servers.
func (t *Transporter) registerPlacementMetrics(m metric.Meter) error {
	connections, err := m.Int64ObservableCounter("bluebelldyke.direct.connections",
		metric.WithDescription("flow openings forwarded to backend servers: attempts of clients, openings moved by the daemon, and openings that were not moved because of the budget"))
	if err != nil {
		return eris.Wrap(err, "metric direct.connections")
	}
	slow, err := m.Int64ObservableGauge("bluebelldyke.direct.slow-servers", metric.WithDescription("backend servers whose response times exceed the median"))
	if err != nil {
		return eris.Wrap(err, "metric direct.slow-servers")
	}
	spilled, err := m.Int64ObservableCounter("bluebelldyke.direct.spilled-flows",
		metric.WithDescription("new flows sent to another availability zone because requests are expected to take less time there"))
	if err != nil {
		return eris.Wrap(err, "metric direct.spilled-flows")
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		var counts steerer.Connections
		var slowServers int
		var spilledFlows uint64
		t.guarded(readBoundary, func(now time.Time) {
			counts, slowServers, spilledFlows = t.c.Steerer.Connections(), t.c.Steerer.SlowServers(now), t.c.Steerer.SpilledFlows()
		})
		for _, c := range []struct {
			cause string
			count uint64
		}{{"client", counts.ByClients}, {"moved", counts.ByDaemon}, {"kept", counts.Kept}} {
			o.ObserveInt64(connections, int64(c.count), metric.WithAttributes(attribute.String("cause", c.cause)))
		}
		o.ObserveInt64(slow, int64(slowServers))
		o.ObserveInt64(spilled, int64(spilledFlows))
		return nil
	}, connections, slow, spilled)
	return eris.Wrap(err, "metrics of placement")
}
