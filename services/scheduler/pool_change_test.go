package scheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// poolServers returns the backend servers of a class on the first VMs, which all classes share.
func poolServers(class, vms int) []scheduler.BackendServer {
	list := make([]scheduler.BackendServer, vms)
	for vm := range list {
		list[vm] = scheduler.BackendServer{Address: serverOf(class, vm), AvailabilityZone: "a", Slots: processors, Connections: 100}
	}
	return list
}

// overload makes priorities take effect: answers of the service turn late, and its backend servers report long queues, of which a tenth
// are requests of this balancer.
func overload(s *scheduler.Scheduler, now time.Time, name string, class, vms int) time.Time {
	o := scheduler.Observation{Service: name, WorkKind: scheduler.WorkRequest}
	for i := range vms {
		o.Kind, o.BackendServer = scheduler.Sent, serverOf(class, i%vms)
		s.Observe(now, o)
	}
	for i := range 600 {
		now = now.Add(5 * time.Millisecond)
		o.Kind, o.BackendServer, o.HasLoad = scheduler.Sent, serverOf(class, i%vms), false
		s.Observe(now, o)
		o.Kind, o.Latency = scheduler.Answered, time.Millisecond
		if i >= 400 {
			o.Latency = 400 * time.Millisecond
		}
		o.HasLoad, o.Load = true, scheduler.Load{Running: processors, Queued: 8, Slots: processors}
		s.Observe(now, o)
		_, _ = s.Place(now, scheduler.Work{Service: name, Kind: scheduler.WorkRequest})
	}
	return now
}

// TestRetryAfterMoreServers guards against a panic at a retry after a change of the settings that adds backend servers while
// priorities have an effect.
func TestRetryAfterMoreServers(t *testing.T) {
	s := scheduler.New(scheduler.Config{AvailabilityZone: "a", Random: rand.New(rand.NewPCG(1, 2))})
	set := func(now time.Time, vms int) {
		for class, name := range []string{"orders", "archive"} {
			s.SetBackendServers(now, name, poolServers(class, vms))
			s.Configure(name, scheduler.Tunables{
				Limits:    scheduler.Limits{RetryBudget: 0.1},
				Admission: scheduler.Admission{Priority: class, TargetLatency: 150 * time.Millisecond, Timeout: time.Second},
			})
		}
	}
	set(start, 8)
	now := overload(s, start, "orders", 0, 8)
	set(now, 250)
	for range 5 {
		target, err := s.Retry(now, scheduler.Work{Service: "orders", Kind: scheduler.WorkRequest})
		if err != nil && !scheduler.IsErrShed(err) && !scheduler.IsErrOverloaded(err) {
			t.Fatalf("retry on %s: %v", target, err)
		}
	}
	set(now, 8)
	now = overload(s, now, "orders", 0, 8)
	set(now, 1)
	for range 5 {
		target, err := s.Retry(now, scheduler.Work{Service: "orders", Kind: scheduler.WorkRequest})
		if err == nil && target != serverOf(0, 0) {
			t.Fatalf("retry on %s, which was removed", target)
		}
	}
}

// TestChangesUnderPriorities guards against panics and against work on a backend server that the settings do not list, after any sequence
// of changes of services, VMs, priorities and targets, of events and of placements.
func TestChangesUnderPriorities(t *testing.T) {
	names := []string{"orders", "archive", "stock"}
	rapid.Check(t, func(t *rapid.T) {
		s := scheduler.New(scheduler.Config{AvailabilityZone: "a", Random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 4))})
		now := start
		listed := [3]int{}
		change := func(class int) {
			vms := rapid.SampledFrom([]int{0, 1, 5, 9, 70, 250}).Draw(t, "vms")
			list := poolServers(class, vms)
			for i := range list {
				list[i].Leaving = rapid.IntRange(0, 30).Draw(t, "leaving") == 0
			}
			s.SetBackendServers(now, names[class], list)
			s.Configure(names[class], scheduler.Tunables{
				Limits: scheduler.Limits{RetryBudget: 1},
				Admission: scheduler.Admission{
					Priority:      rapid.IntRange(0, 2).Draw(t, "priority"),
					TargetLatency: time.Duration(rapid.IntRange(0, 3).Draw(t, "target")) * 50 * time.Millisecond,
					Timeout:       time.Duration(rapid.IntRange(0, 2).Draw(t, "timeout")) * time.Second,
				},
			})
			listed[class] = vms
		}
		for class := range names {
			change(class)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{-50, 0, 0, 1, 5, 20, 600}).Draw(t, "pause") * time.Millisecond)
			class := rapid.IntRange(0, 2).Draw(t, "service")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				change(class)
			case 1:
				if listed[class] > 0 {
					now = overload(s, now, names[class], class, listed[class])
				}
			case 2:
				s.Observe(now, scheduler.Observation{
					Kind: scheduler.ObservationKind(rapid.IntRange(0, 12).Draw(t, "kind")), Service: names[class],
					BackendServer: serverOf(class, rapid.IntRange(0, 9).Draw(t, "vm")), WorkKind: scheduler.WorkKind(rapid.IntRange(0, 4).Draw(t, "work")),
					Latency: time.Duration(rapid.Int64().Draw(t, "latency")), Cause: framer.Cause(rapid.IntRange(0, 20).Draw(t, "cause")),
					HasLoad: rapid.Bool().Draw(t, "has load"), Load: scheduler.Load{Running: rapid.IntRange(0, 65535).Draw(t, "running"), Queued: 65535, Slots: 65535, Feeds: 1<<32 - 1},
					Health: scheduler.HealthState(rapid.IntRange(0, 5).Draw(t, "health")), FlowID: rapid.Uint64().Draw(t, "flow"),
				})
			default:
				w := scheduler.Work{Service: names[class], Kind: scheduler.WorkKind(rapid.IntRange(1, 3).Draw(t, "kind"))}
				place := s.Place
				if rapid.Bool().Draw(t, "retry") {
					place = s.Retry
				}
				target, err := place(now, w)
				if err == nil && (int(target.Addr().As4()[3]) >= listed[class] || int(target.Port()) != 7000+class) {
					t.Fatalf("work of %s on %s; %d VMs are listed", names[class], target, listed[class])
				}
			}
			_ = s.Status(now, names[class])
		}
	})
}
