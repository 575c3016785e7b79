package forwarder_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/services/forwarder"
	"github.com/bluebelldyke/bluebelldyke/services/gatekeeper"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// serviceNames are the services of randomTree; not every tree has all of them.
var serviceNames = []string{"ovenwatch", "recipecard", "orders"}

// randomTree returns a valid settings document in which every level may set every tunable, at its limits too. Backend servers of
// different services share VMs.
func randomTree(r *rand.Rand) string {
	pick := func(values ...string) string { return values[r.IntN(len(values))] }
	tunables := func() string {
		all := []string{
			"slots = " + pick("1", "2", "65535"), "connections = " + pick("1", "2000", "1048576"), "drain-time = " + pick(`"0s"`, `"1ns"`, `"24h"`),
			"request-timeout = " + pick(`"1ms"`, `"5s"`, `"1h"`), "retry-budget = " + pick("0", "0.1", "1"),
			"policy = " + pick(`"random"`, `"round-robin"`, `"two-choices"`, `"two-choices-reported"`, `"least-loaded"`, `"rendezvous-bounded"`),
			"slow-start = " + pick(`"0s"`, `"1ns"`, `"1h"`), "token-lifetime = " + pick(`"1s"`, `"1m"`), "weight = " + pick("0.001", "1", "1000"),
			"priority = " + pick("0", "1", "9"), "target-latency = " + pick(`"0s"`, `"1ns"`, `"150ms"`, `"1h"`),
		}
		var set []string
		for _, t := range all {
			if r.IntN(3) == 0 {
				set = append(set, t)
			}
		}
		return strings.Join(set, "\n") + "\n"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "seal-with = %d\nallow-full-evacuation = true\n", 1+r.IntN(2))
	for id, secret := range []string{"141b222930373e454c535a61686f767d848b9299a0a7aeb5bcc3cad1d8dfe6ed", "241b222930373e454c535a61686f767d848b9299a0a7aeb5bcc3cad1d8dfe6ed"} {
		fmt.Fprintf(&b, "[[token-keys]]\nid = %d\nsecret = %q\n", id+1, secret)
	}
	declared := serviceNames[:1+r.IntN(len(serviceNames))]
	for i, name := range declared {
		fmt.Fprintf(&b, "[services.%s]\naddress = \"127.0.53.%d:%d\"\n", name, i+1, 7001+i)
	}
	if r.IntN(2) == 0 {
		fmt.Fprintf(&b, "[regions.mu-south]\nplaces = [\"souillac\", \"mahebourg\"]\nzone-delay = %s\n", pick(`"0s"`, `"4ms"`, `"10s"`))
	}
	fmt.Fprintf(&b, "[caller-groups]\nvans = [\"127.3.1.0/24\"]\n[defaults]\n%s", tunables())
	for p, place := range []string{"souillac", "mahebourg"}[:1+r.IntN(2)] {
		fmt.Fprintf(&b, "[places.%s]\nevacuated = %v\n%s", place, r.IntN(4) == 0, tunables())
		for i, name := range declared {
			fmt.Fprintf(&b, "[places.%s.services.%s]\n%s[places.%s.services.%s.groups.main]\n%sbackend-servers = [", place, name, tunables(), place, name, tunables())
			for n := range r.IntN(5) {
				fmt.Fprintf(&b, `{ name = "n%d-%d", address = "127.2.%d.%d:%d", state = "%s" },`, p, n, p+1, n+1, 9000+i, pick("live", "live", "leaving"))
			}
			b.WriteString("]\n")
		}
	}
	return b.String()
}

// randomViews returns views of random trees. Most have the same revision, so that they can follow each other in any order.
func randomViews(t testing.TB, count int) []*view.View {
	r := rand.New(rand.NewPCG(1, 2))
	views := make([]*view.View, count)
	for i := range views {
		tree, err := settings.Parse("settings", 1+uint64(i)/24, []byte(randomTree(r)))
		if err != nil {
			t.Fatal(err)
		}
		list := &fleet.List{}
		if i%3 == 0 {
			list.VMs = []fleet.VM{{Address: netip.MustParseAddrPort("127.2.1.1:9000"), AvailabilityZone: "souillac", Role: fleet.BackendServer, Leaving: true}}
		}
		views[i] = view.New(tree, list)
	}
	return views
}

// events feeds the events that a byte string describes to a balancer with its scheduler and gatekeeper.
type events struct {
	t         *testing.T
	data      []byte
	views     []*view.View
	balancer  *forwarder.Forwarder
	scheduler *scheduler.Scheduler
	now       time.Time
	out       forwarder.Actions
	// packets and tokens are the latest ones that the balancer sent to backend servers and to callers.
	packets []sentPacket
	tokens  []sentToken
}

type sentPacket struct {
	to     netip.AddrPort
	packet encapsulator.Packet
}

type sentToken struct {
	caller, service netip.AddrPort
	datagram        framer.Datagram
}

// next returns the next byte, 0 after the end.
func (e *events) next() int {
	if len(e.data) == 0 {
		return 0
	}
	b := e.data[0]
	e.data = e.data[1:]
	return int(b)
}

// number returns one of several numbers, among them the largest and smallest.
func (e *events) number() uint64 {
	numbers := [...]uint64{0, 1, 2, 255, 1 << 31, 1<<32 - 1, 1 << 53, 1<<63 - 1, 1 << 63, 1<<64 - 1}
	return numbers[e.next()%len(numbers)]
}

func (e *events) deadline() time.Time {
	if e.next()%4 > 0 {
		return e.now.Add(time.Second)
	}
	return [...]time.Time{{}, e.now.Add(time.Millisecond), e.now.Add(-time.Second), time.UnixMilli(1<<63 - 1), time.UnixMilli(-1 << 63)}[e.next()%5]
}

func (e *events) step() {
	e.out.Reset()
	service := e.next() % len(serviceNames)
	switch e.next() % 8 {
	case 0:
		if err := e.balancer.SetView(e.now, e.views[e.next()%len(e.views)]); err != nil {
			e.t.Fatal(err)
		}
	case 1, 2:
		e.sendFromCaller(service)
	case 3, 4:
		e.replyFromServer()
	case 5:
		server := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 1, byte(e.next())}), uint16(9000+service))
		e.balancer.HandleHealth(e.now, server, e.number(), e.next()%2 == 0)
		e.scheduler.Observe(e.now, scheduler.Observation{
			Kind: scheduler.HealthCombined, Service: serviceNames[service], BackendServer: server, Health: scheduler.HealthState(e.next() % 6),
			HasLoad: true, Load: scheduler.Load{Running: int(int32(e.number())), Queued: int(int32(e.number()))},
		})
	case 6:
		e.handlePause()
	default:
		e.now = e.now.Add([...]time.Duration{1, 1, 1, 10, 10, 10, 50, 100, 250, 400, 1, 2, 3, 4, 2000, 40_000, -1000}[e.next()%17] * time.Millisecond)
		e.balancer.Tick(e.now, &e.out)
	}
	e.record()
}

func (e *events) handlePause() {
	switch e.next() % 4 {
	case 0:
		e.balancer.PausePlacement(e.now.Add(500 * time.Millisecond))
	case 1:
		e.balancer.ResumePlacement()
	case 2:
		e.balancer.IsDrained(e.now)
	default:
		if e.next() == 255 {
			e.balancer.Stop(e.now)
		}
	}
}

func (e *events) sendFromCaller(service int) {
	callerAddress := netip.AddrPortFrom(caller.Addr(), uint16(4000+e.next()%3))
	serviceAddress := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 53, byte(service + 1)}), uint16(7001+service))
	d := framer.Datagram{
		Kind: framer.Kind(e.next() % 10), ServiceID: framer.ServiceID(serviceNames[service]), CallID: [16]byte{byte(e.next())}, Seq: e.number(),
		PartCount: uint32(e.number()), Deadline: e.deadline(), Cause: framer.Cause(e.next()), Payload: make([]byte, e.next()),
	}
	if len(e.tokens) > 0 && e.next()%2 == 0 {
		token := e.tokens[e.next()%len(e.tokens)]
		d.Token = token.datagram.Token
		if e.next()%8 > 0 { // the next datagram of the same flow
			callerAddress, serviceAddress, d.CallID, d.ServiceID = token.caller, token.service, token.datagram.CallID, token.datagram.ServiceID
			d.Kind = []framer.Kind{framer.KindFeed, framer.KindExecute, framer.KindExecute, framer.KindFetch, framer.KindCancel, framer.KindRequest}[e.next()%6]
		}
	}
	data, err := framer.Append(nil, &d)
	if err != nil {
		return
	}
	if e.next()%8 == 0 {
		e.balancer.HandleForwardedDatagram(e.now, callerAddress, serviceAddress, data, &e.out)
		return
	}
	e.balancer.HandleCallerDatagram(e.now, callerAddress, serviceAddress, data, &e.out)
}

func (e *events) replyFromServer() {
	if len(e.packets) == 0 {
		return
	}
	s := e.packets[e.next()%len(e.packets)]
	p := s.packet
	p.Verb, p.Seq, p.PartCount = encapsulator.Verb(15+e.next()%9), e.number(), uint32(e.number())
	p.Cause = [...]uint8{uint8(framer.CauseShed), uint8(framer.CauseShed), uint8(framer.CauseDraining), uint8(e.next())}[e.next()%4]
	p.Incarnation, p.HasLoad = 0, e.next()%2 == 0
	if e.next()%16 == 0 {
		p.Incarnation = e.number()
	}
	p.Load = encapsulator.Load{Running: 2, Queued: uint16(e.next() % 16), Slots: 2, Feeds: uint32(e.next())}
	if e.next()%16 == 0 {
		p.Load = encapsulator.Load{Running: uint16(e.number()), Queued: uint16(e.number()), Slots: uint16(e.number()), Feeds: uint32(e.number())}
	}
	if data, err := encapsulator.Append(nil, &p); err == nil {
		e.balancer.HandleBackendDatagram(e.now, s.to, data, &e.out)
	}
}

// record stores what the balancer sent, for later replies and datagrams with tokens.
func (e *events) record() {
	const kept = 16
	for _, a := range e.out.List {
		switch a.Kind {
		case forwarder.SendToBackendServer:
			s := sentPacket{to: a.To}
			if err := encapsulator.Parse(a.Data, &s.packet); err != nil {
				e.t.Fatalf("packet to a backend server: %v", err)
			}
			s.packet.Token = append([]byte(nil), s.packet.Token...)
			s.packet.Payload = nil
			e.packets = append(e.packets[max(0, len(e.packets)-kept):], s)
		case forwarder.SendToCaller:
			var d framer.Datagram
			if err := framer.Parse(a.Data, &d); err != nil {
				e.t.Fatalf("datagram to a caller: %v", err)
			}
			if len(d.Token) > 0 {
				d.Token, d.Payload = append([]byte(nil), d.Token...), nil
				e.tokens = append(e.tokens[max(0, len(e.tokens)-kept):], sentToken{a.To, a.Service, d})
			}
		}
	}
}

// newEvents returns the events of data. The first byte selects the first view.
func newEvents(t *testing.T, views []*view.View, data []byte) *events {
	random := rand.New(rand.NewPCG(7, 8))
	s := scheduler.New(scheduler.Config{AvailabilityZone: "souillac", Random: random})
	e := &events{t: t, data: data, views: views, now: start, scheduler: s, balancer: forwarder.New(forwarder.Config{
		Self: self, AvailabilityZone: "souillac", Incarnation: 100, Random: random, Placer: s,
		Gate: gatekeeper.New(gatekeeper.Config{Self: self, Incarnation: 100, Random: random}),
	})}
	if err := e.balancer.SetView(e.now, views[e.next()%len(views)]); err != nil {
		t.Fatal(err)
	}
	return e
}

// randomData returns a random input for the given number of events.
func randomData(r *rand.Rand, count int) []byte {
	data := make([]byte, 24*count)
	for i := 0; i < len(data); i += 8 {
		binary.LittleEndian.PutUint64(data[i:], r.Uint64())
	}
	return data
}

// FuzzEvents guards against a sequence of valid settings, datagrams, load and health reports, pauses and clock steps that makes the
// decision code panic or run forever. An input takes about 0.1 ms, because it has up to 60 events.
func FuzzEvents(f *testing.F) {
	views := randomViews(f, 32)
	r := rand.New(rand.NewPCG(3, 4))
	for range 40 {
		f.Add(randomData(r, 1+r.IntN(60)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e := newEvents(t, views, data)
		for range 60 {
			if len(e.data) == 0 {
				return
			}
			e.step()
		}
	})
}

// TestLongEvents guards against the failures of FuzzEvents that need many events, such as those under overload.
func TestLongEvents(t *testing.T) {
	views := randomViews(t, 48)
	for seed := range uint64(30) {
		e := newEvents(t, views, randomData(rand.New(rand.NewPCG(seed, 5)), 4000))
		for len(e.data) > 0 {
			e.step()
		}
	}
}
