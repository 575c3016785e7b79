package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// evacuatedPlaces returns the evacuated places of the current view. It runs on the decision goroutine.
func (d *decider) evacuatedPlaces() []string {
	if d.current == nil {
		return nil
	}
	return d.current.Tree.EvacuatedPlaces()
}

// remainingWork is the work at the backend servers of an evacuated place.
type remainingWork struct {
	requests  int // of this balancer
	openFeeds float64
}

// remainingWork returns the work that remains in each evacuated place. It runs on the decision goroutine.
func (d *decider) remainingWork(now time.Time) map[string]remainingWork {
	remaining := map[string]remainingWork{}
	for _, place := range d.evacuatedPlaces() {
		remaining[place] = remainingWork{}
	}
	if len(remaining) == 0 {
		return remaining
	}
	for _, service := range d.current.Tree.Services {
		for _, b := range d.scheduler.Status(now, service.Name) {
			if r, ok := remaining[b.AvailabilityZone]; ok {
				remaining[b.AvailabilityZone] = remainingWork{r.requests + b.OwnInFlight, r.openFeeds + b.OpenFeeds}
			}
		}
	}
	return remaining
}

// registerEvacuation exports which places are evacuated and the work that remains there. A place that is not evacuated has no
// values.
func registerEvacuation(m metric.Meter, s *status) error {
	for _, g := range []struct {
		name, description, unit string
		read                    func(remainingWork) float64
	}{
		{"evacuated", "1 for each evacuated place.", "", func(remainingWork) float64 { return 1 }},
		{"evacuated.requests", "Requests of this balancer in flight at the backend servers of an evacuated place.", "{request}",
			func(r remainingWork) float64 { return float64(r.requests) }},
		{"evacuated.feeds", "Open feeds at the backend servers of an evacuated place, as this balancer estimates them.", "{feed}",
			func(r remainingWork) float64 { return r.openFeeds }},
	} {
		_, err := m.Float64ObservableGauge("bluebelldyke."+g.name, metric.WithDescription(g.description), metric.WithUnit(g.unit),
			metric.WithFloat64Callback(func(ctx context.Context, o metric.Float64Observer) error {
				ctx, cancel := context.WithTimeout(ctx, queryTimeout)
				defer cancel()
				remaining, err := runQuery(ctx, s.decider, s.decider.remainingWork)
				if err != nil {
					return nil // as for the other gauges, a busy daemon exports no value
				}
				for place, r := range remaining {
					o.Observe(g.read(r), metric.WithAttributes(attribute.String("place", place)))
				}
				return nil
			}))
		if err != nil {
			return eris.Wrap(err, "register the gauges of evacuated places")
		}
	}
	return nil
}
