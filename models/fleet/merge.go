package fleet

import (
	"net/netip"
	"slices"
)

// DocumentName is the name of the root VM list.
const DocumentName = document

// PlaceDocumentName returns the name of the VM list of a place that a document of its own defines.
func PlaceDocumentName(place string) string { return document + "-" + place }

// Merge returns one list of the VMs of all lists, with the revision of the root. A VM that several lists have is leaving
// when any of them says so; its other values are those of the first list that has it, in the order given. The lists are
// hints, so that a contradiction is no error.
func Merge(root *List, places []*List) *List {
	if len(places) == 0 {
		return root
	}
	merged := &List{Revision: root.Revision, VMs: slices.Clone(root.VMs)}
	positions := make(map[netip.AddrPort]int, len(root.VMs))
	for i, vm := range merged.VMs {
		positions[vm.Address] = i
	}
	for _, l := range places {
		for _, vm := range l.VMs {
			at, known := positions[vm.Address]
			if known {
				merged.VMs[at].Leaving = merged.VMs[at].Leaving || vm.Leaving
				continue
			}
			positions[vm.Address] = len(merged.VMs)
			merged.VMs = append(merged.VMs, vm)
		}
	}
	return merged
}
