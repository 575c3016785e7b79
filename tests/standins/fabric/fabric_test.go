package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

func serveAt(t *testing.T, ip string, h http.HandlerFunc) netip.AddrPort {
	l, err := net.Listen("tcp4", ip+":0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := &httptest.Server{Listener: l, Config: &http.Server{Handler: h}}
	s.Start()
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(l.Addr().String())
}

// freeAddress returns an address whose port is free for TCP and for UDP: the fabric listens on both at PeerAdvertise.
func freeAddress(t *testing.T, ip string) netip.AddrPort {
	for range 100 {
		l, err := net.Listen("tcp4", ip+":0")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		a := netip.MustParseAddrPort(l.Addr().String())
		c, err := listenUDP(a)
		NewWithT(t).Expect(l.Close()).To(Succeed())
		if err == nil {
			NewWithT(t).Expect(c.Close()).To(Succeed())
			return a
		}
	}
	t.Fatal("no port is free for TCP and UDP")
	return netip.AddrPort{}
}

func udpAt(t *testing.T, a string) (*net.UDPConn, netip.AddrPort) {
	c, err := listenUDP(netip.MustParseAddrPort(a))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	return c, netip.MustParseAddrPort(c.LocalAddr().String())
}

func read(g *WithT, c *net.UDPConn) (string, netip.AddrPort) {
	g.Expect(c.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	buf := make([]byte, 100)
	n, from, err := c.ReadFromUDPAddrPort(buf)
	g.Expect(err).NotTo(HaveOccurred())
	return string(buf[:n]), from
}

// TestPaths guards against a balancer that receives datagrams from another source IP than the caller's, a caller that gets its
// reply from another address than the service's, and control traffic that passes a partition.
func TestPaths(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	platform := serveAt(t, "127.0.0.1", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.RemoteAddr) })
	entry, entryAddress := udpAt(t, "127.1.1.1:0")
	peer, peerAddress := udpAt(t, "127.1.1.1:0")
	f := newFabric(ctx, &group, admin.FabricConfig{Seed: 1, Platform: platform})
	b := admin.FabricBalancer{
		Name: "b", AvailabilityZone: 1, Entry: entryAddress.Addr(), PeerBind: peerAddress,
		Metrics: serveAt(t, "127.1.1.1", func(http.ResponseWriter, *http.Request) {}),
	}
	b.PeerAdvertise, b.PlatformRelay = freeAddress(t, "127.1.1.1"), freeAddress(t, "127.1.1.1")
	g.Expect(f.addBalancer(b)).To(Succeed())
	service := netip.AddrPortFrom(netip.MustParseAddr("127.0.53.8"), entryAddress.Port())
	g.Expect(f.addService(admin.FabricService{Name: "s", Address: service})).To(Succeed())
	t.Cleanup(func() {
		cancel()
		f.closeCallers(time.Now().Add(time.Hour))
		g.Expect(group.Wait()).To(Succeed())
	})
	g.Eventually(func() bool { return f.counterReport().Live["b"] }).Should(BeTrue())

	caller, callerAddress := udpAt(t, "127.3.1.1:0")
	_, err := caller.WriteToUDPAddrPort([]byte("ask"), service)
	g.Expect(err).NotTo(HaveOccurred())
	text, from := read(g, entry)
	g.Expect(text).To(Equal("ask"))
	g.Expect(from.Addr()).To(Equal(callerAddress.Addr()))
	_, err = entry.WriteToUDPAddrPort([]byte("reply"), from)
	g.Expect(err).NotTo(HaveOccurred())
	text, from = read(g, caller)
	g.Expect(text).To(Equal("reply"))
	g.Expect(from).To(Equal(service))

	other, _ := udpAt(t, "127.1.2.1:0")
	g.Expect(f.setFaults(admin.FabricFaults{CutZones: [][2]int{{2, 1}}, CutPlatform: []int{2}})).To(Succeed())
	_, err = other.WriteToUDPAddrPort([]byte("cut"), b.PeerAdvertise)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() uint64 { return f.counters.snapshot()["peer-datagrams-cut"] }).Should(Equal(uint64(1)))
	g.Expect(f.setFaults(admin.FabricFaults{})).To(Succeed())
	_, err = other.WriteToUDPAddrPort([]byte("open"), b.PeerAdvertise)
	g.Expect(err).NotTo(HaveOccurred())
	text, from = read(g, peer)
	g.Expect(text).To(Equal("open"))
	g.Expect(from.Addr().String()).To(Equal("127.1.2.1"))

	body, err := admin.Do(http.MethodGet, "http://"+b.PlatformRelay.String(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(HavePrefix("127.1.1.1:"))
}
