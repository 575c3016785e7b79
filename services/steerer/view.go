package steerer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/tagger"
)

const (
	// defaultIdleTimeout holds until a configuration states one.
	defaultIdleTimeout = 15 * time.Second
	// memory is how long removed routes and backend servers are remembered. It exceeds the longest life of a flow (60 s).
	memory = 90 * time.Second
	// goneConfirmation is how long an entry must be missing before the flows of its backend server are reset: entries that
	// lapsed while the platform was down are back within about 2 s of its return.
	goneConfirmation = 2500 * time.Millisecond
)

// route is a route in force with what placement needs.
type route struct {
	directory.Route
	// credits are those of the smooth weighted round robin between the services, by index of Shares.
	credits []int
}

// server is a backend server with what this daemon has seen of it.
type server struct {
	directory.BackendServer
	gone   time.Time  // when its entry was first missing; zero while it is listed
	flows  int        // open flows that this daemon has seen
	placed uint64     // new flows that this daemon has sent to it
	purged bool       // its flows were reset since it was lost
	way    *roundTrip // of its availability zone
	health
	reports
	load
	progress
}

func (b *server) goneFor(now time.Time) time.Duration {
	if b.gone.IsZero() {
		return 0
	}
	return now.Sub(b.gone)
}

// SetConfiguration puts a version of the configuration in force. The caller passes versions in rising order.
func (s *Steerer) SetConfiguration(now time.Time, c *directory.Configuration) {
	before := s.routes
	s.configured = true
	s.idleTimeout = defaultIdleTimeout
	if c.IdleTimeout > 0 {
		s.idleTimeout = c.IdleTimeout
	}
	s.routes = make(map[netip.AddrPort]*route, len(c.Routes))
	for _, r := range c.Routes {
		s.routes[r.Address] = newRoute(r, before[r.Address])
		delete(s.removed, r.Address)
	}
	for address := range before {
		if s.routes[address] == nil {
			s.removed[address] = now
		}
	}
}

func newRoute(r directory.Route, before *route) *route {
	n := &route{Route: r, credits: make([]int, len(r.Shares))}
	if before != nil && slices.Equal(r.Shares, before.Shares) {
		n.credits = before.credits
	}
	return n
}

// SetListing replaces the backend servers. Those that are missing from it stay known as gone for a while, because packets
// of their flows still arrive.
func (s *Steerer) SetListing(now time.Time, l *directory.BackendList) {
	present := make(map[directory.ServerID]bool, len(l.Servers))
	for _, entry := range l.Servers {
		present[entry.ID] = true
		known := s.servers[entry.ID]
		switch {
		case known == nil:
			s.servers[entry.ID] = &server{BackendServer: entry, health: health{ignore: s.c.IgnoreFlows}}
		case known.Incarnation != entry.Incarnation || known.Address != entry.Address:
			// The opening packets that were sent are settled as before.
			known.health = health{ignore: s.c.IgnoreFlows, opening: known.opening, unopened: known.unopened}
			known.BackendServer, known.gone, known.reports, known.load, known.progress = entry, time.Time{}, reports{}, load{}, progress{}
		default:
			known.BackendServer, known.gone = entry, time.Time{}
		}
	}
	for id, b := range s.servers {
		if !present[id] && b.gone.IsZero() {
			b.gone = now
		}
	}
	s.index()
}

func (s *Steerer) remove(b *server) {
	delete(s.servers, b.ID)
	for key, f := range s.flows {
		if f.server == b {
			delete(s.flows, key)
		}
	}
}

// index rebuilds the tags and the lists of backend servers by service. Sorted lists keep decisions reproducible.
func (s *Steerer) index() {
	ids := make([]uint64, 0, len(s.servers))
	s.services = make(map[string][]*server)
	zones := make(map[string]bool)
	for id, b := range s.servers {
		ids = append(ids, uint64(id))
		b.way = s.wayTo(b.AvailabilityZone)
		if b.gone.IsZero() || !b.Leaving {
			s.services[b.Service] = append(s.services[b.Service], b)
			zones[b.AvailabilityZone] = true
		}
	}
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	}
	s.zones = len(zones)
	s.tags = tagger.New(ids)
}

// wayTo returns the handshakes with backend servers of an availability zone.
func (s *Steerer) wayTo(zone string) *roundTrip {
	if s.ways[zone] == nil {
		s.ways[zone] = &roundTrip{}
	}
	return s.ways[zone]
}

// Sweep forgets what is too old. It is to be called about once a second.
func (s *Steerer) Sweep(now time.Time) {
	for key, f := range s.flows {
		switch quiet := now.Sub(f.seen); {
		case quiet > s.idleTimeout:
			s.forget(key)
		case quiet > quietAfter:
			f.count(false)
		}
	}
	expired := false
	for _, b := range s.servers {
		if b.goneFor(now) > memory {
			s.remove(b)
			expired = true
		}
	}
	if expired {
		s.index()
	}
	for address, since := range s.removed {
		if now.Sub(since) > memory {
			delete(s.removed, address)
		}
	}
}

// ServerFlows is what this daemon has seen of the flows at a backend server.
type ServerFlows struct {
	ID                        directory.ServerID
	Service, AvailabilityZone string
	Open                      int
	Placed                    uint64 // new flows that this daemon has sent to it
}

// Servers returns the listed backend servers with their flows.
func (s *Steerer) Servers() []ServerFlows {
	list := make([]ServerFlows, 0, len(s.servers))
	for _, services := range s.services {
		for _, b := range services {
			list = append(list, ServerFlows{b.ID, b.Service, b.AvailabilityZone, b.flows, b.placed})
		}
	}
	return list
}
