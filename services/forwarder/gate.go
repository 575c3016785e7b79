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

// gateAttempt is an attempt of a non-idempotent request. The attempt was reported to the placer as Sent and has no outcome yet.
type gateAttempt struct {
	service string
	server  netip.AddrPort
	sentAt  time.Time
	heldAt  time.Time // when the request first waited for a backend server; zero if it never did
}

// handleReserve issues a gate token, which makes this process the gate of a non-idempotent request.
func (f *Forwarder) handleReserve(now time.Time, o origin, d *framer.Datagram, out *Actions) {
	if now.Before(f.placementPausedUntil) {
		f.count(countHeld) // the caller's retransmission reaches another balancer, or this one after the pause
		return
	}
	a := f.gate.Reserve(now)
	if a.Kind != gatekeeper.GrantReservation {
		f.refuse(o, d, a.Cause, out)
		return
	}
	token, err := f.sealer.Seal(nil, sealer.Token{
		Kind: sealer.KindGate, ServiceID: o.service.ID, DocumentID: settings.RootDocumentID, Target: f.self, Incarnation: f.incarnation,
		Revision: f.rootRevision, IssuedAt: a.IssuedAt, FlowID: a.FlowID,
	}, o.service.Address)
	if err != nil {
		return
	}
	f.count(countReserved)
	out.addDatagram(o.service.Address, o.caller, &framer.Datagram{
		Kind: framer.KindReserved, ServiceID: o.service.ID, CallID: d.CallID, Token: token,
	})
}

// HandleForwardedDatagram handles a caller datagram that another balancer forwarded, because its token names this balancer.
func (f *Forwarder) HandleForwardedDatagram(now time.Time, caller, service netip.AddrPort, datagram []byte, out *Actions) {
	f.forwardedByPeer = true
	defer func() { f.forwardedByPeer = false }()
	f.HandleCallerDatagram(now, caller, service, datagram, out)
}

// handleGateToken passes a datagram with a gate token to the gate of this process, or forwards it to the balancer that the
// token names. A datagram that was forwarded is not forwarded again, which rules out loops between balancers.
func (f *Forwarder) handleGateToken(
	now time.Time, o origin, d *framer.Datagram, token sealer.Token, datagram []byte, out *Actions,
) {
	// A flow id of 0 marks a retransmission token.
	if token.FlowID == 0 && (f.forwardedByPeer || token.Target == f.self) {
		f.handleRetransmission(now, o, d, out)
		return
	}
	if token.Target != f.self {
		if f.forwardedByPeer {
			f.count(countGateLost)
			f.sendReply(o, d.CallID, framer.KindOutcomeUnknown, framer.CauseGateLost, out)
			return
		}
		f.count(countGateForwarded)
		out.addForward(token.Target, o.caller, o.service.Address, datagram)
		return
	}
	r := gatekeeper.Request{Caller: o.caller, Service: o.service.Address, ServiceID: o.service.ID, CallID: d.CallID}
	switch d.Kind {
	case framer.KindExecute:
		if f.defersExecute(now, token, d) {
			f.count(countHeld)
			return
		}
		f.count(countExecuted)
		execution := gatekeeper.Execution{Token: token, Request: r, Deadline: d.Deadline, Payload: d.Payload}
		f.applyGateAction(now, f.gate.Execute(now, execution), nil, out)
	case framer.KindFetch:
		f.applyGateAction(now, f.gate.Fetch(now, token, r), d.Payload, out)
	case framer.KindCancel:
		f.applyGateAction(now, f.gate.Cancel(now, token, r), nil, out)
	default:
		f.count(countBadToken)
	}
}

// retransmissionMargin is the minimum time between the end of a pause of placement and the deadline of an execute datagram
// that is dropped during the pause. If the retransmission arrives too late, the caller gets the outcome unknown, which is less
// specific than the outcome not-run that the gate gives at once.
const retransmissionMargin = time.Second

// defersExecute reports whether an execute datagram is dropped because placement is paused and the caller's retransmission
// arrives in time. Otherwise the gate would consume the reservation and give the outcome not-run.
func (f *Forwarder) defersExecute(now time.Time, token sealer.Token, d *framer.Datagram) bool {
	inTime := d.Deadline.IsZero() || d.Deadline.Sub(f.placementPausedUntil) >= retransmissionMargin
	return now.Before(f.placementPausedUntil) && inTime && f.gate.IsUnused(token)
}

// applyGateAction executes an action of the gate. The bitmap names the parts of the answer to fetch; an empty one means all.
func (f *Forwarder) applyGateAction(now time.Time, a gatekeeper.Action, bitmap []byte, out *Actions) {
	for a.Kind == gatekeeper.SendAttempt {
		a = f.placeGateAttempt(now, a, out)
	}
	switch a.Kind {
	case gatekeeper.ResendAttempt:
		f.resendGateAttempt(now, a, out)
	case gatekeeper.SendFetch, gatekeeper.RepeatAnswerFetch:
		f.sendGatePacket(now, a, encapsulator.VerbFetch, bitmap, out)
	case gatekeeper.SendCancel:
		f.sendGatePacket(now, a, encapsulator.VerbCancel, nil, out)
	case gatekeeper.ReplyNotRun:
		f.count(countNotRun)
		f.replyToCaller(now, a, framer.KindNotRun, out)
	case gatekeeper.ReplyUnknown:
		f.count(countUnknown)
		f.replyToCaller(now, a, framer.KindOutcomeUnknown, out)
	}
}

// placeGateAttempt places and sends an attempt of the gate, makes it wait, or reports to the gate that no backend server can take it.
// It returns the next action of the gate.
func (f *Forwarder) placeGateAttempt(now time.Time, a gatekeeper.Action, out *Actions) gatekeeper.Action {
	s, ok := f.view.ServiceByID(a.Request.ServiceID)
	if !ok {
		return f.gate.PlacementFailed(now, a.AttemptID, framer.CauseNoBackendServer)
	}
	w := scheduler.Work{
		Service: s.Name, Kind: scheduler.WorkAtMostOnce, CallerGroup: f.view.CallerGroup(a.Request.Caller.Addr()),
		TriedServers: a.ExcludedServers, Deadline: a.Deadline,
	}
	place := f.placer.Place
	if a.AttemptNumber > 1 {
		place = f.placer.Retry
	}
	if now.Before(f.placementPausedUntil) {
		return f.gate.PlacementFailed(now, a.AttemptID, framer.CauseRateLimited)
	}
	server, err := place(now, w)
	if err != nil {
		full := scheduler.IsErrShed(err)
		if a.AttemptNumber > 1 { // backend servers refused earlier attempts
			full = full || scheduler.IsErrRetryBudget(err) || scheduler.IsErrNoBackendServer(err)
		}
		heldAt := f.gateHeldAt
		if heldAt.IsZero() {
			heldAt = now
		}
		if full && f.hold(now, s.Name, heldCall{attempt: a, group: w.CallerGroup, heldAt: heldAt}, a.Deadline) {
			return gatekeeper.Action{}
		}
		return f.gate.PlacementFailed(now, a.AttemptID, refusalCause(err))
	}
	return f.startGateAttempt(now, a, server, f.gateHeldAt, out)
}

// startGateAttempt sends an attempt of the gate to a backend server. It returns the next action of the gate. heldAt is when the
// request first waited, zero if it never did.
func (f *Forwarder) startGateAttempt(
	now time.Time, a gatekeeper.Action, server netip.AddrPort, heldAt time.Time, out *Actions,
) gatekeeper.Action {
	s, ok := f.view.ServiceByID(a.Request.ServiceID)
	if !ok {
		return f.gate.PlacementFailed(now, a.AttemptID, framer.CauseNoBackendServer)
	}
	maySend, next := f.gate.AuthorizeSend(now, a.AttemptID, server, f.incarnations[server])
	if !maySend {
		return next
	}
	f.placer.Observe(now, scheduler.Observation{
		Kind: scheduler.Sent, Service: s.Name, BackendServer: server, WorkKind: scheduler.WorkAtMostOnce,
	})
	f.gateAttempts[a.AttemptID] = gateAttempt{service: s.Name, server: server, sentAt: now, heldAt: heldAt}
	a.BackendServer, a.Incarnation = server, f.incarnations[server]
	f.sendGatePacket(now, a, encapsulator.VerbRun, a.Payload, out)
	return next
}

// resendGateAttempt sends a run datagram again because the first one may have been lost. The attempt is new work for the
// backend server in that case, so it is not sent again while placement is paused or to a leaving or evacuated backend server.
func (f *Forwarder) resendGateAttempt(now time.Time, a gatekeeper.Action, out *Actions) {
	if b, ok := f.view.BackendServerAt(a.BackendServer); !ok || !b.TakesNewWork() || now.Before(f.placementPausedUntil) {
		return
	}
	f.count(countResent)
	f.sendGatePacket(now, a, encapsulator.VerbRun, a.Payload, out)
}

// sendGatePacket sends a packet about an attempt of the gate to the backend server of the attempt.
func (f *Forwarder) sendGatePacket(now time.Time, a gatekeeper.Action, verb encapsulator.Verb, payload []byte, out *Actions) {
	s, ok := f.view.ServiceByID(a.Request.ServiceID)
	b, known := f.view.BackendServerAt(a.BackendServer)
	if !ok || !known || b.Service != s.Name {
		f.count(countLateSend)
		return
	}
	o := origin{caller: a.Request.Caller, service: s}
	token, err := f.sealToken(now, sealer.KindAnswer, o, a.BackendServer, a.FlowID, b.AvailabilityZone)
	if err != nil {
		return
	}
	f.packet = encapsulator.Packet{
		Caller: o.caller, Service: s.Address, ServiceName: s.Name, CallID: a.Request.CallID, Verb: verb, Deadline: a.Deadline,
		Token: token, AttemptID: a.AttemptID, Payload: payload,
	}
	if verb == encapsulator.VerbRun {
		// A restarted backend server refuses an attempt with the incarnation of the earlier process, which may have run it.
		f.packet.Incarnation = a.Incarnation
	}
	out.addPacket(a.BackendServer, f.encoder, &f.packet)
}

// replyToCaller sends the outcome that the gate decided to the caller.
func (f *Forwarder) replyToCaller(now time.Time, a gatekeeper.Action, kind framer.Kind, out *Actions) {
	f.observeGateAttempt(now, a.AttemptID, scheduler.Observation{Kind: scheduler.TimedOut})
	out.addDatagram(a.Request.Service, a.Request.Caller, &framer.Datagram{
		Kind: kind, ServiceID: a.Request.ServiceID, CallID: a.Request.CallID, Cause: a.Cause,
	})
}

// observeGateAttempt reports the outcome of an attempt of the gate to the placer. Only the first outcome is reported.
func (f *Forwarder) observeGateAttempt(now time.Time, attemptID uint64, o scheduler.Observation) {
	a, ok := f.gateAttempts[attemptID]
	if !ok {
		return
	}
	delete(f.gateAttempts, attemptID)
	o.Service, o.BackendServer, o.WorkKind, o.Latency = a.service, a.server, scheduler.WorkAtMostOnce, now.Sub(a.sentAt)
	f.placer.Observe(now, o)
}

// handleGateAttemptReply passes a reply to the gate, because it may belong to one of the gate's attempts. It returns true if
// the gate acted on the reply, which then needs no further handling.
func (f *Forwarder) handleGateAttemptReply(now time.Time, r backendReply, out *Actions) bool {
	p := &r.packet
	if p.AttemptID == 0 {
		return false
	}
	f.gateHeldAt = f.gateAttempts[p.AttemptID].heldAt
	defer func() { f.gateHeldAt = time.Time{} }()
	switch p.Verb {
	case encapsulator.VerbAnswer:
		f.observeGateAttempt(now, p.AttemptID, scheduler.Observation{Kind: scheduler.Answered})
	case encapsulator.VerbRefused:
		f.observeGateAttempt(now, p.AttemptID, scheduler.Observation{Kind: scheduler.Refused, Cause: framer.Cause(p.Cause)})
	case encapsulator.VerbCanceled:
		f.observeGateAttempt(now, p.AttemptID, scheduler.Observation{Kind: scheduler.Canceled})
	case encapsulator.VerbAccepted, encapsulator.VerbRunning:
	default:
		return false
	}
	a := f.gate.HandleReply(now, gatekeeper.Reply{
		AttemptID: p.AttemptID, BackendServer: r.server.Address, Incarnation: p.Incarnation, Verb: p.Verb,
		Cause: framer.Cause(p.Cause),
	})
	f.applyGateAction(now, a, nil, out)
	return a.Kind != gatekeeper.None
}

// tickGate executes the actions of the gate that are due: run datagrams to send again and replies to callers whose deadline
// has passed.
func (f *Forwarder) tickGate(now time.Time, out *Actions) {
	f.gateActions = f.gate.Tick(now, f.gateActions[:0])
	for _, a := range f.gateActions {
		f.applyGateAction(now, a, nil, out)
	}
}
