package main

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/tests/harness/deployment"
)

const (
	maxExtraRoutes = 12
	bigRouteCount  = 400
	// Changes of a storm, and the time between two.
	stormChanges  = 12
	stormInterval = 330 * time.Millisecond
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
		r := directory.Route{Name: fmt.Sprint("extra-", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(1 + i/200), byte(1 + i%200)}), 8443)}
		for _, service := range []string{"ovenwatch", "recipecard", "absent"}[in.random.IntN(3):] {
			r.Shares = append(r.Shares, directory.Share{Service: service, Weight: in.random.IntN(4) * in.random.IntN(100)})
		}
		routes = append(routes, in.changeRoute(r))
	}
	in.random.Shuffle(len(routes), func(i, j int) { routes[i], routes[j] = routes[j], routes[i] })
	return routes
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

func (in *injector) changeRoutes() {
	in.PublishConfiguration(in.randomRoutes(in.random.IntN(maxExtraRoutes)))
}

func (in *injector) growRoutes() { in.PublishConfiguration(in.randomRoutes(bigRouteCount)) }

// stormRoutes publishes changes in quick succession.
func (in *injector) stormRoutes() {
	for i := range time.Duration(stormChanges) {
		in.schedule(i*stormInterval, i*stormInterval+time.Millisecond, in.changeRoutes)
	}
}
