package transporter_test

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/recorder"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/transporter"
	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

var layout = editor.Layout{
	HeaderSize: 30, SourceIP: 4, SourcePort: 8, DestinationIP: 10, DestinationPort: 14, DataLength: 16, Flags: 18, SequenceNumber: 20, AckNumber: 24,
	FlagSYN: 1, FlagACK: 2, FlagFIN: 4, FlagRST: 8,
}

// listen returns a UDP socket at a free port of the address.
func listen(t testing.TB, ip string) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestForward guards against packets that are lost because they arrive before the daemon is assembled or before its first view, against
// changes of a packet other than its tag, and against a prefix with the id of another backend server.
func TestForward(t *testing.T) {
	g := NewWithT(t)
	backend, caller := listen(t, "127.0.0.1"), listen(t, "127.0.0.1")
	placeholder := listen(t, "127.0.0.1")
	bind := placeholder.LocalAddr().(*net.UDPAddr).AddrPort()
	g.Expect(placeholder.Close()).To(Succeed())
	entry, err := transporter.Listen(t.Context(), bind, zap.NewNop())
	g.Expect(err).NotTo(HaveOccurred())
	packet := make([]byte, layout.HeaderSize)
	copy(packet[layout.SourceIP:], []byte{100, 64, 0, 7})
	copy(packet[layout.DestinationIP:], []byte{198, 18, 0, 1})
	binary.BigEndian.PutUint16(packet[layout.DestinationPort:], 443)
	packet[layout.Flags] = layout.FlagSYN
	_, err = caller.WriteToUDPAddrPort(packet, bind) // the daemon is not assembled yet
	g.Expect(err).NotTo(HaveOccurred())
	x := transporter.New(transporter.Config{
		EntryConn: entry, Layout: layout, Steerer: steerer.New(steerer.Config{AvailabilityZone: "a", Random: rand.New(rand.NewPCG(1, 1))}),
		Recorder: recorder.New(recorder.Config{Logger: zap.NewNop(), LinesPerSecond: 1}),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return x.Run(ctx) })

	time.Sleep(50 * time.Millisecond)
	x.SetConfiguration(&directory.Configuration{Version: 1, Routes: []directory.Route{{
		Address: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []directory.Share{{Service: "s", Weight: 1}},
	}}})
	x.SetBackendList(&directory.BackendList{Position: directory.Position{Revision: 1}, Servers: []directory.BackendServer{{
		ID: 0x7f3a, Service: "s", AvailabilityZone: "a", Slots: 2, Address: backend.LocalAddr().(*net.UDPAddr).AddrPort(),
	}}})
	buffer := make([]byte, 2048)
	g.Expect(backend.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	n, err := backend.Read(buffer)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(binary.BigEndian.Uint64(buffer)).To(Equal(uint64(0x7f3a)))
	layout.SetTag(buffer[8:n], 0)
	g.Expect(buffer[8:n]).To(Equal(packet))
	cancel()
	g.Expect(group.Wait()).To(Succeed())
}
