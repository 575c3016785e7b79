package steerer

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/spiller"
)

// spillover is the state of the rule for new flows to other zones. The zero value turns it off.
type spillover struct {
	spiller *spiller.Spiller                       // nil if Config.CrossZoneMargin is 0
	servers map[string]map[string][]*backendServer // by service and zone, without the own zone
	names   []string                               // of the other zones with backend servers, sorted
	zones   []spiller.Zone                         // reused by placeElsewhere
	flows   uint64                                 // new flows that the rule has sent to other zones
	placing bool                                   // pickServer chooses among the backend servers of another zone
}

// SpilledFlows returns the number of new flows that the rule of spillover has sent to other zones.
func (s *Steerer) SpilledFlows() uint64 { return s.spillover.flows }

// rebuildSpillover rebuilds the lists of the backend servers in other zones that accept new flows.
func (s *Steerer) rebuildSpillover() {
	if s.spillover.spiller == nil {
		return
	}
	s.spillover.servers = map[string]map[string][]*backendServer{}
	names := map[string]bool{}
	for service, servers := range s.serversByService {
		byZone := map[string][]*backendServer{}
		for _, b := range servers {
			if b.AvailabilityZone != s.config.AvailabilityZone && !b.evacuated && !b.Leaving && b.removedAt.IsZero() {
				names[b.AvailabilityZone] = true
				byZone[b.AvailabilityZone] = append(byZone[b.AvailabilityZone], b)
			}
		}
		s.spillover.servers[service] = byZone
	}
	s.spillover.names = slices.Sorted(maps.Keys(names))
}

// placeElsewhere returns the backend server in another zone for a new flow of the service, nil if the flow is placed by load. The clients
// of an evacuated zone are spread over the others by load alone.
func (s *Steerer) placeElsewhere(now time.Time, r *route, service string, excluded *backendServer) (*backendServer, Placement) {
	o := &s.spillover
	if o.spiller == nil || s.evacuation.zones[s.config.AvailabilityZone] || !o.spiller.IsDue(now, service) {
		return nil, Placement{}
	}
	o.zones = o.zones[:0]
	byZone := o.servers[service]
	for _, zone := range o.names {
		if !s.acceptsFlows(now, byZone[zone]) {
			continue
		}
		z, trip := spiller.Zone{Name: zone}, s.zoneRoundTrips[zone]
		if trip.hasSample && s.ownZoneRoundTrip.hasSample {
			z.ExtraRoundTrip = max(0, trip.mean-s.ownZoneRoundTrip.mean)
		}
		o.zones = append(o.zones, z)
	}
	zone, ok := o.spiller.Choose(now, service, o.zones, s.config.Random)
	if !ok {
		return nil, Placement{}
	}
	o.placing = true
	b, placement := s.pickServer(now, r, byZone[zone], excluded, false)
	o.placing = false
	if b != nil {
		o.flows++
	}
	return b, placement
}

// acceptsFlows reports whether one of the backend servers of a zone is known to answer and not to warm up.
func (s *Steerer) acceptsFlows(now time.Time, servers []*backendServer) bool {
	for _, b := range servers {
		if !b.isSuspectedByAny(now) && !s.isCold(now, b) {
			return true
		}
	}
	return false
}

// observeZone adds the response time of a flow to what is known of its zone. Later requests of a flow at a backend server that is known to
// be slow do not show what a new flow has to expect.
func (s *Steerer) observeZone(now time.Time, route string, f *flow, responseTime time.Duration) {
	switch b := f.server; {
	case s.spillover.spiller == nil:
	case b.AvailabilityZone == s.config.AvailabilityZone:
		typical := f.requests == 1 || s.estimator == nil || s.slowness(now, b) == 1
		s.spillover.spiller.ObserveHome(now, route, b.Service, responseTime, typical)
	default:
		s.spillover.spiller.ObserveOther(now, route, b.Service, b.AvailabilityZone, responseTime)
	}
}

// recordZoneOpening records whether an opening packet was answered, if its backend server is in another zone.
func (s *Steerer) recordZoneOpening(now time.Time, b *backendServer, answered bool) {
	if s.spillover.spiller != nil && b.AvailabilityZone != s.config.AvailabilityZone {
		s.spillover.spiller.RecordOpening(now, b.AvailabilityZone, answered)
	}
}
