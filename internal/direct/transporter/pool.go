package transporter

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// poolCounts counts the admission reports of this daemon and of its peers.
type poolCounts struct{ sent, received atomic.Uint64 }

// OnAdmissionReports sets the function that sends the admission reports of this daemon to its peers. It is called before Run.
func (t *Transporter) OnAdmissionReports(send func([]steerer.AdmissionReport)) {
	t.sendDelays = send
}

// AddAdmissionReport applies the admission report of a peer.
func (t *Transporter) AddAdmissionReport(from netip.AddrPort, r steerer.AdmissionReport) {
	t.counts.pool.received.Add(1)
	t.guarded(messageBoundary, func(now time.Time) { t.c.Steerer.AddAdmissionReport(now, from, r) })
}

// reportDelays sends the admission reports that are due.
func (t *Transporter) reportDelays(reports []steerer.AdmissionReport) {
	if len(reports) == 0 || t.sendDelays == nil {
		return
	}
	t.counts.pool.sent.Add(uint64(len(reports)))
	t.sendDelays(reports)
}

// registerPoolMetrics registers the metric of admission reports. Without any nothing is reported.
func (t *Transporter) registerPoolMetrics(m metric.Meter) error {
	reports, err := m.Int64ObservableCounter("bluebelldyke.direct.admission-reports",
		metric.WithDescription("reports of long delays that this daemon has taken for its peers or received from them"))
	if err != nil {
		return eris.Wrap(err, "metric direct.admission-reports")
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for direction, n := range map[string]uint64{"sent": t.counts.pool.sent.Load(), "received": t.counts.pool.received.Load()} {
			if n > 0 {
				o.ObserveInt64(reports, int64(n), metric.WithAttributes(attribute.String("direction", direction)))
			}
		}
		return nil
	}, reports)
	return eris.Wrap(err, "metric of admission reports")
}
