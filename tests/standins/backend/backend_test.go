package main

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/verifier"
)

// testBalancer exchanges packets with a backend server as a balancer does.
type testBalancer struct {
	g    *WithT
	s    *server
	conn *net.UDPConn
}

func startServer(t *testing.T, c config) *testBalancer {
	g := NewWithT(t)
	c.address, c.service, c.readingInterval = netip.MustParseAddrPort("127.0.0.1:0"), "ovenwatch", 100*time.Millisecond
	s, err := newServer(c)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return s.readPackets(ctx) })
	group.Go(func() error { return s.runTicks(ctx) })
	conn, err := net.DialUDP("udp4", nil, s.conn.LocalAddr().(*net.UDPAddr))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		cancel()
		g.Expect(group.Wait()).To(Succeed())
		g.Expect(conn.Close()).To(Succeed())
	})
	return &testBalancer{g: g, s: s, conn: conn}
}

func (b *testBalancer) send(v encapsulator.Verb, change func(*encapsulator.Packet)) {
	a := netip.MustParseAddrPort("127.3.1.1:9")
	packet := encapsulator.Packet{Caller: a, Service: a, ServiceName: "ovenwatch", Verb: v, Payload: []byte("ovenwatch/key;work=60ms")}
	change(&packet)
	datagram, err := encapsulator.Append(nil, &packet)
	b.g.Expect(err).NotTo(HaveOccurred())
	_, err = b.conn.Write(datagram)
	b.g.Expect(err).NotTo(HaveOccurred())
}

func (b *testBalancer) receive() encapsulator.Packet {
	buf := make([]byte, datagramSize)
	b.g.Expect(b.conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	n, err := b.conn.Read(buf)
	b.g.Expect(err).NotTo(HaveOccurred())
	var packet encapsulator.Packet
	b.g.Expect(encapsulator.Parse(buf[:n], &packet)).To(Succeed())
	return packet
}

// TestAttemptOnce guards against a second run of an attempt whose packet arrives twice, and against an answer that a caller
// cannot verify.
func TestAttemptOnce(t *testing.T) {
	b := startServer(t, config{slots: 1, maxQueued: 1, maxParts: 1})
	run := func(p *encapsulator.Packet) { p.AttemptID, p.CallID = 7, [16]byte{1} }
	b.send(encapsulator.VerbRun, run)
	b.send(encapsulator.VerbRun, run)
	b.g.Expect(b.receive().Verb).To(Equal(encapsulator.VerbRunning))
	for range 2 {
		p := b.receive()
		b.g.Expect(p.Verb).To(Equal(encapsulator.VerbAnswer))
		b.g.Expect(p.Payload).To(Equal(verifier.Part("ovenwatch", [16]byte{1}, 0)))
		b.send(encapsulator.VerbFetch, func(p *encapsulator.Packet) { p.CallID, p.Payload = [16]byte{1}, nil })
	}
	b.g.Expect(b.s.ledgerCopy().Runs).To(HaveLen(1))
}

// TestRefusedStaysRefused guards against a run of an attempt that was refused before, or whose cancellation was confirmed, when
// its packet arrives again.
func TestRefusedStaysRefused(t *testing.T) {
	b := startServer(t, config{slots: 1, maxQueued: 0, maxParts: 1})
	for id, answer := range []encapsulator.Verb{encapsulator.VerbAnswer, encapsulator.VerbRefused, encapsulator.VerbCanceled} {
		verb := encapsulator.VerbRun
		if answer == encapsulator.VerbCanceled {
			verb = encapsulator.VerbCancel
		}
		b.send(verb, func(p *encapsulator.Packet) { p.AttemptID, p.CallID = uint64(id+1), [16]byte{byte(id)} })
	}
	b.g.Expect(b.receive()).To(HaveField("Cause", uint8(framer.CauseShed)))
	b.g.Expect(b.receive().Verb).To(Equal(encapsulator.VerbCanceled))
	b.g.Expect(b.receive().Verb).To(Equal(encapsulator.VerbAnswer))
	b.send(encapsulator.VerbRun, func(p *encapsulator.Packet) { p.AttemptID, p.CallID = 2, [16]byte{1} })
	b.g.Expect(b.receive().Verb).To(Equal(encapsulator.VerbRefused))
	b.send(encapsulator.VerbRun, func(p *encapsulator.Packet) { p.AttemptID, p.CallID = 3, [16]byte{2} })
	b.g.Expect(b.receive().Verb).To(Equal(encapsulator.VerbCanceled))
	b.g.Expect(b.s.ledgerCopy().Runs).To(HaveLen(1))
}

// TestReadings guards against gaps, wrong content and missing retransmissions in a feed, and against feeds of another service.
func TestReadings(t *testing.T) {
	b := startServer(t, config{slots: 1, maxFeeds: 1})
	b.send(encapsulator.VerbOpen, func(p *encapsulator.Packet) { p.ServiceName = "recipecard" })
	b.g.Expect(b.receive()).To(HaveField("Cause", uint8(framer.CauseWrongService)))
	from := verifier.ReadingNumber(time.Now(), 100*time.Millisecond) - 3
	b.send(encapsulator.VerbOpen, func(p *encapsulator.Packet) { p.CallID, p.Payload, p.Seq = [16]byte{1}, []byte("oven-7"), from })
	b.g.Expect(b.receive()).To(HaveField("Verb", encapsulator.VerbAccepted))
	seen := map[uint64]int{}
	for range 9 {
		p := b.receive()
		b.g.Expect(p.Payload).To(Equal(verifier.Reading("ovenwatch", "oven-7", p.Seq)))
		seen[p.Seq]++
	}
	b.g.Expect(seen[from+1]).To(BeNumerically(">", 1), "unacknowledged readings are retransmitted")
	b.g.Expect(seen).To(HaveKey(from + 2))
	b.send(encapsulator.VerbFeed, func(p *encapsulator.Packet) { p.CallID = [16]byte{9} })
	b.g.Eventually(b.receive).Should(HaveField("Verb", encapsulator.VerbEnded))
}
