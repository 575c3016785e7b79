package main

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

var openingTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const (
	openTimeout   = 1400 * time.Millisecond
	resetWindow   = 76_800
	requestBytes  = 900
	requestIDSize = 8
)

// client is a requester's machine with one address and many flows.
type client struct {
	w    *world
	zone int
	ip   netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	flows map[uint16]chan received
	port  uint16
}

type received struct {
	packet   editor.Packet
	data     []byte
	from     netip.Addr
	unsigned bool
}

var lastRequest atomic.Uint64

func (w *world) addClient(zone, number int) (*client, error) {
	c := &client{w: w, zone: zone, ip: w.address(kindRequester, zone, number, 0).Addr(), flows: map[uint16]chan received{}, port: uint16(1024 + rand.IntN(20000))}
	var err error
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, w.port(portEntry)))); err != nil {
		return nil, err
	}
	_ = c.conn.SetReadBuffer(1 << 22)
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 4096)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, data, intact, unsigned := decode(buffer[:n])
		if !intact && !(unsigned && p.Flags.RST && len(data) == 0) {
			c.w.broken("MIXED", "requester %s got a packet that its sender did not write so", c.ip)
			continue
		}
		c.mu.Lock()
		to := c.flows[p.Destination.Port()]
		c.mu.Unlock()
		if to != nil {
			select {
			case to <- received{p, data, from.Addr().Unmap(), unsigned && !intact}:
			default:
			}
		}
	}
}

// flow is a flow of a requester. One goroutine at a time uses it.
type flow struct {
	c              *client
	key            flowKey
	in             chan received
	echo           uint32
	sequence       uint32
	ack            uint32
	open           bool
	sent, answered int
	lastEnd        result
}

// result is how a request or the opening of a flow ended.
type result int

const (
	answered result = iota
	resetBySystem
	resetByHost
	timedOut
)

func (r result) String() string {
	return [...]string{"answered", "reset by the system", "reset by a host", "no answer in time"}[r]
}

func (c *client) newFlow(route netip.AddrPort) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		c.port++
		if c.port < 1024 {
			c.port = 1024
		}
		if c.flows[c.port] == nil {
			break
		}
	}
	f := &flow{c: c, key: flowKey{netip.AddrPortFrom(c.ip, c.port), route}, in: make(chan received, 64), sequence: rand.Uint32()}
	c.flows[c.port] = f.in
	return f
}

// forget ends the use of a flow.
func (f *flow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.key.requester.Port())
}

func (f *flow) send(flags editor.Flags, data []byte) {
	d := f.c.w.choose(f.c.zone, f.key)
	if d == nil {
		return
	}
	p := editor.Packet{Source: f.key.requester, Destination: f.key.route, Tag: f.echo, Flags: flags, SequenceNumber: f.sequence, AckNumber: f.ack}
	_, _ = f.c.conn.WriteToUDPAddrPort(encode(&p, data), d.entry)
}

// next returns the next packet of the flow before the deadline.
func (f *flow) next(deadline time.Time) (received, bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case r := <-f.in:
		return r, true
	case <-timer.C:
		return received{}, false
	}
}

// isReset reports whether a packet is a reset that the requester accepts, and how the flow ended then.
func (f *flow) isReset(r *received) (result, bool) {
	if !r.packet.Flags.RST {
		return 0, false
	}
	if f.open && (r.packet.SequenceNumber-f.ack > resetWindow && f.ack-r.packet.SequenceNumber > resetWindow) {
		if r.unsigned {
			f.c.w.broken("MIXED", "flow %s got a reset whose seq is %d behind its last ack", f.key.requester, int32(f.ack-r.packet.SequenceNumber))
		}
		return 0, false
	}
	if r.unsigned {
		return resetBySystem, true
	}
	return resetByHost, true
}

// connect opens the flow.
func (f *flow) connect() result {
	started := time.Now()
	for copies, at := range openingTimes {
		for {
			r, ok := f.next(started.Add(at))
			if !ok {
				break
			}
			if end, done := f.handleOpening(&r); done {
				return end
			}
		}
		f.ack = uint32(copies)
		f.send(editor.Flags{SYN: true}, nil)
	}
	for {
		r, ok := f.next(started.Add(openTimeout))
		if !ok {
			return timedOut
		}
		if end, done := f.handleOpening(&r); done {
			return end
		}
	}
}

func (f *flow) handleOpening(r *received) (result, bool) {
	if end, ok := f.isReset(r); ok {
		return end, true
	}
	if !r.packet.Flags.SYN || !r.packet.Flags.ACK || r.packet.AckNumber != f.sequence+1 {
		return 0, false
	}
	f.echo, f.open = r.packet.Tag, true
	f.sequence++
	f.ack = r.packet.SequenceNumber + 1
	f.send(editor.Flags{ACK: true}, nil)
	return answered, true
}

// request sends a request on the flow and waits for its answer until the time limit.
func (f *flow) request(limit time.Duration) (uint64, result) {
	id := lastRequest.Add(1)
	f.sent++
	data := make([]byte, requestBytes)
	binary.BigEndian.PutUint64(data, id)
	started := time.Now()
	acknowledged := false
	f.c.w.addRequest("sent: request %d on flow %s", id, f.key.requester)
	end := func(r result) (uint64, result) {
		f.lastEnd = r
		f.c.w.addRequest("end: request %d on flow %s: %s", id, f.key.requester, r)
		if r == answered {
			f.c.w.answers.Add(1)
			f.answered++
		}
		return id, r
	}
	first := f.sequence
	for interval := retransmitAfter; ; interval = min(2*interval, retransmitMax) {
		if !acknowledged {
			f.sequence = first
			f.send(editor.Flags{ACK: true}, data)
		}
		f.sequence = first + requestBytes
		until := time.Now().Add(interval)
		if last := started.Add(limit); until.After(last) {
			until = last
		}
		for {
			r, ok := f.next(until)
			if !ok {
				break
			}
			if e, reset := f.isReset(&r); reset {
				return end(e)
			}
			if r.packet.Flags.SYN || r.packet.Flags.RST {
				continue // of another host, or outside of the window
			}
			acknowledged = acknowledged || r.packet.AckNumber == f.sequence
			if len(r.data) == 0 || r.packet.SequenceNumber != f.ack {
				if len(r.data) > 0 {
					f.send(editor.Flags{ACK: true}, nil)
				}
				continue
			}
			f.echo = r.packet.Tag
			f.ack += uint32(len(r.data))
			f.send(editor.Flags{ACK: true}, nil)
			if got := binary.BigEndian.Uint64(r.data[requestIDSize:]); got != id {
				f.c.w.broken("MIXED", "request %d got the answer to request %d", id, got)
			}
			return end(answered)
		}
		if time.Since(started) >= limit {
			return end(timedOut)
		}
	}
}

// close closes the flow.
func (f *flow) close() {
	f.send(editor.Flags{ACK: true, FIN: true}, nil)
	f.forget()
	if f.c.w.totals && f.sent > 0 {
		f.c.w.record.add("flow %s: sent %d requests, %d answered, the last one: %s", f.key.requester, f.sent, f.answered, f.lastEnd)
	}
}
