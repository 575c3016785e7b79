package scheduler

import (
	"net/netip"
	"time"
)

// ServerStatus is the scheduler's state of a backend server.
type ServerStatus struct {
	Address           netip.AddrPort
	AvailabilityZone  string
	Group             string
	Leaving           bool
	Evacuated         bool
	Ejected           bool
	InBackoff         bool          // gets no new work for now, because it refused some or is draining
	WeightFactor      float64       // fraction of its weight in effect; below 1 during a slow start
	OwnInFlight       int           // requests in progress that this balancer sent
	InFlight          float64       // estimated requests in progress from all balancers
	OpenFeeds         float64       // estimated open feeds from all balancers
	ServiceTime       time.Duration // measured; 0 while there are too few answers
	ReportsDistrusted bool          // its load reports contradict the observed traffic
}

// Status returns the state of a service's backend servers, sorted by address.
func (s *Scheduler) Status(now time.Time, name string) []ServerStatus {
	sv := s.services[name]
	if sv == nil {
		return nil
	}
	list := make([]ServerStatus, 0, len(sv.servers))
	for _, b := range sv.servers {
		list = append(list, ServerStatus{
			Address: b.Address, AvailabilityZone: b.AvailabilityZone, Group: b.Group, Leaving: b.Leaving,
			Evacuated: b.Evacuated,
			Ejected:   b.health.ejected, InBackoff: now.Before(b.health.backoffUntil), WeightFactor: b.health.weightFactor,
			OwnInFlight: b.ownRequests, InFlight: b.ownInFlight() + sv.othersInFlight(now, b), OpenFeeds: sv.openFeeds(now, b),
			ServiceTime: time.Duration(b.serviceTime()), ReportsDistrusted: b.reportsDistrusted || b.feeds.reportDistrusted,
		})
	}
	return list
}
