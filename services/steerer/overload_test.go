package steerer_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

var (
	lowAddress  = netip.MustParseAddrPort("198.18.0.2:443")
	highAddress = netip.MustParseAddrPort("198.18.0.3:443")
)

// newAdmissionDaemon returns a daemon with two routes of different priorities to one service of 4 slots.
func newAdmissionDaemon(enabled bool) *daemon {
	d := &daemon{Steerer: steerer.New(steerer.Config{
		AvailabilityZone: "souillac", Random: rand.New(rand.NewPCG(1, 1)),
		Admission: steerer.AdmissionConfig{Enabled: enabled, MaxHeldPackets: 16, MaxHeldBytes: 10_000, PacketOverhead: 30},
	}), now: start}
	shares := []directory.Share{{Service: "ovenwatch", Weight: 1}}
	d.SetConfiguration(d.now, &directory.Configuration{Version: 1, Routes: []directory.Route{
		{Name: "low", Address: lowAddress, Shares: shares, Priority: 2, TargetLatency: 600 * time.Millisecond, Timeout: 4 * time.Second},
		{Name: "high", Address: highAddress, Shares: shares, Priority: 1, TargetLatency: 600 * time.Millisecond, Timeout: 5 * time.Second},
	}})
	d.SetBackendList(d.now, &directory.BackendList{Position: directory.Position{Revision: 1}, Servers: newBackendServers(2, 1, "ovenwatch", "souillac")})
	return d
}

// open opens a flow to an address and returns the packet of its first request, not sent yet.
func (d *daemon) open(to netip.AddrPort) *editor.Packet {
	p := d.openingPacket()
	p.Destination = to
	placed := d.Steer(d.now, p)
	p.Flags, p.Tag, p.AckNumber = editor.Flags{ACK: true}, placed.Tag, 5000
	d.Steer(d.now, p)
	p.SequenceNumber, p.DataLength = 1001, 200
	return p
}

// exchange sends a request on the flow of p, and the acknowledgement of a response after the delay.
func (d *daemon) exchange(p *editor.Packet, delay time.Duration) {
	p.DataLength = 200
	d.Steer(d.now, p)
	d.advance(delay)
	p.SequenceNumber, p.AckNumber, p.DataLength = p.SequenceNumber+200, p.AckNumber+4000, 0
	d.Steer(d.now, p)
}

// overload makes the service overloaded and uses up its window.
func (d *daemon) overload() {
	p := d.open(highAddress)
	for range 10 {
		d.exchange(p, 500*time.Millisecond)
	}
	for range 40 {
		d.Steer(d.now, d.open(highAddress))
	}
}

// releases returns what becomes of the held requests by id until the given time.
func (d *daemon) releases(until time.Time) map[uint64]steerer.Decision {
	list := map[uint64]steerer.Decision{}
	for ; d.now.Before(until); d.advance(5 * time.Millisecond) {
		for {
			id, decision, ok := d.NextRelease(d.now)
			if !ok {
				break
			}
			list[id] = decision
		}
	}
	return list
}

// TestHold guards against requests of a lower priority that are not held under overload, against held ones of the highest priority,
// against retransmissions that are forwarded besides the held packet, and against acknowledgements that wait.
func TestHold(t *testing.T) {
	g := NewWithT(t)
	d := newAdmissionDaemon(true)
	d.overload()
	g.Expect(d.AdmissionServices()[0].Overloaded).To(BeTrue())
	p := d.open(lowAddress)
	first := d.Steer(d.now, p)
	g.Expect(first.Action).To(Equal(steerer.Hold))
	g.Expect(d.Steer(d.now, p).Cause).To(Equal(steerer.HeldRetransmission))
	second := *p
	second.SequenceNumber += 200
	next := d.Steer(d.now, &second)
	g.Expect(next.Action).To(Equal(steerer.Hold), "the second packet of the request waits behind the first one")
	g.Expect(next.Hold).To(Equal(first.Hold))
	g.Expect(d.Steer(d.now, p).Cause).To(Equal(steerer.HeldRetransmission))
	acknowledgement := *p
	acknowledgement.DataLength = 0
	g.Expect(d.Steer(d.now, &acknowledgement).Action).To(Equal(steerer.Forward))
	g.Expect(d.Steer(d.now, d.open(highAddress)).Action).To(Equal(steerer.Forward))
	released := d.releases(d.now.Add(4 * time.Second))
	g.Expect(released).To(HaveLen(1))
	g.Expect(released[first.Hold].Cause).To(Equal(steerer.Released))
	g.Expect(d.Steer(d.now, &second).Action).To(Equal(steerer.Forward), "a retransmission after the release")
	_, waiting := d.NextReleaseAt(d.now)
	g.Expect(waiting).To(BeFalse())
}

// TestHeldFlowEnds guards against a held request that is forwarded after its client has given it up.
func TestHeldFlowEnds(t *testing.T) {
	for _, flags := range []editor.Flags{{FIN: true, ACK: true}, {RST: true}} {
		g := NewWithT(t)
		d := newAdmissionDaemon(true)
		d.overload()
		p := d.open(lowAddress)
		held := d.Steer(d.now, p)
		g.Expect(held.Action).To(Equal(steerer.Hold))
		end := *p
		end.Flags, end.DataLength = flags, 0
		g.Expect(d.Steer(d.now, &end).Action).To(Equal(steerer.Forward))
		g.Expect(d.releases(d.now.Add(4 * time.Second))[held.Hold].Cause).To(Equal(steerer.Abandoned))
	}
}

// TestHeldBounds guards against a store of held packets that grows without bound.
func TestHeldBounds(t *testing.T) {
	g := NewWithT(t)
	d := newAdmissionDaemon(true)
	d.overload()
	held := map[uint64]bool{}
	for range 100 {
		if decision := d.Steer(d.now, d.open(lowAddress)); decision.Action == steerer.Hold {
			held[decision.Hold] = true
		}
		for {
			id, _, ok := d.NextRelease(d.now)
			if !ok {
				break
			}
			delete(held, id)
		}
		g.Expect(len(held)).To(BeNumerically("<=", 16))
	}
	g.Expect(held).NotTo(BeEmpty())
}

// TestPlannedStop guards against held packets that are lost when the daemon stops.
func TestPlannedStop(t *testing.T) {
	g := NewWithT(t)
	d := newAdmissionDaemon(true)
	d.overload()
	ids := map[uint64]bool{}
	for range 5 {
		ids[d.Steer(d.now, d.open(lowAddress)).Hold] = true
	}
	d.ReleaseAll(d.now)
	for range 5 {
		id, decision, ok := d.NextRelease(d.now)
		g.Expect(ok).To(BeTrue())
		g.Expect(decision.Action).To(Equal(steerer.Forward))
		g.Expect(ids).To(HaveKey(id))
		delete(ids, id)
	}
	g.Expect(ids).To(BeEmpty())
	g.Expect(d.Steer(d.now, d.open(lowAddress)).Action).To(Equal(steerer.Forward))
}

// TestExpiredWhilePaused guards against held requests that are forwarded after their deadline when the process resumes after a pause.
func TestExpiredWhilePaused(t *testing.T) {
	g := NewWithT(t)
	d := newAdmissionDaemon(true)
	d.overload()
	held := d.Steer(d.now, d.open(lowAddress))
	d.advance(5 * time.Second)
	g.Expect(d.releases(d.now.Add(time.Millisecond))[held.Hold].Cause).To(Equal(steerer.Expired))
}

// TestNoHoldWithoutNeed guards against admission control that acts without overload or while it is switched off, and against its cost:
// the decision about a packet must not allocate.
func TestNoHoldWithoutNeed(t *testing.T) {
	g := NewWithT(t)
	off := newAdmissionDaemon(false)
	off.overload()
	g.Expect(off.Steer(off.now, off.open(lowAddress)).Action).To(Equal(steerer.Forward))
	g.Expect(off.AdmissionServices()).To(BeEmpty())
	calm := newAdmissionDaemon(true)
	p := calm.open(lowAddress)
	calm.exchange(p, 30*time.Millisecond)
	g.Expect(testing.AllocsPerRun(200, func() { calm.exchange(p, 30*time.Millisecond) })).To(BeZero())
	g.Expect(calm.AdmissionRoutes()[0].Held).To(BeZero())
}

// TestForwardedOnce guards against a daemon that forwards a packet twice that its client sent once, over random packets of held flows.
func TestForwardedOnce(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 1))
		d := newAdmissionDaemon(true)
		d.overload()
		sent, forwarded := map[netip.AddrPort]int{}, map[netip.AddrPort]int{}
		holds := map[uint64][]netip.AddrPort{}
		var flows []*editor.Packet
		for range 12 {
			flows = append(flows, d.open([]netip.AddrPort{lowAddress, highAddress}[random.IntN(2)]))
		}
		for range 600 {
			d.advance(time.Duration(random.IntN(20)) * time.Millisecond)
			p := *flows[random.IntN(len(flows))]
			switch random.IntN(10) {
			case 0:
				p.DataLength = 0
			case 1:
				p.Flags, p.DataLength = editor.Flags{ACK: true, FIN: true}, 0
			case 2:
				p.SequenceNumber += 200
			}
			if p.DataLength > 0 {
				sent[p.Source]++
			}
			decision := d.Steer(d.now, &p)
			g.Expect(decision.Cause).NotTo(Equal(steerer.Overloaded), "reset of an established flow")
			if p.DataLength > 0 && decision.Action == steerer.Forward {
				forwarded[p.Source]++
			}
			if decision.Action == steerer.Hold {
				holds[decision.Hold] = append(holds[decision.Hold], p.Source)
			}
			for {
				id, release, ok := d.NextRelease(d.now)
				if !ok {
					break
				}
				for _, source := range holds[id] {
					if release.Action == steerer.Forward {
						forwarded[source]++
					}
				}
				delete(holds, id)
			}
		}
		for source, n := range forwarded {
			g.Expect(n).To(BeNumerically("<=", sent[source]), "seed %d", seed)
		}
	}
}

// BenchmarkAdmission measures a request and its acknowledgement with admission control and without overload.
func BenchmarkAdmission(b *testing.B) {
	for _, enabled := range []bool{false, true} {
		b.Run(map[bool]string{false: "off", true: "on"}[enabled], func(b *testing.B) {
			d := newAdmissionDaemon(enabled)
			p := d.open(lowAddress)
			b.ReportAllocs()
			for b.Loop() {
				d.exchange(p, 30*time.Millisecond)
			}
		})
	}
}

// TestExpiredRequestStaysDropped guards against a request that runs for nobody: its client has given it up, but goes on retransmitting it
// when the overload is over.
func TestExpiredRequestStaysDropped(t *testing.T) {
	g := NewWithT(t)
	d := newAdmissionDaemon(true)
	d.overload()
	waiting := map[uint64]*editor.Packet{}
	for range 12 {
		p := d.open(lowAddress)
		if decision := d.Steer(d.now, p); decision.Action == steerer.Hold {
			waiting[decision.Hold] = p
		}
	}
	var expired []*editor.Packet
	high := d.open(highAddress)
	for end := d.now.Add(4500 * time.Millisecond); d.now.Before(end); {
		for range 40 { // keeps the window used up
			d.Steer(d.now, d.open(highAddress))
		}
		d.exchange(high, 500*time.Millisecond)
		for id, decision := range d.releases(d.now.Add(5 * time.Millisecond)) {
			if decision.Cause == steerer.Expired {
				expired = append(expired, waiting[id])
			}
		}
	}
	g.Expect(expired).NotTo(BeEmpty())
	d.advance(5 * time.Second)
	d.Sweep(d.now)
	g.Expect(d.AdmissionServices()[0].Overloaded).To(BeFalse())
	for _, p := range expired {
		g.Expect(d.Steer(d.now, p).Cause).To(Equal(steerer.Expired))
		p.SequenceNumber += 200
		g.Expect(d.Steer(d.now, p).Action).To(Equal(steerer.Forward), "the next request of the flow")
	}
}

// TestUnanswerableRequestStaysDropped guards against a request that runs for nobody: it was dropped on arrival, because responses took longer
// than its timeout, and its client has given it up when the overload is over.
func TestUnanswerableRequestStaysDropped(t *testing.T) {
	g := NewWithT(t)
	d := newAdmissionDaemon(true)
	var flows []*editor.Packet
	for range 60 {
		high := d.open(highAddress)
		d.Steer(d.now, high)
		flows = append(flows, high)
	}
	p := d.open(lowAddress)
	d.advance(4500 * time.Millisecond)
	for _, high := range flows {
		d.advance(50 * time.Millisecond)
		high.SequenceNumber, high.AckNumber, high.DataLength = high.SequenceNumber+200, high.AckNumber+4000, 0
		d.Steer(d.now, high)
	}
	g.Expect(d.Steer(d.now, p).Cause).To(Equal(steerer.Expired))
	g.Expect(d.AdmissionRoutes()[0].Expired).To(BeEquivalentTo(1))
	d.advance(5 * time.Second)
	d.Sweep(d.now)
	g.Expect(d.AdmissionServices()[0].Overloaded).To(BeFalse())
	g.Expect(d.Steer(d.now, p).Cause).To(Equal(steerer.Expired))
}

// TestRenamedRoute guards against counts that go on under the earlier name of a route.
func TestRenamedRoute(t *testing.T) {
	g := NewWithT(t)
	d := newAdmissionDaemon(true)
	shares := []directory.Share{{Service: "ovenwatch", Weight: 1}}
	d.SetConfiguration(d.now, &directory.Configuration{Version: 2, Routes: []directory.Route{
		{Name: "renamed", Address: lowAddress, Shares: shares, Priority: 2, TargetLatency: 600 * time.Millisecond, Timeout: 4 * time.Second},
		{Name: "high", Address: highAddress, Shares: shares, Priority: 1, TargetLatency: 600 * time.Millisecond, Timeout: 5 * time.Second},
	}})
	g.Expect(d.AdmissionRoutes()[0].Route).To(Equal("renamed"))
}

// TestChangeWithPrioritiesOfTwoServices guards against a daemon that ends at a change of the configuration, because two services have routes of
// different priorities and those of the first are unchanged. The admission control of unchanged routes must keep its state.
func TestChangeWithPrioritiesOfTwoServices(t *testing.T) {
	g := NewWithT(t)
	d := newAdmissionDaemon(true)
	route := func(port uint16, service string, priority int) directory.Route {
		return directory.Route{
			Address: netip.AddrPortFrom(lowAddress.Addr(), port), Shares: []directory.Share{{Service: service, Weight: 1}},
			Priority: priority, TargetLatency: 600 * time.Millisecond, Timeout: 4 * time.Second,
		}
	}
	routes := []directory.Route{route(443, "ovenwatch", 2), route(444, "ovenwatch", 1), route(445, "recipecard", 2), route(446, "recipecard", 1)}
	d.SetConfiguration(d.now, &directory.Configuration{Version: 2, Routes: routes})
	d.SetBackendList(d.now, &directory.BackendList{Position: directory.Position{Revision: 2}, Servers: slices.Concat(
		newBackendServers(2, 1, "ovenwatch", "souillac"), newBackendServers(2, 11, "recipecard", "souillac"))})
	p := d.open(routes[3].Address)
	for range 10 {
		d.exchange(p, 500*time.Millisecond)
	}
	overloaded := func() []string {
		var names []string
		for _, s := range d.AdmissionServices() {
			if s.Overloaded {
				names = append(names, s.Service)
			}
		}
		return names
	}
	g.Expect(overloaded()).To(ConsistOf("recipecard"))
	for version := uint64(3); version < 6; version++ {
		routes = append(routes, route(uint16(444+version), "recipecard-archive", 2))
		d.SetConfiguration(d.now, &directory.Configuration{Version: version, Routes: routes})
		g.Expect(d.AdmissionServices()).To(HaveLen(2))
		g.Expect(overloaded()).To(ConsistOf("recipecard"))
	}
	routes[0].Timeout = 3 * time.Second
	d.SetConfiguration(d.now, &directory.Configuration{Version: 6, Routes: routes})
	g.Expect(overloaded()).To(ConsistOf("recipecard"))
}
