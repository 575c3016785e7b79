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

// HandleBackendServer decides about a datagram that came from a backend server. It is relayed only when its source is
// a backend server of the service that the datagram names, so that no server can speak for another service.
func (f *Forwarder) HandleBackendServer(now time.Time, from netip.AddrPort, datagram []byte, out *Actions) {
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
		f.noteIncarnation(from, r.Incarnation)
	}
	f.observeLoad(now, b, r)
	p := f.attemptOf(r, from)
	f.handleReply(now, reply{origin: origin{caller: r.Caller, service: s}, server: b, packet: *r}, p, out)
}

// attemptOf returns the entry whose current attempt a reply is about, or nil.
func (f *Forwarder) attemptOf(r *encapsulator.Packet, from netip.AddrPort) *pending {
	if r.AttemptID == 0 {
		return nil
	}
	p, _ := f.find(r.CallID, r.Caller)
	if p == nil || p.attempt != r.AttemptID || p.server != compactor.Pack(from) {
		return nil
	}
	return p
}

// reply is a checked reply of a backend server.
type reply struct {
	origin origin
	server settings.BackendServer
	packet encapsulator.Packet
}

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

func (f *Forwarder) handleReply(now time.Time, r reply, p *pending, out *Actions) {
	if r.packet.Verb == encapsulator.VerbRefused && framer.Cause(r.packet.Cause) == framer.CauseDraining {
		f.noteDraining(now, r.server.Address)
	}
	if p == nil && f.handleGateReply(now, r, out) {
		return
	}
	switch r.packet.Verb {
	case encapsulator.VerbAccepted:
		if p != nil && p.kind != scheduler.WorkFeed {
			f.extend(now, p) // the attempt waits for a slot
			return
		}
		f.settle(now, p, scheduler.FeedOpened, countOpened)
		f.relay(r, framer.KindOpened, out)
	case encapsulator.VerbReading:
		f.relay(r, framer.KindReading, out)
	case encapsulator.VerbAnswer:
		f.settle(now, p, scheduler.Answered, countAnswered)
		f.relay(r, framer.KindAnswer, out)
	case encapsulator.VerbEnded:
		f.count(countEnded)
		f.relay(r, framer.KindEnded, out)
	case encapsulator.VerbRefused:
		f.handleRefusal(now, r, p, out)
	case encapsulator.VerbRunning:
		f.extend(now, p)
	case encapsulator.VerbCanceled:
		// Only a gate needs this; an entry of this balancer was dropped when its caller gave up.
	default:
		f.count(countMalformed)
	}
}

// settle ends the wait for a backend server. The entry stays for a short time to recognize late copies.
func (f *Forwarder) settle(now time.Time, p *pending, kind scheduler.ObservationKind, counter int) {
	if p == nil || p.answered {
		return
	}
	o := p.observation(kind)
	o.Latency = f.clock(now) - p.sent
	f.placer.Observe(now, o)
	f.count(counter)
	p.answered = true
	f.wake(p, f.clock(now)+answeredHold)
}

// relay passes a reply to its caller without any state of the flow.
func (f *Forwarder) relay(r reply, kind framer.Kind, out *Actions) {
	f.count(countRelayed)
	d := framer.Datagram{
		Kind: kind, ServiceID: r.origin.service.ID, CallID: r.packet.CallID, Seq: r.packet.Seq, PartCount: r.packet.PartCount,
		Cause: framer.Cause(r.packet.Cause), Payload: r.packet.Payload,
	}
	if kind == framer.KindOpened || kind == framer.KindAnswer {
		d.Token = r.packet.Token
	}
	out.datagram(r.origin.service.Address, r.origin.caller, &d)
}

// handleRefusal tries refused work elsewhere. A refusal that belongs to no open attempt is late and changes nothing.
func (f *Forwarder) handleRefusal(now time.Time, r reply, p *pending, out *Actions) {
	cause := framer.Cause(r.packet.Cause)
	if p == nil || p.answered {
		return
	}
	o := p.observation(scheduler.Refused)
	o.Cause = cause
	f.placer.Observe(now, o)
	f.retry(now, p, cause, out)
}
