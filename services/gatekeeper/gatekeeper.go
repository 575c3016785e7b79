// Package gatekeeper runs non-idempotent requests at most once. The gate of a request is the balancer process that the
// request's gate token names; its memory is the only record that the token has been used.
//
// The package has no sockets and no clock: commands take the current time and return actions for the forwarder. A
// Gatekeeper is not safe for concurrent use.
package gatekeeper

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/compactor"
	"github.com/bluebelldyke/bluebelldyke/modules/expirer"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/modules/sealer"
)

const (
	defaultCapacity       = 65536
	defaultTokenLifetime  = 10 * time.Second
	defaultRequestTimeout = 5 * time.Second
	defaultMaxTimeout     = 30 * time.Second
	defaultMaxAttempts    = 3
	// resendInterval is the time without a reply after which a run datagram is sent again. It is that of other work.
	resendInterval = 400 * time.Millisecond
	// maxCopies bounds the copies of one attempt; 75 cover the longest deadline of 30 s.
	maxCopies = 75
	// attemptLimit bounds MaxAttempts, because an attempt id has one byte for the number of the attempt.
	attemptLimit = 255
	// hold is how long an entry stays after the deadline of a request that was sent, for late answers and repeats.
	hold = 10 * time.Second
	// clockSkew bounds how far the clocks of two VMs are apart when an incarnation is compared with a time of this VM.
	clockSkew = time.Second
	// flowMask keeps the 56 bits of a flow id that fit a token.
	flowMask = 1<<56 - 1
)

// Config holds what a Gatekeeper is made of.
type Config struct {
	// Self is the peer address that gate tokens of this process name.
	Self netip.AddrPort
	// Incarnation is the start time of this process in Unix milliseconds.
	Incarnation uint64
	// Random is the source of flow ids and is required. Two processes must not use the same seed.
	Random *rand.Rand
	// Capacity bounds entries and outstanding reservations together; 0 means 65,536.
	Capacity int
	// TokenLifetime is how long a gate token is valid; 0 means 10 s. It is fixed for the life of the process: with a
	// longer one, a token could become valid again after its entry has expired.
	TokenLifetime time.Duration
	// RequestTimeout is the deadline of a request that names none; 0 means 5 s.
	RequestTimeout time.Duration
	// MaxTimeout bounds the deadline of each request, and so the life of its entry; 0 means 30 s.
	MaxTimeout time.Duration
	// MaxAttempts bounds the attempts of one request; 0 means 3.
	MaxAttempts int
}

func (c *Config) setDefaults() {
	if c.Capacity == 0 {
		c.Capacity = defaultCapacity
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	c.MaxAttempts = min(c.MaxAttempts, attemptLimit)
	setDefault(&c.TokenLifetime, defaultTokenLifetime)
	setDefault(&c.RequestTimeout, defaultRequestTimeout)
	setDefault(&c.MaxTimeout, defaultMaxTimeout)
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Gatekeeper holds the used flow ids of one balancer process.
type Gatekeeper struct {
	config       Config
	entries      map[uint64]*entry
	queue        expirer.Queue[*entry]
	reservations reservations
	unresolved   int
	lastIssued   int64
	latest       int64 // highest time seen, Unix milliseconds
	stopping     bool
}

// New returns a Gatekeeper without entries.
func New(c Config) *Gatekeeper {
	c.setDefaults()
	return &Gatekeeper{
		config: c, entries: make(map[uint64]*entry), reservations: newReservations(c.TokenLifetime.Milliseconds()),
	}
}

// advance returns the time in Unix milliseconds. It never goes back: after a step of the clock to the past, a token
// whose entry has expired would count as valid again.
func (g *Gatekeeper) advance(now time.Time) int64 {
	g.latest = max(g.latest, now.UnixMilli())
	return g.latest
}

// Reserve grants a reservation as long as an execute of each outstanding one finds room.
func (g *Gatekeeper) Reserve(now time.Time) Action {
	ms := g.advance(now)
	g.reservations.expire(ms)
	if g.stopping {
		return Action{Kind: RefuseReservation, Cause: framer.CauseStopping}
	}
	if len(g.entries)+g.reservations.total >= g.config.Capacity {
		return Action{Kind: RefuseReservation, Cause: framer.CauseRateLimited}
	}
	flow := g.config.Random.Uint64() & flowMask
	for flow == 0 || g.entries[flow] != nil {
		flow = g.config.Random.Uint64() & flowMask
	}
	g.reservations.add(ms)
	g.lastIssued = ms
	return Action{Kind: GrantReservation, Flow: flow, Issued: time.UnixMilli(ms)}
}

// Execution is one execute datagram.
type Execution struct {
	Token    sealer.Token
	Request  Request
	Deadline time.Time // the zero time means none
	Payload  []byte    // copied
}

// Execute burns the reservation and asks for an attempt. For a flow id that is used already it only repeats what is
// known.
func (g *Gatekeeper) Execute(now time.Time, x Execution) Action {
	ms := g.advance(now)
	e, a := g.lookup(ms, x.Token, x.Request)
	if a.Kind != None {
		return a
	}
	if e != nil {
		return g.repeat(e, x.Request)
	}
	e = g.burn(x.Token, x.Request)
	e.deadline = g.deadline(ms, x.Deadline)
	if ms >= e.deadline {
		return g.resolve(e, notRun, framer.CauseExpired)
	}
	e.draft = &draft{payload: append([]byte(nil), x.Payload...)}
	heap.Fix(&g.queue, int(e.index))
	return g.nextAttempt(e)
}

func (g *Gatekeeper) deadline(now int64, deadline time.Time) int64 {
	if deadline.IsZero() {
		return now + g.config.RequestTimeout.Milliseconds()
	}
	return min(deadline.UnixMilli(), now+g.config.MaxTimeout.Milliseconds())
}

// lookup returns the entry of a token, or the action for a token that this process cannot vouch for.
func (g *Gatekeeper) lookup(now int64, t sealer.Token, r Request) (*entry, Action) {
	if t.Kind != sealer.KindGate || t.Target != g.config.Self || t.Incarnation != g.config.Incarnation {
		return nil, Action{Kind: ReplyUnknown, Cause: framer.CauseGateLost, Request: r, Flow: t.FlowID}
	}
	e := g.entries[t.FlowID]
	if e == nil && now >= t.IssuedAt.UnixMilli()+g.config.TokenLifetime.Milliseconds() {
		return nil, Action{Kind: ReplyUnknown, Cause: framer.CauseExpired, Request: r, Flow: t.FlowID}
	}
	return e, Action{}
}

// repeat repeats what is known about a flow id. A datagram of another call is ignored: its caller reuses a token, and
// nothing can be said about that call.
func (g *Gatekeeper) repeat(e *entry, r Request) Action {
	if e.call != r.Call {
		return Action{}
	}
	e.caller = compactor.Pack(r.Caller) // a caller may have got a new address on its way
	return e.word()
}

// burn uses the reservation of a token up.
func (g *Gatekeeper) burn(t sealer.Token, r Request) *entry {
	issued := t.IssuedAt.UnixMilli()
	g.reservations.use(issued)
	e := &entry{
		flow: t.FlowID, serviceID: r.ServiceID, call: r.Call, caller: compactor.Pack(r.Caller), service: compactor.Pack(r.Service),
		expires: issued + g.config.TokenLifetime.Milliseconds(),
	}
	g.entries[t.FlowID] = e
	g.unresolved++
	heap.Push(&g.queue, e)
	return e
}

// nextAttempt asks for the next attempt.
func (g *Gatekeeper) nextAttempt(e *entry) Action {
	e.state = burnt
	e.try++
	return e.action(SendAttempt)
}

// resolve gives an entry its outcome and returns what the caller is told.
func (g *Gatekeeper) resolve(e *entry, s state, cause framer.Cause) Action {
	if e.unresolved() {
		g.unresolved--
	}
	e.state, e.cause, e.draft = s, cause, nil
	heap.Fix(&g.queue, int(e.index))
	switch s {
	case notRun:
		return e.action(ReplyNotRun)
	case unknown:
		return e.action(ReplyUnknown)
	}
	return Action{}
}

// Sent records that the attempt goes to the backend server, whose known incarnation is 0 if unknown. The datagram
// carries this incarnation, so that a later process at the same address refuses it. It may leave only if Sent returns
// true, and at once. Otherwise nothing may be sent, and the action tells the caller.
func (g *Gatekeeper) Sent(now time.Time, attempt uint64, server netip.AddrPort, incarnation uint64) (bool, Action) {
	ms := g.advance(now)
	e := g.unplaced(attempt)
	if e == nil {
		return false, Action{}
	}
	if ms >= e.deadline {
		return false, g.resolve(e, notRun, framer.CauseExpired)
	}
	e.state, e.server, e.sentAt, e.incarnation = sent, compactor.Pack(server), ms, incarnation
	e.held, e.copies = false, 0
	e.expires = max(e.expires, e.deadline+hold.Milliseconds())
	heap.Fix(&g.queue, int(e.index))
	return true, Action{}
}

// unplaced returns the entry whose attempt waits to be placed. An action of an earlier attempt finds none.
func (g *Gatekeeper) unplaced(attempt uint64) *entry {
	e := g.entries[attempt>>8]
	if e == nil || e.state != burnt || e.attempt() != attempt {
		return nil
	}
	return e
}

// NotPlaced records that the forwarder found no backend server for the attempt.
func (g *Gatekeeper) NotPlaced(now time.Time, attempt uint64, cause framer.Cause) Action {
	g.advance(now)
	e := g.unplaced(attempt)
	if e == nil {
		return Action{}
	}
	return g.resolve(e, notRun, cause)
}

// Fetch answers a fetch datagram with a gate token.
func (g *Gatekeeper) Fetch(now time.Time, t sealer.Token, r Request) Action {
	e, a := g.lookup(g.advance(now), t, r)
	if e == nil {
		return a // the execute may still arrive
	}
	return g.repeat(e, r)
}

// Cancel handles a caller that no longer waits. A reservation without an execute is burnt, so that a late execute does
// not run.
func (g *Gatekeeper) Cancel(now time.Time, t sealer.Token, r Request) Action {
	e, a := g.lookup(g.advance(now), t, r)
	if a.Kind != None {
		return a
	}
	if e == nil {
		return g.resolve(g.burn(t, r), notRun, framer.CauseCanceled)
	}
	a = g.repeat(e, r)
	if e.call != r.Call || !e.unresolved() {
		return a
	}
	e.canceled = true
	heap.Fix(&g.queue, int(e.index))
	if e.state == burnt {
		return g.resolve(e, notRun, framer.CauseCanceled)
	}
	return e.action(SendCancel)
}

// Tick appends the actions of entries whose deadline has passed or whose run datagram is to be sent again, and drops
// expired entries. It is called at least every 50 ms.
func (g *Gatekeeper) Tick(now time.Time, out []Action) []Action {
	ms := g.advance(now)
	g.reservations.expire(ms)
	for len(g.queue) > 0 && g.queue[0].Due() <= ms {
		e := g.queue[0]
		switch {
		case e.silent() && ms < min(e.deadline, e.expires):
			out = append(out, g.resend(ms, e))
			continue
		case e.state == burnt:
			out = append(out, g.resolve(e, notRun, framer.CauseExpired))
		case e.state == sent:
			out = append(out, g.resolve(e, unknown, framer.CauseExpired))
		}
		if e.expires <= ms {
			heap.Remove(&g.queue, int(e.index))
			delete(g.entries, e.flow)
		}
	}
	return out
}

// resend asks for one copy of the attempt's run datagram, also when several were due while the process was paused. The
// backend server's process recognizes the copy by its attempt id, and another process refuses it by its incarnation.
func (g *Gatekeeper) resend(now int64, e *entry) Action {
	e.copies = uint8(min((now-e.sentAt)/resendInterval.Milliseconds(), maxCopies))
	heap.Fix(&g.queue, int(e.index))
	return e.action(ResendAttempt)
}

// Stop refuses new reservations from now on.
func (g *Gatekeeper) Stop(now time.Time) {
	g.advance(now)
	g.stopping = true
}
