package forwarder_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // the second run also frees the objects in sync.Pools
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// callerOf returns the address of the caller with the index.
func callerOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, 1, byte(i >> 14)}), uint16(10_000+i&0x3FFF))
}

// openFeeds sends the opens of n feeds. With accept, the backend server accepts each feed, and the caller sends one packet.
func (b *balancer) openFeeds(n int, payload []byte, accept bool) {
	for i := range n {
		d := framer.Datagram{Kind: framer.KindOpenFeed, ServiceID: framer.ServiceID("ovenwatch"), Payload: payload}
		binary.BigEndian.PutUint64(d.CallID[:], uint64(i)+1)
		b.sendFrom(callerOf(i), &d)
		if !accept {
			continue
		}
		packets, targets := b.sentToBackend()
		packets[0].Verb = encapsulator.VerbAccepted
		b.reply(targets[0], packets[0])
		d.Kind, d.Token, d.Payload = framer.KindFeed, append([]byte(nil), b.sentToCaller()[0].Token...), nil
		b.sendFrom(callerOf(i), &d)
		if i%500 == 499 { // 500 opens in 100 ms
			b.advance(100 * time.Millisecond)
		}
	}
}

// sendFrom handles a datagram from the caller to ovenwatch.
func (b *balancer) sendFrom(from netip.AddrPort, d *framer.Datagram) {
	data, err := framer.Append(nil, d)
	if err != nil {
		b.t.Fatal(err)
	}
	b.out.Reset()
	b.HandleCallerDatagram(b.now, from, ovenwatch, data, &b.out)
}

// viewWithManyConnections returns the standard view with enough connections for all feeds.
func viewWithManyConnections(t testing.TB) *view.View {
	content := fmt.Sprintf(settingsTemplate+"[defaults]\nconnections = 1000000\n", serverEntry(oven1, "live")+","+serverEntry(oven2, "live"), serverEntry(recipe1, "live"))
	parsed, err := settings.Parse("tree.toml", 1, []byte(content))
	if err != nil {
		t.Fatal(err)
	}
	return view.New(parsed, &fleet.List{})
}

// BenchmarkEstablishedFeeds measures the heap that a balancer retains for established feeds. It must retain nothing.
func BenchmarkEstablishedFeeds(b *testing.B) {
	for _, n := range []int{0, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				lb := newBalancer(b, self, viewWithManyConnections(b))
				// Allocates what has a fixed size or grows with the highest rate of opens: samples, maps and buffers.
				lb.openFeeds(10_000, nil, true)
				lb.advance(time.Minute)
				before := heapBytes()
				lb.openFeeds(n, nil, true)
				lb.advance(time.Minute)
				retained := heapBytes() - before
				b.ReportMetric(float64(retained), "heap-B")
				b.ReportMetric(float64(retained)/float64(max(1, n)), "heap-B/feed")
				runtime.KeepAlive(lb)
			}
		})
	}
}

// BenchmarkPendingCall measures the heap of a pending call without its payload. The numbers of calls differ in how full
// the tables of the map are.
func BenchmarkPendingCall(b *testing.B) {
	for _, n := range []int{20_000, 35_000, 50_000, 65_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				lb := newBalancer(b, self, viewWithManyConnections(b))
				before := heapBytes()
				lb.openFeeds(n, nil, false)
				b.ReportMetric(float64(heapBytes()-before)/float64(lb.PendingCount()), "heap-B/entry")
				runtime.KeepAlive(lb)
			}
		})
	}
}
