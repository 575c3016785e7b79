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

// peer plays the balancer towards one backend server.
type peer struct {
	g    *WithT
	s    *server
	conn *net.UDPConn
}

func startServer(t *testing.T, c config) *peer {
	g := NewWithT(t)
	c.address, c.service, c.period = netip.MustParseAddrPort("127.0.0.1:0"), "ovenwatch", 100*time.Millisecond
	s, err := newServer(c)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return s.read(ctx) })
	group.Go(func() error { return s.tick(ctx) })
	conn, err := net.DialUDP("udp4", nil, s.conn.LocalAddr().(*net.UDPAddr))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		cancel()
		g.Expect(group.Wait()).To(Succeed())
		g.Expect(conn.Close()).To(Succeed())
	})
	return &peer{g: g, s: s, conn: conn}
}

func (p *peer) send(v encapsulator.Verb, change func(*encapsulator.Packet)) {
	a := netip.MustParseAddrPort("127.3.1.1:9")
	k := encapsulator.Packet{Caller: a, Service: a, Authority: "ovenwatch", Verb: v, Payload: []byte("ovenwatch/key;work=60ms")}
	change(&k)
	b, err := encapsulator.Append(nil, &k)
	p.g.Expect(err).NotTo(HaveOccurred())
	_, err = p.conn.Write(b)
	p.g.Expect(err).NotTo(HaveOccurred())
}

func (p *peer) receive() encapsulator.Packet {
	buf := make([]byte, datagramSize)
	p.g.Expect(p.conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	n, err := p.conn.Read(buf)
	p.g.Expect(err).NotTo(HaveOccurred())
	var k encapsulator.Packet
	p.g.Expect(encapsulator.Parse(buf[:n], &k)).To(Succeed())
	return k
}

// TestAttemptOnce guards against a second run of one attempt, and against an answer that a caller cannot verify.
func TestAttemptOnce(t *testing.T) {
	p := startServer(t, config{slots: 1, queue: 1, parts: 1})
	run := func(k *encapsulator.Packet) { k.Attempt, k.Call = 7, [16]byte{1} }
	p.send(encapsulator.VerbRun, run)
	p.send(encapsulator.VerbRun, run)
	p.g.Expect(p.receive().Verb).To(Equal(encapsulator.VerbRunning))
	for range 2 {
		k := p.receive()
		p.g.Expect(k.Verb).To(Equal(encapsulator.VerbAnswer))
		p.g.Expect(k.Payload).To(Equal(verifier.Part("ovenwatch", [16]byte{1}, 0)))
		p.send(encapsulator.VerbFetch, func(k *encapsulator.Packet) { k.Call, k.Payload = [16]byte{1}, nil })
	}
	p.g.Expect(p.s.ledgerCopy().Runs).To(HaveLen(1))
}

// TestRefusedStaysRefused guards against a run of an attempt that was refused or whose cancel was confirmed before.
func TestRefusedStaysRefused(t *testing.T) {
	p := startServer(t, config{slots: 1, queue: 0, parts: 1})
	for id, answer := range []encapsulator.Verb{encapsulator.VerbAnswer, encapsulator.VerbRefused, encapsulator.VerbCanceled} {
		verb := encapsulator.VerbRun
		if answer == encapsulator.VerbCanceled {
			verb = encapsulator.VerbCancel
		}
		p.send(verb, func(k *encapsulator.Packet) { k.Attempt, k.Call = uint64(id+1), [16]byte{byte(id)} })
	}
	p.g.Expect(p.receive()).To(HaveField("Cause", uint8(framer.CauseShed)))
	p.g.Expect(p.receive().Verb).To(Equal(encapsulator.VerbCanceled))
	p.g.Expect(p.receive().Verb).To(Equal(encapsulator.VerbAnswer))
	p.send(encapsulator.VerbRun, func(k *encapsulator.Packet) { k.Attempt, k.Call = 2, [16]byte{1} })
	p.g.Expect(p.receive().Verb).To(Equal(encapsulator.VerbRefused))
	p.send(encapsulator.VerbRun, func(k *encapsulator.Packet) { k.Attempt, k.Call = 3, [16]byte{2} })
	p.g.Expect(p.receive().Verb).To(Equal(encapsulator.VerbCanceled))
	p.g.Expect(p.s.ledgerCopy().Runs).To(HaveLen(1))
}

// TestReadings guards against gaps, wrong content and lost resends in a feed, and against feeds of another service.
func TestReadings(t *testing.T) {
	p := startServer(t, config{slots: 1, connections: 1})
	p.send(encapsulator.VerbOpen, func(k *encapsulator.Packet) { k.Authority = "recipecard" })
	p.g.Expect(p.receive()).To(HaveField("Cause", uint8(framer.CauseWrongService)))
	from := verifier.ReadingNumber(time.Now(), 100*time.Millisecond) - 3
	p.send(encapsulator.VerbOpen, func(k *encapsulator.Packet) { k.Call, k.Payload, k.Seq = [16]byte{1}, []byte("oven-7"), from })
	p.g.Expect(p.receive()).To(HaveField("Verb", encapsulator.VerbAccepted))
	seen := map[uint64]int{}
	for range 9 {
		k := p.receive()
		p.g.Expect(k.Payload).To(Equal(verifier.Reading("ovenwatch", "oven-7", k.Seq)))
		seen[k.Seq]++
	}
	p.g.Expect(seen[from+1]).To(BeNumerically(">", 1), "unacknowledged readings are sent again")
	p.g.Expect(seen).To(HaveKey(from + 2))
	p.send(encapsulator.VerbFeed, func(k *encapsulator.Packet) { k.Call = [16]byte{9} })
	p.g.Eventually(p.receive).Should(HaveField("Verb", encapsulator.VerbEnded))
}
