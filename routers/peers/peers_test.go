package peers_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/routers/peers"
)

type documents struct {
	mu       sync.Mutex
	versions packer.Versions
	highest  uint64 // settings revision that a peer announced
}

func (d *documents) Versions() packer.Versions { return d.versions }

func (d *documents) HandleVersions(_ netip.AddrPort, v packer.Versions) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.highest = max(d.highest, v.Settings.Revision)
}

func (d *documents) highestRevision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.highest
}

func newPeers(t testing.TB, change func(*peers.Config)) *peers.Peers {
	c := peers.Config{
		Bind: netip.MustParseAddrPort("127.0.0.1:0"), AvailabilityZone: "souillac", Incarnation: uint64(time.Now().UnixMilli()),
		Key: [packer.KeySize]byte{1}, Random: rand.New(rand.NewPCG(1, 2)),
	}
	change(&c)
	p, err := peers.New(c)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func run(t testing.TB, p *peers.Peers) { t.Cleanup(runUntil(t, p)) }

// runUntil runs p until stop is called, which returns when p has ended.
func runUntil(t testing.TB, p *peers.Peers) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return p.Run(ctx) })
	return func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	}
}

func ExampleNew() {
	p, err := peers.New(peers.Config{
		Bind: netip.MustParseAddrPort("127.0.0.1:0"), AvailabilityZone: "souillac", Incarnation: 1, Random: rand.New(rand.NewPCG(1, 1)),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	fmt.Println(len(p.ZoneMembers()), p.Run(ctx))
	// Output: 1 <nil>
}

// TestTwoDaemons guards against daemons that do not discover each other, heartbeats without document versions, and a
// gate-forward datagram that arrives without its addresses or payload.
func TestTwoDaemons(t *testing.T) {
	g := NewWithT(t)
	first := newPeers(t, func(*peers.Config) {})
	second := newPeers(t, func(c *peers.Config) { c.Seeds = []netip.AddrPort{first.Address()} })
	sent, received := &documents{versions: packer.Versions{Settings: packer.Version{Revision: 9}}}, &documents{}
	first.SetDocuments(sent)
	second.SetDocuments(received)
	run(t, first)
	run(t, second)
	g.Eventually(first.ZoneMembers, 5*time.Second).Should(ConsistOf(first.Address(), second.Address()))
	g.Eventually(received.highestRevision, 5*time.Second).Should(Equal(uint64(9)))
	g.Expect(second.IsLive(first.Address())).To(BeTrue())
	f := peers.GateForward{
		Caller: netip.MustParseAddrPort("10.0.0.9:5000"), Service: netip.MustParseAddrPort("10.9.0.1:7000"), Datagram: []byte("execute"),
	}
	g.Expect(second.ForwardToGate(first.Address(), f)).To(BeTrue())
	g.Eventually(first.GateForwards(), 2*time.Second).Should(Receive(Equal(f)))
	second.Leave()
	g.Eventually(first.ZoneMembers, 2*time.Second).Should(ConsistOf(first.Address()))
}

// TestThroughRelay guards against replies to the UDP source address instead of the advertised one. They differ if datagrams
// pass through a relay.
func TestThroughRelay(t *testing.T) {
	g := NewWithT(t)
	relaySocket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	g.Expect(err).NotTo(HaveOccurred())
	defer relaySocket.Close()
	advertised := relaySocket.LocalAddr().(*net.UDPAddr).AddrPort()
	bound, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	g.Expect(err).NotTo(HaveOccurred())
	relayed := newPeers(t, func(c *peers.Config) { c.Advertise, c.Conn = advertised, bound })
	var relayLoop errgroup.Group
	relayLoop.Go(func() error {
		b := make([]byte, 2000)
		for {
			n, _, err := relaySocket.ReadFromUDPAddrPort(b)
			if err != nil {
				return nil // the test closed the socket
			}
			_, _ = relaySocket.WriteToUDPAddrPort(b[:n], bound.LocalAddr().(*net.UDPAddr).AddrPort())
		}
	})
	other := newPeers(t, func(c *peers.Config) { c.Seeds = []netip.AddrPort{advertised} })
	run(t, relayed)
	run(t, other)
	g.Eventually(other.ZoneMembers, 5*time.Second).Should(ContainElement(advertised))
	g.Eventually(relayed.ZoneMembers, 5*time.Second).Should(ContainElement(other.Address()))
}

// TestForgedAndReplayedDropped guards against processing datagrams that are replayed or sealed with another key.
func TestForgedAndReplayedDropped(t *testing.T) {
	g := NewWithT(t)
	p := newPeers(t, func(*peers.Config) {})
	run(t, p)
	advertised := netip.MustParseAddrPort("127.0.0.1:9")
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.Address()))
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	for key, count := range map[byte]int{1: 3, 2: 1} {
		datagramPacker, err := packer.New(packer.Config{Key: [packer.KeySize]byte{key}, Self: advertised, Incarnation: 1})
		g.Expect(err).NotTo(HaveOccurred())
		b, err := datagramPacker.Pack(nil, time.Now(), p.Address(), &packer.Datagram{Kind: packer.KindAck})
		g.Expect(err).NotTo(HaveOccurred())
		for range count {
			_, err = conn.Write(b)
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
	g.Eventually(func() uint64 { return p.DropCounts()["replayed"] }, 2*time.Second).Should(Equal(uint64(2)))
	g.Eventually(func() uint64 { return p.DropCounts()["forged"] }, 2*time.Second).Should(Equal(uint64(1)))
	g.Expect(p.Traffic()[packer.KindAck].ReceivedDatagrams).To(Equal(uint64(1)))
}
