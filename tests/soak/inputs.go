package main

import (
	"bytes"
	"fmt"
	"math"
	"math/big"
	"net"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/platform"
	"github.com/bluebelldyke/bluebelldyke/tests/harness/deployment"
)

const (
	oddNesting = 700_000 // levels
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

// nestedValue stands for nested in a value that encode encodes: the encoder refuses so many levels.
const nestedValue = "replaced by arrays"

// nested returns an array in an array and so on.
func nested() []byte { return append(bytes.Repeat([]byte{0x81}, oddNesting), 0) }

// oddNumbers are values for a field that should hold a number of a usual size.
func oddNumbers() []any {
	return []any{
		math.MinInt64, -1 << 62, -1, 0, 1 << 31, 1 << 32, 1<<53 + 1, 1 << 62, math.MaxInt64, uint64(1 << 63), uint64(math.MaxUint64),
		new(big.Int).Lsh(big.NewInt(1), 64), new(big.Int).Lsh(big.NewInt(-3), 4000), 1e300, -1e300, math.NaN(), math.Inf(1), math.Inf(-1), 0.5, math.SmallestNonzeroFloat64,
		"7", []byte{7}, nil, true, []any{7}, map[string]any{"a": 7}, nestedValue, cbor.Tag{Number: 1, Content: 7},
	}
}

func oddTexts() []any {
	return []any{"", strings.Repeat("x", 1<<16), "\x00\xff", "a/b\n", 7, nil, nestedValue, []byte("ovenwatch"), []any{}}
}

// oddAddresses are values for the address of a backend server. Those that can be sent to are loopback addresses.
func oddAddresses() []any {
	return append(oddTexts(), "127.12.0.1:99999", "127.12.0.1:0", "127.12.0.1:-1", "127.12.0.1", "0.0.0.0:9", "255.255.255.255:9", "127.255.255.255:9", "[::1]:9",
		"[::ffff:127.12.0.1]:9", "127.012.0.1:9", "127.12.0.1:9")
}

func (in *injector) pick(list []any) any { return list[in.random.IntN(len(list))] }

// oddEntry returns the value of an entry that another writer could leave: a valid one with one to three odd fields, or no entry at all.
func (in *injector) oddEntry(services ...string) []byte {
	if in.random.IntN(4) == 0 {
		valid := encodedEntry()
		bodies := [][]byte{
			nil, []byte(`{"service":"ovenwatch","address":"127.12.0.1:9","slots":2}`), nested(), valid[:len(valid)/2], {0xbf}, {0x9f}, {0xff}, {0xf6}, {0xf7}, {0xa0},
			{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, {0xbb, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0xff}, {0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
			append([]byte{0xc2, 0x59, 0xff, 0xff}, make([]byte, 1<<16-1)...), bytes.Repeat([]byte{0xd8, 0x20}, oddNesting), append(valid, valid...), bytes.Repeat([]byte{0xff}, 1000),
		}
		return bodies[in.random.IntN(len(bodies))]
	}
	entry := validEntry()
	entry["service"] = services[in.random.IntN(len(services))]
	for range 1 + in.random.IntN(3) {
		switch in.random.IntN(8) {
		case 0:
			entry["slots"] = in.pick(oddNumbers())
		case 1:
			entry["warmupLeftMs"] = in.pick(oddNumbers())
		case 2:
			entry["born"] = in.pick(oddNumbers())
		case 3:
			entry["address"] = in.pick(oddAddresses())
		case 4:
			entry["service"] = in.pick(oddTexts())
		case 5:
			entry["zone"] = in.pick(oddTexts())
		case 6:
			entry["phase"] = in.pick(oddTexts())
		case 7:
			entry[fmt.Sprint("field-", in.random.IntN(100))] = in.pick(oddNumbers())
		}
	}
	return encode(entry)
}

func validEntry() map[string]any {
	return map[string]any{
		"service": "ovenwatch", "address": "127.12.0.250:9", "zone": "zone-0", "version": "v1", "slots": 2, "phase": "ready", "warmupLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
}

func encodedEntry() []byte { return encode(validEntry()) }

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the values are those above
	}
	placeholder := append([]byte{0x60 | byte(len(nestedValue))}, nestedValue...)
	return bytes.ReplaceAll(b, placeholder, nested())
}

// oddKeys are keys that no backend server has.
func oddKeys() []string {
	return []string{
		"servers/", "servers/i-", "servers/zz", "servers/i-0", "servers/i-ffffffffffffffff", "servers/i-10000000000000000", "servers/i--1", "servers/i-1/2",
		"servers/" + strings.Repeat("a", 190), "servers/\x00", "servers/i-é", "servers/i-\xff", "servers",
	}
}

// oddEntryKey returns a key for an odd entry: mostly one that a backend server could have.
func (in *injector) oddEntryKey() string {
	if odd := oddKeys(); in.random.IntN(3) == 0 {
		return odd[in.random.IntN(len(odd))]
	}
	return fmt.Sprintf("servers/i-%x", 0x7f000000+in.random.IntN(1<<20))
}

// putOddEntries writes odd entries among those of the backend servers, changes the configuration behind them, and removes them later.
func (in *injector) putOddEntries(count int) {
	for range count {
		key := in.oddEntryKey()
		in.Store.Put(key, in.oddEntry("ovenwatch", "recipecard", "absent"))
		in.schedule(minInputFault, maxInputFault, func() { in.Store.Delete(key) })
	}
	in.changeRoutes()
}

// leaveOddEntries writes odd entries that stay, none of which is of a service with callers. The daemons must go on following the store.
func (in *injector) leaveOddEntries() {
	for _, key := range oddKeys() {
		if in.random.IntN(4) == 0 {
			in.Store.Put(key, in.oddEntry("absent"))
		}
	}
	in.Store.Put(in.oddEntryKey(), in.oddEntry("absent"))
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
	in.PublishEncoded(func(version uint64) []byte {
		var routes []any
		for i, r := range in.randomRoutes(in.random.IntN(maxExtraRoutes)) {
			w := map[string]any{
				"name": r.Name, "hostname": r.Address.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.Address.Port()), "type": "safe", "timeoutMs": 2000, "targetLatencyMs": 150,
				"priority": i % 3, "maxAttempts": 2, "service": r.Shares[0].Service,
			}
			if in.random.IntN(2) == 0 {
				in.changeRouteField(w)
			}
			for range 1 + in.random.IntN(10)/9 { // sometimes twice
				routes = append(routes, w)
			}
		}
		c := map[string]any{"version": version, "routes": routes, "services": []any{}, "limits": map[string]any{"idleTimeoutMs": 15000}}
		switch in.random.IntN(8) {
		case 0:
			c["limits"] = map[string]any{"idleTimeoutMs": in.pick(oddNumbers())}
		case 1:
			c["services"] = []any{map[string]any{"name": "ovenwatch", "warmupPerS": in.pick(oddNumbers())}, map[string]any{"name": in.pick(oddTexts()), "warmupPerS": 1}}
		case 2:
			c["routes"] = in.pick(oddNumbers())
		case 3:
			return in.oddEntry("absent")
		}
		return encode(c)
	})
	in.schedule(minInputFault, maxInputFault, in.changeRoutes)
}

func (in *injector) changeRouteField(w map[string]any) {
	switch in.random.IntN(7) {
	case 0:
		w["priority"] = in.pick(oddNumbers()[:9]) // integers, which decode
	case 1:
		w["timeoutMs"] = in.pick(oddNumbers())
	case 2:
		w["targetLatencyMs"] = in.pick(oddNumbers())
	case 3:
		w["trafficSplit"] = []any{
			map[string]any{"service": w["service"], "weight": 1 << 62}, map[string]any{"service": "absent", "weight": 1 << 62}, map[string]any{"service": "other", "weight": math.MaxInt64},
		}
	case 4:
		w["trafficSplit"] = []any{map[string]any{"service": w["service"], "weight": in.pick(oddNumbers())}}
	case 5:
		w["hostname"] = in.pick(oddAddresses())
	case 6:
		w["service"] = in.pick(oddTexts())
	}
}

// putOddEvacuations writes evacuations of zones that do not exist, with odd values.
func (in *injector) putOddEvacuations() {
	for _, zone := range []string{"", "zone-99", strings.Repeat("z", 180), "\x00", "zone-0/x"} {
		key := "op/evacuate/" + zone
		in.Store.Put(key, in.oddEntry("absent"))
		in.schedule(minInputFault, maxInputFault, func() { in.Store.Delete(key) })
	}
}

// setOddEra makes the store state an era that is no number of a usual size.
func (in *injector) setOddEra() {
	eras := []string{"18446744073709551616", "18446744073709551615", "4294967296", "-1", "1e3", " 1", "x", strings.Repeat("9", 10_000)}
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
