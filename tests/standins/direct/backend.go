package direct

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

// serverIDSize is the length of the id of the intended backend server, which precedes each packet.
const serverIDSize = 8

// Violations collects descriptions of violated guarantees.
type Violations struct {
	mu   sync.Mutex
	list []string
}

// Add records a violation.
func (v *Violations) Add(text string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = append(v.list, text)
}

// List returns all violations.
func (v *Violations) List() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.list...)
}

// BackendConfig describes a Backend.
type BackendConfig struct {
	Server      directory.BackendServer
	Layout      editor.Layout
	CallerPort  uint16 // port at which callers receive answers
	ServiceTime time.Duration
	Violations  *Violations
	// ServiceAddresses are the service addresses whose flows this backend server may get.
	ServiceAddresses map[netip.AddrPort]bool
	// AcknowledgeAtOnce makes it acknowledge each request when it arrives. Without it the answer acknowledges the request.
	AcknowledgeAtOnce bool
	AnswerPadding     int // bytes of an answer after the request that it repeats
	// QueueLength is how many requests wait while the slots of the entry are busy. Further ones are answered at once, without running, and the
	// service time varies from half to one and a half of it. 0 means that all requests run at once.
	QueueLength int
}

// Answers are retransmitted like requests, as callers send an acknowledged request only once.
const (
	maxRetransmissionInterval = 1600 * time.Millisecond
	maxAnswerRetransmissions  = 8
)

// Backend is a backend server stand-in. It accepts flows and answers each request after the service time.
type Backend struct {
	config BackendConfig
	conn   *net.UDPConn
	probes net.Listener // at the same address; the kernel accepts connections

	mu              sync.Mutex
	flows           map[flowKey]*servedFlow
	openedFlows     int
	runCounts       map[uint64]int // number of runs by request id
	noNewFlowsAfter time.Time
	noOpeningsAfter time.Time // of the evacuated zone; zero while it is not evacuated
	openings        []time.Time
	busy            int      // slots
	waiting         []func() // requests in the queue

	crashed           bool
	lastOpeningPacket time.Time // arrival of the newest opening packet since the crash
}

// servedFlow is an open flow at a backend server.
type servedFlow struct {
	expectedSequence uint32 // sequence number of the next data from the caller
	ownSequence      uint32 // sequence number of the next data to the caller
	lastAnswer       []byte
	acknowledged     uint32 // newest acknowledgement from the caller
}

// NewBackend binds the backend server's address.
func NewBackend(c BackendConfig) (*Backend, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Server.Address))
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s for a backend server", c.Server.Address)
	}
	probes, err := net.Listen("tcp4", c.Server.Address.String())
	if err != nil {
		return nil, errors.Join(eris.Wrapf(err, "listen at %s for probes of a backend server", c.Server.Address), conn.Close())
	}
	return &Backend{config: c, conn: conn, probes: probes, flows: map[flowKey]*servedFlow{}, runCounts: map[uint64]int{}}, nil
}

// Server returns the entry of the backend server in the store.
func (b *Backend) Server() directory.BackendServer { return b.config.Server }

// OpenedFlows returns the number of flows that this backend server accepted.
func (b *Backend) OpenedFlows() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.openedFlows
}

// ForbidNewFlowsAfter makes every flow that opens later than bound from now a violation.
func (b *Backend) ForbidNewFlowsAfter(bound time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noNewFlowsAfter = time.Now().Add(bound)
}

// ForbidOpeningPacketsAfter makes every opening packet that arrives later than bound from now a violation, also a retransmitted one.
func (b *Backend) ForbidOpeningPacketsAfter(bound time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noOpeningsAfter = time.Now().Add(bound)
}

// AllowOpeningPackets ends ForbidOpeningPacketsAfter.
func (b *Backend) AllowOpeningPackets() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noOpeningsAfter = time.Time{}
}

// ForbidsOpeningPackets reports whether an opening packet is a violation now.
func (b *Backend) ForbidsOpeningPackets() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.noOpeningsAfter.IsZero() && time.Now().After(b.noOpeningsAfter)
}

// OpeningPackets returns when opening packets arrived from the given time on, those that were retransmitted included.
func (b *Backend) OpeningPackets(from time.Time) []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	i, _ := slices.BinarySearchFunc(b.openings, from, time.Time.Compare)
	return slices.Clone(b.openings[i:])
}

// OpenFlows returns the number of flows that are open here.
func (b *Backend) OpenFlows() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.flows)
}

// Crash makes the backend server stop responding permanently and returns the callers' addresses of the flows that were open. A
// test uses them and LastOpeningPacket to check how fast daemons detect the crash.
func (b *Backend) Crash() map[netip.AddrPort]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashed = true
	_ = b.probes.Close() // probes of a dead process are refused
	open := map[netip.AddrPort]bool{}
	for key := range b.flows {
		open[key.caller] = true
	}
	return open
}

// LastOpeningPacket returns when the newest opening packet since the crash arrived, or the zero time.
func (b *Backend) LastOpeningPacket() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastOpeningPacket
}

// Run serves until ctx ends and then closes the socket.
func (b *Backend) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _, _ = b.conn.Close(), b.probes.Close() })
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
		if n >= serverIDSize && directory.ServerID(binary.BigEndian.Uint64(buffer)) == b.config.Server.ID {
			b.receive(buffer[serverIDSize:n])
		}
	}
}

func (b *Backend) receive(content []byte) {
	p, data, intact := decode(&b.config.Layout, content)
	b.mu.Lock()
	defer b.mu.Unlock()
	key := flowKey{p.Source, p.Destination}
	f := b.flows[key]
	if f != nil && intact && !p.Flags.SYN && int32(p.AckNumber-f.acknowledged) > 0 {
		f.acknowledged = p.AckNumber
	}
	if p.Flags.SYN && intact {
		b.openings = append(b.openings, time.Now())
		if !b.noOpeningsAfter.IsZero() && time.Now().After(b.noOpeningsAfter) {
			b.config.Violations.Add("an opening packet reached " + b.config.Server.Address.String() + " in an evacuated zone after the bound")
		}
	}
	switch {
	case !intact:
		b.config.Violations.Add("a corrupted packet arrived at " + b.config.Server.Address.String())
	case !b.config.ServiceAddresses[p.Destination]:
		b.config.Violations.Add("a packet for " + p.Destination.String() + " reached " + b.config.Server.Service)
	case b.crashed:
		if p.Flags.SYN {
			b.lastOpeningPacket = time.Now()
		}
	case p.Flags.RST:
		delete(b.flows, key)
	case p.Flags.SYN:
		if f == nil {
			if !b.noNewFlowsAfter.IsZero() && time.Now().After(b.noNewFlowsAfter) {
				b.config.Violations.Add("a flow opened at " + b.config.Server.Address.String() + " later than it may get flows while it is leaving")
			}
			b.openedFlows++
			f = &servedFlow{expectedSequence: p.SequenceNumber + 1, ownSequence: 1}
			b.flows[key] = f
		}
		b.send(&p, editor.Flags{SYN: true, ACK: true}, 0, f.expectedSequence, nil)
	case f == nil:
		b.send(&p, editor.Flags{RST: true}, p.AckNumber, 0, nil)
	case p.Flags.FIN:
		b.send(&p, editor.Flags{ACK: true}, f.ownSequence, p.SequenceNumber+1, nil)
		delete(b.flows, key)
	case len(data) > 0 && p.SequenceNumber == f.expectedSequence:
		f.expectedSequence += uint32(p.DataLength)
		if b.config.AcknowledgeAtOnce {
			b.send(&p, editor.Flags{ACK: true}, f.ownSequence, f.expectedSequence, nil)
		}
		answer := func() {
			b.sendAnswer(p, f, append(append([]byte("answer "), data...), make([]byte, b.config.AnswerPadding)...))
		}
		b.enqueue(func() {
			b.runCounts[binary.BigEndian.Uint64(data)]++
			time.AfterFunc(b.serviceTime(), func() {
				answer()
				if b.config.QueueLength > 0 {
					b.releaseSlot()
				}
			})
		}, answer)
	// A retransmission of the last request: the answer was lost.
	case len(data) > 0 && f.lastAnswer != nil && p.SequenceNumber+uint32(p.DataLength) == f.expectedSequence:
		b.send(&p, editor.Flags{ACK: true}, f.ownSequence-uint32(len(f.lastAnswer)+checksumSize), f.expectedSequence, f.lastAnswer)
	}
}

// enqueue runs a request, now or when a slot is free, or rejects it if the queue is full. The caller holds mu.
func (b *Backend) enqueue(run, reject func()) {
	switch {
	case b.config.QueueLength == 0:
		run()
	case b.busy < b.config.Server.Slots:
		b.busy++
		run()
	case len(b.waiting) < b.config.QueueLength:
		b.waiting = append(b.waiting, run)
	default:
		time.AfterFunc(0, reject)
	}
}

// releaseSlot ends a request and runs the next one.
func (b *Backend) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.busy--
		return
	}
	next := b.waiting[0]
	b.waiting = b.waiting[1:]
	next()
}

// serviceTime returns the time that the next request takes.
func (b *Backend) serviceTime() time.Duration {
	if b.config.QueueLength == 0 {
		return b.config.ServiceTime
	}
	return b.config.ServiceTime/2 + rand.N(b.config.ServiceTime)
}

func (b *Backend) sendAnswer(p editor.Packet, f *servedFlow, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.crashed {
		return
	}
	f.lastAnswer = data
	b.send(&p, editor.Flags{ACK: true}, f.ownSequence, f.expectedSequence, data)
	f.ownSequence += uint32(len(data) + checksumSize)
	if b.config.AcknowledgeAtOnce {
		b.retransmitAnswer(&p, f, firstRetransmission, maxAnswerRetransmissions)
	}
}

// retransmitAnswer sends the last answer of a flow again after an interval, until the caller acknowledges it. The caller holds mu.
func (b *Backend) retransmitAnswer(p *editor.Packet, f *servedFlow, interval time.Duration, remaining int) {
	end := f.ownSequence
	time.AfterFunc(interval, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.crashed || remaining == 0 || b.flows[flowKey{p.Source, p.Destination}] != f || f.ownSequence != end || int32(f.acknowledged-end) >= 0 {
			return
		}
		b.send(p, editor.Flags{ACK: true}, end-uint32(len(f.lastAnswer)+checksumSize), f.expectedSequence, f.lastAnswer)
		b.retransmitAnswer(p, f, min(2*interval, maxRetransmissionInterval), remaining-1)
	})
}

// send sends a packet to the caller of p, with the tag that p carried.
func (b *Backend) send(p *editor.Packet, flags editor.Flags, sequence, acknowledged uint32, data []byte) {
	reply := editor.Packet{
		Source: p.Destination, Destination: p.Source, Tag: p.Tag, Flags: flags, SequenceNumber: sequence, AckNumber: acknowledged,
	}
	to := netip.AddrPortFrom(p.Source.Addr(), b.config.CallerPort)
	_, _ = b.conn.WriteToUDPAddrPort(encode(&b.config.Layout, &reply, data), to) // after a loss the caller retransmits its request
}

// RunCounts returns how often each request ran on this backend server.
func (b *Backend) RunCounts() map[uint64]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make(map[uint64]int, len(b.runCounts))
	for id, n := range b.runCounts {
		runs[id] = n
	}
	return runs
}
