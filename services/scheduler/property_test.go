package scheduler_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// TestPlaceNeverPicksUnusable guards against work that goes to a backend server that is leaving, ejected, was tried
// before or has refused with cause draining, whatever events came before, and against too many ejections.
func TestPlaceNeverPicksUnusable(t *testing.T) {
	names := []string{"random", "round-robin", "two-choices", "two-choices-reported", "least-loaded", "rendezvous-bounded"}
	rapid.Check(t, func(t *rapid.T) {
		policy, err := scheduler.ParsePolicy(rapid.SampledFrom(names).Draw(t, "policy"))
		if err != nil {
			t.Fatal(err)
		}
		s := scheduler.New(scheduler.Config{AvailabilityZone: "a", Policy: policy, Random: rand.New(rand.NewPCG(3, 4))})
		list := servers(rapid.IntRange(1, 14).Draw(t, "servers"))
		now := start
		s.SetBackendServers(now, "ovenwatch", list)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, len(list)-1).Draw(t, "server")
			o := scheduler.Observation{
				Kind:    scheduler.ObservationKind(rapid.IntRange(1, 10).Draw(t, "kind")),
				Service: "ovenwatch", BackendServer: list[i].Address, WorkKind: scheduler.WorkKind(rapid.IntRange(1, 3).Draw(t, "work")),
				Flow: rapid.Uint64Range(0, 50).Draw(t, "flow"), Latency: time.Duration(rapid.IntRange(0, 50).Draw(t, "latency")) * time.Millisecond,
				Cause:   rapid.SampledFrom([]framer.Cause{framer.CauseShed, framer.CauseDraining, framer.CauseExpired}).Draw(t, "cause"),
				Load:    scheduler.Load{Running: rapid.IntRange(0, 2).Draw(t, "running"), Slots: 2, Feeds: rapid.IntRange(0, 9).Draw(t, "feeds")},
				HasLoad: rapid.Bool().Draw(t, "has load"), Health: scheduler.HealthState(rapid.IntRange(1, 4).Draw(t, "health")),
			}
			s.Observe(now, o)
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				list[i].Leaving = !list[i].Leaving
				s.SetBackendServers(now, "ovenwatch", list)
			}
			w := scheduler.Work{Service: "ovenwatch", Kind: o.WorkKind, TriedServers: []netip.AddrPort{list[i].Address}}
			target, err := s.Place(now, w)
			checkTarget(t, s, now, w, target, err)
		}
	})
}

func checkTarget(t *rapid.T, s *scheduler.Scheduler, now time.Time, w scheduler.Work, target netip.AddrPort, err error) {
	ejected := 0
	status := s.Status(now, w.Service)
	for _, e := range status {
		if e.Ejected {
			ejected++
		}
		if e.OwnInFlight < 0 || e.InFlight < 0 || e.OpenFeeds < 0 {
			t.Fatalf("negative count: %+v", e)
		}
		if err == nil && e.Address == target && (e.Leaving || e.Ejected || e.InBackoff || slices.Contains(w.TriedServers, target)) {
			t.Fatalf("work went to %+v, tried %v", e, w.TriedServers)
		}
	}
	if ejected > len(status)/3 {
		t.Fatalf("%d of %d backend servers ejected", ejected, len(status))
	}
	if err != nil && !scheduler.IsErrNoBackendServer(err) && !scheduler.IsErrShed(err) {
		t.Fatalf("unexpected error %v", err)
	}
}

// TestRetriesStayWithinBudget guards against retry storms: retries are at most a tenth of the first tries, apart from
// the small initial allowance.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScheduler(14)
		first, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "retry") > 0 {
				if _, err := s.Retry(start, request); err == nil {
					retries++
				}
			} else if _, err := s.Place(start, request); err == nil {
				first++
			}
		}
		if float64(retries) > 5+0.1*float64(first)+1e-6 {
			t.Fatalf("%d retries for %d first tries", retries, first)
		}
	})
}
