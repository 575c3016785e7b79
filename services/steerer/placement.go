package steerer

import (
	"slices"
	"time"
)

const (
	// spillFlows is by how many flows per slot the own availability zone's backend servers must exceed the fleet's mean before
	// new flows go to another zone: a slot that is a third busy hardly makes requests wait, flows across die with a cut between
	// zones, and their bytes are dear. Where slots carry 15 flows or more it is a few percent.
	spillFlows = 1
	// crossingTime is by how much longer the way to another zone may be for each further flow per slot: the work of one request,
	// which is the most that another flow makes a request wait.
	crossingTime = 25 * time.Millisecond
	// suspicion is added to the load of a suspected backend server. No number of flows reaches it: such a one gets new
	// flows only when there is no other.
	suspicion = 1 << 24
	// missing is added to the load of a backend server whose entry is missing for a short time: entries that lapsed while
	// the platform was down come back, and until then there may be no other.
	missing = 1 << 20
	// openingWeight is how many open flows an unanswered opening packet weighs. A caller whose backend server has crashed
	// is reset and tries again within milliseconds: the next try must go elsewhere.
	openingWeight = 4
)

// place returns the backend server for a new flow of the route, nil when there is none. It avoids except.
func (s *Steerer) place(now time.Time, r *route, except *server) (*server, Placement) {
	for range r.Shares {
		i := r.turn()
		if i < 0 {
			break
		}
		if b, choice := s.pick(now, s.services[r.Shares[i].Service], except); b != nil {
			return b, choice
		}
	}
	return nil, Placement{}
}

// turn returns the index of the share that is next by smooth weighted round robin, which holds the weights exactly over
// time and spreads the turns of each service evenly; -1 when no share has a weight.
func (r *route) turn() int {
	best, total := -1, 0
	for i, share := range r.Shares {
		if share.Weight <= 0 {
			continue
		}
		r.credits[i] += share.Weight
		total += share.Weight
		if best < 0 || r.credits[i] > r.credits[best] {
			best = i
		}
	}
	if best >= 0 {
		r.credits[best] -= total
	}
	return best
}

// pick returns the backend server with the least load. Ties are broken at random, because daemons that break them alike
// would choose the same one at once.
func (s *Steerer) pick(now time.Time, list []*server, except *server) (*server, Placement) {
	abroad := s.loadAbroad(now, list)
	var best *server
	var choice Placement
	ties := 0
	for _, b := range list {
		if b.Leaving || b == except || b.goneFor(now) > goneConfirmation {
			continue
		}
		choice.Candidates++
		load := float64(b.work(now)) / float64(b.Slots)
		if b.AvailabilityZone != s.c.AvailabilityZone {
			load += abroad + s.crossing(b)
		}
		if !b.gone.IsZero() {
			load += missing
		}
		if b.avoided(now) {
			choice.Suspects++
			if b.gone.IsZero() && b.health.suspected(now) && b.trialDue(now) {
				b.tried(now)
				choice.Load = load
				return b, choice
			}
			load += suspicion
		}
		switch {
		case best == nil || load < choice.Load:
			best, choice.Load, ties = b, load, 1
		case load == choice.Load:
			ties++
			if s.c.Random.IntN(ties) == 0 {
				best = b
			}
		}
	}
	return best, choice
}

// work returns the open flows that this daemon has seen at the backend server, with the requests that wait there
// and the flows that do not open.
func (b *server) work(now time.Time) int {
	if b.ignore {
		return b.flows
	}
	return b.flows + waitingWeight*b.waiting(now) + openingWeight*b.opening
}

// crossing is the price of the longer way to a backend server of another availability zone, in flows per slot. A way that is not known
// costs nothing, so that it becomes known.
func (s *Steerer) crossing(b *server) float64 {
	return max(0, float64(b.way.mean-s.near.mean)/float64(crossingTime))
}

// loadAbroad estimates the load that a backend server in another availability zone has beside this daemon's flows, in flows
// per slot of this daemon's count, with what it must be exceeded by. Daemons get alike shares of the callers, so that the mean
// load of the fleet is this daemon's flows over the slots that its zone would have if the slots were spread evenly.
func (s *Steerer) loadAbroad(now time.Time, list []*server) float64 {
	work, slots := 0, 0
	away, awaySlots := 0, 0
	s.zoneSet = s.zoneSet[:0]
	for _, b := range list {
		work += b.work(now)
		if b.Leaving || b.avoided(now) || !b.gone.IsZero() {
			continue
		}
		slots += b.Slots
		if b.AvailabilityZone != s.c.AvailabilityZone {
			away += b.work(now)
			awaySlots += b.Slots
		}
		if !slices.Contains(s.zoneSet, b.AvailabilityZone) {
			s.zoneSet = append(s.zoneSet, b.AvailabilityZone)
		}
	}
	if slots == 0 {
		return spillFlows
	}
	mean := float64(work) * float64(max(len(s.zoneSet), s.zones)) / float64(slots)
	if awaySlots > 0 {
		mean -= float64(away) / float64(awaySlots)
	}
	return mean + spillFlows
}
