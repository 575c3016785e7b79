package main

import (
	"net/netip"
	"syscall"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

// runResets stops and starts the daemons in turn, so that flows move to other daemons and back, and 8 s after each start crashes one of 14 hosts.
func runResets(folder string, trouble bool) (int, error) {
	s, err := newSystem(folder, []string{"souillac"})
	if err != nil {
		return failed, err
	}
	defer s.stop()
	route := directory.Route{
		Name: "r-1", Address: netip.MustParseAddrPort("198.18.0.1:8443"), Shares: []directory.Share{{Service: "ovenwatch", Weight: 1}},
		Timeout: 2 * time.Second, TargetLatency: 150 * time.Millisecond, Priority: 2,
	}
	for range 14 {
		if err := s.addHost("ovenwatch", 0, 15*time.Millisecond, route.Address); err != nil {
			return failed, err
		}
	}
	for number := range 3 {
		if err := s.addDaemon(0, number); err != nil {
			return failed, err
		}
	}
	s.publish([]directory.Route{route})
	if err := s.start(); err != nil {
		return failed, err
	}
	r, err := newRequesters(s, 0, route.Address, 1000, 50*time.Millisecond)
	if err != nil {
		return failed, err
	}
	s.wait.Go(func() { r.run(s.ctx, 112) })
	report := func(when string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.log("%s: %d requests, %d answered, %d failed, %d resets in the window, %d resets outside it", when, r.requests, r.answered, r.failed, r.valid, r.invalid)
	}
	sleep(s.ctx, 5*time.Second)
	report("before")
	for round := range 5 {
		if trouble {
			s.terminate(s.daemons[round%len(s.daemons)])
			for end := time.Now().Add(15 * time.Second); s.fabric.ReadyCount() < len(s.daemons) && time.Now().Before(end); {
				sleep(s.ctx, 50*time.Millisecond)
			}
			s.log("%d daemons are ready", s.fabric.ReadyCount())
		}
		sleep(s.ctx, 8*time.Second)
		if trouble {
			s.log("host %s crashes with %d open flows", s.hosts[round].Server().Address, len(s.crash(round)))
		}
		sleep(s.ctx, 4*time.Second)
		report("round over")
	}
	r.mu.Lock()
	invalid := r.invalid
	r.mu.Unlock()
	if invalid > 0 {
		s.log("broken: %d packets that are no resets of the system reached open flows", invalid)
		return broken, nil
	}
	s.log("held")
	return held, nil
}

// terminate ends a daemon with SIGTERM, as in a planned stop, and waits until it has ended.
func (s *system) terminate(d *daemon) {
	d.mu.Lock()
	d.stopping = make(chan struct{})
	stopped := d.stopping
	_ = d.cmd.Process.Signal(syscall.SIGTERM)
	d.mu.Unlock()
	s.log("SIGTERM to %s", d.name)
	<-stopped
}
