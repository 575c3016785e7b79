package steerer

import (
	"maps"
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/limiter"
)

// revocationWarmUp is how long the backend servers of a zone count as cold at least after the evacuation of the zone was revoked. Their
// entries state the warm-up only after their next heartbeat, up to 1.2 s later, and the list with those is read up to 2 s later.
const revocationWarmUp = 5 * time.Second

// evacuation is the state of evacuated zones and cold backend servers.
type evacuation struct {
	zones       map[string]bool
	revokedAt   map[string]time.Time // recent revocations by zone
	limiter     *limiter.Limiter     // nil if the flows of cold backend servers are not limited
	warmUpRates map[string]float64   // requests per second that a cold backend server of a service can serve
}

// SetEvacuations puts the evacuated zones in force: their backend servers get no new flows and keep the established ones. revokedAt holds
// the times of recent revocations by zone.
func (s *Steerer) SetEvacuations(now time.Time, zones []string, revokedAt map[string]time.Time) {
	previous := s.evacuation.zones
	s.evacuation.zones = make(map[string]bool, len(zones))
	for _, zone := range zones {
		s.evacuation.zones[zone] = true
	}
	s.evacuation.revokedAt = maps.Clone(revokedAt)
	for zone := range previous {
		if _, stated := revokedAt[zone]; !stated && !s.evacuation.zones[zone] {
			if s.evacuation.revokedAt == nil {
				s.evacuation.revokedAt = map[string]time.Time{}
			}
			s.evacuation.revokedAt[zone] = now
		}
	}
	s.rebuildIndex()
}

// applyEvacuation sets what follows from the evacuated zones for a backend server.
func (s *Steerer) applyEvacuation(b *backendServer) {
	b.evacuated = s.evacuation.zones[b.AvailabilityZone]
	if revoked, ok := s.evacuation.revokedAt[b.AvailabilityZone]; ok && s.evacuation.limiter != nil {
		if until := revoked.Add(revocationWarmUp); until.After(b.coldUntil) {
			b.coldUntil = until
		}
	}
}

// SetZoneMembers sets the address of this daemon and those of the daemons in its availability zone that share its callers.
func (s *Steerer) SetZoneMembers(now time.Time, self netip.AddrPort, members []netip.AddrPort) {
	s.SetZoneDaemons(len(members))
	if s.evacuation.limiter != nil {
		s.evacuation.limiter.SetMembers(now, self, members)
	}
}

// isCold reports whether the backend server warms up, so that its new flows are limited.
func (s *Steerer) isCold(now time.Time, b *backendServer) bool {
	return s.evacuation.limiter != nil && now.Before(b.coldUntil)
}

// admitsCold reports whether this daemon may open a flow at a cold backend server. Daemons of other zones may not, because the daemons of
// its own zone use up the limit.
func (s *Steerer) admitsCold(now time.Time, b *backendServer, lastResort bool) bool {
	return b.AvailabilityZone == s.config.AvailabilityZone &&
		s.evacuation.limiter.Admits(now, b.ID, s.evacuation.warmUpRates[b.Service], lastResort)
}

// steerToClosed decides about a retransmitted opening packet of a flow that was placed on a backend server that is evacuated or cold and
// for which there is no other one.
func (s *Steerer) steerToClosed(now time.Time, key flowKey, f *flow, placement Placement) Decision {
	if f.server.evacuated {
		cause, age := placement.rejectionCause(), now.Sub(f.firstSeen)
		s.forgetFlow(key)
		return Decision{Action: Reset, Cause: cause, Age: age, Placement: placement}
	}
	if !s.admitsCold(now, f.server, true) {
		return Decision{Cause: Deferred}
	}
	f.lastSentAt = now
	s.evacuation.limiter.RecordOpening(now, f.server.ID)
	return s.forward(f, f.server, key.destination, Retransmitted, Placement{})
}

// rejectionCause returns why there is no backend server for a new flow.
func (p *Placement) rejectionCause() Cause {
	switch {
	case p.Cold > 0:
		return ColdLimit
	case p.Evacuated > 0:
		return ZoneEvacuated
	}
	return NoBackendServer
}

// ZoneCounts counts the backend servers and flows of an availability zone.
type ZoneCounts struct {
	Evacuated bool
	// OpenFlows is the number of open flows there that pass through this daemon.
	OpenFlows int
	// Cold is the number of backend servers that warm up, and ColdPlacements that of the flows that this daemon has opened at them.
	Cold           int
	ColdPlacements uint64
}

// Zones returns the counts of each availability zone that has backend servers or is evacuated.
func (s *Steerer) Zones(now time.Time) map[string]ZoneCounts {
	counts := map[string]ZoneCounts{}
	for zone := range s.evacuation.zones {
		counts[zone] = ZoneCounts{Evacuated: true}
	}
	for _, b := range s.servers {
		c := counts[b.AvailabilityZone]
		c.OpenFlows += b.openFlows
		c.ColdPlacements += b.coldPlacements
		if b.removedAt.IsZero() && s.isCold(now, b) {
			c.Cold++
		}
		counts[b.AvailabilityZone] = c
	}
	return counts
}
