package gossiper

import (
	"slices"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

// changePriorityHeartbeats is the number of heartbeats in which the version of a changed place document takes precedence
// over the others. An availability zone that is cut off from the platform learns of a change only from the heartbeats of
// representatives in its region, which are about two a second at the target size. If six place documents simply rotated,
// each would be in a third of these heartbeats, and 4% of the changes would take more than 5 s to arrive.
const changePriorityHeartbeats = 40

// SetVersions sets the versions of all documents that this daemon holds. Each heartbeat carries the versions of the root
// documents and of packer.MaxPlaceVersions place documents: recently changed ones first, then the others in rotation.
func (g *Gossiper) SetVersions(v packer.Versions) {
	for _, p := range v.Places {
		if !slices.Contains(g.versions.Places, p) {
			g.priorityHeartbeats[p.DocumentID] = changePriorityHeartbeats
		}
	}
	g.versions = v
}

// nextVersions returns the versions for one heartbeat.
func (g *Gossiper) nextVersions() packer.Versions {
	v := packer.Versions{Settings: g.versions.Settings, VMs: g.versions.VMs}
	all := g.versions.Places
	start := g.nextPlace
	for _, changed := range []bool{true, false} {
		for i := range all {
			position := (start + i) % len(all)
			p := all[position]
			if len(v.Places) == packer.MaxPlaceVersions || g.priorityHeartbeats[p.DocumentID] > 0 != changed || slices.Contains(v.Places, p) {
				continue
			}
			v.Places = append(v.Places, p)
			g.nextPlace = position + 1
			if changed {
				g.priorityHeartbeats[p.DocumentID]--
			}
		}
	}
	return v
}
