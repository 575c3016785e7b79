package steerer

import "github.com/bluebelldyke/bluebelldyke/models/directory"

// In a zone of many daemons each has one flow or none at most backend servers, so ties decide where flows go. If they are broken at random,
// the sums over all daemons vary like those of independent draws. Config.EvenTies breaks them in one of two orders instead:
//   - Routes with a flow for each request use a rotation. Each backend server gets the same number of flows from each daemon, apart from
//     one.
//   - Routes whose flows carry many requests use a fixed order, which starts at another backend server in each daemon. A daemon with n such
//     flows has them at n backend servers in a row, and the rows of all daemons cover each backend server equally often.

const (
	// longFlowRequests is the number of requests from which on a flow is long.
	longFlowRequests = 4
	// longFlowDivisor is the weight of earlier flows in the share of long ones.
	longFlowDivisor = 8
	// longFlowShare is the share of long flows from which on a route uses the fixed order.
	longFlowShare = 0.5
)

// SetZoneRank sets the place of this daemon in the order of the daemons of its availability zone.
func (s *Steerer) SetZoneRank(rank int) { s.zoneRank = rank }

// flowLength is the share of long flows among those of a route. It is 1 before the first one: short flows end soon and correct it, while
// the first long ones of a daemon are most of those that it ever places.
type flowLength struct{ shortShare float64 }

// recordLongFlow counts a flow that has become long.
func (l *flowLength) recordLongFlow() { l.shortShare -= l.shortShare / longFlowDivisor }

// recordShortFlow counts a flow that has ended before it was long.
func (l *flowLength) recordShortFlow() { l.shortShare += (1 - l.shortShare) / longFlowDivisor }

// areLong reports whether most flows are long.
func (l *flowLength) areLong() bool { return 1-l.shortShare >= longFlowShare }

// recordFlowLength updates the flow length of the route when the flow becomes long, or when it ends before that.
func (s *Steerer) recordFlowLength(key flowKey, f *flow, ended bool) {
	r := s.routes[key.destination]
	switch {
	case !s.config.EvenTies || r == nil:
	case ended && f.requests < longFlowRequests:
		r.recordShortFlow()
	case !ended && f.requests == longFlowRequests:
		r.recordLongFlow()
	}
}

// rebuildOrders rebuilds the lists of the backend servers of the own zone by service, or of all zones that are left if the own one is
// evacuated: its backend servers get no flows, so daemons that start there would all begin at the first one of the next zone.
func (s *Steerer) rebuildOrders() {
	clear(s.zoneServers)
	evacuated := s.evacuation.zones[s.config.AvailabilityZone]
	for service, servers := range s.serversByService {
		for _, b := range servers {
			if evacuated && !b.evacuated || !evacuated && b.AvailabilityZone == s.config.AvailabilityZone {
				s.zoneServers[service] = append(s.zoneServers[service], b.ID)
			}
		}
	}
}

// usesEvenTies reports whether ties are broken in an order of this daemon. A daemon that knows no other one does not know its place among
// them: if all daemons of a zone start at the same time, they must not start at the same backend server.
func (s *Steerer) usesEvenTies() bool {
	return s.config.EvenTies && s.zoneDaemons > 1 && !s.spillover.placing
}

// precedes reports whether backend server a comes before b in the order of the route.
func (s *Steerer) precedes(r *route, a, b *backendServer) bool {
	before, ok := s.rotations[a.Service]
	if !ok || r.areLong() {
		before = s.startOfOrder(a.Service)
	}
	return a.ID-before-1 < b.ID-before-1 // the differences wrap around
}

// startOfOrder returns the id before that of the first backend server in this daemon's order. The starts of the daemons of a zone are
// spread evenly over its backend servers.
func (s *Steerer) startOfOrder(service string) directory.ServerID {
	ids := s.zoneServers[service]
	if len(ids) == 0 {
		return 0
	}
	return ids[s.zoneRank%s.zoneDaemons*len(ids)/s.zoneDaemons] - 1
}

// advanceRotation records the backend server that gets a flow.
func (s *Steerer) advanceRotation(r *route, b *backendServer) {
	if b != nil && s.config.EvenTies && !s.spillover.placing && !r.areLong() {
		s.rotations[b.Service] = b.ID
	}
}
