package forwarder_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/services/forwarder"
	"github.com/bluebelldyke/bluebelldyke/services/gatekeeper"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

var (
	caller     = netip.MustParseAddrPort("127.3.1.1:4000")
	ovenwatch  = netip.MustParseAddrPort("127.0.53.1:7001")
	recipecard = netip.MustParseAddrPort("127.0.53.2:7002")
	oven1      = netip.MustParseAddrPort("127.2.1.1:9000")
	oven2      = netip.MustParseAddrPort("127.2.1.2:9000")
	recipe1    = netip.MustParseAddrPort("127.2.1.3:9000")
	self       = netip.MustParseAddrPort("127.1.1.1:7401")
	other      = netip.MustParseAddrPort("127.1.1.2:7401")
	start      = time.UnixMilli(1_800_000_000_000)
)

// settingsTemplate is a settings document; its arguments are the backend servers of ovenwatch and of recipecard.
const settingsTemplate = `
seal-with = 1
[[token-keys]]
id = 1
secret = "141b222930373e454c535a61686f767d848b9299a0a7aeb5bcc3cad1d8dfe6ed"
[services.ovenwatch]
address = "127.0.53.1:7001"
[services.recipecard]
address = "127.0.53.2:7002"
[regions.mu-south]
places = ["souillac"]
zone-delay = "4ms"
caller-delay = "1ms"
[places.souillac.services.ovenwatch.groups.main]
backend-servers = [%s]
[places.souillac.services.recipecard.groups.main]
backend-servers = [%s]
`

// serverEntry returns the entry of a backend server in a settings document.
func serverEntry(address netip.AddrPort, state string) string {
	return fmt.Sprintf(`{ name = "n-%s", address = "%s", health = "%s:9080", state = "%s" }`, address.Addr(), address, address.Addr(), state)
}

func newView(t testing.TB, revision uint64, ovens, recipes string) *view.View {
	t.Helper()
	parsed, err := settings.Parse("tree.toml", revision, fmt.Appendf(nil, settingsTemplate, ovens, recipes))
	if err != nil {
		t.Fatal(err)
	}
	return view.New(parsed, &fleet.List{})
}

// standardView returns a view with two backend servers of ovenwatch and one of recipecard.
func standardView(t testing.TB, revision uint64) *view.View {
	return newView(t, revision, serverEntry(oven1, "live")+","+serverEntry(oven2, "live"), serverEntry(recipe1, "live"))
}

// balancer is a Forwarder with its scheduler and gatekeeper, a clock and the actions of the last event.
type balancer struct {
	*forwarder.Forwarder
	t   testing.TB
	now time.Time
	out forwarder.Actions
}

func newBalancer(t testing.TB, address netip.AddrPort, v *view.View) *balancer {
	random := rand.New(rand.NewPCG(7, uint64(address.Addr().As4()[3])))
	b := &balancer{t: t, now: start, Forwarder: forwarder.New(forwarder.Config{
		Self: address, Incarnation: 100, Random: random,
		Placer: scheduler.New(scheduler.Config{AvailabilityZone: "souillac", Random: random}),
		Gate:   gatekeeper.New(gatekeeper.Config{Self: address, Incarnation: 100, Random: random}),
	})}
	if err := b.SetView(start, v); err != nil {
		t.Fatal(err)
	}
	return b
}

// sentToBackend returns the packets that the last event sent to backend servers, and their targets.
func (b *balancer) sentToBackend() (list []encapsulator.Packet, targets []netip.AddrPort) {
	for _, a := range b.out.List {
		if a.Kind != forwarder.SendToBackendServer {
			continue
		}
		var p encapsulator.Packet
		if err := encapsulator.Parse(a.Data, &p); err != nil {
			b.t.Fatal(err)
		}
		list, targets = append(list, p), append(targets, a.To)
	}
	return list, targets
}

// sentToCaller returns the datagrams that the last event sent to the caller.
func (b *balancer) sentToCaller() (list []framer.Datagram) {
	for _, a := range b.out.List {
		if a.Kind != forwarder.SendToCaller {
			continue
		}
		var d framer.Datagram
		if err := framer.Parse(a.Data, &d); err != nil {
			b.t.Fatal(err)
		}
		list = append(list, d)
	}
	return list
}

// send handles a datagram from the caller to the service.
func (b *balancer) send(service netip.AddrPort, d framer.Datagram) {
	data, err := framer.Append(nil, &d)
	if err != nil {
		b.t.Fatal(err)
	}
	b.out.Reset()
	b.HandleCallerDatagram(b.now, caller, service, data, &b.out)
}

// reply handles a packet from a backend server.
func (b *balancer) reply(from netip.AddrPort, p encapsulator.Packet) {
	data, err := encapsulator.Append(nil, &p)
	if err != nil {
		b.t.Fatal(err)
	}
	b.out.Reset()
	b.HandleBackendDatagram(b.now, from, data, &b.out)
}

// advance moves the clock forward and calls Tick.
func (b *balancer) advance(by time.Duration) {
	b.now = b.now.Add(by)
	b.out.Reset()
	b.Tick(b.now, &b.out)
}

// openFeed opens a feed of ovenwatch, which its backend server accepts, and returns the feed's token and backend server.
func (b *balancer) openFeed() (token []byte, target netip.AddrPort) {
	b.send(ovenwatch, framer.Datagram{Kind: framer.KindOpenFeed, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{1}, Payload: []byte("oven-7")})
	packets, targets := b.sentToBackend()
	if len(packets) != 1 {
		b.t.Fatalf("the open of a feed sent %d packets, want 1", len(packets))
	}
	p := packets[0]
	p.Verb = encapsulator.VerbAccepted
	b.reply(targets[0], p)
	opened := b.sentToCaller()
	if len(opened) != 1 || opened[0].Kind != framer.KindOpened {
		b.t.Fatalf("the accepted open sent %+v to the caller, want one opened datagram", opened)
	}
	return append([]byte(nil), opened[0].Token...), targets[0]
}

// feedPacket returns a packet of an established feed.
func feedPacket(token []byte) framer.Datagram {
	return framer.Datagram{Kind: framer.KindFeed, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{1}, Seq: 8, Token: token}
}

func ExampleForwarder() {
	random := rand.New(rand.NewPCG(1, 2))
	f := forwarder.New(forwarder.Config{
		Self: self, Incarnation: 100, Random: random, AvailabilityZone: "souillac",
		Placer: scheduler.New(scheduler.Config{AvailabilityZone: "souillac", Random: random}),
		Gate:   gatekeeper.New(gatekeeper.Config{Self: self, Incarnation: 100, Random: random}),
	})
	parsed, err := settings.Parse("tree.toml", 1, fmt.Appendf(nil, settingsTemplate, serverEntry(oven1, "live"), serverEntry(recipe1, "live")))
	if err != nil {
		fmt.Println(err)
		return
	}
	if err := f.SetView(start, view.New(parsed, &fleet.List{})); err != nil {
		fmt.Println(err)
		return
	}
	datagram, _ := framer.Append(nil, &framer.Datagram{
		Kind: framer.KindOpenFeed, ServiceID: framer.ServiceID("ovenwatch"), Payload: []byte("oven-7"),
	})
	var out forwarder.Actions
	f.HandleCallerDatagram(start, caller, ovenwatch, datagram, &out)
	for _, a := range out.List {
		fmt.Println(a.Kind == forwarder.SendToBackendServer, a.To)
	}
	// Output: true 127.2.1.1:9000
}

// TestAnyBalancerForwards guards against flows that only the balancer that opened them can forward.
func TestAnyBalancerForwards(t *testing.T) {
	g := NewWithT(t)
	token, target := newBalancer(t, self, standardView(t, 1)).openFeed()
	fresh := newBalancer(t, other, standardView(t, 1))
	fresh.send(ovenwatch, feedPacket(token))
	packets, targets := fresh.sentToBackend()
	g.Expect(targets).To(Equal([]netip.AddrPort{target}))
	g.Expect(packets[0].Verb).To(Equal(encapsulator.VerbFeed))
	g.Expect(packets[0].Seq).To(Equal(uint64(8)))
	g.Expect(fresh.PendingCount()).To(BeZero())
}

// TestEstablishedFlowAllocatesNothing guards against allocations for each packet of an established flow, the most frequent
// decision.
func TestEstablishedFlowAllocatesNothing(t *testing.T) {
	b := newBalancer(t, self, standardView(t, 1))
	token, _ := b.openFeed()
	d := feedPacket(token)
	data, err := framer.Append(nil, &d)
	if err != nil {
		t.Fatal(err)
	}
	if n := testing.AllocsPerRun(1000, func() {
		b.out.Reset()
		b.HandleCallerDatagram(b.now, caller, ovenwatch, data, &b.out)
	}); n != 0 {
		t.Fatalf("%v allocations for each packet, want none", n)
	}
}

// TestServiceIsolation guards against a packet, token or reply of one service that is accepted for another service.
func TestServiceIsolation(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(t, self, standardView(t, 1))
	token, _ := b.openFeed()

	b.send(recipecard, framer.Datagram{Kind: framer.KindOpenFeed, ServiceID: framer.ServiceID("ovenwatch")})
	g.Expect(b.sentToCaller()[0].Cause).To(Equal(framer.CauseWrongService))
	g.Expect(b.sentToCaller()[0].ServiceID).To(Equal(framer.ServiceID("ovenwatch")), "the caller accepts only replies of the service that it requested")

	wrongService := feedPacket(token)
	wrongService.ServiceID = framer.ServiceID("recipecard")
	b.send(recipecard, wrongService)
	g.Expect(b.sentToCaller()[0].Cause).To(Equal(framer.CauseBadToken))
	_, targets := b.sentToBackend()
	g.Expect(targets).To(BeEmpty())

	b.reply(recipe1, encapsulator.Packet{Caller: caller, Service: ovenwatch, ServiceName: "ovenwatch", Verb: encapsulator.VerbReading})
	g.Expect(b.out.List).To(BeEmpty())
}

// TestMovedBackendServer guards against a flow that follows its backend server's address into another service.
func TestMovedBackendServer(t *testing.T) {
	g := NewWithT(t)
	old := standardView(t, 1)
	b := newBalancer(t, self, old)
	token, target := b.openFeed()
	staying, moving := oven1, oven2
	if target == oven1 {
		staying, moving = oven2, oven1
	}
	reassigned := newView(t, 2, serverEntry(staying, "live"), serverEntry(moving, "live"))
	g.Expect(b.SetView(start, reassigned)).To(Succeed())
	b.send(ovenwatch, feedPacket(token))
	g.Expect(b.sentToCaller()[0].Kind).To(Equal(framer.KindEnded))
	g.Expect(b.SetView(start, old)).To(Succeed(), "an older view is ignored")
	g.Expect(b.Revision()).To(Equal(uint64(2)))
}

// TestStaleViewDoesNotEndFlow guards against a balancer that ends a flow because its own view is stale.
func TestStaleViewDoesNotEndFlow(t *testing.T) {
	g := NewWithT(t)
	newer := newBalancer(t, self, newView(t, 5, serverEntry(oven2, "live"), serverEntry(recipe1, "live")))
	token, _ := newer.openFeed()
	stale := newBalancer(t, other, newView(t, 4, serverEntry(oven1, "live"), serverEntry(recipe1, "live")))
	stale.send(ovenwatch, feedPacket(token))
	g.Expect(stale.out.List).To(HaveLen(1))
	g.Expect(stale.out.List[0].Kind).To(Equal(forwarder.RefreshView))
	g.Expect(stale.out.List[0].Revision).To(Equal(uint64(5)))
}

// TestMoveDatagram guards against feeds that stay on a leaving backend server or end there without a move.
func TestMoveDatagram(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(t, self, standardView(t, 1))
	token, target := b.openFeed()
	states := map[netip.AddrPort]string{oven1: "live", oven2: "live", target: "leaving"}
	g.Expect(b.SetView(b.now, newView(t, 2, serverEntry(oven1, states[oven1])+","+serverEntry(oven2, states[oven2]), serverEntry(recipe1, "live")))).To(Succeed())
	b.now = b.now.Add(2 * time.Second)
	b.send(ovenwatch, feedPacket(token))
	_, targets := b.sentToBackend()
	g.Expect(targets).To(Equal([]netip.AddrPort{target}), "the flow continues")
	g.Expect(b.sentToCaller()[0].Kind).To(Equal(framer.KindMove))
}

// TestLongRequest guards against giving up a request that its backend server reports as running.
func TestLongRequest(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(t, self, standardView(t, 1))
	b.send(ovenwatch, framer.Datagram{Kind: framer.KindRequest, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{2}})
	packets, targets := b.sentToBackend()
	running := packets[0]
	running.Verb = encapsulator.VerbRunning
	for range 8 {
		b.advance(400 * time.Millisecond)
		resent, to := b.sentToBackend()
		g.Expect(to).To(Equal(targets))
		g.Expect(resent[0].AttemptID).To(Equal(packets[0].AttemptID))
		b.reply(targets[0], running)
	}
	b.advance(400 * time.Millisecond)
	b.advance(400 * time.Millisecond)
	_, to := b.sentToBackend()
	g.Expect(to).To(HaveLen(2), "without a reply, the request is canceled at the first backend server and retried on another one")
	g.Expect(to[0]).To(Equal(targets[0]))
	g.Expect(to[1]).NotTo(Equal(targets[0]))
}

// TestExecuteReachesItsGate guards against a non-idempotent request that a balancer other than its gate runs.
func TestExecuteReachesItsGate(t *testing.T) {
	g := NewWithT(t)
	gate, second := newBalancer(t, self, standardView(t, 1)), newBalancer(t, other, standardView(t, 1))
	gate.send(ovenwatch, framer.Datagram{Kind: framer.KindReserve, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{3}})
	token := append([]byte(nil), gate.sentToCaller()[0].Token...)
	execute := framer.Datagram{Kind: framer.KindExecute, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{3}, Token: token, Payload: []byte("20 loaves")}
	second.send(ovenwatch, execute)
	g.Expect(second.out.List).To(HaveLen(1))
	g.Expect(second.out.List[0].Kind).To(Equal(forwarder.ForwardToGate))
	g.Expect(second.out.List[0].To).To(Equal(self))

	gate.out.Reset()
	gate.HandleForwardedDatagram(gate.now, caller, ovenwatch, second.out.List[0].Data, &gate.out)
	packets, _ := gate.sentToBackend()
	g.Expect(packets[0].Verb).To(Equal(encapsulator.VerbRun))
	gate.send(ovenwatch, execute)
	packets, _ = gate.sentToBackend()
	g.Expect(packets).To(HaveLen(1))
	g.Expect(packets[0].Verb).To(Equal(encapsulator.VerbFetch), "a retransmitted execute does not run again")
}

// TestRefusedExecuteIsRetried guards against a non-idempotent request that fails because one backend server sheds it, although
// another backend server can take it.
func TestRefusedExecuteIsRetried(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(t, self, standardView(t, 1))
	b.send(ovenwatch, framer.Datagram{Kind: framer.KindReserve, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{3}})
	token := append([]byte(nil), b.sentToCaller()[0].Token...)
	b.send(ovenwatch, framer.Datagram{Kind: framer.KindExecute, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{3}, Token: token})
	packets, targets := b.sentToBackend()
	refused := packets[0]
	refused.Verb, refused.Cause, refused.Incarnation = encapsulator.VerbRefused, uint8(framer.CauseShed), 50
	b.reply(targets[0], refused)
	retried, to := b.sentToBackend()
	g.Expect(to).To(HaveLen(1))
	g.Expect(to[0]).NotTo(Equal(targets[0]))
	g.Expect(retried[0].AttemptID).NotTo(Equal(packets[0].AttemptID))
}

// TestLostRunDatagramIsResent guards against resending a run datagram with another incarnation than the first one: a
// restarted backend server would run the request a second time. It also guards against resending one to a leaving backend
// server.
func TestLostRunDatagramIsResent(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(t, self, newView(t, 5, serverEntry(oven1, "live"), serverEntry(recipe1, "live")))
	b.HandleHealth(b.now, oven1, 7, false)
	b.send(ovenwatch, framer.Datagram{Kind: framer.KindReserve, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{3}})
	token := b.sentToCaller()[0].Token
	b.send(ovenwatch, framer.Datagram{
		Kind: framer.KindExecute, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{3}, Token: token, Payload: []byte("20 loaves"),
	})
	first, _ := b.sentToBackend()
	b.HandleHealth(b.now, oven1, 8, false)
	b.advance(400 * time.Millisecond)
	resent, targets := b.sentToBackend()
	g.Expect(resent).To(HaveLen(1))
	g.Expect(targets).To(ConsistOf(oven1))
	g.Expect(resent[0].Verb).To(Equal(encapsulator.VerbRun))
	g.Expect(resent[0].AttemptID).To(Equal(first[0].AttemptID))
	g.Expect(resent[0].Incarnation).To(Equal(uint64(7)))
	g.Expect(resent[0].Payload).To(Equal(first[0].Payload))
	g.Expect(b.SetView(b.now, newView(t, 6, serverEntry(oven1, "leaving"), serverEntry(recipe1, "live")))).To(Succeed())
	b.advance(400 * time.Millisecond)
	resent, _ = b.sentToBackend()
	g.Expect(resent).To(BeEmpty())
}

// FuzzHandleCallerDatagram guards against a datagram that makes the decision code panic.
func FuzzHandleCallerDatagram(f *testing.F) {
	b := newBalancer(f, self, standardView(f, 1))
	token, _ := b.openFeed()
	for _, kind := range []framer.Kind{1, 2, 3, 4, 5, 6, 7, 8} {
		d := feedPacket(token)
		d.Kind = kind
		data, _ := framer.Append(nil, &d)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		b.out.Reset()
		b.HandleCallerDatagram(b.now, caller, ovenwatch, data, &b.out)
	})
}

// BenchmarkForwardFeed measures the decision about a packet of an established feed.
func BenchmarkForwardFeed(b *testing.B) {
	lb := newBalancer(b, self, standardView(b, 1))
	token, _ := lb.openFeed()
	d := feedPacket(token)
	data, err := framer.Append(nil, &d)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		lb.out.Reset()
		lb.HandleCallerDatagram(lb.now, caller, ovenwatch, data, &lb.out)
	}
}

// BenchmarkRelayReading measures the decision about a reading, which a backend server sends to a caller.
func BenchmarkRelayReading(b *testing.B) {
	lb := newBalancer(b, self, standardView(b, 1))
	token, target := lb.openFeed()
	data, err := encapsulator.Append(nil, &encapsulator.Packet{
		Caller: caller, Service: ovenwatch, ServiceName: "ovenwatch", CallID: [16]byte{1}, Verb: encapsulator.VerbReading,
		Token: token, Seq: 9, HasLoad: true, Incarnation: 100, Payload: make([]byte, 64),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		lb.out.Reset()
		lb.HandleBackendDatagram(lb.now, target, data, &lb.out)
	}
}

// TestRetransmissionReachesFirstBalancer guards against an idempotent request that runs once at each balancer that one of its
// retransmissions reaches.
func TestRetransmissionReachesFirstBalancer(t *testing.T) {
	g := NewWithT(t)
	first, second := newBalancer(t, self, standardView(t, 1)), newBalancer(t, other, standardView(t, 1))
	request := framer.Datagram{Kind: framer.KindRequest, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{2}}
	first.send(ovenwatch, request)
	packets, targets := first.sentToBackend()
	first.advance(100 * time.Millisecond)
	reserved := first.sentToCaller()
	g.Expect(reserved).To(HaveLen(1))
	g.Expect(reserved[0].Kind).To(Equal(framer.KindReserved))

	request.Token = reserved[0].Token
	second.send(ovenwatch, request)
	g.Expect(second.out.List).To(HaveLen(1))
	g.Expect(second.out.List[0].Kind).To(Equal(forwarder.ForwardToGate))
	g.Expect(second.out.List[0].To).To(Equal(self))
	forwarded := append([]byte(nil), second.out.List[0].Data...)

	first.out.Reset()
	first.HandleForwardedDatagram(first.now, caller, ovenwatch, forwarded, &first.out)
	resent, to := first.sentToBackend()
	g.Expect(to).To(Equal(targets))
	g.Expect(resent[0].AttemptID).To(Equal(packets[0].AttemptID))
	g.Expect(first.PendingCount()).To(Equal(1))

	restarted := newBalancer(t, self, standardView(t, 1))
	restarted.HandleForwardedDatagram(restarted.now, caller, ovenwatch, forwarded, &restarted.out)
	_, to = restarted.sentToBackend()
	g.Expect(to).To(HaveLen(1), "a balancer without the pending call handles the request as new work")
}

// TestRetryDuringPause guards against retries that are placed by a view that may be stale after the process was suspended.
func TestRetryDuringPause(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(t, self, standardView(t, 1))
	request := framer.Datagram{Kind: framer.KindRequest, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{4}}
	b.send(ovenwatch, request)
	packets, targets := b.sentToBackend()
	b.PausePlacement(b.now.Add(time.Second))
	refused := packets[0]
	refused.Verb, refused.Cause, refused.Incarnation = encapsulator.VerbRefused, uint8(framer.CauseShed), 50
	b.reply(targets[0], refused)
	sent, _ := b.sentToBackend()
	g.Expect(sent).To(BeEmpty())
	b.ResumePlacement()
	b.send(ovenwatch, request)
	sent, _ = b.sentToBackend()
	g.Expect(sent).To(HaveLen(1), "the caller's retransmission is placed")
}
