package transporter

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// Bounds of the packets that are held under overload. The smallest VMs have 80 MB of memory and a share of 1,500 requests a second; the
// requests of a deadline of 4 s at 100 a second fit.
const (
	MaxHeldPackets = 512
	MaxHeldBytes   = 600_000
)

// heldPackets holds the packets of requests that wait. The Steerer bounds their number and size.
type heldPackets struct {
	requests map[uint64][]heldPacket // by Decision.Hold
}

// heldPacket is a held packet behind the prefix of a forwarded one.
type heldPacket struct{ datagram []byte }

// hold keeps a packet. The caller holds mu.
func (t *Transporter) hold(datagram []byte, d *steerer.Decision) {
	if t.held.requests == nil {
		t.held.requests = map[uint64][]heldPacket{}
	}
	if len(t.held.requests) == 0 {
		select {
		case t.holdStarted <- struct{}{}:
		default:
		}
	}
	kept := heldPacket{append([]byte(nil), datagram...)}
	t.held.requests[d.Hold] = append(t.held.requests[d.Hold], kept)
}

// release forwards or drops the held requests whose turn has come. The caller holds mu, so that later packets of a flow are forwarded
// after the held ones.
func (t *Transporter) release(now time.Time) {
	for {
		id, d, ok := t.c.Steerer.NextRelease(now)
		if !ok {
			return
		}
		packets := t.held.requests[id]
		delete(t.held.requests, id)
		for i := range packets {
			t.carryOut(now, packets[i].datagram, &d, i == 0)
		}
	}
}

// carryOut forwards or drops a held packet. The first packet of a request is logged.
func (t *Transporter) carryOut(now time.Time, datagram []byte, d *steerer.Decision, first bool) {
	t.counts.decisions[d.Action][d.Cause].Add(1)
	if first {
		var p editor.Packet
		if t.c.Layout.Parse(datagram[prefixSize:], &p) == nil {
			t.c.Recorder.LogDecision(now, &p, d)
		}
	}
	if d.Action != steerer.Forward {
		return
	}
	binary.BigEndian.PutUint64(datagram, uint64(d.Server))
	_, _ = t.conn.WriteToUDPAddrPort(datagram, d.Address) // the caller retransmits a lost packet
}

// ForwardHeld forwards all held packets and holds no further ones. It is called at the start of a planned stop.
func (t *Transporter) ForwardHeld() {
	t.guarded(releaseBoundary, func(now time.Time) {
		t.stopping = true
		t.c.Steerer.ReleaseAll(now)
		t.release(now)
	})
}

// runReleases releases held packets in time. It wakes up only while packets are held.
func (t *Transporter) runReleases(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	for {
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-t.holdStarted:
		case <-timer.C:
		}
		if !t.guarded(releaseBoundary, func(now time.Time) {
			t.release(now)
			if at, ok := t.c.Steerer.NextReleaseAt(now); ok {
				timer.Reset(max(at.Sub(now), 0))
			}
		}) {
			timer.Reset(tickInterval)
		}
	}
}

// admissionMetrics are the metrics of admission control.
type admissionMetrics struct {
	overloaded metric.Int64ObservableGauge
	level      metric.Float64ObservableGauge
	signal     metric.Float64ObservableGauge
	waiting    metric.Int64ObservableGauge
	requests   metric.Int64ObservableCounter
}

func newAdmissionMetrics(m metric.Meter) (a admissionMetrics, err error) {
	if a.overloaded, err = m.Int64ObservableGauge("bluebelldyke.direct.admission-overloaded", metric.WithDescription("1 while the service is overloaded")); err != nil {
		return a, eris.Wrap(err, "metric direct.admission-overloaded")
	}
	if a.level, err = m.Float64ObservableGauge("bluebelldyke.direct.admission-level", metric.WithDescription("requests in progress that this daemon admits")); err != nil {
		return a, eris.Wrap(err, "metric direct.admission-level")
	}
	if a.signal, err = m.Float64ObservableGauge("bluebelldyke.direct.admission-signal", metric.WithDescription("mean delay of responses as a share of the target latency")); err != nil {
		return a, eris.Wrap(err, "metric direct.admission-signal")
	}
	if a.waiting, err = m.Int64ObservableGauge("bluebelldyke.direct.admission-waiting", metric.WithDescription("held requests")); err != nil {
		return a, eris.Wrap(err, "metric direct.admission-waiting")
	}
	a.requests, err = m.Int64ObservableCounter("bluebelldyke.direct.admission-requests", metric.WithDescription("requests by route and outcome of admission control"))
	return a, eris.Wrap(err, "metric direct.admission-requests")
}

func (a *admissionMetrics) instruments() []metric.Observable {
	return []metric.Observable{a.overloaded, a.level, a.signal, a.waiting, a.requests}
}

// observe reports the state of admission control. Without it, nothing is reported.
func (a *admissionMetrics) observe(o metric.Observer, services []steerer.ServiceAdmission, routes []steerer.RouteAdmission) {
	for i := range services {
		s := &services[i]
		label := metric.WithAttributes(attribute.String("service", s.Service))
		overloaded := int64(0)
		if s.Overloaded {
			overloaded = 1
		}
		o.ObserveInt64(a.overloaded, overloaded, label)
		o.ObserveFloat64(a.level, s.Level, label)
		o.ObserveFloat64(a.signal, s.Signal, label)
		o.ObserveInt64(a.waiting, int64(s.Waiting), label)
	}
	for i := range routes {
		r := &routes[i]
		for _, count := range [...]struct {
			outcome string
			n       uint64
		}{
			{"held", r.Held}, {"released", r.Released}, {"expired", r.Expired}, {"evicted", r.Evicted}, {"abandoned", r.Abandoned}, {"rejected", r.Rejected},
		} {
			if count.n > 0 {
				o.ObserveInt64(a.requests, int64(count.n), metric.WithAttributes(attribute.String("route", r.Route),
					attribute.String("service", r.Service), attribute.String("outcome", count.outcome)))
			}
		}
	}
}
