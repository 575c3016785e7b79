package main

import (
	"math"
	"net"
	"net/netip"
	"regexp"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/platform"
	"github.com/bluebelldyke/bluebelldyke/platform/platformtest"
	"github.com/bluebelldyke/bluebelldyke/tests/harness/deployment"
)

const (
	// An input fault lasts between these times.
	minInputFault = 300 * time.Millisecond
	maxInputFault = 3 * time.Second
	oddPackets    = 300
)

var (
	seedsLine = regexp.MustCompile(`(?m)^seeds = .*$`)
	// oddPacketSource is the address of the caller in odd packets. Replies to it must stay on loopback.
	oddPacketSource = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 13, 9, 9}), 9)
)

// inputFaults returns the faults of inputs: the configuration, the entries of backend servers, the packets and the answers of the store.
func (in *injector) inputFaults() []fault {
	return []fault{
		{"routes", in.changeRoutes}, {"routes", in.changeRoutes}, {"routes-storm", in.stormRoutes}, {"routes-many", in.growRoutes},
		{"odd-entry", func() { in.putOddEntries(1) }}, {"odd-entries", func() { in.putOddEntries(5 + in.random.IntN(40)) }},
		{"odd-backends", in.addOddBackends}, {"odd-configuration", in.publishOddConfiguration}, {"odd-evacuation", in.putOddEvacuations},
		{"odd-era", in.setOddEra}, {"odd-packets", in.sendOddPackets}, {"odd-entries-left", in.leaveOddEntries},
	}
}

// putOddEntries writes odd entries among those of the backend servers, changes the configuration behind them, and removes them later.
func (in *injector) putOddEntries(count int) {
	for range count {
		key := platformtest.OddEntryKey(in.random)
		in.Store.Put(key, platformtest.OddEntry(in.random, "ovenwatch", "recipecard", "absent"))
		in.schedule(minInputFault, maxInputFault, func() { in.Store.Delete(key) })
	}
	in.changeRoutes()
}

// leaveOddEntries writes odd entries that stay, none of which is of a service with callers. The daemons must go on following the store.
func (in *injector) leaveOddEntries() {
	for _, key := range platformtest.OddKeys() {
		if in.random.IntN(4) == 0 {
			in.Store.Put(key, platformtest.OddEntry(in.random, "absent"))
		}
	}
	in.Store.Put(platformtest.OddEntryKey(in.random), platformtest.OddEntry(in.random, "absent"))
	in.changeRoutes()
}

// addOddBackends adds backend servers that answer and state numbers of slots whose sum overflows, or odd incarnations.
func (in *injector) addOddBackends() {
	for range 1 + in.random.IntN(3) {
		server, err := in.AddChangedBackend("ovenwatch", in.random.IntN(in.zones), func(b *directory.BackendServer) {
			b.Slots = []int{2, 1 << 31, 1 << 53, 1 << 62, math.MaxInt64}[in.random.IntN(5)]
			b.Incarnation = []int64{0, -1 << 62, 1 << 62, math.MinInt64, math.MaxInt64, b.Incarnation}[in.random.IntN(6)]
			b.RemainingWarmUp = time.Duration(in.random.IntN(3)) * time.Hour
		})
		if err != nil {
			in.err = err
			return
		}
		in.schedule(minInputFault, maxInputFault, func() { in.Crash(server) })
	}
}

// publishOddConfiguration publishes a configuration with odd values, and a usual one later.
func (in *injector) publishOddConfiguration() {
	routes := in.randomRoutes(in.random.IntN(maxExtraRoutes))
	in.PublishEncoded(func(version uint64) []byte { return platformtest.OddConfiguration(in.random, version, routes) })
	in.schedule(minInputFault, maxInputFault, in.changeRoutes)
}

// putOddEvacuations writes evacuations of zones that do not exist, with odd values.
func (in *injector) putOddEvacuations() {
	for _, key := range platformtest.OddEvacuationKeys() {
		in.Store.Put(key, platformtest.OddEntry(in.random, "absent"))
		in.schedule(minInputFault, maxInputFault, func() { in.Store.Delete(key) })
	}
}

// setOddEra makes the store state an era that is no number of a usual size.
func (in *injector) setOddEra() {
	eras := platformtest.OddEras()
	in.Store.SetEraHeader(eras[in.random.IntN(len(eras))])
	in.schedule(minInputFault, maxInputFault, func() { in.Store.SetEraHeader("") })
}

// sendOddPackets sends packets with odd headers to the entry address of a daemon, and others to its peer address.
func (in *injector) sendOddPackets() {
	daemon := in.pickDaemon()
	if daemon == nil {
		return
	}
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		in.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	layout := platform.PacketLayout()
	addresses := []netip.AddrPort{deployment.Ovenwatch, deployment.Recipecard, deployment.OvenwatchLow, netip.MustParseAddrPort("198.18.9.9:1")}
	for range oddPackets {
		b := make([]byte, layout.HeaderSize)
		for i := range b {
			b[i] = byte(in.random.Uint32())
		}
		// Backend servers report data without a checksum, so packets with data go to an address without a route.
		destination := addresses[in.random.IntN(len(addresses))]
		copy(b[layout.DataLength:], []byte{0, 0})
		if in.random.IntN(3) == 0 {
			destination = addresses[len(addresses)-1]
			b = append(b, make([]byte, in.random.IntN(1400))...)
			copy(b[layout.DataLength:], []byte{byte(in.random.Uint32()), byte(in.random.Uint32())})
		}
		source, target := oddPacketSource.Addr().As4(), destination.Addr().As4()
		copy(b[layout.SourceIP:], source[:])
		copy(b[layout.DestinationIP:], target[:])
		copy(b[layout.DestinationPort:], []byte{byte(destination.Port() >> 8), byte(destination.Port())})
		to := daemon.EntryAddress
		switch in.random.IntN(6) {
		case 0:
			to = daemon.PeerAddress
		case 1:
			b = b[:in.random.IntN(layout.HeaderSize)]
		}
		if _, err := conn.WriteTo(b, net.UDPAddrFromAddrPort(to)); err != nil {
			in.err = err
			return
		}
	}
}
