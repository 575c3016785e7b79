package main

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/tests/harness/deployment"
)

const (
	maxExtraRoutes = 12
	bigRouteCount  = 400
	maxRouteNumber = 1000
	// Changes of a storm, and the time between two.
	stormChanges  = 12
	stormInterval = 330 * time.Millisecond
	// minRouteAbsence and maxRouteAbsence bound the time for which a route of callers is left out.
	minRouteAbsence = time.Second
	maxRouteAbsence = 3 * time.Second
)

// randomRoutes returns the routes of the callers with other priorities, timeouts, targets and weights, some of them left out, and extra routes without
// callers.
func (in *injector) randomRoutes(extra int) []directory.Route {
	var routes []directory.Route
	for _, r := range deployment.PriorityRoutes() {
		if in.random.IntN(8) == 0 {
			continue
		}
		r.Shares[0].Weight = 1 + in.random.IntN(100)
		routes = append(routes, in.changeRoute(r))
	}
	for i := range extra {
		routes = append(routes, in.extraRoute(i))
	}
	in.random.Shuffle(len(routes), func(i, j int) { routes[i], routes[j] = routes[j], routes[i] })
	return routes
}

// extraRoute returns a route without callers.
func (in *injector) extraRoute(number int) directory.Route {
	r := directory.Route{Name: fmt.Sprint("extra-", number), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(1 + number/200), byte(1 + number%200)}), 8443)}
	services := []string{"ovenwatch", "recipecard", "absent"}
	first := in.random.IntN(len(services))
	for _, service := range services[first : first+1+in.random.IntN(len(services)-first)] {
		r.Shares = append(r.Shares, directory.Share{Service: service, Weight: in.random.IntN(4) * in.random.IntN(100)})
	}
	return in.changeRoute(r)
}

func (in *injector) changeRoute(r directory.Route) directory.Route {
	if in.random.IntN(3) > 0 {
		r.Priority = in.random.IntN(5)
	}
	if in.random.IntN(3) == 0 {
		r.Timeout = time.Duration(in.random.IntN(8)) * 500 * time.Millisecond
	}
	if in.random.IntN(3) == 0 {
		r.TargetLatency = time.Duration(in.random.IntN(8)) * 50 * time.Millisecond
	}
	return r
}

// changeRoutes publishes other routes, or the last ones with a few changes.
func (in *injector) changeRoutes() {
	if in.routes == nil || in.random.IntN(3) == 0 {
		in.publishRoutes(in.randomRoutes(in.random.IntN(maxExtraRoutes)))
		return
	}
	routes := slices.Clone(in.routes)
	for range 1 + in.random.IntN(3) {
		at := in.random.IntN(max(len(routes), 1))
		switch {
		case len(routes) == 0 || in.random.IntN(2) == 0:
			in.lastExtraRoute = (in.lastExtraRoute + 1) % maxRouteNumber
			routes = append(routes, in.extraRoute(maxRouteNumber+in.lastExtraRoute))
		case in.random.IntN(2) == 0:
			routes[at] = in.changeRoute(routes[at])
		default:
			routes = slices.Delete(routes, at, at+1)
		}
	}
	in.publishRoutes(routes)
}

// publishRoutes publishes routes. Those of callers that are left out return some seconds later: without them a run checks little.
func (in *injector) publishRoutes(routes []directory.Route) {
	in.routes = routes
	in.PublishConfiguration(routes)
	if in.restoringRoutes || len(missingRoutes(routes)) == 0 {
		return
	}
	in.restoringRoutes = true
	in.schedule(minRouteAbsence, maxRouteAbsence, func() {
		in.restoringRoutes = false
		if missing := missingRoutes(in.routes); len(missing) > 0 {
			in.publishRoutes(append(slices.Clone(in.routes), missing...))
		}
	})
}

// missingRoutes returns the routes of callers that are not among the routes.
func missingRoutes(routes []directory.Route) []directory.Route {
	return slices.DeleteFunc(deployment.PriorityRoutes(), func(r directory.Route) bool {
		return slices.ContainsFunc(routes, func(o directory.Route) bool { return o.Address == r.Address })
	})
}

func (in *injector) growRoutes() { in.publishRoutes(in.randomRoutes(bigRouteCount)) }

// stormRoutes publishes changes in quick succession.
func (in *injector) stormRoutes() {
	for i := range time.Duration(stormChanges) {
		in.schedule(i*stormInterval, i*stormInterval+time.Millisecond, in.changeRoutes)
	}
}
