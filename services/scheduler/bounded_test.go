package scheduler_test

import (
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// placeAlone places n requests that a backend server answers at once, and returns how many each got.
func placeAlone(t *testing.T, s *scheduler.Scheduler, n int) map[int]int {
	t.Helper()
	got, now := make(map[int]int), start
	for range n {
		now = now.Add(time.Millisecond)
		target, err := s.Place(now, request)
		if err != nil {
			t.Fatal(err)
		}
		a := target.Addr().As4()
		i := int(a[2])<<8 | int(a[3])
		got[i]++
		observe(s, now, i, scheduler.Observation{Kind: scheduler.Sent, WorkKind: scheduler.WorkRequest})
		observe(s, now, i, scheduler.Observation{Kind: scheduler.Answered, WorkKind: scheduler.WorkRequest,
			Latency: 8 * time.Millisecond, Load: scheduler.Load{Slots: 2}, HasLoad: true})
	}
	return got
}

// oneZone returns n backend servers of availability zone a.
func oneZone(n int) []scheduler.BackendServer {
	list := servers(n)
	for i := range list {
		list[i].AvailabilityZone = "a"
	}
	return list
}

// TestLargeGroupReachesAll guards against a bounded choice that never looks at some of a large group, or that keeps
// backend servers that left.
func TestLargeGroupReachesAll(t *testing.T) {
	const n = 300
	s := newScheduler(1)
	s.SetBackendServers(start, "ovenwatch", oneZone(n))
	got := placeAlone(t, s, 30*n)
	for i := range n {
		if got[i] == 0 {
			t.Errorf("backend server %d of %d got nothing of %d requests", i, n, 30*n)
		}
	}
	s.SetBackendServers(start, "ovenwatch", oneZone(n)[:n/2])
	for i := range placeAlone(t, s, n) {
		if i >= n/2 {
			t.Errorf("backend server %d got work after it had left", i)
		}
	}
}

// TestLargeGroupFindsTheOnlyFree guards against shedding while a backend server outside the bounded choice has room.
func TestLargeGroupFindsTheOnlyFree(t *testing.T) {
	const n, free = 300, 137
	s := newScheduler(1)
	s.SetBackendServers(start, "ovenwatch", oneZone(n))
	for i := range n {
		if i != free {
			observe(s, start, i, scheduler.Observation{Kind: scheduler.LoadReported, HasLoad: true,
				Load: scheduler.Load{Running: 2, Queued: 30, Slots: 2}})
		}
	}
	target, err := s.Place(start, request)
	if err != nil || target != address(free) {
		t.Errorf("the request went to %v (%v), want %v", target, err, address(free))
	}
}
