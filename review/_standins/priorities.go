package main

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

// runPriorities writes three new desired states, each with one more route, for two services that both have routes of two priorities.
func runPriorities(folder string, trouble bool) (int, error) {
	s, err := newSystem(folder, []string{"souillac", "mahebourg"})
	if err != nil {
		return failed, err
	}
	defer s.stop()
	route := func(number int, service string, priority int) directory.Route {
		return directory.Route{
			Name: fmt.Sprintf("r-%d", number), Address: netip.MustParseAddrPort(fmt.Sprintf("198.18.0.%d:8443", number)),
			Shares: []directory.Share{{Service: service, Weight: 1}}, Timeout: 2 * time.Second, TargetLatency: 150 * time.Millisecond, Priority: priority,
		}
	}
	routes := []directory.Route{route(1, "ovenwatch", 1), route(2, "ovenwatch", 2), route(3, "recipecard", 1), route(4, "recipecard", 2)}
	for zone := range s.zones {
		for range 3 {
			if err := s.addHost("ovenwatch", zone, 15*time.Millisecond, routes[0].Address, routes[1].Address); err != nil {
				return failed, err
			}
			if err := s.addHost("recipecard", zone, 15*time.Millisecond, routes[2].Address, routes[3].Address); err != nil {
				return failed, err
			}
		}
		for number := range 2 {
			if err := s.addDaemon(zone, number); err != nil {
				return failed, err
			}
		}
	}
	s.publish(routes)
	if err := s.start(); err != nil {
		return failed, err
	}
	for i := range routes {
		if err := s.call(i, routes[i].Address, 4); err != nil {
			return failed, err
		}
	}
	sleep(s.ctx, 8*time.Second)
	s.log("before the changes: %+v", s.outcomes())
	for change := range 3 {
		if trouble {
			routes = append(routes, route(11+change, "recipecard", 2))
			s.publish(routes)
		}
		sleep(s.ctx, 10*time.Second)
		s.log("callers so far: %+v", s.outcomes())
	}
	machines, most := 0, 0
	for _, d := range s.daemons {
		d.mu.Lock()
		s.log("%s ended by itself %d times", d.name, d.ends)
		if d.ends >= 3 {
			machines++
		}
		most = max(most, d.ends)
		d.mu.Unlock()
	}
	for _, v := range s.violations.List() {
		s.log("violation: %s", v)
	}
	if machines >= 2 { // a tenth of the machines, two at least
		s.log("broken: processes of %d machines ended by themselves three times", machines)
		return broken, nil
	}
	s.log("held: the most that a process ended by itself is %d times", most)
	return held, nil
}
