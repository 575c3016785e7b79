package steerer

import "time"

// joinTime is the longest time from the first datagram of a new daemon to its peers until the fabric has given it its flows: the daemon
// reads its documents from a peer, and the fabric checks its readiness each 500 ms.
const joinTime = 2 * time.Second

// handover holds when the fabric may have given flows of this daemon to daemons that it does not ask about idle flows, as they have just joined.
// Flows that were last seen before until are not reset without a packet.
type handover struct {
	generation uint64 // of the membership
	until      time.Time
	changedAt  time.Time // when the generation changed
}

// SetMembershipGeneration sets a number that changes when the set of daemons changes over which the fabric spreads flows.
func (s *Steerer) SetMembershipGeneration(now time.Time, generation uint64) {
	if generation != s.handover.generation {
		s.handover.generation = generation
		s.handover.until, s.handover.changedAt = now.Add(joinTime), now
	}
}

// HandlePause records that this process did not run up to now. The fabric gives the flows of a daemon that answers no readiness checks to
// others, and gives them back afterwards.
func (s *Steerer) HandlePause(now time.Time) { s.handover.until = now.Add(joinTime) }
