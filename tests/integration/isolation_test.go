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
	badDatagrams = 20_000
	badPause     = 100 * time.Microsecond
	lastReplies  = 500 * time.Millisecond
	// staleAcks is the number of packets of a feed whose backend server moved, enough to meet each balancer.
	staleAcks     = 40
	maximumKinds  = 32
	maximumLength = 1_500
)

var _ = Describe("services", func() {
	// Guards against packets that follow an address into another service (G2): balancers that were paused during the
	// whole move still hold the old view when they resume.
	It("stay apart when a backend server moves from one to the other", func() {
		c := start(standard(41))
		traffic := drive(c, load(41))
		b := c.Backends("ovenwatch")[0]
		stale := openRawFeed(c, b)
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
		expectInForce(c, c.LastRevision())
		sleep(3 * time.Second)
		// A caller that did not follow the hint to move still holds a token that names the backend server.
		Expect(stale.acknowledge(staleAcks)).To(HaveKey(framer.KindEnded))
		t := finish(c, traffic)
		Expect(t.WrongService).To(BeZero())
		Expect(t.Failures()).To(BeZero())
	})

	// Guards against packets that follow their address into the service that took it over (G2), while balancers change
	// their view one after the other. Callers keep the old addresses, so that their flows cannot go on.
	It("stay apart when they swap their addresses", func() {
		c := start(standard(43))
		traffic := drive(c, load(43))
		paused := c.Balancers()[1]
		paused.Pause()
		n, err := c.EditSettings(func(t *harness.Tree) {
			t.Services["ovenwatch"], t.Services["recipecard"] = t.Services["recipecard"], t.Services["ovenwatch"]
		})
		Expect(err).NotTo(HaveOccurred())
		sleep(2 * time.Second)
		paused.Resume()
		expectInForce(c, n)
		sleep(time.Second)
		t := finish(c, traffic)
		Expect(t.WrongService).To(BeZero())
		Expect(t.WrongAnswers + t.DuplicateRuns + t.FalseNotRun).To(BeZero())
	})

	// Guards against datagrams that crash a balancer, reach a backend server or hold memory: random bytes, cut and
	// changed datagrams, forged tokens and tokens of the other service.
	It("refuse bad datagrams at constant cost while they serve", func() {
		c := start(standard(42))
		traffic := drive(c, load(42))
		replies := sendBadDatagrams(42, c.ServiceAddress("ovenwatch"), c.ServiceAddress("recipecard"))
		Expect(replies[framer.KindRefused]).To(BeNumerically(">", 0))
		delete(replies, framer.KindRefused)
		Expect(replies).To(BeEmpty(), "only a backend server, or a balancer that took a token for genuine, replies otherwise")
		sleep(time.Second)
		expectClean(finish(c, traffic))
		refused := uint64(0)
		for _, b := range c.Balancers() {
			s, err := b.Status()
			Expect(err).NotTo(HaveOccurred())
			refused += s.Counters["malformed"] + s.Counters["bad-token"] + s.Counters["wrong-service"] + s.Counters["unknown-key"]
		}
		Expect(refused).To(BeNumerically(">", badDatagrams/2), "the counters show the bad datagrams")
	})
})

// sendBadDatagrams sends datagrams that no balancer may act on, in turn to each service, and counts the replies by kind.
func sendBadDatagrams(seed uint64, services ...netip.AddrPort) map[framer.Kind]int {
	GinkgoHelper()
	random := rand.New(rand.NewPCG(seed, 0))
	var list []net.Conn
	var readers errgroup.Group
	var mu sync.Mutex
	replies := map[framer.Kind]int{}
	for _, s := range services {
		conn, err := net.Dial("udp", s.String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		list = append(list, conn)
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
	for i := range badDatagrams {
		_, _ = list[i%len(list)].Write(badDatagram(random))
		time.Sleep(badPause)
	}
	for _, conn := range list {
		Expect(conn.SetReadDeadline(time.Now().Add(lastReplies))).To(Succeed())
	}
	Expect(readers.Wait()).To(Succeed())
	return replies
}

func badDatagram(random *rand.Rand) []byte {
	switch random.IntN(3) {
	case 0:
		b := make([]byte, random.IntN(maximumLength))
		for i := range b {
			b[i] = byte(random.Uint32())
		}
		return b
	case 1:
		b := forged(random)
		return b[:random.IntN(len(b))]
	default:
		return forged(random)
	}
}

// forged returns a whole datagram with a token that no balancer issued. It is of a kind that needs a token.
func forged(random *rand.Rand) []byte {
	d := framer.Datagram{
		Kind: framer.KindFeed, Service: framer.ServiceID([]string{"ovenwatch", "recipecard"}[random.IntN(2)]),
		Seq: random.Uint64(), Token: make([]byte, sealer.Size),
	}
	for i := range d.Token {
		d.Token[i] = byte(random.Uint32())
	}
	d.Token[0] = byte(random.IntN(3))
	d.Kind = []framer.Kind{framer.KindFeed, framer.KindExecute, framer.KindFetch, framer.KindCloseFeed, maximumKinds}[random.IntN(5)]
	b, err := framer.Append(nil, &d)
	Expect(err).NotTo(HaveOccurred())
	return b
}
