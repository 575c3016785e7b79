package forwarder

import (
	"net/netip"

	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

// ActionKind tells where the datagram of an Action goes.
type ActionKind uint8

// The targets.
const (
	// SendToCaller sends Data from the service address to the caller.
	SendToCaller ActionKind = iota
	// SendToBackendServer sends Data from the backend socket.
	SendToBackendServer
	// ForwardToGate hands Data, a caller datagram, to the balancer at To.
	ForwardToGate
	// RefreshView asks for at least Revision of the settings document Document.
	RefreshView
)

// Action is one thing that the caller of a Forwarder carries out.
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

// Actions collects the actions of one or more events. Its memory is reused after Reset.
type Actions struct {
	List  []Action
	arena []byte
}

// Reset empties the list and keeps its memory.
func (a *Actions) Reset() {
	a.List = a.List[:0]
	a.arena = a.arena[:0]
}

// datagram adds a caller datagram. An encoding error drops it: all fields are bounded, so that only an oversized
// payload can cause one.
func (a *Actions) datagram(service, caller netip.AddrPort, d *framer.Datagram) {
	start := len(a.arena)
	out, err := framer.Append(a.arena, d)
	if err != nil {
		return
	}
	a.arena = out
	a.List = append(a.List, Action{Kind: SendToCaller, To: caller, Service: service, Data: out[start:len(out):len(out)]})
}

func (a *Actions) encapsulated(server netip.AddrPort, e *encapsulator.Encoder, p *encapsulator.Packet) {
	start := len(a.arena)
	out, err := e.Append(a.arena, p)
	if err != nil {
		return
	}
	a.arena = out
	a.List = append(a.List, Action{Kind: SendToBackendServer, To: server, Data: out[start:len(out):len(out)]})
}

func (a *Actions) forward(gate, caller, service netip.AddrPort, datagram []byte) {
	start := len(a.arena)
	a.arena = append(a.arena, datagram...)
	a.List = append(a.List, Action{
		Kind: ForwardToGate, To: gate, Caller: caller, Service: service, Data: a.arena[start:len(a.arena):len(a.arena)],
	})
}

func (a *Actions) refresh(document uint32, revision uint64) {
	a.List = append(a.List, Action{Kind: RefreshView, Document: document, Revision: revision})
}
