package peers_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/routers/peers"
)

// TestRestarts guards against daemons that end by themselves without a trace on the others, and against planned stops that look like that.
func TestRestarts(t *testing.T) {
	g := NewWithT(t)
	observer := newPeers(t, func(*peers.Config) {})
	run(t, observer)
	address := netip.MustParseAddrPort("127.0.0.1:0")
	start := func(incarnation uint64, planned bool) {
		p := newPeers(t, func(c *peers.Config) {
			c.Bind, c.Incarnation, c.Seeds = address, incarnation, []netip.AddrPort{observer.Address()}
		})
		address = p.Address()
		stop := runUntil(t, p)
		g.Eventually(func() uint64 {
			for _, m := range observer.Members() {
				if m.Address == address {
					return m.Incarnation
				}
			}
			return 0
		}).WithTimeout(5 * time.Second).Should(Equal(incarnation))
		if planned {
			p.Leave()
			g.Eventually(func() bool { return observer.Members()[0].Leaving }).WithTimeout(5 * time.Second).Should(BeTrue())
		}
		stop()
	}
	first := uint64(time.Now().UnixMilli())
	start(first, false)
	start(first+1, true)
	start(first+2, false)
	planned, unplanned := observer.Restarts()
	g.Expect(planned).To(Equal(uint64(1)))
	g.Expect(unplanned).To(Equal(uint64(1)))
}
