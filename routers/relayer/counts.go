package relayer

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

// counters are the values of the metric relay.events. namedCounters returns them with the names that the metric uses.
type counters struct {
	platformCalls, platformFailures, platformBytes                                      atomic.Uint64
	applied, rejected                                                                   atomic.Uint64
	notificationsReceived, notificationsSent, notificationsFailed, notificationsRefused atomic.Uint64
	heartbeatRepairs, refreshes, pauses                                                 atomic.Uint64
	pullFailures, deltaMismatches, forged, connectionsRefused                           atomic.Uint64
	deltasServed, fullContentsServed, deltasReceived, fullContentsReceived              atomic.Uint64
	deltaBytes, fullContentBytes                                                        atomic.Uint64
	bytesReceived, bytesSent                                                            atomic.Uint64
}

func (c *counters) countDecision(d reviser.Decision) {
	switch d.Outcome {
	case reviser.Applied:
		c.applied.Add(1)
	case reviser.Rejected:
		c.rejected.Add(1)
	}
}

// countServed counts an update that was served to a peer.
func (c *counters) countServed(u reviser.Update, f *fetchResult) {
	switch {
	case u.Unchanged:
	case len(u.Deltas) > 0:
		c.deltasServed.Add(1)
		c.deltaBytes.Add(uint64(len(f.Sealed)))
	default:
		c.fullContentsServed.Add(1)
		c.fullContentBytes.Add(uint64(len(f.Sealed)))
	}
}

// countFetched counts an update that was fetched from a peer.
func (c *counters) countFetched(u reviser.Update) {
	switch {
	case u.Unchanged:
	case len(u.Deltas) > 0:
		c.deltasReceived.Add(1)
	default:
		c.fullContentsReceived.Add(1)
	}
}

// namedCounters returns the counters with their metric names.
func (c *counters) namedCounters() []struct {
	name  string
	value *atomic.Uint64
} {
	return []struct {
		name  string
		value *atomic.Uint64
	}{
		{"platform-calls", &c.platformCalls}, {"platform-failures", &c.platformFailures},
		{"platform-bytes", &c.platformBytes}, {"applied", &c.applied}, {"rejected", &c.rejected},
		{"notices-in", &c.notificationsReceived}, {"notices-out", &c.notificationsSent}, {"notices-failed", &c.notificationsFailed},
		{"notices-refused", &c.notificationsRefused}, {"repairs", &c.heartbeatRepairs}, {"refreshes", &c.refreshes},
		{"pauses", &c.pauses}, {"pull-failures", &c.pullFailures}, {"delta-mismatches", &c.deltaMismatches},
		{"forged", &c.forged}, {"connections-refused", &c.connectionsRefused}, {"deltas-served", &c.deltasServed},
		{"wholes-served", &c.fullContentsServed}, {"deltas-in", &c.deltasReceived}, {"wholes-in", &c.fullContentsReceived},
		{"delta-bytes", &c.deltaBytes}, {"whole-bytes", &c.fullContentBytes}, {"bytes-in", &c.bytesReceived},
		{"bytes-out", &c.bytesSent},
	}
}

// Counts returns the counters since the start, by name.
func (r *Relayer) Counts() map[string]uint64 {
	result := make(map[string]uint64)
	for _, item := range r.counters.namedCounters() {
		result[item.name] = item.value.Load()
	}
	return result
}

func (r *Relayer) registerMetrics(m metric.Meter) error {
	var instruments []metric.Observable
	events, err := m.Int64ObservableCounter("bluebelldyke.relay.events", metric.WithDescription("relay events and bytes by name"))
	if err != nil {
		return eris.Wrap(err, "register metric relay.events")
	}
	revision, err := m.Int64ObservableGauge("bluebelldyke.relay.revision", metric.WithDescription("revision in force by document"))
	if err != nil {
		return eris.Wrap(err, "register metric relay.revision")
	}
	instruments = append(instruments, events, revision)
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, item := range r.counters.namedCounters() {
			o.ObserveInt64(events, int64(item.value.Load()), metric.WithAttributes(attribute.String("event", item.name)))
		}
		for _, d := range r.Documents() {
			o.ObserveInt64(revision, int64(d.RevisionInForce), metric.WithAttributes(attribute.String("document", d.Name)))
		}
		return nil
	}, instruments...)
	return eris.Wrap(err, "register the callback of the relay metrics")
}
