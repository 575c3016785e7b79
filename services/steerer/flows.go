package steerer

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

const (
	// quietAfter is how long a flow must be silent to count no longer: callers pause for about a second between requests, and
	// the fabric moves flows to other daemons, which then count them.
	idleAfter = 4 * time.Second
	// maxFlows bounds the flows that are watched. Flows beyond it are forwarded like any other, but not counted.
	maxTrackedFlows = 1 << 16
	// maxCopies bounds the count of copies of one opening packet: callers send two.
	maxRetransmissions = 255
)

// flowKey names a flow.
type flowKey struct{ caller, service netip.AddrPort }

// flow is what a daemon has seen of a flow. It only feeds estimates: no flow depends on it.
type flow struct {
	server                 *backendServer
	sequence               uint32    // of the newest packet with data, or of the opening packet
	lastAck                uint32    // what the caller has acknowledged
	firstSeen              time.Time // when this daemon saw it first
	openingSentAt          time.Time // when the opening packet was sent whose answer is awaited; zero when none is
	lastSentAt             time.Time // when the newest copy of the packet with sequence was sent
	lastSeen               time.Time
	requestSentAt          time.Time // when the newest request was first sent; zero if an earlier copy may have been lost on its way here
	openingRetransmissions int       // of the opening packet
	dataRetransmissions    int       // of the newest packet with data
	handshaking            bool
	finSeen                bool
	countedOpen            bool      // among the open flows of its server
	countedRetransmitting  bool      // counted among the repeating flows of its server
	awaitingAnswer         bool      // a request was sent and no answer was seen
	awaitingSince          time.Time // when that request was first seen
}

func (s *Steerer) trackFlow(now time.Time, key flowKey, p *editor.Packet, target *backendServer) {
	if len(s.flows) >= maxTrackedFlows {
		return
	}
	f := &flow{server: target, sequence: p.Sequence, firstSeen: now, lastSentAt: now, lastSeen: now, handshaking: p.Flags.SYN}
	s.flows[key] = f
	f.setCountedOpen(true)
	if f.handshaking {
		// The first copy may have gone through another daemon, and its answer tells nothing of the time since this one.
		f.openingRetransmissions = int(min(p.Acknowledged, maxRetransmissions))
		s.awaitOpening(now, key, f)
	}
}

// open is an opening packet whose answer is awaited.
type pendingOpening struct {
	key    flowKey
	flow   *flow
	server *backendServer
	sentAt time.Time
}

// awaitOpen counts the opening packet until it is answered or late.
func (s *Steerer) awaitOpening(now time.Time, key flowKey, f *flow) {
	f.server.recentOpenings++
	f.server.awaitedOpenings++
	f.openingSentAt = now
	s.pendingOpenings = append(s.pendingOpenings, pendingOpening{key, f, f.server, now})
}

// settleOpens ends the wait for answers to opening packets that are late.
func (s *Steerer) expireOpenings(now time.Time) {
	expired, timeout := 0, s.roundTrip.openingTimeout()
	for expired < len(s.pendingOpenings) && now.Sub(s.pendingOpenings[expired].sentAt) >= timeout {
		o := &s.pendingOpenings[expired]
		expired++
		o.server.recentOpenings--
		if o.flow.openingSentAt == o.sentAt { // neither answered nor sent to another backend server
			o.server.awaitedOpenings--
			o.flow.openingSentAt = time.Time{}
		}
		if f, ok := s.flows[o.key]; ok && f.handshaking && f.server == o.server {
			o.server.recordUnansweredOpening(now, f)
		}
	}
	if expired > 0 {
		s.pendingOpenings = append(s.pendingOpenings[:0], s.pendingOpenings[expired:]...)
	}
}

// await counts a request that was sent on the flow.
func (f *flow) awaitAnswer(now time.Time) {
	f.awaitingAnswer, f.awaitingSince = true, now
	f.server.recentRequests.requestSent(now)
	f.server.requestStarted(now)
}

// awaitNoLonger ends the wait for the answer to the opening packet.
func (f *flow) stopAwaitingOpening() {
	if !f.openingSentAt.IsZero() {
		f.server.awaitedOpenings--
		f.openingSentAt = time.Time{}
	}
}

// count counts the flow among the open flows of its server, or no longer.
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

func (s *Steerer) forgetFlow(key flowKey) {
	if f, ok := s.flows[key]; ok {
		f.stopAwaitingOpening()
		f.setCountedOpen(false)
		delete(s.flows, key)
	}
}

// observe learns from a packet of an established flow. It reports whether the packet is the first that shows that the flow is
// open, and how many copies of its opening packet came before.
func (s *Steerer) observePacket(now time.Time, key flowKey, p *editor.Packet, target *backendServer) (handshakeCompleted bool, retransmissions int) {
	f, ok := s.flows[key]
	if ok && f.server != target {
		s.forgetFlow(key)
		ok = false
	}
	if !ok {
		s.trackFlow(now, key, p, target)
		if f, ok = s.flows[key]; !ok {
			return false, 0
		}
		f.lastAck = p.Acknowledged
		if p.DataLength > 0 {
			f.awaitAnswer(now)
		}
	}
	f.lastSeen = now
	switch {
	case p.Flags.RST:
		s.forgetFlow(key)
		return false, 0
	case p.Flags.FIN:
		if !f.finSeen && f.awaitingAnswer && p.Acknowledged == f.lastAck && f.requestAcknowledged(now) {
			f.server.recordAbandonedRequest(now)
		}
		f.finSeen = true
	}
	f.setCountedOpen(!f.finSeen)
	handshakeCompleted, retransmissions = f.handshaking, f.openingRetransmissions
	if handshakeCompleted && retransmissions == 0 {
		s.roundTrip.addSample(now.Sub(f.lastSentAt))
		f.server.zoneRoundTrip.addSample(now.Sub(f.lastSentAt))
	}
	switch {
	case f.handshaking, int32(p.Acknowledged-f.lastAck) > 0:
		f.lastAck = p.Acknowledged
		f.server.handleAnswer(now, f)
		f.stopAwaitingOpening()
		f.handshaking = false
		if f.awaitingAnswer {
			f.awaitingAnswer = false
			f.server.requestAnswered(now)
			f.server.requestEnded(now, f.awaitingSince)
		}
	case p.DataLength > 0 && p.Sequence == f.sequence && now.Sub(f.lastSentAt) >= retransmitMin:
		f.lastSentAt = now
		if f.dataRetransmissions++; f.dataRetransmissions >= s.roundTrip.minRetransmissions() {
			f.server.recordRetransmission(now, f)
		}
	}
	if p.DataLength > 0 && int32(p.Sequence-f.sequence) > 0 {
		f.sequence, f.lastSentAt, f.requestSentAt, f.dataRetransmissions = p.Sequence, now, now, 0
		if !f.awaitingAnswer {
			f.awaitAnswer(now)
		}
	}
	return handshakeCompleted, retransmissions
}

// acknowledged reports whether the backend server has certainly acknowledged the newest request: its caller has not repeated it in
// time. A request that was lost, on a link or with a daemon, says nothing of the backend server.
func (f *flow) requestAcknowledged(now time.Time) bool {
	return f.dataRetransmissions == 0 && !f.requestSentAt.IsZero() && now.Sub(f.requestSentAt) >= retransmitMax
}

// LostFlow is an open flow whose backend server is lost: Packet is what a reset answers.
type LostFlow struct {
	Packet editor.Packet
	Server directory.ServerID
	Age    time.Duration // since this daemon saw it first
}

// TakeLostFlows returns the flows to reset without waiting for a packet: the open flows whose backend server is lost. A caller that learns
// of it before its next request opens another flow for it, which matters most to requests that must not run twice: they
// can't be tried again once they were sent.
func (s *Steerer) TakeLostFlows(now time.Time) []LostFlow {
	lost := map[*backendServer]bool{}
	for _, b := range s.servers {
		switch {
		case b.lossCause(now) == CauseNone:
			b.flowsReset = false
		case !b.flowsReset && (b.lossCause(now) == BackendServerRemoved || b.stalledFlows > 0 && now.Sub(b.health.firstRetransmission) >= idleResetAfter):
			b.flowsReset = true
			lost[b] = true
		}
	}
	if len(lost) == 0 {
		return nil
	}
	var list []LostFlow
	for key, f := range s.flows {
		if !lost[f.server] {
			continue
		}
		if !f.finSeen && !f.handshaking {
			list = append(list, LostFlow{
				Packet: editor.Packet{Source: key.caller, Destination: key.service, Acknowledged: f.lastAck}, Server: f.server.ID,
				Age: now.Sub(f.firstSeen),
			})
		}
		s.forgetFlow(key)
	}
	return list
}
