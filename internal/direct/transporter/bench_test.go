package transporter

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/recorder"
	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

var benchLayout = editor.Layout{
	HeaderSize: 30, SourceIP: 4, SourcePort: 8, DestinationIP: 10, DestinationPort: 14, DataLength: 16, Flags: 18, SequenceNumber: 20, AckNumber: 24,
	FlagSYN: 1, FlagACK: 2, FlagFIN: 4, FlagRST: 8,
}

// benchSocket returns a UDP socket on the loopback interface and its address.
func benchSocket(b *testing.B) (*net.UDPConn, netip.AddrPort) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// BenchmarkForward compares the forwarding of a packet of an established flow with a minimal relay that reads a datagram and writes it
// behind a prefix. Both include the write of the generator. The target is at least 0.85 of the relay's rate.
func BenchmarkForward(b *testing.B) {
	generator, _ := benchSocket(b)
	_, sink := benchSocket(b)
	service := netip.MustParseAddrPort("198.18.0.1:443")
	packet := make([]byte, benchLayout.HeaderSize)
	copy(packet[benchLayout.SourceIP:], []byte{100, 64, 0, 7})
	copy(packet[benchLayout.DestinationIP:], service.Addr().AsSlice())
	binary.BigEndian.PutUint16(packet[benchLayout.DestinationPort:], service.Port())
	packet[benchLayout.Flags] = benchLayout.FlagACK

	b.Run("relay", func(b *testing.B) {
		conn, bind := benchSocket(b)
		buffer := make([]byte, prefixSize+maxPacket)
		for b.Loop() {
			_, _ = generator.WriteToUDPAddrPort(packet, bind)
			n, _, err := conn.ReadFromUDPAddrPort(buffer[prefixSize:])
			if err != nil {
				b.Fatal(err)
			}
			_, _ = conn.WriteToUDPAddrPort(buffer[:prefixSize+n], sink)
		}
	})
	b.Run("daemon", func(b *testing.B) {
		conn, bind := benchSocket(b)
		s := steerer.New(steerer.Config{AvailabilityZone: "a", Random: rand.New(rand.NewPCG(1, 1))})
		t := New(Config{EntryConn: conn, Layout: benchLayout, Steerer: s, Recorder: recorder.New(recorder.Config{Logger: zap.NewNop(), LinesPerSecond: 1})})
		t.SetConfiguration(&directory.Configuration{Version: 1, Routes: []directory.Route{{Address: service, Shares: []directory.Share{{Service: "s", Weight: 1}}}}})
		t.SetBackendList(&directory.BackendList{Position: directory.Position{Revision: 1}, Servers: []directory.BackendServer{{ID: 7, Service: "s", AvailabilityZone: "a", Slots: 2, Address: sink}}})
		opening := editor.Packet{Source: netip.MustParseAddrPort("100.64.0.7:0"), Destination: service, Flags: editor.Flags{SYN: true}}
		benchLayout.SetTag(packet, s.Steer(time.Now(), &opening).Tag)
		w := worker{buffer: make([]byte, prefixSize+maxPacket), reset: make([]byte, benchLayout.HeaderSize)}
		b.ReportAllocs()
		for b.Loop() {
			_, _ = generator.WriteToUDPAddrPort(packet, bind)
			if err := t.handlePacket(&w); err != nil {
				b.Fatal(err)
			}
		}
		if n := t.counts.decisions[steerer.Forward][steerer.Established].Load(); n < uint64(b.N) {
			b.Fatalf("%d of %d packets forwarded", n, b.N)
		}
	})
}
