package scheduler

import (
	"net/netip"
	"time"
)

// ServerStatus describes a backend server as the scheduler sees it.
type ServerStatus struct {
	Address           netip.AddrPort
	AvailabilityZone  string
	Group             string
	Leaving           bool
	Ejected           bool
	InBackoff         bool          // it refuses new work for the moment
	WeightFactor      float64       // of its full weight; below 1 during a slow start
	OwnInFlight       int           // requests in progress that this balancer sent
	InFlight          float64       // estimated requests in progress from all balancers
	OpenFeeds         float64       // estimated open feeds from all balancers
	ServiceTime       time.Duration // measured; 0 while there are too few answers
	ReportsDistrusted bool          // its load reports do not fit what is observed
}

// Status returns the state of a service's backend servers, sorted by address.
func (s *Scheduler) Status(now time.Time, name string) []ServerStatus {
	v := s.services[name]
	if v == nil {
		return nil
	}
	list := make([]ServerStatus, 0, len(v.servers))
	for _, e := range v.servers {
		list = append(list, ServerStatus{
			Address: e.Address, AvailabilityZone: e.AvailabilityZone, Group: e.Group, Leaving: e.Leaving,
			Ejected: e.health.ejected, InBackoff: now.Before(e.health.closedUntil), WeightFactor: e.health.share,
			OwnInFlight: e.own, InFlight: e.held() + v.othersAt(now, e), OpenFeeds: v.openFeeds(now, e),
			ServiceTime: time.Duration(e.serviceTime()), ReportsDistrusted: e.distrusted || e.feeds.distrusted,
		})
	}
	return list
}
