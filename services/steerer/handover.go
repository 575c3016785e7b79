package steerer

import "time"

// A reset is valid if its sequence number is within resetWindow of the newest acknowledgement of the caller. A daemon that carries a flow has
// seen an acknowledgement that is at most flightSize behind, because callers acknowledge every second packet of the 16 that may be in
// flight. A flow that another daemon carries can advance by flightSize in each round trip, so that no time bounds how far.
const (
	resetWindow = 76_800
	flightSize  = 16 * 1200
	// joinTime is the longest time from the first datagram of a new daemon to its peers until the fabric has given it its flows: the daemon
	// reads its documents from a peer, and the fabric checks its readiness each 500 ms.
	joinTime = 2 * time.Second
	// minRateTime is how long a flow that another daemon opened must have been seen before its rate is known.
	minRateTime = time.Second
)

// handover holds when the fabric may have given flows of this daemon to others.
type handover struct {
	generation uint64 // of the membership
	until      time.Time
}

// SetMembershipGeneration sets a number that changes when the set of daemons changes over which the fabric spreads flows.
func (s *Steerer) SetMembershipGeneration(now time.Time, generation uint64) {
	if generation != s.handover.generation {
		s.handover.generation = generation
		s.handover.until = now.Add(joinTime)
	}
}

// HandlePause records that this process did not run up to now. The fabric gives the flows of a daemon that answers no readiness checks to
// others, and gives them back afterwards.
func (s *Steerer) HandlePause(now time.Time) { s.handover.until = now.Add(joinTime) }

// knowsAcknowledgement reports whether a reset with the newest acknowledgement that this daemon has seen on the flow is valid: the fabric has
// given no flows to other daemons since, and at the rate up to then the flow has not left the window. The rate covers a handover that the
// membership does not show.
func (s *Steerer) knowsAcknowledgement(now time.Time, f *flow) bool {
	observed := f.lastSeen.Sub(f.firstSeen)
	if f.lastSeen.Before(s.handover.until) || !f.openedHere && observed < minRateTime {
		return false
	}
	rate := float64(f.lastAck-f.firstAck) / max(observed, minRateTime).Seconds()
	return 2*rate*now.Sub(f.lastSeen).Seconds() <= resetWindow-flightSize
}
