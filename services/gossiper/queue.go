package gossiper

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

const (
	// maxNews bounds the queued updates of one datagram; eight take about 240 bytes.
	maxNews = 8
	// fillers is the number of updates that every datagram carries when there is little news. They repair lost news
	// and introduce members to a daemon that joined lately.
	fillers = 2
	// spread multiplies the binary logarithm of the zone's size to give the number of times that news is sent. With 3,
	// a piece of news reaches all members of a zone even when a fifth of the datagrams is lost.
	spread = 3
)

// newsAge is how long news is sent at most. It reaches a zone within seconds; when thousands of members start at once,
// older news only delays newer news.
const newsAge = 30 * time.Second

type news struct {
	address netip.AddrPort
	sent    int
	born    time.Time
}

// queue holds the members with news, least often sent first.
type queue struct{ list []news }

func (q *queue) add(now time.Time, address netip.AddrPort) {
	q.remove(address)
	q.list = slices.Insert(q.list, 0, news{address: address, born: now})
}

func (q *queue) remove(address netip.AddrPort) {
	q.list = slices.DeleteFunc(q.list, func(n news) bool { return n.address == address })
}

// take returns up to n addresses and drops those that are too old or have been sent limit times.
func (q *queue) take(now time.Time, n, limit int) []netip.AddrPort {
	q.list = slices.DeleteFunc(q.list, func(x news) bool { return now.Sub(x.born) > newsAge })
	n = min(n, len(q.list))
	taken := slices.Clone(q.list[:n])
	q.list = q.list[n:]
	addresses := make([]netip.AddrPort, 0, n)
	for _, t := range taken {
		addresses = append(addresses, t.address)
		if t.sent++; t.sent >= limit {
			continue
		}
		i, _ := slices.BinarySearchFunc(q.list, t.sent+1, func(a news, sent int) int { return a.sent - sent })
		q.list = slices.Insert(q.list, i, t)
	}
	return addresses
}

// updates returns the updates for a datagram to a member. What this daemon believes of the receiver comes first, so
// that a receiver held for suspect or dead can refute it.
func (g *Gossiper) updates(to netip.AddrPort, zone string, joining bool) []packer.Member {
	var list []packer.Member
	if m, ok := g.members[to]; ok && m.State != packer.StateAlive {
		list = append(list, m.Member)
	}
	if zone != "" && zone != g.self.AvailabilityZone {
		list = append(list, g.introduced()...)
		if joining {
			list = append(list, g.contactsIn(zone, to)...)
		}
		return list
	}
	limit := spread * bits.Len(uint(len(g.order)+1))
	for _, a := range g.queue.take(g.lastTick, maxNews, limit) {
		list = g.appendUpdate(list, a, to)
	}
	want := fillers
	if joining {
		want = packer.MaxUpdates
	}
	for tries := 2 * want; tries > 0 && len(list) < want && len(g.order) > 0; tries-- {
		a := g.order[g.c.Random.IntN(len(g.order))]
		if g.members[a].live() {
			list = g.appendUpdate(list, a, to)
		}
	}
	return list
}

func (g *Gossiper) appendUpdate(list []packer.Member, address, to netip.AddrPort) []packer.Member {
	same := func(m packer.Member) bool { return m.Address == address }
	if address == g.self.Address || address == to || slices.ContainsFunc(list, same) {
		return list // the header of the datagram tells the sender's own state
	}
	if m, ok := g.members[address]; ok && m.AvailabilityZone == g.self.AvailabilityZone {
		list = append(list, m.Member)
	}
	return list
}

// introduced returns this availability zone's representatives other than this daemon: what another zone needs to
// know of it.
func (g *Gossiper) introduced() []packer.Member {
	var list []packer.Member
	for _, a := range g.representatives() {
		if m, ok := g.members[a]; ok {
			list = append(list, m.Member)
		}
	}
	return list
}

// contactsIn returns the live contacts in another availability zone. A daemon that joins learns of its own zone from them
// when none of its seeds is there.
func (g *Gossiper) contactsIn(zone string, except netip.AddrPort) []packer.Member {
	var list []packer.Member
	for _, a := range g.order {
		if m := g.members[a]; m.AvailabilityZone == zone && a != except && m.live() {
			list = append(list, m.Member)
		}
	}
	return list
}
