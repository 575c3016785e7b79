// Package generator generates load for the measurement programs: callers with many feeds, and minimal backend servers that
// answer each packet of a feed with one reading of the same payload.
package generator

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/net/ipv4"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

const (
	batchSize  = 64
	bufferSize = 2048
	// socketBuffer is the size of each socket's send and receive buffers in bytes, the same as the daemon sets.
	socketBuffer = 4 << 20
	// proxyPrefixSize is the length of a PROXY v2 header before its addresses. The TLVs begin at proxyTLVOffset, after the IPv4
	// addresses and ports.
	proxyPrefixSize, proxyTLVOffset = 16, 28
	// tlvVerb and tlvSequence are TLV types of the backend protocol, as package encapsulator defines them.
	tlvVerb, tlvSequence = 0xE0, 0xE3
)

// EchoServers is a group of backend servers in this process. The sequence number of each reply is the number of the server,
// counted from 1, so that callers detect a flow that reaches another server.
type EchoServers struct {
	// Plain makes the servers return each packet unchanged, for relays that don't implement the backend protocol.
	Plain bool

	incarnation uint64
	servers     []*echoServer
	group       errgroup.Group
	cancel      context.CancelFunc
}

type echoServer struct {
	conn          *net.UDPConn
	healthAddress netip.AddrPort
	openFeeds     atomic.Int64
	serverNumber  uint64
	group         *EchoServers
}

// StartEchoServers starts n backend servers.
func StartEchoServers(n int, plain bool) (*EchoServers, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &EchoServers{Plain: plain, incarnation: uint64(time.Now().UnixMilli()), cancel: cancel}
	for i := range n {
		ip := netip.AddrFrom4([4]byte{127, 2, 9, byte(i + 1)})
		conn, err := listen(ip)
		if err != nil {
			e.Stop()
			return nil, err
		}
		s := &echoServer{conn: conn, serverNumber: uint64(i + 1), group: e}
		e.servers = append(e.servers, s)
		e.group.Go(s.run)
		if plain {
			continue
		}
		l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			e.Stop()
			return nil, eris.Wrap(err, "listen for health checks")
		}
		s.healthAddress = l.Addr().(*net.TCPAddr).AddrPort()
		mux := http.NewServeMux()
		mux.HandleFunc("GET /health", e.serveHealth(i))
		e.group.Go(func() error { return admin.ServeListener(ctx, l, &http.Server{Handler: mux}) })
	}
	return e, nil
}

// listen opens a socket with large buffers on a free port.
func listen(ip netip.Addr) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", ip)
	}
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

// Addresses returns the addresses of the servers.
func (e *EchoServers) Addresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, s := range e.servers {
		list = append(list, s.conn.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return list
}

// HealthAddress returns the health address of server i.
func (e *EchoServers) HealthAddress(i int) netip.AddrPort { return e.servers[i].healthAddress }

// OpenFeeds returns the number of open feeds of all servers.
func (e *EchoServers) OpenFeeds() (n int64) {
	for _, s := range e.servers {
		n += s.openFeeds.Load()
	}
	return n
}

// Stop stops all servers.
func (e *EchoServers) Stop() {
	e.cancel()
	for _, s := range e.servers {
		_ = s.conn.Close()
	}
	_ = e.group.Wait()
}

func (s *echoServer) run() error {
	conn := ipv4.NewPacketConn(s.conn)
	in, out := newMessages(batchSize), newMessages(batchSize)
	for {
		for i := range in {
			in[i].Buffers[0] = in[i].Buffers[0][:bufferSize]
		}
		n, err := conn.ReadBatch(in, 0)
		if err != nil {
			return nil
		}
		count := 0
		for i := range n {
			m := &out[count]
			m.Addr = in[i].Addr
			if reply := s.appendReply(m.Buffers[0][:0], in[i].Buffers[0][:in[i].N]); reply != nil {
				m.Buffers[0] = reply
				count++
			}
		}
		writeAll(conn, out[:count])
	}
}

// appendReply appends the reply to a packet to dst, or returns nil if the packet gets none.
func (s *echoServer) appendReply(dst, b []byte) []byte {
	if s.group.Plain {
		return append(dst, b...)
	}
	verb, sequence := tlvValueOffset(b, tlvVerb), tlvValueOffset(b, tlvSequence)
	if verb == 0 || sequence == 0 {
		return nil
	}
	end := proxyPrefixSize + int(binary.BigEndian.Uint16(b[proxyPrefixSize-2:]))
	reply := encapsulator.VerbReading
	switch encapsulator.Verb(b[verb]) {
	case encapsulator.VerbOpen:
		s.openFeeds.Add(1)
		reply = encapsulator.VerbAccepted
	case encapsulator.VerbClose:
		s.openFeeds.Add(-1)
		return nil
	}
	dst = append(dst, b[:end]...)
	dst[verb] = byte(reply)
	binary.BigEndian.PutUint64(dst[sequence:], s.serverNumber)
	// The load TLV (0xE5, 10 bytes) with 2 slots and the number of open feeds, and the incarnation TLV (0xE6, 8 bytes).
	dst = append(dst, 0xE5, 0, 10, 0, 0, 0, 0, 0, 2)
	dst = binary.BigEndian.AppendUint32(dst, uint32(max(0, s.openFeeds.Load())))
	dst = append(dst, 0xE6, 0, 8)
	dst = binary.BigEndian.AppendUint64(dst, s.group.incarnation)
	binary.BigEndian.PutUint16(dst[proxyPrefixSize-2:], uint16(len(dst)-proxyPrefixSize))
	return append(dst, b[end:]...)
}

// tlvValueOffset returns the position of the value of a TLV in a packet whose PROXY header has IPv4 addresses, or 0 if there is
// none.
func tlvValueOffset(b []byte, kind byte) int {
	for position := proxyTLVOffset; position+3 < len(b); position += 3 + int(binary.BigEndian.Uint16(b[position+1:])) {
		if b[position] == kind {
			return position + 3
		}
	}
	return 0
}

func newMessages(n int) []ipv4.Message {
	m := make([]ipv4.Message, n)
	for i := range m {
		m[i].Buffers = [][]byte{make([]byte, bufferSize)}
	}
	return m
}

// writeAll writes all messages and skips those that fail.
func writeAll(conn *ipv4.PacketConn, m []ipv4.Message) {
	for len(m) > 0 {
		n, err := conn.WriteBatch(m, 0)
		if err != nil {
			n = max(n, 0) + 1
		}
		m = m[min(n, len(m)):]
	}
}
