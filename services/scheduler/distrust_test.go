package scheduler_test

import (
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// TestReportsBelowOwnWork guards against work that gathers at a backend server whose reports hide its load.
func TestReportsBelowOwnWork(t *testing.T) {
	const (
		rounds  = 200
		placed  = 60
		running = 2 // on each of the others: one request of this balancer and one of another
	)
	s := newScheduler(9)
	local := []int{0, 3, 6} // of the own availability zone
	now := start
	for range rounds {
		for _, i := range local {
			observe(s, now, i, scheduler.Observation{Kind: scheduler.Sent, WorkKind: scheduler.WorkRequest})
		}
		now = now.Add(5 * time.Millisecond)
		for _, i := range local {
			load := scheduler.Load{Slots: 2}
			if i != 0 {
				load.Running = running
			}
			observe(s, now, i, scheduler.Observation{Kind: scheduler.LoadReported, HasLoad: true, Load: load})
		}
		now = now.Add(5 * time.Millisecond)
		for _, i := range local {
			observe(s, now, i, scheduler.Observation{
				Kind: scheduler.Answered, WorkKind: scheduler.WorkRequest, Latency: 10 * time.Millisecond,
			})
		}
	}
	hidden := 0
	for range placed {
		now = now.Add(time.Millisecond)
		target, err := s.Place(now, request)
		if err != nil {
			t.Fatal(err)
		}
		if target == address(0) {
			hidden++
		}
	}
	if !s.Status(now, "ovenwatch")[0].ReportsDistrusted || hidden > placed/2 {
		t.Errorf("a backend server that hides its load: distrusted %v, got %d of %d requests",
			s.Status(now, "ovenwatch")[0].ReportsDistrusted, hidden, placed)
	}
}

// TestReportsFull guards against a backend server that always says that it is full and gets next to no work although it
// answers at once, while its neighbours share the work: integration seed 52, 3 of 178 requests and busiest/mean up to 1.84.
func TestReportsFull(t *testing.T) {
	s := newScheduler(9)
	full, normal := scheduler.Load{Running: 2, Queued: 4, Slots: 2}, scheduler.Load{Running: 1, Slots: 2}
	now := start
	counts := map[int]int{}
	play := func(n int, latency func(i int) time.Duration) {
		for range n {
			now = now.Add(30 * time.Millisecond)
			target, err := s.Place(now, request)
			if err != nil {
				t.Fatal(err)
			}
			i := int(target.Addr().As4()[3])
			counts[i]++
			observe(s, now, i, scheduler.Observation{Kind: scheduler.Sent, WorkKind: scheduler.WorkRequest})
			took := latency(i)
			load := normal
			if i == 0 {
				load = full
			}
			observe(s, now.Add(took), i, scheduler.Observation{Kind: scheduler.LoadReported, HasLoad: true, Load: load})
			observe(s, now.Add(took), i, scheduler.Observation{Kind: scheduler.Answered, WorkKind: scheduler.WorkRequest, Latency: took})
		}
	}
	play(300, func(int) time.Duration { return 10 * time.Millisecond })
	if got := counts[0]; got < 30 || !s.Status(now, "ovenwatch")[0].ReportsDistrusted {
		t.Errorf("one of three that answers like the others got %d of 300 requests: %v", got, counts)
	}
	// It is full now, and its answers show it: what it says counts again.
	clear(counts)
	play(100, func(i int) time.Duration {
		if i == 0 {
			return 29 * time.Millisecond
		}
		return 10 * time.Millisecond
	})
	if s.Status(now, "ovenwatch")[0].ReportsDistrusted {
		t.Errorf("a true report is distrusted: %v", counts)
	}
}
