package binder_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/binder"
)

// TestSocketReopened guards against a daemon that goes on without its socket, or keeps a core busy, after the socket became unusable.
func TestSocketReopened(t *testing.T) {
	g := NewWithT(t)
	var latest *net.UDPConn
	c := binder.Config{Bind: netip.MustParseAddrPort("127.0.0.1:0"), Network: "udp4", Key: "entry.bind", Logger: zap.NewNop()}
	s, err := binder.OpenSocket(t.Context(), c, func(conn *net.UDPConn) { latest = conn })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(latest.Close()).To(Succeed())
	received := make(chan string, 1)
	var group errgroup.Group
	group.Go(func() error {
		b := make([]byte, 16)
		for {
			n, _, err := s.ReadFromUDPAddrPort(b)
			if err != nil {
				return err
			}
			received <- string(b[:n])
		}
	})
	g.Eventually(s.Reopened).WithTimeout(5 * time.Second).Should(Equal(uint64(1)))
	sender, err := net.Dial("udp4", s.LocalAddr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = sender.Close() }()
	_, err = sender.Write([]byte("packet"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(received).WithTimeout(5 * time.Second).Should(Receive(Equal("packet")))
	g.Expect(s.Close()).To(Succeed())
	g.Expect(group.Wait()).To(MatchError(net.ErrClosed))
}

// TestFailingReads guards against a permanent error of a read that keeps a core busy: with a deadline in the past, each read fails.
func TestFailingReads(t *testing.T) {
	g := NewWithT(t)
	c := binder.Config{Bind: netip.MustParseAddrPort("127.0.0.1:0"), Network: "udp4", Key: "entry.bind", Logger: zap.NewNop()}
	s, err := binder.OpenSocket(t.Context(), c, func(conn *net.UDPConn) { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = s.Close() }()
	reads := 0
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); reads++ {
		_, _, err := s.ReadFromUDPAddrPort(make([]byte, 16))
		g.Expect(err).To(HaveOccurred())
	}
	g.Expect(reads).To(BeNumerically("<", 50))
}
