package steerer

import (
	"slices"
	"time"
)

const (
	// spillOverFlows is by how many flows per slot the load of the own availability zone must exceed the fleet's mean before new
	// flows spill over to another zone. Requests hardly wait for a slot that is busy a third of the time, while flows to another
	// zone break when the link between the zones fails, and traffic between zones is expensive. At 15 flows per slot or more, the
	// value is only a few percent of the load.
	spillOverFlows = 1
	// crossZoneTimePerFlow is the extra handshake time to another zone that equals one more flow per slot: the time to serve one
	// request, which is the most that another flow can delay a request.
	crossZoneTimePerFlow = 25 * time.Millisecond
	// suspectPenalty is added to the load of a suspected backend server. It exceeds any number of flows, so that the backend
	// server gets new flows only when there is no other.
	suspectPenalty = 1 << 24
	// removedPenalty is added to the load of a backend server whose entry has been missing for less than removalGrace. Entries
	// that expire during an outage of the platform return after it, and until then there may be no other backend server.
	removedPenalty = 1 << 20
	// recentOpeningWeight is the weight of a recent opening packet in open flows. A caller whose backend server has crashed is
	// reset and retries within milliseconds; the retry must go to another backend server.
	recentOpeningWeight = 4
)

// place returns the backend server for a new flow of the route, other than excluded; nil when there is none. It tries the
// services of the route in the order of their turns.
func (s *Steerer) place(now time.Time, r *route, excluded *backendServer) (*backendServer, Placement) {
	var rejected Placement // what excludes the backend servers of the services that were tried
	for range r.Shares {
		i := r.nextShare()
		if i < 0 {
			break
		}
		if b, placement := s.placeElsewhere(now, r, r.Shares[i].Service, excluded); b != nil {
			return b, placement
		}
		servers := s.serversByService[r.Shares[i].Service]
		b, placement := s.pickServer(now, r, servers, excluded, false)
		if b == nil && placement.Cold > 0 {
			b, placement = s.pickServer(now, r, servers, excluded, true)
		}
		if b != nil {
			if s.isCold(now, b) {
				s.evacuation.limiter.RecordOpening(now, b.ID)
				b.coldPlacements++
			}
			return b, placement
		}
		rejected.Evacuated += placement.Evacuated
		rejected.Cold += placement.Cold
	}
	return nil, rejected
}

// nextShare returns the index of the next share by smooth weighted round robin, which keeps the weights exactly over time and
// spreads the turns of each service evenly; -1 when no share has a weight.
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

// pickServer returns the least loaded backend server, or a suspected one that is due for a trial flow. Ties are broken at random;
// otherwise all daemons would pick the same backend server at the same time. With lastResort it is known that there is no backend server
// that does not warm up.
func (s *Steerer) pickServer(now time.Time, r *route, servers []*backendServer, excluded *backendServer, lastResort bool) (*backendServer, Placement) {
	otherZoneLoad := s.otherZoneBaseLoad(now, servers)
	var best *backendServer
	var placement Placement
	ties, evenTies := 0, s.usesEvenTies()
	for _, b := range servers {
		if b.Leaving || b == excluded || b.removedFor(now) > removalGrace || s.untagged[b.ID] {
			continue
		}
		if b.evacuated {
			placement.Evacuated++
			continue
		}
		if s.isCold(now, b) && !s.admitsCold(now, b, lastResort) {
			placement.Cold++
			continue
		}
		placement.Candidates++
		load := s.relativeLoad(now, b)
		if b.AvailabilityZone != s.config.AvailabilityZone {
			load += otherZoneLoad
			if !s.evacuation.zones[s.config.AvailabilityZone] { // callers of an evacuated zone are spread over the others by load alone
				load += s.crossZonePenalty(b)
			}
		}
		if !b.removedAt.IsZero() {
			load += removedPenalty
		}
		if b.isSuspectedByAny(now) {
			placement.Suspects++
			if b.removedAt.IsZero() && b.health.isSuspected(now) && b.isTrialDue(now) {
				b.scheduleNextTrial(now)
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
			if evenTies && s.precedes(r, b, best) || !evenTies && s.config.Random.IntN(ties) == 0 {
				best = b
			}
		}
	}
	s.advanceRotation(r, best)
	return best, placement
}

// weightedFlows returns the number of open flows at the backend server that pass through this daemon, plus the weights of waiting
// requests and recent opening packets.
func (b *backendServer) weightedFlows(now time.Time) int {
	if b.ignoreObservations {
		return b.openFlows
	}
	return b.openFlows + waitingRequestWeight*b.waitingRequests(now) + recentOpeningWeight*b.recentOpenings
}

// crossZonePenalty returns the penalty for the longer round-trip time to a backend server in another availability zone, in flows
// per slot. It is 0 while that time is unknown, so that flows are placed there and their handshakes measure it.
func (s *Steerer) crossZonePenalty(b *backendServer) float64 {
	return max(0, float64(b.zoneRoundTrip.mean-s.ownZoneRoundTrip.mean)/float64(crossZoneTimePerFlow))
}

// otherZoneBaseLoad returns what is added to the load of a backend server in another availability zone: an estimate of its flows
// per slot that do not pass through this daemon, on the scale of this daemon's flow counts, plus spillOverFlows. Daemons get
// equal shares of the callers, so the mean load of the fleet is this daemon's flows divided by the slots that its zone would have
// if slots were spread evenly over the zones. The mean load of this daemon's own flows in other zones is subtracted.
func (s *Steerer) otherZoneBaseLoad(now time.Time, servers []*backendServer) float64 {
	flows, slots := 0, 0
	otherFlows, otherSlots := 0, 0
	s.zoneScratch = s.zoneScratch[:0]
	for _, b := range servers {
		if b.evacuated || s.isCold(now, b) {
			continue // their flows are no load of the backend servers that are left
		}
		flows += b.weightedFlows(now)
		if b.Leaving || b.isSuspectedByAny(now) || !b.removedAt.IsZero() {
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
