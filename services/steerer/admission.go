package steerer

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

// Admission control: after an outage, retransmitted opening packets arrive together with those of new flows. Backend servers
// serve requests in the order of arrival, so new requests would wait behind requests that are late already, and become late
// themselves. A late retransmission is forwarded while this daemon's share of the slots has room. Otherwise it is dropped, and
// the caller's next retransmission or attempt gets another chance.

// firstRetransmissionAge and secondRetransmissionAge are the age of a flow when its caller retransmits the opening packet.
const (
	firstRetransmissionAge  = retransmitAfter
	secondRetransmissionAge = 3 * retransmitAfter
)

// firstRetransmissionLimit and secondRetransmissionLimit are the requests in progress per slot from which on late retransmissions
// are dropped. For the first retransmission one request may wait for every second slot, so that a new request behind it is still
// answered in time. The second retransmission is the last one of its attempt: two requests may wait for each slot.
const (
	firstRetransmissionLimit  = 1.5
	secondRetransmissionLimit = 3
)

// SetZoneDaemons sets the number of daemons in the own availability zone, which share its callers equally.
func (s *Steerer) SetZoneDaemons(n int) {
	if n = max(n, 1); n != s.zoneDaemons {
		s.zoneDaemons = n
		s.updateAdmissionSlots()
	}
}

// defersOpening reports whether an opening packet is a late retransmission for which the backend servers of the own zone have no
// room. It is late when the flow has reached the target latency of the route. AckNumber holds the number of retransmissions.
func (s *Steerer) defersOpening(now time.Time, p *editor.Packet, r *route) bool {
	if s.config.IgnoreObservations || p.AckNumber == 0 || r.TargetLatency == 0 {
		return false
	}
	age, limit := firstRetransmissionAge, float64(firstRetransmissionLimit)
	if p.AckNumber > 1 {
		age, limit = secondRetransmissionAge, secondRetransmissionLimit
	}
	if age < r.TargetLatency {
		return false
	}
	return s.zoneIsFull(now, r, limit, (*backendServer).allInProgress)
}
