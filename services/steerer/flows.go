package steerer

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

const (
	// idleAfter is how long a flow must be idle before it no longer counts as open here. Callers pause for about a second between
	// requests; the fabric also moves flows to other daemons, which count them from then on.
	idleAfter = 4 * time.Second
	// maxTrackedFlows bounds the memory for tracked flows. Packets of further flows are forwarded as well, but leave no trace in
	// the estimates.
	maxTrackedFlows = 1 << 16
	// maxRetransmissions caps the count of retransmissions of one opening packet, which comes from the packet. Callers send two.
	maxRetransmissions = 255
)

// flowKey identifies a flow by the addresses of its caller and of the route.
type flowKey struct{ caller, destination netip.AddrPort }

// flow is this daemon's view of a flow. It serves estimates; forwarding of established flows does not need it.
type flow struct {
	server                 *backendServer
	tags                   [2]uint32 // newest tags with which packets were forwarded to the backend server
	sequence               uint32    // of the newest packet with data, or of the opening packet
	lastAck                uint32    // newest acknowledgement from the caller
	firstSeen              time.Time // when this daemon saw the flow first
	openingSentAt          time.Time // when the opening packet was forwarded, while its answer is awaited; zero otherwise
	lastSentAt             time.Time // when the packet with the sequence above was last forwarded
	lastSeen               time.Time
	requestSentAt          time.Time // when the newest request was first forwarded; zero if it may be a retransmission
	openingRetransmissions int       // retransmissions of the opening packet
	dataRetransmissions    int       // retransmissions of the newest packet with data
	handshaking            bool      // only the opening packet has been seen
	finSeen                bool      // the caller has closed the flow
	countedOpen            bool      // counted in openFlows of its backend server
	countedRetransmitting  bool      // counted in retransmittingFlows of its backend server
	awaitingAnswer         bool      // a request was forwarded and no answer has been seen
	awaitingSince          time.Time // when that request was first forwarded
	openedHere             bool      // this daemon has seen its opening packet
	requests               int       // number of requests forwarded on the flow
	admission              flowAdmission
}

// trackFlow starts to track a flow from packet p on.
func (s *Steerer) trackFlow(now time.Time, key flowKey, p *editor.Packet, target *backendServer) {
	if len(s.flows) >= maxTrackedFlows {
		return
	}
	f := &flow{server: target, sequence: p.SequenceNumber, firstSeen: now, lastSentAt: now, lastSeen: now, handshaking: p.Flags.SYN, openedHere: p.Flags.SYN, tags: [2]uint32{p.Tag, p.Tag}}
	s.flows[key] = f
	f.setCountedOpen(true)
	if f.handshaking {
		// In an opening packet, AckNumber is the number of its retransmissions. The first transmission may have passed through
		// another daemon; the time from this packet to the answer is no round-trip sample then.
		f.openingRetransmissions = int(min(p.AckNumber, maxRetransmissions))
		s.awaitOpening(now, key, f)
	}
}

// pendingOpening is a forwarded opening packet whose timeout has not expired.
type pendingOpening struct {
	key    flowKey
	flow   *flow
	server *backendServer
	sentAt time.Time
}

// awaitOpening counts a forwarded opening packet until it is answered or times out.
func (s *Steerer) awaitOpening(now time.Time, key flowKey, f *flow) {
	f.server.recentOpenings++
	f.server.awaitedOpenings++
	f.openingSentAt = now
	s.pendingOpenings = append(s.pendingOpenings, pendingOpening{key, f, f.server, now})
}

// expireOpenings handles opening packets whose timeout has expired. Those without an answer are evidence against their backend
// servers.
func (s *Steerer) expireOpenings(now time.Time) {
	expired, timeout := 0, s.roundTrip.openingTimeout()
	for expired < len(s.pendingOpenings) && now.Sub(s.pendingOpenings[expired].sentAt) >= timeout {
		o := &s.pendingOpenings[expired]
		expired++
		o.server.recentOpenings--
		if o.flow.openingSentAt == o.sentAt { // neither answered nor moved to another backend server
			o.server.awaitedOpenings--
			o.flow.openingSentAt = time.Time{}
		}
		if f, ok := s.flows[o.key]; ok && f.handshaking && f.server == o.server {
			o.server.recordUnansweredOpening(now, f)
			s.recordZoneOpening(now, o.server, false)
			s.evidenceChanged = true
		}
	}
	if expired > 0 {
		s.pendingOpenings = append(s.pendingOpenings[:0], s.pendingOpenings[expired:]...)
	}
}

// awaitAnswer counts a request that was forwarded on the flow.
func (f *flow) awaitAnswer(now time.Time) {
	f.awaitingAnswer, f.awaitingSince = true, now
	f.requests++
	f.server.recentRequests.recordRequestSent(now)
	f.server.recordRequestStarted(now)
	if f.openedHere {
		f.server.newFlowRequests.recordRequestStarted(now)
	}
}

// stopAwaitingOpening ends the wait for the answer to the opening packet.
func (f *flow) stopAwaitingOpening() {
	if !f.openingSentAt.IsZero() {
		f.server.awaitedOpenings--
		f.openingSentAt = time.Time{}
	}
}

// setCountedOpen adds the flow to the open flows of its backend server, or takes it out.
func (f *flow) setCountedOpen(open bool) {
	if f.countedOpen == open {
		return
	}
	f.countedOpen = open
	if open {
		f.server.openFlows++
	} else {
		f.server.openFlows--
	}
}

// forgetFlow stops tracking a flow.
func (s *Steerer) forgetFlow(key flowKey) {
	if f, ok := s.flows[key]; ok {
		s.dropHeld(f)
		f.stopAwaitingOpening()
		f.setCountedOpen(false)
		delete(s.flows, key)
	}
}

// observePacket updates the estimates for a backend server from a packet of an established flow. It reports whether the packet is
// the first one after the opening packet, and how often the opening packet was retransmitted.
func (s *Steerer) observePacket(now time.Time, key flowKey, p *editor.Packet, target *backendServer) (completed bool, retransmissions int) {
	s.observed = nil
	f, ok := s.flows[key]
	if ok && f.server != target {
		s.forgetFlow(key)
		f, ok = nil, false
	}
	if !ok {
		s.trackFlow(now, key, p, target)
		if f, ok = s.flows[key]; !ok {
			return false, 0
		}
		f.lastAck = p.AckNumber
		if p.DataLength > 0 {
			f.awaitAnswer(now)
		}
	}
	f.lastSeen = now
	s.observed = f
	switch {
	case p.Flags.RST:
		s.forgetFlow(key)
		return false, 0
	case p.Flags.FIN:
		if !f.finSeen && f.awaitingAnswer && p.AckNumber == f.lastAck && f.requestAcknowledged(now) {
			f.server.recordAbandonedRequest(now)
		}
		if !f.finSeen {
			s.recordFlowLength(key, f, true)
		}
		f.finSeen = true
	}
	f.setCountedOpen(!f.finSeen)
	completed, retransmissions = f.handshaking, f.openingRetransmissions
	if completed {
		s.recordZoneOpening(now, f.server, true)
	}
	if completed && retransmissions == 0 {
		s.roundTrip.addSample(now.Sub(f.lastSentAt))
		f.server.zoneRoundTrip.addSample(now.Sub(f.lastSentAt))
	}
	switch {
	case f.handshaking, int32(p.AckNumber-f.lastAck) > 0:
		f.lastAck = p.AckNumber
		f.server.handleAnswer(now, f, f.handshaking || p.DataLength == 0 || now.Sub(f.lastSentAt) < contradictionWindow)
		s.evidenceChanged = s.evidenceChanged || f.server.contradicted
		f.stopAwaitingOpening()
		f.handshaking = false
		if f.awaitingAnswer {
			f.awaitingAnswer = false
			s.observeResponse(now, key.destination, p, f)
			f.server.recordRequestAnswered(now)
			f.server.recordRequestEnded(now, f.awaitingSince)
			if f.openedHere {
				s.observeNewFlow(now, key.destination, f)
			}
			f.recordDelay(now, p)
		}
	case p.DataLength > 0 && p.SequenceNumber == f.sequence && now.Sub(f.lastSentAt) >= retransmitMin:
		f.lastSentAt = now
		if f.dataRetransmissions++; f.dataRetransmissions >= s.roundTrip.minRetransmissions() {
			f.server.recordRetransmission(now, f)
			s.evidenceChanged = true
		}
	}
	if p.DataLength > 0 && int32(p.SequenceNumber-f.sequence) > 0 {
		f.sequence, f.lastSentAt, f.requestSentAt, f.dataRetransmissions = p.SequenceNumber, now, now, 0
		if !f.awaitingAnswer {
			f.awaitAnswer(now)
			s.recordFlowLength(key, f, false)
		}
	}
	return completed, retransmissions
}

// requestAcknowledged reports whether the backend server has certainly acknowledged the newest request: the caller would have
// retransmitted it by now otherwise. A request that was lost on a link or in a daemon is no evidence against the backend server.
func (f *flow) requestAcknowledged(now time.Time) bool {
	return f.dataRetransmissions == 0 && !f.requestSentAt.IsZero() && now.Sub(f.requestSentAt) >= retransmitMax
}
