package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/ipv4"
	"golang.org/x/sync/errgroup"
)

const (
	relayBatchSize = 32
	// socketBuffer is the size of each socket's send and receive buffers in bytes, the same as the daemon sets.
	socketBuffer  = 4 << 20
	maxPacketSize = 2048
)

// relay is the baseline: it forwards packets between callers and backend servers and reads only the first 7 bytes of a packet,
// which hold the caller's address and the number of the backend server.
type relay struct {
	entryConn, backendConn *net.UDPConn
	servers                []netip.AddrPort
	serverUDPAddresses     []*net.UDPAddr
}

// runRelay prints the entry address of a relay and runs it until it is killed.
func runRelay(servers string, batches bool) error {
	r := &relay{}
	for _, text := range strings.Split(servers, ",") {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return eris.Wrap(err, "parse a backend server's address")
		}
		r.servers = append(r.servers, a)
		r.serverUDPAddresses = append(r.serverUDPAddresses, net.UDPAddrFromAddrPort(a))
	}
	for _, c := range []**net.UDPConn{&r.entryConn, &r.backendConn} {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 1, 9, 2)})
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		_ = conn.SetReadBuffer(socketBuffer)
		_ = conn.SetWriteBuffer(socketBuffer)
		*c = conn
	}
	fmt.Println(r.entryConn.LocalAddr())
	var g errgroup.Group
	if batches {
		g.Go(func() error { return forwardBatches(r.entryConn, r.backendConn, r.serverUDPAddressFor) })
		g.Go(func() error { return forwardBatches(r.backendConn, r.entryConn, callerUDPAddressFor) })
	} else {
		g.Go(func() error { return forwardSingly(r.entryConn, r.backendConn, r.serverFor) })
		g.Go(func() error { return forwardSingly(r.backendConn, r.entryConn, callerFor) })
	}
	return g.Wait()
}

func (r *relay) serverFor(b []byte) netip.AddrPort { return r.servers[int(b[6])%len(r.servers)] }

func callerFor(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
}

func (r *relay) serverUDPAddressFor(b []byte, _ *net.UDPAddr) *net.UDPAddr {
	return r.serverUDPAddresses[int(b[6])%len(r.serverUDPAddresses)]
}

// callerUDPAddressFor writes the caller's address into reused memory, so that the baseline does not allocate.
func callerUDPAddressFor(b []byte, address *net.UDPAddr) *net.UDPAddr {
	address.IP = append(address.IP[:0], b[:4]...)
	address.Port = int(binary.BigEndian.Uint16(b[4:]))
	return address
}

// forwardSingly reads and writes one packet in each system call.
func forwardSingly(from, to *net.UDPConn, target func([]byte) netip.AddrPort) error {
	b := make([]byte, maxPacketSize)
	for {
		n, _, err := from.ReadFromUDPAddrPort(b)
		if err != nil {
			return eris.Wrap(err, "read")
		}
		_, _ = to.WriteToUDPAddrPort(b[:n], target(b))
	}
}

// forwardBatches reads and writes several packets in each system call.
func forwardBatches(from, to *net.UDPConn, target func([]byte, *net.UDPAddr) *net.UDPAddr) error {
	in, out := ipv4.NewPacketConn(from), ipv4.NewPacketConn(to)
	read, write := make([]ipv4.Message, relayBatchSize), make([]ipv4.Message, relayBatchSize)
	addresses := make([]net.UDPAddr, relayBatchSize)
	for i := range read {
		read[i].Buffers = [][]byte{make([]byte, maxPacketSize)}
		write[i].Buffers = make([][]byte, 1)
	}
	for {
		n, err := in.ReadBatch(read, 0)
		if err != nil {
			return eris.Wrap(err, "read")
		}
		for i := range n {
			b := read[i].Buffers[0][:read[i].N]
			write[i].Buffers[0], write[i].Addr = b, target(b, &addresses[i])
		}
		for remaining := write[:n]; len(remaining) > 0; {
			sent, err := out.WriteBatch(remaining, 0)
			if err != nil {
				sent = max(sent, 0) + 1
			}
			remaining = remaining[min(sent, len(remaining)):]
		}
	}
}
