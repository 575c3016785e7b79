package forwarder

import (
	"container/heap"
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/modules/compactor"
	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/modules/sealer"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// attemptTimeout is how long an attempt may stay without a reply before it is sent again with the same attempt id. If there is
// no reply within resendTimeout either, the work is retried on another backend server. A backend server at which the attempt is
// queued or running replies with that state, and the reply starts another attemptTimeout. Running work is therefore never given
// up because it takes longer than a fixed timeout.
const attemptTimeout = 400 * time.Millisecond

// resendTimeout is how long an attempt that was sent again may stay without a reply.
const resendTimeout = 200 * time.Millisecond

// retransmissionTokenDelay is how long a request may stay unanswered before its caller gets a retransmission token. Without
// the token, each retransmission could reach another balancer and run again there. The delay is below the first retransmission
// interval of callers (200 ms) minus its jitter, and above the duration of most requests, which then need no token.
const retransmissionTokenDelay = 100 * time.Millisecond

// answeredRetention is how long an answered call stays in the table, so that this balancer does not run a late
// retransmission again.
const answeredRetention = 2 * time.Second

// maxTried bounds the number of backend servers that are tried for one feed or request.
const maxTried = 4

// handleNewWork admits and places a feed's open or an idempotent request. For a retransmission it sends the attempt again.
func (f *Forwarder) handleNewWork(now time.Time, o origin, d *framer.Datagram, out *Actions) {
	p, keyTaken := f.findPending(d.CallID, o.caller)
	if p != nil {
		if !p.isHeld() {
			// The backend server recognizes the attempt id and repeats its last reply.
			f.sendAttempt(now, p, out)
		}
		return
	}
	if keyTaken || len(f.pending) >= f.pendingCapacity {
		f.count(countPendingFull)
		f.refuse(o, d, framer.CauseRateLimited, out)
		return
	}
	if now.Before(f.placementPausedUntil) {
		f.count(countHeld)
		return
	}
	deadline := now.Add(f.requestTimeout(o.service))
	if !d.Deadline.IsZero() && d.Deadline.Before(deadline) {
		deadline = d.Deadline
	}
	if !now.Before(deadline) {
		f.refuse(o, d, framer.CauseExpired, out)
		return
	}
	p = &pendingCall{
		service: f.servicesByID[o.service.ID], caller: compactor.Pack(o.caller), callID: d.CallID, seq: d.Seq, payload: string(d.Payload),
		kind: scheduler.WorkRequest, deadline: deadline.UnixNano(),
	}
	if d.Kind == framer.KindOpenFeed {
		p.kind = scheduler.WorkFeed
	} else {
		f.count(countRequests)
	}
	f.releaseHeld(now, o.service.Name, out) // before newer requests
	server, err := f.placer.Place(now, f.workOf(p))
	held := scheduler.IsErrShed(err) && f.holdPending(now, p)
	if err != nil && !held {
		f.refuse(o, d, refusalCause(err), out)
		return
	}
	f.pending[f.pendingKey(&p.callID, &p.caller)] = p
	heap.Push(&f.dueQueue, p)
	if held {
		f.scheduleAfter(now, p, retransmissionTokenDelay)
		return
	}
	f.startAttempt(now, p, server, out)
}

// refusalCause returns the cause of a refusal for an error of the placer.
func refusalCause(err error) framer.Cause {
	if scheduler.IsErrNoBackendServer(err) {
		return framer.CauseNoBackendServer
	}
	return framer.CauseShed
}

// sendRetransmissionToken sends the caller a gate token with which retransmissions of its request reach this balancer. The
// token's flow id is 0, which no reservation has.
func (f *Forwarder) sendRetransmissionToken(now time.Time, p *pendingCall, out *Actions) {
	o := p.origin()
	token, err := f.sealer.Seal(nil, sealer.Token{
		Kind: sealer.KindGate, ServiceID: o.service.ID, DocumentID: settings.RootDocumentID, Target: f.self, Incarnation: f.incarnation,
		Revision: f.rootRevision, IssuedAt: now,
	}, o.service.Address)
	if err != nil {
		return
	}
	p.tokenSent = true
	out.addDatagram(o.service.Address, o.caller, &framer.Datagram{
		Kind: framer.KindReserved, ServiceID: o.service.ID, CallID: p.callID, Token: token,
	})
}

// handleRetransmission handles a datagram with a retransmission token, at the balancer that issued the token. A request that
// is no longer pending here is new work.
func (f *Forwarder) handleRetransmission(now time.Time, o origin, d *framer.Datagram, out *Actions) {
	p, _ := f.findPending(d.CallID, o.caller)
	switch d.Kind {
	case framer.KindRequest:
		if p != nil && !p.answered {
			f.sendRetransmissionToken(now, p, out)
		}
		f.handleNewWork(now, o, d, out)
	case framer.KindCancel:
		if p != nil {
			f.cancelPending(now, p, out)
		}
	default:
		f.count(countBadToken)
	}
}

// extendTimeout starts another attemptTimeout for an attempt that is queued or running at the backend server.
func (f *Forwarder) extendTimeout(now time.Time, p *pendingCall) {
	if p == nil || p.answered {
		return
	}
	p.resent = false
	f.scheduleAfter(now, p, attemptTimeout)
}

// startAttempt starts a new attempt of a pending call at a backend server. An attempt id is never 0, which stands for no
// attempt; a flow id has 56 bits, as tokens have.
func (f *Forwarder) startAttempt(now time.Time, p *pendingCall, server netip.AddrPort, out *Actions) {
	p.attemptID, p.flowID = f.random.Uint64()|1, f.random.Uint64()>>8
	p.server, p.sentAt, p.resent = compactor.Pack(server), f.monotonic(now), false
	wait := attemptTimeout
	if p.kind == scheduler.WorkRequest && !p.tokenSent {
		wait = retransmissionTokenDelay
	}
	f.scheduleAfter(now, p, wait)
	f.placer.Observe(now, p.observation(scheduler.Sent))
	f.sendAttempt(now, p, out)
}

// scheduleAfter makes a pending call due after the wait, or at its deadline if that comes first.
func (f *Forwarder) scheduleAfter(now time.Time, p *pendingCall, wait time.Duration) {
	f.scheduleAt(p, f.monotonic(now)+min(wait, time.Duration(p.deadline-now.UnixNano())))
}

// scheduleAt makes a pending call due at a time, which is on the clock of monotonic.
func (f *Forwarder) scheduleAt(p *pendingCall, at time.Duration) {
	p.dueAt = at
	heap.Fix(&f.dueQueue, int(p.queueIndex))
}

// sendAttempt sends the current attempt, unless its backend server was removed from the settings or its deadline has passed.
func (f *Forwarder) sendAttempt(now time.Time, p *pendingCall, out *Actions) {
	o, server := p.origin(), p.server.Unpack()
	b, ok := f.view.BackendServerAt(server)
	if !ok || b.Service != o.service.Name || p.isExpired(now) {
		f.count(countLateSend)
		return
	}
	kind, verb, deadline := sealer.KindAnswer, encapsulator.VerbRun, time.Unix(0, p.deadline)
	if p.kind == scheduler.WorkFeed {
		kind, verb, deadline = sealer.KindFeed, encapsulator.VerbOpen, time.Time{}
	}
	token, err := f.sealToken(now, kind, o, server, p.flowID, b.AvailabilityZone)
	if err != nil {
		return
	}
	f.packet = p.newPacket(verb)
	f.payloadBuffer = append(f.payloadBuffer[:0], p.payload...)
	f.packet.Deadline, f.packet.Token, f.packet.Seq, f.packet.Payload = deadline, token, p.seq, f.payloadBuffer
	out.addPacket(server, f.encoder, &f.packet)
}

// newPacket returns a packet about the current attempt.
func (p *pendingCall) newPacket(verb encapsulator.Verb) encapsulator.Packet {
	return encapsulator.Packet{
		Caller: p.caller.Unpack(), Service: p.service.Address, ServiceName: p.service.Name, CallID: p.callID, Verb: verb,
		AttemptID: p.attemptID,
	}
}

// sealToken returns a token for a backend server. The token names the settings document that defines the place.
func (f *Forwarder) sealToken(now time.Time, kind sealer.Kind, o origin, target netip.AddrPort, flowID uint64, place string) ([]byte, error) {
	document := f.view.DocumentFor(place)
	return f.sealer.Seal(nil, sealer.Token{
		Kind: kind, ServiceID: o.service.ID, DocumentID: document.ID, Target: target,
		Incarnation: f.incarnations[target], Revision: document.Revision, IssuedAt: now, FlowID: flowID,
	}, o.service.Address)
}

// removePending removes a pending call from the table and the queue.
func (f *Forwarder) removePending(p *pendingCall) {
	p.heldAt = 0
	delete(f.pending, f.pendingKey(&p.callID, &p.caller))
	if i := int(p.queueIndex); i >= 0 && i < len(f.dueQueue) && f.dueQueue[i] == p {
		heap.Remove(&f.dueQueue, i)
	}
}

// retry starts an attempt of refused work at another backend server. If no retry is possible, a request waits if all that were tried
// are full; other work is refused with the cause.
func (f *Forwarder) retry(now time.Time, p *pendingCall, cause framer.Cause, out *Actions) {
	if now.Before(f.placementPausedUntil) {
		// The caller's retransmission is placed after the pause, when the view is known to be current.
		f.count(countHeld)
		f.removePending(p)
		return
	}
	if server, ok := f.selectRetryTarget(now, p); ok {
		f.count(countRetries)
		f.startAttempt(now, p, server, out)
		return
	}
	if cause == framer.CauseShed && !p.isExpired(now) && f.holdPending(now, p) {
		f.scheduleAfter(now, p, retransmissionTokenDelay)
		return
	}
	f.refusePending(p, cause, out)
}

// selectRetryTarget returns a backend server for a retry. It returns false if the deadline, the retry budget, maxTried or a
// pause of placement does not allow a retry.
func (f *Forwarder) selectRetryTarget(now time.Time, p *pendingCall) (netip.AddrPort, bool) {
	if p.markTried() >= maxTried || p.isExpired(now) || now.Before(f.placementPausedUntil) {
		return netip.AddrPort{}, false
	}
	server, err := f.placer.Retry(now, f.workOf(p))
	return server, err == nil
}

// refusePending sends the caller a refusal and removes the pending call.
func (f *Forwarder) refusePending(p *pendingCall, cause framer.Cause, out *Actions) {
	f.countRefusal(cause)
	f.sendReply(p.origin(), p.callID, framer.KindRefused, cause, out)
	f.removePending(p)
}

// cancelPending cancels the current attempt at the backend server and removes the pending call.
func (f *Forwarder) cancelPending(now time.Time, p *pendingCall, out *Actions) {
	if p.isHeld() {
		f.removePending(p)
		return
	}
	if !p.answered {
		f.placer.Observe(now, p.observation(scheduler.Canceled))
	}
	verb := encapsulator.VerbCancel
	if p.kind == scheduler.WorkFeed {
		verb = encapsulator.VerbClose
	}
	f.packet = p.newPacket(verb)
	out.addPacket(p.server.Unpack(), f.encoder, &f.packet)
	f.removePending(p)
}

// Tick handles all that is due. It must be called at least every 50 ms.
func (f *Forwarder) Tick(now time.Time, out *Actions) {
	if f.view == nil {
		return
	}
	f.expireDraining(now)
	for len(f.dueQueue) > 0 && f.dueQueue[0].dueAt <= f.monotonic(now) {
		f.handleDue(now, f.dueQueue[0], out)
	}
	f.tickGate(now, out)
	f.releaseAllHeld(now, out)
}

// handleDue handles a pending call that is due: it removes an answered call, sends the retransmission token, sends the attempt
// again, refuses the call at its deadline or retries it on another backend server.
func (f *Forwarder) handleDue(now time.Time, p *pendingCall, out *Actions) {
	if p.answered {
		f.removePending(p)
		return
	}
	if p.isHeld() {
		f.handleDueHeld(now, p, out)
		return
	}
	if p.kind == scheduler.WorkRequest && !p.tokenSent && !p.isExpired(now) {
		f.sendRetransmissionToken(now, p, out)
		f.scheduleAfter(now, p, p.sentAt+attemptTimeout-f.monotonic(now))
		return
	}
	if !p.resent && !p.isExpired(now) {
		p.resent = true
		f.sendAttempt(now, p, out)
		f.scheduleAfter(now, p, resendTimeout)
		return
	}
	if p.isExpired(now) {
		f.timeOutAttempt(now, p, out)
		f.refusePending(p, framer.CauseExpired, out)
		return
	}
	server, ok := f.selectRetryTarget(now, p)
	if !ok {
		// Without another backend server, a longer wait is better than a refusal, because the work may only be queued.
		p.resent = false
		f.scheduleAfter(now, p, attemptTimeout)
		return
	}
	f.timeOutAttempt(now, p, out)
	f.count(countRetries)
	f.startAttempt(now, p, server, out)
}

// timeOutAttempt gives up the current attempt. The attempt of a request is canceled at the backend server, because its
// answer is no longer needed.
func (f *Forwarder) timeOutAttempt(now time.Time, p *pendingCall, out *Actions) {
	f.count(countTimedOut)
	o := p.observation(scheduler.TimedOut)
	o.Latency = f.monotonic(now) - p.sentAt
	f.placer.Observe(now, o)
	if p.kind == scheduler.WorkRequest {
		f.cancelAttempt(p, out)
	}
}

// cancelAttempt asks the backend server to cancel the current attempt.
func (f *Forwarder) cancelAttempt(p *pendingCall, out *Actions) {
	f.packet = p.newPacket(encapsulator.VerbCancel)
	out.addPacket(p.server.Unpack(), f.encoder, &f.packet)
}

// hasUnansweredCalls reports whether a pending call waits for a reply of a backend server.
func (f *Forwarder) hasUnansweredCalls() bool {
	for _, p := range f.dueQueue {
		if !p.answered {
			return true
		}
	}
	return false
}
