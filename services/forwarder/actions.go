package forwarder

import (
	"net/netip"

	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// SendToCaller sends Data to the caller at To, from the service address Service.
	SendToCaller ActionKind = iota
	// SendToBackendServer sends Data to the backend server at To, from the backend socket.
	SendToBackendServer
	// ForwardToGate forwards Data, a datagram from Caller to Service, to the balancer at To, which is the gate of its token.
	ForwardToGate
	// RefreshView requests at least Revision of the settings document with the id Document.
	RefreshView
)

// Action is one step that the user of a Forwarder executes. Fields that the kind does not need are zero.
type Action struct {
	Kind     ActionKind
	To       netip.AddrPort
	Caller   netip.AddrPort
	Service  netip.AddrPort
	Document uint32
	Revision uint64
	// Data is valid until the Actions are reset.
	Data []byte
}

// Actions collects the actions of one or more events. Reset allows its memory to be reused.
type Actions struct {
	List  []Action
	arena []byte // the Data of all actions, one after the other
}

// Reset empties the list and keeps the allocated memory.
func (a *Actions) Reset() {
	a.List = a.List[:0]
	a.arena = a.arena[:0]
}

// addDatagram adds a datagram to a caller. It drops a datagram that cannot be encoded; all fields are bounded, so only an
// oversized payload can cause that.
func (a *Actions) addDatagram(service, caller netip.AddrPort, d *framer.Datagram) {
	start := len(a.arena)
	out, err := framer.Append(a.arena, d)
	if err != nil {
		return
	}
	a.arena = out
	a.List = append(a.List, Action{Kind: SendToCaller, To: caller, Service: service, Data: out[start:len(out):len(out)]})
}

// addPacket adds a packet to a backend server. It drops a packet that cannot be encoded.
func (a *Actions) addPacket(server netip.AddrPort, e *encapsulator.Encoder, p *encapsulator.Packet) {
	start := len(a.arena)
	out, err := e.Append(a.arena, p)
	if err != nil {
		return
	}
	a.arena = out
	a.List = append(a.List, Action{Kind: SendToBackendServer, To: server, Data: out[start:len(out):len(out)]})
}

// addForward adds a caller datagram that is forwarded to the balancer that is its gate.
func (a *Actions) addForward(gate, caller, service netip.AddrPort, datagram []byte) {
	start := len(a.arena)
	a.arena = append(a.arena, datagram...)
	a.List = append(a.List, Action{
		Kind: ForwardToGate, To: gate, Caller: caller, Service: service, Data: a.arena[start:len(a.arena):len(a.arena)],
	})
}

// addRefresh adds a request for a newer revision of a settings document.
func (a *Actions) addRefresh(document uint32, revision uint64) {
	a.List = append(a.List, Action{Kind: RefreshView, Document: document, Revision: revision})
}
