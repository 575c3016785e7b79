// Package steerer decides about each packet from callers under direct server return, where backend servers answer callers
// without passing through a daemon. A packet of an established flow carries a flow tag that names its backend server, so any
// daemon can forward it; the opening packet of a new flow is placed on a backend server. The package uses no sockets,
// goroutines, clock or global randomness. A Steerer is not safe for concurrent use.
package steerer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/modules/tagger"
	"github.com/bluebelldyke/bluebelldyke/services/estimator"
	"github.com/bluebelldyke/bluebelldyke/services/limiter"
	"github.com/bluebelldyke/bluebelldyke/services/spiller"
)

// Action is how a packet is handled.
type Action uint8

// The actions.
const (
	Drop    Action = iota // discard the packet
	Forward               // forward the packet to Decision.Server with Decision.Tag
	Reset                 // discard the packet and reset the caller's flow
	Hold                  // keep the packet as the next one of the request Decision.Hold until NextRelease returns it
)

var actionNames = [...]string{"drop", "forward", "reset", "hold"}

// String returns the name of the action in logs.
func (a Action) String() string { return actionNames[a] }

// Cause is the reason for a decision.
type Cause uint8

// The causes.
const (
	CauseNone            Cause = iota
	Established                // packet of an established flow
	Placed                     // opening packet of a new flow
	Retransmitted              // retransmitted opening packet, sent to the same backend server as the first one
	Moved                      // retransmitted opening packet, sent to another backend server
	NoRoute                    // no route has the destination address
	RouteRemoved               // the route of the flow was removed
	NoBackendServer            // no backend server accepts new flows
	UnknownTag                 // the tag names no known backend server, or was issued for another address
	AmbiguousTag               // the tag may be of several backend servers, and this daemon has not seen the flow before
	BackendServerRemoved       // the flow's backend server is no longer in the backend list
	BackendServerSilent        // the flow's backend server answers no caller
	Paused                     // the process was paused: new flows wait for a fresh view, and packets may be old
	NotReady                   // no configuration has arrived yet
	Deferred                   // late retransmission of an opening packet, dropped until backend servers have room
	ZoneEvacuated              // all backend servers are in evacuated zones
	ColdLimit                  // the backend servers that are left warm up and get no further new flow now
	Held                       // packet of a request that waits while its service is overloaded
	HeldRetransmission         // retransmission of a held packet
	Released                   // request whose wait is over
	Expired                    // request whose answer would arrive after its deadline
	Evicted                    // held request that was dropped because the store of held packets is full
	Abandoned                  // held request whose flow ended
	StartLimited               // opening packet in the first seconds after a loss of all daemons, dropped until backend servers have room
	Overloaded                 // opening packet of a route whose requests cannot be answered before their deadline
	numCauses
)

var causeNames = [numCauses]string{
	"none", "established", "placed", "copied", "moved", "no-route", "route-removed", "no-backend-server", "unknown-tag", "ambiguous-tag",
	"backend-server-gone", "backend-server-silent", "paused", "not-ready", "deferred",
	"zone-evacuated", "cold-limit",
	"held", "held-copy", "released", "expired", "evicted", "abandoned", "start-limit", "overloaded",
}

// String returns the name of the cause in logs and metrics.
func (c Cause) String() string { return causeNames[c] }

// Causes returns all causes.
func Causes() []Cause {
	all := make([]Cause, numCauses)
	for i := range all {
		all[i] = Cause(i)
	}
	return all
}

// Decision is how a packet is handled and why.
type Decision struct {
	Action Action
	Cause  Cause
	// Server and Address identify the backend server that gets the packet, or that had the flow that is reset.
	Server  directory.ServerID
	Address netip.AddrPort
	Tag     uint32
	// Age is the time since this daemon first saw the flow. It is set for flows that are moved or reset.
	Age time.Duration
	// Placement explains the choice of the backend server for a new flow.
	Placement Placement
	// HandshakeCompleted is set for the first packet after the opening packet. That packet shows that the caller has received an
	// answer to its opening packet.
	HandshakeCompleted bool
	// Retransmissions is how often, as far as this daemon knows, the opening packet of the flow was retransmitted.
	Retransmissions int
	// Hold identifies the request of a held packet. It is set for the action Hold.
	Hold uint64
}

// Placement explains the choice of a backend server.
type Placement struct {
	// Load is the load of the chosen backend server in flows per slot, with the penalties for another zone, suspicion and a
	// missing entry.
	Load       float64
	Candidates int // number of backend servers that accept new flows
	Evacuated  int // number of backend servers in evacuated zones
	Cold       int // number of backend servers that warm up and get no further new flow now
	Suspects   int // number of suspected ones among the candidates
}

// Config holds the settings and dependencies of a Steerer.
type Config struct {
	AvailabilityZone string
	Random           *rand.Rand
	// IgnoreObservations turns off health checks, load estimates and admission control, which rely on the packets of flows. It
	// gives a baseline for comparisons.
	IgnoreObservations bool
	// SpeedDigests switches on the estimates of slow backend servers, their effect on placement, the digests about them for other
	// daemons, and the budget for moved flow openings.
	SpeedDigests bool
	// DigestOrigin identifies the daemon in its digests. A random number suffices.
	DigestOrigin uint16
	// EvenTies chooses among equally loaded backend servers in an order of this daemon instead of at random.
	EvenTies bool
	// CrossZoneMargin is by how much the expected time of a request must be shorter in another zone for a new flow to go there beyond what
	// the loads demand; 0 turns this rule off.
	CrossZoneMargin time.Duration
	// ColdLimiter limits the new flows of backend servers that warm up; nil means no limit.
	ColdLimiter *limiter.Limiter
	// StartLimit limits new flows in the first seconds after a loss of all daemons.
	StartLimit bool
	// Admission holds the settings of admission control; the zero value turns it off.
	Admission AdmissionConfig
}

// Steerer decides about the packets that one daemon receives.
type Steerer struct {
	config Config

	configured    bool
	idleTimeout   time.Duration
	routes        map[netip.AddrPort]*route
	removedRoutes map[netip.AddrPort]time.Time

	backendList *directory.BackendList // in force
	restoredAt  time.Time              // of the platform's store, as far as entries may still be those of the copy; zero otherwise

	servers          map[directory.ServerID]*backendServer
	serversByService map[string][]*backendServer
	tags             *tagger.Table
	untagged         map[directory.ServerID]bool // backend servers that share all their tags with others
	flows            map[flowKey]*flow
	observed         *flow                            // of the packet in observePacket, nil if it is not tracked; saves a look-up
	departed         map[directory.ServerID]time.Time // when entries were removed that only other daemons have known
	resetsFrom       time.Time                        // packets that are read before may have waited in the socket during a pause
	pendingOpenings  []pendingOpening                 // in the order of forwarding
	zoneRank         int                              // of this daemon in the order of the daemons of its zone
	evidenceChanged  bool                             // since TakeEvidenceChanged
	probed           bool                             // findings of probes have arrived
	zoneDaemons      int                              // number of daemons in the own availability zone
	zonesWithServers int                              // number of availability zones with backend servers
	zoneScratch      []string                         // reused by otherZoneBaseLoad
	roundTrip        roundTrip                        // of the handshakes with all backend servers
	zoneRoundTrips   map[string]*roundTrip            // of the handshakes by availability zone of the backend server
	ownZoneRoundTrip *roundTrip                       // the entry of the own zone in zoneRoundTrips
	estimator        *estimator.Estimator             // nil if Config.SpeedDigests is off
	moveBudget       moveBudget
	connections      Connections
	rotations        map[string]directory.ServerID   // by service: the backend server that got the newest flow of a route with short flows
	zoneServers      map[string][]directory.ServerID // by service: sorted ids of the backend servers at which rebuildOrders starts orders
	evacuation       evacuation
	spillover        spillover
	admission        admission
	start            start
}

// New returns a Steerer without routes and backend servers.
func New(c Config) *Steerer {
	s := &Steerer{
		config: c, zoneRoundTrips: map[string]*roundTrip{}, routes: map[netip.AddrPort]*route{},
		removedRoutes: map[netip.AddrPort]time.Time{},
		servers:       map[directory.ServerID]*backendServer{}, tags: tagger.New(nil), untagged: map[directory.ServerID]bool{}, departed: map[directory.ServerID]time.Time{}, flows: map[flowKey]*flow{}, rotations: map[string]directory.ServerID{}, zoneServers: map[string][]directory.ServerID{},
		idleTimeout: defaultIdleTimeout, zoneDaemons: 1, evacuation: evacuation{limiter: c.ColdLimiter},
	}
	s.ownZoneRoundTrip = s.zoneRoundTrip(c.AvailabilityZone)
	if c.CrossZoneMargin > 0 {
		s.spillover.spiller = spiller.New(spiller.Config{Margin: c.CrossZoneMargin})
	}
	if c.SpeedDigests {
		s.estimator = estimator.New(estimator.Config{Origin: c.DigestOrigin})
	}
	return s
}

// backlogTime is how long after a pause packets are read that have waited in the socket. The socket holds those of half a second, which are
// handled within some ms.
const backlogTime = 300 * time.Millisecond

// HandlePause records that this process did not run up to now. The packets that have waited in the socket carry old acknowledgements, so that
// they are not answered with resets. Opening packets carry none.
func (s *Steerer) HandlePause(now time.Time) { s.resetsFrom = now.Add(backlogTime) }

// Steer decides about one packet from a caller.
func (s *Steerer) Steer(now time.Time, p *editor.Packet) Decision {
	d := s.steer(now, p)
	if d.Action == Reset && !p.Flags.SYN && now.Before(s.resetsFrom) {
		return Decision{Cause: Paused, Server: d.Server, Address: d.Address}
	}
	return d
}

func (s *Steerer) steer(now time.Time, p *editor.Packet) Decision {
	if !s.configured {
		return Decision{Cause: NotReady}
	}
	if s.start.firstPacket.IsZero() {
		s.start.firstPacket = now
	}
	s.expireOpenings(now)
	r, ok := s.routes[p.Destination]
	if !ok {
		return s.steerUnrouted(now, p)
	}
	if p.Flags.SYN {
		return s.steerOpening(now, p, r)
	}
	return s.steerEstablished(now, p, r)
}

// steerUnrouted decides about a packet to an address without a route. A flow of a removed route is reset, and so is an opening
// packet; packets of other flows are dropped, because the route may not have reached this daemon yet.
func (s *Steerer) steerUnrouted(now time.Time, p *editor.Packet) Decision {
	if p.Flags.RST {
		return Decision{Cause: NoRoute}
	}
	if _, removed := s.removedRoutes[p.Destination]; removed {
		key := flowKey{p.Source, p.Destination}
		age := s.flowAge(now, key)
		s.forgetFlow(key)
		return Decision{Action: Reset, Cause: RouteRemoved, Age: age}
	}
	if p.Flags.SYN {
		return Decision{Action: Reset, Cause: NoRoute}
	}
	return Decision{Cause: NoRoute}
}

// steerEstablished decides about a packet of an established flow: it goes to the backend server that its tag names.
func (s *Steerer) steerEstablished(now time.Time, p *editor.Packet, r *route) Decision {
	key := flowKey{p.Source, p.Destination}
	target, cause := s.resolve(key, p)
	if target == nil {
		return Decision{Cause: cause}
	}
	var admitted *routeAdmission
	if r.admissions != nil {
		var d Decision
		if d, admitted = s.admitPacket(now, key, p, r, target); d.Action == Hold || d.Cause != CauseNone {
			return d
		}
	}
	handshakeCompleted, retransmissions := s.observePacket(now, key, p, target)
	if admitted != nil {
		s.startRequest(s.observed, admitted)
	}
	if !p.Flags.RST {
		if cause := target.lossCause(now); cause != CauseNone {
			age := s.flowAge(now, key)
			s.forgetFlow(key)
			return Decision{Action: Reset, Cause: cause, Server: target.ID, Address: target.Address, Age: age}
		}
	}
	return Decision{
		Action: Forward, Cause: Established, Server: target.ID, Address: target.Address, Tag: s.renewTag(s.observed, p, target),
		HandshakeCompleted: handshakeCompleted, Retransmissions: retransmissions,
	}
}

// lossCause returns why flows of the backend server have to be reset, CauseNone when they need not. An entry may be removed while
// its backend server still answers: flows are kept as long as it does.
func (b *backendServer) lossCause(now time.Time) Cause {
	switch {
	case b.removedFor(now) > removalGrace && now.Sub(b.lastAnswer) > removalGrace:
		return BackendServerRemoved
	case b.isSilentByAny(now):
		return BackendServerSilent
	}
	return CauseNone
}

// steerOpening decides about an opening packet: it places a new flow, unless the packet is a retransmission.
func (s *Steerer) steerOpening(now time.Time, p *editor.Packet, r *route) Decision {
	key := flowKey{p.Source, p.Destination}
	if s.limitsOpening(now, p, r) {
		return Decision{Cause: StartLimited}
	}
	if s.defersOpening(now, p, r) {
		return Decision{Cause: Deferred}
	}
	f, known := s.flows[key]
	if known && f.handshaking && f.sequence == p.SequenceNumber {
		return s.steerRetransmission(now, key, f, r)
	}
	if r.admissions != nil && !known && p.AckNumber == 0 && s.rejectsOpening(r) {
		return Decision{Action: Reset, Cause: Overloaded}
	}
	target, placement := s.place(now, r, nil)
	if target == nil {
		return Decision{Action: Reset, Cause: placement.rejectionCause(), Placement: placement}
	}
	if known {
		s.forgetFlow(key)
	}
	s.trackFlow(now, key, p, target)
	target.placedFlows++
	s.countFirstOpening()
	return s.forward(s.flows[key], target, key.destination, Placed, placement)
}

// steerRetransmission decides about a retransmitted opening packet. Callers retransmit it when no answer arrives in time. The
// first backend server may be down or full, so the retransmission goes to another one. Packets that arrive closer together than
// the shortest retransmission interval were delayed in transit; they follow the first one, because answers from two backend
// servers would confuse the caller.
func (s *Steerer) steerRetransmission(now time.Time, key flowKey, f *flow, r *route) Decision {
	f.openingRetransmissions = min(f.openingRetransmissions+1, maxRetransmissions)
	closed := f.server.evacuated || s.isCold(now, f.server)
	if now.Sub(f.lastSentAt) < max(retransmitMin, s.roundTrip.openingTimeout()) {
		if closed { // the first packet has used up the limit, or an evacuated backend server must get no more
			return Decision{Cause: Deferred}
		}
		return s.forward(f, f.server, key.destination, Retransmitted, Placement{})
	}
	f.server.recordRetransmission(now, f)
	s.evidenceChanged = true
	if !closed && !s.mayMove(now, f) { // an evacuated or cold backend server gets no further packet because of the budget
		f.lastSentAt = now
		return s.forward(f, f.server, key.destination, Retransmitted, Placement{})
	}
	f.countedRetransmitting = false // a further retransmission is evidence against the next backend server
	target, placement := s.place(now, r, f.server)
	if target == nil && closed {
		return s.steerToClosed(now, key, f, placement)
	}
	if target == nil {
		f.lastSentAt = now
		return s.forward(f, f.server, key.destination, Retransmitted, Placement{})
	}
	f.stopAwaitingOpening()
	f.setCountedOpen(false)
	f.server, f.lastSentAt, f.lastSeen = target, now, now
	f.setCountedOpen(true)
	s.awaitOpening(now, key, f)
	target.placedFlows++
	s.countMovedOpening()
	d := s.forward(f, target, key.destination, Moved, placement)
	d.Age = now.Sub(f.firstSeen)
	return d
}

// flowAge returns the time since this daemon first saw a flow, 0 for an unknown flow.
func (s *Steerer) flowAge(now time.Time, key flowKey) time.Duration {
	if f, ok := s.flows[key]; ok {
		return now.Sub(f.firstSeen)
	}
	return 0
}

// forward returns the decision to forward an opening packet, with the flow tag for the backend server. f is nil if the flow is not tracked.
func (s *Steerer) forward(f *flow, target *backendServer, destination netip.AddrPort, cause Cause, placement Placement) Decision {
	tag, ok := s.tags.Tag(uint64(target.ID), destination)
	switch {
	case f == nil:
	case ok:
		f.tags = [2]uint32{tag, tag}
	default: // a retransmission, whose backend server has lost its tag since the first packet
		tag = f.tags[0]
	}
	return Decision{Action: Forward, Cause: cause, Server: target.ID, Address: target.Address, Tag: tag, Placement: placement}
}
