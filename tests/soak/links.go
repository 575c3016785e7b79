package main

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/tests/harness/deployment"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/linker"
)

// Limits of what links do. Callers repeat packets after 200 ms, and calls to the platform time out after 1.5 s.
const (
	linkLoss   = 0.1
	linkDouble = 0.1
	linkDelay  = 300 * time.Millisecond
	leastLink  = 500 * time.Millisecond
	mostLink   = 5 * time.Second
)

// linkSteps disturb the ways to and from the daemons.
func (m *mixer) linkSteps() []step {
	return []step{
		{"entry-lossy", m.entryLossy}, {"peers-lossy", m.peersLossy}, {"peers-cut", m.peersCut}, {"zone-cut", m.zoneCut},
		{"store-slow", func() { m.storeLink(linker.StreamFault{Delay: linkDelay}) }},
		{"store-mute", func() { m.storeLink(linker.StreamFault{HoldToServer: true}) }},
		{"store-deaf", func() { m.storeLink(linker.StreamFault{HoldToClient: true}) }},
		{"store-silence", func() { m.each(func(x *deployment.Daemon) { x.Store.StallOpenConnections() }) }},
		{"store-reset", func() { m.each(func(x *deployment.Daemon) { x.Store.ResetOpenConnections() }) }},
	}
}

// calm returns a daemon whose links are undisturbed, nil when there is none. One that reaches neither the store nor its peers
// can't know what has changed, so that no daemon has two links disturbed at a time.
func (m *mixer) calm() *deployment.Daemon {
	var list []*deployment.Daemon
	for _, x := range m.Daemons {
		if !m.disturbed[x] {
			list = append(list, x)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[m.random.IntN(len(list))]
}

// disturb applies a fault to the links of a daemon, and ends it some time later.
func (m *mixer) disturb(x *deployment.Daemon, begin, end func()) {
	m.disturbed[x] = true
	begin()
	m.after(leastLink, mostLink, func() {
		end()
		delete(m.disturbed, x)
	})
}

func (m *mixer) datagrams(link func(*deployment.Daemon) *linker.DatagramLink, f linker.DatagramFault) {
	if x := m.calm(); x != nil {
		m.disturb(x, func() { link(x).SetFault(f) }, func() { link(x).SetFault(linker.DatagramFault{}) })
	}
}

func peersOf(x *deployment.Daemon) *linker.DatagramLink { return x.Peer }

func (m *mixer) entryLossy() {
	m.datagrams(func(x *deployment.Daemon) *linker.DatagramLink { return x.Entry }, linker.DatagramFault{Loss: linkLoss, Duplicate: linkDouble})
}

func (m *mixer) peersLossy() {
	m.datagrams(peersOf, linker.DatagramFault{Loss: linkLoss, Duplicate: linkDouble, Delay: linkDelay})
}

// peersCut lets a daemon hear no peer, while its peers hear it.
func (m *mixer) peersCut() {
	m.datagrams(peersOf, linker.DatagramFault{Cut: func(netip.Addr) bool { return true }})
}

// zoneCut separates the daemons of an availability zone from those of the others, if all their links are undisturbed.
func (m *mixer) zoneCut() {
	zone := m.random.IntN(zones)
	for _, x := range m.Daemons {
		if m.disturbed[x] {
			return
		}
	}
	for i, x := range m.Daemons {
		own := i / perZone
		f := linker.DatagramFault{Cut: func(from netip.Addr) bool { return (deployment.ZoneOf(from) == zone) != (own == zone) }}
		m.disturb(x, func() { x.Peer.SetFault(f) }, func() { x.Peer.SetFault(linker.DatagramFault{}) })
	}
}

func (m *mixer) storeLink(f linker.StreamFault) {
	if x := m.calm(); x != nil {
		m.disturb(x, func() { x.Store.SetFault(f) }, func() { x.Store.SetFault(linker.StreamFault{}) })
	}
}

func (m *mixer) each(do func(*deployment.Daemon)) {
	for _, x := range m.Daemons {
		do(x)
	}
}
