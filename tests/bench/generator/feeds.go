package generator

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/net/ipv4"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

const (
	// keepalive is the interval of a feed's packets, as callers keep it.
	keepalive = 250 * time.Millisecond
	// sendInterval is the time between two rounds of a socket.
	sendInterval = 5 * time.Millisecond
	// resend is the time after which an unanswered open is sent again.
	resend = 500 * time.Millisecond
	// silent is the time without an echo from which an established feed counts as broken.
	silent = 3 * time.Second
)

// FeedLoadConfig describes a load of many feeds.
type FeedLoadConfig struct {
	EntryAddress netip.AddrPort
	Sockets      int
	Feeds        int
	// OpenRate is how many feeds are opened a second until all are open.
	OpenRate float64
	// ChurnRate is how many feeds are closed and replaced by new ones a second, once Renew was called.
	ChurnRate float64
	Seed      uint64
}

// FeedLoadCounts is what the callers of a load have seen.
type FeedLoadCounts struct {
	OpenFeeds, OpenedFeeds                   uint64 // now open; opened in total
	SentKeepalives, EchoedKeepalives         uint64 // keepalives and their echoes
	RetransmittedOpens                       uint64 // opens that were sent again
	RefusedOpens                             uint64 // opens
	EndedFeeds, MovedFeeds                   uint64 // established feeds that the balancer ended, or that reached another backend server
	SilentFeeds                              int    // established feeds without an echo for 3 s
	UnknownFlowDatagrams, MalformedDatagrams uint64 // datagrams that belong to no feed of the socket
}

// BrokenFeeds returns how many established feeds broke.
func (c FeedLoadCounts) BrokenFeeds() uint64 {
	return c.EndedFeeds + c.MovedFeeds + uint64(c.SilentFeeds)
}

// FeedLoad is a running load of many feeds.
type FeedLoad struct {
	config  FeedLoadConfig
	sockets []*feedSocket
	group   errgroup.Group
	renew   atomic.Bool
	ended   atomic.Bool

	open                                                           atomic.Int64
	opened, sent, echoed, resent, refused, broke, moved, odd, junk atomic.Uint64
}

type feedSocket struct {
	load   *FeedLoad
	conn   *net.UDPConn
	batch  *ipv4.PacketConn
	random *rand.Rand
	out    []ipv4.Message

	mu      sync.Mutex
	feeds   []heldFeed
	started int // feeds that have been opened or are being opened
	due     int // next feed to send a keepalive
	oldest  int // next feed to renew
}

// heldFeed is one feed of a socket. Its position in the socket is a part of its call id.
type heldFeed struct {
	call   [framer.CallIDSize]byte
	packet []byte // keepalive; nil until the feed is open
	server uint64
	asked  time.Time // when the open was sent
	heard  time.Time
}

// StartFeedLoad starts a load.
func StartFeedLoad(c FeedLoadConfig) (*FeedLoad, error) {
	l := &FeedLoad{config: c}
	callers, err := newCallers(c.Sockets, c.EntryAddress)
	if err != nil {
		return nil, err
	}
	for i, s := range callers.sockets {
		l.sockets = append(l.sockets, &feedSocket{
			load: l, conn: s.conn, batch: s.batch, random: rand.New(rand.NewPCG(c.Seed, uint64(i))),
			feeds: make([]heldFeed, c.Feeds/c.Sockets),
		})
	}
	for _, s := range l.sockets {
		l.group.Go(s.receive)
		l.group.Go(s.send)
	}
	return l, nil
}

// StartChurn starts to close feeds and open others in their place.
func (l *FeedLoad) StartChurn() { l.renew.Store(true) }

// Stop ends the load without closing the feeds.
func (l *FeedLoad) Stop() {
	l.ended.Store(true)
	for _, s := range l.sockets {
		_ = s.conn.Close()
	}
	_ = l.group.Wait()
}

// Counts returns what the callers have seen so far.
func (l *FeedLoad) Counts() FeedLoadCounts {
	c := FeedLoadCounts{
		OpenFeeds: uint64(l.open.Load()), OpenedFeeds: l.opened.Load(), SentKeepalives: l.sent.Load(), EchoedKeepalives: l.echoed.Load(), RetransmittedOpens: l.resent.Load(),
		RefusedOpens: l.refused.Load(), EndedFeeds: l.broke.Load(), MovedFeeds: l.moved.Load(), UnknownFlowDatagrams: l.odd.Load(), MalformedDatagrams: l.junk.Load(),
	}
	now := time.Now()
	for _, s := range l.sockets {
		s.mu.Lock()
		for i := range s.feeds {
			if f := &s.feeds[i]; f.packet != nil && now.Sub(f.heard) > silent {
				c.SilentFeeds++
			}
		}
		s.mu.Unlock()
	}
	return c
}

// WaitOpen waits until n feeds are open.
func (l *FeedLoad) WaitOpen(n int, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if int(l.open.Load()) >= n {
			return nil
		}
	}
	return eris.Errorf("%d of %d feeds are open after %s", l.open.Load(), n, timeout)
}

// send sends keepalives, opens and closes at their rates until the load ends.
func (s *feedSocket) send() error {
	var opens, renewals, keepalives float64
	last := time.Now()
	perSocket := 1 / float64(s.load.config.Sockets)
	for !s.load.ended.Load() {
		time.Sleep(sendInterval)
		now := time.Now()
		passed := min(now.Sub(last), keepalive).Seconds()
		last = now
		s.mu.Lock()
		s.out = s.out[:0]
		if s.started < len(s.feeds) {
			opens += s.load.config.OpenRate * perSocket * passed
		}
		for ; opens >= 1 && s.started < len(s.feeds); opens-- {
			s.openFeed(s.started, now)
			s.started++
		}
		if s.load.renew.Load() {
			renewals += s.load.config.ChurnRate * perSocket * passed
		}
		for ; renewals >= 1; renewals-- {
			s.renewFeed(s.oldest, now)
			s.oldest = (s.oldest + 1) % len(s.feeds)
		}
		keepalives += float64(s.started) * passed / keepalive.Seconds()
		for ; keepalives >= 1 && s.started > 0; keepalives-- {
			s.keepFeed(s.due, now)
			s.due = (s.due + 1) % s.started
		}
		s.mu.Unlock()
		writeAll(s.batch, s.out)
	}
	return nil
}

func (s *feedSocket) queue(b []byte) { s.out = append(s.out, ipv4.Message{Buffers: [][]byte{b}}) }

// openFeed opens the feed at a position under a new call id.
func (s *feedSocket) openFeed(i int, now time.Time) {
	f := &s.feeds[i]
	*f = heldFeed{call: newCall(s.random), asked: now}
	binary.BigEndian.PutUint32(f.call[:], uint32(i))
	s.sendOpen(f)
}

func (s *feedSocket) sendOpen(f *heldFeed) {
	b, err := framer.Append(nil, &framer.Datagram{
		Kind: framer.KindOpenFeed, ServiceID: ServiceID, CallID: f.call, Payload: []byte(ServiceName + "/topic"),
	})
	if err == nil {
		s.queue(b)
	}
}

// renewFeed closes an open feed and opens another one in its place.
func (s *feedSocket) renewFeed(i int, now time.Time) {
	f := &s.feeds[i]
	if f.packet == nil {
		return
	}
	var d framer.Datagram
	if framer.Parse(f.packet, &d) == nil {
		d.Kind, d.Payload = framer.KindCloseFeed, nil
		if b, err := framer.Append(nil, &d); err == nil {
			s.queue(b)
		}
	}
	s.load.open.Add(-1)
	s.openFeed(i, now)
}

// keepFeed sends the keepalive of a feed, or its open again.
func (s *feedSocket) keepFeed(i int, now time.Time) {
	f := &s.feeds[i]
	switch {
	case f.packet != nil:
		s.load.sent.Add(1)
		s.queue(f.packet)
	case now.Sub(f.asked) > resend:
		f.asked = now
		s.load.resent.Add(1)
		s.sendOpen(f)
	}
}

func (s *feedSocket) receive() error {
	in := messages(batchSize)
	var d framer.Datagram
	for {
		n, err := s.batch.ReadBatch(in, 0)
		if err != nil {
			if s.load.ended.Load() {
				return nil
			}
			continue
		}
		now := time.Now()
		s.mu.Lock()
		for i := range n {
			if framer.Parse(in[i].Buffers[0][:in[i].N], &d) != nil {
				s.load.junk.Add(1)
				continue
			}
			s.take(&d, now)
		}
		s.mu.Unlock()
	}
}

// take handles one datagram from the balancer. Datagrams of closed feeds may still arrive and are ignored.
func (s *feedSocket) take(d *framer.Datagram, now time.Time) {
	i := int(binary.BigEndian.Uint32(d.CallID[:]))
	if i >= len(s.feeds) {
		s.load.odd.Add(1)
		return
	}
	f := &s.feeds[i]
	if f.call != d.CallID {
		return
	}
	switch {
	case d.Kind == framer.KindReading && f.packet != nil:
		s.load.echoed.Add(1)
		f.heard = now
		if d.Seq != f.server {
			s.load.moved.Add(1)
		}
	case d.Kind == framer.KindOpened && f.packet == nil:
		packet, err := feedPacket(d.CallID, d.Token)
		if err != nil {
			return
		}
		f.packet, f.server, f.heard = packet, d.Seq, now
		s.load.open.Add(1)
		s.load.opened.Add(1)
	case d.Kind == framer.KindRefused && f.packet == nil:
		s.load.refused.Add(1)
	case d.Kind == framer.KindEnded || d.Kind == framer.KindRefused:
		s.load.broke.Add(1)
	}
}
