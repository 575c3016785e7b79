package main

import (
	"context"
	"encoding/binary"
	"hash/crc32"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/platform"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/direct"
)

// resetWindow is how far the seq of a reset may be from the last ack of an open flow (PROTOCOL.md, "Flows").
const resetWindow = 76_800

// answerPrefix and checksumSize are what the host stand-in adds to the data of a request.
const (
	answerPrefix = "answer "
	checksumSize = 4
)

// requesters keep flows open and send requests on them. Unlike direct.Callers they check the seq of each reset.
type requesters struct {
	*recorder
	conn    *net.UDPConn
	fabric  *direct.Fabric
	self    netip.Addr
	route   netip.AddrPort
	size    int                    // of the data of a request
	pause   time.Duration          // between two requests
	perFlow int                    // requests on a flow; 0 means until it is 50 s old
	sent    func(p *editor.Packet) // called before an opening packet is sent; may be nil
	leave   time.Time              // from then on, flows are closed after their answer and no others are opened; zero: never
	layout  editor.Layout

	mu       sync.Mutex
	flows    map[uint16]chan received
	lastPort uint16
	requests uint64
	answered int
	failed   int
	valid    int // resets whose seq is within the window
	invalid  int // resets of an open flow whose seq is not
	byHosts  int // resets of open flows that came from hosts
}

func newRequesters(s *system, zone, number int, route netip.AddrPort, size int, pause time.Duration) (*requesters, error) {
	self := s.address(kindRequester, zone, number, portEntry)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(self))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(1 << 20)
	return &requesters{
		recorder: s.recorder, conn: conn, fabric: s.fabrics[zone], self: self.Addr(), route: route, size: size, pause: pause, layout: platform.PacketLayout(),
		flows: map[uint16]chan received{}, lastPort: 30000,
	}, nil
}

// run keeps n flows open until ctx ends.
func (r *requesters) run(ctx context.Context, n int) {
	context.AfterFunc(ctx, func() { _ = r.conn.Close() })
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			sleep(ctx, r.pause*time.Duration(i)/time.Duration(n))
			for ctx.Err() == nil && !r.isLeaving() {
				r.runFlow(ctx)
			}
		})
	}
	buffer := make([]byte, 2048)
	for ctx.Err() == nil {
		n, from, err := r.conn.ReadFromUDPAddrPort(buffer)
		var p editor.Packet
		if err != nil || r.layout.Parse(buffer[:n], &p) != nil {
			continue
		}
		r.mu.Lock()
		in := r.flows[p.Destination.Port()]
		r.mu.Unlock()
		if in != nil {
			select {
			case in <- received{p, from}:
			default:
			}
		}
	}
	wait.Wait()
}

// isLeaving reports whether the requesters open no more flows.
func (r *requesters) isLeaving() bool { return !r.leave.IsZero() && time.Now().After(r.leave) }

// received is the header of a packet and who sent it.
type received struct {
	editor.Packet
	from netip.AddrPort
}

// flow is a flow of a requester.
type flow struct {
	r        *requesters
	in       chan received
	packet   editor.Packet
	opened   time.Time
	answered time.Time
}

// runFlow opens a flow from a new port and sends requests until it fails, is reset or is 50 s old.
func (r *requesters) runFlow(ctx context.Context) {
	f := &flow{r: r, in: make(chan received, 64)}
	r.mu.Lock()
	r.lastPort++
	port := r.lastPort
	r.flows[port] = f.in
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.flows, port)
		r.mu.Unlock()
	}()
	f.packet = editor.Packet{Source: netip.AddrPortFrom(r.self, port), Destination: r.route, SequenceNumber: uint32(port) << 8}
	if !f.open(ctx) {
		sleep(ctx, 50*time.Millisecond)
		return
	}
	for n := 1; time.Since(f.opened) < 50*time.Second && !r.isLeaving() && f.request(ctx) && n != r.perFlow; n++ {
		if !f.pause(ctx) {
			return
		}
	}
	f.packet.Flags = editor.Flags{ACK: true, FIN: true}
	f.send(nil)
}

// open sends the opening packet, and copies after 200 and 600 ms.
func (f *flow) open(ctx context.Context) bool {
	f.packet.Flags = editor.Flags{SYN: true}
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.packet.AckNumber = uint32(copies)
		if f.r.sent != nil {
			f.r.sent(&f.packet)
		}
		f.send(nil)
		p, ok := f.receive(ctx, wait)
		if ok && p.Flags.RST {
			return false
		}
		if ok && p.Flags.SYN && p.Flags.ACK {
			f.packet.Tag, f.packet.Flags = p.Tag, editor.Flags{ACK: true}
			f.packet.SequenceNumber++
			f.packet.AckNumber = p.SequenceNumber + 1
			f.send(nil)
			f.opened = time.Now()
			return true
		}
	}
	return false
}

// request sends a request, with retransmissions, until it is answered. It returns false if the flow has ended.
func (f *flow) request(ctx context.Context) bool {
	f.r.mu.Lock()
	f.r.requests++
	data := binary.BigEndian.AppendUint64(nil, f.r.requests)
	f.r.mu.Unlock()
	data = append(data, make([]byte, f.r.size-len(data))...)
	interval := 200 * time.Millisecond
	for deadline := time.Now().Add(2 * time.Second); ctx.Err() == nil && time.Now().Before(deadline); interval = min(2*interval, 1600*time.Millisecond) {
		f.send(data)
		for until := time.Now().Add(interval); time.Now().Before(until); {
			p, ok := f.receive(ctx, time.Until(until))
			switch {
			case !ok:
			case p.Flags.RST && !f.checkReset(&p):
			case p.Flags.RST:
				return false
			case p.DataLength > 0 && p.SequenceNumber == f.packet.AckNumber:
				f.packet.Tag = p.Tag
				f.packet.SequenceNumber += uint32(len(data) + checksumSize)
				f.packet.AckNumber += uint32(p.DataLength)
				f.answered = time.Now()
				f.r.mu.Lock()
				f.r.answered++
				f.r.mu.Unlock()
				return true
			}
		}
	}
	f.r.mu.Lock()
	f.r.failed++
	f.r.mu.Unlock()
	return false
}

// pause waits until the next request. A second copy of the answer is acknowledged. It returns false if the flow was reset.
func (f *flow) pause(ctx context.Context) bool {
	for until := time.Now().Add(f.r.pause); time.Now().Before(until) && ctx.Err() == nil; {
		p, ok := f.receive(ctx, time.Until(until))
		switch {
		case !ok:
		case p.Flags.RST && f.checkReset(&p):
			return false
		case p.DataLength > 0:
			f.send(nil)
		}
	}
	return true
}

// checkReset reports whether a reset of the open flow has a seq in the window, and records it.
func (f *flow) checkReset(p *received) bool {
	distance := int64(int32(p.SequenceNumber - f.packet.AckNumber))
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	sender := "daemon"
	if p.from.Addr().As4()[1] == 20+kindHost {
		sender = "host"
		f.r.byHosts++
	}
	if distance >= -resetWindow && distance <= resetWindow {
		f.r.valid++
		f.r.log("flow from port %d, open for %.1f s: a reset from %s %s, %d from the last ack", f.packet.Source.Port(), time.Since(f.opened).Seconds(), sender, p.from, distance)
		return true
	}
	f.r.invalid++
	f.r.log("flow from port %d, open for %.1f s: a packet like a reset from %s %s, whose seq %d is %d from the last ack", f.packet.Source.Port(), time.Since(f.opened).Seconds(), sender, p.from, p.SequenceNumber, distance)
	return false
}

// receive returns the next packet of the flow, or false if none arrives in time.
func (f *flow) receive(ctx context.Context, wait time.Duration) (received, bool) {
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	select {
	case p := <-f.in:
		return p, true
	case <-ctx.Done():
	case <-timer.C:
	}
	return received{}, false
}

// send sends a packet of the flow through the daemon that the routers choose.
func (f *flow) send(data []byte) {
	_, _ = f.r.conn.WriteToUDPAddrPort(encode(&f.r.layout, &f.packet, data), f.r.fabric.Choose(f.packet.Source, f.packet.Destination))
}

// encode returns a packet with data and the checksum that the host stand-in checks.
func encode(l *editor.Layout, p *editor.Packet, data []byte) []byte {
	length := 0
	if len(data) > 0 {
		length = len(data) + checksumSize
	}
	b := make([]byte, l.HeaderSize+length)
	source, destination := p.Source.Addr().As4(), p.Destination.Addr().As4()
	copy(b[l.SourceIP:], source[:])
	copy(b[l.DestinationIP:], destination[:])
	binary.BigEndian.PutUint16(b[l.SourcePort:], p.Source.Port())
	binary.BigEndian.PutUint16(b[l.DestinationPort:], p.Destination.Port())
	binary.BigEndian.PutUint16(b[l.DataLength:], uint16(length))
	binary.BigEndian.PutUint32(b[l.SequenceNumber:], p.SequenceNumber)
	binary.BigEndian.PutUint32(b[l.AckNumber:], p.AckNumber)
	for _, f := range []struct {
		set bool
		bit byte
	}{{p.Flags.SYN, l.FlagSYN}, {p.Flags.ACK, l.FlagACK}, {p.Flags.FIN, l.FlagFIN}, {p.Flags.RST, l.FlagRST}} {
		if f.set {
			b[l.Flags] |= f.bit
		}
	}
	if length > 0 {
		copy(b[l.HeaderSize:], data)
		binary.BigEndian.PutUint32(b[len(b)-checksumSize:], crc32.ChecksumIEEE(b[:len(b)-checksumSize]))
	}
	l.SetTag(b, p.Tag)
	return b
}
