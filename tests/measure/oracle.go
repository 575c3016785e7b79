package main

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// allKnowing names the lower bound: placement by one balancer that knows every counter.
const allKnowing = "all-knowing"

// oracle places work with exact knowledge of every backend server's work, speed and delay.
type oracle struct {
	model *model
	zone  int
}

// Place implements placer. It picks the least expected time to the answer, and the least work among equals.
func (o *oracle) Place(now time.Time, w scheduler.Work) (netip.AddrPort, error) {
	var best *fakeServer
	var bestTime, bestWork float64
	for _, s := range o.model.servers {
		if s.draining || s.dead || contains(w.TriedServers, s.address) {
			continue
		}
		work := float64(s.running + len(s.queue) + s.inFlight)
		service := meanService.Seconds() / s.speedAt(o.model.now)
		wait := service * max(0, (work+1)/slots-1)
		if wait > scheduler.DefaultSoftWait.Seconds() {
			continue
		}
		t := wait + service + 2*delay(o.zone, s.zone).Seconds()
		if best == nil || t < bestTime || t == bestTime && (work < bestWork || work == bestWork && s.served < best.served) {
			best, bestTime, bestWork = s, t, work
		}
	}
	if best == nil {
		return netip.AddrPort{}, scheduler.ErrShed
	}
	return best.address, nil
}

// Retry implements placer.
func (o *oracle) Retry(now time.Time, w scheduler.Work) (netip.AddrPort, error) {
	return o.Place(now, w)
}

// Observe implements placer.
func (o *oracle) Observe(time.Time, scheduler.Observation) {}

func contains(list []netip.AddrPort, a netip.AddrPort) bool {
	for _, x := range list {
		if x == a {
			return true
		}
	}
	return false
}
