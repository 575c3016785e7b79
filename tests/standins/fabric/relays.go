package main

import (
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	// dialTimeout bounds the connection attempt of a relay to its target.
	dialTimeout = 2 * time.Second
	// cutPollInterval is the time between two checks whether a partition has ended.
	cutPollInterval = 20 * time.Millisecond
	// chunkSize is the largest chunk of a stream that a relay delays as a unit.
	chunkSize = 32 << 10
)

func sortByName(list []*balancer) {
	slices.SortFunc(list, func(a, b *balancer) int { return strings.Compare(a.Name, b.Name) })
}

// peerSocket is the socket with the IP address of a balancer from which its datagrams reach its peers.
type peerSocket struct{ conn *net.UDPConn }

func (f *fabric) peerSocketFor(a netip.Addr) (*peerSocket, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.peerSockets[a]; s != nil {
		return s, nil
	}
	conn, err := listenUDP(netip.AddrPortFrom(a, 0))
	if err != nil {
		return nil, err
	}
	s := &peerSocket{conn: conn}
	f.peerSockets[a] = s
	f.closeAtStop(conn)
	return s, nil
}

// relayDatagrams relays peer datagrams to one balancer, in this direction only: peers reply to the advertised address that a
// datagram contains.
func (f *fabric) relayDatagrams(conn *net.UDPConn, b *balancer) {
	buf := make([]byte, datagramSize)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		zone, known := zoneOf(from.Addr())
		if !known {
			f.counters.add("peer-datagrams-from-unknown-source")
			continue
		}
		if f.zonesCut(zone, b.AvailabilityZone) {
			f.counters.add("peer-datagrams-cut")
			continue
		}
		s, err := f.peerSocketFor(from.Addr())
		if err != nil {
			f.counters.add("peer-socket-errors")
			continue
		}
		f.counters.add("peer-datagrams")
		f.peerLink.send(buf[:n], func(d []byte) { _, _ = s.conn.WriteToUDPAddrPort(d, b.PeerBind) })
	}
}

func (f *fabric) relayPeers(l net.Listener, b *balancer) {
	f.acceptConnections(l, func(in net.Conn, from netip.Addr) {
		zone, known := zoneOf(from)
		if !known {
			// Without the sender's availability zone no partition can be applied, so the connection is treated as one from
			// the same availability zone and counted.
			f.counters.add("peer-connections-from-unknown-source")
			zone = b.AvailabilityZone
		}
		f.counters.add("peer-connections")
		f.relayStream(in, from, b.PeerBind, f.peerLink, func() bool { return f.zonesCut(zone, b.AvailabilityZone) })
	})
}

func (f *fabric) relayPlatform(l net.Listener, b *balancer) {
	f.acceptConnections(l, func(in net.Conn, _ netip.Addr) {
		f.counters.add("platform-connections")
		f.relayStream(in, b.Entry, f.platform, f.platformLink, func() bool { return f.platformCut(b.AvailabilityZone) })
	})
}

func (f *fabric) acceptConnections(l net.Listener, handle func(net.Conn, netip.Addr)) {
	for {
		c, err := l.Accept()
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(cutPollInterval)
			continue
		}
		f.group.Go(func() error {
			from, err := netip.ParseAddrPort(c.RemoteAddr().String())
			if err == nil {
				handle(c, from.Addr())
			}
			_ = c.Close() // usually closed by relayStream already
			return nil
		})
	}
}

// relayStream relays a connection over a new one to target from the IP address from. While cut returns true it forwards
// nothing and closes nothing, as on a link that drops all packets.
func (f *fabric) relayStream(in net.Conn, from netip.Addr, target netip.AddrPort, l *link, cut func() bool) {
	if !f.waitForCutEnd(cut) {
		return
	}
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: from.AsSlice()}}
	out, err := d.DialContext(f.ctx, "tcp4", target.String())
	if err != nil {
		f.counters.add("relay-dial-errors")
		return
	}
	done := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		select {
		case <-f.ctx.Done():
		case <-done:
		}
		_ = in.Close()
		_ = out.Close()
		return nil
	})
	var copies errgroup.Group
	copies.Go(func() error { f.copyStream(out, in, l, cut); return nil })
	copies.Go(func() error { f.copyStream(in, out, l, cut); return nil })
	_ = copies.Wait()
	close(done)
	_ = g.Wait()
}

// copyStream copies one direction. At its end it closes both connections, since no protocol here half-closes.
func (f *fabric) copyStream(dst, src net.Conn, l *link, cut func() bool) {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
	}()
	buf := make([]byte, chunkSize)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			time.Sleep(l.streamDelay())
			if !f.waitForCutEnd(cut) {
				return
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitForCutEnd waits until cut returns false. It returns false when the fabric stops first.
func (f *fabric) waitForCutEnd(cut func() bool) bool {
	for cut() {
		select {
		case <-f.ctx.Done():
			return false
		case <-time.After(cutPollInterval):
		}
	}
	return f.ctx.Err() == nil
}
