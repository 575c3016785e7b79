package forwarder

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/modules/sealer"
	"github.com/bluebelldyke/bluebelldyke/services/gatekeeper"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// onceAttempt is an attempt of a non-idempotent request that the scheduler counts as in progress.
type onceAttempt struct {
	service string
	server  netip.AddrPort
	sent    time.Time
}

// handleReserve issues a gate token that names this process.
func (f *Forwarder) handleReserve(now time.Time, o origin, d *framer.Datagram, out *Actions) {
	if now.Before(f.heldUntil) {
		f.count(countHeld) // the caller's retransmission reaches another balancer, or this one after the hold
		return
	}
	a := f.gate.Reserve(now)
	if a.Kind != gatekeeper.GrantReservation {
		f.refuse(o, d, a.Cause, out)
		return
	}
	token, err := f.sealer.Seal(nil, sealer.Token{
		Kind: sealer.KindGate, ServiceID: o.service.ID, DocumentID: settings.RootID, Target: f.self, Incarnation: f.incarnation,
		Revision: f.revision, IssuedAt: a.Issued, FlowID: a.Flow,
	}, o.service.Address)
	if err != nil {
		return
	}
	f.count(countReserved)
	out.datagram(o.service.Address, o.caller, &framer.Datagram{
		Kind: framer.KindReserved, ServiceID: o.service.ID, CallID: d.CallID, Token: token,
	})
}

// HandleForwarded decides about a caller datagram that another balancer handed to this one as the gate of its token.
func (f *Forwarder) HandleForwarded(now time.Time, caller, service netip.AddrPort, datagram []byte, out *Actions) {
	f.forwarded = true
	f.HandleCaller(now, caller, service, datagram, out)
	f.forwarded = false
}

// handleGateToken lets the gate decide, or hands the datagram to the balancer that is the gate. A datagram that was
// handed over once is not handed over again, so that none can circle between balancers.
func (f *Forwarder) handleGateToken(
	now time.Time, o origin, d *framer.Datagram, token sealer.Token, datagram []byte, out *Actions,
) {
	if token.FlowID == 0 && (f.forwarded || token.Target == f.self) {
		f.handleRetransmission(now, o, d, out)
		return
	}
	if token.Target != f.self {
		if f.forwarded {
			f.count(countGateLost)
			f.reply(o, d.CallID, framer.KindOutcomeUnknown, framer.CauseGateLost, out)
			return
		}
		f.count(countGateForwarded)
		out.forward(token.Target, o.caller, o.service.Address, datagram)
		return
	}
	r := gatekeeper.Request{Caller: o.caller, Service: o.service.Address, ServiceID: o.service.ID, Call: d.CallID}
	switch d.Kind {
	case framer.KindExecute:
		if f.holdsExecute(now, token, d) {
			f.count(countHeld)
			return
		}
		f.count(countExecuted)
		x := gatekeeper.Execution{Token: token, Request: r, Deadline: d.Deadline, Payload: d.Payload}
		f.carryOut(now, f.gate.Execute(now, x), nil, out)
	case framer.KindFetch:
		f.carryOut(now, f.gate.Fetch(now, token, r), d.Payload, out)
	case framer.KindCancel:
		f.carryOut(now, f.gate.Cancel(now, token, r), nil, out)
	default:
		f.count(countBadToken)
	}
}

// heldMargin is the least time between the end of a hold and the deadline of an execute that is dropped meanwhile. A
// caller whose retransmission comes too late has unknown as its outcome; not-run tells it more.
const heldMargin = time.Second

// holdsExecute reports whether an execute comes while no new work is placed, and its caller can send it again in time. The
// gate would burn the reservation and say not-run.
func (f *Forwarder) holdsExecute(now time.Time, token sealer.Token, d *framer.Datagram) bool {
	inTime := d.Deadline.IsZero() || d.Deadline.Sub(f.heldUntil) >= heldMargin
	return now.Before(f.heldUntil) && inTime && f.gate.Unused(token)
}

// carryOut does what the gate decided. The bitmap names the parts that a fetch asks for; an empty one means all.
func (f *Forwarder) carryOut(now time.Time, a gatekeeper.Action, bitmap []byte, out *Actions) {
	for a.Kind == gatekeeper.SendAttempt {
		a = f.placeAttempt(now, a, out)
	}
	switch a.Kind {
	case gatekeeper.ResendAttempt:
		f.resendAttempt(now, a, out)
	case gatekeeper.SendFetch, gatekeeper.RepeatAnswerFetch:
		f.sendOnce(now, a, encapsulator.VerbFetch, bitmap, out)
	case gatekeeper.SendCancel:
		f.sendOnce(now, a, encapsulator.VerbCancel, nil, out)
	case gatekeeper.ReplyNotRun:
		f.count(countNotRun)
		f.replyOnce(now, a, framer.KindNotRun, out)
	case gatekeeper.ReplyUnknown:
		f.count(countUnknown)
		f.replyOnce(now, a, framer.KindOutcomeUnknown, out)
	}
}

// placeAttempt sends the attempt to a backend server, or reports to the gate that there is none. It returns what the
// gate decides next.
func (f *Forwarder) placeAttempt(now time.Time, a gatekeeper.Action, out *Actions) gatekeeper.Action {
	s, ok := f.view.ServiceByID(a.Request.ServiceID)
	if !ok {
		return f.gate.NotPlaced(now, a.Attempt, framer.CauseNoBackendServer)
	}
	w := scheduler.Work{
		Service: s.Name, Kind: scheduler.WorkOnce, CallerGroup: f.view.CallerGroup(a.Request.Caller.Addr()),
		Tried: a.Excluded, Deadline: a.Deadline,
	}
	place := f.placer.Place
	if a.Try > 1 {
		place = f.placer.Retry
	}
	if now.Before(f.heldUntil) {
		return f.gate.NotPlaced(now, a.Attempt, framer.CauseRateLimited)
	}
	server, err := place(now, w)
	if err != nil {
		return f.gate.NotPlaced(now, a.Attempt, causeOf(err))
	}
	leave, next := f.gate.Sent(now, a.Attempt, server, f.incarnations[server])
	if !leave {
		return next
	}
	f.placer.Observe(now, scheduler.Observation{
		Kind: scheduler.Sent, Service: s.Name, BackendServer: server, Work: scheduler.WorkOnce,
	})
	f.once[a.Attempt] = onceAttempt{service: s.Name, server: server, sent: now}
	a.BackendServer, a.Incarnation = server, f.incarnations[server]
	f.sendOnce(now, a, encapsulator.VerbRun, a.Payload, out)
	return next
}

// resendAttempt sends a run datagram again that may have been lost. It is new work if the first one was, so it is left
// out while the view may be outdated and for a backend server that leaves.
func (f *Forwarder) resendAttempt(now time.Time, a gatekeeper.Action, out *Actions) {
	if b, ok := f.view.BackendServerAt(a.BackendServer); !ok || b.Leaving || now.Before(f.heldUntil) {
		return
	}
	f.count(countResent)
	f.sendOnce(now, a, encapsulator.VerbRun, a.Payload, out)
}

// sendOnce sends a packet about an attempt of the gate to its backend server.
func (f *Forwarder) sendOnce(now time.Time, a gatekeeper.Action, verb encapsulator.Verb, payload []byte, out *Actions) {
	s, ok := f.view.ServiceByID(a.Request.ServiceID)
	b, known := f.view.BackendServerAt(a.BackendServer)
	if !ok || !known || b.Service != s.Name {
		f.count(countLateSend)
		return
	}
	o := origin{caller: a.Request.Caller, service: s}
	token, err := f.sealToken(now, sealer.KindAnswer, o, a.BackendServer, a.Flow, b.Group)
	if err != nil {
		return
	}
	f.packet = encapsulator.Packet{
		Caller: o.caller, Service: s.Address, ServiceName: s.Name, CallID: a.Request.Call, Verb: verb, Deadline: a.Deadline,
		Token: token, AttemptID: a.Attempt, Payload: payload,
	}
	if verb == encapsulator.VerbRun {
		// A process that replaced this incarnation refuses the attempt, because its predecessor may have run it.
		f.packet.Incarnation = a.Incarnation
	}
	out.encapsulated(a.BackendServer, f.encoder, &f.packet)
}

func (f *Forwarder) replyOnce(now time.Time, a gatekeeper.Action, kind framer.Kind, out *Actions) {
	f.observeOnce(now, a.Attempt, scheduler.Observation{Kind: scheduler.TimedOut})
	out.datagram(a.Request.Service, a.Request.Caller, &framer.Datagram{
		Kind: kind, ServiceID: a.Request.ServiceID, CallID: a.Request.Call, Cause: a.Cause,
	})
}

// observeOnce ends the scheduler's count of an attempt, once.
func (f *Forwarder) observeOnce(now time.Time, attempt uint64, v scheduler.Observation) {
	o, ok := f.once[attempt]
	if !ok {
		return
	}
	delete(f.once, attempt)
	v.Service, v.BackendServer, v.Work, v.Latency = o.service, o.server, scheduler.WorkOnce, now.Sub(o.sent)
	f.placer.Observe(now, v)
}

// handleGateReply tells the gate about a reply to one of its attempts. It returns true when the reply needs no more.
func (f *Forwarder) handleGateReply(now time.Time, r reply, out *Actions) bool {
	p := &r.packet
	if p.AttemptID == 0 {
		return false
	}
	switch p.Verb {
	case encapsulator.VerbAnswer:
		f.observeOnce(now, p.AttemptID, scheduler.Observation{Kind: scheduler.Answered})
	case encapsulator.VerbRefused:
		f.observeOnce(now, p.AttemptID, scheduler.Observation{Kind: scheduler.Refused, Cause: framer.Cause(p.Cause)})
	case encapsulator.VerbCanceled:
		f.observeOnce(now, p.AttemptID, scheduler.Observation{Kind: scheduler.Canceled})
	case encapsulator.VerbAccepted, encapsulator.VerbRunning:
	default:
		return false
	}
	a := f.gate.Reply(now, gatekeeper.Reply{
		Attempt: p.AttemptID, BackendServer: r.server.Address, Incarnation: p.Incarnation, Verb: p.Verb,
		Cause: framer.Cause(p.Cause),
	})
	f.carryOut(now, a, nil, out)
	return a.Kind != gatekeeper.None
}

// tickGate tells callers whose deadline has passed what the gate knows.
func (f *Forwarder) tickGate(now time.Time, out *Actions) {
	f.gateActions = f.gate.Tick(now, f.gateActions[:0])
	for _, a := range f.gateActions {
		f.carryOut(now, a, nil, out)
	}
}
