package steerer

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

// Limit after a loss of all daemons: callers then repeat what they could not send, beside new requests, while no daemon knows the load of
// the backend servers. Full queues there reject attempts, which callers make again at once, and make new requests late. In its first
// seconds a daemon that sees such a return therefore forwards opening packets only while its share of the slots of its zone has room for
// them. The others are dropped: nothing has run, and the caller retransmits them.

const (
	// startDuration is how long after its first packet a daemon limits opening packets: callers repeat an attempt for 1.4 s.
	startDuration = 2 * time.Second
	// returnWindow is how long after its first packet a daemon decides whether all daemons were down. The first retransmission of an opening
	// packet comes after 200 ms.
	returnWindow = 300 * time.Millisecond
	// returnMinCopies and returnShare are the number of retransmitted opening packets, and their share of all opening packets, that show a
	// return of all daemons. On a lossy link, a few percent of the opening packets are retransmitted.
	returnMinCopies = 3
	returnShare     = 0.4
	// The limits are the requests and openings in progress per slot from which on opening packets are dropped. The queue of a backend
	// server has room for four requests per slot; at four some queues were full, at three new requests were dropped while there was room.
	// Retransmissions are late already on routes with short targets, so they leave the room to new requests: the measured value of the two
	// seconds after a return was 0.94 with the limits of all other times, and 0.97 with these.
	startLimit           = 3.5
	startFirstCopyLimit  = 1.5
	startSecondCopyLimit = 2
	// membershipDelay is how long after its first packet a daemon may know only some of the daemons of its zone, if all start together.
	// Until then it assumes one daemon for assumedSlots slots, as fleets have one for two to four, and raises its share by each response
	// that comes in fastShare of the target latency. With its own count alone it would take the whole zone for its share, and without the
	// responses, a daemon of a few large ones would drop requests while most slots are free.
	membershipDelay = 500 * time.Millisecond
	assumedSlots    = 3
	fastShare       = 0.25
	// rejectionRoundTrips is the number of round trips below which a response is taken for a rejection by a full queue.
	rejectionRoundTrips = 2
)

// start is the state of the first seconds of a daemon.
type start struct {
	firstPacket      time.Time
	openings, copies int // in returnWindow
	returned         bool
	fastResponses    int // in membershipDelay
}

// observeOpening counts an opening packet of the first seconds. It reports whether opening packets are limited now.
func (t *start) observeOpening(now time.Time, p *editor.Packet) bool {
	age := now.Sub(t.firstPacket)
	if age >= startDuration {
		return false
	}
	if age < returnWindow {
		t.openings++
		if p.AckNumber > 0 {
			t.copies++
		}
		t.returned = t.returned || t.copies >= returnMinCopies && float64(t.copies) >= returnShare*float64(t.openings)
	}
	return t.returned
}

// limitsOpening reports whether an opening packet is dropped because the backend servers of the own zone have no room after a return of all
// daemons.
func (s *Steerer) limitsOpening(now time.Time, p *editor.Packet, r *route) bool {
	if !s.config.StartLimit || !s.start.observeOpening(now, p) {
		return false
	}
	limit := float64(startLimit)
	switch short := r.TargetLatency > 0 && r.TargetLatency <= firstRetransmissionAge; {
	case p.AckNumber == 1 && short:
		limit = startFirstCopyLimit
	case p.AckNumber > 1 && short:
		limit = startSecondCopyLimit
	}
	return s.zoneIsFull(now, r, limit, (*backendServer).newFlowsInProgress)
}

// newFlowsInProgress returns the number of requests and openings in progress on flows that this daemon has opened. Responses on flows that
// are older than the daemon are often not visible, because these flows are kept for further requests.
func (b *backendServer) newFlowsInProgress(now time.Time) int {
	return b.newFlowRequests.inProgress(now) + b.awaitedOpenings
}

// allInProgress returns the number of requests and openings in progress on all flows.
func (b *backendServer) allInProgress(now time.Time) int {
	return b.inProgress(now) + b.awaitedOpenings
}

// zoneIsFull reports whether this daemon has used up its share of the slots of its zone: limit requests and openings in progress for each
// of them.
func (s *Steerer) zoneIsFull(now time.Time, r *route, limit float64, inProgress func(*backendServer, time.Time) int) bool {
	sum, slots := 0, 0
	for i := range r.Shares {
		for _, b := range s.serversByService[r.Shares[i].Service] {
			if b.AvailabilityZone != s.config.AvailabilityZone || b.Leaving || b.evacuated || !b.removedAt.IsZero() || b.isSuspectedByAny(now) {
				continue
			}
			sum += inProgress(b, now)
			slots += b.Slots
		}
	}
	if slots == 0 {
		return false
	}
	if s.start.returned && now.Sub(s.start.firstPacket) < membershipDelay {
		if share := assumedSlots + float64(s.start.fastResponses)/startLimit; float64(sum) >= limit*share {
			return true
		}
	}
	return float64(sum*s.zoneDaemons) >= limit*float64(slots)
}

// observeNewFlow counts the response to a request on a flow that this daemon has opened.
func (s *Steerer) observeNewFlow(now time.Time, destination netip.AddrPort, f *flow) {
	f.server.newFlowRequests.recordRequestEnded(now, f.awaitingSince)
	if !s.start.returned || now.Sub(s.start.firstPacket) >= membershipDelay {
		return
	}
	delay := now.Sub(f.awaitingSince)
	if r := s.routes[destination]; r != nil && float64(delay) <= fastShare*float64(r.TargetLatency) && delay > rejectionRoundTrips*s.ownZoneRoundTrip.mean {
		s.start.fastResponses++
	}
}
