package steerer

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

const (
	// defaultIdleTimeout applies when the configuration states no idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// removedRetention is how long removed routes and backend servers are kept. It exceeds the longest lifetime of a flow (60 s).
	removedRetention = 90 * time.Second
	// removalGrace is how long the entry of a backend server must be missing before its flows are reset: entries that expire
	// during an outage of the platform return within about 2 s after it.
	removalGrace = 2500 * time.Millisecond
	// maxUnusedZones is the number of zones from which on the estimates of those without backend servers are dropped.
	maxUnusedZones = 32
	// restoreGrace is how long after a restore of the platform's store an entry may be that of the copy. Entries of running backend
	// servers are written again within 2 s, the others expire after three heartbeats of up to 1.2 s.
	restoreGrace = 5 * time.Second
)

// route is a route in force with the state of its placement.
type route struct {
	directory.Route
	// currentWeights holds the current weight of each service in smooth weighted round robin, by index of Shares.
	currentWeights []int
	flowLength
	// admissions holds the admission control of each service by index of Shares, nil if the route has none.
	admissions []*routeAdmission
}

// backendServer is a backend server with this daemon's observations of it.
type backendServer struct {
	directory.BackendServer
	removedAt     time.Time  // when its entry was first missing; zero while it is listed
	openFlows     int        // number of open flows that pass through this daemon
	placedFlows   uint64     // number of new flows that this daemon has placed on it
	zoneRoundTrip *roundTrip // of the handshakes with its availability zone
	speedState
	evacuated bool      // its availability zone is evacuated: it gets no new flows and keeps its own
	coldUntil time.Time // when its warm-up ends
	// coldPlacements is the number of new flows that this daemon has placed on it while it was cold.
	coldPlacements uint64
	probed         *bool // Steerer.probed
	health
	peerFindings
	recentRequests
	requestsInProgress
	newFlowRequests requestsInProgress // those on flows that this daemon has opened
}

// removedFor returns how long the entry of the backend server has been missing, 0 while it is listed.
func (b *backendServer) removedFor(now time.Time) time.Duration {
	if b.removedAt.IsZero() {
		return 0
	}
	return now.Sub(b.removedAt)
}

// SetConfiguration puts a version of the configuration in force. Versions must be passed in ascending order.
func (s *Steerer) SetConfiguration(now time.Time, c *directory.Configuration) {
	previousRoutes := s.routes
	s.configured = true
	s.idleTimeout = defaultIdleTimeout
	if c.IdleTimeout > 0 {
		s.idleTimeout = c.IdleTimeout
	}
	s.evacuation.warmUpRates = make(map[string]float64, len(c.Services))
	for _, service := range c.Services {
		s.evacuation.warmUpRates[service.Name] = service.WarmUpPerSecond
	}
	s.routes = make(map[netip.AddrPort]*route, len(c.Routes))
	for _, r := range c.Routes {
		s.routes[r.Address] = newRoute(r, previousRoutes[r.Address])
		delete(s.removedRoutes, r.Address)
	}
	for address := range previousRoutes {
		if s.routes[address] == nil {
			s.removedRoutes[address] = now
		}
	}
	s.configureAdmission(now, c)
}

// newRoute returns the state of a route. It keeps the current weights while the shares are unchanged.
func newRoute(r directory.Route, previous *route) *route {
	created := &route{Route: r, currentWeights: make([]int, len(r.Shares))}
	if previous != nil && slices.Equal(r.Shares, previous.Shares) {
		created.currentWeights, created.flowLength = previous.currentWeights, previous.flowLength
	}
	return created
}

// isAheadOf reports whether this daemon knows a later state of the backend server than an entry of a store that was restored at
// restoredAt: the entry may be that of the copy.
func (b *backendServer) isAheadOf(entry *directory.BackendServer, now, restoredAt time.Time) bool {
	switch {
	case entry.Incarnation != b.Incarnation:
		return entry.Incarnation < b.Incarnation
	case b.Leaving:
		return !entry.Leaving
	}
	return !b.removedAt.IsZero() && b.removedAt.Before(restoredAt) && now.Sub(b.lastAnswer) > removalGrace
}

// SetBackendList replaces the backend list. Removed backend servers are kept for removedRetention, because packets of their flows
// still arrive.
func (s *Steerer) SetBackendList(now time.Time, l *directory.BackendList) {
	if s.backendList != nil && s.backendList.Era > 0 && l.Era > s.backendList.Era {
		s.restoredAt = now
	}
	s.backendList = l
	s.applyBackendList(now)
}

func (s *Steerer) applyBackendList(now time.Time) {
	listed := make(map[directory.ServerID]bool, len(s.backendList.Servers))
	for _, entry := range s.backendList.Servers {
		known := s.servers[entry.ID]
		if known != nil && !s.restoredAt.IsZero() && known.isAheadOf(&entry, now, s.restoredAt) {
			listed[entry.ID] = known.Incarnation == entry.Incarnation
			continue
		}
		listed[entry.ID] = true
		switch {
		case known == nil:
			s.servers[entry.ID] = &backendServer{
				BackendServer: entry, probed: &s.probed, health: health{ignoreObservations: s.config.IgnoreObservations},
				coldUntil: now.Add(entry.RemainingWarmUp),
			}
		case known.Incarnation != entry.Incarnation || known.Address != entry.Address:
			// The backend server has restarted. The counts of opening packets are kept, as expireOpenings decrements them later.
			known.health = health{ignoreObservations: s.config.IgnoreObservations,
				recentOpenings: known.recentOpenings, awaitedOpenings: known.awaitedOpenings}
			known.coldUntil = now.Add(entry.RemainingWarmUp)
			known.BackendServer, known.removedAt, known.peerFindings, known.recentRequests, known.requestsInProgress, known.newFlowRequests =
				entry, time.Time{}, peerFindings{}, recentRequests{}, requestsInProgress{}, requestsInProgress{}
		default:
			if until := now.Add(entry.RemainingWarmUp); until.After(known.coldUntil) {
				known.coldUntil = until
			}
			known.BackendServer, known.removedAt = entry, time.Time{}
		}
	}
	for id, b := range s.servers {
		if !listed[id] && b.removedAt.IsZero() {
			b.removedAt = now
		}
	}
	s.resetSpeeds()
	s.rebuildIndex()
}

// removeServer deletes a backend server and its flows.
func (s *Steerer) removeServer(b *backendServer) {
	delete(s.servers, b.ID)
	if s.evacuation.limiter != nil {
		s.evacuation.limiter.Forget(b.ID)
	}
	for key, f := range s.flows {
		if f.server == b {
			s.forgetFlow(key)
		}
	}
}

// rebuildIndex rebuilds the tag table and the lists of backend servers by service. Sorted lists keep decisions reproducible.
func (s *Steerer) rebuildIndex() {
	s.serversByService = make(map[string][]*backendServer)
	zones := make(map[string]bool)
	for _, b := range s.servers {
		b.zoneRoundTrip = s.zoneRoundTrip(b.AvailabilityZone)
		s.applyEvacuation(b)
		if b.removedAt.IsZero() || !b.Leaving {
			s.serversByService[b.Service] = append(s.serversByService[b.Service], b)
			if !b.evacuated {
				zones[b.AvailabilityZone] = true
			}
		}
	}
	for _, servers := range s.serversByService {
		slices.SortFunc(servers, func(a, b *backendServer) int { return cmp.Compare(a.ID, b.ID) })
	}
	s.forgetZoneRoundTrips()
	s.zonesWithServers = len(zones)
	s.rebuildTags()
	s.rebuildOrders()
	s.rebuildSpillover()
	s.updateAdmissionSlots()
}

// forgetZoneRoundTrips drops the estimates of zones without backend servers, so that entries that name ever new zones take up no memory.
func (s *Steerer) forgetZoneRoundTrips() {
	if len(s.zoneRoundTrips) <= maxUnusedZones {
		return
	}
	used := map[string]bool{s.config.AvailabilityZone: true}
	for _, b := range s.servers {
		used[b.AvailabilityZone] = true
	}
	maps.DeleteFunc(s.zoneRoundTrips, func(zone string, _ *roundTrip) bool { return !used[zone] })
}

// zoneRoundTrip returns the round-trip estimate of handshakes with backend servers in an availability zone.
func (s *Steerer) zoneRoundTrip(zone string) *roundTrip {
	if s.zoneRoundTrips[zone] == nil {
		s.zoneRoundTrips[zone] = &roundTrip{}
	}
	return s.zoneRoundTrips[zone]
}

// Sweep deletes idle flows and expired entries of removed routes and backend servers. It must be called about once a second.
func (s *Steerer) Sweep(now time.Time) {
	s.advanceAdmission(now)
	for key, f := range s.flows {
		switch idle := now.Sub(f.lastSeen); {
		case idle > s.idleTimeout:
			s.forgetFlow(key)
		case idle > idleAfter:
			f.setCountedOpen(false)
		}
	}
	if !s.restoredAt.IsZero() && now.Sub(s.restoredAt) >= restoreGrace {
		s.restoredAt = time.Time{}
		s.applyBackendList(now)
	}
	expired := false
	for _, b := range s.servers {
		if b.removedFor(now) > removedRetention {
			s.removeServer(b)
			expired = true
		}
	}
	if s.sweepDepartures(now) || expired {
		s.rebuildIndex()
	}
	for address, removedAt := range s.removedRoutes {
		if now.Sub(removedAt) > removedRetention {
			delete(s.removedRoutes, address)
		}
	}
}

// ServerFlows counts the flows of a backend server that pass through this daemon.
type ServerFlows struct {
	ID                        directory.ServerID
	Service, AvailabilityZone string
	OpenFlows                 int
	PlacedFlows               uint64 // new flows that this daemon has placed on it
}

// Servers returns the flow counts of backend servers. Those that have left the list while draining are omitted.
func (s *Steerer) Servers() []ServerFlows {
	list := make([]ServerFlows, 0, len(s.servers))
	for _, servers := range s.serversByService {
		for _, b := range servers {
			list = append(list, ServerFlows{b.ID, b.Service, b.AvailabilityZone, b.openFlows, b.placedFlows})
		}
	}
	return list
}
