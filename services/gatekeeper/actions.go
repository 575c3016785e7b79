package gatekeeper

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

// Kind is the kind of an Action.
type Kind uint8

// The kinds of actions.
const (
	// None asks for nothing.
	None Kind = iota
	// GrantReservation asks to send the caller a gate token with the action's Flow and Issued.
	GrantReservation
	// RefuseReservation asks to refuse the reservation with Cause.
	RefuseReservation
	// SendAttempt asks to place the attempt on a backend server that is not in Excluded. The forwarder calls Sent or
	// NotPlaced before anything leaves.
	SendAttempt
	// ResendAttempt asks to send the run datagram of a silent attempt again, unchanged, to the same backend server.
	ResendAttempt
	// SendFetch asks the backend server what became of the attempt.
	SendFetch
	// SendCancel asks the backend server not to begin the attempt.
	SendCancel
	// ReplyNotRun tells the caller that the request did not run and will not run.
	ReplyNotRun
	// ReplyUnknown tells the caller that the gate cannot tell whether the request ran.
	ReplyUnknown
	// RepeatAnswerFetch asks the backend server for the answer again.
	RepeatAnswerFetch
)

// String returns the kebab-case name of the kind.
func (k Kind) String() string {
	return [...]string{
		"none", "grant-reservation", "refuse-reservation", "send-attempt", "resend-attempt", "send-fetch", "send-cancel", "reply-not-run",
		"reply-unknown", "repeat-answer-fetch",
	}[k]
}

// Request names a non-idempotent request and the addresses of its datagrams.
type Request struct {
	Caller, Service netip.AddrPort
	ServiceID       uint64
	Call            [framer.CallIDSize]byte
}

// Action is what the forwarder does next for a request. Fields that the kind does not need are zero.
type Action struct {
	Kind    Kind
	Cause   framer.Cause
	Request Request
	Flow    uint64
	// Issued is the issue time of a granted reservation.
	Issued time.Time
	// Attempt is the attempt id towards the backend server, Try its number from 1.
	Attempt       uint64
	Try           int
	Deadline      time.Time
	BackendServer netip.AddrPort
	// Incarnation is the backend server's as it was recorded when the attempt was sent, 0 if unknown.
	Incarnation uint64
	// Excluded lists the backend servers that refused earlier attempts.
	Excluded []netip.AddrPort
	// Payload is the payload of the request. The forwarder does not change it.
	Payload []byte
}
