package view_test

import (
	"fmt"
	"net/netip"
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
)

const exampleFile = "../../custom/settings/ile-solaire.toml"

var (
	serviceAddress = netip.MustParseAddrPort("10.20.0.1:7001")
	serverAddress  = netip.MustParseAddrPort("10.21.1.1:9000")
	caller         = netip.MustParseAddr("10.31.4.5")
)

func loadTree() *settings.Tree {
	content, err := os.ReadFile(exampleFile)
	if err != nil {
		panic(err)
	}
	tree, err := settings.Parse(exampleFile, 1, content)
	if err != nil {
		panic(err)
	}
	return tree
}

func Example() {
	v := view.New(loadTree(), &fleet.List{VMs: []fleet.VM{{Address: serverAddress, Role: fleet.BackendServer, Leaving: true}}})
	service, ok := v.ServiceAt(serviceAddress)
	fmt.Println(service.Name, ok)
	for _, s := range v.BackendServersOf(service.Name)[:2] {
		fmt.Println(s.Name, s.AvailabilityZone, s.Leaving)
	}
	fmt.Println(v.CallerGroup(caller))
	fmt.Println(v.TunablesAt("souillac", "recipecard").RequestTimeout)
	// Output:
	// ovenwatch true
	// ovenwatch-souillac-1 souillac true
	// ovenwatch-souillac-2 souillac false
	// mahebourg-bakers
	// 2s
}

// TestLookups guards against allocations on the data path, and against lookups that miss IPv4 addresses mapped to IPv6.
func TestLookups(t *testing.T) {
	g := NewWithT(t)
	v := view.New(loadTree(), nil)
	mapped := netip.AddrPortFrom(netip.AddrFrom16(serviceAddress.Addr().As16()), serviceAddress.Port())
	allocations := testing.AllocsPerRun(100, func() {
		service, ok := v.ServiceAt(mapped)
		_, okID := v.ServiceByID(service.ID)
		server, okServer := v.BackendServerAt(serverAddress)
		if !ok || !okID || !okServer || server.Service != service.Name || len(v.BackendServersOf(service.Name)) != 14 ||
			v.Tunables(service.Name).Slots != 2 || v.CallerGroup(caller) == "" {
			t.Error("a lookup failed")
		}
	})
	g.Expect(allocations).To(BeZero())
	empty := view.New(nil, nil)
	_, ok := empty.ServiceAt(serviceAddress)
	g.Expect(ok).To(BeFalse())
	g.Expect(empty.Tunables("absent")).To(Equal(settings.Defaults()))
}

// TestTunablesOfDifferentPlaces guards against tunables of a service that depend on the order in which its places are
// read.
func TestTunablesOfDifferentPlaces(t *testing.T) {
	g := NewWithT(t)
	tree, err := settings.Parse("f", 1, []byte(`
seal-with = 1
token-keys = [{ id = 1, secret = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f" }]
services.s.address = "10.0.0.1:1"
defaults.slots = 9
places.a.services.s = { slots = 1, weight = 3 }
places.b.services.s = { slots = 2, weight = 3 }
places.c.slots = 5
`))
	g.Expect(err).NotTo(HaveOccurred())
	v := view.New(tree, nil)
	g.Expect(v.Tunables("s").Slots).To(Equal(9), "the places differ")
	g.Expect(v.Tunables("s").Weight).To(Equal(3.0), "the places agree")
	g.Expect(v.TunablesAt("b", "s").Slots).To(Equal(2))
	g.Expect(v.TunablesAt("c", "s").Slots).To(Equal(9), "the place does not run the service")
}

// TestLongestPrefix guards against a caller that is assigned to the group of a shorter prefix than the longest one that
// matches.
func TestLongestPrefix(t *testing.T) {
	address := rapid.Custom(func(t *rapid.T) netip.Addr {
		b := rapid.SliceOfN(rapid.ByteMax(3), 4, 4).Draw(t, "bytes") // few values, so that prefixes overlap
		return netip.AddrFrom4([4]byte(b))
	})
	rapid.Check(t, func(t *rapid.T) {
		tree := &settings.Tree{}
		groupOf := map[netip.Prefix]string{}
		for i := range rapid.IntRange(0, 12).Draw(t, "prefixes") {
			prefix := netip.PrefixFrom(address.Draw(t, "address"), rapid.IntRange(0, 32).Draw(t, "bits")).Masked()
			if groupOf[prefix] == "" {
				groupOf[prefix] = fmt.Sprint("g", i)
				tree.CallerGroups = append(tree.CallerGroups, settings.CallerGroup{Name: groupOf[prefix], Prefixes: []netip.Prefix{prefix}})
			}
		}
		caller, want, bits := address.Draw(t, "caller"), "", -1
		for prefix, group := range groupOf {
			if prefix.Contains(caller) && prefix.Bits() > bits {
				want, bits = group, prefix.Bits()
			}
		}
		if got := view.New(tree, nil).CallerGroup(caller); got != want {
			t.Fatalf("caller %s is in group %q, want %q", caller, got, want)
		}
	})
}
