package peers

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

// Traffic counts datagrams and their UDP payload bytes of one kind.
type Traffic struct{ SentDatagrams, SentBytes, ReceivedDatagrams, ReceivedBytes uint64 }

type traffic struct{ sentDatagrams, sentBytes, receivedDatagrams, receivedBytes atomic.Uint64 }

type counts struct {
	kinds                              [packer.KindNotice + 1]traffic
	forged, replayed, malformed        atomic.Uint64
	oversized, readErrors, writeErrors atomic.Uint64
	forwardsDropped                    atomic.Uint64
}

func (c *counts) sent(k packer.Kind, size int) {
	c.kinds[k].sentDatagrams.Add(1)
	c.kinds[k].sentBytes.Add(uint64(size))
}

func (c *counts) received(k packer.Kind, size int) {
	c.kinds[k].receivedDatagrams.Add(1)
	c.kinds[k].receivedBytes.Add(uint64(size))
}

func (c *counts) drop(err error) {
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

// Traffic returns the traffic by kind since the start.
func (p *Peers) Traffic() map[packer.Kind]Traffic {
	result := make(map[packer.Kind]Traffic)
	for k := packer.KindPing; k <= packer.KindNotice; k++ {
		t := &p.counts.kinds[k]
		result[k] = Traffic{
			t.sentDatagrams.Load(), t.sentBytes.Load(), t.receivedDatagrams.Load(), t.receivedBytes.Load(),
		}
	}
	return result
}

// DropCounts returns the datagrams dropped by cause since the start.
func (p *Peers) DropCounts() map[string]uint64 { return p.counts.dropped() }

func (c *counts) dropped() map[string]uint64 {
	return map[string]uint64{
		"forged": c.forged.Load(), "replayed": c.replayed.Load(), "malformed": c.malformed.Load(),
		"oversized": c.oversized.Load(), "read-error": c.readErrors.Load(), "write-error": c.writeErrors.Load(),
		"forward-queue-full": c.forwardsDropped.Load(),
	}
}

func (c *counts) register(m metric.Meter, zoneSize func() int) error {
	datagrams, err := m.Int64ObservableCounter("bluebelldyke.peer.datagrams", metric.WithDescription("peer datagrams by kind and direction"))
	if err != nil {
		return eris.Wrap(err, "metric peer.datagrams")
	}
	bytes, err := m.Int64ObservableCounter("bluebelldyke.peer.bytes", metric.WithDescription("bytes of peer datagrams"), metric.WithUnit("By"))
	if err != nil {
		return eris.Wrap(err, "metric peer.bytes")
	}
	drops, err := m.Int64ObservableCounter("bluebelldyke.peer.drops", metric.WithDescription("peer datagrams dropped by cause"))
	if err != nil {
		return eris.Wrap(err, "metric peer.drops")
	}
	members, err := m.Int64ObservableGauge("bluebelldyke.peer.zone-members", metric.WithDescription("live members of the own availability zone"))
	if err != nil {
		return eris.Wrap(err, "metric peer.zone-members")
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for k := packer.KindPing; k <= packer.KindNotice; k++ {
			kind := attribute.String("kind", k.String())
			in := metric.WithAttributes(kind, attribute.String("direction", "in"))
			out := metric.WithAttributes(kind, attribute.String("direction", "out"))
			t := &c.kinds[k]
			o.ObserveInt64(datagrams, int64(t.receivedDatagrams.Load()), in)
			o.ObserveInt64(datagrams, int64(t.sentDatagrams.Load()), out)
			o.ObserveInt64(bytes, int64(t.receivedBytes.Load()), in)
			o.ObserveInt64(bytes, int64(t.sentBytes.Load()), out)
		}
		for cause, n := range c.dropped() {
			o.ObserveInt64(drops, int64(n), metric.WithAttributes(attribute.String("cause", cause)))
		}
		o.ObserveInt64(members, int64(zoneSize()))
		return nil
	}, datagrams, bytes, drops, members)
	return eris.Wrap(err, "peer metrics")
}
