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

// origin holds the caller of a datagram and the service at whose address the datagram arrived.
type origin struct {
	caller  netip.AddrPort
	service settings.Service
}

// HandleCallerDatagram handles a datagram that a caller sent to a service address. For a datagram that another balancer
// forwarded to this one, use HandleForwardedDatagram.
func (f *Forwarder) HandleCallerDatagram(now time.Time, caller, service netip.AddrPort, datagram []byte, out *Actions) {
	if f.view == nil {
		f.count(countUnknownAddress)
		return
	}
	d := &f.inbound
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
		f.handleNewWork(now, o, d, out)
	case framer.KindRequest:
		if len(d.Token) > 0 {
			f.handleToken(now, o, d, datagram, out)
			return
		}
		f.handleNewWork(now, o, d, out)
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

// handleWrongService refuses a datagram that names another service than the one at the address. It drops the datagram
// without a reply if its token was issued under newer settings, in which the address may belong to the named service.
func (f *Forwarder) handleWrongService(o origin, d *framer.Datagram, out *Actions) {
	f.count(countWrongService)
	if token, err := f.sealer.Open(d.Token, o.service.Address); err == nil && f.tokenIsNewer(&token) {
		f.count(countOlderView)
		f.requestRefresh(&token, out)
		return
	}
	f.countRefusal(framer.CauseWrongService)
	// The reply names the service that the caller requested, because a caller ignores replies of other services.
	out.addDatagram(o.service.Address, o.caller, &framer.Datagram{
		Kind: framer.KindRefused, ServiceID: d.ServiceID, CallID: d.CallID, Cause: framer.CauseWrongService,
	})
}

// tokenIsNewer reports whether the token was issued under a newer revision than the view has of the document that defines
// the token's target. A token of a document that is not part of the view counts as newer, because there is no revision to
// compare with.
func (f *Forwarder) tokenIsNewer(token *sealer.Token) bool {
	if token.DocumentID == settings.RootDocumentID {
		return token.Revision > f.rootRevision
	}
	revision, ok := f.view.DocumentRevision(token.DocumentID)
	return !ok || token.Revision > revision
}

// requestRefresh requests the revision under which a newer token was issued, unless its document is not part of the view.
func (f *Forwarder) requestRefresh(token *sealer.Token, out *Actions) {
	if _, ok := f.view.DocumentRevision(token.DocumentID); ok {
		out.addRefresh(token.DocumentID, token.Revision)
	}
}

// refuse sends a refusal to the caller. Refusals are sent only for work without a valid gate token; they do not guarantee
// that the work has not run.
func (f *Forwarder) refuse(o origin, d *framer.Datagram, cause framer.Cause, out *Actions) {
	f.countRefusal(cause)
	f.sendReply(o, d.CallID, framer.KindRefused, cause, out)
}

// sendReply sends a datagram without token and payload to the caller.
func (f *Forwarder) sendReply(o origin, callID [framer.CallIDSize]byte, kind framer.Kind, cause framer.Cause, out *Actions) {
	out.addDatagram(o.service.Address, o.caller, &framer.Datagram{Kind: kind, ServiceID: o.service.ID, CallID: callID, Cause: cause})
}

// handleToken handles a datagram that carries a token, by the kind of the token.
func (f *Forwarder) handleToken(now time.Time, o origin, d *framer.Datagram, datagram []byte, out *Actions) {
	token, err := f.sealer.Open(d.Token, o.service.Address)
	if err != nil {
		f.handleBadToken(o, d, err, out)
		return
	}
	if d.Token[0] != f.view.Tree.SealingKeyID {
		f.count(countOldKey)
	}
	if f.tokenIsNewer(&token) {
		f.requestRefresh(&token, out)
	}
	if token.ServiceID != o.service.ID {
		f.handleTokenOfOtherService(o, d, token, out)
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

// handleBadToken refuses a datagram whose token cannot be opened. A token that was sealed with an unknown key may have been
// issued under newer settings, so its datagram is dropped and a newer revision of the settings is requested.
func (f *Forwarder) handleBadToken(o origin, d *framer.Datagram, err error, out *Actions) {
	if sealer.IsErrUnknownKey(err) {
		f.count(countUnknownKey)
		out.addRefresh(settings.RootDocumentID, f.rootRevision+1)
		return
	}
	f.count(countBadToken)
	f.refuse(o, d, framer.CauseBadToken, out)
}

// handleTokenOfOtherService handles a token that was issued at this address for another service. This happens after an
// address was reassigned to another service. The flow ends, because its packets would now reach the new service.
func (f *Forwarder) handleTokenOfOtherService(o origin, d *framer.Datagram, token sealer.Token, out *Actions) {
	if f.tokenIsNewer(&token) {
		f.count(countOlderView)
		return
	}
	f.count(countWrongService)
	f.endFlow(o, d, framer.CauseWrongService, out)
}

// endFlow notifies the caller that its flow has ended.
func (f *Forwarder) endFlow(o origin, d *framer.Datagram, cause framer.Cause, out *Actions) {
	f.count(countEnded)
	f.sendReply(o, d.CallID, framer.KindEnded, cause, out)
}

// lookUpTarget returns the backend server that a token names. If the backend server was removed or restarted, it ends the
// flow and returns false; if the view is older than the token, it returns false without a reply.
func (f *Forwarder) lookUpTarget(o origin, d *framer.Datagram, token sealer.Token, out *Actions) (settings.BackendServer, bool) {
	b, ok := f.view.BackendServerAt(token.Target)
	if !ok || b.Service != o.service.Name {
		if f.tokenIsNewer(&token) {
			f.count(countOlderView)
			return b, false
		}
		f.endFlow(o, d, framer.CauseUnknownFlow, out)
		return b, false
	}
	if known := f.incarnations[token.Target]; token.Incarnation != 0 && known > token.Incarnation {
		f.endFlow(o, d, framer.CauseRestarted, out)
		return b, false
	}
	return b, true
}

// forwardFeed forwards a packet of an established feed to the backend server that its token names.
func (f *Forwarder) forwardFeed(now time.Time, o origin, d *framer.Datagram, token sealer.Token, out *Actions) {
	verb := encapsulator.VerbFeed
	kind := scheduler.FeedPacketSeen
	switch d.Kind {
	case framer.KindFeed:
	case framer.KindCloseFeed, framer.KindCancel:
		verb, kind = encapsulator.VerbClose, scheduler.FeedClosed
	default:
		f.count(countBadToken)
		return
	}
	b, ok := f.lookUpTarget(o, d, token, out)
	if !ok {
		return
	}
	f.forwardDatagram(o, d, b, verb, out)
	f.placer.Observe(now, scheduler.Observation{
		Kind: kind, Service: o.service.Name, BackendServer: b.Address, WorkKind: scheduler.WorkFeed, FlowID: token.FlowID,
	})
	if leavingSince, ok := f.leavingSince[b.Address]; ok && verb == encapsulator.VerbFeed {
		f.sendMove(now, o, d, leavingSince, token.FlowID, f.moveSpreadOf(b), out)
	}
}

// sendMove asks the caller of a feed on a leaving backend server to open the feed again, once the delay of the flow has
// passed. The flow id determines the delay, so that the move datagrams are evenly spread.
func (f *Forwarder) sendMove(now time.Time, o origin, d *framer.Datagram, leavingSince time.Time, flowID uint64, spread time.Duration, out *Actions) {
	delay := time.Duration(flowID%uint64(spread/time.Millisecond)) * time.Millisecond
	if now.Sub(leavingSince) < delay {
		return
	}
	f.count(countMoved)
	f.sendReply(o, d.CallID, framer.KindMove, framer.CauseDraining, out)
}

// forwardFetch forwards the fetch or cancel of an answer to the backend server that its token names.
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
	if b, ok := f.lookUpTarget(o, d, token, out); ok {
		f.forwardDatagram(o, d, b, verb, out)
	}
}

// forwardDatagram sends a caller datagram to a backend server under the verb, with the caller's token.
func (f *Forwarder) forwardDatagram(o origin, d *framer.Datagram, b settings.BackendServer, verb encapsulator.Verb, out *Actions) {
	f.count(countForwarded)
	f.packet = encapsulator.Packet{
		Caller: o.caller, Service: o.service.Address, ServiceName: o.service.Name, CallID: d.CallID, Verb: verb,
		Deadline: d.Deadline, Token: d.Token, Seq: d.Seq, PartCount: d.PartCount, Payload: d.Payload,
	}
	out.addPacket(b.Address, f.encoder, &f.packet)
}

// tokenLifetime returns how long the answer tokens of a service are valid.
func (f *Forwarder) tokenLifetime(s settings.Service) time.Duration {
	if t := f.view.Tunables(s.Name).TokenLifetime; t > 0 {
		return t
	}
	return defaultTokenLifetime
}

// requestTimeout returns the longest time that a feed's open or a request may take, whatever deadline its caller sets.
func (f *Forwarder) requestTimeout(s settings.Service) time.Duration {
	if t := f.view.TunablesAt(f.zone, s.Name).RequestTimeout; t > 0 {
		return t
	}
	return defaultRequestTimeout
}

// handleCancel handles a datagram by which the caller cancels its work.
func (f *Forwarder) handleCancel(now time.Time, o origin, d *framer.Datagram, datagram []byte, out *Actions) {
	if len(d.Token) > 0 {
		f.handleToken(now, o, d, datagram, out)
		return
	}
	if p, _ := f.findPending(d.CallID, o.caller); p != nil {
		f.cancelPending(now, p, out)
	}
}
