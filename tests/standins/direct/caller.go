package direct

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

// openingTimes are the times since the start of the opening at which a caller sends its opening packet and the retransmissions of
// it. It gives up after openTimeout.
var openingTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const (
	openTimeout         = 1400 * time.Millisecond
	firstRetransmission = 200 * time.Millisecond // interval before the first retransmission of a request; it doubles with each one
	requestPadding      = 200                    // bytes of a request after its id
	maxLatencyMicros    = 60_000_000             // upper bound of the histogram of answer times
	significantDigits   = 2                      // of the values in the histogram
	receiveQueueLength  = 64
)

// CallersConfig describes Callers.
type CallersConfig struct {
	Address         netip.Addr // of all callers; each flow has a port of its own
	Port            uint16     // where answers arrive
	Layout          editor.Layout
	Fabric          *Fabric
	Service         netip.AddrPort
	Flows           int
	RequestsPerFlow int           // after which a flow is closed
	RequestPause    time.Duration // between two requests
	Deadline        time.Duration // of a request, after which its flow counts as failed
	AnswerPadding   int           // bytes of an answer after the request that it repeats
	Violations      *Violations
	FirstRequestID  uint64 // request ids are greater; callers of one service need ids of their own
	// ForbidResets makes each reset of an open flow a violation while it is set.
	ForbidResets *atomic.Bool
	// OnReset is called for each reset of a flow that has opened, if it is set.
	OnReset func(Reset)
}

// Callers is a stand-in for the callers of one service. It keeps flows open and sends requests on them.
type Callers struct {
	config        CallersConfig
	conn          *net.UDPConn
	lastPort      atomic.Uint32
	lastRequestID atomic.Uint64
	pause         atomic.Int64 // between two requests
	leaving       atomic.Bool

	mu          sync.Mutex
	flows       map[uint16]chan receivedPacket
	counts      Counts
	lostFlows   []netip.AddrPort // callers' addresses of the flows that failed or were reset after they had opened
	answerTimes *hdrhistogram.Histogram
}

type receivedPacket struct {
	packet editor.Packet
	data   []byte
	sender netip.Addr
}

// Counts are the outcomes of requests and flows. Late requests were answered after a retransmission; Failed and Resets count flows
// that were lost after they had opened, by a timeout or a reset.
type Counts struct{ Answered, Late, Failed, Unopened, Resets int }

// NewCallers binds the callers' address.
func NewCallers(c CallersConfig) (*Callers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.Address, c.Port)))
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s for callers", c.Address)
	}
	callers := &Callers{config: c, conn: conn, flows: map[uint16]chan receivedPacket{}, answerTimes: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
	callers.lastPort.Store(20000)
	callers.lastRequestID.Store(c.FirstRequestID)
	callers.SetPause(c.RequestPause)
	return callers, nil
}

// SetPause sets the pause between two requests from the next one of each flow on.
func (c *Callers) SetPause(pause time.Duration) { c.pause.Store(int64(pause)) }

// Leave makes the callers close their flows after the answers to their requests, and open no others.
func (c *Callers) Leave() { c.leaving.Store(true) }

// Run keeps the flows open until ctx ends.
func (c *Callers) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	group.Go(func() error { return c.receive(ctx) })
	for i := range c.config.Flows {
		group.Go(func() error {
			sleep(ctx, c.config.RequestPause*time.Duration(i)/time.Duration(c.config.Flows))
			for ctx.Err() == nil && !c.leaving.Load() {
				c.runFlow(ctx)
			}
			return nil
		})
	}
	return group.Wait()
}

func (c *Callers) receive(ctx context.Context) error {
	buffer := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		p, data, intact := decode(&c.config.Layout, slices.Clone(buffer[:n]))
		if !intact {
			c.config.Violations.Add("a corrupted answer arrived")
			continue
		}
		c.mu.Lock()
		to := c.flows[p.Destination.Port()]
		c.mu.Unlock()
		if to != nil {
			select {
			case to <- receivedPacket{p, data, from.Addr().Unmap()}:
			default:
			}
		}
	}
}

// runFlow opens a flow, sends requests on it and closes it.
func (c *Callers) runFlow(ctx context.Context) {
	port := uint16(20000 + c.lastPort.Add(1)%40000)
	in := make(chan receivedPacket, receiveQueueLength)
	c.mu.Lock()
	c.flows[port] = in
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, port)
		c.mu.Unlock()
	}()
	p := editor.Packet{Source: netip.AddrPortFrom(c.config.Address, port), Destination: c.config.Service, SequenceNumber: uint32(port) << 8}
	if !c.openFlow(ctx, &p, in) {
		return
	}
	for range c.config.RequestsPerFlow {
		if !c.sendRequest(ctx, &p, in) || !sleep(ctx, time.Duration(c.pause.Load())) {
			return
		}
		if c.leaving.Load() {
			break
		}
	}
	p.Flags = editor.Flags{ACK: true, FIN: true}
	c.send(&p, nil)
}

func (c *Callers) openFlow(ctx context.Context, p *editor.Packet, in chan receivedPacket) bool {
	p.Flags = editor.Flags{SYN: true}
	started := time.Now()
	for retransmissions, at := range openingTimes {
		if !sleep(ctx, at-time.Since(started)) {
			return false
		}
		p.AckNumber = uint32(retransmissions)
		c.send(p, nil)
		timeout := openTimeout
		if retransmissions+1 < len(openingTimes) {
			timeout = openingTimes[retransmissions+1]
		}
		if r, ok := awaitPacket(ctx, in, timeout-time.Since(started)); ok {
			if r.packet.Flags.RST {
				break
			}
			p.Tag, p.Flags = r.packet.Tag, editor.Flags{ACK: true}
			p.SequenceNumber++
			p.AckNumber = r.packet.SequenceNumber + 1
			c.send(p, nil)
			return true
		}
	}
	if ctx.Err() == nil {
		c.updateCounts(func(n *Counts) { n.Unopened++ })
		sleep(ctx, c.config.RequestPause/10)
	}
	return false
}

// sendRequest sends one request, with retransmissions, until it is answered. It reports whether the flow can be used further.
func (c *Callers) sendRequest(ctx context.Context, p *editor.Packet, in chan receivedPacket) bool {
	data := binary.BigEndian.AppendUint64(nil, c.lastRequestID.Add(1))
	data = append(data, make([]byte, requestPadding)...)
	answer := append(slices.Clone(data), make([]byte, c.config.AnswerPadding)...)
	started, acknowledged := time.Now(), false
	for interval := firstRetransmission; ; interval *= 2 {
		if !acknowledged {
			c.send(p, data)
		}
		for retransmitAt := time.Now().Add(interval); ; {
			r, ok := awaitPacket(ctx, in, min(time.Until(retransmitAt), c.config.Deadline-time.Since(started)))
			switch {
			case ctx.Err() != nil:
				return false
			case time.Since(started) >= c.config.Deadline:
				c.recordLostFlow(p, func(n *Counts) { n.Failed++ })
				return false
			case ok && r.packet.Flags.RST:
				accepted := c.acceptReset(p, &r)
				if c.config.ForbidResets.Load() {
					c.config.Violations.Add("an open flow was reset although ForbidResets is set")
				}
				if !accepted {
					continue
				}
				c.recordLostFlow(p, func(n *Counts) { n.Resets++ })
				return false
			case ok && len(r.data) > 0 && r.packet.SequenceNumber == p.AckNumber && bytes.Equal(r.data[len("answer "):], answer):
				p.Tag = r.packet.Tag
				p.SequenceNumber += uint32(len(data) + checksumSize)
				p.AckNumber += uint32(r.packet.DataLength)
				c.send(p, nil)
				c.recordAnswer(time.Since(started))
				return true
			case ok && len(r.data) == 0 && r.packet.AckNumber == p.SequenceNumber+uint32(len(data)+checksumSize):
				acknowledged = true // the backend server sends the answer until it is acknowledged
			}
			if !time.Now().Before(retransmitAt) {
				break
			}
		}
	}
}

func (c *Callers) recordAnswer(latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Answered++
	if latency > firstRetransmission {
		c.counts.Late++
	}
	_ = c.answerTimes.RecordValue(min(latency.Microseconds(), maxLatencyMicros)) // cannot fail, as the value is in range
}

func (c *Callers) send(p *editor.Packet, data []byte) {
	to := c.config.Fabric.Choose(p.Source, p.Destination)
	_, _ = c.conn.WriteToUDPAddrPort(encode(&c.config.Layout, p, data), to) // a lost packet is retransmitted
}

func (c *Callers) updateCounts(update func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.counts)
}

// recordLostFlow counts and records a flow that failed or was reset after it had opened.
func (c *Callers) recordLostFlow(p *editor.Packet, update func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.counts)
	c.lostFlows = append(c.lostFlows, p.Source)
}

// LostFlows returns the callers' addresses of all flows that failed or were reset after they had opened.
func (c *Callers) LostFlows() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.lostFlows)
}

// IsFlowOpen reports whether the flow from the address of a caller is still open.
func (c *Callers) IsFlowOpen(caller netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return caller.Addr() == c.config.Address && c.flows[caller.Port()] != nil
}

// Outcomes returns the counts, and the 50th and 99th percentile of the time from a request to its answer.
func (c *Callers) Outcomes() (n Counts, p50, p99 time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts, time.Duration(c.answerTimes.ValueAtQuantile(50)) * time.Microsecond, time.Duration(c.answerTimes.ValueAtQuantile(99)) * time.Microsecond
}

// awaitPacket returns the next packet, or false when none arrives in time.
func awaitPacket(ctx context.Context, in chan receivedPacket, wait time.Duration) (receivedPacket, bool) {
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	select {
	case r := <-in:
		return r, true
	case <-ctx.Done():
	case <-timer.C:
	}
	return receivedPacket{}, false
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
