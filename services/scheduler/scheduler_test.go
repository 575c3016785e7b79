package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

var start = time.Unix(1_800_000_000, 0)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// servers returns n backend servers, in availability zones a, b and c in turn.
func servers(n int) []scheduler.BackendServer {
	list := make([]scheduler.BackendServer, n)
	for i := range list {
		list[i] = scheduler.BackendServer{
			Address: address(i), AvailabilityZone: string(rune('a' + i%3)), Slots: 2, Connections: 2000,
		}
	}
	return list
}

func newScheduler(n int) *scheduler.Scheduler {
	s := scheduler.New(scheduler.Config{AvailabilityZone: "a", Random: rand.New(rand.NewPCG(1, 2))})
	s.SetBackendServers(start, "ovenwatch", servers(n))
	return s
}

var request = scheduler.Work{Service: "ovenwatch", Kind: scheduler.WorkRequest, CallerGroup: "bakers"}

// TestPlaceAllocatesNothing guards against heap allocations in each placement on the data path.
func TestPlaceAllocatesNothing(t *testing.T) {
	for _, kind := range []scheduler.WorkKind{scheduler.WorkRequest, scheduler.WorkFeed} {
		s := newScheduler(14)
		w := request
		w.Kind = kind
		now := start
		got := testing.AllocsPerRun(1000, func() {
			now = now.Add(time.Millisecond)
			a, err := s.Place(now, w)
			if err != nil {
				t.Fatal(err)
			}
			s.Observe(now, scheduler.Observation{Kind: scheduler.Sent, Service: w.Service, BackendServer: a, WorkKind: kind})
			s.Observe(now, scheduler.Observation{Kind: scheduler.Answered, Service: w.Service, BackendServer: a, WorkKind: kind,
				Latency: 8 * time.Millisecond, HasLoad: true, Load: scheduler.Load{Running: 1, Slots: 2}})
		})
		if got != 0 {
			t.Errorf("kind %d: %v allocations per placement, want 0", kind, got)
		}
	}
}

func ExampleScheduler_Place() {
	s := scheduler.New(scheduler.Config{AvailabilityZone: "a", Random: rand.New(rand.NewPCG(1, 2))})
	now := time.Unix(1_800_000_000, 0)
	s.SetBackendServers(now, "ovenwatch", []scheduler.BackendServer{
		{Address: netip.MustParseAddrPort("10.0.0.1:7000"), AvailabilityZone: "a", Slots: 2, Connections: 2000},
		{Address: netip.MustParseAddrPort("10.0.0.2:7000"), AvailabilityZone: "b", Slots: 2, Connections: 2000},
	})
	target, err := s.Place(now, scheduler.Work{Service: "ovenwatch", Kind: scheduler.WorkRequest})
	fmt.Println(target, err)
	// Output: 10.0.0.1:7000 <nil>
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{14, 400, 9666} { // a third of them in the own availability zone
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			s := newScheduler(n)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if _, err := s.Place(now, request); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// leastOwnLoad picks the candidate with the lowest load by own counts.
type leastOwnLoad struct{}

// Pick implements scheduler.Policy.
func (leastOwnLoad) Pick(c *scheduler.Choice) int {
	best := 0
	for i := range c.Candidates {
		if c.Candidates[i].OwnLoad() < c.Candidates[best].OwnLoad() {
			best = i
		}
	}
	return best
}

func ExamplePolicy() {
	s := scheduler.New(scheduler.Config{AvailabilityZone: "a", Policy: leastOwnLoad{}})
	now := time.Unix(1_800_000_000, 0)
	first, second := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")
	s.SetBackendServers(now, "ovenwatch", []scheduler.BackendServer{
		{Address: first, AvailabilityZone: "a", Slots: 2}, {Address: second, AvailabilityZone: "a", Slots: 2},
	})
	s.Observe(now, scheduler.Observation{
		Kind: scheduler.Sent, Service: "ovenwatch", BackendServer: first, WorkKind: scheduler.WorkRequest,
	})
	target, err := s.Place(now, scheduler.Work{Service: "ovenwatch", Kind: scheduler.WorkRequest})
	fmt.Println(target, err)
	// Output: 10.0.0.2:7000 <nil>
}

// TestConfigurePolicyAndRetryBudget guards against a configured policy that has no effect, and against a retry budget of 0
// that is replaced by the default.
func TestConfigurePolicyAndRetryBudget(t *testing.T) {
	s := newScheduler(6) // two in the own availability zone
	s.Configure(request.Service, scheduler.Tunables{Policy: scheduler.RoundRobin{}})
	placed := map[netip.AddrPort]int{}
	for range 8 {
		a, err := s.Place(start, request)
		if err != nil {
			t.Fatal(err)
		}
		placed[a]++
	}
	for a, n := range placed {
		if n != 4 {
			t.Errorf("%s got %d of 8 requests, want 4 in turn", a, n)
		}
	}
	for range 100 { // uses up the initial budget
		if _, err := s.Retry(start, request); scheduler.IsErrRetryBudget(err) {
			return
		}
	}
	t.Fatal("retries went on with a budget of 0")
}

// TestLeastLoadedTieTolerance guards against a lasting preference for backend servers whose average of other balancers'
// requests is lower by chance. In the demo, where all backend servers are nearly idle, one balancer sent 112 of 287
// requests to one of seven.
func TestLeastLoadedTieTolerance(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := []scheduler.Candidate{
		{Slots: 2, Weight: 1, RelativeServiceTime: 1}, {Slots: 2, Weight: 1, RelativeServiceTime: 1, OthersInFlight: 0.14},
		{Slots: 2, Weight: 1, RelativeServiceTime: 1, OthersInFlight: 1},
	}
	var picks [3]int
	for range 1000 {
		picks[scheduler.LeastLoaded{}.Pick(&scheduler.Choice{Candidates: candidates, Random: random, TieTolerance: 0.1})]++
	}
	if picks[0] < 400 || picks[1] < 400 || picks[2] != 0 {
		t.Errorf("picks %v, want about 500 of each of the first two and none of the third", picks)
	}
}
