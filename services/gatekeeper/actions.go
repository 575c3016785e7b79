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
	// None requires no step of the forwarder.
	None Kind = iota
	// GrantReservation sends the caller a gate token with the FlowID and IssuedAt of the action.
	GrantReservation
	// RefuseReservation refuses the reservation with Cause.
	RefuseReservation
	// SendAttempt places the attempt on a backend server that is not in ExcludedServers. Before it sends anything, the
	// forwarder calls AuthorizeSend or, if it finds no backend server, PlacementFailed.
	SendAttempt
	// ResendAttempt sends the unchanged run datagram of an attempt without a reply again, to the same backend server.
	ResendAttempt
	// SendFetch requests the state of the attempt from the backend server.
	SendFetch
	// SendCancel requests the backend server not to start the attempt.
	SendCancel
	// ReplyNotRun replies to the caller that the request did not run and will not run.
	ReplyNotRun
	// ReplyUnknown replies to the caller that the gate does not know whether the request ran.
	ReplyUnknown
	// RepeatAnswerFetch requests the answer from the backend server again.
	RepeatAnswerFetch
)

// String returns the kebab-case name of the kind.
func (k Kind) String() string {
	return [...]string{
		"none", "grant-reservation", "refuse-reservation", "send-attempt", "resend-attempt", "send-fetch", "send-cancel", "reply-not-run",
		"reply-unknown", "repeat-answer-fetch",
	}[k]
}

// Request identifies a non-idempotent request and holds the addresses of its datagrams.
type Request struct {
	Caller, Service netip.AddrPort
	ServiceID       uint64
	CallID          [framer.CallIDSize]byte
}

// Action is the next step that the forwarder has to carry out for a request. Fields that the kind does not use are zero.
type Action struct {
	Kind    Kind
	Cause   framer.Cause
	Request Request
	FlowID  uint64
	// IssuedAt is the issue time of a granted reservation.
	IssuedAt time.Time
	// AttemptID identifies the attempt to the backend server. AttemptNumber counts the attempts of the request from 1.
	AttemptID     uint64
	AttemptNumber int
	Deadline      time.Time
	BackendServer netip.AddrPort
	// Incarnation is that of the backend server's process when the attempt was sent, 0 if unknown.
	Incarnation uint64
	// ExcludedServers lists the backend servers that refused earlier attempts.
	ExcludedServers []netip.AddrPort
	// Payload is the payload of the request. The forwarder must not modify it.
	Payload []byte
}
