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

// tokenOption is option D, the decision code of the product: callers return the token of their flow in each packet, and any
// balancer can decode the backend server from it.
type tokenOption struct {
	timeline     *timeline
	views        []*view.View
	forwarders   []*forwarder.Forwarder
	actions      forwarder.Actions
	received     framer.Datagram
	packet       encapsulator.Packet
	pendingOpens map[[framer.CallIDSize]byte]*flow // flows whose opening is unanswered, by call id
	returnTokens bool
}

// newTokenOption returns option D with one of the placement policies of the settings. Without returnTokens callers return no
// tokens.
func newTokenOption(t *timeline, seed uint64, returnTokens bool, policy string) (*tokenOption, error) {
	o := &tokenOption{timeline: t, pendingOpens: map[[framer.CallIDSize]byte]*flow{}, returnTokens: returnTokens}
	for i := range t.versions {
		tree, err := settings.Parse("tree.toml", uint64(i+1), []byte(settingsText(&t.versions[i], policy)))
		if err != nil {
			return nil, err
		}
		o.views = append(o.views, view.New(tree, &fleet.List{}))
	}
	for _, b := range t.balancers {
		random := rand.New(rand.NewPCG(seed, uint64(b.id)+100))
		self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(b.zone), byte(b.id)}), 7401)
		o.forwarders = append(o.forwarders, forwarder.New(forwarder.Config{
			Self: self, Incarnation: 1, Random: random,
			Placer: scheduler.New(scheduler.Config{AvailabilityZone: zoneNames[b.zone], Random: random}),
			Gate:   gatekeeper.New(gatekeeper.Config{Self: self, Incarnation: 1, Random: random}),
		}))
	}
	return o, nil
}

func serverAddress(s int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 1, byte(s + 1)}), serverPort)
}

// serverNumber is the inverse of serverAddress.
func serverNumber(address netip.AddrPort) int { return int(address.Addr().As4()[3]) - 1 }

// settingsText returns the settings of a version as TOML.
func settingsText(v *version, policy string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seal-with = 1\n[[token-keys]]\nid = 1\nsecret = %q\n[defaults]\nconnections = 100000\npolicy = %q\n", secret, policy)
	fmt.Fprintf(&b, "[services.%s]\naddress = %q\n[regions.mu-south]\nplaces = [", serviceName, serviceAddress)
	for _, z := range zoneNames {
		fmt.Fprintf(&b, "%q, ", z)
	}
	b.WriteString("]\nzone-delay = \"4ms\"\ncaller-delay = \"1ms\"\n")
	for z, name := range zoneNames {
		fmt.Fprintf(&b, "[places.%s.services.%s.groups.main]\nbackend-servers = [", name, serviceName)
		for s := range v.accepting {
			if zoneOfServer(s) != z || !v.accepting[s] && !v.draining[s] {
				continue
			}
			state := "live"
			if v.draining[s] {
				state = "leaving"
			}
			a := serverAddress(s)
			fmt.Fprintf(&b, "{ name = \"b%d\", address = %q, health = \"%s:9080\", state = %q }, ", s, a, a.Addr(), state)
		}
		b.WriteString("]\n")
	}
	return b.String()
}

func (o *tokenOption) name() string {
	if !o.returnTokens {
		return "D with callers that return no tokens"
	}
	return "D routable token"
}

func (o *tokenOption) viewUpdated(now time.Duration, b *balancer) {
	_ = o.forwarders[b.id].SetView(epoch.Add(now), o.views[b.versionIndex])
}

func (o *tokenOption) stop(now time.Duration, b *balancer) { o.forwarders[b.id].Stop(epoch.Add(now)) }
func (o *tokenOption) entryCount(b *balancer) int          { return o.forwarders[b.id].PendingCount() }

// entrySize measures the memory of one flow whose opening is unanswered. Established flows have no entry.
func (o *tokenOption) entrySize() int {
	const count = 20_000
	random := rand.New(rand.NewPCG(1, 1))
	f := forwarder.New(forwarder.Config{
		Incarnation: 1, Random: random, Placer: scheduler.New(scheduler.Config{Random: random}),
		Gate: gatekeeper.New(gatekeeper.Config{Incarnation: 1, Random: random}),
	})
	if err := f.SetView(epoch, o.views[0]); err != nil {
		return 0
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range count {
		g := framer.Datagram{Kind: framer.KindOpenFeed, ServiceID: serviceID}
		binary.BigEndian.PutUint64(g.CallID[:], splitMix64(uint64(i)))
		datagram, err := framer.Append(nil, &g)
		if err != nil {
			return 0
		}
		o.actions.Reset()
		f.HandleCallerDatagram(epoch, callerAddress(&flow{number: i}), serviceAddress, datagram, &o.actions)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := int(after.HeapAlloc-before.HeapAlloc) / max(1, f.PendingCount())
	runtime.KeepAlive(f)
	return size
}

func (o *tokenOption) tick(now time.Duration) {
	for _, b := range o.timeline.balancers {
		if b.isAlive(now) {
			o.actions.Reset()
			o.forwarders[b.id].Tick(epoch.Add(now), &o.actions)
			o.deliver(now, b)
		}
	}
}

func callID(f *flow) (id [framer.CallIDSize]byte) {
	binary.BigEndian.PutUint64(id[:], f.id)
	return id
}

// callerAddress returns an address for each flow, from its zone and number.
func callerAddress(f *flow) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(f.callerZone), byte(f.number >> 12)}), uint16(10_000+f.number&0xFFF))
}

func (o *tokenOption) route(now time.Duration, b *balancer, f *flow) int {
	g := framer.Datagram{Kind: framer.KindFeed, ServiceID: serviceID, CallID: callID(f), Seq: 1, Token: f.token}
	if f.token == nil {
		g.Kind, g.Payload = framer.KindOpenFeed, []byte("ovenwatch/topic")
		o.pendingOpens[g.CallID] = f
	}
	datagram, err := framer.Append(nil, &g)
	if err != nil {
		return none
	}
	o.actions.Reset()
	o.forwarders[b.id].HandleCallerDatagram(epoch.Add(now), callerAddress(f), serviceAddress, datagram, &o.actions)
	to := o.deliver(now, b)
	for _, a := range o.actions.List {
		if a.Kind != forwarder.SendToCaller || framer.Parse(a.Data, &o.received) != nil {
			continue
		}
		switch o.received.Kind {
		case framer.KindMove:
			f.moveRequested = true
		case framer.KindEnded, framer.KindRefused:
			to = flowEnded
		}
	}
	if !o.returnTokens {
		f.token = nil
	}
	return to
}

// deliver carries out the actions of a balancer: packets go to backend servers, and their replies to opens go back through the
// same balancer. It returns the backend server of the last packet.
func (o *tokenOption) deliver(now time.Duration, b *balancer) int {
	to := none
	for _, a := range o.actions.List {
		if a.Kind != forwarder.SendToBackendServer {
			continue
		}
		to = serverIfReachable(now, b, serverNumber(a.To))
		if to != none && encapsulator.Parse(a.Data, &o.packet) == nil && o.packet.Verb == encapsulator.VerbOpen {
			o.acceptOpen(now, b, a.To)
		}
	}
	return to
}

// acceptOpen answers the open in o.packet as the backend server does, and stores the token that the balancer sends to the caller.
func (o *tokenOption) acceptOpen(now time.Duration, b *balancer, server netip.AddrPort) {
	o.packet.Verb, o.packet.Payload, o.packet.Incarnation = encapsulator.VerbAccepted, nil, 1
	reply, err := encapsulator.Append(nil, &o.packet)
	if err != nil {
		return
	}
	var actions forwarder.Actions
	o.forwarders[b.id].HandleBackendDatagram(epoch.Add(now), server, reply, &actions)
	for _, a := range actions.List {
		if a.Kind != forwarder.SendToCaller || framer.Parse(a.Data, &o.received) != nil || o.received.Kind != framer.KindOpened {
			continue
		}
		f := o.pendingOpens[o.received.CallID]
		if f != nil && callID(f) == o.received.CallID { // otherwise the caller has abandoned this opening
			f.token = append([]byte(nil), o.received.Token...)
			delete(o.pendingOpens, o.received.CallID)
		}
	}
}
