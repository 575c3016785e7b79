package steerer

import "time"

const (
	// A new sample has a weight of 1/meanDivisor in the mean and 1/deviationDivisor in the mean deviation. The timeout is the
	// mean plus deviationFactor mean deviations. The values are those of RFC 6298.
	meanDivisor      = 8
	deviationDivisor = 4
	deviationFactor  = 4
	// openingTimeoutMin is the shortest timeout for the answer to an opening packet. A handshake takes 3 ms within a zone
	// and 20 ms across zones.
	openingTimeoutMin = 50 * time.Millisecond
	// openingTimeoutMax is the longest timeout. It ends before the caller's first retransmission.
	openingTimeoutMax = retransmitAfter - 10*time.Millisecond
	// promptHandshakeMax is the longest mean handshake with which a single retransmission shows that an answer is missing. An
	// answer takes the time of a handshake and that of the request (5 to 30 ms, 120 ms in a full queue); callers retransmit after
	// retransmitAfter.
	promptHandshakeMax = 75 * time.Millisecond
)

// roundTrip estimates the time from an opening packet to the caller's next packet: from this daemon through the backend server
// and the caller back to a daemon.
type roundTrip struct {
	hasSample       bool
	mean, deviation time.Duration
}

// addSample adds the time of a handshake without retransmissions: with some it is unknown which transmission was answered. A
// sample longer than the retransmission timeout includes a pause of this process or of a link, and is ignored.
func (r *roundTrip) addSample(sample time.Duration) {
	if sample >= retransmitMax {
		return
	}
	if !r.hasSample {
		r.hasSample, r.mean, r.deviation = true, sample, sample/2
		return
	}
	r.deviation += ((r.mean - sample).Abs() - r.deviation) / deviationDivisor
	r.mean += (sample - r.mean) / meanDivisor
}

// openingTimeout returns the time after which an opening packet counts as unanswered.
func (r *roundTrip) openingTimeout() time.Duration {
	return min(max(r.mean+deviationFactor*r.deviation, openingTimeoutMin), openingTimeoutMax)
}

// minRetransmissions returns how many retransmissions of a packet show that its answer is missing. A daemon that has just started
// has no sample yet and needs two.
func (r *roundTrip) minRetransmissions() int {
	if !r.hasSample || r.mean > promptHandshakeMax {
		return 2
	}
	return 1
}
