package gossiper_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/services/gossiper"
)

func ExampleGossiper() {
	now := time.UnixMilli(1_800_000_000_000)
	self, seed := netip.MustParseAddrPort("10.0.0.1:7100"), netip.MustParseAddrPort("10.0.0.2:7100")
	g := gossiper.New(gossiper.Config{
		Self: self, AvailabilityZone: "souillac", Incarnation: 1, Seeds: []netip.AddrPort{seed}, Random: rand.New(rand.NewPCG(1, 1)),
	})
	for _, a := range g.Tick(now) {
		if s, ok := a.(gossiper.Send); ok {
			fmt.Println(s.Datagram.Kind, s.To)
		}
	}
	g.Receive(now, packer.Datagram{
		Kind: packer.KindAck, Sequence: 1, Sender: packer.Member{Address: seed, AvailabilityZone: "souillac", Incarnation: 5},
	})
	fmt.Println(g.Zone())
	// Output:
	// ping 10.0.0.2:7100
	// [10.0.0.1:7100 10.0.0.2:7100]
}

// network carries the datagrams of simulated daemons in virtual time.
type network struct {
	now    time.Time
	random *rand.Rand
	loss   float64
	delay  time.Duration // highest one-way delay
	cut    func(a, b netip.AddrPort) bool
	nodes  []*node
	flight flight
	order  uint64
}

type node struct {
	*gossiper.Gossiper
	address     netip.AddrPort
	zone        string
	incarnation uint64
	paused      bool
	down        bool
	highest     uint64 // revision held: the highest one heard
	seen        map[netip.AddrPort]uint64
}

type packet struct {
	at    time.Time
	order uint64
	to    netip.AddrPort
	d     packer.Datagram
}

type flight []packet

func (f flight) Len() int { return len(f) }
func (f flight) Less(i, j int) bool {
	return f[i].at.Before(f[j].at) || f[i].at.Equal(f[j].at) && f[i].order < f[j].order
}
func (f flight) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f *flight) Push(x any)   { *f = append(*f, x.(packet)) }
func (f *flight) Pop() any {
	old := *f
	x := old[len(old)-1]
	*f = old[:len(old)-1]
	return x
}

func newNetwork(seed uint64, perZone int, zones ...string) *network {
	n := &network{
		now: time.UnixMilli(1_800_000_000_000), random: rand.New(rand.NewPCG(seed, 7)), delay: 4 * time.Millisecond,
	}
	for z, zone := range zones {
		for i := range perZone {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(i / 250), byte(i%250 + 1)}), 7100)
			n.nodes = append(n.nodes, &node{address: address, zone: zone, seen: map[netip.AddrPort]uint64{}})
		}
	}
	for _, x := range n.nodes {
		n.boot(x)
	}
	return n
}

// boot starts a new process of a node, with a larger incarnation.
func (n *network) boot(x *node) {
	x.incarnation = uint64(n.now.UnixMilli())
	x.Gossiper = gossiper.New(gossiper.Config{
		Self: x.address, AvailabilityZone: x.zone, Incarnation: x.incarnation, Seeds: []netip.AddrPort{n.nodes[0].address, n.nodes[1].address},
		Random: rand.New(rand.NewPCG(n.random.Uint64(), 3)),
	})
	var hints []gossiper.Hint
	for _, y := range n.nodes {
		hints = append(hints, gossiper.Hint{Address: y.address, AvailabilityZone: y.zone})
	}
	x.SetHints(hints)
	x.down, x.paused = false, false
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(20 * time.Millisecond) {
		for len(n.flight) > 0 && !n.flight[0].at.After(n.now) {
			p := heap.Pop(&n.flight).(packet)
			for _, x := range n.nodes {
				if x.address == p.to && !x.paused && !x.down {
					n.act(x, x.Receive(n.now, p.d))
				}
			}
		}
		for i, x := range n.nodes {
			if !x.paused && !x.down && n.now.UnixMilli()/20%5 == int64(i%5) {
				n.act(x, x.Tick(n.now))
			}
		}
	}
}

func (n *network) act(x *node, actions []gossiper.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case gossiper.Send:
			if n.random.Float64() < n.loss || n.cut != nil && n.cut(x.address, a.To) {
				continue
			}
			n.order++
			at := n.now.Add(time.Duration(n.random.Int64N(int64(n.delay) + 1)))
			heap.Push(&n.flight, packet{at, n.order, a.To, a.Datagram})
		case gossiper.Heard:
			x.highest = max(x.highest, a.Versions.Settings.Revision)
			x.SetVersions(packer.Versions{Settings: packer.Version{Revision: x.highest}})
		}
	}
}

// missing returns how many (node, member) pairs of one zone do not know each other as live under the true incarnation.
func (n *network) missing() int {
	count := 0
	for _, x := range n.nodes {
		for _, y := range n.nodes {
			if x == y || x.zone != y.zone || x.down || y.down {
				continue
			}
			if m, ok := x.Member(y.address); !ok || m.State != packer.StateAlive || m.Incarnation != y.incarnation {
				count++
			}
		}
	}
	return count
}

// forward fails when a node believes in a smaller incarnation than before.
func (n *network) forward(t *rapid.T) {
	for _, x := range n.nodes {
		for _, m := range x.Members() {
			if m.Incarnation < x.seen[m.Address] {
				t.Fatalf("%s went back from incarnation %d to %d of %s", x.address, x.seen[m.Address], m.Incarnation, m.Address)
			}
			x.seen[m.Address] = m.Incarnation
		}
	}
}

// TestFaultsHeal guards against members lost for good, and incarnations or revisions that go back, under loss, delay,
// pauses, restarts and partitions in any order.
func TestFaultsHeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 9).Draw(t, "size"), "souillac", "bel-ombre")
		n.run(5 * time.Second)
		revision := uint64(0)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			x := n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				n.loss = 0.3
			case 1:
				n.delay = 400 * time.Millisecond
			case 2:
				x.paused = true
				n.run(15 * time.Second)
				x.paused = false
			case 3:
				x.down = true
				n.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "down")) * time.Second)
				n.boot(x)
			case 4:
				half := rapid.IntRange(1, 250).Draw(t, "half")
				n.cut = func(a, b netip.AddrPort) bool {
					return int(a.Addr().As4()[3]) <= half != (int(b.Addr().As4()[3]) <= half)
				}
			case 5:
				revision++
				x.highest = revision
			}
			n.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
			n.forward(t)
			n.loss, n.delay, n.cut = 0, 4*time.Millisecond, nil
		}
		for i := 0; n.missing() > 0; i++ {
			if i == 120 {
				t.Fatalf("%d pairs do not know each other 120 s after the last fault", n.missing())
			}
			n.run(time.Second)
			n.forward(t)
		}
		n.run(8 * time.Second)
		for _, x := range n.nodes {
			if x.highest < revision {
				t.Fatalf("%s holds revision %d, want %d", x.address, x.highest, revision)
			}
		}
	})
}

// TestDeadMemberFound guards against a killed member that stays in the view, and a live one that is taken for dead
// under moderate loss.
func TestDeadMemberFound(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(4, 40, "souillac")
	n.run(30 * time.Second)
	g.Expect(n.missing()).To(BeZero())
	n.nodes[3].down = true
	n.loss = 0.05
	n.run(30 * time.Second)
	for _, x := range n.nodes {
		if x.down {
			continue
		}
		m, ok := x.Member(n.nodes[3].address)
		g.Expect(!ok || m.State == packer.StateDead).To(BeTrue(), "%s believes %v", x.address, m)
		g.Expect(len(x.Zone())).To(Equal(39))
	}
}

// TestLeave guards against duties given to a member that is about to stop.
func TestLeave(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(5, 20, "souillac")
	n.run(20 * time.Second)
	leaver := n.nodes[2]
	n.act(leaver, leaver.Leave(n.now))
	n.run(6 * time.Second)
	for _, x := range n.nodes {
		g.Expect(x.Zone()).NotTo(ContainElement(leaver.address), "%s", x.address)
	}
}

// TestPausedAccusesNobody guards against a paused process that takes its own pause for the silence of others.
func TestPausedAccusesNobody(t *testing.T) {
	n := newNetwork(8, 12, "souillac")
	n.delay = 250 * time.Millisecond // some probe is under way at most times
	n.run(15 * time.Second)
	x := n.nodes[4]
	for i := range 20 {
		n.run(time.Duration(i) * 50 * time.Millisecond) // the pause begins at any point of the probe period
		x.paused = true
		n.run(4 * time.Second)
		x.paused = false
		for _, a := range x.Tick(n.now) {
			if c, ok := a.(gossiper.Changed); ok && c.Member.State != packer.StateAlive {
				t.Fatalf("accuses %s after a pause", c.Member.Address)
			}
		}
		n.run(5 * time.Second)
	}
}

// TestBounded guards against datagrams that grow with the zone.
func TestBounded(t *testing.T) {
	n := newNetwork(6, 200, "souillac")
	p, err := packer.New(packer.Config{Self: n.nodes[0].address, Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		n.run(100 * time.Millisecond)
		for _, f := range n.flight {
			if _, err := p.Pack(nil, n.now, f.to, &f.d); err != nil || len(f.d.Updates) > packer.MaxUpdates {
				t.Fatalf("%d updates: %v", len(f.d.Updates), err)
			}
		}
	}
}

// Guards against a place document whose version no heartbeat carries, and against heartbeats that grow with the number
// of documents.
func TestVersionsRotate(t *testing.T) {
	g := NewWithT(t)
	self, seed := netip.MustParseAddrPort("10.0.0.1:7100"), netip.MustParseAddrPort("10.0.0.2:7100")
	x := gossiper.New(gossiper.Config{Self: self, AvailabilityZone: "souillac", Random: rand.New(rand.NewPCG(1, 1))})
	held := packer.Versions{Settings: packer.Version{Revision: 9}, VMs: packer.Version{Revision: 8}}
	for i := range uint32(5) {
		held.Places = append(held.Places, packer.PlaceVersion{DocumentID: i})
	}
	x.SetVersions(held)
	var seen map[uint32]int
	beat := func(i uint64) {
		actions := x.Receive(time.UnixMilli(1_800_000_000_000), packer.Datagram{
			Kind: packer.KindPing, Sequence: i, Sender: packer.Member{Address: seed, AvailabilityZone: "souillac", Incarnation: 5},
		})
		for _, a := range actions {
			if s, ok := a.(gossiper.Send); ok {
				g.Expect(s.Datagram.Versions.Settings.Revision).To(Equal(uint64(9)))
				g.Expect(s.Datagram.Versions.Places).To(HaveLen(packer.MaxPlaceVersions))
				for _, p := range s.Datagram.Versions.Places {
					seen[p.DocumentID]++
				}
			}
		}
	}
	beats := func(n int) map[uint32]int {
		seen = map[uint32]int{}
		for i := range n {
			beat(uint64(i))
		}
		return seen
	}
	g.Expect(beats(5)).To(Equal(map[uint32]int{0: 2, 1: 2, 2: 2, 3: 2, 4: 2}), "in rotation")
	beats(200) // none counts as changed lately any more
	held.Places = slices.Clone(held.Places)
	held.Places[3].Version.Revision = 2
	x.SetVersions(held)
	g.Expect(beats(5)[3]).To(Equal(5), "a changed document goes first")
	g.Expect(seen).To(HaveLen(5), "the others stay in rotation")
	beats(40)
	g.Expect(beats(5)).To(Equal(map[uint32]int{0: 2, 1: 2, 2: 2, 3: 2, 4: 2}))
}

// Guards against an availability zone without a seed whose daemons never learn of each other: nothing but their seeds in
// another zone can introduce them.
func TestZoneWithoutSeed(t *testing.T) {
	n := newNetwork(8, 20, "souillac", "mahebourg")
	for _, x := range n.nodes {
		x.SetHints(nil)
	}
	n.run(10 * time.Second)
	if m := n.missing(); m > 0 {
		t.Fatalf("%d pairs do not know each other", m)
	}
}
