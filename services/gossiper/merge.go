package gossiper

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

// merge takes over what a peer says of a member when it is newer than what is known.
func (g *Gossiper) merge(now time.Time, u packer.Member) []Action {
	if u.Address == g.self.Address {
		g.refute(u)
		return nil
	}
	known, ok := g.members[u.Address]
	if !ok {
		if u.State == packer.StateDead || !g.room(u.AvailabilityZone) {
			return nil
		}
		known = &member{Member: u}
		g.members[u.Address] = known
		g.order = append(g.order, u.Address)
		return g.changed(now, known)
	}
	if u.Incarnation == known.Incarnation {
		u.Leaving = u.Leaving || known.Leaving
	}
	if !newer(u, known.Member) {
		return nil
	}
	known.Member = u
	return g.changed(now, known)
}

// newer reports whether u replaces k. A larger incarnation always does; within one process a later refutation does,
// then the worse state, then the beginning of a planned stop.
func newer(u, k packer.Member) bool {
	switch {
	case u.Incarnation != k.Incarnation:
		return u.Incarnation > k.Incarnation
	case u.RefutationCount != k.RefutationCount:
		return u.RefutationCount > k.RefutationCount
	case u.State != k.State:
		return u.State > k.State
	default:
		return u.Leaving && !k.Leaving
	}
}

// changed sets the deadline of a member's new state and queues the news. News of other availability zones is not
// spread: only representatives need contacts there, and they learn them from each other and from the VM list.
func (g *Gossiper) changed(now time.Time, m *member) []Action {
	switch m.State {
	case packer.StateSuspect:
		m.deadline = now.Add(g.suspicion())
	case packer.StateDead:
		m.deadline = now.Add(tombstoneAge)
	}
	if m.State != packer.StateAlive && (g.nextExpiry.IsZero() || m.deadline.Before(g.nextExpiry)) {
		g.nextExpiry = m.deadline
	}
	if m.AvailabilityZone == g.self.AvailabilityZone {
		g.queue.add(now, m.Address)
	}
	g.chosen = nil
	return []Action{Changed{Member: m.Member}}
}

// suspicion returns how long a suspected member has to refute.
func (g *Gossiper) suspicion() time.Duration {
	size := float64(len(g.order) + 1)
	return time.Duration(float64(g.c.Suspicion) * max(1, math.Log10(size)))
}

// refute answers a suspicion against this process. News of an earlier process at this address needs no answer: the
// larger incarnation replaces it.
func (g *Gossiper) refute(u packer.Member) {
	if u.Incarnation != g.self.Incarnation || u.State == packer.StateAlive || u.RefutationCount < g.self.RefutationCount {
		return
	}
	g.self.RefutationCount = u.RefutationCount + 1 // every datagram's header carries it
}

// room reports whether a new member of an availability zone can be remembered, and forgets a dead one to make room.
func (g *Gossiper) room(zone string) bool {
	limit := maxContacts
	if zone == g.self.AvailabilityZone {
		limit = maxMembers
	}
	count := 0
	var dead netip.AddrPort
	for _, a := range g.order {
		if m := g.members[a]; m.AvailabilityZone == zone {
			count++
			if !m.live() {
				dead = a
			}
		}
	}
	if count < limit {
		return true
	}
	if dead.IsValid() {
		g.forget(dead)
		return true
	}
	return false
}

func (g *Gossiper) forget(address netip.AddrPort) {
	delete(g.members, address)
	g.queue.remove(address)
	if i := slices.Index(g.order, address); i >= 0 {
		g.order = slices.Delete(g.order, i, i+1)
	}
}

// setState records an own observation of a member.
func (g *Gossiper) setState(now time.Time, m *member, s packer.State) []Action {
	m.State = s
	return g.changed(now, m)
}

// expire ends suspicions and forgets members that have been dead for long.
func (g *Gossiper) expire(now time.Time) []Action {
	if g.nextExpiry.IsZero() || now.Before(g.nextExpiry) {
		return nil
	}
	g.nextExpiry = time.Time{}
	var actions []Action
	for _, a := range slices.Clone(g.order) {
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
			g.forget(a)
		}
	}
	return actions
}

// resume treats the time of a pause as not having passed: probes that nobody could answer are dropped, and suspected
// members keep their time to refute.
func (g *Gossiper) resume(pause time.Duration) {
	clear(g.probes)
	clear(g.relays)
	for _, m := range g.members {
		if m.State == packer.StateSuspect {
			m.deadline = m.deadline.Add(pause)
		}
	}
}
