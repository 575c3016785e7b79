package steerer

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/estimator"
)

const (
	// coldSlowness is the slowness of a backend server that has just started: requests take twice as long there.
	coldSlowness = 2
	// limitedPenalty is added to the load of a backend server that gets no new flow now because it is slow. It exceeds the number of
	// flows for each slot in use, and is below the penalties of backend servers that may be dead.
	limitedPenalty = 1 << 14
	// concurrencyPerSlot is the number of requests for each slot that a zone may have in progress at a backend server that is slow or
	// cold: one that runs and one that waits. The queue has room for four.
	concurrencyPerSlot = 2
)

// speedState is the state of a backend server that its speed estimate needs.
type speedState struct {
	speedID estimator.Server // of its present incarnation
}

// resetSpeeds starts the estimates of backend servers that are new or have restarted.
func (s *Steerer) resetSpeeds() {
	for _, b := range s.servers {
		b.speedID = estimator.ServerOf(b.ID, b.Incarnation)
	}
}

// observeResponse adds the time from the first forwarding of a request to packet p, which acknowledges its response, to the estimate. A
// response of two packets or more is acknowledged when it arrives, and so is one after which the flow ends. If the acknowledgement of a
// short response comes with the next request, or with the end of a flow that was kept for further requests, it carries no information.
func (s *Steerer) observeResponse(now time.Time, destination netip.AddrPort, p *editor.Packet, f *flow) {
	if s.estimator == nil && s.spillover.spiller == nil || p.DataLength > 0 || p.Flags.FIN && f.requests > 1 || f.dataRetransmissions > 0 || f.requestSentAt.IsZero() {
		return
	}
	r := s.routes[destination]
	if r == nil {
		return
	}
	s.observeZone(now, r.Name, f, now.Sub(f.awaitingSince))
	if s.estimator == nil || f.server.AvailabilityZone != s.config.AvailabilityZone {
		return
	}
	s.estimator.Observe(now, r.Name, f.server.speedID, now.Sub(f.awaitingSince))
}

// slowness returns by which factor requests take longer at the backend server than at most others, 1 if they do not.
func (s *Steerer) slowness(now time.Time, b *backendServer) float64 {
	factor := s.estimator.Slowness(now, b.speedID)
	if now.Before(b.coldUntil) {
		factor = max(factor, coldSlowness)
	}
	return factor
}

// relativeLoad returns the load of a backend server in flows per slot, relative to its speed. A slow one is no candidate, unless there is
// no other, for as many flow openings as its slowness demands and while the requests of this daemon in progress there reach its share of
// the concurrency limit. The share of the openings is drawn at random, because in a zone of many daemons each has one flow or none at a
// backend server, and such counts do not differ.
func (s *Steerer) relativeLoad(now time.Time, b *backendServer) float64 {
	load := float64(b.weightedFlows(now)) / float64(b.Slots)
	if s.estimator == nil {
		return load
	}
	slowness := s.slowness(now, b)
	if slowness == 1 {
		return load
	}
	load *= slowness
	inProgress := max(b.inProgress(now)+b.awaitedOpenings, b.recentOpenings) // a request follows each opening
	if inProgress >= s.concurrencyShare(b, slowness) || s.config.Random.Float64()*slowness >= 1 {
		load += limitedPenalty
	}
	return load
}

// concurrencyShare returns this daemon's share of the concurrency limit of a slow backend server, at least 1.
func (s *Steerer) concurrencyShare(b *backendServer, slowness float64) int {
	return max(1, int(float64(concurrencyPerSlot*b.Slots)/(slowness*float64(s.zoneDaemons))))
}

// TakeDigest returns the records about slow backend servers that other daemons of the availability zone should get, nil if there are none
// or if the last digest is too recent.
func (s *Steerer) TakeDigest(now time.Time) []estimator.Record {
	if s.estimator == nil {
		return nil
	}
	return s.estimator.TakeDigest(now)
}

// AddDigest applies the digest of another daemon of the availability zone.
func (s *Steerer) AddDigest(now time.Time, digest []estimator.Record) {
	if s.estimator != nil {
		s.estimator.Merge(now, digest)
	}
}

// SlowServers returns the number of backend servers that deviate from the median of their service.
func (s *Steerer) SlowServers(now time.Time) int {
	if s.estimator == nil {
		return 0
	}
	return s.estimator.Slow(now)
}
