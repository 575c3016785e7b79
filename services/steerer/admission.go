package steerer

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

// Load pattern: after an outage the copies of opening packets that callers sent meanwhile arrive together with fresh ones. Backend
// servers answer in the order of arrival, so that fresh requests would wait behind those that are late already, and be late too.
// A late copy is let through while this daemon's share of the slots has room; otherwise it is dropped, and the caller's next copy
// or try asks again.

// firstCopyAge and secondCopyAge are how long ago a caller began to open the flow when it sends the copies.
const (
	firstCopyAge  = repeatAfter
	secondCopyAge = 3 * repeatAfter
)

// Requests in progress for each slot that keep late copies out: with a first copy one request may wait for every second slot, so that a
// fresh one is still in time behind it. The second copy is the last one of its try: two may wait.
const (
	lateShare = 1.5
	lastShare = 3
)

// SetDaemons sets how many daemons of the own availability zone share its callers.
func (s *Steerer) SetDaemons(n int) { s.daemons = max(n, 1) }

// deferred reports whether an opening packet is a late copy for which there is no room now.
func (s *Steerer) deferred(now time.Time, p *editor.Packet, r *route) bool {
	if s.c.IgnoreFlows || p.AckNumber == 0 || r.Target == 0 {
		return false
	}
	age, share := firstCopyAge, float64(lateShare)
	if p.AckNumber > 1 {
		age, share = secondCopyAge, lastShare
	}
	if age < r.Target {
		return false
	}
	inProgress, slots := 0, 0
	for i := range r.Shares {
		for _, b := range s.services[r.Shares[i].Service] {
			if b.AvailabilityZone != s.c.AvailabilityZone || b.Leaving || !b.gone.IsZero() || b.avoided(now) {
				continue
			}
			inProgress += b.inProgress(now) + b.unopened
			slots += b.Slots
		}
	}
	return slots > 0 && float64(inProgress*s.daemons) >= share*float64(slots)
}
