package main

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/platform"
)

// slots and queueLength are those of the hosts of the site file.
const (
	slots       = 2
	queueLength = 8
)

// host is a host that processes slots requests at a time and queues queueLength more. It answers further ones at once, without running them.
// As the pages say, it acknowledges a request of one packet with its answer.
type host struct {
	entry  directory.BackendServer
	conn   *net.UDPConn
	port   uint16 // at which requesters receive
	layout editor.Layout
	work   time.Duration

	max      int                                                           // flows that it holds; 0 means no limit
	taken    func(h *host, p *editor.Packet, from netip.AddrPort) *opening // called when the host takes an opening packet; may be nil
	mu       sync.Mutex
	flows    map[netip.AddrPort]*hostFlow
	waiting  []func()
	busy     int
	ran      int
	rejected int
	ignored  int // opening packets while it was full
}

// hostFlow is a flow at a host.
type hostFlow struct {
	expected, own uint32 // next sequence numbers of the requester and of the host
	answer        []byte
	acked         uint32 // newest acknowledgement of the requester
	opening       *opening
}

// addQueueingHost starts a host of that kind with heartbeats.
func (s *system) addQueueingHost(service string, zone int, work time.Duration) (*host, error) {
	s.lastHost++
	h := &host{entry: directory.BackendServer{
		ID: directory.ServerID(0x7f000000 + s.lastHost*7919), Service: service, Address: s.address(kindHost, zone, s.lastHost, portHost),
		AvailabilityZone: s.zones[zone], Slots: slots, Incarnation: time.Now().UnixMilli(),
	}, port: uint16(s.base + portEntry), layout: platform.PacketLayout(), work: work, flows: map[netip.AddrPort]*hostFlow{}}
	var err error
	if h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.entry.Address)); err != nil {
		return nil, err
	}
	_ = h.conn.SetReadBuffer(1 << 20)
	checks, err := net.Listen("tcp4", h.entry.Address.String()) // the liveness check; the kernel accepts connections
	if err != nil {
		return nil, err
	}
	s.wait.Go(func() { h.run(s) })
	s.wait.Go(func() {
		for sequence := 0; s.ctx.Err() == nil; sequence++ {
			s.store.SetServer(&h.entry, sequence)
			sleep(s.ctx, heartbeat)
		}
		_, _ = h.conn.Close(), checks.Close()
	})
	return h, nil
}

func (h *host) run(s *system) {
	buffer := make([]byte, 2048)
	for s.ctx.Err() == nil {
		n, from, err := h.conn.ReadFromUDPAddrPort(buffer)
		if err != nil || n < 8 || directory.ServerID(binary.BigEndian.Uint64(buffer)) != h.entry.ID {
			continue
		}
		var p editor.Packet
		if h.layout.Parse(buffer[8:n], &p) == nil {
			h.receive(&p, from, append([]byte(nil), buffer[8+h.layout.HeaderSize:n]...))
		}
	}
}

func (h *host) receive(p *editor.Packet, from netip.AddrPort, data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[p.Source]
	if f != nil && !p.Flags.SYN {
		f.acked = p.AckNumber
	}
	switch {
	case p.Flags.RST:
		delete(h.flows, p.Source)
	case p.Flags.SYN:
		if f == nil {
			if h.max > 0 && len(h.flows) >= h.max { // full: it sends nothing
				h.ignored++
				return
			}
			f = &hostFlow{expected: p.SequenceNumber + 1, own: rand.Uint32()}
			if h.taken != nil {
				f.opening = h.taken(h, p, from)
			}
			h.flows[p.Source] = f
		}
		h.send(p, editor.Flags{SYN: true, ACK: true}, f.own-1, f.expected, nil)
	case f == nil && p.Flags.FIN:
		h.send(p, editor.Flags{ACK: true}, p.AckNumber, p.SequenceNumber+1, nil)
	case f == nil:
		h.send(p, editor.Flags{RST: true}, p.AckNumber, 0, nil)
	case p.Flags.FIN:
		h.send(p, editor.Flags{ACK: true}, f.own, p.SequenceNumber+1, nil)
		delete(h.flows, p.Source)
	case len(data) > 0 && p.SequenceNumber == f.expected:
		f.expected += uint32(len(data))
		request := *p
		size := len(answerPrefix) + len(data)
		switch {
		case h.busy < slots:
			h.start(&request, f, size)
		case len(h.waiting) < queueLength:
			h.waiting = append(h.waiting, func() { h.start(&request, f, size) })
		default:
			h.rejected++
			h.answer(&request, f, 60)
		}
	case len(data) > 0 && f.answer != nil && p.SequenceNumber+uint32(len(data)) == f.expected: // the answer was lost
		h.send(p, editor.Flags{ACK: true}, f.own-uint32(len(f.answer)), f.expected, f.answer)
	}
}

// start processes a request; the time varies as in the site file. The caller holds mu.
func (h *host) start(p *editor.Packet, f *hostFlow, size int) {
	h.busy++
	h.ran++
	if f.opening != nil {
		f.opening.run()
		f.opening = nil
	}
	f.answer = nil
	time.AfterFunc(time.Duration(float64(h.work)*(0.5+rand.Float64())), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.answer(p, f, size)
		h.busy--
		if len(h.waiting) > 0 {
			next := h.waiting[0]
			h.waiting = h.waiting[1:]
			next()
		}
	})
}

func (h *host) answer(p *editor.Packet, f *hostFlow, size int) {
	f.answer = make([]byte, size)
	h.send(p, editor.Flags{ACK: true}, f.own, f.expected, f.answer)
	f.own += uint32(size)
	h.repeat(p, f, f.own, 200*time.Millisecond)
}

// repeat sends the answer again while the requester has not acknowledged it.
func (h *host) repeat(p *editor.Packet, f *hostFlow, end uint32, interval time.Duration) {
	time.AfterFunc(interval, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.flows[p.Source] != f || f.own != end || int32(f.acked-end) >= 0 || interval > 30*time.Second {
			return
		}
		h.send(p, editor.Flags{ACK: true}, end-uint32(len(f.answer)), f.expected, f.answer)
		h.repeat(p, f, end, min(2*interval, 1600*time.Millisecond))
	})
}

// send answers the requester of p directly, with the echo that p carried.
func (h *host) send(p *editor.Packet, flags editor.Flags, sequence, acknowledged uint32, data []byte) {
	reply := editor.Packet{Source: p.Destination, Destination: p.Source, Tag: p.Tag, Flags: flags, SequenceNumber: sequence, AckNumber: acknowledged}
	b := encode(&h.layout, &reply, nil)
	binary.BigEndian.PutUint16(b[h.layout.DataLength:], uint16(len(data)))
	_, _ = h.conn.WriteToUDPAddrPort(append(b, data...), netip.AddrPortFrom(p.Source.Addr(), h.port))
}
