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
	// pathProbeInterval is the time between acknowledgements of a feed without progress for a third of Config.IdleTimeout. In a
	// partition only some balancers reach the backend server, and each acknowledgement goes through one at random. Sending
	// them more often finds a working path at a lower cost than reopening the feed.
	pathProbeInterval = 50 * time.Millisecond
	// readingsPerAck is the number of new readings in order after which an acknowledgement is sent at once.
	readingsPerAck = 8
	// closeTransmissions is how many times the close datagram of a replaced flow is sent. It is more than 1 because no reply
	// confirms it.
	closeTransmissions = 2
	// maxMoveAttempts is the number of unanswered open-feed datagrams after which a move is given up. The service repeats its
	// move datagram.
	maxMoveAttempts = 6
)

// ErrRefused reports a feed that the service refused to open.
var ErrRefused = eris.New("the service refused the feed: open it again later or check the service name")

// IsErrRefused reports whether err is an ErrRefused.
func IsErrRefused(err error) bool { return eris.Is(err, ErrRefused) }

// FeedStats counts what happened to a feed.
type FeedStats struct {
	// Moves counts changes to another backend server that a move datagram asked for.
	Moves int
	// Reopens counts reopenings that no move datagram asked for: after the service ended the flow, or after Config.IdleTimeout.
	Reopens int
	// Duplicates counts received readings that had been received before.
	Duplicates int
	// LongestGap is the longest time between two successive arrivals of new readings in order.
	LongestGap time.Duration
}

// Feed is a stream of numbered readings that continues on another backend server when its current one leaves or fails. The
// topic must produce readings at shorter intervals than Config.IdleTimeout; otherwise the feed is reopened again and again.
type Feed struct {
	caller       *Caller
	topic        []byte
	queue        chan message
	openResult   chan error    // receives the result of the first opening
	readingReady chan struct{} // signals Next that readings in order have arrived
	closed       chan struct{}
	closeOnce    sync.Once

	mu     sync.Mutex // guards window and stats
	window receiveWindow
	stats  FeedStats

	// The fields below belong to the feed's goroutine.
	current, next   *flow
	closedFlow      *flow // replaced flow whose close datagram is still repeated
	pendingCloses   int   // close datagrams of closedFlow still to be sent
	openPending     bool  // the first opening is neither accepted nor refused
	unackedReadings int
	lastProgress    time.Time // last opening, acceptance, new reading in order, or reading while the window is full
	lastAdvance     time.Time // last arrival of a new reading in order
	nextAck         time.Time // time of the next acknowledgement
	nextOpen        time.Time // time of the next open-feed datagram of an unopened next flow
}

// OpenFeed opens a feed of the topic and waits until a backend server has accepted it. The limit is the context's deadline, or
// Config.Timeout without one.
func (c *Caller) OpenFeed(ctx context.Context, topic string) (*Feed, error) {
	if len(topic) > framer.MaxPayload {
		return nil, ErrTooLarge
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline(ctx))
	defer cancel()
	f := &Feed{
		caller: c, topic: []byte(topic), queue: make(chan message, receiveQueueSize), openResult: make(chan error, 1),
		readingReady: make(chan struct{}, 1), closed: make(chan struct{}), openPending: true,
	}
	first, err := f.newFlow(false)
	if err != nil {
		return nil, err
	}
	f.next = first
	if err := c.startFeed(f.run); err != nil {
		c.unregister(first.call)
		return nil, err
	}
	select {
	case err = <-f.openResult:
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

// Next returns the next reading in order, without gaps or duplicates. After Close it returns ErrClosed.
func (f *Feed) Next(ctx context.Context) (Reading, error) {
	for {
		f.mu.Lock()
		r, ok := f.window.take()
		f.mu.Unlock()
		if ok {
			return r, nil
		}
		select {
		case <-f.readingReady:
		case <-ctx.Done():
			return Reading{}, ctx.Err()
		case <-f.closed:
			return Reading{}, ErrClosed
		case <-f.caller.done:
			return Reading{}, ErrClosed
		}
	}
}

// Close ends the feed and sends the backend server a close datagram.
func (f *Feed) Close() error {
	f.closeOnce.Do(func() { close(f.closed) })
	return nil
}

// Stats returns the statistics of the feed up to now.
func (f *Feed) Stats() FeedStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

func (f *Feed) now() time.Time { return f.caller.config.Now() }

// newFlow returns an unopened flow with a call ID of its own.
func (f *Feed) newFlow(isMove bool) (*flow, error) {
	id, err := f.caller.register(f.queue)
	if err != nil {
		return nil, err
	}
	return &flow{call: id, isMove: isMove, openBackoff: f.caller.newBackoff(f.caller.config.RetransmitDelay)}, nil
}

// run handles received datagrams and timers until the feed or its Caller is closed. It is the feed's goroutine.
func (f *Feed) run() error {
	defer f.closeFlows()
	f.lastProgress = f.now()
	f.nextAck = f.lastProgress.Add(keepaliveInterval)
	f.sendOpen()
	timer := time.NewTimer(f.untilNextTimer())
	defer timer.Stop()
	for {
		select {
		case m := <-f.queue:
			f.handleMessage(m)
		case <-timer.C:
			f.onTimer()
		case <-f.closed:
			return nil
		case <-f.caller.done:
			return nil
		}
		timer.Reset(f.untilNextTimer())
	}
}

// closeFlows sends the close datagrams of all flows and releases their call IDs.
func (f *Feed) closeFlows() {
	for _, fl := range []*flow{f.current, f.next} {
		if fl != nil {
			f.sendClose(fl)
			f.caller.unregister(fl.call)
		}
	}
}

// untilNextTimer returns the time until the next acknowledgement or open-feed datagram is due.
func (f *Feed) untilNextTimer() time.Duration {
	nextTimer := f.nextAck
	if f.next != nil && f.next.token == nil && f.nextOpen.Before(nextTimer) {
		nextTimer = f.nextOpen
	}
	return max(nextTimer.Sub(f.now()), 0)
}

// onTimer sends the datagrams that are due and reopens the feed after Config.IdleTimeout without progress.
func (f *Feed) onTimer() {
	now := f.now()
	if f.next != nil && f.next.token == nil && !now.Before(f.nextOpen) {
		f.retryOpen()
	}
	if now.Before(f.nextAck) {
		return
	}
	f.sendAcks()
	if f.pendingCloses > 0 {
		f.pendingCloses--
		f.sendClose(f.closedFlow)
	}
	if !f.openPending && now.Sub(f.lastProgress) >= f.caller.config.IdleTimeout {
		f.reopen()
	}
}

// ackInterval returns the time until the next acknowledgement if no readings arrive before.
func (f *Feed) ackInterval() time.Duration {
	if f.now().Sub(f.lastProgress) >= f.caller.config.IdleTimeout/3 {
		return pathProbeInterval
	}
	return keepaliveInterval
}

// retryOpen retransmits open-feed. It gives up a move after maxMoveAttempts while the current flow is still open.
func (f *Feed) retryOpen() {
	if f.next.isMove && f.current != nil && f.next.openAttempts >= maxMoveAttempts {
		f.closeFlow(&f.next)
		return
	}
	f.sendOpen()
}

// handleMessage handles one datagram of the current or next flow, and ignores those of other flows.
func (f *Feed) handleMessage(m message) {
	fl := f.current
	if fl == nil || fl.call != m.call {
		fl = f.next
	}
	if fl == nil || fl.call != m.call {
		return
	}
	switch m.kind {
	case framer.KindOpened:
		f.onOpened(fl, m)
	case framer.KindReading:
		f.onReading(fl, m)
	case framer.KindMove:
		f.onMove(fl, m)
	case framer.KindEnded:
		f.onEnded(fl, m)
	case framer.KindRefused:
		f.onRefused(fl, m)
	}
}

// onOpened handles the acceptance of an open-feed. Only the first one for a flow counts.
func (f *Feed) onOpened(fl *flow, m message) {
	if fl.token != nil || len(m.token) == 0 {
		return
	}
	fl.token = m.token
	f.lastProgress = f.now()
	if f.openPending {
		f.openPending = false
		f.openResult <- nil
	}
	if f.current == nil {
		f.switchToNext()
	}
	f.sendAcks()
}

// onReading stores a reading. The first reading of the next flow completes a move.
func (f *Feed) onReading(fl *flow, m message) {
	now := f.now()
	f.mu.Lock()
	ready, duplicate := f.window.add(m.seq, m.payload)
	if duplicate {
		f.stats.Duplicates++
	}
	// Duplicates and readings beyond a gap are no progress: a backend server that started beyond a gap never fills it, so the
	// feed has to be reopened. A full window means that the user of the feed is slow, which reopening cannot help.
	if ready > 0 || f.window.full() {
		f.lastProgress = now
	}
	if ready > 0 {
		if gap := now.Sub(f.lastAdvance); !f.lastAdvance.IsZero() && gap > f.stats.LongestGap {
			f.stats.LongestGap = gap
		}
		f.lastAdvance = now
	}
	f.mu.Unlock()
	if ready > 0 {
		select {
		case f.readingReady <- struct{}{}:
		default:
		}
	}
	if fl == f.next && fl.token != nil {
		f.switchToNext()
	}
	if f.unackedReadings += ready; f.unackedReadings >= readingsPerAck {
		f.sendAcks()
	}
}

// switchToNext makes the next flow the current one and closes the replaced flow.
func (f *Feed) switchToNext() {
	if f.current != nil {
		f.closedFlow, f.pendingCloses = f.current, closeTransmissions-1
		f.closeFlow(&f.current)
	}
	f.current, f.next = f.next, nil
	if f.current.isMove {
		f.mu.Lock()
		f.stats.Moves++
		f.mu.Unlock()
	}
}

// closeFlow sends the close datagram of a flow, releases its call ID and sets the field to nil.
func (f *Feed) closeFlow(fl **flow) {
	f.sendClose(*fl)
	f.caller.unregister((*fl).call)
	*fl = nil
}

// onMove opens a second flow, which may reach another backend server, while the current flow still delivers readings.
func (f *Feed) onMove(fl *flow, m message) {
	if fl != f.current || f.next != nil || !fl.matchesToken(m) {
		return
	}
	f.openNext(true)
}

// onEnded handles the end of a flow by the service: the other flow takes over, or the feed is reopened.
func (f *Feed) onEnded(fl *flow, m message) {
	if !fl.matchesToken(m) {
		return
	}
	if fl == f.next {
		f.caller.unregister(fl.call)
		f.next = nil
	} else {
		f.caller.unregister(fl.call)
		f.current = nil
	}
	switch {
	case f.current != nil: // it still delivers readings; the service repeats its move datagram
	case f.next == nil:
		f.reopen()
	case f.next.token != nil:
		f.switchToNext()
	}
}

// onRefused reports a permanently refused first opening to OpenFeed, and ends an open flow that the service refuses as invalid.
// It ignores all other refusals, as openings are retransmitted anyway.
func (f *Feed) onRefused(fl *flow, m message) {
	switch {
	case f.openPending && isPermanentRefusal(m.cause):
		f.openPending = false
		f.openResult <- eris.Wrapf(ErrRefused, "cause %s", m.cause)
	case fl.token != nil && (m.cause == framer.CauseBadToken || m.cause == framer.CauseUnknownFlow ||
		m.cause == framer.CauseWrongService):
		f.onEnded(fl, m)
	}
}

// reopen closes the open flows and opens a new one, unless the next flow waits for its opening already.
func (f *Feed) reopen() {
	f.lastProgress = f.now()
	if f.current != nil {
		f.closedFlow, f.pendingCloses = f.current, closeTransmissions-1
		f.closeFlow(&f.current)
	}
	if f.next != nil && f.next.token == nil {
		return // an opening is in progress and is retransmitted until it is answered
	}
	if f.next != nil {
		f.closeFlow(&f.next)
	}
	f.mu.Lock()
	f.stats.Reopens++
	f.mu.Unlock()
	f.openNext(false)
}

// openNext creates the next flow and sends its first open-feed.
func (f *Feed) openNext(isMove bool) {
	fl, err := f.newFlow(isMove)
	if err != nil {
		return // the Caller is closed or its random source failed
	}
	f.next = fl
	f.sendOpen()
}

// lastInOrder returns the number of the last reading received without a gap before it.
func (f *Feed) lastInOrder() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.window.lastInOrder
}

// sendOpen sends open-feed for the next flow and schedules its retransmission.
func (f *Feed) sendOpen() {
	f.next.openAttempts++
	f.nextOpen = f.now().Add(f.next.openBackoff.next())
	f.caller.send(&framer.Datagram{Kind: framer.KindOpenFeed, CallID: f.next.call, Seq: f.lastInOrder(), Payload: f.topic})
}

// sendAcks acknowledges the readings in order on all open flows and schedules the next acknowledgement.
func (f *Feed) sendAcks() {
	last := f.lastInOrder()
	for _, fl := range []*flow{f.current, f.next} {
		if fl != nil && fl.token != nil {
			f.caller.send(&framer.Datagram{Kind: framer.KindFeed, CallID: fl.call, Seq: last, Token: fl.token})
		}
	}
	f.unackedReadings = 0
	f.nextAck = f.now().Add(f.ackInterval())
}

// sendClose sends close-feed for an open flow, and cancel for one that is not accepted yet.
func (f *Feed) sendClose(fl *flow) {
	d := framer.Datagram{Kind: framer.KindCloseFeed, CallID: fl.call, Token: fl.token}
	if fl.token == nil {
		d.Kind = framer.KindCancel
	}
	f.caller.send(&d)
}
