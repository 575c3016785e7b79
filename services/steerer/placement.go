package steerer

import (
	"slices"
	"time"
)

const (
	// spillFlows is by how many flows per slot the own availability zone's backend servers must exceed the fleet's mean before
	// new flows go to another zone: a slot that is a third busy hardly makes requests wait, flows across die with a cut between
	// zones, and their bytes are dear. Where slots carry 15 flows or more it is a few percent.
	spillOverFlows = 1
	// crossingTime is by how much longer the way to another zone may be for each further flow per slot: the work of one request,
	// which is the most that another flow makes a request wait.
	crossZoneTimePerFlow = 25 * time.Millisecond
	// suspicion is added to the load of a suspected backend server. No number of flows reaches it: such a one gets new
	// flows only when there is no other.
	suspectPenalty = 1 << 24
	// missing is added to the load of a backend server whose entry is missing for a short time: entries that lapsed while
	// the platform was down come back, and until then there may be no other.
	removedPenalty = 1 << 20
	// openingWeight is how many open flows an unanswered opening packet weighs. A caller whose backend server has crashed
	// is reset and tries again within milliseconds: the next try must go elsewhere.
	recentOpeningWeight = 4
)

// place returns the backend server for a new flow of the route, nil when there is none. It avoids except.
func (s *Steerer) place(now time.Time, r *route, excluded *backendServer) (*backendServer, Placement) {
	for range r.Shares {
		i := r.nextShare()
		if i < 0 {
			break
		}
		if b, placement := s.pickServer(now, s.serversByService[r.Shares[i].Service], excluded); b != nil {
			return b, placement
		}
	}
	return nil, Placement{}
}

// turn returns the index of the share that is next by smooth weighted round robin, which holds the weights exactly over
// time and spreads the turns of each service evenly; -1 when no share has a weight.
func (r *route) nextShare() int {
	best, total := -1, 0
	for i, share := range r.Shares {
		if share.Weight <= 0 {
			continue
		}
		r.currentWeights[i] += share.Weight
		total += share.Weight
		if best < 0 || r.currentWeights[i] > r.currentWeights[best] {
			best = i
		}
	}
	if best >= 0 {
		r.currentWeights[best] -= total
	}
	return best
}

// pick returns the backend server with the least load. Ties are broken at random, because daemons that break them alike
// would choose the same one at once.
func (s *Steerer) pickServer(now time.Time, servers []*backendServer, excluded *backendServer) (*backendServer, Placement) {
	otherZoneLoad := s.otherZoneBaseLoad(now, servers)
	var best *backendServer
	var placement Placement
	ties := 0
	for _, b := range servers {
		if b.Leaving || b == excluded || b.removedFor(now) > removalGrace {
			continue
		}
		placement.Candidates++
		load := float64(b.weightedFlows(now)) / float64(b.Slots)
		if b.AvailabilityZone != s.config.AvailabilityZone {
			load += otherZoneLoad + s.crossZonePenalty(b)
		}
		if !b.removedAt.IsZero() {
			load += removedPenalty
		}
		if b.suspectedByAny(now) {
			placement.Suspects++
			if b.removedAt.IsZero() && b.health.suspected(now) && b.trialDue(now) {
				b.trialSent(now)
				placement.Load = load
				return b, placement
			}
			load += suspectPenalty
		}
		switch {
		case best == nil || load < placement.Load:
			best, placement.Load, ties = b, load, 1
		case load == placement.Load:
			ties++
			if s.config.Random.IntN(ties) == 0 {
				best = b
			}
		}
	}
	return best, placement
}

// work returns the open flows that this daemon has seen at the backend server, with the requests that wait there
// and the flows that do not open.
func (b *backendServer) weightedFlows(now time.Time) int {
	if b.disabled {
		return b.openFlows
	}
	return b.openFlows + waitingRequestWeight*b.waitingRequests(now) + recentOpeningWeight*b.recentOpenings
}

// crossing is the price of the longer way to a backend server of another availability zone, in flows per slot. A way that is not known
// costs nothing, so that it becomes known.
func (s *Steerer) crossZonePenalty(b *backendServer) float64 {
	return max(0, float64(b.zoneRoundTrip.mean-s.ownZoneRoundTrip.mean)/float64(crossZoneTimePerFlow))
}

// loadAbroad estimates the load that a backend server in another availability zone has beside this daemon's flows, in flows
// per slot of this daemon's count, with what it must be exceeded by. Daemons get alike shares of the callers, so that the mean
// load of the fleet is this daemon's flows over the slots that its zone would have if the slots were spread evenly.
func (s *Steerer) otherZoneBaseLoad(now time.Time, servers []*backendServer) float64 {
	flows, slots := 0, 0
	otherFlows, otherSlots := 0, 0
	s.zoneScratch = s.zoneScratch[:0]
	for _, b := range servers {
		flows += b.weightedFlows(now)
		if b.Leaving || b.suspectedByAny(now) || !b.removedAt.IsZero() {
			continue
		}
		slots += b.Slots
		if b.AvailabilityZone != s.config.AvailabilityZone {
			otherFlows += b.weightedFlows(now)
			otherSlots += b.Slots
		}
		if !slices.Contains(s.zoneScratch, b.AvailabilityZone) {
			s.zoneScratch = append(s.zoneScratch, b.AvailabilityZone)
		}
	}
	if slots == 0 {
		return spillOverFlows
	}
	mean := float64(flows) * float64(max(len(s.zoneScratch), s.zonesWithServers)) / float64(slots)
	if otherSlots > 0 {
		mean -= float64(otherFlows) / float64(otherSlots)
	}
	return mean + spillOverFlows
}
