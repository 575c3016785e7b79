package main

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

const (
	idSize            = 8 // of the host's id before each packet
	heartbeatInterval = 770 * time.Millisecond
	retransmitAfter   = 200 * time.Millisecond
	retransmitMax     = 1600 * time.Millisecond
	hostRetries       = 8
	maxFillers        = 8 // connections that fill the queue of a listener
	fillerTimeout     = 50 * time.Millisecond
)

// host is a backend server stand-in, as PROTOCOL.md describes it.
type host struct {
	w          *world
	entry      directory.BackendServer
	work       time.Duration
	limit      int // flows that it holds
	conn       *net.UDPConn
	health     net.Listener
	healthGate sync.Mutex

	mu          sync.Mutex
	flows       map[flowKey]*hostFlow
	runs        map[uint64]int
	answerBytes int // of an answer
	crashed     bool
	opened      int
	refused     int // opening packets while it was full
}

type hostFlow struct {
	open          bool
	echo          uint32
	firstSequence uint32 // own, of the SYN+ACK
	next          uint32 // own next sequence number
	expected      uint32 // next sequence number of the requester
	acknowledged  uint32 // newest acknowledgement of the requester
	lastSeen      time.Time
}

func (w *world) addHost(service string, zone, number int, id uint64) (*host, error) {
	h := &host{
		w: w, work: 22 * time.Millisecond, limit: 2000, flows: map[flowKey]*hostFlow{},
		runs: map[uint64]int{},
		entry: directory.BackendServer{
			ID: directory.ServerID(id), Service: service, Address: w.address(kindHost, zone, number, portHost), AvailabilityZone: zoneNames[zone], Slots: 2,
			Incarnation: time.Now().UnixMilli(),
		},
	}
	var err error
	if h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.entry.Address)); err != nil {
		return nil, err
	}
	_ = h.conn.SetReadBuffer(1 << 22)
	if h.health, err = net.Listen("tcp4", h.entry.Address.String()); err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	go h.receive()
	go h.acceptHealth()
	go h.beat()
	return h, nil
}

// acceptHealth accepts the connections of liveness checks. Nothing is sent on them here.
func (h *host) acceptHealth() {
	for {
		c, err := h.health.Accept()
		if err != nil {
			return
		}
		h.healthGate.Lock() // held while checks get no answer
		h.healthGate.Unlock()
		_ = c.Close()
	}
}

// stopHealth makes connections of liveness checks get no answer. The queue of new connections is shortened and filled.
func (h *host) stopHealth() {
	h.healthGate.Lock()
	h.setBacklog(0)
	for range maxFillers {
		if _, err := net.DialTimeout("tcp4", h.entry.Address.String(), fillerTimeout); err != nil {
			return
		}
	}
}

// setBacklog sets the length of the queue of new connections.
func (h *host) setBacklog(n int) {
	raw, err := h.health.(*net.TCPListener).SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
	}
}

func (h *host) beat() {
	for sequence := 1; ; sequence++ {
		h.mu.Lock()
		crashed := h.crashed
		h.mu.Unlock()
		if crashed {
			return
		}
		h.w.store.SetServer(&h.entry, sequence)
		select {
		case <-h.w.ended:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (h *host) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < idSize {
			continue
		}
		id := binary.BigEndian.Uint64(buffer)
		if id != 0 && id != uint64(h.entry.ID) {
			continue
		}
		p, data, intact, _ := decode(buffer[idSize:n])
		h.mu.Lock()
		if h.crashed {
			h.mu.Unlock()
			continue
		}
		if !intact {
			h.w.broken("UNASKED", "host %x got a packet that its sender did not write so", uint64(h.entry.ID))
		} else {
			h.handle(&p, data)
		}
		h.mu.Unlock()
	}
}

// handle handles a packet. The caller holds mu.
func (h *host) handle(p *editor.Packet, data []byte) {
	k := flowKey{p.Source, p.Destination}
	f := h.flows[k]
	now := time.Now()
	switch {
	case p.Flags.RST:
		delete(h.flows, k)
	case p.Flags.SYN:
		if f == nil {
			if len(h.flows) >= h.limit {
				h.refused++
				return // a full host sends nothing
			}
			f = &hostFlow{firstSequence: rand.Uint32(), expected: p.SequenceNumber + 1}
			f.next = f.firstSequence + 1
			h.flows[k] = f
		}
		f.echo, f.lastSeen = p.Tag, now
		h.send(k, f, editor.Flags{SYN: true, ACK: true}, f.firstSequence, nil)
	case f == nil || !f.open && p.AckNumber != f.firstSequence+1:
		h.w.record.add("host %x resets flow %s, which it does not hold", uint64(h.entry.ID), k.requester)
		h.send(k, &hostFlow{echo: p.Tag}, editor.Flags{RST: true}, p.AckNumber, nil)
	default:
		if !f.open {
			f.open = true
			h.opened++
		}
		f.echo, f.lastSeen = p.Tag, now
		if int32(p.AckNumber-f.acknowledged) > 0 || f.acknowledged == 0 {
			f.acknowledged = p.AckNumber
		}
		switch {
		case p.Flags.FIN:
			f.expected = p.SequenceNumber + uint32(len(data)) + 1
			h.send(k, f, editor.Flags{ACK: true}, f.next, nil)
			delete(h.flows, k)
		case len(data) > 0 && p.SequenceNumber == f.expected:
			f.expected += uint32(len(data))
			h.send(k, f, editor.Flags{ACK: true}, f.next, nil)
			id := binary.BigEndian.Uint64(data)
			h.runs[id]++
			h.w.addRequest("run: request %d on flow %s at host %x", id, k.requester, uint64(h.entry.ID))
			time.AfterFunc(h.work, func() { h.answer(k, f, id) })
		case len(data) > 0:
			h.send(k, f, editor.Flags{ACK: true}, f.next, nil)
		}
	}
}

// answer sends the answer to a request and retransmits it until it is acknowledged.
func (h *host) answer(k flowKey, f *hostFlow, id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	data := binary.BigEndian.AppendUint64([]byte("answer  "), id)
	data = append(data, make([]byte, max(h.answerBytes-len(data), 0))...)
	sequence := f.next
	f.next += uint32(len(data))
	h.transmit(k, f, sequence, data, retransmitAfter, hostRetries)
}

// transmit sends data until it is acknowledged. The caller holds mu.
func (h *host) transmit(k flowKey, f *hostFlow, sequence uint32, data []byte, interval time.Duration, left int) {
	if h.crashed || h.flows[k] != f || int32(f.acknowledged-sequence-uint32(len(data))) >= 0 || left < 0 {
		return
	}
	h.send(k, f, editor.Flags{ACK: true}, sequence, data)
	time.AfterFunc(interval, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.transmit(k, f, sequence, data, min(2*interval, retransmitMax), left-1)
	})
}

func (h *host) send(k flowKey, f *hostFlow, flags editor.Flags, sequence uint32, data []byte) {
	p := editor.Packet{Source: k.route, Destination: k.requester, Tag: f.echo, Flags: flags, SequenceNumber: sequence, AckNumber: f.expected}
	_, _ = h.conn.WriteToUDPAddrPort(encode(&p, data), netip.AddrPortFrom(k.requester.Addr(), h.w.port(portEntry)))
}

// holds reports whether the flow is open here.
func (h *host) holds(k flowKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[k]
	return f != nil && f.open
}

// crash makes the host silent. Its entry expires after three heartbeats.
func (h *host) crash() {
	h.mu.Lock()
	h.crashed = true
	h.mu.Unlock()
	h.stopHealth()
	time.AfterFunc(3*heartbeatInterval, func() { h.w.store.RemoveServer(h.entry.ID) })
}
