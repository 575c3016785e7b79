package direct

import (
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

// copyTimes are when a caller sends its opening packet and the copies of it; openTimeout is when it gives up.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const (
	openTimeout   = 1400 * time.Millisecond
	firstRepeat   = 200 * time.Millisecond // it doubles with each repetition
	requestPad    = 200
	maxMicros     = 60_000_000
	keptDecimals  = 2
	receiveBuffer = 64
)

// CallersConfig holds what Callers are made of.
type CallersConfig struct {
	Address         netip.Addr // of all callers; each flow has a port
	Port            uint16     // where answers arrive
	Layout          editor.Layout
	Fabric          *Fabric
	Service         netip.AddrPort
	Flows           int
	RequestsPerFlow int           // on each flow before it is closed
	RequestPause    time.Duration // between two requests
	Deadline        time.Duration // of a request
	Violations      *Violations
	// ForbidResets makes each reset of an open flow a violation while it is set.
	ForbidResets *atomic.Bool
}

// Callers keep flows open and send requests on them.
type Callers struct {
	c    CallersConfig
	conn *net.UDPConn
	port atomic.Uint32
	id   atomic.Uint64

	mu     sync.Mutex
	flows  map[uint16]chan received
	counts Counts
	lost   []netip.AddrPort // callers' addresses of the flows that failed or were reset after they had opened
	times  *hdrhistogram.Histogram
}

type received struct {
	packet editor.Packet
	data   []byte
}

// Counts are the outcomes of requests and flows.
type Counts struct{ Answered, Late, Failed, Unopened, Resets int }

// NewCallers binds the callers' address.
func NewCallers(c CallersConfig) (*Callers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.Address, c.Port)))
	if err != nil {
		return nil, eris.Wrapf(err, "callers at %s", c.Address)
	}
	callers := &Callers{c: c, conn: conn, flows: map[uint16]chan received{}, times: hdrhistogram.New(1, maxMicros, keptDecimals)}
	callers.port.Store(20000)
	return callers, nil
}

// Run keeps the flows open until ctx ends.
func (c *Callers) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	group.Go(func() error { return c.receive(ctx) })
	for i := range c.c.Flows {
		group.Go(func() error {
			pause(ctx, c.c.RequestPause*time.Duration(i)/time.Duration(c.c.Flows))
			for ctx.Err() == nil {
				c.flow(ctx)
			}
			return nil
		})
	}
	return group.Wait()
}

func (c *Callers) receive(ctx context.Context) error {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		p, data, intact := decode(&c.c.Layout, slices.Clone(buffer[:n]))
		if !intact {
			c.c.Violations.Add("an answer arrived altered")
			continue
		}
		c.mu.Lock()
		to := c.flows[p.Destination.Port()]
		c.mu.Unlock()
		if to != nil {
			select {
			case to <- received{p, data}:
			default:
			}
		}
	}
}

// flow opens a flow, sends requests on it and closes it.
func (c *Callers) flow(ctx context.Context) {
	port := uint16(20000 + c.port.Add(1)%40000)
	in := make(chan received, receiveBuffer)
	c.mu.Lock()
	c.flows[port] = in
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, port)
		c.mu.Unlock()
	}()
	p := editor.Packet{Source: netip.AddrPortFrom(c.c.Address, port), Destination: c.c.Service, Sequence: uint32(port) << 8}
	if !c.open(ctx, &p, in) {
		return
	}
	for range c.c.RequestsPerFlow {
		if !c.request(ctx, &p, in) || !pause(ctx, c.c.RequestPause) {
			return
		}
	}
	p.Flags = editor.Flags{ACK: true, FIN: true}
	c.send(&p, nil)
}

func (c *Callers) open(ctx context.Context, p *editor.Packet, in chan received) bool {
	p.Flags = editor.Flags{SYN: true}
	began := time.Now()
	for copies, at := range copyTimes {
		if !pause(ctx, at-time.Since(began)) {
			return false
		}
		p.Acknowledged = uint32(copies)
		c.send(p, nil)
		next := openTimeout
		if copies+1 < len(copyTimes) {
			next = copyTimes[copies+1]
		}
		if r, ok := await(ctx, in, next-time.Since(began)); ok {
			if r.packet.Flags.RST {
				break
			}
			p.Tag, p.Flags = r.packet.Tag, editor.Flags{ACK: true}
			p.Sequence++
			p.Acknowledged = r.packet.Sequence + 1
			c.send(p, nil)
			return true
		}
	}
	if ctx.Err() == nil {
		c.count(func(n *Counts) { n.Unopened++ })
		pause(ctx, c.c.RequestPause/10)
	}
	return false
}

// request sends one request until it is answered, and reports whether the flow goes on.
func (c *Callers) request(ctx context.Context, p *editor.Packet, in chan received) bool {
	data := binary.BigEndian.AppendUint64(nil, c.id.Add(1))
	data = append(data, make([]byte, requestPad)...)
	began := time.Now()
	for gap := firstRepeat; ; gap *= 2 {
		c.send(p, data)
		for resend := time.Now().Add(gap); ; {
			r, ok := await(ctx, in, min(time.Until(resend), c.c.Deadline-time.Since(began)))
			switch {
			case ctx.Err() != nil:
				return false
			case time.Since(began) >= c.c.Deadline:
				c.lose(p, func(n *Counts) { n.Failed++ })
				return false
			case ok && r.packet.Flags.RST:
				if c.c.ForbidResets.Load() {
					c.c.Violations.Add("an open flow was reset")
				}
				c.lose(p, func(n *Counts) { n.Resets++ })
				return false
			case ok && len(r.data) > 0 && r.packet.Sequence == p.Acknowledged && slices.Equal(r.data[len("answer "):], data):
				p.Tag = r.packet.Tag
				p.Sequence += uint32(len(data) + checksumSize)
				p.Acknowledged += uint32(r.packet.DataLength)
				c.send(p, nil)
				c.finish(time.Since(began))
				return true
			}
			if !time.Now().Before(resend) {
				break
			}
		}
	}
}

func (c *Callers) finish(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Answered++
	if took > firstRepeat {
		c.counts.Late++
	}
	_ = c.times.RecordValue(min(took.Microseconds(), maxMicros)) // the value is in range
}

func (c *Callers) send(p *editor.Packet, data []byte) {
	to := c.c.Fabric.Choose(p.Source, p.Destination)
	_, _ = c.conn.WriteToUDPAddrPort(encode(&c.c.Layout, p, data), to) // a lost packet is sent again
}

func (c *Callers) count(add func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add(&c.counts)
}

// lose counts the end of a flow whose request got no answer.
func (c *Callers) lose(p *editor.Packet, add func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add(&c.counts)
	c.lost = append(c.lost, p.Source)
}

// LostFlows returns the callers' addresses of all flows that failed or were reset after they had opened.
func (c *Callers) LostFlows() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.lost)
}

// IsFlowOpen reports whether a caller still uses the flow from an address.
func (c *Callers) IsFlowOpen(caller netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return caller.Addr() == c.c.Address && c.flows[caller.Port()] != nil
}

// Outcomes returns the counts and the 50th and 99th percentile of the time to an answer.
func (c *Callers) Outcomes() (n Counts, p50, p99 time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts, time.Duration(c.times.ValueAtQuantile(50)) * time.Microsecond, time.Duration(c.times.ValueAtQuantile(99)) * time.Microsecond
}

// await returns the next packet, or false when none comes in time.
func await(ctx context.Context, in chan received, wait time.Duration) (received, bool) {
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	select {
	case r := <-in:
		return r, true
	case <-ctx.Done():
	case <-timer.C:
	}
	return received{}, false
}

// pause waits and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
