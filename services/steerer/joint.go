package steerer

import (
	"net/netip"
	"time"
)

// In a zone of many daemons each one has a flow or two at a backend server, too few to tell a loss from a crash. Daemons tell each
// other of single flows without an answer, and judge by the sum as they would by flows of their own. Whoever gets an answer
// meanwhile says so, and the sum starts anew.
const (
	// doubtLife is how long a repetition counts in the sum: callers repeat after 200 ms and then after gaps of up to 800 ms.
	evidenceTTL = time.Second
	// doubtsMost bounds the peers whose doubts are kept for a backend server: more than the judgement needs.
	maxPeerEvidence = 8
	// jointFor is how long the sum must stand before flows are reset: time for a doubt and for its contradiction, each of
	// which waits for the next of the looks each 100 ms.
	jointSilentMinDuration = 250 * time.Millisecond
	// contradictedWithin is the age of an own answer that contradicts a doubt at once: the packet that was repeated is older.
	contradictionWindow = retransmitMin
	// cutOffServers is the number of backend servers above which a daemon that doubts more than half of those it has flows at
	// keeps its doubts to itself: the fault is more likely that of its own links, or of a slow start. It is a panic threshold.
	isolationMinServers = 2
)

// doubt is what one peer saw of a backend server.
type peerEvidence struct {
	peer                              netip.AddrPort
	retransmittingFlows, stalledFlows int
	receivedAt                        time.Time
}

// joint is what the daemons of an availability zone know together of a backend server.
type jointEvidence struct {
	fromPeers    []peerEvidence
	clearedAt    time.Time // when an answer was last heard of; older evidence does not count
	silentSince  time.Time // since when the sum tells that it is silent
	contradicted bool      // an answer contradicts a peer's doubt, and peers are to be told
}

// hear takes the doubt of a peer. An answer of the backend server that this daemon has just seen contradicts it.
func (b *backendServer) addPeerEvidence(now time.Time, f *Finding) {
	if now.Sub(b.lastAnswer) < contradictionWindow {
		b.contradicted = true
		return
	}
	b.add(peerEvidence{f.Origin, f.Evidence.RetransmittingFlows, f.Evidence.StalledFlows, now})
	b.jointlySilent(now) // starts the time for contradictions
}

// keep holds the newest doubt of each peer, and of too many peers the newest ones.
func (j *jointEvidence) add(e peerEvidence) {
	oldest := -1
	for i := range j.fromPeers {
		if j.fromPeers[i].peer == e.peer {
			j.fromPeers[i] = e
			return
		}
		if oldest < 0 || j.fromPeers[i].receivedAt.Before(j.fromPeers[oldest].receivedAt) {
			oldest = i
		}
	}
	if len(j.fromPeers) < maxPeerEvidence {
		j.fromPeers = append(j.fromPeers, e)
	} else {
		j.fromPeers[oldest] = e
	}
}

// clear drops the evidence of the zone after an answer.
func (j *jointEvidence) discard(now time.Time) {
	j.fromPeers, j.silentSince, j.clearedAt = j.fromPeers[:0], time.Time{}, now
}

// answer takes an answer on a flow, which peers that doubt the backend server should know of.
func (b *backendServer) handleAnswer(now time.Time, f *flow) {
	b.recordAnswer(now, f)
	if len(b.fromPeers) > 0 {
		b.discard(now)
		b.contradicted = true
	}
}

// sum returns the flows that repeat packets at the backend server in the availability zone, and the open ones among them.
func (b *backendServer) jointFlows(now time.Time) (retransmitting, stalled int) {
	if b.lastRetransmission.After(b.clearedAt) && now.Sub(b.lastRetransmission) <= evidenceTTL {
		retransmitting, stalled = b.retransmittingFlows, b.stalledFlows
	}
	for i := range b.fromPeers {
		if e := &b.fromPeers[i]; now.Sub(e.receivedAt) <= evidenceTTL+findingInterval {
			retransmitting += e.retransmittingFlows
			stalled += e.stalledFlows
		}
	}
	return retransmitting, stalled
}

// jointlySuspected reports whether the zone's evidence suffices to give the backend server no new flows.
func (b *backendServer) jointlySuspected(now time.Time) bool {
	if len(b.fromPeers) == 0 {
		return false
	}
	retransmitting, _ := b.jointFlows(now)
	return retransmitting >= suspectMinFlows
}

// jointlySilent reports whether the zone's evidence suffices to reset the flows of the backend server.
func (b *backendServer) jointlySilent(now time.Time) bool {
	if len(b.fromPeers) == 0 {
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

// cutOff reports whether this daemon doubts so many of its backend servers that the fault is more likely its own.
func (s *Steerer) isolated(now time.Time) bool {
	used, suspect := 0, 0
	for _, servers := range s.serversByService {
		for _, b := range servers {
			condition := b.ownCondition(now)
			if b.openFlows > 0 || condition != Answering {
				used++
			}
			if condition != Answering {
				suspect++
			}
		}
	}
	return suspect > isolationMinServers && 2*suspect > used
}
