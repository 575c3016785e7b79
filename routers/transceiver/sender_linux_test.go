package transceiver

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"
)

var loopback = netip.MustParseAddr("127.0.0.1")

func newLoopbackSocket(t testing.TB) *Socket {
	t.Helper()
	s, err := Listen(netip.AddrPortFrom(loopback, 0), netip.AddrPort{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// udpPeer is the remote end, a socket of package net.
type udpPeer struct{ *net.UDPConn }

func newUDPPeer(t testing.TB) udpPeer {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return udpPeer{conn}
}

func (p udpPeer) Address() netip.AddrPort { return p.LocalAddr().(*net.UDPAddr).AddrPort() }

// expectDatagrams reads datagrams and compares them with want, in order.
func expectDatagrams(t *testing.T, s udpPeer, want [][]byte) {
	t.Helper()
	b := make([]byte, bufferSize)
	_ = s.SetReadDeadline(time.Now().Add(5 * time.Second))
	for i, w := range want {
		n, err := s.Read(b)
		if err != nil {
			t.Fatalf("datagram %d of %d: %v", i, len(want), err)
		}
		if !bytes.Equal(b[:n], w) {
			t.Fatalf("datagram %d differs: got %d bytes, want %d bytes", i, n, len(w))
		}
	}
}

// TestSenderPreservesDatagrams guards against datagrams that are merged, split at wrong offsets, lost or reordered when datagrams to
// one address are coalesced into one message.
func TestSenderPreservesDatagrams(t *testing.T) {
	for _, unsegmented := range []bool{false, true} {
		// With so many destinations, some share a bucket of the sender's index.
		from, to := newLoopbackSocket(t), make([]udpPeer, 60)
		for i := range to {
			to[i] = newUDPPeer(t)
		}
		sender, want, random := NewSender(), make([][][]byte, len(to)), rand.New(rand.NewPCG(1, 2))
		sender.segmentationUnsupported = sender.segmentationUnsupported || unsegmented
		sizes := []int{8, 200, 200, 200, 200, 330, maxSegmentSize, maxSegmentSize + 100}
		for i := range 3000 {
			k := random.IntN(len(to))
			data := make([]byte, sizes[random.IntN(len(sizes))])
			binary.BigEndian.PutUint64(data, uint64(i))
			sender.Add(from, to[k].Address(), data)
			want[k] = append(want[k], data)
		}
		sender.Flush()
		for k, s := range to {
			expectDatagrams(t, s, want[k])
		}
	}
}

// TestSenderSkipsRejected guards against a message that the kernel rejects and that prevents later ones from being sent, or that is
// lost when only segmentation is unsupported.
func TestSenderSkipsRejected(t *testing.T) {
	from, to := newLoopbackSocket(t), newUDPPeer(t)
	sender := NewSender()
	invalid := netip.AddrPortFrom(loopback, 0) // the kernel rejects port 0
	data := [][]byte{[]byte("first"), []byte("other"), []byte("third")}
	for _, d := range data {
		sender.Add(from, invalid, d)
		sender.Add(from, to.Address(), d)
	}
	sender.Flush()
	expectDatagrams(t, to, data)
	if sender.segmentationUnsupported {
		t.Fatal("a rejected address disabled segmentation")
	}
	// Without segmentation, the datagrams of a message are sent one by one.
	for _, d := range data {
		sender.Add(from, to.Address(), d)
	}
	if !sender.sendUnsegmented(0) {
		t.Fatal("a datagram could not be sent on its own")
	}
	sender.count = 0
	expectDatagrams(t, to, data)
}

// BenchmarkSender writes datagrams of one size to several addresses in turn. It flushes after as many as a busy writer collects.
func BenchmarkSender(b *testing.B) {
	const datagramsPerFlush = 256
	for _, count := range []int{14, 64} {
		from, to := newLoopbackSocket(b), make([]netip.AddrPort, count)
		for i := range to {
			to[i] = newUDPPeer(b).Address()
		}
		for _, unsegmented := range []bool{true, false} {
			name := fmt.Sprintf("%s-%d", map[bool]string{true: "one-by-one", false: "joined"}[unsegmented], count)
			b.Run(name, func(b *testing.B) {
				sender, data := NewSender(), make([]byte, 300)
				sender.segmentationUnsupported = sender.segmentationUnsupported || unsegmented
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					sender.Add(from, to[i%len(to)], data)
					if i%datagramsPerFlush == datagramsPerFlush-1 {
						sender.Flush()
					}
				}
				sender.Flush()
			})
		}
	}
}
