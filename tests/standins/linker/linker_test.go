package linker_test

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

	"github.com/bluebelldyke/bluebelldyke/tests/standins/linker"
)

var anyLoopbackPort = netip.MustParseAddrPort("127.0.0.1:0")

func freeAddress(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp4", anyLoopbackPort.String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// start runs a link until the test ends.
func start(t *testing.T, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// TestDatagrams guards against a link that injects no faults, or still injects them after they were cleared. The soak test
// would then pass without testing anything.
func TestDatagrams(t *testing.T) {
	g := NewWithT(t)
	sink, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(anyLoopbackPort))
	g.Expect(err).NotTo(HaveOccurred())
	defer sink.Close()
	bind := freeAddress(t)
	d, err := linker.NewDatagramLink(bind, sink.LocalAddr().(*net.UDPAddr).AddrPort(), 1)
	g.Expect(err).NotTo(HaveOccurred())
	start(t, d.Run)
	sender, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(bind))
	g.Expect(err).NotTo(HaveOccurred())
	defer sender.Close()
	arrive := func(n int) int {
		for range n {
			_, err := sender.Write([]byte("x"))
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(sink.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		count := 0
		for b := make([]byte, 10); ; count++ {
			if _, err := sink.Read(b); err != nil {
				return count
			}
		}
	}
	g.Expect(arrive(50)).To(Equal(50))
	d.SetFault(linker.DatagramFault{Loss: 0.5, Duplicate: 0.5})
	g.Expect(arrive(200)).To(BeNumerically("~", 150, 50))
	d.SetFault(linker.DatagramFault{Cut: func(from netip.Addr) bool { return from == netip.MustParseAddr("127.0.0.1") }})
	g.Expect(arrive(50)).To(BeZero())
	d.SetFault(linker.DatagramFault{Delay: 300 * time.Millisecond})
	g.Expect(arrive(10)).To(BeZero(), "they are still delayed")
	time.Sleep(250 * time.Millisecond)
	d.SetFault(linker.DatagramFault{})
	g.Expect(arrive(0)).To(Equal(10))
}

// TestStreams guards against a link whose faults don't affect connections. The soak test would then pass without testing
// anything.
func TestStreams(t *testing.T) {
	g := NewWithT(t)
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
	defer web.Close()
	bind := freeAddress(t)
	s, err := linker.NewStreamLink(bind, netip.MustParseAddrPort(web.Listener.Addr().String()))
	g.Expect(err).NotTo(HaveOccurred())
	start(t, s.Run)
	client := http.Client{Timeout: 300 * time.Millisecond}
	get := func() error {
		response, err := client.Get("http://" + bind.String())
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		return err
	}
	g.Expect(get()).To(Succeed())
	s.StallOpenConnections()
	g.Expect(get()).To(MatchError(ContainSubstring("Timeout")), "the open connection is stalled")
	g.Expect(get()).To(Succeed(), "a new connection works")
	s.SetFault(linker.StreamFault{HoldToClient: true})
	g.Expect(get()).NotTo(Succeed())
	s.SetFault(linker.StreamFault{HoldToServer: true})
	g.Expect(get()).NotTo(Succeed())
	s.SetFault(linker.StreamFault{Delay: 100 * time.Millisecond})
	began := time.Now()
	g.Expect(get()).To(Succeed())
	g.Expect(time.Since(began)).To(BeNumerically(">=", 200*time.Millisecond))
	s.SetFault(linker.StreamFault{})
	s.ResetOpenConnections()
	g.Eventually(get).Should(Succeed())
}
