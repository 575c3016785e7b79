package steerer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/admitter"
)

// configureAdmission sets up admission control for the services that routes of different priorities use. Without a change of these
// routes the state is kept; otherwise all held requests are released.
func (s *Steerer) configureAdmission(now time.Time, c *directory.Configuration) {
	if !s.config.Admission.Enabled {
		return
	}
	routes := map[string][]*routeAdmission{}
	var names []string
	for _, r := range c.Routes {
		if r.TargetLatency <= 0 || r.Timeout <= 0 {
			continue
		}
		for _, share := range r.Shares {
			if routes[share.Service] == nil {
				names = append(names, share.Service)
			}
			routes[share.Service] = append(routes[share.Service], &routeAdmission{route: r, repeatShare: keptMin})
		}
	}
	previous := s.admission.services
	s.admission.services = nil
	for _, name := range names {
		list := routes[name]
		slices.SortFunc(list, func(a, b *routeAdmission) int { return a.route.Address.Compare(b.route.Address) })
		if !slices.ContainsFunc(list, func(r *routeAdmission) bool { return r.route.Priority != list[0].route.Priority }) {
			continue
		}
		i := slices.IndexFunc(previous, func(a *serviceAdmission) bool { return a.service == name && sameClasses(a.routes, list) })
		if i >= 0 {
			kept := previous[i]
			for class, r := range kept.routes {
				r.route = list[class].route // its name may have changed
			}
			s.admission.services = append(s.admission.services, kept)
			previous = slices.Delete(previous, i, i+1)
			continue
		}
		created := &serviceAdmission{Admitter: admitter.New(s.config.Admission.Admitter), service: name, routes: list}
		classes := make([]admitter.Class, len(list))
		for class, r := range list {
			r.service, r.class = created, class
			classes[class] = admitter.Class{Priority: r.route.Priority, TargetLatency: r.route.TargetLatency, Timeout: r.route.Timeout}
		}
		created.SetClasses(classes)
		s.admission.services = append(s.admission.services, created)
	}
	for _, a := range previous {
		s.releaseService(now, a)
	}
	for _, r := range s.routes {
		r.admissions = s.routeAdmissions(r)
	}
	s.updateAdmissionSlots()
}

// sameClasses reports whether two lists hold the same routes with the same classes.
func sameClasses(a, b []*routeAdmission) bool {
	return slices.EqualFunc(a, b, func(x, y *routeAdmission) bool {
		return x.route.Address == y.route.Address && x.route.Priority == y.route.Priority && x.route.TargetLatency == y.route.TargetLatency &&
			x.route.Timeout == y.route.Timeout
	})
}

// routeAdmissions returns the admission control of a route by index of Shares, nil if no service of the route has one.
func (s *Steerer) routeAdmissions(r *route) []*routeAdmission {
	list, found := make([]*routeAdmission, len(r.Shares)), false
	for i, share := range r.Shares {
		for _, a := range s.admission.services {
			if a.service != share.Service {
				continue
			}
			for _, candidate := range a.routes {
				if candidate.route.Address == r.Address {
					list[i], found = candidate, true
				}
			}
		}
	}
	if !found {
		return nil
	}
	return list
}

// updateAdmissionSlots sets this daemon's share of the slots of each service: those of the own availability zone, or of the mean zone if
// it has none.
func (s *Steerer) updateAdmissionSlots() {
	for _, a := range s.admission.services {
		own, all := 0, 0
		for _, b := range s.serversByService[a.service] {
			if b.Leaving || !b.removedAt.IsZero() {
				continue
			}
			all += b.Slots
			if b.AvailabilityZone == s.config.AvailabilityZone {
				own += b.Slots
			}
		}
		slots := float64(own)
		if own == 0 {
			slots = float64(all) / float64(max(s.zonesWithServers, 1))
		}
		a.SetSlots(slots / float64(s.zoneDaemons))
		a.SetPeers(s.zoneDaemons - 1)
	}
}

// startRequest records that a request of the route was forwarded on a flow, which is nil if it is not tracked.
func (s *Steerer) startRequest(f *flow, a *routeAdmission) {
	if f == nil {
		return
	}
	f.admission.route, f.admission.countedLate = a, false
	repeated := 0.0
	if f.admission.requests++; f.admission.requests > 1 {
		repeated = 1
	}
	a.repeatShare += shareWeight * (repeated - a.repeatShare)
	f.admission.seenAt = time.Time{}
	a.service.await(awaitedRequest{f, f.awaitingSince, a})
}

// await adds a request to the ring; at its capacity the oldest one is forgotten.
func (a *serviceAdmission) await(r awaitedRequest) {
	if a.count == awaitedRequests {
		a.oldest = (a.oldest + 1) % awaitedRequests
		a.count--
		a.checked = max(a.checked-1, 0)
	}
	a.awaited[(a.oldest+a.count)%awaitedRequests] = r
	a.count++
}

// expireAwaited records the requests that got no response within their target latency.
func (a *serviceAdmission) expireAwaited(now time.Time) {
	a.recordLate(now)
	for a.count > 0 {
		r := &a.awaited[a.oldest]
		if now.Sub(r.sentAt) < r.route.route.TargetLatency {
			return
		}
		if r.unanswered() {
			if r.flow.admission.countedLate {
				a.RecordCountedDelay(r.route.route.TargetLatency)
			} else {
				a.RecordOverdue(now, r.route.class, r.route.route.TargetLatency)
			}
		}
		r.flow = nil
		a.oldest = (a.oldest + 1) % awaitedRequests
		a.count--
		a.checked = max(a.checked-1, 0)
	}
}

// recordDelay records the delay of a response, if packet p shows when it arrived. The acknowledgement of a response of one packet comes
// with the next request, and the end of a flow that was kept for further requests comes when its client no longer needs it.
func (f *flow) recordDelay(now time.Time, p *editor.Packet) {
	a := f.admission.route
	if a == nil {
		return
	}
	visible := p.DataLength == 0
	if p.Flags.FIN {
		delay := now.Sub(f.awaitingSince)
		if (a.repeatShare > keptMin || a.service.ExpectedWork(a.class) > 0) && a.service.IsRejection(a.class, delay) {
			a.service.RecordRejection(now, a.class, delay)
			return
		}
		visible = a.repeatShare < singleMax
	}
	seen := 0.0
	if visible {
		seen = 1
		if f.admission.countedLate {
			a.service.RecordCountedDelay(now.Sub(f.awaitingSince))
		} else {
			a.service.RecordResponse(now, a.class, now.Sub(f.awaitingSince))
		}
	}
	a.visibleShare += shareWeight * (seen - a.visibleShare)
}

// ServiceAdmission is the state of admission control of a service.
type ServiceAdmission struct {
	Service string
	admitter.Status
}

// RouteAdmission counts what admission control did with the requests of a route at one of its services.
type RouteAdmission struct {
	Route   string
	Address netip.AddrPort
	Service string
	AdmissionCounts
}

// AdmissionServices returns the state of admission control by service, nil if it is inactive.
func (s *Steerer) AdmissionServices() []ServiceAdmission {
	var list []ServiceAdmission
	for _, a := range s.admission.services {
		list = append(list, ServiceAdmission{a.service, a.Status()})
	}
	return list
}

// AdmissionRoutes returns the counts of admission control by route.
func (s *Steerer) AdmissionRoutes() []RouteAdmission {
	var list []RouteAdmission
	for _, a := range s.admission.services {
		for _, r := range a.routes {
			list = append(list, RouteAdmission{r.route.Name, r.route.Address, a.service, r.counts})
		}
	}
	return list
}
