package direct

import (
	"net/netip"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

// resetWindow is how far the sequence number of a reset may be from the newest acknowledgement of the caller.
const resetWindow = 76_800

// Reset is a reset that reached the caller of a flow that has opened.
type Reset struct {
	Caller, Service netip.AddrPort
	Sender          netip.Addr
	Distance        int // bytes from its sequence number to the newest acknowledgement of the caller
}

// IsInWindow reports whether callers accept the reset.
func (r *Reset) IsInWindow() bool { return -resetWindow <= r.Distance && r.Distance <= resetWindow }

// acceptReset reports a reset of the flow to which p belongs, and whether the caller accepts it.
func (c *Callers) acceptReset(p *editor.Packet, received *receivedPacket) bool {
	r := Reset{
		Caller: p.Source, Service: p.Destination, Sender: received.sender, Distance: int(int32(p.AckNumber - received.packet.SequenceNumber)),
	}
	if c.config.OnReset != nil {
		c.config.OnReset(r)
	}
	return r.IsInWindow()
}

// HoldsFlow reports whether a flow is open at the backend server, which has not crashed.
func (b *Backend) HoldsFlow(caller, service netip.AddrPort) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.crashed && b.flows[flowKey{caller, service}] != nil
}
