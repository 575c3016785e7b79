package relayer

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

type counts struct {
	platformCalls, platformFailures, platformBytes       atomic.Uint64
	applied, rejected                                    atomic.Uint64
	noticesIn, noticesOut, noticesFailed, noticesRefused atomic.Uint64
	repairs, refreshes, pauses                           atomic.Uint64
	pullFailures, mismatches, forged, connectionsRefused atomic.Uint64
	deltasServed, wholesServed, deltasIn, wholesIn       atomic.Uint64
	deltaBytes, wholeBytes                               atomic.Uint64
	bytesIn, bytesOut                                    atomic.Uint64
}

func (c *counts) decided(d reviser.Decision) {
	switch d.Outcome {
	case reviser.Applied:
		c.applied.Add(1)
	case reviser.Rejected:
		c.rejected.Add(1)
	}
}

func (c *counts) served(u reviser.Update, a *answer) {
	switch {
	case u.Unchanged:
	case len(u.Deltas) > 0:
		c.deltasServed.Add(1)
		c.deltaBytes.Add(uint64(len(a.Sealed)))
	default:
		c.wholesServed.Add(1)
		c.wholeBytes.Add(uint64(len(a.Sealed)))
	}
}

func (c *counts) fetched(u reviser.Update) {
	switch {
	case u.Unchanged:
	case len(u.Deltas) > 0:
		c.deltasIn.Add(1)
	default:
		c.wholesIn.Add(1)
	}
}

func (c *counts) list() []struct {
	name  string
	value *atomic.Uint64
} {
	return []struct {
		name  string
		value *atomic.Uint64
	}{
		{"platform-calls", &c.platformCalls}, {"platform-failures", &c.platformFailures},
		{"platform-bytes", &c.platformBytes}, {"applied", &c.applied}, {"rejected", &c.rejected},
		{"notices-in", &c.noticesIn}, {"notices-out", &c.noticesOut}, {"notices-failed", &c.noticesFailed},
		{"notices-refused", &c.noticesRefused}, {"repairs", &c.repairs}, {"refreshes", &c.refreshes},
		{"pauses", &c.pauses}, {"pull-failures", &c.pullFailures}, {"delta-mismatches", &c.mismatches},
		{"forged", &c.forged}, {"connections-refused", &c.connectionsRefused}, {"deltas-served", &c.deltasServed},
		{"wholes-served", &c.wholesServed}, {"deltas-in", &c.deltasIn}, {"wholes-in", &c.wholesIn},
		{"delta-bytes", &c.deltaBytes}, {"whole-bytes", &c.wholeBytes}, {"bytes-in", &c.bytesIn},
		{"bytes-out", &c.bytesOut},
	}
}

// Counts returns the counters by name since the start.
func (r *Relayer) Counts() map[string]uint64 {
	result := make(map[string]uint64)
	for _, item := range r.counts.list() {
		result[item.name] = item.value.Load()
	}
	return result
}

func (r *Relayer) register(m metric.Meter) error {
	var instruments []metric.Observable
	events, err := m.Int64ObservableCounter("bluebelldyke.relay.events", metric.WithDescription("relay events and bytes by name"))
	if err != nil {
		return eris.Wrap(err, "metric relay.events")
	}
	revision, err := m.Int64ObservableGauge("bluebelldyke.relay.revision", metric.WithDescription("revision in force by document"))
	if err != nil {
		return eris.Wrap(err, "metric relay.revision")
	}
	instruments = append(instruments, events, revision)
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, item := range r.counts.list() {
			o.ObserveInt64(events, int64(item.value.Load()), metric.WithAttributes(attribute.String("event", item.name)))
		}
		for _, d := range r.Documents() {
			o.ObserveInt64(revision, int64(d.RevisionInForce), metric.WithAttributes(attribute.String("document", d.Name)))
		}
		return nil
	}, instruments...)
	return eris.Wrap(err, "relay metrics")
}
