package gossiper_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
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

// TestZoneForwarders guards against a member that is left out although the fabric may send packets to it: one that leaves, is suspect, or was
// declared dead without an announcement and may run out of reach.
func TestZoneForwarders(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	address := func(i byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7100) }
	g := gossiper.New(gossiper.Config{Self: address(1), AvailabilityZone: "souillac", Incarnation: 1, Random: rand.New(rand.NewPCG(1, 1))})
	update := func(m packer.Member) {
		if m.AvailabilityZone == "" {
			m.AvailabilityZone = "souillac"
		}
		g.Receive(now, packer.Datagram{
			Kind: packer.KindAck, Sequence: 99, Sender: packer.Member{Address: address(9), AvailabilityZone: "mahebourg", Incarnation: 2}, Updates: []packer.Member{m},
		})
	}
	check := func(want, wantLost []netip.AddrPort) {
		t.Helper()
		if live, lost, _ := g.ZoneForwarders(now); !slices.Equal(live, want) || !slices.Equal(lost, wantLost) {
			t.Errorf("forwarders %v, lost %v, want %v, %v", live, lost, want, wantLost)
		}
	}
	check([]netip.AddrPort{address(1)}, nil)
	update(packer.Member{Address: address(2), Incarnation: 5})
	update(packer.Member{Address: address(3), Incarnation: 5, Leaving: true})
	update(packer.Member{Address: address(4), Incarnation: 5, State: packer.StateSuspect})
	update(packer.Member{Address: address(5), Incarnation: 5, AvailabilityZone: "mahebourg"})
	check([]netip.AddrPort{address(1), address(2), address(3), address(4)}, nil)
	update(packer.Member{Address: address(3), Incarnation: 5, Leaving: true, State: packer.StateDead})
	check([]netip.AddrPort{address(1), address(2), address(4)}, nil)
	update(packer.Member{Address: address(4), Incarnation: 5, State: packer.StateDead})
	check([]netip.AddrPort{address(1), address(2)}, []netip.AddrPort{address(4)})
	now = now.Add(59 * time.Second)
	check([]netip.AddrPort{address(1), address(2)}, []netip.AddrPort{address(4)})
	now = now.Add(time.Second)
	check([]netip.AddrPort{address(1), address(2)}, nil)
	update(packer.Member{Address: address(2), Incarnation: 5, State: packer.StateDead})
	check([]netip.AddrPort{address(1)}, []netip.AddrPort{address(2)})
	update(packer.Member{Address: address(2), Incarnation: 6})
	check([]netip.AddrPort{address(1), address(2)}, nil)
	if _, _, legacy := g.ZoneForwarders(now); !legacy {
		t.Error("a member of an earlier version is taken for one that answers queries")
	}
	update(packer.Member{Address: address(2), Incarnation: 6, AnswersQueries: true, Leaving: true})
	if _, _, legacy := g.ZoneForwarders(now); legacy {
		t.Error("no member is of an earlier version")
	}
}
