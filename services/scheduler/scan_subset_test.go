package scheduler_test

import (
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// placeAndAnswer places n requests, each of which is answered at once, and returns how many each backend server got.
func placeAndAnswer(t *testing.T, s *scheduler.Scheduler, n int) map[int]int {
	t.Helper()
	counts, now := make(map[int]int), start
	for range n {
		now = now.Add(time.Millisecond)
		target, err := s.Place(now, request)
		if err != nil {
			t.Fatal(err)
		}
		a := target.Addr().As4()
		i := int(a[2])<<8 | int(a[3])
		counts[i]++
		observe(s, now, i, scheduler.Observation{Kind: scheduler.Sent, WorkKind: scheduler.WorkRequest})
		observe(s, now, i, scheduler.Observation{Kind: scheduler.Answered, WorkKind: scheduler.WorkRequest,
			Latency: 8 * time.Millisecond, Load: scheduler.Load{Slots: 2}, HasLoad: true})
	}
	return counts
}

// serversOfOneZone returns n backend servers of availability zone a.
func serversOfOneZone(n int) []scheduler.BackendServer {
	list := servers(n)
	for i := range list {
		list[i].AvailabilityZone = "a"
	}
	return list
}

// TestScanSubsetReachesAllServers guards against a scan subset that never includes some backend servers of a large
// availability zone, or that still includes removed ones.
func TestScanSubsetReachesAllServers(t *testing.T) {
	const n = 300
	s := newScheduler(1)
	s.SetBackendServers(start, "ovenwatch", serversOfOneZone(n))
	counts := placeAndAnswer(t, s, 30*n)
	for i := range n {
		if counts[i] == 0 {
			t.Errorf("backend server %d of %d got none of %d requests", i, n, 30*n)
		}
	}
	s.SetBackendServers(start, "ovenwatch", serversOfOneZone(n)[:n/2])
	for i := range placeAndAnswer(t, s, n) {
		if i >= n/2 {
			t.Errorf("backend server %d got requests after its removal", i)
		}
	}
}

// TestFullScanFindsTheOnlyFreeServer guards against load shedding while a backend server outside the scan subset has a free
// slot.
func TestFullScanFindsTheOnlyFreeServer(t *testing.T) {
	const n, free = 300, 137
	s := newScheduler(1)
	s.SetBackendServers(start, "ovenwatch", serversOfOneZone(n))
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
