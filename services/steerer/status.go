package steerer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// ServerStatus describes a backend server for operators.
type ServerStatus struct {
	Address                   netip.AddrPort
	Service, AvailabilityZone string
	Incarnation               int64
	// State is the most important condition: missing, unreachable, leaving, evacuated, untagged, suspect, warming, slow or live.
	State     string
	OpenFlows int // that pass through this daemon
	// InProgress is the number of requests of this daemon that wait for a response.
	InProgress int
}

// ServerStates returns the state of the backend servers, sorted by service and address.
func (s *Steerer) ServerStates(now time.Time) []ServerStatus {
	list := make([]ServerStatus, 0, len(s.servers))
	for _, servers := range s.serversByService {
		for _, b := range servers {
			list = append(list, ServerStatus{
				Address: b.Address, Service: b.Service, AvailabilityZone: b.AvailabilityZone, Incarnation: b.Incarnation,
				State: s.serverState(now, b), OpenFlows: b.openFlows, InProgress: b.inProgress(now),
			})
		}
	}
	slices.SortFunc(list, func(a, b ServerStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), a.Address.Compare(b.Address))
	})
	return list
}

// serverState returns the name of the condition that decides most about new flows at a backend server.
func (s *Steerer) serverState(now time.Time, b *backendServer) string {
	switch {
	case !b.removedAt.IsZero():
		return "missing"
	case b.lossCause(now) != CauseNone:
		return "unreachable"
	case b.Leaving:
		return "leaving"
	case b.evacuated:
		return "evacuated"
	case s.untagged[b.ID]:
		return "untagged"
	case b.isSuspectedByAny(now):
		return "suspect"
	case s.isCold(now, b):
		return "warming"
	case s.config.SpeedDigests && s.slowness(now, b) > 1:
		return "slow"
	}
	return "live"
}
