// Package steerer decides what happens to each packet that callers send when backend servers answer them directly. A
// packet of an established flow follows the tag that it carries, so any daemon can forward it; new flows are placed. The
// package uses no sockets, goroutines, clock or global randomness. A Steerer is not safe for concurrent use.
package steerer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/modules/tagger"
)

// Action is what to do with a packet.
type Action uint8

// The actions.
const (
	Drop    Action = iota // nothing is sent
	Forward               // to Decision.Server, with Decision.Tag
	Reset                 // the caller's flow is reset
)

var actionNames = [...]string{"drop", "forward", "reset"}

// String returns the name of the action as logs spell it.
func (a Action) String() string { return actionNames[a] }

// Cause tells why a decision was made.
type Cause uint8

// The causes.
const (
	CauseNone Cause = iota
	Established
	Placed
	Copied              // a copy of an opening packet went where the first one went
	Moved               // a copy of an opening packet went to another backend server
	NoRoute             // no route has the address
	RouteRemoved        // the route of the flow was removed
	NoBackendServer     // no backend server can take the flow
	UnknownTag          // the tag names no known backend server, or was issued for another address
	BackendServerGone   // the entry of the flow's backend server is gone
	BackendServerSilent // the flow's backend server answers nobody
	Paused              // the process was paused: new flows wait for a fresh view
	NotReady            // no configuration has arrived yet
	Deferred            // a late copy of an opening packet waits until backend servers have room
	causes
)

var causeNames = [causes]string{
	"none", "established", "placed", "copied", "moved", "no-route", "route-removed", "no-backend-server", "unknown-tag",
	"backend-server-gone", "backend-server-silent", "paused", "not-ready", "deferred",
}

// String returns the name of the cause as logs and metrics spell it.
func (c Cause) String() string { return causeNames[c] }

// Causes returns all causes.
func Causes() []Cause {
	all := make([]Cause, causes)
	for i := range all {
		all[i] = Cause(i)
	}
	return all
}

// Decision is what to do with a packet and why.
type Decision struct {
	Action Action
	Cause  Cause
	// Server and Address are those of the backend server that gets the packet, or held the flow that is reset.
	Server  directory.ServerID
	Address netip.AddrPort
	Tag     uint32
	// Age is for how long this daemon has seen the flow, set for flows that are moved or reset.
	Age time.Duration
	// Choice tells what decided where a new flow goes.
	Choice Choice
	// Opened is set on the first packet that shows that the flow is open, and Copies is how many copies of its opening
	// packet this daemon had seen by then.
	Opened bool
	Copies int
}

// Choice is what decided between backend servers.
type Choice struct {
	Load       float64 // of the chosen one, in open flows per slot with the prices of crossing and suspicion
	Candidates int     // backend servers that could have been chosen
	Avoided    int     // those among them that are suspected
}

// Config holds what a Steerer is made of.
type Config struct {
	AvailabilityZone string
	Random           *rand.Rand
	// IgnoreFlows switches off what is learned of backend servers from packets: for comparisons.
	IgnoreFlows bool
}

// Steerer decides about the packets of one daemon.
type Steerer struct {
	c Config

	configured  bool
	idleTimeout time.Duration
	routes      map[netip.AddrPort]*route
	removed     map[netip.AddrPort]time.Time

	servers   map[directory.ServerID]*server
	services  map[string][]*server
	tags      *tagger.Table
	flows     map[flowKey]*flow
	opens     []open                // in the order in which they were sent
	daemons   int                   // of the own availability zone
	zones     int                   // availability zones with backend servers
	zoneSet   []string              // scratch of loadAbroad
	roundTrip roundTrip             // with all backend servers
	ways      map[string]*roundTrip // the same by availability zone of the backend servers
	near      *roundTrip            // that of the own zone
}

// New returns a Steerer that knows no route and no backend server.
func New(c Config) *Steerer {
	s := &Steerer{
		c: c, ways: map[string]*roundTrip{}, routes: map[netip.AddrPort]*route{}, removed: map[netip.AddrPort]time.Time{},
		servers: map[directory.ServerID]*server{}, tags: tagger.New(nil), flows: map[flowKey]*flow{},
		idleTimeout: defaultIdleTimeout, daemons: 1,
	}
	s.near = s.wayTo(c.AvailabilityZone)
	return s
}

// Steer decides about one packet of a caller.
func (s *Steerer) Steer(now time.Time, p *editor.Packet) Decision {
	if !s.configured {
		return Decision{Cause: NotReady}
	}
	s.settleOpens(now)
	r, ok := s.routes[p.Destination]
	if !ok {
		return s.unrouted(now, p)
	}
	if p.Flags.SYN {
		return s.open(now, p, r)
	}
	return s.follow(now, p)
}

// unrouted decides about a packet to an address without a route. A flow of a removed route ends at once; packets of other
// flows get no answer, because the route may be one that this daemon does not know yet.
func (s *Steerer) unrouted(now time.Time, p *editor.Packet) Decision {
	if p.Flags.RST {
		return Decision{Cause: NoRoute}
	}
	if _, removed := s.removed[p.Destination]; removed {
		key := flowKey{p.Source, p.Destination}
		age := s.age(now, key)
		s.forget(key)
		return Decision{Action: Reset, Cause: RouteRemoved, Age: age}
	}
	if p.Flags.SYN {
		return Decision{Action: Reset, Cause: NoRoute}
	}
	return Decision{Cause: NoRoute}
}

// follow decides about a packet of an established flow.
func (s *Steerer) follow(now time.Time, p *editor.Packet) Decision {
	key := flowKey{p.Source, p.Destination}
	id, ok := s.tags.Lookup(p.Tag, p.Destination)
	if !ok {
		return Decision{Cause: UnknownTag}
	}
	target := s.servers[directory.ServerID(id)]
	opened, copies := s.observe(now, key, p, target)
	if !p.Flags.RST {
		if cause := target.lost(now); cause != CauseNone {
			age := s.age(now, key)
			s.forget(key)
			return Decision{Action: Reset, Cause: cause, Server: target.ID, Address: target.Address, Age: age}
		}
	}
	return Decision{
		Action: Forward, Cause: Established, Server: target.ID, Address: target.Address, Tag: p.Tag, Opened: opened, Copies: copies,
	}
}

// lost tells why the flows of a backend server can't go on, CauseNone when they can.
func (b *server) lost(now time.Time) Cause {
	switch {
	case b.goneFor(now) > goneConfirmation && now.Sub(b.lastAnswer) > goneConfirmation:
		return BackendServerGone
	case b.mute(now):
		return BackendServerSilent
	}
	return CauseNone
}

// open decides about an opening packet.
func (s *Steerer) open(now time.Time, p *editor.Packet, r *route) Decision {
	key := flowKey{p.Source, p.Destination}
	if s.deferred(now, p, r) {
		return Decision{Cause: Deferred}
	}
	f, known := s.flows[key]
	if known && f.opening && f.sequence == p.SequenceNumber {
		return s.repeat(now, key, f, r)
	}
	target, choice := s.place(now, r, nil)
	if target == nil {
		return Decision{Action: Reset, Cause: NoBackendServer}
	}
	if known {
		s.forget(key)
	}
	s.begin(now, key, p, target)
	target.placed++
	return s.send(target, key.service, Placed, choice)
}

// repeat decides about a copy of an opening packet. The caller sends copies when no answer came in time; the first backend
// server may be down or full, so the copy goes to another one. Copies that arrive close together were held up on
// the way, and two answers at once would confuse the caller: they follow the first.
func (s *Steerer) repeat(now time.Time, key flowKey, f *flow, r *route) Decision {
	f.copies = min(f.copies+1, maxCopies)
	if now.Sub(f.placed) < max(repeatSpacing, s.roundTrip.late()) {
		return s.send(f.server, key.service, Copied, Choice{})
	}
	f.server.strike(now, f)
	f.struck = false // the next copy may count against the next backend server
	target, choice := s.place(now, r, f.server)
	if target == nil {
		f.placed = now
		return s.send(f.server, key.service, Copied, Choice{})
	}
	f.awaitNoLonger()
	f.count(false)
	f.server, f.placed, f.seen = target, now, now
	f.count(true)
	s.awaitOpen(now, key, f)
	target.placed++
	d := s.send(target, key.service, Moved, choice)
	d.Age = now.Sub(f.began)
	return d
}

// age returns for how long this daemon has seen a flow, 0 when it has not.
func (s *Steerer) age(now time.Time, key flowKey) time.Duration {
	if f, ok := s.flows[key]; ok {
		return now.Sub(f.began)
	}
	return 0
}

func (s *Steerer) send(to *server, service netip.AddrPort, cause Cause, choice Choice) Decision {
	tag, _ := s.tags.Tag(uint64(to.ID), service) // all known backend servers are in the table
	return Decision{Action: Forward, Cause: cause, Server: to.ID, Address: to.Address, Tag: tag, Choice: choice}
}
