// Package gatekeeper executes non-idempotent requests at most once. The gate of a request is the balancer process that
// issued the gate token of the request. A token names its gate, and only the memory of that process records whether the
// token has been used.
//
// The package uses no sockets and no clock: methods take the current time and return actions for the forwarder to carry
// out. A Gatekeeper is not safe for concurrent use.
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
	// defaultMaxAttempts is the number of attempts that full backend servers refused in tests with pauses of 0.6 s, with a margin. The
	// forwarder lets the request wait before further attempts; with 3, requests were refused although the load was low.
	defaultMaxAttempts = 16
	// resendDelay is the time without a reply after which a run datagram is sent again. It equals the forwarder's timeout
	// for attempts of idempotent requests.
	resendDelay = 400 * time.Millisecond
	// maxResends limits how often the run datagram of one attempt is sent again; 75 resends cover the default MaxTimeout
	// of 30 s.
	maxResends = 75
	// maxAttemptNumber limits MaxAttempts, because an attempt id has one byte for the number of the attempt.
	maxAttemptNumber = 255
	// entryRetention is how long the entry of a request that was sent is kept after its deadline, for late replies of the
	// backend server and retransmissions of the caller.
	entryRetention = 10 * time.Second
	// clockSkew is the maximum difference between the clocks of two VMs that is tolerated when an incarnation, which is a
	// start time on another VM, is compared with a time of this VM.
	clockSkew = time.Second
	// flowIDMask selects the 56 bits of a flow id that a token has room for.
	flowIDMask = 1<<56 - 1
)

// Config holds the settings of a Gatekeeper.
type Config struct {
	// Self is the peer address of this process, which its gate tokens contain.
	Self netip.AddrPort
	// Incarnation is the start time of this process in Unix milliseconds.
	Incarnation uint64
	// Random is the source of flow ids and is required. Two processes must not use the same seed.
	Random *rand.Rand
	// Capacity limits the sum of entries and outstanding reservations; 0 means 65,536.
	Capacity int
	// TokenLifetime is how long a gate token is valid; 0 means 10 s. It does not change while the process runs: after an
	// increase, a token could become valid again although its entry has expired.
	TokenLifetime time.Duration
	// RequestTimeout applies to requests without a deadline; 0 means 5 s.
	RequestTimeout time.Duration
	// MaxTimeout limits the deadline of each request, and with it how long the entry is kept; 0 means 30 s.
	MaxTimeout time.Duration
	// MaxAttempts limits the attempts of one request; 0 means 16.
	MaxAttempts int
}

func (c *Config) setDefaults() {
	if c.Capacity == 0 {
		c.Capacity = defaultCapacity
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	c.MaxAttempts = min(c.MaxAttempts, maxAttemptNumber)
	setDefault(&c.TokenLifetime, defaultTokenLifetime)
	setDefault(&c.RequestTimeout, defaultRequestTimeout)
	setDefault(&c.MaxTimeout, defaultMaxTimeout)
}

func setDefault(d *time.Duration, defaultValue time.Duration) {
	if *d == 0 {
		*d = defaultValue
	}
}

// Gatekeeper records the used flow ids of one balancer process and the state of their requests.
type Gatekeeper struct {
	config          Config
	entries         map[uint64]*entry // by flow id
	dueQueue        expirer.Queue[*entry]
	reservations    reservations
	unresolvedCount int
	lastIssuedAt    int64 // issue time of the latest token in Unix milliseconds, 0 if there is none
	latestTime      int64 // latest time seen, in Unix milliseconds
	stopping        bool
}

// New returns a Gatekeeper without entries.
func New(c Config) *Gatekeeper {
	c.setDefaults()
	return &Gatekeeper{
		config: c, entries: make(map[uint64]*entry), reservations: newReservations(c.TokenLifetime.Milliseconds()),
	}
}

// advanceClock returns the time in Unix milliseconds, and never less than it returned before. If the clock of the VM is
// set back, a token whose entry has expired would otherwise become valid again.
func (g *Gatekeeper) advanceClock(now time.Time) int64 {
	g.latestTime = max(g.latestTime, now.UnixMilli())
	return g.latestTime
}

// Reserve grants a reservation if there is capacity left. Outstanding reservations count, so that an execute datagram for
// each of them finds room.
func (g *Gatekeeper) Reserve(now time.Time) Action {
	ms := g.advanceClock(now)
	g.reservations.expire(ms)
	if g.stopping {
		return Action{Kind: RefuseReservation, Cause: framer.CauseStopping}
	}
	if len(g.entries)+g.reservations.total >= g.config.Capacity {
		return Action{Kind: RefuseReservation, Cause: framer.CauseRateLimited}
	}
	flowID := g.config.Random.Uint64() & flowIDMask
	for flowID == 0 || g.entries[flowID] != nil {
		flowID = g.config.Random.Uint64() & flowIDMask
	}
	g.reservations.add(ms)
	g.lastIssuedAt = ms
	return Action{Kind: GrantReservation, FlowID: flowID, IssuedAt: time.UnixMilli(ms)}
}

// Execution holds the contents of an execute datagram.
type Execution struct {
	Token    sealer.Token
	Request  Request
	Deadline time.Time // zero if the datagram has none
	Payload  []byte    // Execute copies it
}

// Execute consumes the reservation of a token and requests the first attempt. If the flow id was used before, Execute
// only repeats the current state of its request.
func (g *Gatekeeper) Execute(now time.Time, x Execution) Action {
	ms := g.advanceClock(now)
	e, a := g.lookupEntry(ms, x.Token, x.Request)
	if a.Kind != None {
		return a
	}
	if e != nil {
		return g.repeatOutcome(e, x.Request)
	}
	e = g.consume(x.Token, x.Request)
	e.deadline = g.effectiveDeadline(ms, x.Deadline)
	if ms >= e.deadline {
		return g.resolve(e, stateNotRun, framer.CauseExpired)
	}
	e.retry = &retryData{payload: append([]byte(nil), x.Payload...)}
	heap.Fix(&g.dueQueue, int(e.queueIndex))
	return g.nextAttempt(e)
}

// effectiveDeadline returns the deadline of a request in Unix milliseconds, with the default and the limit applied.
func (g *Gatekeeper) effectiveDeadline(now int64, deadline time.Time) int64 {
	if deadline.IsZero() {
		return now + g.config.RequestTimeout.Milliseconds()
	}
	return min(deadline.UnixMilli(), now+g.config.MaxTimeout.Milliseconds())
}

// lookupEntry returns the entry of a token, or nil if the token is valid and unused. For a token of another process and an
// expired token without an entry, it returns the action that replies to the caller.
func (g *Gatekeeper) lookupEntry(now int64, t sealer.Token, r Request) (*entry, Action) {
	if t.Kind != sealer.KindGate || t.Target != g.config.Self || t.Incarnation != g.config.Incarnation {
		return nil, Action{Kind: ReplyUnknown, Cause: framer.CauseGateLost, Request: r, FlowID: t.FlowID}
	}
	e := g.entries[t.FlowID]
	if e == nil && now >= t.IssuedAt.UnixMilli()+g.config.TokenLifetime.Milliseconds() {
		return nil, Action{Kind: ReplyUnknown, Cause: framer.CauseExpired, Request: r, FlowID: t.FlowID}
	}
	return e, Action{}
}

// repeatOutcome returns the action that repeats the current state of a request to its caller. A datagram of another call
// is ignored: its caller reuses the token of this request, and the gate has no entry for that call.
func (g *Gatekeeper) repeatOutcome(e *entry, r Request) Action {
	if e.callID != r.CallID {
		return Action{}
	}
	e.caller = compactor.Pack(r.Caller) // the address of the caller may have changed
	return e.outcomeAction()
}

// consume marks the flow id of a token as used and returns its new entry.
func (g *Gatekeeper) consume(t sealer.Token, r Request) *entry {
	issuedAt := t.IssuedAt.UnixMilli()
	g.reservations.consume(issuedAt)
	e := &entry{
		flowID: t.FlowID, serviceID: r.ServiceID, callID: r.CallID, caller: compactor.Pack(r.Caller), service: compactor.Pack(r.Service),
		expiresAt: issuedAt + g.config.TokenLifetime.Milliseconds(),
	}
	g.entries[t.FlowID] = e
	g.unresolvedCount++
	heap.Push(&g.dueQueue, e)
	return e
}

// nextAttempt requests the next attempt.
func (g *Gatekeeper) nextAttempt(e *entry) Action {
	e.state = stateConsumed
	e.attemptNumber++
	return e.action(SendAttempt)
}

// resolve sets the outcome of a request and returns the action that replies to the caller, if any. A late reply can still
// replace an unknown outcome.
func (g *Gatekeeper) resolve(e *entry, s state, cause framer.Cause) Action {
	if e.isUnresolved() {
		g.unresolvedCount--
	}
	e.state, e.cause, e.retry = s, cause, nil
	heap.Fix(&g.dueQueue, int(e.queueIndex))
	switch s {
	case stateNotRun:
		return e.action(ReplyNotRun)
	case stateUnknown:
		return e.action(ReplyUnknown)
	}
	return Action{}
}

// AuthorizeSend records the backend server that was chosen for an attempt and reports whether the run datagram may be
// sent. If so, the forwarder sends it immediately; if not, it sends nothing to the backend server and carries out the
// returned action. The incarnation is that of the backend server's process, 0 if unknown. The run datagram carries it, so
// that a later process at the same address refuses the datagram.
func (g *Gatekeeper) AuthorizeSend(now time.Time, attemptID uint64, server netip.AddrPort, incarnation uint64) (bool, Action) {
	ms := g.advanceClock(now)
	e := g.entryAwaitingPlacement(attemptID)
	if e == nil {
		return false, Action{}
	}
	if ms >= e.deadline {
		return false, g.resolve(e, stateNotRun, framer.CauseExpired)
	}
	e.state, e.backendServer, e.sentAt, e.incarnation = stateSent, compactor.Pack(server), ms, incarnation
	e.accepted, e.resends = false, 0
	e.expiresAt = max(e.expiresAt, e.deadline+entryRetention.Milliseconds())
	heap.Fix(&g.dueQueue, int(e.queueIndex))
	return true, Action{}
}

// entryAwaitingPlacement returns the entry whose current attempt has this id and is not placed yet, or nil. The ids of
// earlier attempts find no entry.
func (g *Gatekeeper) entryAwaitingPlacement(attemptID uint64) *entry {
	e := g.entries[attemptID>>8]
	if e == nil || e.state != stateConsumed || e.attemptID() != attemptID {
		return nil
	}
	return e
}

// PlacementFailed records that the forwarder could not place the attempt on a backend server.
func (g *Gatekeeper) PlacementFailed(now time.Time, attemptID uint64, cause framer.Cause) Action {
	g.advanceClock(now)
	e := g.entryAwaitingPlacement(attemptID)
	if e == nil {
		return Action{}
	}
	return g.resolve(e, stateNotRun, cause)
}

// Fetch handles a fetch datagram, with which a caller asks for the outcome of its request.
func (g *Gatekeeper) Fetch(now time.Time, t sealer.Token, r Request) Action {
	e, a := g.lookupEntry(g.advanceClock(now), t, r)
	if e == nil {
		return a // no action for an unused token: the execute datagram may still arrive
	}
	return g.repeatOutcome(e, r)
}

// Cancel handles a cancel datagram of a caller that no longer waits. It consumes a reservation that has not been used, so
// that an execute datagram that arrives later does not run.
func (g *Gatekeeper) Cancel(now time.Time, t sealer.Token, r Request) Action {
	e, a := g.lookupEntry(g.advanceClock(now), t, r)
	if a.Kind != None {
		return a
	}
	if e == nil {
		return g.resolve(g.consume(t, r), stateNotRun, framer.CauseCanceled)
	}
	a = g.repeatOutcome(e, r)
	if e.callID != r.CallID || !e.isUnresolved() {
		return a
	}
	e.canceled = true
	heap.Fix(&g.dueQueue, int(e.queueIndex))
	if e.state == stateConsumed {
		return g.resolve(e, stateNotRun, framer.CauseCanceled)
	}
	return e.action(SendCancel)
}

// Tick appends the actions of entries whose deadline has passed or whose run datagram has to be sent again, and deletes
// expired entries. It has to be called at least every 50 ms.
func (g *Gatekeeper) Tick(now time.Time, actions []Action) []Action {
	ms := g.advanceClock(now)
	g.reservations.expire(ms)
	for len(g.dueQueue) > 0 && g.dueQueue[0].Due() <= ms {
		e := g.dueQueue[0]
		switch {
		case e.canResend() && ms < min(e.deadline, e.expiresAt):
			actions = append(actions, g.resend(ms, e))
			continue
		case e.state == stateConsumed:
			actions = append(actions, g.resolve(e, stateNotRun, framer.CauseExpired))
		case e.state == stateSent:
			actions = append(actions, g.resolve(e, stateUnknown, framer.CauseExpired))
		}
		if e.expiresAt <= ms {
			heap.Remove(&g.dueQueue, int(e.queueIndex))
			delete(g.entries, e.flowID)
		}
	}
	return actions
}

// resend returns the action that sends the run datagram of the current attempt again. It is sent once even if several
// intervals passed while the process was paused. The same backend server process recognizes a duplicate by its attempt
// id, and another process refuses it because of the incarnation in it.
func (g *Gatekeeper) resend(now int64, e *entry) Action {
	e.resends = uint8(min((now-e.sentAt)/resendDelay.Milliseconds(), maxResends))
	heap.Fix(&g.dueQueue, int(e.queueIndex))
	return e.action(ResendAttempt)
}

// Stop begins a graceful shutdown: new reservations are refused, and requests with valid tokens are still handled.
func (g *Gatekeeper) Stop(now time.Time) {
	g.advanceClock(now)
	g.stopping = true
}
