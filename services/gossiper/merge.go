package gossiper

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

// mergeMember applies an update about a member if it supersedes the known state.
func (g *Gossiper) mergeMember(now time.Time, u packer.Member) []Action {
	if u.Address == g.self.Address {
		g.refute(u)
		return nil
	}
	known, ok := g.members[u.Address]
	if !ok {
		if u.State == packer.StateDead || !g.ensureRoom(u.AvailabilityZone) {
			return nil
		}
		known = &member{Member: u}
		g.members[u.Address] = known
		g.memberOrder = append(g.memberOrder, u.Address)
		return g.recordChange(now, known)
	}
	if u.Incarnation == known.Incarnation {
		u.Leaving = u.Leaving || known.Leaving
		// Daemons of earlier versions pass updates on without these flags.
		u.KnowsEras = u.KnowsEras || known.KnowsEras
		u.KnowsEvacuations = u.KnowsEvacuations || known.KnowsEvacuations
		u.AggregatesFindings = u.AggregatesFindings || known.AggregatesFindings
		u.Weak = u.Weak || known.Weak
		if u.Weak != known.Weak {
			g.cachedRepresentatives = nil
		}
		known.KnowsEras, known.KnowsEvacuations, known.AggregatesFindings = u.KnowsEras, u.KnowsEvacuations, u.AggregatesFindings
		known.Weak = u.Weak
	}
	if !supersedes(u, known.Member) {
		return nil
	}
	known.Member = u
	return g.recordChange(now, known)
}

// supersedes reports whether the update replaces the known state. The higher incarnation wins. Within one incarnation the
// higher refutation wins, then the worse state, then the announcement of a planned stop.
func supersedes(update, known packer.Member) bool {
	switch {
	case update.Incarnation != known.Incarnation:
		return update.Incarnation > known.Incarnation
	case update.RefutationCount != known.RefutationCount:
		return update.RefutationCount > known.RefutationCount
	case update.State != known.State:
		return update.State > known.State
	default:
		return update.Leaving && !known.Leaving
	}
}

// recordChange sets the deadline of a member's new state and queues the update for dissemination. Updates about other
// availability zones are not disseminated: only representatives need contacts there, and they learn of them from the
// representatives of other zones and from the VM list.
func (g *Gossiper) recordChange(now time.Time, m *member) []Action {
	switch m.State {
	case packer.StateSuspect:
		m.deadline, m.suspectedAt = now.Add(g.suspicionTimeout()), now
	case packer.StateDead:
		m.deadline = now.Add(tombstoneLifetime)
	}
	if m.State != packer.StateAlive && (g.nextExpiry.IsZero() || m.deadline.Before(g.nextExpiry)) {
		g.nextExpiry = m.deadline
	}
	if m.AvailabilityZone == g.self.AvailabilityZone {
		g.queue.add(now, m.Address)
	}
	g.cachedRepresentatives = nil
	return []Action{MemberChanged{Member: m.Member}}
}

// suspicionTimeout returns how long a suspect member has time to refute the suspicion.
func (g *Gossiper) suspicionTimeout() time.Duration {
	size := float64(len(g.memberOrder) + 1)
	return time.Duration(float64(g.cfg.SuspicionTimeout) * max(1, math.Log10(size)))
}

// refute refutes an update that reports this process as suspect or dead. An update about an earlier process at this
// address needs no refutation, because the higher incarnation of this process supersedes it.
func (g *Gossiper) refute(u packer.Member) {
	if u.Incarnation != g.self.Incarnation || u.State == packer.StateAlive || u.RefutationCount < g.self.RefutationCount {
		return
	}
	g.self.RefutationCount = u.RefutationCount + 1 // sent in the header of every datagram
}

// ensureRoom reports whether a new member of an availability zone can be added. If the zone is full, it removes a dead member
// to make room.
func (g *Gossiper) ensureRoom(zone string) bool {
	limit := maxContactsPerZone
	if zone == g.self.AvailabilityZone {
		limit = maxZoneMembers
	}
	count := 0
	var dead netip.AddrPort
	for _, a := range g.memberOrder {
		if m := g.members[a]; m.AvailabilityZone == zone {
			count++
			if !m.isLive() {
				dead = a
			}
		}
	}
	if count < limit {
		return true
	}
	if dead.IsValid() {
		g.removeMember(dead)
		return true
	}
	return false
}

func (g *Gossiper) removeMember(address netip.AddrPort) {
	delete(g.members, address)
	g.queue.remove(address)
	if i := slices.Index(g.memberOrder, address); i >= 0 {
		g.memberOrder = slices.Delete(g.memberOrder, i, i+1)
	}
}

// setState sets the state of a member that this daemon has detected itself.
func (g *Gossiper) setState(now time.Time, m *member, s packer.State) []Action {
	m.State = s
	return g.recordChange(now, m)
}

// expireMembers declares suspect members dead and removes tombstones when their deadline has passed.
func (g *Gossiper) expireMembers(now time.Time) []Action {
	if g.nextExpiry.IsZero() || now.Before(g.nextExpiry) {
		return nil
	}
	g.nextExpiry = time.Time{}
	var actions []Action
	for _, a := range slices.Clone(g.memberOrder) {
		m := g.members[a]
		if m.State == packer.StateAlive {
			continue
		}
		if now.Before(m.deadline) {
			if g.nextExpiry.IsZero() || m.deadline.Before(g.nextExpiry) {
				g.nextExpiry = m.deadline
			}
			continue
		}
		if m.State == packer.StateSuspect {
			actions = append(actions, g.setState(now, m, packer.StateDead)...)
		} else {
			g.removeMember(a)
		}
	}
	return actions
}

// resumeAfterPause compensates for a pause of this process. It drops the probes, whose acks could not be received in time,
// and extends the deadlines of suspect members by the pause.
func (g *Gossiper) resumeAfterPause(pause time.Duration) {
	clear(g.probes)
	clear(g.relayedProbes)
	for _, m := range g.members {
		if m.State == packer.StateSuspect {
			m.deadline = m.deadline.Add(pause)
		}
	}
}
