package admitter_test

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/admitter"
)

// TestRandomRequests guards against a panic, and against requests that are lost, returned twice or held although they are of the highest
// priority, over random requests, samples, reports, shares of slots and pauses.
func TestRandomRequests(t *testing.T) {
	waited := 0
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 34))
		a := admitter.New(admitter.Config{Order: admitter.Order(seed % 4), Control: admitter.Control(seed % 2)})
		duration := func() time.Duration { return time.Duration(1 + random.Int64N(int64(time.Second)<<random.IntN(3))) }
		classes := make([]admitter.Class, 1+random.IntN(4))
		for i := range classes {
			classes[i] = admitter.Class{Priority: random.IntN(3) - 1, TargetLatency: duration(), Timeout: duration()}
		}
		a.SetClasses(classes)
		top := math.MaxInt
		for _, c := range classes {
			top = min(top, c.Priority)
		}
		now, waiting, id := start, map[uint64]bool{}, uint64(0)
		take := func(r admitter.Request) {
			if !waiting[r.ID] {
				t.Fatalf("seed %d: request %d does not wait", seed, r.ID)
			}
			delete(waiting, r.ID)
		}
		for range 1500 {
			class := random.IntN(len(classes))
			switch n := random.IntN(40); {
			case n == 0:
				a.SetSlots([]float64{0, -1, 2, 1e300, math.NaN(), math.Inf(1)}[random.IntN(6)])
				a.SetPeers(random.IntN(50))
			case n == 1:
				now = now.Add(time.Duration(random.IntN(4000)) * time.Millisecond)
				a.Advance(now)
			case n == 2:
				a.AddReport(now, netip.AddrPortFrom(client, uint16(random.IntN(60))), admitter.Report{Share: random.Float64() * 2, Delay: duration(), Samples: random.IntN(300), Age: time.Duration(random.IntN(500)) * time.Millisecond})
				a.TakeReport(now)
			case n == 3:
				a.RecordRejection(now, class, duration())
			case n == 4:
				a.RecordOverdue(now, class, classes[class].TargetLatency)
			case n == 5 && a.RecordLate(now, class):
				a.RecordCountedDelay(duration())
			case n == 6:
				if r, ok := a.EvictOne(now); ok {
					take(r)
				}
			case n == 7:
				if cancelled := uint64(random.IntN(int(id) + 1)); a.Cancel(cancelled) {
					take(admitter.Request{ID: cancelled})
				}
			case n < 14:
				a.RecordResponse(now, class, duration())
			case n < 24:
				now = now.Add(time.Duration(random.IntN(10)) * time.Millisecond)
				for r, _, ok := a.Next(now); ok; r, _, ok = a.Next(now) {
					take(r)
				}
			default:
				id++
				r := admitter.Request{ID: id, Class: class, Client: netip.AddrFrom4([4]byte{100, 64, 0, byte(random.IntN(3))}), ArrivedAt: now.Add(-time.Duration(random.IntN(2000)) * time.Millisecond)}
				if a.Offer(now, r) != admitter.Wait {
					break
				}
				if waiting[id], waited = true, waited+1; classes[class].Priority == top {
					t.Fatalf("seed %d: a request of the highest priority waits", seed)
				}
			}
			if a.Waiting() != len(waiting) {
				t.Fatalf("seed %d: %d requests wait, want %d", seed, a.Waiting(), len(waiting))
			}
			if at, ok := a.NextAt(now); ok != (len(waiting) > 0) || ok && (at.Before(now) || at.Sub(now) > time.Second) {
				t.Fatalf("seed %d: next release at %s", seed, at.Sub(now))
			}
		}
		for now = now.Add(time.Hour); len(waiting) > 0; now = now.Add(time.Second) {
			for r, _, ok := a.Next(now); ok; r, _, ok = a.Next(now) {
				take(r)
			}
		}
	}
	if waited < 1000 {
		t.Errorf("only %d requests waited", waited)
	}
}
