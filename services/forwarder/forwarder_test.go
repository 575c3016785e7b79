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

const tree = `
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

func server(a netip.AddrPort, state string) string {
	return fmt.Sprintf(`{ name = "n-%s", address = "%s", health = "%s:9080", state = "%s" }`, a.Addr(), a, a.Addr(), state)
}

func newView(t testing.TB, revision uint64, ovens, recipes string) *view.View {
	t.Helper()
	parsed, err := settings.Parse("tree.toml", revision, fmt.Appendf(nil, tree, ovens, recipes))
	if err != nil {
		t.Fatal(err)
	}
	return view.New(parsed, &fleet.List{})
}

func standardView(t testing.TB, revision uint64) *view.View {
	return newView(t, revision, server(oven1, "live")+","+server(oven2, "live"), server(recipe1, "live"))
}

// balancer is a Forwarder with the decisions it joins and a clock.
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

// toBackend returns the packets and their targets that the last event sent to backend servers.
func (b *balancer) toBackend() (list []encapsulator.Packet, targets []netip.AddrPort) {
	for _, a := range b.out.List {
		if a.Target != forwarder.ToBackendServer {
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

func (b *balancer) toCaller() (list []framer.Datagram) {
	for _, a := range b.out.List {
		if a.Target != forwarder.ToCaller {
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

func (b *balancer) send(service netip.AddrPort, d framer.Datagram) {
	data, err := framer.Append(nil, &d)
	if err != nil {
		b.t.Fatal(err)
	}
	b.out.Reset()
	b.HandleCaller(b.now, caller, service, data, &b.out)
}

func (b *balancer) reply(from netip.AddrPort, p encapsulator.Packet) {
	data, err := encapsulator.Append(nil, &p)
	if err != nil {
		b.t.Fatal(err)
	}
	b.out.Reset()
	b.HandleBackendServer(b.now, from, data, &b.out)
}

func (b *balancer) tick(after time.Duration) {
	b.now = b.now.Add(after)
	b.out.Reset()
	b.Tick(b.now, &b.out)
}

func (b *balancer) open() (token []byte, target netip.AddrPort) {
	b.send(ovenwatch, framer.Datagram{Kind: framer.KindOpenFeed, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{1}, Payload: []byte("oven-7")})
	packets, targets := b.toBackend()
	if len(packets) != 1 {
		b.t.Fatalf("open sent %d packets", len(packets))
	}
	p := packets[0]
	p.Verb = encapsulator.VerbAccepted
	b.reply(targets[0], p)
	opened := b.toCaller()
	if len(opened) != 1 || opened[0].Kind != framer.KindOpened {
		b.t.Fatalf("accepted gave %+v", opened)
	}
	return append([]byte(nil), opened[0].Token...), targets[0]
}

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
	parsed, err := settings.Parse("tree.toml", 1, fmt.Appendf(nil, tree, server(oven1, "live"), server(recipe1, "live")))
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
	f.HandleCaller(start, caller, ovenwatch, datagram, &out)
	for _, a := range out.List {
		fmt.Println(a.Target == forwarder.ToBackendServer, a.To)
	}
	// Output: true 127.2.1.1:9000
}

// TestAnyBalancerForwards guards against flows that depend on the balancer that opened them.
func TestAnyBalancerForwards(t *testing.T) {
	g := NewWithT(t)
	token, target := newBalancer(t, self, standardView(t, 1)).open()
	fresh := newBalancer(t, other, standardView(t, 1))
	fresh.send(ovenwatch, feedPacket(token))
	packets, targets := fresh.toBackend()
	g.Expect(targets).To(Equal([]netip.AddrPort{target}))
	g.Expect(packets[0].Verb).To(Equal(encapsulator.VerbFeed))
	g.Expect(packets[0].Seq).To(Equal(uint64(8)))
	g.Expect(fresh.PendingCount()).To(BeZero())
}

// TestEstablishedFlowAllocatesNothing guards the cost of the most frequent decision.
func TestEstablishedFlowAllocatesNothing(t *testing.T) {
	b := newBalancer(t, self, standardView(t, 1))
	token, _ := b.open()
	d := feedPacket(token)
	data, err := framer.Append(nil, &d)
	if err != nil {
		t.Fatal(err)
	}
	if n := testing.AllocsPerRun(1000, func() {
		b.out.Reset()
		b.HandleCaller(b.now, caller, ovenwatch, data, &b.out)
	}); n != 0 {
		t.Fatalf("%v allocations for each packet, want none", n)
	}
}

// TestServiceIsolation guards against a packet, token or reply of one service that crosses to the other.
func TestServiceIsolation(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(t, self, standardView(t, 1))
	token, _ := b.open()

	b.send(recipecard, framer.Datagram{Kind: framer.KindOpenFeed, ServiceID: framer.ServiceID("ovenwatch")})
	g.Expect(b.toCaller()[0].Cause).To(Equal(framer.CauseWrongService))
	g.Expect(b.toCaller()[0].ServiceID).To(Equal(framer.ServiceID("ovenwatch")), "the caller takes only replies of its service")

	crossed := feedPacket(token)
	crossed.ServiceID = framer.ServiceID("recipecard")
	b.send(recipecard, crossed)
	g.Expect(b.toCaller()[0].Cause).To(Equal(framer.CauseBadToken))
	_, targets := b.toBackend()
	g.Expect(targets).To(BeEmpty())

	b.reply(recipe1, encapsulator.Packet{Caller: caller, Service: ovenwatch, ServiceName: "ovenwatch", Verb: encapsulator.VerbReading})
	g.Expect(b.out.List).To(BeEmpty())
}

// TestMovedBackendServer guards against a flow that follows its backend server's address into another service.
func TestMovedBackendServer(t *testing.T) {
	g := NewWithT(t)
	old := standardView(t, 1)
	b := newBalancer(t, self, old)
	token, target := b.open()
	keeps, moves := oven1, oven2
	if target == oven1 {
		keeps, moves = oven2, oven1
	}
	moved := newView(t, 2, server(keeps, "live"), server(moves, "live"))
	g.Expect(b.SetView(start, moved)).To(Succeed())
	b.send(ovenwatch, feedPacket(token))
	g.Expect(b.toCaller()[0].Kind).To(Equal(framer.KindEnded))
	g.Expect(b.SetView(start, old)).To(Succeed(), "an older view is ignored")
	g.Expect(b.Revision()).To(Equal(uint64(2)))
}

// TestOlderViewNeverRefuses guards against a balancer that ends a flow because its own settings are late.
func TestOlderViewNeverRefuses(t *testing.T) {
	g := NewWithT(t)
	newer := newBalancer(t, self, newView(t, 5, server(oven2, "live"), server(recipe1, "live")))
	token, _ := newer.open()
	late := newBalancer(t, other, newView(t, 4, server(oven1, "live"), server(recipe1, "live")))
	late.send(ovenwatch, feedPacket(token))
	g.Expect(late.out.List).To(HaveLen(1))
	g.Expect(late.out.List[0].Target).To(Equal(forwarder.RefreshView))
	g.Expect(late.out.List[0].Revision).To(Equal(uint64(5)))
}

// TestMoveHint guards against feeds that stay on a leaving backend server, or are cut there.
func TestMoveHint(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(t, self, standardView(t, 1))
	token, target := b.open()
	states := map[netip.AddrPort]string{oven1: "live", oven2: "live", target: "leaving"}
	g.Expect(b.SetView(b.now, newView(t, 2, server(oven1, states[oven1])+","+server(oven2, states[oven2]), server(recipe1, "live")))).To(Succeed())
	b.now = b.now.Add(2 * time.Second)
	b.send(ovenwatch, feedPacket(token))
	_, targets := b.toBackend()
	g.Expect(targets).To(Equal([]netip.AddrPort{target}), "the flow goes on")
	g.Expect(b.toCaller()[0].Kind).To(Equal(framer.KindMove))
}

// TestLongRequest guards against giving up a request that a backend server says it is running.
func TestLongRequest(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(t, self, standardView(t, 1))
	b.send(ovenwatch, framer.Datagram{Kind: framer.KindRequest, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{2}})
	packets, targets := b.toBackend()
	running := packets[0]
	running.Verb = encapsulator.VerbRunning
	for range 8 {
		b.tick(400 * time.Millisecond)
		again, to := b.toBackend()
		g.Expect(to).To(Equal(targets))
		g.Expect(again[0].AttemptID).To(Equal(packets[0].AttemptID))
		b.reply(targets[0], running)
	}
	b.tick(400 * time.Millisecond)
	b.tick(400 * time.Millisecond)
	_, to := b.toBackend()
	g.Expect(to).To(HaveLen(2), "a silent backend server gets a cancel and another one the request")
	g.Expect(to[0]).To(Equal(targets[0]))
	g.Expect(to[1]).NotTo(Equal(targets[0]))
}

// TestExecuteGoesToItsGate guards against a second balancer that runs a non-idempotent request.
func TestExecuteGoesToItsGate(t *testing.T) {
	g := NewWithT(t)
	gate, second := newBalancer(t, self, standardView(t, 1)), newBalancer(t, other, standardView(t, 1))
	gate.send(ovenwatch, framer.Datagram{Kind: framer.KindReserve, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{3}})
	token := append([]byte(nil), gate.toCaller()[0].Token...)
	execute := framer.Datagram{Kind: framer.KindExecute, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{3}, Token: token, Payload: []byte("20 loaves")}
	second.send(ovenwatch, execute)
	g.Expect(second.out.List).To(HaveLen(1))
	g.Expect(second.out.List[0].Target).To(Equal(forwarder.ToGate))
	g.Expect(second.out.List[0].To).To(Equal(self))

	gate.out.Reset()
	gate.HandleForwarded(gate.now, caller, ovenwatch, second.out.List[0].Data, &gate.out)
	packets, _ := gate.toBackend()
	g.Expect(packets[0].Verb).To(Equal(encapsulator.VerbRun))
	gate.send(ovenwatch, execute)
	packets, _ = gate.toBackend()
	g.Expect(packets).To(HaveLen(1))
	g.Expect(packets[0].Verb).To(Equal(encapsulator.VerbFetch), "a repeated execute never runs again")
}

// TestRefusedOnceRunsElsewhere guards against a shed order that is lost although another backend server is free.
func TestRefusedOnceRunsElsewhere(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(t, self, standardView(t, 1))
	b.send(ovenwatch, framer.Datagram{Kind: framer.KindReserve, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{3}})
	token := append([]byte(nil), b.toCaller()[0].Token...)
	b.send(ovenwatch, framer.Datagram{Kind: framer.KindExecute, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{3}, Token: token})
	packets, targets := b.toBackend()
	refused := packets[0]
	refused.Verb, refused.Cause, refused.Incarnation = encapsulator.VerbRefused, uint8(framer.CauseShed), 50
	b.reply(targets[0], refused)
	again, to := b.toBackend()
	g.Expect(to).To(HaveLen(1))
	g.Expect(to[0]).NotTo(Equal(targets[0]))
	g.Expect(again[0].AttemptID).NotTo(Equal(packets[0].AttemptID))
}

// FuzzHandleCaller guards against a datagram that panics the decision code or leaves state behind for a bad token.
// TestLostRunIsSentAgain guards against a copy of a run datagram that names another incarnation than the first one: the
// process that replaced the backend server's would run it a second time. It also guards against copies to a backend
// server that leaves.
func TestLostRunIsSentAgain(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(t, self, newView(t, 5, server(oven1, "live"), server(recipe1, "live")))
	b.HandleHealth(b.now, oven1, 7, false)
	b.send(ovenwatch, framer.Datagram{Kind: framer.KindReserve, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{3}})
	token := b.toCaller()[0].Token
	b.send(ovenwatch, framer.Datagram{
		Kind: framer.KindExecute, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{3}, Token: token, Payload: []byte("20 loaves"),
	})
	first, _ := b.toBackend()
	b.HandleHealth(b.now, oven1, 8, false)
	b.tick(400 * time.Millisecond)
	again, targets := b.toBackend()
	g.Expect(again).To(HaveLen(1))
	g.Expect(targets).To(ConsistOf(oven1))
	g.Expect(again[0].Verb).To(Equal(encapsulator.VerbRun))
	g.Expect(again[0].AttemptID).To(Equal(first[0].AttemptID))
	g.Expect(again[0].Incarnation).To(Equal(uint64(7)))
	g.Expect(again[0].Payload).To(Equal(first[0].Payload))
	g.Expect(b.SetView(b.now, newView(t, 6, server(oven1, "leaving"), server(recipe1, "live")))).To(Succeed())
	b.tick(400 * time.Millisecond)
	again, _ = b.toBackend()
	g.Expect(again).To(BeEmpty())
}

func FuzzHandleCaller(f *testing.F) {
	b := newBalancer(f, self, standardView(f, 1))
	token, _ := b.open()
	for _, kind := range []framer.Kind{1, 2, 3, 4, 5, 6, 7, 8} {
		d := feedPacket(token)
		d.Kind = kind
		data, _ := framer.Append(nil, &d)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		b.out.Reset()
		b.HandleCaller(b.now, caller, ovenwatch, data, &b.out)
	})
}

// BenchmarkForwardFeed measures the decision about a packet of an established feed.
func BenchmarkForwardFeed(b *testing.B) {
	l := newBalancer(b, self, standardView(b, 1))
	token, _ := l.open()
	d := feedPacket(token)
	data, err := framer.Append(nil, &d)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.out.Reset()
		l.HandleCaller(l.now, caller, ovenwatch, data, &l.out)
	}
}

// BenchmarkRelayReading measures the decision about a reading on its way to the caller.
func BenchmarkRelayReading(b *testing.B) {
	l := newBalancer(b, self, standardView(b, 1))
	token, target := l.open()
	data, err := encapsulator.Append(nil, &encapsulator.Packet{
		Caller: caller, Service: ovenwatch, ServiceName: "ovenwatch", CallID: [16]byte{1}, Verb: encapsulator.VerbReading,
		Token: token, Seq: 9, HasLoad: true, Incarnation: 100, Payload: make([]byte, 64),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.out.Reset()
		l.HandleBackendServer(l.now, target, data, &l.out)
	}
}

// TestRetransmissionReachesTheHolder guards against an idempotent request that runs once for each balancer that one of
// its retransmissions reaches.
func TestRetransmissionReachesTheHolder(t *testing.T) {
	g := NewWithT(t)
	holder, second := newBalancer(t, self, standardView(t, 1)), newBalancer(t, other, standardView(t, 1))
	request := framer.Datagram{Kind: framer.KindRequest, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{2}}
	holder.send(ovenwatch, request)
	packets, targets := holder.toBackend()
	holder.tick(100 * time.Millisecond)
	notice := holder.toCaller()
	g.Expect(notice).To(HaveLen(1))
	g.Expect(notice[0].Kind).To(Equal(framer.KindReserved))

	request.Token = notice[0].Token
	second.send(ovenwatch, request)
	g.Expect(second.out.List).To(HaveLen(1))
	g.Expect(second.out.List[0].Target).To(Equal(forwarder.ToGate))
	g.Expect(second.out.List[0].To).To(Equal(self))
	forwarded := append([]byte(nil), second.out.List[0].Data...)

	holder.out.Reset()
	holder.HandleForwarded(holder.now, caller, ovenwatch, forwarded, &holder.out)
	again, to := holder.toBackend()
	g.Expect(to).To(Equal(targets))
	g.Expect(again[0].AttemptID).To(Equal(packets[0].AttemptID))
	g.Expect(holder.PendingCount()).To(Equal(1))

	restarted := newBalancer(t, self, standardView(t, 1))
	restarted.HandleForwarded(restarted.now, caller, ovenwatch, forwarded, &restarted.out)
	_, to = restarted.toBackend()
	g.Expect(to).To(HaveLen(1), "a balancer that does not hold the request takes it as new work")
}

// TestHeldRetries guards against retries that are placed by the view of before a pause.
func TestHeldRetries(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(t, self, standardView(t, 1))
	request := framer.Datagram{Kind: framer.KindRequest, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{4}}
	b.send(ovenwatch, request)
	packets, targets := b.toBackend()
	b.Hold(b.now.Add(time.Second))
	refused := packets[0]
	refused.Verb, refused.Cause, refused.Incarnation = encapsulator.VerbRefused, uint8(framer.CauseShed), 50
	b.reply(targets[0], refused)
	again, _ := b.toBackend()
	g.Expect(again).To(BeEmpty())
	b.Release()
	b.send(ovenwatch, request)
	again, _ = b.toBackend()
	g.Expect(again).To(HaveLen(1), "the caller's retransmission is placed")
}
