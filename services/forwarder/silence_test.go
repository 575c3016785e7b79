package forwarder_test

import (
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/services/forwarder"
	"github.com/bluebelldyke/bluebelldyke/services/gatekeeper"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// TestFeedOfSilentServer guards against a balancer that ends, moves or reopens an open feed because its backend server answers late or fails
// health checks, also one that took the feed over.
func TestFeedOfSilentServer(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(7, 7))
	placer := scheduler.New(scheduler.Config{AvailabilityZone: "souillac", Random: random})
	opener := &balancer{t: t, now: start, Forwarder: forwarder.New(forwarder.Config{
		Self: self, Incarnation: 100, Random: random, Placer: placer,
		Gate: gatekeeper.New(gatekeeper.Config{Self: self, Incarnation: 100, Random: random}),
	})}
	var servers []string
	for i := range 8 {
		servers = append(servers, serverEntry(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i + 1), 1}), 9000), "live"))
	}
	v := newView(t, 1, strings.Join(servers, ","), serverEntry(recipe1, "live"))
	g.Expect(opener.SetView(start, v)).To(Succeed())
	successor := newBalancer(t, other, v)
	token, target := opener.openFeed()
	for range 200 {
		placer.Observe(opener.now, scheduler.Observation{
			Kind: scheduler.HealthCombined, Service: "ovenwatch", BackendServer: target, Health: scheduler.HealthFailed,
		})
		for _, b := range []*balancer{opener, successor} {
			b.advance(50 * time.Millisecond)
			g.Expect(b.out.List).To(BeEmpty())
			b.send(ovenwatch, feedPacket(token))
			_, targets := b.sentToBackend()
			g.Expect(targets).To(Equal([]netip.AddrPort{target}))
			g.Expect(b.sentToCaller()).To(BeEmpty())
		}
	}
	for i := range 40 {
		opener.send(ovenwatch, framer.Datagram{
			Kind: framer.KindOpenFeed, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{2, byte(i)}, Payload: []byte("oven-8"),
		})
		_, targets := opener.sentToBackend()
		g.Expect(targets).NotTo(ContainElement(target), "new feeds avoid the backend server")
	}
}

// TestLateAcceptedFeed guards against a feed that is lost because its backend server accepted it after the open was sent to another one.
func TestLateAcceptedFeed(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(t, self, standardView(t, 1))
	b.send(ovenwatch, framer.Datagram{Kind: framer.KindOpenFeed, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{1}, Payload: []byte("oven-7")})
	packets, targets := b.sentToBackend()
	first, late := targets[0], packets[0]
	late.Token = append([]byte(nil), late.Token...)
	second := first
	for second == first && b.now.Before(start.Add(2*time.Second)) {
		b.advance(50 * time.Millisecond)
		if _, targets := b.sentToBackend(); len(targets) > 0 {
			second = targets[0]
		}
	}
	g.Expect(second).NotTo(Equal(first))
	g.Expect(b.PendingCount()).To(Equal(1))
	late.Verb = encapsulator.VerbAccepted
	b.reply(first, late)
	opened := b.sentToCaller()
	g.Expect(opened).To(HaveLen(1))
	g.Expect(opened[0].Kind).To(Equal(framer.KindOpened))
	token := append([]byte(nil), opened[0].Token...)
	for _, carrier := range []*balancer{b, newBalancer(t, other, standardView(t, 1))} {
		carrier.send(ovenwatch, feedPacket(token))
		_, targets := carrier.sentToBackend()
		g.Expect(targets).To(Equal([]netip.AddrPort{first}))
		g.Expect(carrier.sentToCaller()).To(BeEmpty())
	}
}
