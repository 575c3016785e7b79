// Package linker forwards datagrams and TCP connections to a process and injects network faults into them.
package linker

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxDatagram is the size of the buffers, larger than any datagram.
const maxDatagram = 1 << 16

// DatagramFault describes the faults of a datagram link; the zero value has none.
type DatagramFault struct {
	Delay time.Duration
	// Loss and Duplicate are the probabilities that a datagram is lost and that it arrives twice.
	Loss, Duplicate float64
	// Cut reports whether the datagrams of a sender are lost; nil means none.
	Cut func(from netip.Addr) bool
}

// DatagramLink forwards datagrams to a process. Datagrams that the process sends don't pass the link, so a cut holds for one
// direction only.
type DatagramLink struct {
	conn   *net.UDPConn
	to     netip.AddrPort
	mu     sync.Mutex
	fault  DatagramFault
	random *rand.Rand
}

// NewDatagramLink binds the address to which senders send instead of that of the process.
func NewDatagramLink(bind, to netip.AddrPort, seed uint64) (*DatagramLink, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(bind))
	if err != nil {
		return nil, eris.Wrap(err, "listen at the address of a link")
	}
	return &DatagramLink{conn: conn, to: to, random: rand.New(rand.NewPCG(seed, 17))}, nil
}

// SetFault replaces the fault.
func (d *DatagramLink) SetFault(f DatagramFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
}

// Run forwards datagrams until ctx ends.
func (d *DatagramLink) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = d.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			continue // an ICMP error for an earlier datagram
		}
		copies, delay := d.applyFault(from.Addr())
		for range copies {
			if delay == 0 {
				_, _ = d.conn.WriteToUDPAddrPort(buffer[:n], d.to) // senders handle the loss of a datagram
				continue
			}
			b := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(delay, func() { _, _ = d.conn.WriteToUDPAddrPort(b, d.to) })
		}
	}
}

// applyFault returns how many copies of a datagram to forward, and after which delay.
func (d *DatagramLink) applyFault(from netip.Addr) (copies int, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &d.fault
	switch {
	case f.Cut != nil && f.Cut(from), d.random.Float64() < f.Loss:
		return 0, 0
	case d.random.Float64() < f.Duplicate:
		return 2, f.Delay
	}
	return 1, f.Delay
}
