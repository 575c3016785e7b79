package gossiper_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/services/gossiper"
)

// TestGeneration guards against a daemon that takes flows for its own although a peer has joined, stopped, started again or returned from a
// pause, and against a suspicion that is taken for such a change.
func TestGeneration(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	self, peer := netip.MustParseAddrPort("10.0.0.1:7100"), netip.MustParseAddrPort("10.0.0.2:7100")
	g := gossiper.New(gossiper.Config{
		Self: self, AvailabilityZone: "souillac", Incarnation: 1, Seeds: []netip.AddrPort{peer}, Random: rand.New(rand.NewPCG(1, 1)),
	})
	for i, c := range []struct {
		update packer.Member
		change bool
	}{
		{update: packer.Member{Incarnation: 5}, change: true},
		{update: packer.Member{Incarnation: 5, State: packer.StateSuspect}},
		{update: packer.Member{Incarnation: 5, RefutationCount: 1}, change: true},
		{update: packer.Member{Incarnation: 6}, change: true},
		{update: packer.Member{Incarnation: 6, Leaving: true}, change: true},
		{update: packer.Member{Incarnation: 6, State: packer.StateDead, Leaving: true}},
		{update: packer.Member{Incarnation: 7}, change: true},
	} {
		before := g.Generation()
		c.update.Address, c.update.AvailabilityZone = peer, "souillac"
		g.Receive(now, packer.Datagram{
			Kind: packer.KindAck, Sequence: 99, Sender: packer.Member{Address: netip.MustParseAddrPort("10.0.0.3:7100"), AvailabilityZone: "mahebourg", Incarnation: 2},
			Updates: []packer.Member{c.update},
		})
		if i == 0 {
			before++ // the sender is new as well
		}
		if changed := g.Generation() != before; changed != c.change {
			t.Errorf("update %d: generation changed %t, want %t", i, changed, c.change)
		}
	}
}
