package scheduler_test

import (
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// TestSpillGoesToLeastUsedZone guards against a balancer of a saturated availability zone that spreads spilled requests
// equally over the other zones, although zone b is nearly idle and zone c is as busy as the own one.
func TestSpillGoesToLeastUsedZone(t *testing.T) {
	s := newScheduler(12)
	loads := [3]scheduler.Load{{Running: 2, Queued: 1, Slots: 2}, {Slots: 2}, {Running: 2, Slots: 2}}
	placed := [3]int{}
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(2 * time.Millisecond) {
		if now.Sub(start)%time.Second == 0 {
			for i := range 12 {
				observe(s, now, i, scheduler.Observation{Kind: scheduler.HealthChecked, Health: scheduler.HealthLive,
					Load: loads[i%3], HasLoad: true})
			}
		}
		target, err := s.Place(now, request)
		if err != nil {
			t.Fatal(err)
		}
		i := int(target.Addr().As4()[3])
		placed[i%3]++
		observe(s, now, i, scheduler.Observation{Kind: scheduler.Sent, WorkKind: scheduler.WorkRequest})
		observe(s, now, i, scheduler.Observation{Kind: scheduler.Answered, WorkKind: scheduler.WorkRequest,
			Latency: 8 * time.Millisecond, Load: loads[i%3], HasLoad: true})
	}
	if placed[1] == 0 || placed[2] > placed[1]/10 {
		t.Errorf("zones a, b and c got %v requests, want hardly any in c", placed)
	}
}
