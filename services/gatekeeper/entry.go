package gatekeeper

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/compactor"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

// state is the state of a flow id that has been used.
type state uint8

const (
	burnt    state = iota // nothing is sent; the forwarder places the attempt
	sent                  // one attempt is unresolved
	answered              // the backend server answered
	notRun                // nothing ran, and nothing will
	unknown               // the deadline passed while an attempt was unresolved
)

// draft is what further attempts need. It is dropped as soon as no further attempt is possible.
type draft struct {
	payload []byte
	tried   []netip.AddrPort
}

// entry is the state of one flow id. Times are Unix milliseconds. Its size class is 144 bytes.
type entry struct {
	draft       *draft
	flow        uint64
	serviceID   uint64
	deadline    int64
	expires     int64
	sentAt      int64
	incarnation uint64 // of the backend server as sent with the attempt, 0 if unknown
	index       int32  // position in the queue
	call        [framer.CallIDSize]byte
	caller      compactor.Address
	service     compactor.Address
	server      compactor.Address
	state       state
	cause       framer.Cause
	try         uint8
	copies      uint8 // run datagrams of the attempt sent again, counted by intervals that passed
	held        bool  // the backend server reported that it has the attempt
	begun       bool  // the backend server reported that the attempt began
	canceled    bool  // the caller no longer waits
}

// attempt returns the id of the entry's attempt. It contains the flow id, so that a reply finds its entry without a
// second index.
func (e *entry) attempt() uint64 { return e.flow<<8 | uint64(e.try) }

// unresolved reports whether the outcome may still change by an own step of the gate.
func (e *entry) unresolved() bool { return e.state == burnt || e.state == sent }

// Due implements expirer.Item. An entry needs attention when its run datagram is to be sent again, at the deadline while
// it is unresolved, and when it expires.
func (e *entry) Due() int64 {
	switch {
	case e.silent():
		return min(e.nextCopy(), e.deadline, e.expires)
	case e.unresolved():
		return min(e.deadline, e.expires)
	}
	return e.expires
}

// silent reports whether the run datagram may have been lost and can be sent again. Without an incarnation in it, a
// process that replaced the backend server's would run the copy a second time.
func (e *entry) silent() bool {
	return e.state == sent && e.incarnation != 0 && !e.held && !e.begun && !e.canceled && e.copies < maxCopies
}

// nextCopy returns when the run datagram is to be sent again.
func (e *entry) nextCopy() int64 { return e.sentAt + (int64(e.copies)+1)*resendInterval.Milliseconds() }

// SetPosition implements expirer.Item.
func (e *entry) SetPosition(i int32) { e.index = i }

// action returns an action about the entry.
func (e *entry) action(kind Kind) Action {
	a := Action{
		Kind: kind, Cause: e.cause, Flow: e.flow, Attempt: e.attempt(), Try: int(e.try),
		Deadline: time.UnixMilli(e.deadline),
		Request: Request{
			Caller: e.caller.Unpack(), Service: e.service.Unpack(), ServiceID: e.serviceID, Call: e.call,
		},
	}
	if e.state != burnt && e.sentAt != 0 {
		a.BackendServer, a.Incarnation = e.server.Unpack(), e.incarnation
	}
	if kind == SendAttempt || kind == ResendAttempt {
		a.Excluded, a.Payload = e.draft.tried, e.draft.payload
	}
	return a
}

// word returns the action that repeats what is known to the caller.
func (e *entry) word() Action {
	switch e.state {
	case sent:
		return e.action(SendFetch)
	case answered:
		return e.action(RepeatAnswerFetch)
	case notRun:
		return e.action(ReplyNotRun)
	case unknown:
		return e.action(ReplyUnknown)
	}
	return Action{}
}

// trusts reports whether a promise of the replying process covers the attempt: that process existed when the attempt
// was sent. A process that started later knows nothing of what its predecessor at the same address ran.
func (e *entry) trusts(incarnation uint64) bool {
	if incarnation == 0 {
		return false
	}
	return incarnation == e.incarnation || int64(incarnation)+clockSkew.Milliseconds() <= e.sentAt
}
