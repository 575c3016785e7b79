package peers

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

// Traffic counts the datagrams of one kind and their UDP payload bytes.
type Traffic struct{ SentDatagrams, SentBytes, ReceivedDatagrams, ReceivedBytes uint64 }

type traffic struct{ sentDatagrams, sentBytes, receivedDatagrams, receivedBytes atomic.Uint64 }

type counters struct {
	trafficByKind                      [packer.KindNotice + 1]traffic
	forged, replayed, malformed        atomic.Uint64
	oversized, readErrors, writeErrors atomic.Uint64
	gateForwardsDropped                atomic.Uint64
}

func (c *counters) countSent(k packer.Kind, size int) {
	c.trafficByKind[k].sentDatagrams.Add(1)
	c.trafficByKind[k].sentBytes.Add(uint64(size))
}

func (c *counters) countReceived(k packer.Kind, size int) {
	c.trafficByKind[k].receivedDatagrams.Add(1)
	c.trafficByKind[k].receivedBytes.Add(uint64(size))
}

func (c *counters) countDrop(err error) {
	switch {
	case packer.IsErrForged(err):
		c.forged.Add(1)
	case packer.IsErrReplayed(err):
		c.replayed.Add(1)
	case packer.IsErrOversized(err):
		c.oversized.Add(1)
	default:
		c.malformed.Add(1)
	}
}

// Traffic returns the traffic since the start, by kind of datagram.
func (p *Peers) Traffic() map[packer.Kind]Traffic {
	result := make(map[packer.Kind]Traffic)
	for k := packer.KindPing; k <= packer.KindNotice; k++ {
		t := &p.counters.trafficByKind[k]
		result[k] = Traffic{
			t.sentDatagrams.Load(), t.sentBytes.Load(), t.receivedDatagrams.Load(), t.receivedBytes.Load(),
		}
	}
	return result
}

// DropCounts returns the number of datagrams dropped since the start, by cause.
func (p *Peers) DropCounts() map[string]uint64 { return p.counters.drops() }

func (c *counters) drops() map[string]uint64 {
	return map[string]uint64{
		"forged": c.forged.Load(), "replayed": c.replayed.Load(), "malformed": c.malformed.Load(),
		"oversized": c.oversized.Load(), "read-error": c.readErrors.Load(), "write-error": c.writeErrors.Load(),
		"forward-queue-full": c.gateForwardsDropped.Load(),
	}
}

func (c *counters) registerMetrics(m metric.Meter, zoneSize func() int, r *restartCounter) error {
	datagrams, err := m.Int64ObservableCounter("bluebelldyke.peer.datagrams", metric.WithDescription("peer datagrams by kind and direction"))
	if err != nil {
		return eris.Wrap(err, "register metric peer.datagrams")
	}
	bytes, err := m.Int64ObservableCounter("bluebelldyke.peer.bytes", metric.WithDescription("bytes of peer datagrams"), metric.WithUnit("By"))
	if err != nil {
		return eris.Wrap(err, "register metric peer.bytes")
	}
	drops, err := m.Int64ObservableCounter("bluebelldyke.peer.drops", metric.WithDescription("peer datagrams dropped by cause"))
	if err != nil {
		return eris.Wrap(err, "register metric peer.drops")
	}
	members, err := m.Int64ObservableGauge("bluebelldyke.peer.zone-members", metric.WithDescription("live members of the own availability zone"))
	if err != nil {
		return eris.Wrap(err, "register metric peer.zone-members")
	}
	restarts, err := m.Int64ObservableCounter("bluebelldyke.peer.restarts", metric.WithDescription("restarts of other daemons by whether they had announced their stop"))
	if err != nil {
		return eris.Wrap(err, "register metric peer.restarts")
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for k := packer.KindPing; k <= packer.KindNotice; k++ {
			kind := attribute.String("kind", k.String())
			in := metric.WithAttributes(kind, attribute.String("direction", "in"))
			out := metric.WithAttributes(kind, attribute.String("direction", "out"))
			t := &c.trafficByKind[k]
			o.ObserveInt64(datagrams, int64(t.receivedDatagrams.Load()), in)
			o.ObserveInt64(datagrams, int64(t.sentDatagrams.Load()), out)
			o.ObserveInt64(bytes, int64(t.receivedBytes.Load()), in)
			o.ObserveInt64(bytes, int64(t.sentBytes.Load()), out)
		}
		for cause, n := range c.drops() {
			o.ObserveInt64(drops, int64(n), metric.WithAttributes(attribute.String("cause", cause)))
		}
		o.ObserveInt64(members, int64(zoneSize()))
		o.ObserveInt64(restarts, int64(r.planned.Load()), metric.WithAttributes(attribute.Bool("planned", true)))
		o.ObserveInt64(restarts, int64(r.unplanned.Load()), metric.WithAttributes(attribute.Bool("planned", false)))
		return nil
	}, datagrams, bytes, drops, members, restarts)
	return eris.Wrap(err, "register the callback of the peer metrics")
}
