package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// TCP retransmits a lost SYN after 1 s and a lost segment after 200 ms, and doubles the timeout after each further loss.
	synTimeout     = time.Second
	segmentTimeout = 200 * time.Millisecond
)

// link simulates packet loss: it drops datagrams, and delays TCP by the time that retransmissions would take.
type link struct {
	lossRate float64

	mu     sync.Mutex
	random *rand.Rand
}

// lost reports whether the next packet is lost.
func (l *link) lost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < l.lossRate
}

// retransmissionDelay returns the delay caused by retransmissions until a segment arrives and, if withAnswer is set, its answer
// too. Losses are independent.
func (l *link) retransmissionDelay(timeout time.Duration, withAnswer bool) time.Duration {
	total := time.Duration(0)
	for l.lost() || withAnswer && l.lost() {
		total += timeout
		timeout *= 2
	}
	return total
}

// dial opens a TCP connection after the delay for lost SYN and SYN-ACK segments.
func (l *link) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	timer := time.NewTimer(l.retransmissionDelay(synTimeout, true))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timer.C:
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	return &lossyConn{conn, l}, nil
}

// lossyConn delays each write by the retransmissions of its first segment.
type lossyConn struct {
	net.Conn
	link *link
}

// Write sends b after the delay.
func (c *lossyConn) Write(b []byte) (int, error) {
	if d := c.link.retransmissionDelay(segmentTimeout, false); d > 0 {
		time.Sleep(d)
	}
	return c.Conn.Write(b)
}

// lossyListener makes accepted connections lossy.
type lossyListener struct {
	net.Listener
	link *link
}

// Accept wraps the connection, so that answers are delayed too.
func (l *lossyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lossyConn{conn, l.link}, nil
}

// lossySocket drops a part of the datagrams that are sent.
type lossySocket struct {
	*net.UDPConn
	link *link
}

// WriteToUDPAddrPort sends b or drops it. A dropped datagram counts as sent, as UDP doesn't report the loss.
func (s *lossySocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if s.link.lost() {
		return len(b), nil
	}
	return s.UDPConn.WriteToUDPAddrPort(b, to)
}
