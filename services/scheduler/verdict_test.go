package scheduler_test

import (
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// TestVerdicts guards against a verdict that is counted like a single check, that outweighs answers or the ejection cap,
// that is believed when nearly everything is held for failed, and against verdicts of draining that close a service.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name    string
		state   scheduler.HealthState
		told    int // the verdict is on the first ones
		answers int // this one answers
		out     int
	}{
		{"one failed", scheduler.HealthFailed, 1, -1, 1},
		{"one failed that answers", scheduler.HealthFailed, 1, 0, 0},
		{"five failed, cap of four", scheduler.HealthFailed, 5, -1, 4},
		{"nearly all failed", scheduler.HealthFailed, 13, -1, 0},
		{"one draining that answers", scheduler.HealthDraining, 1, 0, 1},
		{"all draining, cap of four", scheduler.HealthDraining, 14, -1, 4},
	} {
		s := newScheduler(14)
		now := start
		for range 2 {
			now = now.Add(time.Second)
			if c.answers >= 0 {
				observe(s, now, c.answers, scheduler.Observation{Kind: scheduler.Answered, WorkKind: scheduler.WorkRequest})
			}
			for i := range c.told {
				observe(s, now, i, scheduler.Observation{Kind: scheduler.HealthCombined, Health: c.state})
			}
		}
		out := 0
		for _, e := range s.Status(now, "ovenwatch") {
			if e.Ejected || e.InBackoff {
				out++
			}
		}
		if out != c.out {
			t.Errorf("%s: %d out of use, want %d", c.name, out, c.out)
		}
	}
}

// TestVerdictEnds guards against a backend server that stays out of use after a draining verdict is no longer repeated,
// and against one that comes back with its full share.
func TestVerdictEnds(t *testing.T) {
	s := newScheduler(14)
	observe(s, start, 0, scheduler.Observation{Kind: scheduler.HealthCombined, Health: scheduler.HealthDraining})
	now := start.Add(3 * time.Second)
	if s.Status(now, "ovenwatch")[0].InBackoff {
		t.Error("closed without a verdict")
	}
	observe(s, now, 0, scheduler.Observation{Kind: scheduler.HealthCombined, Health: scheduler.HealthLive})
	if share := s.Status(now, "ovenwatch")[0].WeightFactor; share >= 1 {
		t.Errorf("share %v after draining", share)
	}
}
