package steerer

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

// A flow is taken over if this daemon gets a packet of it without having seen the packets before: the fabric has moved it here, or back here.
// The other daemons are told, so that they know about it even if this daemon fails.

const (
	// minTakeoverHold and maxTakeoverHold bound the time for which an announcement of takeovers holds. It doubles while further flows arrive:
	// each one moves with its next packet.
	minTakeoverHold = time.Second
	maxTakeoverHold = 8 * time.Second
	// membershipHold is how long after a change of the membership takeovers are not announced: the others expect them for joinTime from the
	// time on at which they have learnt of it.
	membershipHold = joinTime / 2
)

// takeovers holds when this daemon has taken over flows.
type takeovers struct {
	due  bool
	hold time.Duration
	// until is the end of the time for which takeovers have been announced.
	until time.Time
}

// record records a takeover.
func (t *takeovers) record(now time.Time) {
	if now.After(t.until) {
		t.due = true
	}
}

// recordTakeover records a packet of an established flow; f is nil if the flow is not tracked. Data that this daemon has not seen has passed
// through another one, unless a packet was lost.
func (s *Steerer) recordTakeover(now time.Time, key flowKey, f *flow, p *editor.Packet) {
	_, forgotten := s.sightings.forgotten[key]
	if f == nil && !forgotten || f != nil && !f.handshaking && int32(p.SequenceNumber-f.nextSequence) > 0 {
		if now.Sub(s.handover.changedAt) > membershipHold {
			s.takeovers.record(now)
		}
	}
}

// TakeTakeover returns for how long an announcement of takeovers is to hold, false if none is to be sent.
func (s *Steerer) TakeTakeover(now time.Time) (time.Duration, bool) {
	t := &s.takeovers
	if !t.due {
		return 0, false
	}
	if now.Sub(t.until) > maxTakeoverHold {
		t.hold = 0
	}
	t.due, t.hold = false, min(max(2*t.hold, minTakeoverHold), maxTakeoverHold)
	t.until = now.Add(t.hold)
	return t.hold, true
}

// AddTakeover records that another daemon has announced takeovers.
func (s *Steerer) AddTakeover(now time.Time, from netip.AddrPort, hold time.Duration) {
	s.inquirer.AddTakeover(from, now.Add(min(hold, maxTakeoverHold)))
}
