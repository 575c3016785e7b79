package main

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/tests/harness/deployment"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/linker"
)

// Parameters of link faults. For comparison: callers retransmit after 200 ms, and calls to the platform time out after 1.5 s.
const (
	datagramLoss        = 0.1
	datagramDuplication = 0.1
	linkDelay           = 300 * time.Millisecond
	minLinkFault        = 500 * time.Millisecond
	maxLinkFault        = 5 * time.Second
)

// linkFaults returns the faults on the links to and from the daemons.
func (in *injector) linkFaults() []fault {
	return []fault{
		{"entry-lossy", in.loseEntryDatagrams}, {"peers-lossy", in.losePeerDatagrams}, {"peers-cut", in.cutPeers}, {"zone-cut", in.cutZone},
		{"store-slow", func() { in.injectStoreLinkFault(linker.StreamFault{Delay: linkDelay}) }},
		{"store-mute", func() { in.injectStoreLinkFault(linker.StreamFault{HoldToServer: true}) }},
		{"store-deaf", func() { in.injectStoreLinkFault(linker.StreamFault{HoldToClient: true}) }},
		{"store-silence", func() { in.forEachDaemon(func(daemon *deployment.Daemon) { daemon.Store.StallOpenConnections() }) }},
		{"store-reset", func() { in.forEachDaemon(func(daemon *deployment.Daemon) { daemon.Store.ResetOpenConnections() }) }},
	}
}

// pickDaemonWithoutLinkFault returns a random daemon without a link fault, or nil if there is none. A daemon has at most one link
// fault at a time: one that reaches neither the store nor its peers can't learn about changes.
func (in *injector) pickDaemonWithoutLinkFault() *deployment.Daemon {
	var withoutFault []*deployment.Daemon
	for _, daemon := range in.Daemons {
		if !in.faultyLinks[daemon] {
			withoutFault = append(withoutFault, daemon)
		}
	}
	if len(withoutFault) == 0 {
		return nil
	}
	return withoutFault[in.random.IntN(len(withoutFault))]
}

// applyLinkFault begins a link fault of a daemon and schedules its end.
func (in *injector) applyLinkFault(daemon *deployment.Daemon, begin, end func()) {
	in.faultyLinks[daemon] = true
	begin()
	in.schedule(minLinkFault, maxLinkFault, func() {
		end()
		delete(in.faultyLinks, daemon)
	})
}

// injectDatagramFault applies a fault to one of the datagram links of a random daemon.
func (in *injector) injectDatagramFault(linkOf func(*deployment.Daemon) *linker.DatagramLink, f linker.DatagramFault) {
	if daemon := in.pickDaemonWithoutLinkFault(); daemon != nil {
		in.applyLinkFault(daemon, func() { linkOf(daemon).SetFault(f) }, func() { linkOf(daemon).SetFault(linker.DatagramFault{}) })
	}
}

func peerLink(daemon *deployment.Daemon) *linker.DatagramLink { return daemon.Peer }

func (in *injector) loseEntryDatagrams() {
	in.injectDatagramFault(func(daemon *deployment.Daemon) *linker.DatagramLink { return daemon.Entry }, linker.DatagramFault{Loss: datagramLoss, Duplicate: datagramDuplication})
}

func (in *injector) losePeerDatagrams() {
	in.injectDatagramFault(peerLink, linker.DatagramFault{Loss: datagramLoss, Duplicate: datagramDuplication, Delay: linkDelay})
}

// cutPeers drops the datagrams from all peers to a daemon. Its own datagrams still reach the peers.
func (in *injector) cutPeers() {
	in.injectDatagramFault(peerLink, linker.DatagramFault{Cut: func(netip.Addr) bool { return true }})
}

// cutZone separates the daemons of an availability zone from those of the others, unless any daemon has a link fault.
func (in *injector) cutZone() {
	zone := in.random.IntN(in.zones)
	for _, daemon := range in.Daemons {
		if in.faultyLinks[daemon] {
			return
		}
	}
	for _, daemon := range in.Daemons {
		daemonZone := daemon.ZoneNumber()
		f := linker.DatagramFault{Cut: func(from netip.Addr) bool { return (deployment.ZoneOf(from) == zone) != (daemonZone == zone) }}
		in.applyLinkFault(daemon, func() { daemon.Peer.SetFault(f) }, func() { daemon.Peer.SetFault(linker.DatagramFault{}) })
	}
}

// injectStoreLinkFault applies a fault to the connections of a random daemon to the store.
func (in *injector) injectStoreLinkFault(f linker.StreamFault) {
	if daemon := in.pickDaemonWithoutLinkFault(); daemon != nil {
		in.applyLinkFault(daemon, func() { daemon.Store.SetFault(f) }, func() { daemon.Store.SetFault(linker.StreamFault{}) })
	}
}

func (in *injector) forEachDaemon(apply func(*deployment.Daemon)) {
	for _, daemon := range in.Daemons {
		apply(daemon)
	}
}
