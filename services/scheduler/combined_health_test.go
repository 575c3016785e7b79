package scheduler_test

import (
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// TestCombinedHealth guards against a combined state that counts only as a single check, that ejects answering backend
// servers or more than the ejection limit, or that ejects any when nearly all are reported as failed, and against draining
// states that take a whole service out of use.
func TestCombinedHealth(t *testing.T) {
	for _, c := range []struct {
		name        string
		state       scheduler.HealthState
		servers     int // number of backend servers, from the first, in that state
		answering   int // backend server that answers, -1 for none
		unavailable int // number of backend servers then ejected or in backoff
	}{
		{"one failed", scheduler.HealthFailed, 1, -1, 1},
		{"one failed that answers", scheduler.HealthFailed, 1, 0, 0},
		{"five failed, limit of four", scheduler.HealthFailed, 5, -1, 4},
		{"nearly all failed", scheduler.HealthFailed, 13, -1, 0},
		{"one draining that answers", scheduler.HealthDraining, 1, 0, 1},
		{"all draining, limit of four", scheduler.HealthDraining, 14, -1, 4},
	} {
		s := newScheduler(14)
		now := start
		for range 2 {
			now = now.Add(time.Second)
			if c.answering >= 0 {
				observe(s, now, c.answering, scheduler.Observation{Kind: scheduler.Answered, WorkKind: scheduler.WorkRequest})
			}
			for i := range c.servers {
				observe(s, now, i, scheduler.Observation{Kind: scheduler.HealthCombined, Health: c.state})
			}
		}
		unavailable := 0
		for _, status := range s.Status(now, "ovenwatch") {
			if status.Ejected || status.InBackoff {
				unavailable++
			}
		}
		if unavailable != c.unavailable {
			t.Errorf("%s: %d ejected or in backoff, want %d", c.name, unavailable, c.unavailable)
		}
	}
}

// TestDrainingEnds guards against a backend server that stays in backoff after its draining state is no longer repeated,
// and against one that returns with its full weight.
func TestDrainingEnds(t *testing.T) {
	s := newScheduler(14)
	observe(s, start, 0, scheduler.Observation{Kind: scheduler.HealthCombined, Health: scheduler.HealthDraining})
	now := start.Add(3 * time.Second)
	if s.Status(now, "ovenwatch")[0].InBackoff {
		t.Error("in backoff although the draining state was not repeated")
	}
	observe(s, now, 0, scheduler.Observation{Kind: scheduler.HealthCombined, Health: scheduler.HealthLive})
	if factor := s.Status(now, "ovenwatch")[0].WeightFactor; factor >= 1 {
		t.Errorf("weight factor %v after draining, want less than 1", factor)
	}
}
