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

// attemptTimeout is how long an attempt may stay without a reply before it is sent again under the same attempt id. A
// backend server that runs it says so, which allows another attemptTimeout; one that stays silent for repeatTimeout more
// loses the work to another backend server. Work that takes longer than a fixed time-out is therefore never given up.
const attemptTimeout = 400 * time.Millisecond

// repeatTimeout is how long the reply to an attempt that was sent again may take.
const repeatTimeout = 200 * time.Millisecond

// progressDelay is how long a request may stay unanswered before its caller gets a token that leads its retransmissions
// here. Without it each retransmission reaches another balancer and is run again. It is below the first retransmission
// interval of callers (200 ms) less its jitter, and above the time of most requests, which need no such datagram.
const progressDelay = 100 * time.Millisecond

// answeredHold is how long an answered request stays known, so that a late copy of its datagram is not run again here.
const answeredHold = 2 * time.Second

// maxTried bounds how many backend servers are tried for one flow or request.
const maxTried = 4

// handleNew admits and places a feed's open or an idempotent request.
func (f *Forwarder) handleNew(now time.Time, o origin, d *framer.Datagram, out *Actions) {
	p, taken := f.find(d.CallID, o.caller)
	if p != nil {
		// The backend server recognizes the attempt id and repeats what it said.
		f.sendAttempt(now, p, out)
		return
	}
	if taken || len(f.pending) >= f.capacity {
		f.count(countPendingFull)
		f.refuse(o, d, framer.CauseRateLimited, out)
		return
	}
	if now.Before(f.heldUntil) {
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
	p = &pending{
		service: f.services[o.service.ID], caller: compactor.Pack(o.caller), call: d.CallID, seq: d.Seq, payload: string(d.Payload),
		kind: scheduler.WorkRequest, deadline: deadline.UnixNano(),
	}
	if d.Kind == framer.KindOpenFeed {
		p.kind = scheduler.WorkFeed
	} else {
		f.count(countRequests)
	}
	server, err := f.placer.Place(now, f.work(p))
	if err != nil {
		f.refuse(o, d, causeOf(err), out)
		return
	}
	f.pending[f.key(&p.call, &p.caller)] = p
	heap.Push(&f.expiry, p)
	f.send(now, p, server, out)
}

func causeOf(err error) framer.Cause {
	if scheduler.IsErrNoBackendServer(err) {
		return framer.CauseNoBackendServer
	}
	return framer.CauseShed
}

// notify gives the caller a token that leads retransmissions of its request to this balancer. Its flow id is 0, which no
// reservation has.
func (f *Forwarder) notify(now time.Time, p *pending, out *Actions) {
	o := p.origin()
	token, err := f.sealer.Seal(nil, sealer.Token{
		Kind: sealer.KindGate, ServiceID: o.service.ID, DocumentID: settings.RootID, Target: f.self, Incarnation: f.incarnation,
		Revision: f.revision, IssuedAt: now,
	}, o.service.Address)
	if err != nil {
		return
	}
	p.notified = true
	out.datagram(o.service.Address, o.caller, &framer.Datagram{
		Kind: framer.KindReserved, ServiceID: o.service.ID, CallID: p.call, Token: token,
	})
}

// handleRetransmission handles a datagram of an idempotent request that came back to the balancer that holds it. A
// request that is no longer held here is new work.
func (f *Forwarder) handleRetransmission(now time.Time, o origin, d *framer.Datagram, out *Actions) {
	p, _ := f.find(d.CallID, o.caller)
	switch d.Kind {
	case framer.KindRequest:
		if p != nil && !p.answered {
			f.notify(now, p, out)
		}
		f.handleNew(now, o, d, out)
	case framer.KindCancel:
		if p != nil {
			f.cancelPending(now, p, out)
		}
	default:
		f.count(countBadToken)
	}
}

// extend gives an attempt that runs more time.
func (f *Forwarder) extend(now time.Time, p *pending) {
	if p == nil || p.answered {
		return
	}
	p.repeated = false
	f.reschedule(now, p, attemptTimeout)
}

// send starts a new attempt at the backend server.
func (f *Forwarder) send(now time.Time, p *pending, server netip.AddrPort, out *Actions) {
	p.attempt, p.flow = f.random.Uint64()|1, f.random.Uint64()>>8
	p.server, p.sent, p.repeated = compactor.Pack(server), f.clock(now), false
	wait := attemptTimeout
	if p.kind == scheduler.WorkRequest && !p.notified {
		wait = progressDelay
	}
	f.reschedule(now, p, wait)
	f.placer.Observe(now, p.observation(scheduler.Sent))
	f.sendAttempt(now, p, out)
}

// reschedule looks at an entry again after the wait, or at its deadline if that comes first.
func (f *Forwarder) reschedule(now time.Time, p *pending, wait time.Duration) {
	f.wake(p, f.clock(now)+min(wait, time.Duration(p.deadline-now.UnixNano())))
}

func (f *Forwarder) wake(p *pending, at time.Duration) {
	p.timeout = at
	heap.Fix(&f.expiry, int(p.index))
}

// sendAttempt sends the entry's current attempt. A target that left the settings meanwhile gets nothing.
func (f *Forwarder) sendAttempt(now time.Time, p *pending, out *Actions) {
	o, server := p.origin(), p.server.Unpack()
	b, ok := f.view.BackendServerAt(server)
	if !ok || b.Service != o.service.Name || p.expired(now) {
		f.count(countLateSend)
		return
	}
	kind, verb, deadline := sealer.KindAnswer, encapsulator.VerbRun, time.Unix(0, p.deadline)
	if p.kind == scheduler.WorkFeed {
		kind, verb, deadline = sealer.KindFeed, encapsulator.VerbOpen, time.Time{}
	}
	token, err := f.sealToken(now, kind, o, server, p.flow, b.AvailabilityZone)
	if err != nil {
		return
	}
	f.packet = p.packet(verb)
	f.payload = append(f.payload[:0], p.payload...)
	f.packet.Deadline, f.packet.Token, f.packet.Seq, f.packet.Payload = deadline, token, p.seq, f.payload
	out.encapsulated(server, f.encoder, &f.packet)
}

// packet returns a packet about the current attempt.
func (p *pending) packet(verb encapsulator.Verb) encapsulator.Packet {
	return encapsulator.Packet{
		Caller: p.caller.Unpack(), Service: p.service.Address, ServiceName: p.service.Name, CallID: p.call, Verb: verb,
		AttemptID: p.attempt,
	}
}

func (f *Forwarder) sealToken(now time.Time, kind sealer.Kind, o origin, target netip.AddrPort, flow uint64, place string) ([]byte, error) {
	document := f.view.DocumentAt(place)
	return f.sealer.Seal(nil, sealer.Token{
		Kind: kind, ServiceID: o.service.ID, DocumentID: document.ID, Target: target,
		Incarnation: f.incarnations[target], Revision: document.Revision, IssuedAt: now, FlowID: flow,
	}, o.service.Address)
}

// drop removes an entry.
func (f *Forwarder) drop(p *pending) {
	delete(f.pending, f.key(&p.call, &p.caller))
	if i := int(p.index); i >= 0 && i < len(f.expiry) && f.expiry[i] == p {
		heap.Remove(&f.expiry, i)
	}
}

// retry sends refused work elsewhere, or refuses it with the cause when no try is left.
func (f *Forwarder) retry(now time.Time, p *pending, cause framer.Cause, out *Actions) {
	if now.Before(f.heldUntil) {
		// The caller's retransmission is placed when the view is confirmed.
		f.count(countHeld)
		f.drop(p)
		return
	}
	if server, ok := f.another(now, p); ok {
		f.count(countRetries)
		f.send(now, p, server, out)
		return
	}
	f.fail(p, cause, out)
}

// another returns a backend server for one more try, if the deadline and the retry budget allow it.
func (f *Forwarder) another(now time.Time, p *pending) (netip.AddrPort, bool) {
	if p.exclude() >= maxTried || p.expired(now) || now.Before(f.heldUntil) {
		return netip.AddrPort{}, false
	}
	server, err := f.placer.Retry(now, f.work(p))
	return server, err == nil
}

func (f *Forwarder) fail(p *pending, cause framer.Cause, out *Actions) {
	f.countRefusal(cause)
	f.reply(p.origin(), p.call, framer.KindRefused, cause, out)
	f.drop(p)
}

func (f *Forwarder) cancelPending(now time.Time, p *pending, out *Actions) {
	if !p.answered {
		f.placer.Observe(now, p.observation(scheduler.Canceled))
	}
	verb := encapsulator.VerbCancel
	if p.kind == scheduler.WorkFeed {
		verb = encapsulator.VerbClose
	}
	f.packet = p.packet(verb)
	out.encapsulated(p.server.Unpack(), f.encoder, &f.packet)
	f.drop(p)
}

// Tick handles entries whose time has come. It is called at least every 50 ms.
func (f *Forwarder) Tick(now time.Time, out *Actions) {
	if f.view == nil {
		return
	}
	f.expireDraining(now)
	for len(f.expiry) > 0 && f.expiry[0].timeout <= f.clock(now) {
		f.expire(now, f.expiry[0], out)
	}
	f.tickGate(now, out)
}

func (f *Forwarder) expire(now time.Time, p *pending, out *Actions) {
	if p.answered {
		f.drop(p)
		return
	}
	if p.kind == scheduler.WorkRequest && !p.notified && !p.expired(now) {
		f.notify(now, p, out)
		f.reschedule(now, p, p.sent+attemptTimeout-f.clock(now))
		return
	}
	if !p.repeated && !p.expired(now) {
		p.repeated = true
		f.sendAttempt(now, p, out)
		f.reschedule(now, p, repeatTimeout)
		return
	}
	if p.expired(now) {
		f.timeOut(now, p, out)
		f.fail(p, framer.CauseExpired, out)
		return
	}
	server, ok := f.another(now, p)
	if !ok {
		// Waiting longer costs less than failing work that may only be queued.
		p.repeated = false
		f.reschedule(now, p, attemptTimeout)
		return
	}
	f.timeOut(now, p, out)
	f.count(countRetries)
	f.send(now, p, server, out)
}

// timeOut gives up the current attempt. Nobody waits for it any more, so it is canceled.
func (f *Forwarder) timeOut(now time.Time, p *pending, out *Actions) {
	f.count(countTimedOut)
	o := p.observation(scheduler.TimedOut)
	o.Latency = f.clock(now) - p.sent
	f.placer.Observe(now, o)
	if p.kind == scheduler.WorkRequest {
		f.cancelAttempt(p, out)
	}
}

func (f *Forwarder) cancelAttempt(p *pending, out *Actions) {
	f.packet = p.packet(encapsulator.VerbCancel)
	out.encapsulated(p.server.Unpack(), f.encoder, &f.packet)
}

// hasUnfinished reports whether an entry still waits for a backend server.
func (f *Forwarder) hasUnfinished() bool {
	for _, p := range f.expiry {
		if !p.answered {
			return true
		}
	}
	return false
}
