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
	// feedSilence is how long a feed may stay without a packet before it is dropped.
	feedSilence = 10 * time.Second
	// resendAfter is the age at which an unacknowledged reading is sent again.
	resendAfter = 300 * time.Millisecond
	// feedWindow bounds the unacknowledged readings of a feed.
	feedWindow = 32
)

// feed is one feed held by this server. Readings acked+1 to sent are unacknowledged.
type feed struct {
	packet   encapsulator.Packet // of the latest packet of the feed
	source   netip.AddrPort
	topic    string
	acked    uint64
	sent     uint64
	sentAt   map[uint64]time.Time
	seen     time.Time
	record   int
	accepted uint64 // seq of the accepted reply: the last reading before the first that is pushed
}

func (s *server) open(p *encapsulator.Packet, from netip.AddrPort) {
	now := time.Now()
	f := s.feeds[p.Call]
	if f == nil {
		if cause := s.refusal(p, now); cause != framer.CauseNone {
			s.refuse(p, from, cause)
			return
		}
		f = s.newFeed(p, now)
	}
	f.touch(p, from, now)
	s.reply(p, from, encapsulator.VerbAccepted, func(r *encapsulator.Packet) { r.Seq = f.accepted })
}

func (s *server) newFeed(p *encapsulator.Packet, now time.Time) *feed {
	after := p.Seq
	if after == 0 {
		after = verifier.ReadingNumber(now, s.period)
	}
	f := &feed{
		topic: string(p.Payload), acked: after, sent: after, accepted: after, sentAt: map[uint64]time.Time{},
		record: len(s.ledger.Feeds),
	}
	s.feeds[p.Call] = f
	s.ledger.Feeds = append(s.ledger.Feeds, admin.Feed{
		CallID: verifier.FormatCallID(p.Call), Caller: p.Caller, Topic: f.topic, After: after, OpenedAt: now,
	})
	s.countWork(p.Caller.Addr())
	return f
}

func (f *feed) touch(p *encapsulator.Packet, from netip.AddrPort, now time.Time) {
	f.packet, f.source, f.seen = *p, from, now
}

// feed takes a keepalive with its cumulative acknowledgement.
func (s *server) feed(p *encapsulator.Packet, from netip.AddrPort) {
	f := s.feeds[p.Call]
	if f == nil {
		s.reply(p, from, encapsulator.VerbEnded, func(r *encapsulator.Packet) { r.Cause = uint8(framer.CauseUnknownFlow) })
		return
	}
	f.touch(p, from, time.Now())
	for n := f.acked + 1; n <= min(p.Seq, f.sent); n++ {
		delete(f.sentAt, n)
		f.acked = n
	}
}

func (s *server) closeFeed(p *encapsulator.Packet) { s.endFeed(p.Call, "closed") }

func (s *server) endFeed(call [16]byte, how string) {
	f := s.feeds[call]
	if f == nil {
		return
	}
	delete(s.feeds, call)
	s.ledger.Feeds[f.record].ClosedAt = time.Now()
	s.ledger.Feeds[f.record].EndCause = how
}

func (s *server) dropSilentFeeds(now time.Time) {
	for call, f := range s.feeds {
		if now.Sub(f.seen) > feedSilence {
			s.endFeed(call, "silent")
		}
	}
}

// pushReadings sends the new readings of each feed within its window, and the unacknowledged ones again.
func (s *server) pushReadings(now time.Time) {
	newest := verifier.ReadingNumber(now, s.period)
	for _, f := range s.feeds {
		for n := f.acked + 1; n <= f.sent; n++ {
			if now.Sub(f.sentAt[n]) >= resendAfter {
				s.pushReading(f, n, now)
			}
		}
		for f.sent < newest && f.sent-f.acked < feedWindow {
			f.sent++
			s.pushReading(f, f.sent, now)
		}
	}
}

func (s *server) pushReading(f *feed, n uint64, now time.Time) {
	f.sentAt[n] = now
	s.reply(&f.packet, f.source, encapsulator.VerbReading, func(r *encapsulator.Packet) {
		r.Seq, r.Payload = n, verifier.Reading(s.service, f.topic, n)
	})
}
