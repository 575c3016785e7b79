package peers

import (
	"net/netip"
	"sync/atomic"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

// maxRestartMembers bounds the members whose incarnations a restartCounter remembers.
const maxRestartMembers = 4096

// restartCounter counts the processes of other daemons that were replaced by a later one at the same address. A process that had announced
// its departure counts as planned.
type restartCounter struct {
	members            map[netip.AddrPort]incarnation // guarded by Peers.mu
	planned, unplanned atomic.Uint64
}

type incarnation struct {
	number  uint64
	leaving bool
}

// add applies a change of a member.
func (r *restartCounter) add(m *packer.Member) {
	if r.members == nil {
		r.members = map[netip.AddrPort]incarnation{}
	}
	known, ok := r.members[m.Address]
	switch {
	case !ok && len(r.members) >= maxRestartMembers:
		for address := range r.members {
			delete(r.members, address)
			break
		}
	case ok && m.Incarnation < known.number:
		return
	case ok && m.Incarnation > known.number && known.leaving:
		r.planned.Add(1)
	case ok && m.Incarnation > known.number:
		r.unplanned.Add(1)
	}
	r.members[m.Address] = incarnation{number: m.Incarnation, leaving: m.Leaving}
}

// Restarts returns how many restarts of other daemons this one has seen since its start, after a planned stop and without one.
func (p *Peers) Restarts() (planned, unplanned uint64) {
	return p.restarts.planned.Load(), p.restarts.unplanned.Load()
}
