package steerer

import "time"

// place returns the backend server for a new flow of the route, nil when there is none. It avoids except.
func (s *Steerer) place(now time.Time, r *route, except *server) *server {
	for range r.Shares {
		i := r.turn()
		if i < 0 {
			return nil
		}
		if b := s.pick(now, s.services[r.Shares[i].Service], except); b != nil {
			return b
		}
	}
	return nil
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

// pick returns the backend server with the fewest open flows in the own availability zone, or elsewhere when it has none
// to offer. Ties are broken at random, because daemons that break them alike would choose the same one at once.
func (s *Steerer) pick(now time.Time, list []*server, except *server) *server {
	var best *server
	bestRank, ties := 0, 0
	for _, b := range list {
		if b.Leaving || b == except {
			continue
		}
		rank := s.rank(now, b)
		switch {
		case best == nil || rank < bestRank:
			best, bestRank, ties = b, rank, 1
		case rank == bestRank:
			ties++
			if s.c.Random.IntN(ties) == 0 {
				best = b
			}
		}
	}
	if best != nil && best.suspected() {
		best.trial = now
	}
	return best
}

// Penalties of rank, in flows. A flow count never reaches them.
const (
	otherZone = 1 << 20
	suspicion = 1 << 21
)

// rank orders the candidates for a new flow: lower is better.
func (s *Steerer) rank(now time.Time, b *server) int {
	rank := b.flows * 1024 / max(b.Slots, 1)
	if b.AvailabilityZone != s.c.AvailabilityZone {
		rank += otherZone
	}
	if b.suspected() && now.Sub(b.trial) < trialInterval {
		rank += suspicion
	}
	return rank
}
