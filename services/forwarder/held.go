package forwarder

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/compactor"
	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/services/gatekeeper"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// A pause of a process or of the network delivers the requests of that time together. They exceed what the backend servers can
// queue, although the load is far below the capacity. Requests that no backend server can take therefore wait here, oldest first,
// until one has room. A queue in which a request waits too long shows an overload. From then on requests are refused at once, until
// none had to be refused for overloadMemory.
const (
	// maxHold is the longest time that a request waits. In the tests with pauses of up to 0.6 s, no request of a service at a third
	// of its capacity had to wait longer.
	maxHold = time.Second
	// holdDivisor limits the wait to a third of the time left until the deadline, which leaves time for another try after the refusal.
	holdDivisor = 3
	// targetDivisor limits the wait to half of the target latency of the service, if it has one.
	targetDivisor = 2
	// overloadMemory is how long after the last refusal requests are refused at once. Clients retry a refused request within it.
	overloadMemory = time.Second
	// minOverloadWait is the shortest wait that shows an overload. Requests with a short deadline are refused after a shorter one.
	minOverloadWait = 100 * time.Millisecond
	// standingFactor is the time for which requests have been waiting without a break, in longest waits, that shows an overload. At
	// 0.6 of the capacity, the requests of a pause of 0.8 s are served after 1.2 s.
	standingFactor = 1.5
	// maxHeld bounds the waiting requests of a service: those of one second at 2,000 a second, about 3 MB with full payloads.
	maxHeld = 2048
	// minRefusalDelay is how long no waiting request is sent after a backend server refused one because it is full: a typical service
	// time. It doubles with each further refusal, up to maxRefusalDelay, until one is answered.
	minRefusalDelay = 20 * time.Millisecond
	maxRefusalDelay = 160 * time.Millisecond
)

// holdQueue holds the waiting requests of a service, oldest first.
type holdQueue struct {
	calls           []heldCall
	limit           time.Duration // longest wait
	waitingSince    time.Time     // when it was last empty
	overloadedUntil time.Time
	retryAt         time.Time // see minRefusalDelay
	refusalDelay    time.Duration
	failedGroups    []string // scratch space of releaseHeld
}

// heldCall is a waiting request: an idempotent one, or an attempt of the gate.
type heldCall struct {
	pending *pendingCall // nil for an attempt of the gate
	attempt gatekeeper.Action
	group   string    // caller group
	heldAt  time.Time // when it first waited
	limit   time.Duration
}

// configureHold sets the longest wait of the requests of a service.
func (f *Forwarder) configureHold(service string, targetLatency time.Duration) {
	q := f.holds[service]
	if q == nil {
		q = &holdQueue{}
		f.holds[service] = q
	}
	q.limit = maxHold
	if targetLatency > 0 {
		q.limit = min(q.limit, targetLatency/targetDivisor)
	}
}

// hold adds a request that no backend server can take now to the waiting ones. It returns false if the request has to be refused.
func (f *Forwarder) hold(now time.Time, service string, c heldCall, deadline time.Time) bool {
	q := f.holds[service]
	if q == nil {
		return false
	}
	c.limit = min(q.limit, deadline.Sub(c.heldAt)/holdDivisor)
	waited := now.Sub(c.heldAt)
	if overloaded := now.Before(q.overloadedUntil); overloaded || waited >= c.limit || len(q.calls) >= maxHeld {
		if overloaded || waited >= minOverloadWait || len(q.calls) >= maxHeld {
			q.overloadedUntil = now.Add(overloadMemory)
		}
		return false
	}
	if len(q.calls) == 0 {
		q.waitingSince = now
	}
	f.count(countWaited)
	q.calls = append(q.calls, c)
	return true
}

// isHeld reports whether the call waits for a backend server.
func (p *pendingCall) isHeld() bool { return p.heldAt != 0 && p.server == compactor.Address{} }

// holdPending makes an idempotent request wait that no backend server can take now. It returns false for one that has to be refused.
func (f *Forwarder) holdPending(now time.Time, p *pendingCall) bool {
	if p.kind != scheduler.WorkRequest {
		return false
	}
	ms := uint32(f.monotonic(now).Milliseconds())
	heldAt := p.heldAt
	if heldAt == 0 {
		heldAt = max(ms, 1)
	}
	c := heldCall{
		pending: p, group: f.view.CallerGroup(p.caller.Unpack().Addr()), heldAt: now.Add(-time.Duration(ms-heldAt) * time.Millisecond),
	}
	if ms < heldAt {
		c.heldAt = now
	}
	if !f.hold(now, p.service.Name, c, time.Unix(0, p.deadline)) {
		return false
	}
	// The refusals of earlier attempts no longer tell which backend server is full.
	p.heldAt, p.attemptID, p.server, p.triedServers = heldAt, 0, compactor.Address{}, nil
	return true
}

// handleDueHeld handles a waiting request that is due: it is refused at its deadline, and its caller gets a retransmission token.
func (f *Forwarder) handleDueHeld(now time.Time, p *pendingCall, out *Actions) {
	if p.isExpired(now) {
		f.refusePending(p, framer.CauseExpired, out)
		return
	}
	if !p.tokenSent {
		f.sendRetransmissionToken(now, p, out)
	}
	f.scheduleAfter(now, p, attemptTimeout)
}

// recordVerb records whether a backend server answered a request or refused one because it is full.
func (q *holdQueue) recordVerb(now time.Time, p *encapsulator.Packet) {
	switch {
	case p.Verb == encapsulator.VerbAnswer:
		q.refusalDelay = 0
	case p.Verb == encapsulator.VerbRefused && framer.Cause(p.Cause) == framer.CauseShed && !now.Before(q.retryAt):
		q.refusalDelay = min(max(2*q.refusalDelay, minRefusalDelay), maxRefusalDelay)
		q.retryAt = now.Add(q.refusalDelay)
	}
}

// releaseAllHeld places the waiting requests of all services for which a backend server has room.
func (f *Forwarder) releaseAllHeld(now time.Time, out *Actions) {
	for service := range f.holds {
		f.releaseHeld(now, service, out)
	}
}

// releaseHeld places the waiting requests of a service for which a backend server has room and refuses those that waited too long.
// After a request of a caller group found no backend server, no other one of that group is tried.
func (f *Forwarder) releaseHeld(now time.Time, service string, out *Actions) {
	q := f.holds[service]
	if q == nil || len(q.calls) == 0 {
		return
	}
	if now.Before(f.placementPausedUntil) {
		for i := range q.calls {
			q.calls[i].heldAt = now // the time of a pause does not show an overload
		}
		q.waitingSince = now
		return
	}
	if now.Sub(q.waitingSince) > time.Duration(standingFactor*float64(q.limit)) {
		q.overloadedUntil = now.Add(overloadMemory)
	}
	q.failedGroups = q.failedGroups[:0]
	kept := q.calls[:0]
	for _, c := range q.calls {
		if c.pending != nil && !c.pending.isHeld() {
			continue // canceled or expired
		}
		full := now.Before(q.retryAt) || slices.Contains(q.failedGroups, c.group)
		cause := framer.CauseShed
		if !full {
			server, err := f.placeHeld(now, service, &c)
			if err == nil {
				f.startHeld(now, &c, server, out)
				continue
			}
			if full = scheduler.IsErrShed(err); full {
				q.failedGroups = append(q.failedGroups, c.group)
			}
			cause = refusalCause(err)
		}
		if full && now.Sub(c.heldAt) < c.limit {
			kept = append(kept, c)
			continue
		}
		if full && c.limit >= minOverloadWait {
			q.overloadedUntil = now.Add(overloadMemory)
		}
		f.refuseHeld(now, &c, cause, out)
	}
	clear(q.calls[len(kept):])
	q.calls = kept
}

// placeHeld chooses a backend server for a waiting request.
func (f *Forwarder) placeHeld(now time.Time, service string, c *heldCall) (netip.AddrPort, error) {
	w := scheduler.Work{Service: service, Kind: scheduler.WorkAtMostOnce, CallerGroup: c.group, Deadline: c.attempt.Deadline, Waited: true}
	if c.pending != nil {
		w.Kind, w.Deadline = c.pending.kind, time.Unix(0, c.pending.deadline)
	}
	return f.placer.Place(now, w)
}

// startHeld starts an attempt of a request that waited.
func (f *Forwarder) startHeld(now time.Time, c *heldCall, server netip.AddrPort, out *Actions) {
	if c.pending != nil {
		f.startAttempt(now, c.pending, server, out)
		return
	}
	f.applyGateAction(now, f.startGateAttempt(now, c.attempt, server, c.heldAt, out), nil, out)
}

// refuseHeld refuses a request that waited.
func (f *Forwarder) refuseHeld(now time.Time, c *heldCall, cause framer.Cause, out *Actions) {
	if c.pending != nil {
		f.refusePending(c.pending, cause, out)
		return
	}
	f.applyGateAction(now, f.gate.PlacementFailed(now, c.attempt.AttemptID, cause), nil, out)
}
