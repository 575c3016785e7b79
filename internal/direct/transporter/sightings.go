package transporter

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/services/inquirer"
)

// zoneView is what the membership says about the availability zone at a tick.
type zoneView struct {
	members    []netip.AddrPort
	rank       int
	generation uint64
	forwarders inquirer.Zone
}

// zoneView returns the view of the membership.
func (t *Transporter) zoneView() zoneView {
	var v zoneView
	if t.zoneMembers != nil {
		v.members = t.zoneMembers()
	}
	if t.zoneRank != nil {
		v.rank = t.zoneRank()
	}
	if t.generation != nil {
		v.generation = t.generation()
	}
	if t.forwarders != nil {
		v.forwarders = t.forwarders()
	}
	return v
}

// SetForwarders sets the function that returns the daemons of the availability zone to which the fabric may send packets. It is called before
// Run.
func (t *Transporter) SetForwarders(forwarders func() inquirer.Zone) { t.forwarders = forwarders }

// OnQueries sets the function that sends queries about idle flows to other daemons. It is called before Run.
func (t *Transporter) OnQueries(send func([]inquirer.Message)) { t.sendQueries = send }

// OnTakeover sets the function that announces to other daemons that this one takes flows over. It is called before Run.
func (t *Transporter) OnTakeover(announce func(hold time.Duration)) { t.announceTakeover = announce }

// AddTakeover records that another daemon takes flows over.
func (t *Transporter) AddTakeover(from netip.AddrPort, hold time.Duration) {
	t.guarded(messageBoundary, func(now time.Time) { t.c.Steerer.AddTakeover(now, from, hold) })
}

// AnswerQuery answers the query of another daemon about flows of this one.
func (t *Transporter) AnswerQuery(q *inquirer.Query) (r inquirer.Reply, ok bool) {
	ok = t.guarded(readBoundary, func(now time.Time) { r = t.c.Steerer.AnswerQuery(now, q) })
	return r, ok
}

// AddReply adds the answer of another daemon. Flows whose reset it confirms are reset at once.
func (t *Transporter) AddReply(from netip.AddrPort, r *inquirer.Reply) {
	t.guarded(messageBoundary, func(now time.Time) {
		if t.c.Steerer.AddReply(now, from, r) {
			t.wakeTicks()
		}
	})
}

// registerInquiryMetrics registers the number of idle flows about which other daemons were asked.
func (t *Transporter) registerInquiryMetrics(m metric.Meter) error {
	_, err := m.Int64ObservableCounter("bluebelldyke.direct.idle-checks",
		metric.WithDescription("idle flows of lost backend servers by the answers of the other daemons of the zone: confirmed (reset), moved (another daemon carries it), unanswered, quiet (the zone had no packets for a time)"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			var n inquirer.Counts
			t.guarded(readBoundary, func(time.Time) { n = t.c.Steerer.Inquiries() })
			observe := func(n uint64, outcome string) {
				o.Observe(int64(n), metric.WithAttributes(attribute.String("outcome", outcome)))
			}
			observe(n.Confirmed, "confirmed")
			observe(n.Moved, "moved")
			observe(n.Unanswered, "unanswered")
			observe(n.Quiet, "quiet")
			return nil
		}))
	return eris.Wrap(err, "metric direct.idle-checks")
}
