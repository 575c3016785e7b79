package main

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

const (
	// meanWork is the mean time of a request at a host; it varies from half to one and a half of it: 60 to 180 ms.
	meanWork = 120 * time.Millisecond
	// users is the number of open flows, each with a request after a pause of userPause: about 0.85 of what the hosts can process.
	users     = 28
	userPause = 500 * time.Millisecond
	// moreUsers come for burstTime: 1.7 times the flows.
	moreUsers = 20
	burstTime = 3 * time.Second
	bursts    = 12
)

// runBurst lets more users come for three seconds, again and again. Each zone has three daemons and one host.
func runBurst(folder string, trouble bool) (int, error) {
	s, err := newSystem(folder, []string{"souillac", "mahebourg", "bel-ombre"})
	if err != nil {
		return failed, err
	}
	defer s.stop()
	route := directory.Route{
		Name: "r-1", Address: netip.MustParseAddrPort("198.18.0.1:8443"), Shares: []directory.Share{{Service: "ovenwatch", Weight: 1}},
		Timeout: 2500 * time.Millisecond, TargetLatency: 500 * time.Millisecond, Priority: 1,
	}
	var hosts []*host
	for zone := range s.zones {
		h, err := s.addQueueingHost("ovenwatch", zone, meanWork)
		if err != nil {
			return failed, err
		}
		hosts = append(hosts, h)
		for number := range 3 {
			if err := s.addDaemon(zone, number); err != nil {
				return failed, err
			}
		}
	}
	s.publish([]directory.Route{route})
	if err := s.start(); err != nil {
		return failed, err
	}
	all, err := newRequesters(s, 0, route.Address, 900, userPause)
	if err != nil {
		return failed, err
	}
	s.wait.Go(func() { all.run(s.ctx, users) })
	groups := []*requesters{all}
	byDaemons := 0
	report := func(when string) {
		requests, answered, unanswered, ran, rejected, byHosts := uint64(0), 0, 0, 0, 0, 0
		byDaemons = 0
		for _, h := range hosts {
			h.mu.Lock()
			ran, rejected = ran+h.ran, rejected+h.rejected
			h.mu.Unlock()
		}
		for _, r := range groups {
			r.mu.Lock()
			requests, answered, unanswered = requests+r.requests, answered+r.answered, unanswered+r.failed
			byDaemons, byHosts = byDaemons+r.valid+r.invalid-r.byHosts, byHosts+r.byHosts
			r.mu.Unlock()
		}
		s.log("%s: %d requests, %d answered, %d unanswered; at the hosts %d ran, %d rejected; open flows reset by daemons %d, by hosts %d",
			when, requests, answered, unanswered, ran, rejected, byDaemons, byHosts)
	}
	sleep(s.ctx, 6*time.Second)
	report("calm")
	for n := range bursts {
		if trouble {
			more, err := newRequesters(s, 1+n, route.Address, 900, userPause)
			if err != nil {
				return failed, err
			}
			groups = append(groups, more)
			more.leave = time.Now().Add(burstTime)
			s.wait.Go(func() { more.run(s.ctx, moreUsers) })
			s.log("burst %d: %d more users for %s", n+1, moreUsers, burstTime)
		}
		sleep(s.ctx, 2*burstTime)
		report("so far")
	}
	for _, h := range hosts {
		s.log("host %s has run all the time", h.entry.Address)
	}
	if byDaemons > 0 {
		s.log("broken: %d open flows of hosts that live and are not disturbed were reset by daemons", byDaemons)
		return broken, nil
	}
	s.log("held")
	return held, nil
}
