package integration_test

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/modules/sealer"
	"github.com/bluebelldyke/bluebelldyke/tests/harness"
)

const (
	badDatagramCount    = 20_000
	badDatagramInterval = 100 * time.Microsecond
	// finalReplyWait is the time for which replies are read after the last bad datagram.
	finalReplyWait = 500 * time.Millisecond
	// staleAckCount is the number of acknowledgements sent for a feed whose backend server was reassigned: enough for the
	// fabric to send some to each balancer.
	staleAckCount = 40
	// undefinedKind is a datagram kind that the caller protocol does not define.
	undefinedKind         = 32
	maxRandomDatagramSize = 1_500
)

var _ = Describe("services", func() {
	// Guards against packets that reach another service after the address of a backend server was assigned to it (guarantee
	// G2): balancers that were paused during the reassignment resume with a stale view.
	It("stay isolated when a backend server is reassigned from one to the other", func() {
		c := startCluster(standardFleet(41))
		traffic := startTraffic(c, standardLoad(41))
		b := c.Backends("ovenwatch")[0]
		staleFeed := openRawFeed(c, b)
		Expect(c.MarkLeavingInSettings(b)).To(Succeed())
		sleep(4 * time.Second)
		paused := []*harness.Balancer{c.Balancers()[1], c.Balancers()[2]}
		for _, p := range paused {
			p.Pause()
		}
		sleep(time.Second)
		_, err := c.ReassignBackend(b, "recipecard")
		Expect(err).NotTo(HaveOccurred())
		sleep(2 * time.Second)
		for _, p := range paused {
			p.Resume()
		}
		expectSettingsInForce(c, c.LastRevision())
		sleep(3 * time.Second)
		// A caller that ignored the move datagram still has a token that names the backend server.
		Expect(staleFeed.sendAcks(staleAckCount)).To(HaveKey(framer.KindEnded))
		t := stopTraffic(c, traffic)
		Expect(t.WrongService).To(BeZero())
		Expect(t.Failures()).To(BeZero())
	})

	// Guards against packets that reach the other service when two services swap their addresses (guarantee G2) and the
	// balancers update their views at different times. Callers keep using the old addresses, so their flows end.
	It("stay isolated when they swap their addresses", func() {
		c := startCluster(standardFleet(43))
		traffic := startTraffic(c, standardLoad(43))
		paused := c.Balancers()[1]
		paused.Pause()
		n, err := c.EditSettings(func(t *harness.Tree) {
			t.Services["ovenwatch"], t.Services["recipecard"] = t.Services["recipecard"], t.Services["ovenwatch"]
		})
		Expect(err).NotTo(HaveOccurred())
		sleep(2 * time.Second)
		paused.Resume()
		expectSettingsInForce(c, n)
		sleep(time.Second)
		t := stopTraffic(c, traffic)
		Expect(t.WrongService).To(BeZero())
		Expect(t.WrongAnswers + t.DuplicateRuns + t.FalseNotRun).To(BeZero())
	})

	// Guards against invalid datagrams that crash a balancer, reach a backend server or allocate state: random bytes,
	// truncated datagrams, undefined kinds, forged tokens and service IDs of the other service.
	It("refuse invalid datagrams at constant cost while they serve", func() {
		c := startCluster(standardFleet(42))
		traffic := startTraffic(c, standardLoad(42))
		replies := sendBadDatagrams(42, c.ServiceAddress("ovenwatch"), c.ServiceAddress("recipecard"))
		Expect(replies[framer.KindRefused]).To(BeNumerically(">", 0))
		delete(replies, framer.KindRefused)
		Expect(replies).To(BeEmpty(), "any other reply comes from a backend server or from a balancer that accepted a forged token")
		sleep(time.Second)
		expectAllGuarantees(stopTraffic(c, traffic))
		refused := uint64(0)
		for _, b := range c.Balancers() {
			s, err := b.Status()
			Expect(err).NotTo(HaveOccurred())
			refused += s.Counters["malformed"] + s.Counters["bad-token"] + s.Counters["wrong-service"] + s.Counters["unknown-key"]
		}
		Expect(refused).To(BeNumerically(">", badDatagramCount/2), "the counters must show the bad datagrams")
	})
})

// sendBadDatagrams sends invalid datagrams, alternating between the services, and counts the replies by kind.
func sendBadDatagrams(seed uint64, services ...netip.AddrPort) map[framer.Kind]int {
	GinkgoHelper()
	random := rand.New(rand.NewPCG(seed, 0))
	var conns []net.Conn
	var readers errgroup.Group
	var mu sync.Mutex
	replies := map[framer.Kind]int{}
	for _, s := range services {
		conn, err := net.Dial("udp", s.String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
		readers.Go(func() error {
			buf := make([]byte, framer.MaxSize)
			for {
				n, err := conn.Read(buf)
				if err != nil {
					return nil // the read deadline set below has passed
				}
				var d framer.Datagram
				if err := framer.Parse(buf[:n], &d); err != nil {
					return err
				}
				mu.Lock()
				replies[d.Kind]++
				mu.Unlock()
			}
		})
	}
	for i := range badDatagramCount {
		_, _ = conns[i%len(conns)].Write(badDatagram(random))
		time.Sleep(badDatagramInterval)
	}
	for _, conn := range conns {
		Expect(conn.SetReadDeadline(time.Now().Add(finalReplyWait))).To(Succeed())
	}
	Expect(readers.Wait()).To(Succeed())
	return replies
}

// badDatagram returns random bytes, a truncated datagram or a whole datagram with a forged token.
func badDatagram(random *rand.Rand) []byte {
	switch random.IntN(3) {
	case 0:
		b := make([]byte, random.IntN(maxRandomDatagramSize))
		for i := range b {
			b[i] = byte(random.Uint32())
		}
		return b
	case 1:
		b := forgedDatagram(random)
		return b[:random.IntN(len(b))]
	default:
		return forgedDatagram(random)
	}
}

// forgedDatagram returns a well-formed datagram with a token that no balancer issued. Its kind requires a token or is
// undefined.
func forgedDatagram(random *rand.Rand) []byte {
	d := framer.Datagram{
		Kind: framer.KindFeed, ServiceID: framer.ServiceID([]string{"ovenwatch", "recipecard"}[random.IntN(2)]),
		Seq: random.Uint64(), Token: make([]byte, sealer.TokenSize),
	}
	for i := range d.Token {
		d.Token[i] = byte(random.Uint32())
	}
	d.Token[0] = byte(random.IntN(3)) // the key ID: of the key in use or of none
	d.Kind = []framer.Kind{framer.KindFeed, framer.KindExecute, framer.KindFetch, framer.KindCloseFeed, undefinedKind}[random.IntN(5)]
	b, err := framer.Append(nil, &d)
	Expect(err).NotTo(HaveOccurred())
	return b
}
