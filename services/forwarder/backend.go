package forwarder

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/modules/compactor"
	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// HandleBackendDatagram handles a datagram from a backend server. It accepts the datagram only if the source address is a
// backend server of the service that the datagram names, so that no server can reply on behalf of another service.
func (f *Forwarder) HandleBackendDatagram(now time.Time, from netip.AddrPort, datagram []byte, out *Actions) {
	if f.view == nil {
		return
	}
	r := &f.packet
	if err := f.decoder.Parse(datagram, r); err != nil {
		f.count(countMalformed)
		return
	}
	s, ok := f.view.ServiceAt(r.Service)
	b, known := f.view.BackendServerAt(from)
	if !ok || !known || s.Name != r.ServiceName || b.Service != s.Name {
		f.count(countForeignReply)
		return
	}
	if r.Incarnation != 0 {
		f.recordIncarnation(from, r.Incarnation)
	}
	f.observeLoad(now, b, r)
	p := f.findAttempt(r, from)
	if q := f.holds[s.Name]; q != nil {
		q.recordVerb(now, r)
	}
	f.handleReply(now, backendReply{origin: origin{caller: r.Caller, service: s}, server: b, packet: *r}, p, out)
	f.releaseHeld(now, s.Name, out)
}

// findAttempt returns the pending call whose current attempt a reply belongs to, or nil.
func (f *Forwarder) findAttempt(r *encapsulator.Packet, from netip.AddrPort) *pendingCall {
	if r.AttemptID == 0 {
		return nil
	}
	p, _ := f.findPending(r.CallID, r.Caller)
	if p == nil || p.attemptID != r.AttemptID || p.server != compactor.Pack(from) {
		return nil
	}
	return p
}

// backendReply is a reply whose source is a backend server of the service that the reply names.
type backendReply struct {
	origin origin
	server settings.BackendServer
	packet encapsulator.Packet
}

// observeLoad passes the load that a backend server reports with a reply to the placer.
func (f *Forwarder) observeLoad(now time.Time, b settings.BackendServer, r *encapsulator.Packet) {
	if !r.HasLoad {
		return
	}
	f.placer.Observe(now, scheduler.Observation{
		Kind: scheduler.LoadReported, Service: b.Service, BackendServer: b.Address, HasLoad: true,
		Load: scheduler.Load{
			Running: int(r.Load.Running), Queued: int(r.Load.Queued), Slots: int(r.Load.Slots), Feeds: int(r.Load.Feeds),
		},
	})
}

// handleReply handles a reply of a backend server. p is the pending call whose current attempt it belongs to, or nil.
func (f *Forwarder) handleReply(now time.Time, r backendReply, p *pendingCall, out *Actions) {
	if r.packet.Verb == encapsulator.VerbRefused && framer.Cause(r.packet.Cause) == framer.CauseDraining {
		f.recordDraining(now, r.server.Address)
	}
	if p == nil && f.handleGateAttemptReply(now, r, out) {
		return
	}
	switch r.packet.Verb {
	case encapsulator.VerbAccepted:
		if p != nil && p.kind != scheduler.WorkFeed {
			f.extendTimeout(now, p) // the attempt is queued at the backend server until a slot is free
			return
		}
		f.completeAttempt(now, p, scheduler.FeedOpened, countOpened)
		f.relayReply(r, framer.KindOpened, out)
	case encapsulator.VerbReading:
		f.relayReply(r, framer.KindReading, out)
	case encapsulator.VerbAnswer:
		f.completeAttempt(now, p, scheduler.Answered, countAnswered)
		f.relayReply(r, framer.KindAnswer, out)
	case encapsulator.VerbEnded:
		f.count(countEnded)
		f.relayReply(r, framer.KindEnded, out)
	case encapsulator.VerbRefused:
		f.handleRefusal(now, r, p, out)
	case encapsulator.VerbRunning:
		f.extendTimeout(now, p)
	case encapsulator.VerbCanceled:
	// Only the gate uses this reply. A pending call was removed when its caller canceled it.
	default:
		f.count(countMalformed)
	}
}

// completeAttempt records that the backend server accepted or answered the current attempt. The pending call stays for
// answeredRetention, so that late retransmissions are recognized.
func (f *Forwarder) completeAttempt(now time.Time, p *pendingCall, kind scheduler.ObservationKind, counter int) {
	if p == nil || p.answered {
		return
	}
	o := p.observation(kind)
	o.Latency = f.monotonic(now) - p.sentAt
	f.placer.Observe(now, o)
	f.count(counter)
	p.answered = true
	f.scheduleAt(p, f.monotonic(now)+answeredRetention)
}

// relayReply sends a reply to its caller. It needs no state of the flow, because the reply names the caller.
func (f *Forwarder) relayReply(r backendReply, kind framer.Kind, out *Actions) {
	f.count(countRelayed)
	d := framer.Datagram{
		Kind: kind, ServiceID: r.origin.service.ID, CallID: r.packet.CallID, Seq: r.packet.Seq, PartCount: r.packet.PartCount,
		Cause: framer.Cause(r.packet.Cause), Payload: r.packet.Payload,
	}
	if kind == framer.KindOpened || kind == framer.KindAnswer {
		d.Token = r.packet.Token
	}
	out.addDatagram(r.origin.service.Address, r.origin.caller, &d)
}

// handleRefusal retries refused work on another backend server. A refusal that does not belong to a current attempt is late
// and is ignored.
func (f *Forwarder) handleRefusal(now time.Time, r backendReply, p *pendingCall, out *Actions) {
	cause := framer.Cause(r.packet.Cause)
	if p == nil || p.answered {
		return
	}
	o := p.observation(scheduler.Refused)
	o.Cause = cause
	f.placer.Observe(now, o)
	f.retry(now, p, cause, out)
}
