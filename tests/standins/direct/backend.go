package direct

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

// idSize is the length of the intended backend server's id before each packet.
const idSize = 8

// Violations counts broken promises.
type Violations struct {
	mu   sync.Mutex
	list []string
}

// Add records one.
func (v *Violations) Add(text string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = append(v.list, text)
}

// List returns all recorded.
func (v *Violations) List() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.list...)
}

// BackendConfig holds what a Backend is made of.
type BackendConfig struct {
	Server      directory.BackendServer
	Layout      editor.Layout
	CallerPort  uint16 // where callers listen
	ServiceTime time.Duration
	Violations  *Violations
	// ServiceAddresses are the service addresses whose flows the service may get.
	ServiceAddresses map[netip.AddrPort]bool
}

// Backend is a backend server: it accepts flows and answers each request after its work.
type Backend struct {
	c    BackendConfig
	conn *net.UDPConn

	mu     sync.Mutex
	flows  map[flow]*served
	opened int
	runs   map[uint64]int // by request id
	leftAt time.Time

	crashed     bool
	lastOpening time.Time // newest opening packet since the crash
}

type served struct {
	next   uint32 // sequence number expected of the caller
	sent   uint32
	answer []byte
}

// NewBackend binds the backend server's address.
func NewBackend(c BackendConfig) (*Backend, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Server.Address))
	if err != nil {
		return nil, eris.Wrapf(err, "backend server at %s", c.Server.Address)
	}
	return &Backend{c: c, conn: conn, flows: map[flow]*served{}, runs: map[uint64]int{}}, nil
}

// Server returns the entry of the backend server.
func (b *Backend) Server() directory.BackendServer { return b.c.Server }

// OpenedFlows returns the number of flows that were opened here.
func (b *Backend) OpenedFlows() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.opened
}

// ForbidNewFlowsAfter makes every flow that opens later than bound a violation.
func (b *Backend) ForbidNewFlowsAfter(bound time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leftAt = time.Now().Add(bound)
}

// Crash makes the backend server silent for good. It returns the callers' addresses of the flows that were open; their number and
// the opening packets that still arrive show what daemons do with it.
func (b *Backend) Crash() map[netip.AddrPort]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashed = true
	open := map[netip.AddrPort]bool{}
	for key := range b.flows {
		open[key.caller] = true
	}
	return open
}

// LastOpeningPacket returns when the newest opening packet since the crash arrived; the zero time if none did.
func (b *Backend) LastOpeningPacket() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastOpening
}

// Run serves until ctx ends; then the backend server is dead and silent.
func (b *Backend) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = b.conn.Close() })
	defer stop()
	buffer := make([]byte, 2048)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		if n >= idSize && directory.ServerID(binary.BigEndian.Uint64(buffer)) == b.c.Server.ID {
			b.receive(buffer[idSize:n])
		}
	}
}

func (b *Backend) receive(content []byte) {
	p, data, intact := decode(&b.c.Layout, content)
	b.mu.Lock()
	defer b.mu.Unlock()
	key := flow{p.Source, p.Destination}
	f := b.flows[key]
	switch {
	case !intact:
		b.c.Violations.Add("a packet arrived altered at " + b.c.Server.Address.String())
	case !b.c.ServiceAddresses[p.Destination]:
		b.c.Violations.Add("a packet for " + p.Destination.String() + " reached " + b.c.Server.Service)
	case b.crashed:
		if p.Flags.SYN {
			b.lastOpening = time.Now()
		}
	case p.Flags.RST:
		delete(b.flows, key)
	case p.Flags.SYN:
		if f == nil {
			if !b.leftAt.IsZero() && time.Now().After(b.leftAt) {
				b.c.Violations.Add("a flow opened at " + b.c.Server.Address.String() + " after it had left")
			}
			b.opened++
			f = &served{next: p.Sequence + 1, sent: 1}
			b.flows[key] = f
		}
		b.send(&p, editor.Flags{SYN: true, ACK: true}, 0, f.next, nil)
	case f == nil:
		b.send(&p, editor.Flags{RST: true}, p.Acknowledged, 0, nil)
	case p.Flags.FIN:
		b.send(&p, editor.Flags{ACK: true}, f.sent, p.Sequence+1, nil)
		delete(b.flows, key)
	case len(data) > 0 && p.Sequence == f.next:
		f.next += uint32(p.DataLength)
		b.runs[binary.BigEndian.Uint64(data)]++
		time.AfterFunc(b.c.ServiceTime, func() { b.answer(p, f, append([]byte("answer "), data...)) })
	case len(data) > 0 && f.answer != nil && p.Sequence+uint32(p.DataLength) == f.next:
		b.send(&p, editor.Flags{ACK: true}, f.sent-uint32(len(f.answer)+checksumSize), f.next, f.answer) // its answer was lost
	}
}

func (b *Backend) answer(p editor.Packet, f *served, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.crashed {
		return
	}
	f.answer = data
	b.send(&p, editor.Flags{ACK: true}, f.sent, f.next, data)
	f.sent += uint32(len(data) + checksumSize)
}

// send sends a packet to the caller of p, with the tag that p carried.
func (b *Backend) send(p *editor.Packet, flags editor.Flags, sequence, acknowledged uint32, data []byte) {
	reply := editor.Packet{
		Source: p.Destination, Destination: p.Source, Tag: p.Tag, Flags: flags, Sequence: sequence, Acknowledged: acknowledged,
	}
	to := netip.AddrPortFrom(p.Source.Addr(), b.c.CallerPort)
	_, _ = b.conn.WriteToUDPAddrPort(encode(&b.c.Layout, &reply, data), to) // a lost packet is asked for again
}

// RunCounts returns how often each request ran here.
func (b *Backend) RunCounts() map[uint64]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make(map[uint64]int, len(b.runs))
	for id, n := range b.runs {
		runs[id] = n
	}
	return runs
}
