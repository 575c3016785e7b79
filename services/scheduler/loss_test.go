package scheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// lossy sends requests for 60 s on links that lose a tenth of them, and reports what scheduler s makes of its backend
// servers; it has 5 s to learn. Nobody else sends, so true reports show only requests that arrived. Backend server 0 dies after 50 s.
func lossy(t *testing.T, s *scheduler.Scheduler) (ejected map[int]time.Duration, distrusted int) {
	const timeout, service = 250 * time.Millisecond, 8 * time.Millisecond
	type end struct {
		at   time.Time
		i    int
		lost bool
	}
	r, ends, running := rand.New(rand.NewPCG(3, 3)), []end(nil), make(map[int]int)
	ejected = make(map[int]time.Duration)
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(2 * time.Millisecond) {
		rest := ends[:0]
		for _, e := range ends {
			if e.at.After(now) {
				rest = append(rest, e)
				continue
			}
			o := scheduler.Observation{Kind: scheduler.TimedOut, WorkKind: scheduler.WorkRequest, Latency: timeout}
			if !e.lost {
				running[e.i]--
				o.Kind, o.Latency, o.HasLoad = scheduler.Answered, service, true
				o.Load = scheduler.Load{Running: running[e.i], Slots: 2}
			}
			observe(s, now, e.i, o)
		}
		ends = rest
		target, err := s.Place(now, request)
		if err != nil {
			t.Fatal(err)
		}
		i := int(target.Addr().As4()[3])
		observe(s, now, i, scheduler.Observation{Kind: scheduler.Sent, WorkKind: scheduler.WorkRequest})
		e := end{at: now.Add(service), i: i, lost: r.IntN(10) == 0 || i == 0 && now.Sub(start) > 50*time.Second}
		if e.lost {
			e.at = now.Add(timeout)
		} else {
			running[i]++
		}
		ends = append(ends, e)
		for i, status := range s.Status(now, "ovenwatch") {
			if _, known := ejected[i]; status.Ejected && !known {
				ejected[i] = now.Sub(start)
			}
			if status.ReportsDistrusted && now.Sub(start) > 5*time.Second {
				distrusted++
			}
		}
	}
	return ejected, distrusted
}

// TestLossIsNoFault guards against links that lose packets being taken for dead backend servers, and lost requests for
// wrong load reports; and against a dead backend server that is then not noticed.
func TestLossIsNoFault(t *testing.T) {
	ejected, distrusted := lossy(t, newScheduler(12))
	if at, ok := ejected[0]; !ok || at < 50*time.Second || at > 52*time.Second || len(ejected) != 1 {
		t.Errorf("ejected %v, want only backend server 0, within 2 s after 50 s", ejected)
	}
	if distrusted > 0 {
		t.Errorf("backend servers that report the truth were distrusted %d times", distrusted)
	}
}
