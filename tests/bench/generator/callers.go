package generator

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"golang.org/x/net/ipv4"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

const (
	// payloadSize is the length of a payload. Its last 8 bytes are the time of sending.
	payloadSize = 64
	// PlainPacketSize is the length of the packets of plain callers. A caller's datagram of an established feed has the same length.
	PlainPacketSize = 200
	// windowTimeout is the time without an echo after which a socket treats all packets of its window as lost and sends a new
	// window.
	windowTimeout = 200 * time.Millisecond
	// openTimeout is the time limit for opening one feed, in which an unanswered open is retransmitted every openRetransmitDelay.
	openTimeout, openRetransmitDelay = 5 * time.Second, 100 * time.Millisecond
	// maxLatencyMicros is the upper bound of the histograms in microseconds.
	maxLatencyMicros = 10_000_000
)

// Callers is a group of sockets that send packets of established flows and receive the echoes.
type Callers struct {
	ReceivedPackets, SentPackets, WindowTimeouts atomic.Uint64

	sockets []*callerSocket
}

type callerSocket struct {
	conn     *net.UDPConn
	batch    *ipv4.PacketConn
	flows    [][]byte // the packet of each flow
	nextFlow int
}

// newCallers opens sockets, each with an address of its own, that send to a balancer or relay.
func newCallers(sockets int, to netip.AddrPort) (*Callers, error) {
	c := &Callers{}
	for i := range sockets {
		local := net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, 9, byte(i + 1)}), 0))
		conn, err := net.DialUDP("udp4", local, net.UDPAddrFromAddrPort(to))
		if err != nil {
			c.Stop()
			return nil, eris.Wrap(err, "open a caller's socket")
		}
		_ = conn.SetReadBuffer(socketBuffer)
		_ = conn.SetWriteBuffer(socketBuffer)
		c.sockets = append(c.sockets, &callerSocket{conn: conn, batch: ipv4.NewPacketConn(conn)})
	}
	return c, nil
}

// NewPlainCallers returns callers for a relay: the first 7 bytes of a packet are the caller's IPv4 address and port and the
// number of the backend server.
func NewPlainCallers(sockets, flows int, to netip.AddrPort) (*Callers, error) {
	c, err := newCallers(sockets, to)
	if err != nil {
		return nil, err
	}
	for _, s := range c.sockets {
		local := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
		ip := local.Addr().As4()
		for f := range flows {
			p := make([]byte, PlainPacketSize)
			copy(p, ip[:])
			binary.BigEndian.PutUint16(p[4:], local.Port())
			p[6] = byte(f)
			s.flows = append(s.flows, p)
		}
	}
	return c, nil
}

// NewFeedCallers opens feeds at a balancer and returns their callers.
func NewFeedCallers(sockets, flows int, to netip.AddrPort, seed uint64) (*Callers, error) {
	c, err := newCallers(sockets, to)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(seed, 0))
	for _, s := range c.sockets {
		for range flows {
			if err := s.openFeed(random); err != nil {
				c.Stop()
				return nil, err
			}
		}
	}
	return c, nil
}

func newCallID(r *rand.Rand) (id [framer.CallIDSize]byte) {
	binary.BigEndian.PutUint64(id[:], r.Uint64())
	binary.BigEndian.PutUint64(id[8:], r.Uint64())
	return id
}

// openFeed opens one feed and stores its keepalive datagram.
func (s *callerSocket) openFeed(r *rand.Rand) error {
	callID := newCallID(r)
	request, err := framer.Append(nil, &framer.Datagram{
		Kind: framer.KindOpenFeed, ServiceID: ServiceID, CallID: callID, Payload: []byte(ServiceName + "/topic"),
	})
	if err != nil {
		return err
	}
	defer func() { _ = s.conn.SetReadDeadline(time.Time{}) }()
	buffer := make([]byte, bufferSize)
	var d framer.Datagram
	for deadline := time.Now().Add(openTimeout); time.Now().Before(deadline); {
		if _, err := s.conn.Write(request); err != nil {
			return eris.Wrap(err, "send an open datagram")
		}
		_ = s.conn.SetReadDeadline(time.Now().Add(openRetransmitDelay))
		for {
			n, err := s.conn.Read(buffer)
			if err != nil {
				break
			}
			if framer.Parse(buffer[:n], &d) == nil && d.Kind == framer.KindOpened && d.CallID == callID {
				packet, err := keepaliveDatagram(callID, d.Token)
				s.flows = append(s.flows, packet)
				return err
			}
		}
	}
	return eris.New("no answer to an open datagram: check that the balancer serves")
}

// keepaliveDatagram returns the datagram that an established feed sends repeatedly.
func keepaliveDatagram(callID [framer.CallIDSize]byte, token []byte) ([]byte, error) {
	return framer.Append(nil, &framer.Datagram{
		Kind: framer.KindFeed, ServiceID: ServiceID, CallID: callID, Seq: 1 << 20, Token: token, Payload: make([]byte, payloadSize),
	})
}

// Stop closes the sockets, which ends Saturate.
func (c *Callers) Stop() {
	for _, s := range c.sockets {
		_ = s.conn.Close()
	}
}

// Saturate keeps a window of packets in flight on each socket until the sockets are closed. It returns at once; the group ends
// with the load.
func (c *Callers) Saturate(window int) *errgroup.Group {
	g := new(errgroup.Group)
	for _, s := range c.sockets {
		g.Go(func() error { c.saturateSocket(s, window); return nil })
	}
	return g
}

func (c *Callers) saturateSocket(s *callerSocket, window int) {
	in, out := newMessages(batchSize), make([]ipv4.Message, window)
	for i := range out {
		out[i].Buffers = make([][]byte, 1)
	}
	send := func(n int) {
		for i := range n {
			out[i].Buffers[0] = s.flows[s.nextFlow]
			s.nextFlow = (s.nextFlow + 1) % len(s.flows)
		}
		c.SentPackets.Add(uint64(n))
		writeAll(s.batch, out[:n])
	}
	send(window)
	for {
		_ = s.conn.SetReadDeadline(time.Now().Add(windowTimeout))
		n, err := s.batch.ReadBatch(in, 0)
		if eris.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			c.WindowTimeouts.Add(1)
			n = window
		} else {
			c.ReceivedPackets.Add(uint64(n))
		}
		send(min(n, window))
	}
}

// MeasureLatency sends packets at random times, rate a second over all sockets, and returns the round-trip times in microseconds.
func (c *Callers) MeasureLatency(rate float64, duration time.Duration, seed uint64) *hdrhistogram.Histogram {
	var senders, receivers errgroup.Group
	histograms := make([]*hdrhistogram.Histogram, len(c.sockets))
	for i, s := range c.sockets {
		h := hdrhistogram.New(1, maxLatencyMicros, 3)
		histograms[i] = h
		receivers.Go(func() error { s.recordLatencies(h); return nil })
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		senders.Go(func() error { s.sendPaced(random, rate/float64(len(c.sockets)), duration); return nil })
	}
	_ = senders.Wait()
	time.Sleep(windowTimeout)
	for _, s := range c.sockets {
		_ = s.conn.SetReadDeadline(time.Now())
	}
	_ = receivers.Wait()
	all := hdrhistogram.New(1, maxLatencyMicros, 3)
	for i, h := range histograms {
		all.Merge(h)
		_ = c.sockets[i].conn.SetReadDeadline(time.Time{})
	}
	return all
}

// sendPaced sends packets with exponential gaps.
func (s *callerSocket) sendPaced(r *rand.Rand, rate float64, duration time.Duration) {
	next := time.Now()
	for end := next.Add(duration); next.Before(end); {
		next = next.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		p := s.flows[s.nextFlow]
		s.nextFlow = (s.nextFlow + 1) % len(s.flows)
		binary.BigEndian.PutUint64(p[len(p)-8:], uint64(time.Now().UnixNano()))
		_, _ = s.conn.Write(p)
	}
}

// recordLatencies records the round-trip times of the echoes until the read deadline.
func (s *callerSocket) recordLatencies(h *hdrhistogram.Histogram) {
	b := make([]byte, bufferSize)
	for {
		n, err := s.conn.Read(b)
		if err != nil {
			return
		}
		sent := time.Unix(0, int64(binary.BigEndian.Uint64(b[n-8:])))
		if latency := time.Since(sent); latency < maxLatencyMicros*time.Microsecond {
			_ = h.RecordValue(max(1, latency.Microseconds()))
		}
	}
}
