package main

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

const (
	// callerIdleTimeout is how long the socket of an idle caller is kept.
	callerIdleTimeout = 60 * time.Second
	// idleCheckInterval is the time between two searches for idle caller sockets.
	idleCheckInterval = 5 * time.Second
	// datagramSize is larger than any datagram of the protocols.
	datagramSize = 64 << 10
	// socketBuffer is the requested size of the kernel's receive buffer.
	socketBuffer = 4 << 20
)

// service is one service address with the sockets of its callers.
type service struct {
	admin.FabricService
	conn    *net.UDPConn
	callers map[netip.AddrPort]*callerSocket // guarded by fabric.mu
}

// callerSocket is the socket with the IP address of a caller from which its datagrams reach the balancers.
type callerSocket struct {
	caller   netip.AddrPort
	conn     *net.UDPConn
	lastUsed atomic.Int64 // Unix ms
}

func listenUDP(a netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", a)
	}
	_ = c.SetReadBuffer(socketBuffer)
	return c, nil
}

// closeAtStop closes c when the fabric stops.
func (f *fabric) closeAtStop(c interface{ Close() error }) {
	f.group.Go(func() error {
		<-f.ctx.Done()
		_ = c.Close()
		return nil
	})
}

func (f *fabric) addService(a admin.FabricService) error {
	conn, err := listenUDP(a.Address)
	if err != nil {
		return err
	}
	s := &service{FabricService: a, conn: conn, callers: map[netip.AddrPort]*callerSocket{}}
	f.mu.Lock()
	if f.services[a.Name] != nil {
		f.mu.Unlock()
		_ = conn.Close()
		return errDuplicate("service", a.Name)
	}
	f.services[a.Name] = s
	f.mu.Unlock()
	f.closeAtStop(conn)
	f.group.Go(func() error { f.readService(s); return nil })
	return nil
}

func (f *fabric) removeService(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	if s == nil {
		return
	}
	delete(f.services, name)
	_ = s.conn.Close()
	for _, c := range s.callers {
		_ = c.conn.Close()
	}
}

func (f *fabric) readService(s *service) {
	buf := make([]byte, datagramSize)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		f.counters.add("caller-in")
		c, err := f.socketForCaller(s, from)
		if err != nil {
			f.counters.add("caller-socket-errors")
			continue
		}
		f.callerLink.send(buf[:n], func(b []byte) { f.spray(s, c, b) })
	}
}

// spray sends a datagram to a balancer chosen at random.
func (f *fabric) spray(s *service, c *callerSocket, b []byte) {
	live := *f.liveBalancers.Load()
	if len(live) == 0 {
		f.counters.add("no-live-balancer")
		return
	}
	t := live[f.random.intN(len(live))]
	t.sentDatagrams.Add(1)
	if _, err := c.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(t.Entry, s.Address.Port())); err != nil {
		f.counters.add("spray-errors")
	}
}

func (f *fabric) socketForCaller(s *service, caller netip.AddrPort) (*callerSocket, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := s.callers[caller]
	if c != nil {
		c.lastUsed.Store(time.Now().UnixMilli())
		return c, nil
	}
	conn, err := listenUDP(netip.AddrPortFrom(caller.Addr(), 0))
	if err != nil {
		return nil, err
	}
	c = &callerSocket{caller: caller, conn: conn}
	c.lastUsed.Store(time.Now().UnixMilli())
	s.callers[caller] = c
	f.group.Go(func() error { f.readBalancers(s, c); return nil })
	return c, nil
}

// readBalancers forwards the datagrams of balancers to a caller. A reply from another port than the service's is dropped and
// counted, because a caller would take it for a reply of this service.
func (f *fabric) readBalancers(s *service, c *callerSocket) {
	buf := make([]byte, datagramSize)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if _, ok := zoneOf(from.Addr()); !ok || from.Port() != s.Address.Port() {
			f.counters.add("replies-from-wrong-source")
			continue
		}
		f.counters.add("caller-out")
		f.callerLink.send(buf[:n], func(b []byte) {
			if _, err := s.conn.WriteToUDPAddrPort(b, c.caller); err != nil {
				f.counters.add("reply-errors")
			}
		})
	}
}

// closeIdleCallers closes the sockets of idle callers until the fabric stops, and then all of them.
func (f *fabric) closeIdleCallers() error {
	t := time.NewTicker(idleCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-f.ctx.Done():
			f.closeCallers(time.Now().Add(time.Hour))
			return nil
		case now := <-t.C:
			f.closeCallers(now.Add(-callerIdleTimeout))
		}
	}
}

func (f *fabric) closeCallers(before time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		for k, c := range s.callers {
			if c.lastUsed.Load() < before.UnixMilli() {
				_ = c.conn.Close()
				delete(s.callers, k)
			}
		}
	}
}
