package main

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

const (
	warmUp  = 50 * time.Second
	measure = 20 * time.Second
	// headers is the size of the IPv4 and UDP headers of a datagram.
	headers = 28
)

// measureMembership runs peer sockets of one availability zone and measures datagrams, bytes and processor time per
// daemon. Bytes are those sent, with IP and UDP headers; as many are received.
func measureMembership(seed uint64, out *table) error {
	out.row("members", "known", "ping/s", "ack/s", "ping-request/s", "sent B/s", "mean B", "processor % of a core", "heap+stack B")
	for _, size := range []int{50, 200, 420} {
		base := heapBytes()
		g, err := startFleet(fleetConfig{seed: seed, size: size})
		if err != nil {
			return err
		}
		time.Sleep(warmUp)
		memory := (heapBytes() - base) / float64(size)
		before, processor := g.traffic(), processorTime()
		time.Sleep(measure)
		processor = processorTime() - processor
		after := g.traffic()
		known := 0
		for _, d := range g.daemons {
			known += len(d.peers.ZoneMembers())
		}
		if err := g.stop(); err != nil {
			return err
		}
		rate := func(n uint64) float64 { return float64(n) / measure.Seconds() / float64(size) }
		var datagrams, bytes uint64
		kinds := make(map[packer.Kind]float64)
		for k := range after {
			n := after[k].SentDatagrams - before[k].SentDatagrams
			kinds[k] = rate(n)
			datagrams += n
			bytes += after[k].SentBytes - before[k].SentBytes + headers*n
		}
		out.row(size, float64(known)/float64(size), kinds[packer.KindPing], kinds[packer.KindAck], kinds[packer.KindPingRequest],
			rate(bytes), float64(bytes)/float64(datagrams),
			100*processor.Seconds()/measure.Seconds()/float64(size), memory)
	}
	return nil
}

type traffic struct{ SentDatagrams, SentBytes uint64 }

func (g *group) traffic() map[packer.Kind]traffic {
	sum := make(map[packer.Kind]traffic)
	for _, d := range g.daemons {
		for k, t := range d.peers.Traffic() {
			s := sum[k]
			sum[k] = traffic{s.SentDatagrams + t.SentDatagrams, s.SentBytes + t.SentBytes}
		}
	}
	return sum
}
