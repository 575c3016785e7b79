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
	removedRetention = 90 * time.Second
	// goneConfirmation is how long an entry must be missing before the flows of its backend server are reset: entries that
	// lapsed while the platform was down are back within about 2 s of its return.
	removalGrace = 2500 * time.Millisecond
)

// route is a route in force with what placement needs.
type route struct {
	directory.Route
	// credits are those of the smooth weighted round robin between the services, by index of Shares.
	currentWeights []int
}

// server is a backend server with what this daemon has seen of it.
type backendServer struct {
	directory.BackendServer
	removedAt     time.Time  // when its entry was first missing; zero while it is listed
	openFlows     int        // open flows that this daemon has seen
	placedFlows   uint64     // new flows that this daemon has sent to it
	flowsReset    bool       // its flows were reset since it was lost
	zoneRoundTrip *roundTrip // of its availability zone
	health
	peerFindings
	recentRequests
	requestsInProgress
}

func (b *backendServer) removedFor(now time.Time) time.Duration {
	if b.removedAt.IsZero() {
		return 0
	}
	return now.Sub(b.removedAt)
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
		delete(s.removedRoutes, r.Address)
	}
	for address := range before {
		if s.routes[address] == nil {
			s.removedRoutes[address] = now
		}
	}
}

func newRoute(r directory.Route, before *route) *route {
	created := &route{Route: r, currentWeights: make([]int, len(r.Shares))}
	if before != nil && slices.Equal(r.Shares, before.Shares) {
		created.currentWeights = before.currentWeights
	}
	return created
}

// SetBackendList replaces the backend servers. Those that are missing from it stay known as gone for a while, because packets
// of their flows still arrive.
func (s *Steerer) SetBackendList(now time.Time, l *directory.Listing) {
	listed := make(map[directory.ServerID]bool, len(l.Servers))
	for _, entry := range l.Servers {
		listed[entry.ID] = true
		known := s.servers[entry.ID]
		switch {
		case known == nil:
			s.servers[entry.ID] = &backendServer{BackendServer: entry, health: health{disabled: s.config.IgnoreObservations}}
		case known.Incarnation != entry.Incarnation || known.Address != entry.Address:
			// The opening packets that were sent are settled as before.
			known.health = health{disabled: s.config.IgnoreObservations, recentOpenings: known.recentOpenings, awaitedOpenings: known.awaitedOpenings}
			known.BackendServer, known.removedAt, known.peerFindings, known.recentRequests, known.requestsInProgress = entry, time.Time{}, peerFindings{}, recentRequests{}, requestsInProgress{}
		default:
			known.BackendServer, known.removedAt = entry, time.Time{}
		}
	}
	for id, b := range s.servers {
		if !listed[id] && b.removedAt.IsZero() {
			b.removedAt = now
		}
	}
	s.rebuildIndex()
}

func (s *Steerer) removeServer(b *backendServer) {
	delete(s.servers, b.ID)
	for key, f := range s.flows {
		if f.server == b {
			delete(s.flows, key)
		}
	}
}

// index rebuilds the tags and the lists of backend servers by service. Sorted lists keep decisions reproducible.
func (s *Steerer) rebuildIndex() {
	ids := make([]uint64, 0, len(s.servers))
	s.serversByService = make(map[string][]*backendServer)
	zones := make(map[string]bool)
	for id, b := range s.servers {
		ids = append(ids, uint64(id))
		b.zoneRoundTrip = s.zoneRoundTrip(b.AvailabilityZone)
		if b.removedAt.IsZero() || !b.Leaving {
			s.serversByService[b.Service] = append(s.serversByService[b.Service], b)
			zones[b.AvailabilityZone] = true
		}
	}
	for _, list := range s.serversByService {
		slices.SortFunc(list, func(a, b *backendServer) int { return cmp.Compare(a.ID, b.ID) })
	}
	s.zonesWithServers = len(zones)
	s.tags = tagger.New(ids)
}

// wayTo returns the handshakes with backend servers of an availability zone.
func (s *Steerer) zoneRoundTrip(zone string) *roundTrip {
	if s.zoneRoundTrips[zone] == nil {
		s.zoneRoundTrips[zone] = &roundTrip{}
	}
	return s.zoneRoundTrips[zone]
}

// Sweep forgets what is too old. It is to be called about once a second.
func (s *Steerer) Sweep(now time.Time) {
	for key, f := range s.flows {
		switch idle := now.Sub(f.lastSeen); {
		case idle > s.idleTimeout:
			s.forgetFlow(key)
		case idle > idleAfter:
			f.setCountedOpen(false)
		}
	}
	expired := false
	for _, b := range s.servers {
		if b.removedFor(now) > removedRetention {
			s.removeServer(b)
			expired = true
		}
	}
	if expired {
		s.rebuildIndex()
	}
	for address, removedAt := range s.removedRoutes {
		if now.Sub(removedAt) > removedRetention {
			delete(s.removedRoutes, address)
		}
	}
}

// ServerFlows is what this daemon has seen of the flows at a backend server.
type ServerFlows struct {
	ID                        directory.ServerID
	Service, AvailabilityZone string
	OpenFlows                 int
	PlacedFlows               uint64 // new flows that this daemon has sent to it
}

// Servers returns the listed backend servers with their flows.
func (s *Steerer) Servers() []ServerFlows {
	list := make([]ServerFlows, 0, len(s.servers))
	for _, servers := range s.serversByService {
		for _, b := range servers {
			list = append(list, ServerFlows{b.ID, b.Service, b.AvailabilityZone, b.openFlows, b.placedFlows})
		}
	}
	return list
}
