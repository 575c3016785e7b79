package main

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// oraclePolicy names the policy in which every balancer places work with an oracle. Its latency and imbalance are the lower
// bound with which the policies of the scheduler are compared.
const oraclePolicy = "all-knowing"

// oracle is a placer that knows the requests, the speed and the delay of every backend server exactly.
type oracle struct {
	model *model
	zone  int
}

// Place implements placer. It picks the backend server with the least expected time to the answer, among equals that with the
// fewest requests and then that with the fewest completed ones.
func (o *oracle) Place(now time.Time, w scheduler.Work) (netip.AddrPort, error) {
	var best *backendServer
	var bestExpected, bestWork float64
	for _, s := range o.model.servers {
		if s.draining || s.dead || contains(w.TriedServers, s.address) {
			continue
		}
		work := float64(s.running + len(s.queue) + s.inFlight)
		serviceTime := meanServiceTime.Seconds() / s.speedAt(o.model.now)
		wait := serviceTime * max(0, (work+1)/slotsPerServer-1)
		if wait > scheduler.DefaultSoftWait.Seconds() {
			continue
		}
		expected := wait + serviceTime + 2*linkDelay(o.zone, s.zone).Seconds()
		if best == nil || expected < bestExpected ||
			expected == bestExpected && (work < bestWork || work == bestWork && s.completed < best.completed) {
			best, bestExpected, bestWork = s, expected, work
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
	for _, listed := range list {
		if listed == a {
			return true
		}
	}
	return false
}
