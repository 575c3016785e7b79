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
	// repeatInterval is the first retransmission interval of callers.
	repeatInterval = 200 * time.Millisecond
)

// rawCaller sends datagrams of the caller protocol at times that the caller library would not choose.
type rawCaller struct {
	cluster *harness.Cluster
	conn    *net.UDPConn
	random  *rand.Rand
	calls   map[[framer.CallSize]byte]*rawCall
	replies map[framer.Kind]int // all datagrams received, by kind
}

// rawCall is one non-idempotent request.
type rawCall struct {
	id       [framer.CallSize]byte
	token    []byte
	payload  []byte
	deadline time.Time
	outcome  framer.Kind // the first of answer, not-run and unknown
	cause    framer.Cause
	notRun   bool
}

func newRawCaller(c *harness.Cluster, seed uint64) *rawCaller {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 3, 1, 250)})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return &rawCaller{
		cluster: c, conn: conn, random: rand.New(rand.NewPCG(seed, 1)), calls: map[[framer.CallSize]byte]*rawCall{},
		replies: map[framer.Kind]int{},
	}
}

func (r *rawCaller) send(call *rawCall, d framer.Datagram) {
	d.Service, d.Call, d.Deadline = framer.ServiceID(rawService), call.id, call.deadline
	b, err := framer.Append(nil, &d)
	Expect(err).NotTo(HaveOccurred())
	_, err = r.conn.WriteToUDPAddrPort(b, r.cluster.ServiceAddress(rawService))
	Expect(err).NotTo(HaveOccurred())
}

func (r *rawCaller) newCall(payload []byte) *rawCall {
	call := &rawCall{payload: payload}
	for i := range call.id {
		call.id[i] = byte(r.random.Uint32())
	}
	r.calls[call.id] = call
	return call
}

// reserve gets gate tokens for n requests.
func (r *rawCaller) reserve(n int, options string) {
	for i := range n {
		r.newCall(fmt.Appendf(nil, "%s/raw-%d%s", rawService, i, options))
	}
	Eventually(func() int {
		missing := 0
		for _, call := range r.calls {
			if call.token == nil {
				missing++
				r.send(call, framer.Datagram{Kind: framer.KindReserve})
			}
		}
		r.collect(100 * time.Millisecond)
		return missing
	}).WithTimeout(openTimeout).Should(BeZero())
}

// execute sends each request a number of times, through balancers that the fabric chooses, and returns the deadline of
// the requests. A request keeps the deadline of its first execute.
func (r *rawCaller) execute(times int, timeout time.Duration) time.Time {
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

// resolve sends the requests without an outcome again, as callers do, until each has one or their deadline has passed.
// A burst of datagrams may overflow the receive buffer of a process that waits for the processor, so that one copy of
// each, or one reply, proves nothing.
func (r *rawCaller) resolve(deadline time.Time) {
	for time.Now().Before(deadline) {
		open := 0
		for _, call := range r.calls {
			if call.outcome == 0 {
				open++
				r.send(call, framer.Datagram{Kind: framer.KindExecute, Token: call.token, Payload: call.payload})
			}
		}
		if open == 0 {
			return
		}
		r.collect(repeatInterval)
	}
}

// collect reads replies for a time.
func (r *rawCaller) collect(d time.Duration) {
	Expect(r.conn.SetReadDeadline(time.Now().Add(d))).To(Succeed())
	buf := make([]byte, framer.MaxSize)
	for {
		n, err := r.conn.Read(buf)
		if err != nil {
			return
		}
		var reply framer.Datagram
		Expect(framer.Parse(buf[:n], &reply)).To(Succeed())
		call := r.calls[reply.Call]
		Expect(call).NotTo(BeNil(), "a reply to a call that does not exist")
		r.replies[reply.Kind]++
		switch reply.Kind {
		case framer.KindReserved, framer.KindOpened:
			if call.token == nil {
				call.token = append([]byte(nil), reply.Token...)
			}
		case framer.KindAnswer, framer.KindNotRun, framer.KindUnknown:
			call.notRun = call.notRun || reply.Kind == framer.KindNotRun
			if call.outcome == 0 {
				call.outcome, call.cause = reply.Kind, reply.Cause
			}
		}
	}
}

// expectAtMostOnce compares the replies with the ledgers of the backend servers.
func (r *rawCaller) expectAtMostOnce() {
	GinkgoHelper()
	ledgers, err := r.cluster.Ledgers()
	Expect(err).NotTo(HaveOccurred())
	runs := map[string]int{}
	for _, l := range ledgers {
		for _, run := range l.Runs {
			runs[run.CallID]++
		}
	}
	for id, call := range r.calls {
		n := runs[verifier.FormatCallID(id)]
		Expect(n).To(BeNumerically("<=", 1), "runs of %s", call.payload)
		if call.notRun {
			Expect(n).To(BeZero(), "%s was told not-run", call.payload)
		}
	}
}

// outcomes counts the calls by the kind of their first final reply; 0 stands for none.
func (r *rawCaller) outcomes() map[framer.Kind]int {
	counts := map[framer.Kind]int{}
	for _, call := range r.calls {
		counts[call.outcome]++
	}
	AddReportEntry("outcomes", fmt.Sprint(counts))
	return counts
}

// rawFeed is a feed whose caller ignores hints and endings.
type rawFeed struct {
	caller *rawCaller
	call   *rawCall
}

// openRawFeed opens feeds until one is at the backend server b, which accepts other feeds too.
func openRawFeed(c *harness.Cluster, b *harness.Backend) *rawFeed {
	GinkgoHelper()
	r := newRawCaller(c, 0)
	var found *rawFeed
	Eventually(func() *rawFeed {
		call := r.newCall(fmt.Appendf(nil, "%s/raw", rawService))
		r.send(call, framer.Datagram{Kind: framer.KindOpenFeed, Payload: call.payload})
		r.collect(50 * time.Millisecond)
		l, err := b.Ledger()
		Expect(err).NotTo(HaveOccurred())
		for _, feed := range l.Feeds {
			if feed.CallID == verifier.FormatCallID(call.id) && call.token != nil {
				found = &rawFeed{caller: r, call: call}
			}
		}
		return found
	}).WithTimeout(openTimeout).ShouldNot(BeNil())
	return found
}

// acknowledge sends packets of the feed and counts the replies by kind.
func (f *rawFeed) acknowledge(times int) map[framer.Kind]int {
	f.caller.collect(100 * time.Millisecond) // readings that fill the socket would displace the replies
	clear(f.caller.replies)
	for range times {
		f.caller.send(f.call, framer.Datagram{Kind: framer.KindFeed, Token: f.call.token})
	}
	f.caller.collect(500 * time.Millisecond)
	return f.caller.replies
}
