package steerer

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/admitter"
)

// Admission control under overload: a new request of a lower priority on an established flow is held while the admission control of its
// service has no room for it. Its packets are kept by the caller of Steer, and NextRelease returns what becomes of them.

const (
	// awaitedRequests is the number of requests whose response is checked against the target latency: those of one daemon within a
	// target latency of 1 s at 250 requests a second.
	awaitedRequests = 256
	// visibleMin is the share of a route's responses that must have been visible before a missing one counts as late.
	visibleMin = 0.9
	// singleMax is the share of a route's requests that are not the first on their flow, below which the end of a flow shows the
	// response. The end of a flow that is kept for further requests says nothing, unless it follows the request at once: above keptMin
	// that is a rejection.
	singleMax = 0.1
	keptMin   = 0.3
	// shareWeight is the weight of one observation in these shares, an average over about 10 of them.
	shareWeight = 0.1
)

// AdmissionConfig holds the settings of admission control.
type AdmissionConfig struct {
	Enabled bool
	// Shared switches on the reports with which the daemons of an availability zone pool their delay samples.
	Shared bool
	// MaxHeldPackets and MaxHeldBytes bound the packets that are held; PacketOverhead is added to the data length of each.
	MaxHeldPackets, MaxHeldBytes, PacketOverhead int
	// Admitter holds the settings of the decisions.
	Admitter admitter.Config
}

// admission is the state of admission control.
type admission struct {
	services  []*serviceAdmission // in the order of the configuration
	held      map[uint64]*heldRequest
	lastHold  uint64
	packets   int
	bytes     int
	pending   []release // requests that were dropped or released without their turn
	suspended bool      // a planned stop is under way: nothing is held any more
}

// serviceAdmission is the admission control of a service.
type serviceAdmission struct {
	*admitter.Admitter
	service string
	routes  []*routeAdmission
	awaited [awaitedRequests]awaitedRequest // ring of the newest requests, in the order of forwarding
	oldest  int
	count   int
	checked int // number of the oldest ones of which those without a response were recorded as late
}

// awaitedRequest is a request whose response may still arrive in time.
type awaitedRequest struct {
	flow   *flow
	sentAt time.Time
	route  *routeAdmission
}

// unanswered reports whether the request has no response although it would be visible.
func (r *awaitedRequest) unanswered() bool {
	return r.flow.awaitingAnswer && r.flow.awaitingSince.Equal(r.sentAt) && r.route.visibleShare > visibleMin
}

// routeAdmission is the admission control of a route for one of its services.
type routeAdmission struct {
	service      *serviceAdmission
	class        int // index in the classes of the service
	route        directory.Route
	visibleShare float64 // of its responses
	repeatShare  float64 // share of its requests that are not the first on their flow
	counts       AdmissionCounts
}

// AdmissionCounts counts the requests that admission control held, and what became of them.
type AdmissionCounts struct{ Held, Released, Expired, Evicted, Abandoned, Rejected uint64 }

// flowAdmission is the part of a flow that admission control needs.
type flowAdmission struct {
	route    *routeAdmission // of the newest request; nil without admission control
	requests int             // forwarded on the flow
	held     *heldRequest
	// seenSequence and lastSequence are the sequence numbers of the first and the last packet of the newest request that was held or
	// dropped, and seenAt is when it arrived first.
	seenSequence, lastSequence uint32
	seenAt                     time.Time
	countedLate                bool // the newest request was recorded as late before its response
}

// heldRequest is a request whose packets are held.
type heldRequest struct {
	id             uint64
	key            flowKey
	server         *backendServer
	tag            uint32
	route          *routeAdmission
	heldAt         time.Time
	last           uint32 // sequence number of the newest held packet
	packets, bytes int
}

// release is what becomes of a held request.
type release struct {
	id       uint64
	decision Decision
}

// advanceAdmission brings the admission control of all services up to the time now.
func (s *Steerer) advanceAdmission(now time.Time) {
	for _, a := range s.admission.services {
		a.expireAwaited(now)
		a.Advance(now)
	}
}

// admissionOf returns the admission control of a route for a service, nil if there is none.
func (r *route) admissionOf(service string) *routeAdmission {
	for i := range r.Shares {
		if r.Shares[i].Service == service {
			return r.admissions[i]
		}
	}
	return nil
}

// admitPacket decides whether a packet is held. A decision without a cause means that the packet is handled as without admission control;
// the second result is set if it starts a request.
func (s *Steerer) admitPacket(now time.Time, key flowKey, p *editor.Packet, r *route, target *backendServer) (Decision, *routeAdmission) {
	if a := r.admissionOf(target.Service); a != nil {
		a.service.expireAwaited(now)
	}
	if p.DataLength == 0 && len(s.admission.held) == 0 {
		return Decision{}, nil
	}
	f := s.flows[key]
	if f != nil && f.admission.held != nil {
		return s.steerHeldFlow(now, p, f, target), nil
	}
	if p.DataLength == 0 || p.Flags.RST {
		return Decision{}, nil
	}
	if f != nil && f.server == target && !f.startsRequest(p) {
		return Decision{}, nil
	}
	a := r.admissionOf(target.Service)
	if a == nil {
		return Decision{}, nil
	}
	a.service.expireAwaited(now)
	if s.admission.suspended || target.lossCause(now) != CauseNone {
		return Decision{}, a
	}
	request := admitter.Request{Class: a.class, Client: p.Source.Addr(), ArrivedAt: now}
	if f != nil && f.admission.covers(p.SequenceNumber) {
		request.ArrivedAt = f.admission.seenAt
		if now.Sub(request.ArrivedAt) >= a.route.Timeout {
			// The client has given the request up, but goes on retransmitting it. Nobody would receive the answer.
			f.lastSeen = now
			return Decision{Cause: Expired, Server: target.ID, Address: target.Address}, nil
		}
	}
	request.ID = s.admission.lastHold + 1
	switch a.service.Offer(now, request) {
	case admitter.Expire:
		a.counts.Expired++
		if f != nil {
			f.lastSeen = now
			f.admission.see(p.SequenceNumber, request.ArrivedAt)
		}
		return Decision{Cause: Expired, Server: target.ID, Address: target.Address}, nil
	case admitter.Wait:
		return s.hold(now, key, p, f, a, target, &request), nil
	}
	return Decision{}, a
}

// covers reports whether the sequence number is that of a packet of the newest request that was held or dropped.
func (a *flowAdmission) covers(sequence uint32) bool {
	return !a.seenAt.IsZero() && int32(sequence-a.seenSequence) >= 0 && int32(sequence-a.lastSequence) <= 0
}

// see records the arrival of a packet that starts a request, which is then held or dropped. A retransmission changes nothing.
func (a *flowAdmission) see(sequence uint32, at time.Time) {
	if !a.covers(sequence) {
		a.seenSequence, a.lastSequence, a.seenAt = sequence, sequence, at
	}
}

// startsRequest reports whether a packet with data starts a new request on the flow, and not a later packet or a retransmission.
func (f *flow) startsRequest(p *editor.Packet) bool {
	if int32(p.SequenceNumber-f.sequence) <= 0 {
		return false
	}
	return !f.awaitingAnswer || int32(p.AckNumber-f.lastAck) > 0
}

// hold holds the first packet of a request. The rest of the packet is observed as if it carried no data.
func (s *Steerer) hold(now time.Time, key flowKey, p *editor.Packet, f *flow, a *routeAdmission, target *backendServer, r *admitter.Request) Decision {
	rest := *p
	rest.DataLength = 0
	if f == nil || f.server != target {
		rest.SequenceNumber-- // the sequence number of this packet must stay a new one
	} else {
		f.admission.route = nil // the acknowledgement comes with a request, so it shows no delay
	}
	completed, retransmissions := s.observePacket(now, key, &rest, target)
	f = s.flows[key]
	if f == nil { // the table of flows is full: forward the packet
		a.service.Cancel(r.ID)
		return Decision{}
	}
	s.admission.lastHold = r.ID
	h := &heldRequest{id: r.ID, key: key, server: target, tag: s.renewTag(f, p, target), route: a, heldAt: now}
	f.admission.held = h
	f.admission.see(p.SequenceNumber, r.ArrivedAt)
	if s.admission.held == nil {
		s.admission.held = map[uint64]*heldRequest{}
	}
	s.admission.held[h.id] = h
	a.counts.Held++
	d := s.addHeld(now, h, p)
	d.HandshakeCompleted, d.Retransmissions = completed, retransmissions
	return d
}

// addHeld adds a packet to a held request and makes room for it.
func (s *Steerer) addHeld(now time.Time, h *heldRequest, p *editor.Packet) Decision {
	size := p.DataLength + s.config.Admission.PacketOverhead
	h.last = p.SequenceNumber
	h.packets++
	h.bytes += size
	s.admission.packets++
	s.admission.bytes += size
	limits := &s.config.Admission
	for s.admission.packets > limits.MaxHeldPackets || s.admission.bytes > limits.MaxHeldBytes {
		if !s.evict(now, h) {
			break
		}
		if s.admission.held[h.id] == nil {
			return Decision{Cause: Evicted, Server: h.server.ID, Address: h.server.Address}
		}
	}
	return Decision{Action: Hold, Cause: Held, Server: h.server.ID, Address: h.server.Address, Tag: h.tag, Hold: h.id}
}

// evict drops the held request of the service of h whose loss costs least, or of another service if h is the only one.
func (s *Steerer) evict(now time.Time, h *heldRequest) bool {
	largest := h.route.service
	for _, a := range s.admission.services {
		if a.Waiting() > largest.Waiting() {
			largest = a
		}
	}
	r, ok := largest.EvictOne(now)
	if !ok {
		return false
	}
	evicted := s.admission.held[r.ID]
	evicted.route.counts.Evicted++
	s.endHold(evicted)
	s.admission.pending = append(s.admission.pending, release{r.ID, Decision{Cause: Evicted, Server: evicted.server.ID, Address: evicted.server.Address}})
	return true
}

// steerHeldFlow decides about a packet of a flow with a held request. Packets without data pass; a decision without a cause means so.
func (s *Steerer) steerHeldFlow(now time.Time, p *editor.Packet, f *flow, target *backendServer) Decision {
	h := f.admission.held
	if f.server != target || p.Flags.RST || p.Flags.FIN || target.lossCause(now) != CauseNone {
		s.dropHeld(f) // a client that ends its flow has given the request up
		return Decision{}
	}
	switch {
	case p.DataLength == 0:
		return Decision{}
	case int32(p.SequenceNumber-h.last) <= 0:
		f.lastSeen = now
		return Decision{Cause: HeldRetransmission, Server: target.ID, Address: target.Address}
	}
	f.lastSeen = now
	f.admission.lastSequence = p.SequenceNumber
	return s.addHeld(now, h, p)
}

// endHold takes a held request out of the state of its flow and of the store.
func (s *Steerer) endHold(h *heldRequest) *flow {
	delete(s.admission.held, h.id)
	s.admission.packets -= h.packets
	s.admission.bytes -= h.bytes
	f := s.flows[h.key]
	if f == nil || f.admission.held != h {
		return nil
	}
	f.admission.held = nil
	return f
}

// dropHeld drops the held request of a flow, if it has one.
func (s *Steerer) dropHeld(f *flow) {
	h := f.admission.held
	if h == nil {
		return
	}
	f.admission.held = nil
	h.route.service.Cancel(h.id)
	h.route.counts.Abandoned++
	s.endHold(h)
	s.admission.pending = append(s.admission.pending, release{h.id, Decision{Cause: Abandoned, Server: h.server.ID, Address: h.server.Address}})
}

// NextRelease returns a held request that must be forwarded or dropped now, until there is none. It must be called after each Steer while
// packets are held, and at the time that NextReleaseAt returns.
func (s *Steerer) NextRelease(now time.Time) (id uint64, d Decision, ok bool) {
	if n := len(s.admission.pending); n > 0 {
		next := s.admission.pending[0]
		s.admission.pending = append(s.admission.pending[:0], s.admission.pending[1:]...)
		return next.id, next.decision, true
	}
	if len(s.admission.held) == 0 {
		return 0, Decision{}, false
	}
	for _, a := range s.admission.services {
		r, verdict, ok := a.Next(now)
		if !ok {
			continue
		}
		h := s.admission.held[r.ID]
		if verdict == admitter.Expire {
			h.route.counts.Expired++
			s.endHold(h)
			return h.id, Decision{Cause: Expired, Server: h.server.ID, Address: h.server.Address, Age: now.Sub(h.heldAt)}, true
		}
		return h.id, s.releaseHeld(now, h), true
	}
	return 0, Decision{}, false
}

// releaseHeld returns the decision to forward a held request, and counts it as forwarded now.
func (s *Steerer) releaseHeld(now time.Time, h *heldRequest) Decision {
	f := s.endHold(h)
	if f == nil || h.server.lossCause(now) != CauseNone {
		return Decision{Cause: Abandoned, Server: h.server.ID, Address: h.server.Address}
	}
	h.route.counts.Released++
	f.sequence, f.lastSentAt, f.requestSentAt, f.dataRetransmissions, f.lastSeen = h.last, now, now, 0, now
	if !f.awaitingAnswer {
		f.awaitAnswer(now)
		s.recordFlowLength(h.key, f, false)
	}
	s.startRequest(f, h.route)
	return Decision{Action: Forward, Cause: Released, Server: h.server.ID, Address: h.server.Address, Tag: h.tag, Age: now.Sub(h.heldAt)}
}

// NextReleaseAt returns when NextRelease should be called, false while nothing is held.
func (s *Steerer) NextReleaseAt(now time.Time) (time.Time, bool) {
	if len(s.admission.pending) > 0 {
		return now, true
	}
	var at time.Time
	for _, a := range s.admission.services {
		if next, ok := a.NextAt(now); ok && (at.IsZero() || next.Before(at)) {
			at = next
		}
	}
	return at, !at.IsZero()
}

// ReleaseAll ends admission control for a planned stop: NextRelease returns all held requests, and no further ones are held.
func (s *Steerer) ReleaseAll(now time.Time) {
	s.admission.suspended = true
	for _, a := range s.admission.services {
		s.releaseService(now, a)
	}
}

// releaseService releases all held requests of a service whose admission control ends.
func (s *Steerer) releaseService(now time.Time, a *serviceAdmission) {
	var ids []uint64
	for id, h := range s.admission.held {
		if h.route.service == a {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, cmp.Compare)
	for _, id := range ids {
		h := s.admission.held[id]
		a.Cancel(id)
		s.admission.pending = append(s.admission.pending, release{id, s.releaseHeld(now, h)})
	}
}

// rejectsOpening reports whether an opening packet is rejected because requests of its route cannot be answered before their deadline by
// any of its services. Nothing has run then.
func (s *Steerer) rejectsOpening(r *route) bool {
	if s.admission.suspended {
		return false
	}
	var rejecting *routeAdmission
	for i, a := range r.admissions {
		if r.Shares[i].Weight <= 0 {
			continue
		}
		if a == nil || !a.service.CannotAnswer(a.class) {
			return false
		}
		rejecting = a
	}
	if rejecting != nil {
		rejecting.counts.Rejected++
	}
	return rejecting != nil
}
