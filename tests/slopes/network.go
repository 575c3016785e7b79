package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/services/examiner"
	"github.com/bluebelldyke/bluebelldyke/services/gossiper"
)

const (
	step = 20 * time.Millisecond
	// zoneDelay is the one-way delay between availability zones, insideDelay the one inside.
	zoneDelay   = 4 * time.Millisecond
	insideDelay = time.Millisecond
)

// network runs the membership core of a fleet in virtual time. Datagrams are packed to know their size.
type network struct {
	now     time.Time
	random  *rand.Rand
	cut     func(a, b *node) bool
	nodes   []*node
	find    map[netip.AddrPort]*node
	flight  flight
	order   uint64
	hints   []gossiper.Candidate
	perZone int
	checks  *checks // nil: no health checks
}

type node struct {
	*gossiper.Gossiper
	index       int
	address     netip.AddrPort
	zone        string
	incarnation uint64
	packer      *packer.Packer
	down        bool
	revision    uint64
	window      windowCount
	examiner    *examiner.Examiner
	failed      map[netip.AddrPort]bool // backend servers that the verdicts hold for failed
	changed     bool                    // the membership view, since the examiner saw it
}

// windowCount counts the bytes sent in a window, with IP and UDP headers.
type windowCount struct{ datagrams, bytes uint64 }

type packet struct {
	at    time.Time
	order uint64
	to    *node
	d     packer.Datagram
}

type flight []packet

// Len implements heap.Interface.
func (f flight) Len() int { return len(f) }

// Less implements heap.Interface.
func (f flight) Less(i, j int) bool {
	return f[i].at.Before(f[j].at) || f[i].at.Equal(f[j].at) && f[i].order < f[j].order
}

// Swap implements heap.Interface.
func (f flight) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

// Push implements heap.Interface.
func (f *flight) Push(x any) { *f = append(*f, x.(packet)) }

// Pop implements heap.Interface.
func (f *flight) Pop() any {
	old := *f
	x := old[len(old)-1]
	*f = old[:len(old)-1]
	return x
}

func newNetwork(seed uint64, zones, perZone int) (*network, error) {
	return newCheckingNetwork(seed, zones, perZone, nil)
}

func newCheckingNetwork(seed uint64, zones, perZone int, c *checks) (*network, error) {
	n := &network{
		checks: c,
		now:    time.UnixMilli(1_800_000_000_000), random: rand.New(rand.NewPCG(seed, 7)),
		find: make(map[netip.AddrPort]*node), perZone: perZone,
	}
	for z := range zones {
		for i := range perZone {
			x := &node{index: len(n.nodes), address: address(10+z, i, 7100), zone: fmt.Sprintf("place-%d", z)}
			n.nodes = append(n.nodes, x)
			n.find[x.address] = x
			n.hints = append(n.hints, gossiper.Candidate{Address: x.address, AvailabilityZone: x.zone})
		}
	}
	for _, x := range n.nodes {
		if err := n.boot(x); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// boot starts a new process of a node.
func (n *network) boot(x *node) error {
	x.incarnation = uint64(n.now.UnixMilli())
	x.Gossiper = gossiper.New(gossiper.Config{
		Self: x.address, AvailabilityZone: x.zone, Incarnation: x.incarnation, Seeds: []netip.AddrPort{n.nodes[0].address},
		Random: rand.New(rand.NewPCG(n.random.Uint64(), 3)),
	})
	x.SetCandidates(n.hints)
	x.down = false
	var err error
	x.packer, err = packer.New(packer.Config{Self: x.address, Incarnation: x.incarnation})
	if n.checks != nil {
		n.checks.boot(n, x)
	}
	return err
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(step) {
		for len(n.flight) > 0 && !n.flight[0].at.After(n.now) {
			p := heap.Pop(&n.flight).(packet)
			if !p.to.down {
				n.act(p.to, p.to.Receive(n.now, p.d))
			}
		}
		phase := int(n.now.UnixMilli() / step.Milliseconds() % 5)
		for i := phase; i < len(n.nodes); i += 5 {
			if x := n.nodes[i]; !x.down {
				n.act(x, x.Tick(n.now))
			}
		}
		if n.checks != nil {
			n.checks.step(n)
		}
	}
}

func (n *network) act(x *node, actions []gossiper.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case gossiper.Send:
			n.send(x, a)
		case gossiper.VersionsReceived:
			if a.Versions.Settings.Revision > x.revision {
				n.hold(x, a.Versions.Settings.Revision)
			}
		case gossiper.MemberChanged:
			x.changed = true
		case gossiper.ReportsReceived:
			if x.examiner != nil {
				x.examiner.ReceiveReports(n.now, a.Reports)
			}
		}
	}
}

func (n *network) hold(x *node, revision uint64) {
	x.revision = revision
	x.SetVersions(packer.Versions{Settings: packer.Version{Revision: revision, DigestPrefix: ^uint64(0)}})
}

func (n *network) send(x *node, s gossiper.Send) {
	b, err := x.packer.Pack(nil, n.now, s.To, &s.Datagram)
	if err != nil {
		return
	}
	x.window.datagrams++
	x.window.bytes += uint64(len(b)) + headers
	to, ok := n.find[s.To]
	if !ok || n.cut != nil && n.cut(x, to) {
		return
	}
	delay := insideDelay
	if x.zone != to.zone {
		delay = zoneDelay
	}
	n.order++
	heap.Push(&n.flight, packet{n.now.Add(delay), n.order, to, s.Datagram})
}

// takeWindow returns the bytes of each live node since the last call.
func (n *network) takeWindow() []windowCount {
	var list []windowCount
	for _, x := range n.nodes {
		if !x.down {
			list = append(list, x.window)
		}
		x.window = windowCount{}
	}
	return list
}

// runCounted runs in steps of a second and returns the highest mean and the highest single rate of bytes per second.
func (n *network) runCounted(d time.Duration, until func() bool) (took time.Duration, mean, peak float64) {
	n.takeWindow()
	for took = 0; took < d; {
		n.run(time.Second)
		took += time.Second
		sum := uint64(0)
		window := n.takeWindow()
		for _, w := range window {
			sum += w.bytes
			peak = max(peak, float64(w.bytes))
		}
		mean = max(mean, float64(sum)/float64(max(1, len(window))))
		if until != nil && until() {
			return took, mean, peak
		}
	}
	return took, mean, peak
}
