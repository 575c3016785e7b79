package gossiper

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

const (
	// maxQueuedUpdates limits the queued updates in one datagram; eight of them take about 240 bytes.
	maxQueuedUpdates = 8
	// minUpdates is the number of updates that a datagram inside the zone should carry at least. If fewer are queued, random
	// members are added, which repairs lost updates and introduces members to daemons that joined recently.
	minUpdates = 2
	// transmitMultiplier times the binary logarithm of the zone's size is the number of times that this daemon sends an
	// update. With 3, an update reaches all members of a zone even if a fifth of the datagrams is lost.
	transmitMultiplier = 3
)

// maxUpdateAge limits how long an update is sent. Updates reach all members of a zone within seconds; when thousands of
// members start at once, older updates would only delay newer ones.
const maxUpdateAge = 30 * time.Second

// queuedUpdate is a member whose state has to be sent to other members.
type queuedUpdate struct {
	address       netip.AddrPort
	transmissions int
	queuedAt      time.Time
}

// updateQueue holds the members with a recent change of state. The least often sent ones come first.
type updateQueue struct{ entries []queuedUpdate }

func (q *updateQueue) add(now time.Time, address netip.AddrPort) {
	q.remove(address)
	q.entries = slices.Insert(q.entries, 0, queuedUpdate{address: address, queuedAt: now})
}

func (q *updateQueue) remove(address netip.AddrPort) {
	q.entries = slices.DeleteFunc(q.entries, func(u queuedUpdate) bool { return u.address == address })
}

// take returns the addresses of up to n updates that have to be sent next. It drops updates that are too old or that have
// now been sent limit times.
func (q *updateQueue) take(now time.Time, n, limit int) []netip.AddrPort {
	q.entries = slices.DeleteFunc(q.entries, func(u queuedUpdate) bool { return now.Sub(u.queuedAt) > maxUpdateAge })
	n = min(n, len(q.entries))
	taken := slices.Clone(q.entries[:n])
	q.entries = q.entries[n:]
	addresses := make([]netip.AddrPort, 0, n)
	for _, u := range taken {
		addresses = append(addresses, u.address)
		if u.transmissions++; u.transmissions >= limit {
			continue
		}
		i, _ := slices.BinarySearchFunc(q.entries, u.transmissions+1, func(e queuedUpdate, sent int) int { return e.transmissions - sent })
		q.entries = slices.Insert(q.entries, i, u)
	}
	return addresses
}

// selectUpdates returns the member updates for a datagram. If the receiver is regarded as suspect or dead, its own state
// comes first, so that it can refute it.
func (g *Gossiper) selectUpdates(to netip.AddrPort, zone string, joining bool) []packer.Member {
	var list []packer.Member
	if m, ok := g.members[to]; ok && m.State != packer.StateAlive {
		list = append(list, m.Member)
	}
	if zone != "" && zone != g.self.AvailabilityZone {
		list = append(list, g.representativePeers()...)
		if joining {
			list = append(list, g.liveContacts(zone, to)...)
		}
		return append(list, g.thirdZoneContacts(zone)...)
	}
	if joining {
		// The representatives read the platform for the zone (package pacer), so a new daemon has to know them at once.
		for _, a := range g.representatives() {
			list = g.appendUpdate(list, a, to)
		}
	}
	limit := transmitMultiplier * bits.Len(uint(len(g.memberOrder)+1))
	for _, a := range g.queue.take(g.lastTick, maxQueuedUpdates, limit) {
		list = g.appendUpdate(list, a, to)
	}
	minCount := minUpdates
	if joining {
		minCount = packer.MaxUpdates
	}
	for tries := 2 * minCount; tries > 0 && len(list) < minCount && len(g.memberOrder) > 0; tries-- {
		a := g.memberOrder[g.cfg.Random.IntN(len(g.memberOrder))]
		if g.members[a].isLive() {
			list = g.appendUpdate(list, a, to)
		}
	}
	return list
}

// appendUpdate appends the state of a member of the own availability zone, unless the member is this daemon, the receiver
// or already in the list.
func (g *Gossiper) appendUpdate(list []packer.Member, address, to netip.AddrPort) []packer.Member {
	same := func(m packer.Member) bool { return m.Address == address }
	if address == g.self.Address || address == to || slices.ContainsFunc(list, same) {
		return list // the datagram header carries the sender's own state
	}
	if m, ok := g.members[address]; ok && m.AvailabilityZone == g.self.AvailabilityZone {
		list = append(list, m.Member)
	}
	return list
}

// representativePeers returns the representatives of the own availability zone without this daemon. They are the only
// members that daemons in other zones need to know.
func (g *Gossiper) representativePeers() []packer.Member {
	var list []packer.Member
	for _, a := range g.representatives() {
		if m, ok := g.members[a]; ok {
			list = append(list, m.Member)
		}
	}
	return list
}

// thirdZoneContacts returns live contacts of random availability zones other than the own and the given one. Without a VM list, a daemon
// knows other zones only by its seeds: zones without a seed would never hear of each other.
func (g *Gossiper) thirdZoneContacts(zone string) []packer.Member {
	if len(g.candidates) > 0 {
		return nil
	}
	var list []packer.Member
	for _, i := range g.cfg.Random.Perm(len(g.memberOrder)) {
		m := g.members[g.memberOrder[i]]
		isSame := func(o packer.Member) bool { return o.AvailabilityZone == m.AvailabilityZone }
		if m.State == packer.StateAlive && m.AvailabilityZone != zone && m.AvailabilityZone != g.self.AvailabilityZone && !slices.ContainsFunc(list, isSame) {
			if list = append(list, m.Member); len(list) == maxThirdZoneContacts {
				break
			}
		}
	}
	return list
}

// liveContacts returns the live contacts in another availability zone except one address. A joining daemon of that zone
// depends on them to find its zone if all of its seeds are in other zones.
func (g *Gossiper) liveContacts(zone string, except netip.AddrPort) []packer.Member {
	var list []packer.Member
	for _, a := range g.memberOrder {
		if m := g.members[a]; m.AvailabilityZone == zone && a != except && m.isLive() {
			list = append(list, m.Member)
		}
	}
	return list
}
