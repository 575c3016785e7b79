package ranker_test

import (
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"testing"

	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

func members(n int) []netip.AddrPort {
	list := make([]netip.AddrPort, n)
	for i := range list {
		list[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7100)
	}
	return list
}

func ExampleTop() {
	list := members(5)
	top := ranker.Top("watch settings", 2, list)
	slices.Reverse(list)
	fmt.Println(len(top), slices.Equal(top, ranker.Top("watch settings", 2, list)))
	// Output: 2 true
}

// TestDistribution guards against duties that concentrate on a few members, and against duties that move when another member
// leaves.
func TestDistribution(t *testing.T) {
	list := members(100)
	duties := map[netip.AddrPort]int{}
	for i := range 2000 {
		key := fmt.Sprint("duty ", i)
		top := ranker.Top(key, 1, list)[0]
		duties[top]++
		departed := list[i%100]
		rest := slices.DeleteFunc(slices.Clone(list), func(a netip.AddrPort) bool { return a == departed })
		if departed != top && ranker.Top(key, 1, rest)[0] != top {
			t.Fatalf("%s moved from %s when %s left", key, top, departed)
		}
	}
	for _, m := range list {
		if duties[m] < 5 || duties[m] > 50 {
			t.Fatalf("%s has %d of 2000 duties, want about 20", m, duties[m])
		}
	}
}

// TestScore guards against scores that differ from those of daemons of earlier versions, which use hash/fnv: two daemons or
// none would take the same duty.
func TestScore(t *testing.T) {
	for _, text := range []string{"10.1.0.10:8172", "127.0.0.1:1", "[2001:db8::7]:443", "[fe80::1%eth0]:7400"} {
		address := netip.MustParseAddrPort(text)
		for _, key := range []string{"", "representative souillac"} {
			h := fnv.New64a()
			h.Write([]byte(key))
			b, err := address.MarshalBinary()
			if err != nil {
				t.Fatal(err)
			}
			h.Write(b)
			if got, want := ranker.Score(key, address), ranker.Mix(h.Sum64()); got != want {
				t.Errorf("%q %s: %x, want %x", key, text, got, want)
			}
		}
	}
}
