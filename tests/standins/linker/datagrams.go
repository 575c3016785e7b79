// Package linker carries datagrams and connections to a process, and disturbs them on the way.
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

// maxDatagram is the largest datagram that is carried.
const maxDatagram = 1 << 16

// DatagramFault is what happens to datagrams on their way; the zero value is none.
type DatagramFault struct {
	Delay time.Duration
	// Loss and Duplicate are the parts of datagrams that are lost and that arrive twice.
	Loss, Duplicate float64
	// Cut tells which senders' datagrams are lost; nil means none.
	Cut func(from netip.Addr) bool
}

// DatagramLink carries the datagrams of one way. What the process sends goes another way, so a cut is a one-way cut.
type DatagramLink struct {
	conn   *net.UDPConn
	to     netip.AddrPort
	mu     sync.Mutex
	fault  DatagramFault
	random *rand.Rand
}

// NewDatagramLink binds the address that stands for the one of the process.
func NewDatagramLink(bind, to netip.AddrPort, seed uint64) (*DatagramLink, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(bind))
	if err != nil {
		return nil, eris.Wrap(err, "address of a link")
	}
	return &DatagramLink{conn: conn, to: to, random: rand.New(rand.NewPCG(seed, 17))}, nil
}

// SetFault replaces the fault.
func (d *DatagramLink) SetFault(f DatagramFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
}

// Run carries datagrams until ctx ends.
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
			continue // the answer of the network to an earlier datagram
		}
		copies, delay := d.fate(from.Addr())
		for range copies {
			if delay == 0 {
				_, _ = d.conn.WriteToUDPAddrPort(buffer[:n], d.to) // a lost datagram is what senders expect
				continue
			}
			b := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(delay, func() { _, _ = d.conn.WriteToUDPAddrPort(b, d.to) })
		}
	}
}

// fate returns how many copies of a datagram arrive, and when.
func (d *DatagramLink) fate(from netip.Addr) (copies int, delay time.Duration) {
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
