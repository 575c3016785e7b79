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
	// keepaliveInterval is the time between two keepalives of a feed, as in the caller library.
	keepaliveInterval = 250 * time.Millisecond
	// sendInterval is the time between two batches that a socket sends.
	sendInterval = 5 * time.Millisecond
	// feedLoadRetransmitDelay is the time after which a FeedLoad retransmits an unanswered open.
	feedLoadRetransmitDelay = 500 * time.Millisecond
	// silenceLimit is the time without an echo after which an established feed counts as broken.
	silenceLimit = 3 * time.Second
)

// FeedLoadConfig describes a load of many feeds.
type FeedLoadConfig struct {
	EntryAddress netip.AddrPort
	Sockets      int
	Feeds        int
	// OpenRate is how many feeds a second are opened until all are open.
	OpenRate float64
	// ChurnRate is how many feeds a second are closed and replaced by new ones after StartChurn was called.
	ChurnRate float64
	Seed      uint64
}

// FeedCounts holds what the callers of a load have counted.
type FeedCounts struct {
	OpenFeeds, OpenedFeeds                   uint64 // open now; opened in total
	SentKeepalives, EchoedKeepalives         uint64 // keepalives sent; echoes received
	RetransmittedOpens                       uint64
	RefusedOpens                             uint64
	EndedFeeds, MovedFeeds                   uint64 // feeds that the balancer ended; echoes from another backend server
	SilentFeeds                              int    // established feeds without an echo for 3 s
	UnknownFlowDatagrams, MalformedDatagrams uint64 // datagrams of no feed of the socket; datagrams that can't be parsed
}

// BrokenFeeds returns the number of breaks of established feeds of all kinds.
func (c FeedCounts) BrokenFeeds() uint64 { return c.EndedFeeds + c.MovedFeeds + uint64(c.SilentFeeds) }

// FeedLoad is a running load of many feeds.
type FeedLoad struct {
	config   FeedLoadConfig
	sockets  []*feedSocket
	group    errgroup.Group
	churning atomic.Bool
	stopped  atomic.Bool

	openFeeds atomic.Int64
	openedFeeds, sentKeepalives, echoedKeepalives, retransmittedOpens, refusedOpens,
	endedFeeds, movedFeeds, unknownFlowDatagrams, malformedDatagrams atomic.Uint64
}

// feedSocket sends and receives the datagrams of a part of the feeds.
type feedSocket struct {
	load   *FeedLoad
	conn   *net.UDPConn
	batch  *ipv4.PacketConn
	random *rand.Rand
	out    []ipv4.Message

	mu            sync.Mutex
	feeds         []feedState
	startedFeeds  int // feeds that have been opened or are being opened
	nextKeepalive int // index of the feed that sends the next keepalive
	nextRenewal   int // index of the feed that is replaced next
}

// feedState is one feed of a socket. The first 4 bytes of its call id are its index in the socket.
type feedState struct {
	callID       [framer.CallIDSize]byte
	keepalive    []byte // datagram; nil until the feed is open
	serverNumber uint64 // of the backend server that accepted the feed
	openSentAt   time.Time
	lastEchoAt   time.Time
}

// StartFeedLoad starts to open feeds and to send their keepalives.
func StartFeedLoad(c FeedLoadConfig) (*FeedLoad, error) {
	l := &FeedLoad{config: c}
	callers, err := newCallers(c.Sockets, c.EntryAddress)
	if err != nil {
		return nil, err
	}
	for i, s := range callers.sockets {
		l.sockets = append(l.sockets, &feedSocket{
			load: l, conn: s.conn, batch: s.batch, random: rand.New(rand.NewPCG(c.Seed, uint64(i))),
			feeds: make([]feedState, c.Feeds/c.Sockets),
		})
	}
	for _, s := range l.sockets {
		l.group.Go(s.receive)
		l.group.Go(s.send)
	}
	return l, nil
}

// StartChurn starts to close feeds and open others in their place.
func (l *FeedLoad) StartChurn() { l.churning.Store(true) }

// Stop ends the load without closing the feeds.
func (l *FeedLoad) Stop() {
	l.stopped.Store(true)
	for _, s := range l.sockets {
		_ = s.conn.Close()
	}
	_ = l.group.Wait()
}

// Counts returns what the callers have counted so far.
func (l *FeedLoad) Counts() FeedCounts {
	c := FeedCounts{
		OpenFeeds: uint64(l.openFeeds.Load()), OpenedFeeds: l.openedFeeds.Load(), SentKeepalives: l.sentKeepalives.Load(),
		EchoedKeepalives: l.echoedKeepalives.Load(), RetransmittedOpens: l.retransmittedOpens.Load(), RefusedOpens: l.refusedOpens.Load(), EndedFeeds: l.endedFeeds.Load(),
		MovedFeeds: l.movedFeeds.Load(), UnknownFlowDatagrams: l.unknownFlowDatagrams.Load(), MalformedDatagrams: l.malformedDatagrams.Load(),
	}
	now := time.Now()
	for _, s := range l.sockets {
		s.mu.Lock()
		for i := range s.feeds {
			if f := &s.feeds[i]; f.keepalive != nil && now.Sub(f.lastEchoAt) > silenceLimit {
				c.SilentFeeds++
			}
		}
		s.mu.Unlock()
	}
	return c
}

// WaitOpen waits until at least n feeds are open.
func (l *FeedLoad) WaitOpen(n int, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if int(l.openFeeds.Load()) >= n {
			return nil
		}
	}
	return eris.Errorf("%d of %d feeds are open after %s", l.openFeeds.Load(), n, timeout)
}

// send sends keepalives, opens and closes at their rates until the load is stopped.
func (s *feedSocket) send() error {
	var opens, renewals, keepalives float64
	last := time.Now()
	perSocket := 1 / float64(s.load.config.Sockets)
	for !s.load.stopped.Load() {
		time.Sleep(sendInterval)
		now := time.Now()
		elapsed := min(now.Sub(last), keepaliveInterval).Seconds()
		last = now
		s.mu.Lock()
		s.out = s.out[:0]
		if s.startedFeeds < len(s.feeds) {
			opens += s.load.config.OpenRate * perSocket * elapsed
		}
		for ; opens >= 1 && s.startedFeeds < len(s.feeds); opens-- {
			s.openFeed(s.startedFeeds, now)
			s.startedFeeds++
		}
		if s.load.churning.Load() {
			renewals += s.load.config.ChurnRate * perSocket * elapsed
		}
		for ; renewals >= 1; renewals-- {
			s.renewFeed(s.nextRenewal, now)
			s.nextRenewal = (s.nextRenewal + 1) % len(s.feeds)
		}
		keepalives += float64(s.startedFeeds) * elapsed / keepaliveInterval.Seconds()
		for ; keepalives >= 1 && s.startedFeeds > 0; keepalives-- {
			s.sendKeepalive(s.nextKeepalive, now)
			s.nextKeepalive = (s.nextKeepalive + 1) % s.startedFeeds
		}
		s.mu.Unlock()
		writeAll(s.batch, s.out)
	}
	return nil
}

func (s *feedSocket) enqueue(b []byte) { s.out = append(s.out, ipv4.Message{Buffers: [][]byte{b}}) }

// openFeed opens the feed at index i under a new call id.
func (s *feedSocket) openFeed(i int, now time.Time) {
	f := &s.feeds[i]
	*f = feedState{callID: newCallID(s.random), openSentAt: now}
	binary.BigEndian.PutUint32(f.callID[:], uint32(i))
	s.sendOpen(f)
}

func (s *feedSocket) sendOpen(f *feedState) {
	b, err := framer.Append(nil, &framer.Datagram{
		Kind: framer.KindOpenFeed, ServiceID: ServiceID, CallID: f.callID, Payload: []byte(ServiceName + "/topic"),
	})
	if err == nil {
		s.enqueue(b)
	}
}

// renewFeed closes the feed at index i, if it is open, and opens another one in its place.
func (s *feedSocket) renewFeed(i int, now time.Time) {
	f := &s.feeds[i]
	if f.keepalive == nil {
		return
	}
	var d framer.Datagram
	if framer.Parse(f.keepalive, &d) == nil {
		d.Kind, d.Payload = framer.KindCloseFeed, nil
		if b, err := framer.Append(nil, &d); err == nil {
			s.enqueue(b)
		}
	}
	s.load.openFeeds.Add(-1)
	s.openFeed(i, now)
}

// sendKeepalive sends the keepalive of the feed at index i, or retransmits its open if it is unanswered for too long.
func (s *feedSocket) sendKeepalive(i int, now time.Time) {
	f := &s.feeds[i]
	switch {
	case f.keepalive != nil:
		s.load.sentKeepalives.Add(1)
		s.enqueue(f.keepalive)
	case now.Sub(f.openSentAt) > feedLoadRetransmitDelay:
		f.openSentAt = now
		s.load.retransmittedOpens.Add(1)
		s.sendOpen(f)
	}
}

func (s *feedSocket) receive() error {
	in := newMessages(batchSize)
	var d framer.Datagram
	for {
		n, err := s.batch.ReadBatch(in, 0)
		if err != nil {
			if s.load.stopped.Load() {
				return nil
			}
			continue
		}
		now := time.Now()
		s.mu.Lock()
		for i := range n {
			if framer.Parse(in[i].Buffers[0][:in[i].N], &d) != nil {
				s.load.malformedDatagrams.Add(1)
				continue
			}
			s.handleDatagram(&d, now)
		}
		s.mu.Unlock()
	}
}

// handleDatagram processes one datagram from the balancer. Datagrams of closed feeds may still arrive and are ignored.
func (s *feedSocket) handleDatagram(d *framer.Datagram, now time.Time) {
	i := int(binary.BigEndian.Uint32(d.CallID[:]))
	if i >= len(s.feeds) {
		s.load.unknownFlowDatagrams.Add(1)
		return
	}
	f := &s.feeds[i]
	if f.callID != d.CallID {
		return
	}
	switch {
	case d.Kind == framer.KindReading && f.keepalive != nil:
		s.load.echoedKeepalives.Add(1)
		f.lastEchoAt = now
		if d.Seq != f.serverNumber {
			s.load.movedFeeds.Add(1)
		}
	case d.Kind == framer.KindOpened && f.keepalive == nil:
		packet, err := keepaliveDatagram(d.CallID, d.Token)
		if err != nil {
			return
		}
		f.keepalive, f.serverNumber, f.lastEchoAt = packet, d.Seq, now
		s.load.openFeeds.Add(1)
		s.load.openedFeeds.Add(1)
	case d.Kind == framer.KindRefused && f.keepalive == nil:
		s.load.refusedOpens.Add(1)
	case d.Kind == framer.KindEnded || d.Kind == framer.KindRefused:
		s.load.endedFeeds.Add(1)
	}
}
