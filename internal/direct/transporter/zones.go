package transporter

import (
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// zoneInstruments are the metrics of evacuated zones and of backend servers that warm up.
type zoneInstruments struct {
	evacuated, remainingFlows, coldServers metric.Int64ObservableGauge
	coldPlacements                         metric.Int64ObservableCounter
}

func newZoneInstruments(m metric.Meter) (*zoneInstruments, error) {
	var z zoneInstruments
	var err error
	if z.evacuated, err = m.Int64ObservableGauge("bluebelldyke.direct.evacuated-zones", metric.WithDescription("1 for each evacuated availability zone")); err != nil {
		return nil, eris.Wrap(err, "metric direct.evacuated-zones")
	}
	if z.remainingFlows, err = m.Int64ObservableGauge("bluebelldyke.direct.evacuated-flows", metric.WithDescription("open flows seen that remain in an evacuated availability zone")); err != nil {
		return nil, eris.Wrap(err, "metric direct.evacuated-flows")
	}
	if z.coldServers, err = m.Int64ObservableGauge("bluebelldyke.direct.cold-servers", metric.WithDescription("backend servers that warm up, by availability zone")); err != nil {
		return nil, eris.Wrap(err, "metric direct.cold-servers")
	}
	if z.coldPlacements, err = m.Int64ObservableCounter("bluebelldyke.direct.cold-placements", metric.WithDescription("new flows at backend servers while they warmed up, by availability zone")); err != nil {
		return nil, eris.Wrap(err, "metric direct.cold-placements")
	}
	return &z, nil
}

func (z *zoneInstruments) all() []metric.Observable {
	return []metric.Observable{z.evacuated, z.remainingFlows, z.coldServers, z.coldPlacements}
}

// observe reports the counts. Those that are 0 because a zone is not evacuated, or because nothing warms up, are omitted.
func (z *zoneInstruments) observe(o metric.Observer, counts map[string]steerer.ZoneCounts) {
	for zone, c := range counts {
		label := metric.WithAttributes(attribute.String("availability-zone", zone))
		if c.Evacuated {
			o.ObserveInt64(z.evacuated, 1, label)
			o.ObserveInt64(z.remainingFlows, int64(c.OpenFlows), label)
		}
		if c.Cold > 0 || c.ColdPlacements > 0 {
			o.ObserveInt64(z.coldServers, int64(c.Cold), label)
			o.ObserveInt64(z.coldPlacements, int64(c.ColdPlacements), label)
		}
	}
}
