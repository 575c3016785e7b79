package main

import (
	"fmt"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

// settleTime is the virtual time after which daemons that started together have discovered each other, and their announcements
// of the new members have ended.
const settleTime = 70 * time.Second

// measureZones measures in virtual time the traffic of representatives and of other daemons by the number of availability zones
// and of their members.
func measureZones(seed uint64, out *table) error {
	out.addRow("zones", "members/zone", "datagrams/s (others)", "B/s (others)", "datagrams/s (representatives)",
		"B/s (representatives)", "B/s between zones", "core µs/s per daemon")
	for _, size := range [][2]int{{2, 50}, {4, 50}, {9, 50}, {9, 200}, {9, 420}} {
		n, err := newNetwork(seed, size[0], size[1])
		if err != nil {
			return err
		}
		n.run(settleTime)
		n.takeSentCounts()
		const span = 20 * time.Second
		cpu := cpuTime()
		n.run(span)
		cpu = cpuTime() - cpu
		var sums [2]sentCount
		var counts [2]float64
		for _, nd := range n.nodes {
			role := 0 // index of other daemons in sums and counts; that of representatives is 1
			if nd.IsRepresentative() {
				role = 1
			}
			sums[role].datagrams += nd.sent.datagrams
			sums[role].bytes += nd.sent.bytes
			counts[role]++
		}
		rate := func(v uint64, role int) float64 { return float64(v) / span.Seconds() / counts[role] }
		between := (rate(sums[1].bytes, 1) - rate(sums[0].bytes, 0)) * counts[1]
		out.addRow(size[0], size[1], rate(sums[0].datagrams, 0), rate(sums[0].bytes, 0), rate(sums[1].datagrams, 1),
			rate(sums[1].bytes, 1), between, float64(cpu.Microseconds())/span.Seconds()/float64(len(n.nodes)))
	}
	return nil
}

// measureFaults measures in virtual time the traffic during faults and the time until all live daemons know of them.
func measureFaults(seed uint64, out *table) error {
	out.addRow("fault", "fleet", "all know after", "highest mean B/s", "highest daemon's B/s")
	for _, size := range []int{50, 200, 420} {
		for _, measureFault := range []func(uint64, int, *table) error{measureRackLoss, measureRestartWave} {
			if err := measureFault(seed, size, out); err != nil {
				return err
			}
		}
	}
	for _, size := range []int{20, 50, 100} {
		for _, measureFault := range []func(uint64, int, *table) error{measureZoneLoss, measureRegionPartition} {
			if err := measureFault(seed, size, out); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureRackLoss measures the loss of a tenth of an availability zone at once.
func measureRackLoss(seed uint64, size int, out *table) error {
	n, err := newNetwork(seed, 1, size)
	if err != nil {
		return err
	}
	n.run(settleTime)
	for i := range size / 10 {
		n.nodes[i].stopped = true
	}
	took, mean, peak := n.runMeasured(2*time.Minute, func() bool { return n.countStaleLive(size/10) == 0 })
	out.addRow("loss of a rack (a tenth of the zone)", fmt.Sprintf("1 zone of %d", size), took, mean, peak)
	return nil
}

// countStaleLive counts the stale entries for the first nodes, which have failed: the pairs of a live daemon and a failed node
// in which the daemon's membership view does not list the node as dead. In other availability zones only representatives
// count, because only they track the nodes.
func (n *network) countStaleLive(first int) int {
	count := 0
	for _, observer := range n.nodes {
		if observer.stopped || observer.zone != n.nodes[0].zone && !observer.IsRepresentative() {
			continue
		}
		for _, failed := range n.nodes[:first] {
			if m, ok := observer.Member(failed.address); ok && m.State != packer.StateDead {
				count++
			}
		}
	}
	return count
}

// measureRestartWave restarts half of an availability zone within 30 s and measures the time until 99.9% of the pairs of
// daemons know each other with the current incarnations.
func measureRestartWave(seed uint64, size int, out *table) error {
	n, err := newNetwork(seed, 1, size)
	if err != nil {
		return err
	}
	n.run(settleTime)
	next := 0
	took, mean, peak := n.runMeasured(3*time.Minute, func() bool {
		for range max(1, size/60) {
			if next < size/2 {
				_ = n.startNode(n.nodes[next])
				next++
			}
		}
		return next >= size/2 && n.countUnknown() <= size*(size-1)/1000
	})
	out.addRow(fmt.Sprintf("restart of half the zone (%d a second)", max(1, size/60)), fmt.Sprintf("1 zone of %d", size), took,
		mean, peak)
	return nil
}

// countUnknown counts the pairs of daemons of an availability zone in which the first does not know the second as live with its
// current incarnation.
func (n *network) countUnknown() int {
	count := 0
	for _, observer := range n.nodes {
		for _, other := range n.nodes {
			if observer.zone != other.zone || observer == other {
				continue
			}
			if m, ok := observer.Member(other.address); !ok || m.State == packer.StateDead || m.Incarnation != other.incarnation {
				count++
			}
		}
	}
	return count
}

// measureZoneLoss measures the loss of one of nine availability zones at once.
func measureZoneLoss(seed uint64, size int, out *table) error {
	n, err := newNetwork(seed, placeCount, size)
	if err != nil {
		return err
	}
	n.run(settleTime)
	for _, nd := range n.nodes[:size] {
		nd.stopped = true
	}
	took, mean, peak := n.runMeasured(2*time.Minute, func() bool { return n.countStaleLive(size) == 0 })
	out.addRow("loss of an availability zone", fmt.Sprintf("9 zones of %d", size), took, mean, peak)
	return nil
}

// measureRegionPartition separates one of three regions from the others for two minutes, in which the others get a new
// revision. It measures the time from the end of the partition until all daemons of the region have learned that revision
// from heartbeats alone.
func measureRegionPartition(seed uint64, size int, out *table) error {
	n, err := newNetwork(seed, placeCount, size)
	if err != nil {
		return err
	}
	n.run(settleTime)
	inRegion := func(nd *node) bool { return nd.index < 3*size }
	n.isPartitioned = func(a, b *node) bool { return inRegion(a) != inRegion(b) }
	n.run(30 * time.Second)
	for _, nd := range n.nodes {
		if !inRegion(nd) {
			n.setRevision(nd, 2)
		}
	}
	_, mean, peak := n.runMeasured(90*time.Second, nil)
	out.addRow("region cut off for 2 min: during", fmt.Sprintf("9 zones of %d", size), "-", mean, peak)
	n.isPartitioned = nil
	took, mean, peak := n.runMeasured(2*time.Minute, func() bool {
		for _, nd := range n.nodes {
			if nd.revision < 2 {
				return false
			}
		}
		return true
	})
	out.addRow("region cut off: revision by heartbeats after the partition", fmt.Sprintf("9 zones of %d", size), took, mean, peak)
	return nil
}
