package main

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/verifier"
)

const (
	// feedIdleTimeout is the time without a packet after which a feed is dropped.
	feedIdleTimeout = 10 * time.Second
	// retransmitInterval is the time after which an unacknowledged reading is retransmitted.
	retransmitInterval = 300 * time.Millisecond
	// feedWindow bounds the unacknowledged readings of a feed.
	feedWindow = 32
)

// feed is an open feed. The readings after acknowledged, up to lastSent, are unacknowledged.
type feed struct {
	packet        encapsulator.Packet // latest packet of the feed
	source        netip.AddrPort
	topic         string
	acknowledged  uint64
	lastSent      uint64
	sentAt        map[uint64]time.Time
	lastPacketAt  time.Time
	ledgerIndex   int
	acceptedAfter uint64 // sequence number in the accepted reply: the reading before the first that is pushed
}

func (s *server) handleOpen(p *encapsulator.Packet, from netip.AddrPort) {
	now := time.Now()
	f := s.feeds[p.CallID]
	if f == nil {
		if cause := s.refusalCause(p, now); cause != framer.CauseNone {
			s.refuse(p, from, cause)
			return
		}
		f = s.newFeed(p, now)
	}
	f.setLatestPacket(p, from, now)
	s.reply(p, from, encapsulator.VerbAccepted, func(r *encapsulator.Packet) { r.Seq = f.acceptedAfter })
}

func (s *server) newFeed(p *encapsulator.Packet, now time.Time) *feed {
	after := p.Seq
	if after == 0 {
		after = verifier.ReadingNumber(now, s.readingInterval)
	}
	f := &feed{
		topic: string(p.Payload), acknowledged: after, lastSent: after, acceptedAfter: after, sentAt: map[uint64]time.Time{},
		ledgerIndex: len(s.ledger.Feeds),
	}
	s.feeds[p.CallID] = f
	s.ledger.Feeds = append(s.ledger.Feeds, admin.Feed{
		CallID: verifier.FormatCallID(p.CallID), Caller: p.Caller, Topic: f.topic, After: after, OpenedAt: now,
	})
	s.countWork(p.Caller.Addr())
	return f
}

func (f *feed) setLatestPacket(p *encapsulator.Packet, from netip.AddrPort, now time.Time) {
	f.packet, f.source, f.lastPacketAt = *p, from, now
}

// handleKeepalive handles a keepalive packet with its cumulative acknowledgement.
func (s *server) handleKeepalive(p *encapsulator.Packet, from netip.AddrPort) {
	f := s.feeds[p.CallID]
	if f == nil {
		s.reply(p, from, encapsulator.VerbEnded, func(r *encapsulator.Packet) { r.Cause = uint8(framer.CauseUnknownFlow) })
		return
	}
	f.setLatestPacket(p, from, time.Now())
	for n := f.acknowledged + 1; n <= min(p.Seq, f.lastSent); n++ {
		delete(f.sentAt, n)
		f.acknowledged = n
	}
}

func (s *server) handleClose(p *encapsulator.Packet) { s.endFeed(p.CallID, "closed") }

func (s *server) endFeed(call [16]byte, cause string) {
	f := s.feeds[call]
	if f == nil {
		return
	}
	delete(s.feeds, call)
	s.ledger.Feeds[f.ledgerIndex].ClosedAt = time.Now()
	s.ledger.Feeds[f.ledgerIndex].EndCause = cause
}

func (s *server) dropIdleFeeds(now time.Time) {
	for call, f := range s.feeds {
		if now.Sub(f.lastPacketAt) > feedIdleTimeout {
			s.endFeed(call, "silent")
		}
	}
}

// pushReadings sends the new readings of each feed within its window and retransmits the unacknowledged ones.
func (s *server) pushReadings(now time.Time) {
	newest := verifier.ReadingNumber(now, s.readingInterval)
	for _, f := range s.feeds {
		for n := f.acknowledged + 1; n <= f.lastSent; n++ {
			if now.Sub(f.sentAt[n]) >= retransmitInterval {
				s.pushReading(f, n, now)
			}
		}
		for f.lastSent < newest && f.lastSent-f.acknowledged < feedWindow {
			f.lastSent++
			s.pushReading(f, f.lastSent, now)
		}
	}
}

func (s *server) pushReading(f *feed, n uint64, now time.Time) {
	f.sentAt[n] = now
	s.reply(&f.packet, f.source, encapsulator.VerbReading, func(r *encapsulator.Packet) {
		r.Seq, r.Payload = n, verifier.Reading(s.service, f.topic, n)
	})
}
