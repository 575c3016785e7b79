package deployment

import (
	"fmt"
	"net/netip"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/direct"
)

// LiveReset is a reset by a daemon of a flow that is open at a backend server, which has not crashed.
type LiveReset struct {
	Daemon  *Daemon
	Backend *Backend
	Caller  netip.AddrPort
}

// judgeReset records a reset by a daemon: one that is outside of the caller's window is a violation, and one of a flow at a live backend
// server is one if nothing has disturbed them, which the caller of TakeLiveResets knows.
func (d *Deployment) judgeReset(r direct.Reset) {
	sender := d.daemonAt(r.Sender)
	if sender == nil { // a backend server may reset its own flows
		return
	}
	if !r.IsInWindow() {
		d.Violations.Add(fmt.Sprintf("%s reset the flow of %s with a sequence number that is %d bytes behind its acknowledgement", sender.Name, r.Caller, r.Distance))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.backends {
		if b.HoldsFlow(r.Caller, r.Service) {
			d.liveResets = append(d.liveResets, LiveReset{sender, b, r.Caller})
		}
	}
}

// daemonAt returns the daemon with an address, or nil if no daemon has it.
func (d *Deployment) daemonAt(a netip.Addr) *Daemon {
	for _, daemon := range d.Daemons {
		if daemon.EntryAddress.Addr() == a {
			return daemon
		}
	}
	return nil
}

// TakeLiveResets returns the resets of flows at live backend servers since the last call.
func (d *Deployment) TakeLiveResets() []LiveReset {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.liveResets
	d.liveResets = nil
	return list
}

// IsStoreFailing reports whether a fault of the store is active.
func (d *Deployment) IsStoreFailing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeFailing
}
