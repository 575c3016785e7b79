package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"strings"
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

const (
	serviceName = "ovenwatch"
	serverPort  = 9000
	secret      = "141b222930373e454c535a61686f767d848b9299a0a7aeb5bcc3cad1d8dfe6ed"
)

var (
	zoneNames      = [zones]string{"souillac", "mahebourg", "bel-ombre"}
	serviceAddress = netip.MustParseAddrPort("127.0.53.1:7001")
	serviceID      = framer.ServiceID(serviceName)
	epoch          = time.UnixMilli(1_800_000_000_000)
)

// routable is option D: the decision code of the product. Callers return the token of their flow in each packet.
type routable struct {
	fleet    *timeline
	views    []*view.View
	balancer []*forwarder.Forwarder
	out      forwarder.Actions
	in       framer.Datagram
	packet   encapsulator.Packet
	waiting  map[[framer.CallIDSize]byte]*flow // opens on their way
	tokens   bool
}

// newRoutable returns option D with a placement policy of the settings.
func newRoutable(f *timeline, seed uint64, tokens bool, policy string) (*routable, error) {
	d := &routable{fleet: f, waiting: map[[framer.CallIDSize]byte]*flow{}, tokens: tokens}
	for i := range f.versions {
		tree, err := settings.Parse("tree.toml", uint64(i+1), []byte(treeOf(&f.versions[i], policy)))
		if err != nil {
			return nil, err
		}
		d.views = append(d.views, view.New(tree, &fleet.List{}))
	}
	for _, n := range f.nodes {
		random := rand.New(rand.NewPCG(seed, uint64(n.id)+100))
		self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(n.zone), byte(n.id)}), 7401)
		d.balancer = append(d.balancer, forwarder.New(forwarder.Config{
			Self: self, Incarnation: 1, Random: random,
			Placer: scheduler.New(scheduler.Config{AvailabilityZone: zoneNames[n.zone], Random: random}),
			Gate:   gatekeeper.New(gatekeeper.Config{Self: self, Incarnation: 1, Random: random}),
		}))
	}
	return d, nil
}

func serverAddress(s int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 1, byte(s + 1)}), serverPort)
}

func serverOf(a netip.AddrPort) int { return int(a.Addr().As4()[3]) - 1 }

func treeOf(v *version, policy string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seal-with = 1\n[[token-keys]]\nid = 1\nsecret = %q\n[defaults]\nconnections = 100000\npolicy = %q\n", secret, policy)
	fmt.Fprintf(&b, "[services.%s]\naddress = %q\n[regions.mu-south]\nplaces = [", serviceName, serviceAddress)
	for _, z := range zoneNames {
		fmt.Fprintf(&b, "%q, ", z)
	}
	b.WriteString("]\nzone-delay = \"4ms\"\ncaller-delay = \"1ms\"\n")
	for z, name := range zoneNames {
		fmt.Fprintf(&b, "[places.%s.services.%s.groups.main]\nbackend-servers = [", name, serviceName)
		for s := range v.servers {
			if zoneOfServer(s) != z || !v.servers[s] && !v.leaving[s] {
				continue
			}
			state := "live"
			if v.leaving[s] {
				state = "leaving"
			}
			a := serverAddress(s)
			fmt.Fprintf(&b, "{ name = \"b%d\", address = %q, health = \"%s:9080\", state = %q }, ", s, a, a.Addr(), state)
		}
		b.WriteString("]\n")
	}
	return b.String()
}

func (d *routable) name() string {
	if !d.tokens {
		return "D with callers that return no tokens"
	}
	return "D routable token"
}

func (d *routable) learn(now time.Duration, n *node) {
	_ = d.balancer[n.id].SetView(epoch.Add(now), d.views[n.held])
}

func (d *routable) stop(now time.Duration, n *node) { d.balancer[n.id].Stop(epoch.Add(now)) }
func (d *routable) entries(n *node) int             { return d.balancer[n.id].PendingCount() }

// entrySize measures the memory of one flow that is being opened. Established flows have no entry.
func (d *routable) entrySize() int {
	const count = 20_000
	random := rand.New(rand.NewPCG(1, 1))
	f := forwarder.New(forwarder.Config{
		Incarnation: 1, Random: random, Placer: scheduler.New(scheduler.Config{Random: random}),
		Gate: gatekeeper.New(gatekeeper.Config{Incarnation: 1, Random: random}),
	})
	if err := f.SetView(epoch, d.views[0]); err != nil {
		return 0
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range count {
		g := framer.Datagram{Kind: framer.KindOpenFeed, ServiceID: serviceID}
		binary.BigEndian.PutUint64(g.CallID[:], mix(uint64(i)))
		datagram, err := framer.Append(nil, &g)
		if err != nil {
			return 0
		}
		d.out.Reset()
		f.HandleCallerDatagram(epoch, callerOf(&flow{number: i}), serviceAddress, datagram, &d.out)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := int(after.HeapAlloc-before.HeapAlloc) / max(1, f.PendingCount())
	runtime.KeepAlive(f)
	return size
}

func (d *routable) tick(now time.Duration) {
	for _, n := range d.fleet.nodes {
		if n.alive(now) {
			d.out.Reset()
			d.balancer[n.id].Tick(epoch.Add(now), &d.out)
			d.carryOut(now, n)
		}
	}
}

func callOf(f *flow) (call [framer.CallIDSize]byte) {
	binary.BigEndian.PutUint64(call[:], f.id)
	return call
}

func callerOf(f *flow) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(f.zone), byte(f.number >> 12)}), uint16(10_000+f.number&0xFFF))
}

func (d *routable) route(now time.Duration, n *node, f *flow) int {
	g := framer.Datagram{Kind: framer.KindFeed, ServiceID: serviceID, CallID: callOf(f), Seq: 1, Token: f.token}
	if f.token == nil {
		g.Kind, g.Payload = framer.KindOpenFeed, []byte("ovenwatch/topic")
		d.waiting[g.CallID] = f
	}
	datagram, err := framer.Append(nil, &g)
	if err != nil {
		return none
	}
	d.out.Reset()
	d.balancer[n.id].HandleCallerDatagram(epoch.Add(now), callerOf(f), serviceAddress, datagram, &d.out)
	to := d.carryOut(now, n)
	for _, a := range d.out.List {
		if a.Kind != forwarder.SendToCaller || framer.Parse(a.Data, &d.in) != nil {
			continue
		}
		switch d.in.Kind {
		case framer.KindMove:
			f.asked = true
		case framer.KindEnded, framer.KindRefused:
			to = ended
		}
	}
	if !d.tokens {
		f.token = nil
	}
	return to
}

// carryOut delivers packets to backend servers and the replies to opens back through the same balancer. It returns the
// backend server of the last packet.
func (d *routable) carryOut(now time.Duration, n *node) int {
	to := none
	for _, a := range d.out.List {
		if a.Kind != forwarder.SendToBackendServer {
			continue
		}
		to = reach(now, n, serverOf(a.To))
		if to != none && encapsulator.Parse(a.Data, &d.packet) == nil && d.packet.Verb == encapsulator.VerbOpen {
			d.accept(now, n, a.To)
		}
	}
	return to
}

// accept answers the open in d.packet and gives the caller its token.
func (d *routable) accept(now time.Duration, n *node, server netip.AddrPort) {
	d.packet.Verb, d.packet.Payload, d.packet.Incarnation = encapsulator.VerbAccepted, nil, 1
	reply, err := encapsulator.Append(nil, &d.packet)
	if err != nil {
		return
	}
	var out forwarder.Actions
	d.balancer[n.id].HandleBackendDatagram(epoch.Add(now), server, reply, &out)
	for _, a := range out.List {
		if a.Kind != forwarder.SendToCaller || framer.Parse(a.Data, &d.in) != nil || d.in.Kind != framer.KindOpened {
			continue
		}
		f := d.waiting[d.in.CallID]
		if f != nil && callOf(f) == d.in.CallID { // otherwise the caller has given this opening up
			f.token = append([]byte(nil), d.in.Token...)
			delete(d.waiting, d.in.CallID)
		}
	}
}
