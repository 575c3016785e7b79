package view

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
)

// prefixTable finds the caller group with the longest prefix that contains an address. It has one map for each prefix
// length in use, longest first, so a lookup takes at most as many steps as there are lengths.
type prefixTable []prefixLength

type prefixLength struct {
	bits   int
	groups map[netip.Prefix]string
}

func newPrefixTable(groups []settings.CallerGroup) prefixTable {
	lengths := map[int]map[netip.Prefix]string{}
	for _, g := range groups {
		for _, p := range g.Prefixes {
			if lengths[p.Bits()] == nil {
				lengths[p.Bits()] = map[netip.Prefix]string{}
			}
			lengths[p.Bits()][p.Masked()] = g.Name
		}
	}
	var t prefixTable
	for bits, byPrefix := range lengths {
		t = append(t, prefixLength{bits, byPrefix})
	}
	slices.SortFunc(t, func(a, b prefixLength) int { return cmp.Compare(b.bits, a.bits) })
	return t
}

func (t prefixTable) lookup(caller netip.Addr) string {
	for _, l := range t {
		prefix, err := caller.Prefix(l.bits)
		if err != nil { // the caller's address family has no prefixes of this length
			continue
		}
		if group, ok := l.groups[prefix]; ok {
			return group
		}
	}
	return ""
}
