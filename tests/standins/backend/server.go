package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/verifier"
)

const (
	// datagramSize is larger than any datagram of the protocol.
	datagramSize = 64 << 10
	// socketBuffer is the requested size of the kernel's receive buffer.
	socketBuffer = 4 << 20
	// tickInterval is the resolution of readings, retransmissions and expiry.
	tickInterval = 20 * time.Millisecond
)

// server is the state of the stand-in. One lock guards all of it and is held while packets are sent.
type server struct {
	config
	incarnation uint64
	startedAt   time.Time
	conn        *net.UDPConn

	mu             sync.Mutex
	random         *rand.Rand
	faults         admin.BackendFaults
	draining       bool
	attempts       map[uint64]*attempt
	latestAttempts map[[16]byte]*attempt // the newest attempt of each call
	running        int
	queue          []*attempt
	feeds          map[[16]byte]*feed
	loadSamples    []loadSample
	heldAnswers    []reply // answers held back by the fault PauseAnswers
	ledger         admin.Ledger
}

// reply is a packet to a balancer.
type reply struct {
	packet encapsulator.Packet
	to     netip.AddrPort
}

func newServer(c config) (*server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.address))
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", c.address)
	}
	_ = conn.SetReadBuffer(socketBuffer)
	now := time.Now()
	s := &server{
		config: c, incarnation: uint64(now.UnixMilli()), startedAt: now, conn: conn, faults: c.faults,
		random:   rand.New(rand.NewPCG(c.seed, uint64(c.address.Port()))),
		attempts: map[uint64]*attempt{}, latestAttempts: map[[16]byte]*attempt{}, feeds: map[[16]byte]*feed{},
	}
	s.ledger = admin.Ledger{
		Service: c.service, Address: c.address, Incarnation: s.incarnation, WorkByCallerGroup: map[string]int{}, HealthChecks: map[netip.Addr]int{},
	}
	return s, nil
}

func (s *server) readPackets(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, datagramSize)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return nil
			}
			continue
		}
		s.receive(append([]byte(nil), buf[:n]...), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// receive applies the faults of the link from a source to a datagram and handles the packet in it.
func (s *server) receive(b []byte, from netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isCut(from.Addr()) {
		return
	}
	if d := s.linkDelay(from.Addr()); d > 0 {
		time.AfterFunc(d, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.handlePacket(b, from)
		})
		return
	}
	s.handlePacket(b, from)
}

func (s *server) isCut(a netip.Addr) bool { return containsAddress(s.faults.CutPrefixes, a) }

func containsAddress(prefixes []netip.Prefix, a netip.Addr) bool {
	return slices.ContainsFunc(prefixes, func(p netip.Prefix) bool { return p.Contains(a) })
}

func (s *server) linkDelay(a netip.Addr) time.Duration {
	for p, d := range s.faults.Delay {
		if p.Contains(a) {
			return time.Duration(d)
		}
	}
	return 0
}

// handlePacket refuses packets for another service and dispatches the others by their verb.
func (s *server) handlePacket(b []byte, from netip.AddrPort) {
	var p encapsulator.Packet
	if err := encapsulator.Parse(b, &p); err != nil {
		s.ledger.Malformed++
		return
	}
	if p.ServiceName != s.service {
		s.ledger.ForeignRefused = append(s.ledger.ForeignRefused, foreignPacket(&p, from))
		s.refuse(&p, from, framer.CauseWrongService)
		return
	}
	s.checkPayload(&p, from)
	switch p.Verb {
	case encapsulator.VerbOpen:
		s.handleOpen(&p, from)
	case encapsulator.VerbFeed:
		s.handleKeepalive(&p, from)
	case encapsulator.VerbClose:
		s.handleClose(&p)
	case encapsulator.VerbRun:
		s.handleRun(&p, from)
	case encapsulator.VerbFetch:
		s.handleFetch(&p, from)
	case encapsulator.VerbCancel:
		s.handleCancel(&p, from)
	default:
		s.ledger.Malformed++
	}
}

// checkPayload records work whose payload names another service although the authority names this one. The callers of
// the tests put the name of the service into each topic and key.
func (s *server) checkPayload(p *encapsulator.Packet, from netip.AddrPort) {
	if p.Verb != encapsulator.VerbOpen && p.Verb != encapsulator.VerbRun {
		return
	}
	if named := verifier.ServiceOf(verifier.Key(p.Payload)); named != "" && named != s.service {
		s.ledger.ForeignAccepted = append(s.ledger.ForeignAccepted, foreignPacket(p, from))
	}
}

func foreignPacket(p *encapsulator.Packet, from netip.AddrPort) admin.ForeignPacket {
	return admin.ForeignPacket{
		CallID: verifier.FormatCallID(p.CallID), Authority: p.ServiceName, Service: p.Service, Payload: verifier.Key(p.Payload),
		Source: from, Verb: uint8(p.Verb), At: time.Now(),
	}
}

// refuse replies to a packet with a refusal and records it.
func (s *server) refuse(p *encapsulator.Packet, to netip.AddrPort, cause framer.Cause) {
	s.ledger.Refusals = append(s.ledger.Refusals, admin.Refusal{
		CallID: verifier.FormatCallID(p.CallID), AttemptID: p.AttemptID, Verb: uint8(p.Verb), Cause: uint8(cause), At: time.Now(),
	})
	s.reply(p, to, encapsulator.VerbRefused, func(r *encapsulator.Packet) { r.Cause = uint8(cause) })
}

// reply sends a reply with the fields of p, except for those that the function change sets.
func (s *server) reply(p *encapsulator.Packet, to netip.AddrPort, v encapsulator.Verb, change func(*encapsulator.Packet)) {
	r := *p
	r.Verb, r.Seq, r.PartCount, r.Payload, r.Cause = v, 0, 0, nil, 0
	r.Load, r.HasLoad, r.Incarnation = s.reportedLoad(time.Now()), true, s.incarnation
	if change != nil {
		change(&r)
	}
	if s.faults.PauseAnswers && v == encapsulator.VerbAnswer {
		s.heldAnswers = append(s.heldAnswers, reply{packet: r, to: to})
		return
	}
	s.send(&r, to)
}

func (s *server) send(r *encapsulator.Packet, to netip.AddrPort) {
	if s.isCut(to.Addr()) {
		return
	}
	b, err := encapsulator.Append(nil, r)
	if err != nil {
		return
	}
	if d := s.linkDelay(to.Addr()); d > 0 {
		time.AfterFunc(d, func() { _, _ = s.conn.WriteToUDPAddrPort(b, to) })
		return
	}
	_, _ = s.conn.WriteToUDPAddrPort(b, to)
}

// runTicks sends readings, retransmits them and removes what has expired until ctx ends.
func (s *server) runTicks(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			s.mu.Lock()
			s.sampleLoad(now)
			s.pushReadings(now)
			s.removeExpired(now)
			s.mu.Unlock()
		}
	}
}
