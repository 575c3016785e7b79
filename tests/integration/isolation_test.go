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
	finalReplyWait      = 500 * time.Millisecond
	// staleAckCount is the number of packets of a feed whose backend server moved, enough to meet each balancer.
	staleAckCount         = 40
	undefinedKind         = 32
	maxRandomDatagramSize = 1_500
)

var _ = Describe("services", func() {
	// Guards against packets that follow an address into another service (G2): balancers that were paused during the
	// whole move still hold the old view when they resume.
	It("stay apart when a backend server moves from one to the other", func() {
		c := startCluster(standardFleet(41))
		traffic := startTraffic(c, standardLoad(41))
		b := c.Backends("ovenwatch")[0]
		staleFeed := openRawFeed(c, b)
		Expect(c.LeaveBySettings(b)).To(Succeed())
		sleep(4 * time.Second)
		paused := []*harness.Balancer{c.Balancers()[1], c.Balancers()[2]}
		for _, p := range paused {
			p.Pause()
		}
		sleep(time.Second)
		_, err := c.Reassign(b, "recipecard")
		Expect(err).NotTo(HaveOccurred())
		sleep(2 * time.Second)
		for _, p := range paused {
			p.Resume()
		}
		expectSettingsInForce(c, c.LastRevision())
		sleep(3 * time.Second)
		// A caller that did not follow the hint to move still holds a token that names the backend server.
		Expect(staleFeed.sendAcks(staleAckCount)).To(HaveKey(framer.KindEnded))
		t := stopTraffic(c, traffic)
		Expect(t.WrongService).To(BeZero())
		Expect(t.Failures()).To(BeZero())
	})

	// Guards against packets that follow their address into the service that took it over (G2), while balancers change
	// their view one after the other. Callers keep the old addresses, so that their flows cannot go on.
	It("stay apart when they swap their addresses", func() {
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
		Expect(t.WrongAnswers + t.Doubled + t.FalseNotRun).To(BeZero())
	})

	// Guards against datagrams that crash a balancer, reach a backend server or hold memory: random bytes, cut and
	// changed datagrams, forged tokens and tokens of the other service.
	It("refuse bad datagrams at constant cost while they serve", func() {
		c := startCluster(standardFleet(42))
		traffic := startTraffic(c, standardLoad(42))
		replies := sendBadDatagrams(42, c.ServiceAddress("ovenwatch"), c.ServiceAddress("recipecard"))
		Expect(replies[framer.KindRefused]).To(BeNumerically(">", 0))
		delete(replies, framer.KindRefused)
		Expect(replies).To(BeEmpty(), "only a backend server, or a balancer that took a token for genuine, replies otherwise")
		sleep(time.Second)
		expectAllGuarantees(stopTraffic(c, traffic))
		refused := uint64(0)
		for _, b := range c.Balancers() {
			s, err := b.Status()
			Expect(err).NotTo(HaveOccurred())
			refused += s.Counters["malformed"] + s.Counters["bad-token"] + s.Counters["wrong-service"] + s.Counters["unknown-key"]
		}
		Expect(refused).To(BeNumerically(">", badDatagramCount/2), "the counters show the bad datagrams")
	})
})

// sendBadDatagrams sends datagrams that no balancer may act on, in turn to each service, and counts the replies by kind.
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
					return nil // the deadline set below
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

// forgedDatagram returns a whole datagram with a token that no balancer issued. It is of a kind that needs a token.
func forgedDatagram(random *rand.Rand) []byte {
	d := framer.Datagram{
		Kind: framer.KindFeed, ServiceID: framer.ServiceID([]string{"ovenwatch", "recipecard"}[random.IntN(2)]),
		Seq: random.Uint64(), Token: make([]byte, sealer.TokenSize),
	}
	for i := range d.Token {
		d.Token[i] = byte(random.Uint32())
	}
	d.Token[0] = byte(random.IntN(3))
	d.Kind = []framer.Kind{framer.KindFeed, framer.KindExecute, framer.KindFetch, framer.KindCloseFeed, undefinedKind}[random.IntN(5)]
	b, err := framer.Append(nil, &d)
	Expect(err).NotTo(HaveOccurred())
	return b
}
