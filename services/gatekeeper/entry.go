package gatekeeper

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/compactor"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

// state is the state of the request of a used flow id.
type state uint8

const (
	stateConsumed state = iota // the reservation is consumed; the current attempt is not sent yet
	stateSent                  // the current attempt was sent
	stateAnswered              // the backend server answered
	stateNotRun                // the request did not run and will not run
	stateUnknown               // the deadline passed after an attempt was sent
)

// retryData is the data that further attempts need. It is dropped as soon as no further attempt is possible.
type retryData struct {
	payload         []byte
	excludedServers []netip.AddrPort // backend servers that refused earlier attempts
}

// entry is the state of one used flow id. Times are in Unix milliseconds. An entry is in the allocator's size class of 144
// bytes.
type entry struct {
	retry         *retryData
	flowID        uint64
	serviceID     uint64
	deadline      int64
	expiresAt     int64
	sentAt        int64
	incarnation   uint64 // of the backend server, as sent with the current attempt; 0 if unknown
	queueIndex    int32
	callID        [framer.CallIDSize]byte
	caller        compactor.Address
	service       compactor.Address
	backendServer compactor.Address
	state         state
	cause         framer.Cause
	attemptNumber uint8
	resends       uint8 // of the run datagram of the current attempt; several overdue ones count although only one is sent
	accepted      bool  // the backend server reported that the attempt waits for a slot
	started       bool  // the backend server reported that the attempt started
	canceled      bool  // the caller no longer waits
}

// attemptID returns the id of the current attempt. It contains the flow id, so that the entry of a reply is found without
// a second index.
func (e *entry) attemptID() uint64 { return e.flowID<<8 | uint64(e.attemptNumber) }

// isUnresolved reports whether the gate still has to determine the outcome, by a reply or at the deadline.
func (e *entry) isUnresolved() bool { return e.state == stateConsumed || e.state == stateSent }

// Due implements expirer.Item. An entry is due when its run datagram has to be sent again, at its deadline while it is
// unresolved, and when it expires.
func (e *entry) Due() int64 {
	switch {
	case e.canResend():
		return min(e.resendAt(), e.deadline, e.expiresAt)
	case e.isUnresolved():
		return min(e.deadline, e.expiresAt)
	}
	return e.expiresAt
}

// canResend reports whether the run datagram may have been lost and can be sent again. A run datagram without an
// incarnation is not sent again, because a process that replaced the backend server's would run the request a second time.
func (e *entry) canResend() bool {
	return e.state == stateSent && e.incarnation != 0 && !e.accepted && !e.started && !e.canceled && e.resends < maxResends
}

// resendAt returns when the run datagram has to be sent again.
func (e *entry) resendAt() int64 { return e.sentAt + (int64(e.resends)+1)*resendDelay.Milliseconds() }

// SetPosition implements expirer.Item.
func (e *entry) SetPosition(i int32) { e.queueIndex = i }

// action returns an action of the kind for the request of the entry.
func (e *entry) action(kind Kind) Action {
	a := Action{
		Kind: kind, Cause: e.cause, FlowID: e.flowID, AttemptID: e.attemptID(), AttemptNumber: int(e.attemptNumber),
		Deadline: time.UnixMilli(e.deadline),
		Request: Request{
			Caller: e.caller.Unpack(), Service: e.service.Unpack(), ServiceID: e.serviceID, CallID: e.callID,
		},
	}
	if e.state != stateConsumed && e.sentAt != 0 {
		a.BackendServer, a.Incarnation = e.backendServer.Unpack(), e.incarnation
	}
	if kind == SendAttempt || kind == ResendAttempt {
		a.ExcludedServers, a.Payload = e.retry.excludedServers, e.retry.payload
	}
	return a
}

// outcomeAction returns the action that repeats the current state of the request to the caller.
func (e *entry) outcomeAction() Action {
	switch e.state {
	case stateSent:
		return e.action(SendFetch)
	case stateAnswered:
		return e.action(RepeatAnswerFetch)
	case stateNotRun:
		return e.action(ReplyNotRun)
	case stateUnknown:
		return e.action(ReplyUnknown)
	}
	return Action{}
}

// existedAtSend reports whether the replying process already existed when the current attempt was sent. Only then can it
// guarantee that the attempt did not run: a process that started later does not know what its predecessor at the same
// address ran.
func (e *entry) existedAtSend(incarnation uint64) bool {
	if incarnation == 0 {
		return false
	}
	return incarnation == e.incarnation || int64(incarnation)+clockSkew.Milliseconds() <= e.sentAt
}
