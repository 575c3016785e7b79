package steerer

import "time"

const (
	// A new sample weighs one part in meanParts of the mean and one in deviationParts of the mean deviation, and an answer
	// counts as missing when it takes longer than the mean by so many deviations: the values of RFC 6298.
	meanDivisor      = 8
	deviationDivisor = 4
	deviationFactor  = 4
	// openWaitMin is the shortest wait for the answer to an opening packet: a handshake takes 3 ms in a zone and 20 ms across zones.
	openingTimeoutMin = 50 * time.Millisecond
	// openWaitMax ends the wait before the caller's first copy.
	openingTimeoutMax = retransmitAfter - 10*time.Millisecond
	// promptMost is the longest handshake with which one repetition tells that an answer is missing: an answer takes as long as the
	// handshake and the work (5 to 30 ms, 120 ms in a full queue), and callers repeat after repeatAfter.
	promptHandshakeMax = 75 * time.Millisecond
)

// roundTrip estimates the time from an opening packet to the caller's next packet, which is one way from this daemon
// over the backend server and the caller back to a daemon.
type roundTrip struct {
	hasSample       bool
	mean, deviation time.Duration
}

// add takes the time of a handshake without copies: with copies it is not known which one was answered. A longer one than the time to
// the first copy is that of a pause, of this process or a link.
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

// late is the time after which an answer to an opening packet counts as missing.
func (r *roundTrip) openingTimeout() time.Duration {
	return min(max(r.mean+deviationFactor*r.deviation, openingTimeoutMin), openingTimeoutMax)
}

// proof is how many repetitions of a packet tell that its answer is missing. A daemon that has just started knows no handshake yet.
func (r *roundTrip) minRetransmissions() int {
	if !r.hasSample || r.mean > promptHandshakeMax {
		return 2
	}
	return 1
}
