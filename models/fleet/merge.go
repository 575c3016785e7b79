package fleet

import (
	"net/netip"
	"slices"
)

// DocumentName is the name of the root VM list.
const DocumentName = documentName

// PlaceDocumentName returns the name of the VM list of a place that has a document of its own.
func PlaceDocumentName(place string) string { return documentName + "-" + place }

// Merge returns one list with the VMs of all lists and the revision of the root. A VM that several lists contain is leaving
// if any of them says so; its other values are those of the first list that contains it, in the order given. The lists
// are only advisory, so a contradiction is not an error.
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
			i, known := positions[vm.Address]
			if known {
				merged.VMs[i].Leaving = merged.VMs[i].Leaving || vm.Leaving
				continue
			}
			positions[vm.Address] = len(merged.VMs)
			merged.VMs = append(merged.VMs, vm)
		}
	}
	return merged
}
