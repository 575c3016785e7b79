package forwarder

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/modules/compactor"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// pendingCall is a feed or an idempotent request that is being set up. It is kept within the allocation size class of 144
// bytes, because a balancer holds one for 2 s for each of thousands of new calls a second.
type pendingCall struct {
	service      *settings.Service
	payload      string
	triedServers *[]netip.AddrPort // backend servers that must not get another attempt; nil until the first retry
	seq          uint64
	attemptID    uint64
	flowID       uint64
	deadline     int64         // Unix nanoseconds
	sentAt       time.Duration // see Forwarder.monotonic
	dueAt        time.Duration // see Forwarder.monotonic: when Tick next handles the call
	queueIndex   int32         // position in Forwarder.dueQueue
	heldAt       uint32        // milliseconds of monotonic when it first waited for a backend server, see holdQueue; 0 if it never did
	kind         scheduler.WorkKind
	answered     bool
	tokenSent    bool // the caller was sent a retransmission token
	resent       bool // the attempt was sent again, and no reply has arrived since
	callID       [framer.CallIDSize]byte
	caller       compactor.Address
	server       compactor.Address
}

// origin returns the caller and the service of the call.
func (p *pendingCall) origin() origin { return origin{caller: p.caller.Unpack(), service: *p.service} }

// isExpired reports whether the deadline of the call has passed.
func (p *pendingCall) isExpired(now time.Time) bool { return now.UnixNano() >= p.deadline }

// observation returns an observation about the current attempt.
func (p *pendingCall) observation(kind scheduler.ObservationKind) scheduler.Observation {
	return scheduler.Observation{
		Kind: kind, Service: p.service.Name, BackendServer: p.server.Unpack(), WorkKind: p.kind, FlowID: p.flowID,
	}
}

// markTried adds the current backend server to the tried ones and returns the number of tried backend servers.
func (p *pendingCall) markTried() int {
	if p.triedServers == nil {
		p.triedServers = new([]netip.AddrPort)
	}
	if server := p.server.Unpack(); !slices.Contains(*p.triedServers, server) {
		*p.triedServers = append(*p.triedServers, server)
	}
	return len(*p.triedServers)
}

// workOf returns the description of a pending call that the placer needs.
func (f *Forwarder) workOf(p *pendingCall) scheduler.Work {
	w := scheduler.Work{
		Service: p.service.Name, Kind: p.kind, CallerGroup: f.view.CallerGroup(p.caller.Unpack().Addr()),
		Deadline: time.Unix(0, p.deadline),
	}
	if p.triedServers != nil {
		w.TriedServers = *p.triedServers
	}
	return w
}

// monotonic returns the time since the first view was set. Steps of the wall clock do not change it.
func (f *Forwarder) monotonic(now time.Time) time.Duration { return now.Sub(f.monotonicStart) }

// pendingKey returns the map key of a pending call, a seeded hash of the call id and the caller. A collision is so rare (one
// in 2^32 tables with 65,536 entries) that the later call is simply refused. The random seed prevents callers from choosing
// call ids that collide.
func (f *Forwarder) pendingKey(callID *[framer.CallIDSize]byte, caller *compactor.Address) uint64 {
	h := f.keySeed
	for _, b := range [][]byte{callID[:8], callID[8:], caller.IP[:8], caller.IP[8:]} {
		h = ranker.Mix(h ^ binary.LittleEndian.Uint64(b))
	}
	return ranker.Mix(h ^ uint64(caller.Port))
}

// findPending returns the pending call with the call id and caller, or nil. keyTaken reports whether any call has the same key.
func (f *Forwarder) findPending(callID [framer.CallIDSize]byte, caller netip.AddrPort) (p *pendingCall, keyTaken bool) {
	a := compactor.Pack(caller)
	p = f.pending[f.pendingKey(&callID, &a)]
	if p == nil {
		return nil, false
	}
	if p.callID != callID || p.caller != a {
		return nil, true
	}
	return p, true
}

// Due implements expirer.Item.
func (p *pendingCall) Due() int64 { return int64(p.dueAt) }

// SetPosition implements expirer.Item.
func (p *pendingCall) SetPosition(i int32) { p.queueIndex = i }
