package main

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

const (
	warmUp       = 50 * time.Second // between the start of a fleet and the measurements
	measuredTime = 20 * time.Second
	headerSize   = 28 // bytes of the IPv4 and UDP headers of a datagram
)

// measureMembership runs the peer sockets of one availability zone and measures datagrams, bytes, CPU time and memory per
// daemon. It counts the bytes sent, with IP and UDP headers; the same number is received.
func measureMembership(seed uint64, out *table) error {
	out.addRow("members", "known", "ping/s", "ack/s", "ping-request/s", "sent B/s", "mean B",
		"processor % of a core", "heap+stack B")
	for _, size := range []int{50, 200, 420} {
		heapBefore := heapBytes()
		g, err := startFleet(fleetConfig{seed: seed, size: size})
		if err != nil {
			return err
		}
		time.Sleep(warmUp)
		memory := (heapBytes() - heapBefore) / float64(size)
		before, cpu := g.sentTraffic(), cpuTime()
		time.Sleep(measuredTime)
		cpu = cpuTime() - cpu
		after := g.sentTraffic()
		known := 0
		for _, d := range g.daemons {
			known += len(d.peers.ZoneMembers())
		}
		if err := g.stop(); err != nil {
			return err
		}
		rate := func(n uint64) float64 { return float64(n) / measuredTime.Seconds() / float64(size) }
		var datagrams, bytes uint64
		rateByKind := make(map[packer.Kind]float64)
		for k := range after {
			n := after[k].SentDatagrams - before[k].SentDatagrams
			rateByKind[k] = rate(n)
			datagrams += n
			bytes += after[k].SentBytes - before[k].SentBytes + headerSize*n
		}
		out.addRow(size, float64(known)/float64(size), rateByKind[packer.KindPing], rateByKind[packer.KindAck], rateByKind[packer.KindPingRequest],
			rate(bytes), float64(bytes)/float64(datagrams),
			100*cpu.Seconds()/measuredTime.Seconds()/float64(size), memory)
	}
	return nil
}

// sentTraffic counts sent datagrams and bytes, without IP and UDP headers.
type sentTraffic struct{ SentDatagrams, SentBytes uint64 }

// sentTraffic returns the traffic sent by all daemons so far, by kind of datagram.
func (g *daemonGroup) sentTraffic() map[packer.Kind]sentTraffic {
	total := make(map[packer.Kind]sentTraffic)
	for _, d := range g.daemons {
		for k, t := range d.peers.Traffic() {
			s := total[k]
			total[k] = sentTraffic{s.SentDatagrams + t.SentDatagrams, s.SentBytes + t.SentBytes}
		}
	}
	return total
}
