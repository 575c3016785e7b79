package integration_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/tests/harness"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/verifier"
)

const (
	rawService = "ovenwatch"
	// retransmitDelay is the delay before the first retransmission of the caller library.
	retransmitDelay = 200 * time.Millisecond
)

// rawCaller sends datagrams of the caller protocol at times at which the caller library would not send them.
type rawCaller struct {
	cluster *harness.Cluster
	conn    *net.UDPConn
	random  *rand.Rand
	calls   map[[framer.CallIDSize]byte]*rawCall
	replies map[framer.Kind]int // all datagrams received, by kind
}

// rawCall is one non-idempotent request, or one feed.
type rawCall struct {
	id       [framer.CallIDSize]byte
	token    []byte
	payload  []byte
	deadline time.Time
	outcome  framer.Kind  // the kind of the first final reply: answer, not-run or outcome unknown; 0 without one
	cause    framer.Cause // the cause in the first final reply
	notRun   bool         // any reply was not-run
}

func newRawCaller(c *harness.Cluster, seed uint64) *rawCaller {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 3, 1, 250)})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return &rawCaller{
		cluster: c, conn: conn, random: rand.New(rand.NewPCG(seed, 1)), calls: map[[framer.CallIDSize]byte]*rawCall{},
		replies: map[framer.Kind]int{},
	}
}

// send sends a datagram of a call to the service address.
func (r *rawCaller) send(call *rawCall, d framer.Datagram) {
	d.ServiceID, d.CallID, d.Deadline = framer.ServiceID(rawService), call.id, call.deadline
	b, err := framer.Append(nil, &d)
	Expect(err).NotTo(HaveOccurred())
	_, err = r.conn.WriteToUDPAddrPort(b, r.cluster.ServiceAddress(rawService))
	Expect(err).NotTo(HaveOccurred())
}

// newCall adds a call with a random ID.
func (r *rawCaller) newCall(payload []byte) *rawCall {
	call := &rawCall{payload: payload}
	for i := range call.id {
		call.id[i] = byte(r.random.Uint32())
	}
	r.calls[call.id] = call
	return call
}

// reserve creates n requests and obtains their gate tokens. The options are appended to their payloads.
func (r *rawCaller) reserve(n int, options string) {
	for i := range n {
		r.newCall(fmt.Appendf(nil, "%s/raw-%d%s", rawService, i, options))
	}
	Eventually(func() int {
		unanswered := 0
		for _, call := range r.calls {
			if call.token == nil {
				unanswered++
				r.send(call, framer.Datagram{Kind: framer.KindReserve})
			}
		}
		r.collectReplies(100 * time.Millisecond)
		return unanswered
	}).WithTimeout(stepTimeout).Should(BeZero())
}

// sendExecutes sends the execute datagram of each request a number of times, through balancers that the fabric chooses, and
// returns the deadline, which is the timeout from now. A request keeps the deadline of its first execute datagram.
func (r *rawCaller) sendExecutes(times int, timeout time.Duration) time.Time {
	deadline := time.Now().Add(timeout)
	for range times {
		for _, call := range r.calls {
			if call.deadline.IsZero() {
				call.deadline = deadline
			}
			r.send(call, framer.Datagram{Kind: framer.KindExecute, Token: call.token, Payload: call.payload})
		}
	}
	return deadline
}

// retransmitUntilResolved retransmits the requests without an outcome, as the caller library does, until each has one or the
// deadline has passed. Retransmissions are needed because a burst of datagrams may overflow the receive buffer of a process
// that waits for a CPU, so a single datagram or reply may be lost without a fault.
func (r *rawCaller) retransmitUntilResolved(deadline time.Time) {
	for time.Now().Before(deadline) {
		unresolved := 0
		for _, call := range r.calls {
			if call.outcome == 0 {
				unresolved++
				r.send(call, framer.Datagram{Kind: framer.KindExecute, Token: call.token, Payload: call.payload})
			}
		}
		if unresolved == 0 {
			return
		}
		r.collectReplies(retransmitDelay)
	}
}

// collectReplies reads replies for the duration d and records tokens and outcomes.
func (r *rawCaller) collectReplies(d time.Duration) {
	Expect(r.conn.SetReadDeadline(time.Now().Add(d))).To(Succeed())
	buf := make([]byte, framer.MaxSize)
	for {
		n, err := r.conn.Read(buf)
		if err != nil {
			return
		}
		var reply framer.Datagram
		Expect(framer.Parse(buf[:n], &reply)).To(Succeed())
		call := r.calls[reply.CallID]
		Expect(call).NotTo(BeNil(), "a reply must be to a known call")
		r.replies[reply.Kind]++
		switch reply.Kind {
		case framer.KindReserved, framer.KindOpened:
			if call.token == nil {
				call.token = append([]byte(nil), reply.Token...)
			}
		case framer.KindAnswer, framer.KindNotRun, framer.KindOutcomeUnknown:
			call.notRun = call.notRun || reply.Kind == framer.KindNotRun
			if call.outcome == 0 {
				call.outcome, call.cause = reply.Kind, reply.Cause
			}
		}
	}
}

// expectAtMostOnce checks against the ledgers of the backend servers that no request ran twice, and that none ran for which a
// not-run reply arrived.
func (r *rawCaller) expectAtMostOnce() {
	GinkgoHelper()
	ledgers, err := r.cluster.Ledgers()
	Expect(err).NotTo(HaveOccurred())
	runs := map[string]int{}
	for _, ledger := range ledgers {
		for _, run := range ledger.Runs {
			runs[run.CallID]++
		}
	}
	for id, call := range r.calls {
		n := runs[verifier.FormatCallID(id)]
		Expect(n).To(BeNumerically("<=", 1), "runs of %s", call.payload)
		if call.notRun {
			Expect(n).To(BeZero(), "a not-run reply to %s arrived", call.payload)
		}
	}
}

// countOutcomes counts the calls by outcome; 0 stands for no final reply.
func (r *rawCaller) countOutcomes() map[framer.Kind]int {
	counts := map[framer.Kind]int{}
	for _, call := range r.calls {
		counts[call.outcome]++
	}
	AddReportEntry("outcomes", fmt.Sprint(counts))
	return counts
}

// rawFeed is a feed whose caller ignores move and ended datagrams.
type rawFeed struct {
	caller *rawCaller
	call   *rawCall
}

// openRawFeed opens feeds until one of them is placed at the backend server b. The others stay open.
func openRawFeed(c *harness.Cluster, b *harness.Backend) *rawFeed {
	GinkgoHelper()
	r := newRawCaller(c, 0)
	var feed *rawFeed
	Eventually(func() *rawFeed {
		call := r.newCall(fmt.Appendf(nil, "%s/raw", rawService))
		r.send(call, framer.Datagram{Kind: framer.KindOpenFeed, Payload: call.payload})
		r.collectReplies(50 * time.Millisecond)
		ledger, err := b.Ledger()
		Expect(err).NotTo(HaveOccurred())
		for _, record := range ledger.Feeds {
			if record.CallID == verifier.FormatCallID(call.id) && call.token != nil {
				feed = &rawFeed{caller: r, call: call}
			}
		}
		return feed
	}).WithTimeout(stepTimeout).ShouldNot(BeNil())
	return feed
}

// sendAcks sends acknowledgements of the feed and counts the replies by kind.
func (f *rawFeed) sendAcks(times int) map[framer.Kind]int {
	// The receive buffer is emptied first: if readings fill it, the replies are dropped.
	f.caller.collectReplies(100 * time.Millisecond)
	clear(f.caller.replies)
	for range times {
		f.caller.send(f.call, framer.Datagram{Kind: framer.KindFeed, Token: f.call.token})
	}
	f.caller.collectReplies(500 * time.Millisecond)
	return f.caller.replies
}
