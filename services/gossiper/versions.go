package gossiper

import (
	"slices"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

// freshHeartbeats is the number of heartbeats in which the version of a changed place document goes before others. An
// availability zone that is cut off from the platform learns of a change only from the heartbeats of representatives of
// its region, about two a second at the target size. With six place documents in plain rotation each is in a third of
// them, and 4% of the changes would take more than 5 s to arrive (calculated).
const freshHeartbeats = 40

// SetVersions sets the versions of all documents held. Each heartbeat carries those of the root documents and
// packer.MaxPlaceVersions of the others: those that have changed lately first, and the rest in rotation.
func (g *Gossiper) SetVersions(v packer.Versions) {
	for _, p := range v.Places {
		if !slices.Contains(g.versions.Places, p) {
			g.fresh[p.DocumentID] = freshHeartbeats
		}
	}
	g.versions = v
}

// nextVersions returns the versions for one heartbeat.
func (g *Gossiper) nextVersions() packer.Versions {
	v := packer.Versions{Settings: g.versions.Settings, VMs: g.versions.VMs}
	all := g.versions.Places
	start := g.placeTurn
	for _, fresh := range []bool{true, false} {
		for i := range all {
			at := (start + i) % len(all)
			p := all[at]
			if len(v.Places) == packer.MaxPlaceVersions || g.fresh[p.DocumentID] > 0 != fresh || slices.Contains(v.Places, p) {
				continue
			}
			v.Places = append(v.Places, p)
			g.placeTurn = at + 1
			if fresh {
				g.fresh[p.DocumentID]--
			}
		}
	}
	return v
}
