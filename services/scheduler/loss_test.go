package scheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// simulatePacketLoss sends requests for 60 s on links that lose a tenth of them. It returns when the scheduler ejected
// backend servers and how often, after 5 s to collect samples, it distrusted their reports. No other balancer sends, so the
// reports, which are true, count only the requests that arrived. Backend server 0 fails after 50 s.
func simulatePacketLoss(t *testing.T, s *scheduler.Scheduler) (ejected map[int]time.Duration, distrusted int) {
	const timeout, serviceTime = 250 * time.Millisecond, 8 * time.Millisecond
	type outcome struct {
		at     time.Time
		server int
		lost   bool
	}
	rng, pending, running := rand.New(rand.NewPCG(3, 3)), []outcome(nil), make(map[int]int)
	ejected = make(map[int]time.Duration)
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(2 * time.Millisecond) {
		remaining := pending[:0]
		for _, result := range pending {
			if result.at.After(now) {
				remaining = append(remaining, result)
				continue
			}
			o := scheduler.Observation{Kind: scheduler.TimedOut, WorkKind: scheduler.WorkRequest, Latency: timeout}
			if !result.lost {
				running[result.server]--
				o.Kind, o.Latency, o.HasLoad = scheduler.Answered, serviceTime, true
				o.Load = scheduler.Load{Running: running[result.server], Slots: 2}
			}
			observe(s, now, result.server, o)
		}
		pending = remaining
		target, err := s.Place(now, request)
		if err != nil {
			t.Fatal(err)
		}
		server := int(target.Addr().As4()[3])
		observe(s, now, server, scheduler.Observation{Kind: scheduler.Sent, WorkKind: scheduler.WorkRequest})
		result := outcome{at: now.Add(serviceTime), server: server, lost: rng.IntN(10) == 0 || server == 0 && now.Sub(start) > 50*time.Second}
		if result.lost {
			result.at = now.Add(timeout)
		} else {
			running[server]++
		}
		pending = append(pending, result)
		for server, status := range s.Status(now, "ovenwatch") {
			if _, known := ejected[server]; status.Ejected && !known {
				ejected[server] = now.Sub(start)
			}
			if status.ReportsDistrusted && now.Sub(start) > 5*time.Second {
				distrusted++
			}
		}
	}
	return ejected, distrusted
}

// TestPacketLossDoesNotEject guards against packet loss that ejects backend servers or makes true load reports distrusted,
// and against a failed backend server that is not ejected on such links.
func TestPacketLossDoesNotEject(t *testing.T) {
	ejected, distrusted := simulatePacketLoss(t, newScheduler(12))
	if at, ok := ejected[0]; !ok || at < 50*time.Second || at > 52*time.Second || len(ejected) != 1 {
		t.Errorf("ejected %v, want only backend server 0, within 2 s after 50 s", ejected)
	}
	if distrusted > 0 {
		t.Errorf("backend servers with true reports were distrusted %d times", distrusted)
	}
}
