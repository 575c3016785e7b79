package caller

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

const (
	// keepaliveInterval is the time between acknowledgements of an idle feed.
	keepaliveInterval = 250 * time.Millisecond
	// searchInterval is the time between acknowledgements of a feed that has been silent for a third of Config.Silence. In
	// a partition only some balancers reach the backend server, and each acknowledgement goes through one at random: a
	// few more tries find one that does, at a lower cost than opening the feed again.
	searchInterval = 50 * time.Millisecond
	// ackReadings is the number of readings after which an acknowledgement is sent at once.
	ackReadings = 8
	// closeRepeats is how often the close datagram of an old flow is sent, because nothing confirms it.
	closeRepeats = 2
	// flowTries is the number of open-feed datagrams of one move without an answer after which the move is dropped; the
	// service repeats its hint.
	flowTries = 6
)

// ErrRefused reports a feed that the service refused to open.
var ErrRefused = eris.New("the service refused the feed: open it again later or check the service name")

// IsErrRefused reports whether err is an ErrRefused.
func IsErrRefused(err error) bool { return eris.Is(err, ErrRefused) }

// FeedStats counts what happened to a feed.
type FeedStats struct {
	// Moves counts changes of the backend server after a move hint.
	Moves int
	// Reopens counts reopenings without a hint: after ended or silence.
	Reopens int
	// Resent counts received readings that were already held.
	Resent int
	// LongestGap is the longest time between two successive arrivals of new readings in order.
	LongestGap time.Duration
}

// Feed is a stream of numbered readings that continues on another backend server when its own one leaves or fails. The
// topic must have a reading more often than Config.Silence.
type Feed struct {
	caller *Caller
	topic  []byte
	box    chan message
	opened chan error // receives the end of the first opening
	ready  chan struct{}
	closed chan struct{}
	once   sync.Once

	mu     sync.Mutex // guards window and stats
	window window
	stats  FeedStats

	// The fields below belong to the feed's goroutine.
	current, next *flow
	old           *flow // closed, but its close datagram is repeated
	oldCloses     int
	openPending   bool // the first opening has not ended
	unacked       int
	heard         time.Time // last sign that the feed makes progress
	advanced      time.Time // last arrival of a new reading in order
	keepalive     time.Time // next acknowledgement
	resend        time.Time // next open-feed of the unopened flow
}

// OpenFeed opens a feed of the topic and waits until a backend server has accepted it.
func (c *Caller) OpenFeed(ctx context.Context, topic string) (*Feed, error) {
	if len(topic) > framer.MaxPayload {
		return nil, ErrTooLarge
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline(ctx))
	defer cancel()
	f := &Feed{
		caller: c, topic: []byte(topic), box: make(chan message, mailboxSize), opened: make(chan error, 1),
		ready: make(chan struct{}, 1), closed: make(chan struct{}), openPending: true,
	}
	first, err := f.newFlow(false)
	if err != nil {
		return nil, err
	}
	f.next = first
	if err := c.start(f.run); err != nil {
		c.unregister(first.call)
		return nil, err
	}
	select {
	case err = <-f.opened:
	case <-ctx.Done():
		err = eris.Wrap(ctx.Err(), "open the feed: no backend server accepted it in time")
	case <-c.done:
		err = ErrClosed
	}
	if err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// Next returns the next reading in order, without gaps or repeats. After Close it returns ErrClosed.
func (f *Feed) Next(ctx context.Context) (Reading, error) {
	for {
		f.mu.Lock()
		r, ok := f.window.take()
		f.mu.Unlock()
		if ok {
			return r, nil
		}
		select {
		case <-f.ready:
		case <-ctx.Done():
			return Reading{}, ctx.Err()
		case <-f.closed:
			return Reading{}, ErrClosed
		case <-f.caller.done:
			return Reading{}, ErrClosed
		}
	}
}

// Close ends the feed and tells the backend server.
func (f *Feed) Close() error {
	f.once.Do(func() { close(f.closed) })
	return nil
}

// Stats returns the counts so far.
func (f *Feed) Stats() FeedStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

func (f *Feed) now() time.Time { return f.caller.config.Now() }

func (f *Feed) newFlow(hinted bool) (*flow, error) {
	id, err := f.caller.register(f.box)
	if err != nil {
		return nil, err
	}
	return &flow{call: id, hinted: hinted, resend: f.caller.backoff(f.caller.config.Resend)}, nil
}

// run is the feed's goroutine.
func (f *Feed) run() error {
	defer f.end()
	f.heard = f.now()
	f.keepalive = f.heard.Add(keepaliveInterval)
	f.sendOpen()
	timer := time.NewTimer(f.wait())
	defer timer.Stop()
	for {
		select {
		case m := <-f.box:
			f.handle(m)
		case <-timer.C:
			f.tick()
		case <-f.closed:
			return nil
		case <-f.caller.done:
			return nil
		}
		timer.Reset(f.wait())
	}
}

// end closes all flows of the feed.
func (f *Feed) end() {
	for _, l := range []*flow{f.current, f.next} {
		if l != nil {
			f.sendClose(l)
			f.caller.unregister(l.call)
		}
	}
}

// wait returns the time until the next timer event.
func (f *Feed) wait() time.Duration {
	due := f.keepalive
	if f.next != nil && f.next.token == nil && f.resend.Before(due) {
		due = f.resend
	}
	return max(due.Sub(f.now()), 0)
}

func (f *Feed) tick() {
	now := f.now()
	if f.next != nil && f.next.token == nil && !now.Before(f.resend) {
		f.retryOpen()
	}
	if now.Before(f.keepalive) {
		return
	}
	f.sendAcks()
	if f.oldCloses > 0 {
		f.oldCloses--
		f.sendClose(f.old)
	}
	if !f.openPending && now.Sub(f.heard) >= f.caller.config.Silence {
		f.reopen()
	}
}

// interval returns the time until the next acknowledgement of an idle feed.
func (f *Feed) interval() time.Duration {
	if f.now().Sub(f.heard) >= f.caller.config.Silence/3 {
		return searchInterval
	}
	return keepaliveInterval
}

// retryOpen sends open-feed again, or drops a move that nobody answers while the old flow is alive.
func (f *Feed) retryOpen() {
	if f.next.hinted && f.current != nil && f.next.tries >= flowTries {
		f.drop(&f.next)
		return
	}
	f.sendOpen()
}

// handle takes one datagram of one of the feed's flows.
func (f *Feed) handle(m message) {
	l := f.current
	if l == nil || l.call != m.call {
		l = f.next
	}
	if l == nil || l.call != m.call {
		return
	}
	switch m.kind {
	case framer.KindOpened:
		f.onOpened(l, m)
	case framer.KindReading:
		f.onReading(l, m)
	case framer.KindMove:
		f.onMove(l, m)
	case framer.KindEnded:
		f.onEnded(l, m)
	case framer.KindRefused:
		f.onRefused(l, m)
	}
}

func (f *Feed) onOpened(l *flow, m message) {
	if l.token != nil || len(m.token) == 0 {
		return
	}
	l.token = m.token
	f.heard = f.now()
	if f.openPending {
		f.openPending = false
		f.opened <- nil
	}
	if f.current == nil {
		f.switchOver()
	}
	f.sendAcks()
}

func (f *Feed) onReading(l *flow, m message) {
	now := f.now()
	f.mu.Lock()
	ready, duplicate := f.window.add(m.seq, m.payload)
	if duplicate {
		f.stats.Resent++
	}
	// Repeats alone are no progress: a backend server that began beyond a gap never closes it.
	if ready > 0 || f.window.full() {
		f.heard = now
	}
	if ready > 0 {
		if gap := now.Sub(f.advanced); !f.advanced.IsZero() && gap > f.stats.LongestGap {
			f.stats.LongestGap = gap
		}
		f.advanced = now
	}
	f.mu.Unlock()
	if ready > 0 {
		select {
		case f.ready <- struct{}{}:
		default:
		}
	}
	if l == f.next && l.token != nil {
		f.switchOver()
	}
	if f.unacked += ready; f.unacked >= ackReadings {
		f.sendAcks()
	}
}

// switchOver makes the next flow the current one and closes the old one.
func (f *Feed) switchOver() {
	if f.current != nil {
		f.old, f.oldCloses = f.current, closeRepeats-1
		f.drop(&f.current)
	}
	f.current, f.next = f.next, nil
	if f.current.hinted {
		f.mu.Lock()
		f.stats.Moves++
		f.mu.Unlock()
	}
}

// drop closes a flow and forgets it.
func (f *Feed) drop(l **flow) {
	f.sendClose(*l)
	f.caller.unregister((*l).call)
	*l = nil
}

func (f *Feed) onMove(l *flow, m message) {
	if l != f.current || f.next != nil || !l.matches(m) {
		return
	}
	f.startNext(true)
}

func (f *Feed) onEnded(l *flow, m message) {
	if !l.matches(m) {
		return
	}
	if l == f.next {
		f.caller.unregister(l.call)
		f.next = nil
	} else {
		f.caller.unregister(l.call)
		f.current = nil
	}
	switch {
	case f.current != nil: // the old flow still delivers; the service repeats its hint
	case f.next == nil:
		f.reopen()
	case f.next.token != nil:
		f.switchOver()
	}
}

// onRefused handles a refused open-feed, and packets of an open flow that the service rejects.
func (f *Feed) onRefused(l *flow, m message) {
	switch {
	case f.openPending && final(m.cause):
		f.openPending = false
		f.opened <- eris.Wrapf(ErrRefused, "cause %s", m.cause)
	case l.token != nil && (m.cause == framer.CauseBadToken || m.cause == framer.CauseUnknownFlow ||
		m.cause == framer.CauseWrongService):
		f.onEnded(l, m)
	}
}

// reopen replaces all flows by a new one without a hint.
func (f *Feed) reopen() {
	f.heard = f.now()
	if f.current != nil {
		f.old, f.oldCloses = f.current, closeRepeats-1
		f.drop(&f.current)
	}
	if f.next != nil && f.next.token == nil {
		return // an opening is on its way and is sent again until it is answered
	}
	if f.next != nil {
		f.drop(&f.next)
	}
	f.mu.Lock()
	f.stats.Reopens++
	f.mu.Unlock()
	f.startNext(false)
}

func (f *Feed) startNext(hinted bool) {
	l, err := f.newFlow(hinted)
	if err != nil {
		return // the caller is closed
	}
	f.next = l
	f.sendOpen()
}

// held returns the last reading held with no gap before it.
func (f *Feed) held() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.window.held
}

func (f *Feed) sendOpen() {
	f.next.tries++
	f.resend = f.now().Add(f.next.resend.next())
	f.caller.send(&framer.Datagram{Kind: framer.KindOpenFeed, CallID: f.next.call, Seq: f.held(), Payload: f.topic})
}

// sendAcks acknowledges on all open flows and restarts the keepalive interval.
func (f *Feed) sendAcks() {
	held := f.held()
	for _, l := range []*flow{f.current, f.next} {
		if l != nil && l.token != nil {
			f.caller.send(&framer.Datagram{Kind: framer.KindFeed, CallID: l.call, Seq: held, Token: l.token})
		}
	}
	f.unacked = 0
	f.keepalive = f.now().Add(f.interval())
}

func (f *Feed) sendClose(l *flow) {
	d := framer.Datagram{Kind: framer.KindCloseFeed, CallID: l.call, Token: l.token}
	if l.token == nil {
		d.Kind = framer.KindCancel
	}
	f.caller.send(&d)
}
