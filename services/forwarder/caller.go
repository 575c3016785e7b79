package forwarder

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/modules/sealer"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// origin is where a caller datagram came from and the service whose address it reached.
type origin struct {
	caller  netip.AddrPort
	service settings.Service
}

// HandleCaller decides about a datagram that a caller sent to a service address. The datagram may have come directly
// or through another balancer that forwarded it to this gate.
func (f *Forwarder) HandleCaller(now time.Time, caller, service netip.AddrPort, datagram []byte, out *Actions) {
	if f.view == nil {
		f.count(countUnknownAddress)
		return
	}
	d := &f.in
	if err := framer.Parse(datagram, d); err != nil {
		f.count(countMalformed)
		return
	}
	s, ok := f.view.ServiceAt(service)
	if !ok {
		f.count(countUnknownAddress)
		return
	}
	o := origin{caller: caller, service: s}
	if d.ServiceID != s.ID {
		f.handleWrongService(o, d, out)
		return
	}
	switch d.Kind {
	case framer.KindOpenFeed:
		f.handleNew(now, o, d, out)
	case framer.KindRequest:
		if len(d.Token) > 0 {
			f.handleToken(now, o, d, datagram, out)
			return
		}
		f.handleNew(now, o, d, out)
	case framer.KindReserve:
		f.handleReserve(now, o, d, out)
	case framer.KindFeed, framer.KindCloseFeed, framer.KindExecute, framer.KindFetch:
		f.handleToken(now, o, d, datagram, out)
	case framer.KindCancel:
		f.handleCancel(now, o, d, datagram, out)
	default:
		f.count(countMalformed)
	}
}

// handleWrongService refuses a datagram whose caller asked for another service than the one at the address. It drops one
// whose token shows that the address belongs to that service in newer settings.
func (f *Forwarder) handleWrongService(o origin, d *framer.Datagram, out *Actions) {
	f.count(countWrongService)
	if token, err := f.sealer.Open(d.Token, o.service.Address); err == nil && f.newer(&token) {
		f.count(countOlderView)
		f.refresh(&token, out)
		return
	}
	f.countRefusal(framer.CauseWrongService)
	// The reply names the service that the caller asked for; it would not take one of another service as its own.
	out.datagram(o.service.Address, o.caller, &framer.Datagram{
		Kind: framer.KindRefused, ServiceID: d.ServiceID, CallID: d.CallID, Cause: framer.CauseWrongService,
	})
}

// newer reports whether the token comes from a newer revision of the document that holds its target than the view has.
// A document that the view is not made of counts as newer: the own view cannot tell.
func (f *Forwarder) newer(token *sealer.Token) bool {
	if token.DocumentID == settings.RootID {
		return token.Revision > f.revision
	}
	held, ok := f.view.Revision(token.DocumentID)
	return !ok || token.Revision > held
}

// refresh asks for the revision of a newer token. A document that the view is not made of is not asked for.
func (f *Forwarder) refresh(token *sealer.Token, out *Actions) {
	if _, ok := f.view.Revision(token.DocumentID); ok {
		out.refresh(token.DocumentID, token.Revision)
	}
}

// refuse tells the caller that its datagram was refused. Refusals go only to callers of work without a gate token, for
// which they promise nothing.
func (f *Forwarder) refuse(o origin, d *framer.Datagram, cause framer.Cause, out *Actions) {
	f.countRefusal(cause)
	f.reply(o, d.CallID, framer.KindRefused, cause, out)
}

func (f *Forwarder) reply(o origin, call [framer.CallIDSize]byte, kind framer.Kind, cause framer.Cause, out *Actions) {
	out.datagram(o.service.Address, o.caller, &framer.Datagram{Kind: kind, ServiceID: o.service.ID, CallID: call, Cause: cause})
}

// handleToken handles a datagram that carries a token.
func (f *Forwarder) handleToken(now time.Time, o origin, d *framer.Datagram, datagram []byte, out *Actions) {
	token, err := f.sealer.Open(d.Token, o.service.Address)
	if err != nil {
		f.handleBadToken(o, d, err, out)
		return
	}
	if d.Token[0] != f.view.Tree.SealWith {
		f.count(countOldKey)
	}
	if f.newer(&token) {
		f.refresh(&token, out)
	}
	if token.ServiceID != o.service.ID {
		f.handleForeignToken(o, d, token, out)
		return
	}
	switch token.Kind {
	case sealer.KindGate:
		f.handleGateToken(now, o, d, token, datagram, out)
	case sealer.KindFeed:
		f.forwardFeed(now, o, d, token, out)
	case sealer.KindAnswer:
		f.forwardFetch(now, o, d, token, out)
	default:
		f.count(countBadToken)
	}
}

// handleBadToken refuses a token that does not open. A token under an unknown key may come from newer settings, so it
// is dropped and newer settings are asked for.
func (f *Forwarder) handleBadToken(o origin, d *framer.Datagram, err error, out *Actions) {
	if sealer.IsErrUnknownKey(err) {
		f.count(countUnknownKey)
		out.refresh(settings.RootID, f.revision+1)
		return
	}
	f.count(countBadToken)
	f.refuse(o, d, framer.CauseBadToken, out)
}

// handleForeignToken handles a token that was issued at this address for another service. This happens when an address
// moved to another service; the flow cannot go on, because its packets would be meant for the new service.
func (f *Forwarder) handleForeignToken(o origin, d *framer.Datagram, token sealer.Token, out *Actions) {
	if f.newer(&token) {
		f.count(countOlderView)
		return
	}
	f.count(countWrongService)
	f.end(o, d, framer.CauseWrongService, out)
}

func (f *Forwarder) end(o origin, d *framer.Datagram, cause framer.Cause, out *Actions) {
	f.count(countEnded)
	f.reply(o, d.CallID, framer.KindEnded, cause, out)
}

// target returns the backend server of a token. It replies or drops and returns false when there is none.
func (f *Forwarder) target(o origin, d *framer.Datagram, token sealer.Token, out *Actions) (settings.BackendServer, bool) {
	b, ok := f.view.BackendServerAt(token.Target)
	if !ok || b.Service != o.service.Name {
		if f.newer(&token) {
			f.count(countOlderView)
			return b, false
		}
		f.end(o, d, framer.CauseUnknownFlow, out)
		return b, false
	}
	if known := f.incarnations[token.Target]; token.Incarnation != 0 && known > token.Incarnation {
		f.end(o, d, framer.CauseRestarted, out)
		return b, false
	}
	return b, true
}

// forwardFeed forwards a packet of an established feed.
func (f *Forwarder) forwardFeed(now time.Time, o origin, d *framer.Datagram, token sealer.Token, out *Actions) {
	verb := encapsulator.VerbFeed
	kind := scheduler.FeedSeen
	switch d.Kind {
	case framer.KindFeed:
	case framer.KindCloseFeed, framer.KindCancel:
		verb, kind = encapsulator.VerbClose, scheduler.FeedClosed
	default:
		f.count(countBadToken)
		return
	}
	b, ok := f.target(o, d, token, out)
	if !ok {
		return
	}
	f.sendFlow(o, d, b, verb, out)
	f.placer.Observe(now, scheduler.Observation{
		Kind: kind, Service: o.service.Name, BackendServer: b.Address, Work: scheduler.WorkFeed, Flow: token.FlowID,
	})
	if since, ok := f.leaving[b.Address]; ok && verb == encapsulator.VerbFeed {
		f.hintMove(now, o, d, since, token.FlowID, out)
	}
}

// hintMove asks the caller to open the feed elsewhere once the flow's turn within the spread has come.
func (f *Forwarder) hintMove(now time.Time, o origin, d *framer.Datagram, since time.Time, flow uint64, out *Actions) {
	turn := time.Duration(flow%uint64(moveSpread/time.Millisecond)) * time.Millisecond
	if now.Sub(since) < turn {
		return
	}
	f.count(countMoved)
	f.reply(o, d.CallID, framer.KindMove, framer.CauseDraining, out)
}

// forwardFetch forwards a fetch or cancel of an answer to the backend server that holds it.
func (f *Forwarder) forwardFetch(now time.Time, o origin, d *framer.Datagram, token sealer.Token, out *Actions) {
	verb := encapsulator.VerbFetch
	switch d.Kind {
	case framer.KindFetch:
	case framer.KindCancel:
		verb = encapsulator.VerbCancel
	default:
		f.count(countBadToken)
		return
	}
	if now.Sub(token.IssuedAt) > f.tokenLifetime(o.service) {
		f.count(countExpiredToken)
		f.refuse(o, d, framer.CauseExpired, out)
		return
	}
	if b, ok := f.target(o, d, token, out); ok {
		f.sendFlow(o, d, b, verb, out)
	}
}

// sendFlow encapsulates a caller datagram of an established flow.
func (f *Forwarder) sendFlow(o origin, d *framer.Datagram, b settings.BackendServer, verb encapsulator.Verb, out *Actions) {
	f.count(countForwarded)
	f.packet = encapsulator.Packet{
		Caller: o.caller, Service: o.service.Address, ServiceName: o.service.Name, CallID: d.CallID, Verb: verb,
		Deadline: d.Deadline, Token: d.Token, Seq: d.Seq, PartCount: d.PartCount, Payload: d.Payload,
	}
	out.encapsulated(b.Address, f.encoder, &f.packet)
}

func (f *Forwarder) tokenLifetime(s settings.Service) time.Duration {
	if t := f.view.Tunables(s.Name).TokenLifetime; t > 0 {
		return t
	}
	return defaultTokenLifetime
}

func (f *Forwarder) requestTimeout(s settings.Service) time.Duration {
	if t := f.view.TunablesAt(f.zone, s.Name).RequestTimeout; t > 0 {
		return t
	}
	return defaultRequestTimeout
}

// handleCancel passes on that nobody waits any more.
func (f *Forwarder) handleCancel(now time.Time, o origin, d *framer.Datagram, datagram []byte, out *Actions) {
	if len(d.Token) > 0 {
		f.handleToken(now, o, d, datagram, out)
		return
	}
	if p, _ := f.find(d.CallID, o.caller); p != nil {
		f.cancelPending(now, p, out)
	}
}
