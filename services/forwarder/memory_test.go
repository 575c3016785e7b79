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

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // the second run also frees what pools kept
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func callerOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, 1, byte(i >> 14)}), uint16(10_000+i&0x3FFF))
}

// openMany sends the opens of n feeds. With accept, the backend server accepts each and the feed sends a keepalive.
func (b *balancer) openMany(n int, payload []byte, accept bool) {
	for i := range n {
		d := framer.Datagram{Kind: framer.KindOpenFeed, ServiceID: framer.ServiceID("ovenwatch"), Payload: payload}
		binary.BigEndian.PutUint64(d.CallID[:], uint64(i)+1)
		b.sendFrom(callerOf(i), &d)
		if !accept {
			continue
		}
		packets, targets := b.toBackend()
		packets[0].Verb = encapsulator.VerbAccepted
		b.reply(targets[0], packets[0])
		d.Kind, d.Token, d.Payload = framer.KindFeed, append([]byte(nil), b.toCaller()[0].Token...), nil
		b.sendFrom(callerOf(i), &d)
		if i%500 == 499 { // 500 feeds in 100 ms
			b.tick(100 * time.Millisecond)
		}
	}
}

func (b *balancer) sendFrom(from netip.AddrPort, d *framer.Datagram) {
	data, err := framer.Append(nil, d)
	if err != nil {
		b.t.Fatal(err)
	}
	b.out.Reset()
	b.HandleCaller(b.now, from, ovenwatch, data, &b.out)
}

// manyConnections is the standard view with room for all feeds.
func manyConnections(t testing.TB) *view.View {
	content := fmt.Sprintf(tree+"[defaults]\nconnections = 1000000\n", server(oven1, "live")+","+server(oven2, "live"), server(recipe1, "live"))
	parsed, err := settings.Parse("tree.toml", 1, []byte(content))
	if err != nil {
		t.Fatal(err)
	}
	return view.New(parsed, &fleet.List{})
}

// BenchmarkHeldFeeds measures the heap of a balancer with established feeds, for which it must hold nothing.
func BenchmarkHeldFeeds(b *testing.B) {
	for _, n := range []int{0, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				l := newBalancer(b, self, manyConnections(b))
				// Fills what has a fixed size or the size of the highest rate of opens so far: samples, maps and buffers.
				l.openMany(10_000, nil, true)
				l.tick(time.Minute)
				before := heap()
				l.openMany(n, nil, true)
				l.tick(time.Minute)
				held := heap() - before
				b.ReportMetric(float64(held), "heap-B")
				b.ReportMetric(float64(held)/float64(max(1, n)), "heap-B/feed")
				runtime.KeepAlive(l)
			}
		})
	}
}

// BenchmarkPendingEntry measures the heap of a feed that is being opened, besides its payload. The numbers of entries
// differ in how full the map's tables are.
func BenchmarkPendingEntry(b *testing.B) {
	for _, n := range []int{20_000, 35_000, 50_000, 65_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				l := newBalancer(b, self, manyConnections(b))
				before := heap()
				l.openMany(n, nil, false)
				b.ReportMetric(float64(heap()-before)/float64(l.PendingCount()), "heap-B/entry")
				runtime.KeepAlive(l)
			}
		})
	}
}
