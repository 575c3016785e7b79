package steerer

import (
	"net/netip"
	"time"
)

// Joint evidence: in an availability zone of many daemons, each daemon has only one or two flows at a backend server, too few to
// distinguish packet loss from a crash. Daemons therefore announce single flows without an answer to each other, and apply the
// thresholds for their own flows to the sum. A daemon that sees an answer announces it, and all daemons discard the joint
// evidence.
const (
	// evidenceTTL is how long a retransmission counts in the sum. Callers retransmit after 200 ms, then at intervals of up to
	// 800 ms.
	evidenceTTL = time.Second
	// maxPeerEvidence bounds the peers whose evidence is kept for a backend server. It is more than the thresholds need.
	maxPeerEvidence = 8
	// aggregatedTTL is how long a sum of an aggregator counts. It is sent again every second while new evidence arrives.
	aggregatedTTL = 1200 * time.Millisecond
	// jointSilentMinDuration is how long the joint evidence must suffice before flows are reset. It leaves time for evidence and
	// for an answer that contradicts it to reach the peers; both wait for the next announcement, which is sent every 100 ms.
	jointSilentMinDuration = 250 * time.Millisecond
	// contradictionWindow is the age up to which an answer seen by this daemon contradicts the evidence of a peer. Such an
	// answer is newer than the first transmission of the retransmitted packet.
	contradictionWindow = retransmitMin
	// isolationThreshold is a panic threshold: a daemon withholds inconclusive evidence while it has evidence against more than
	// this number of backend servers, and against more than half of those that it has flows at. Its own links or its slow start
	// are the more likely cause then.
	isolationThreshold = 2
)

// peerEvidence is the evidence of one peer against a backend server.
type peerEvidence struct {
	peer                              netip.AddrPort
	retransmittingFlows, stalledFlows int
	receivedAt                        time.Time
}

// jointEvidence is the evidence of the daemons of an availability zone against a backend server.
type jointEvidence struct {
	evidenceFromPeers []peerEvidence
	aggregated        peerEvidence // sum of the evidence of the zone, including that of this daemon
	clearedAt         time.Time    // when this daemon or a peer last saw an answer; older evidence does not count
	silentSince       time.Time    // when the sum reached the thresholds for silence; zero while it is below
	contradicted      bool         // an answer contradicts the evidence of a peer; peers must be notified of the answer
}

// addPeerEvidence adds the evidence of a peer, unless an answer that this daemon has just seen contradicts it.
func (b *backendServer) addPeerEvidence(now time.Time, f *Finding) {
	if now.Sub(b.lastAnswer) < contradictionWindow {
		b.contradicted = true
		return
	}
	e := peerEvidence{f.Origin, f.Evidence.RetransmittingFlows, f.Evidence.StalledFlows, now}
	if f.Aggregated {
		b.aggregated = e
	} else {
		b.storePeerEvidence(e)
	}
	b.isJointlySilent(now) // sets silentSince when the thresholds are reached
}

// storePeerEvidence stores the newest evidence of each peer. At maxPeerEvidence peers it replaces the oldest.
func (j *jointEvidence) storePeerEvidence(e peerEvidence) {
	oldest := -1
	for i := range j.evidenceFromPeers {
		if j.evidenceFromPeers[i].peer == e.peer {
			j.evidenceFromPeers[i] = e
			return
		}
		if oldest < 0 || j.evidenceFromPeers[i].receivedAt.Before(j.evidenceFromPeers[oldest].receivedAt) {
			oldest = i
		}
	}
	if len(j.evidenceFromPeers) < maxPeerEvidence {
		j.evidenceFromPeers = append(j.evidenceFromPeers, e)
	} else {
		j.evidenceFromPeers[oldest] = e
	}
}

// discardEvidence drops the joint evidence after an answer.
func (j *jointEvidence) discardEvidence(now time.Time) {
	j.evidenceFromPeers, j.aggregated, j.silentSince, j.clearedAt = j.evidenceFromPeers[:0], peerEvidence{}, time.Time{}, now
}

// handleAnswer records an answer on a flow. It contradicts the evidence of peers, if there is any, and is announced to them.
// An answer is recent unless its acknowledgement may have waited for the caller's next request.
func (b *backendServer) handleAnswer(now time.Time, f *flow, recent bool) {
	b.recordAnswer(now, f)
	if recent {
		b.lastRecentAnswer, b.unreachableUntil = now, time.Time{}
	}
	if b.hasPeerEvidence() {
		b.discardEvidence(now)
		b.contradicted = true
	}
}

// jointFlows returns how many flows of this daemon and its peers retransmit packets to the backend server, and how many of them
// are open.
func (b *backendServer) jointFlows(now time.Time) (retransmitting, stalled int) {
	if b.lastRetransmission.After(b.clearedAt) && now.Sub(b.lastRetransmission) <= evidenceTTL {
		retransmitting, stalled = b.retransmittingFlows, b.stalledFlows
	}
	for i := range b.evidenceFromPeers {
		if e := &b.evidenceFromPeers[i]; now.Sub(e.receivedAt) <= evidenceTTL+findingInterval {
			retransmitting += e.retransmittingFlows
			stalled += e.stalledFlows
		}
	}
	if now.Sub(b.aggregated.receivedAt) <= aggregatedTTL {
		retransmitting, stalled = max(retransmitting, b.aggregated.retransmittingFlows), max(stalled, b.aggregated.stalledFlows)
	}
	return retransmitting, stalled
}

// hasPeerEvidence reports whether peers have sent evidence since an answer was last seen.
func (j *jointEvidence) hasPeerEvidence() bool {
	return len(j.evidenceFromPeers) > 0 || !j.aggregated.receivedAt.IsZero()
}

// isJointlySuspected reports whether the joint evidence suffices to give the backend server no new flows.
func (b *backendServer) isJointlySuspected(now time.Time) bool {
	if !b.hasPeerEvidence() {
		return false
	}
	retransmitting, _ := b.jointFlows(now)
	return retransmitting >= suspectMinFlows
}

// isJointlySilent reports whether the joint evidence suffices to reset the flows of the backend server.
func (b *backendServer) isJointlySilent(now time.Time) bool {
	if !b.hasPeerEvidence() {
		return false
	}
	if retransmitting, stalled := b.jointFlows(now); retransmitting < silentMinFlows || stalled < silentMinStalled {
		b.jointEvidence.silentSince = time.Time{}
		return false
	}
	if b.jointEvidence.silentSince.IsZero() {
		b.jointEvidence.silentSince = now
	}
	return now.Sub(b.jointEvidence.silentSince) >= jointSilentMinDuration
}

// isIsolated reports whether this daemon has evidence against so many of its backend servers that its own links or its slow start
// are the more likely cause.
func (s *Steerer) isIsolated(now time.Time) bool {
	used, notAnswering := 0, 0
	for _, servers := range s.serversByService {
		for _, b := range servers {
			condition := b.ownCondition(now)
			if b.openFlows > 0 || condition != Answering {
				used++
			}
			if condition != Answering {
				notAnswering++
			}
		}
	}
	return notAnswering > isolationThreshold && 2*notAnswering > used
}
