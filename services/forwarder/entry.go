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

// pending is a flow or request that is being set up. Its size class is 144 bytes, because a balancer holds one for 2 s
// for each of thousands of new flows a second.
type pending struct {
	service  *settings.Service
	payload  string
	tried    *[]netip.AddrPort // nil before the first further try
	seq      uint64
	attempt  uint64
	flow     uint64
	deadline int64         // Unix nanoseconds
	sent     time.Duration // on the clock of the forwarder
	timeout  time.Duration // on the clock of the forwarder: when the attempt or the whole entry needs attention
	index    int32         // position in the expiry queue
	kind     scheduler.WorkKind
	answered bool
	notified bool // the caller has the token for retransmissions
	repeated bool // the attempt was sent again and nothing has been heard since
	call     [framer.CallIDSize]byte
	caller   compactor.Address
	server   compactor.Address
}

func (p *pending) origin() origin { return origin{caller: p.caller.Unpack(), service: *p.service} }

// expired reports whether the deadline has passed.
func (p *pending) expired(now time.Time) bool { return now.UnixNano() >= p.deadline }

func (p *pending) observation(kind scheduler.ObservationKind) scheduler.Observation {
	return scheduler.Observation{
		Kind: kind, Service: p.service.Name, BackendServer: p.server.Unpack(), Work: p.kind, Flow: p.flow,
	}
}

// exclude adds the current backend server to those tried and returns their number.
func (p *pending) exclude() int {
	if p.tried == nil {
		p.tried = new([]netip.AddrPort)
	}
	if server := p.server.Unpack(); !slices.Contains(*p.tried, server) {
		*p.tried = append(*p.tried, server)
	}
	return len(*p.tried)
}

// work returns the entry as the placer takes it.
func (f *Forwarder) work(p *pending) scheduler.Work {
	w := scheduler.Work{
		Service: p.service.Name, Kind: p.kind, CallerGroup: f.view.CallerGroup(p.caller.Unpack().Addr()),
		Deadline: time.Unix(0, p.deadline),
	}
	if p.tried != nil {
		w.Tried = *p.tried
	}
	return w
}

// clock returns the time since the forwarder began, which steps of the wall clock do not change.
func (f *Forwarder) clock(now time.Time) time.Duration { return now.Sub(f.epoch) }

// key returns the index of an entry. Two entries with one key are so rare (one in 2^32 tables with 65,536 entries) that
// the later one is dropped; the seed keeps callers from choosing such pairs.
func (f *Forwarder) key(call *[framer.CallIDSize]byte, caller *compactor.Address) uint64 {
	h := f.seed
	for _, b := range [][]byte{call[:8], call[8:], caller.IP[:8], caller.IP[8:]} {
		h = ranker.Mix(h ^ binary.LittleEndian.Uint64(b))
	}
	return ranker.Mix(h ^ uint64(caller.Port))
}

// find returns the entry of a call, or nil. The second result tells whether the key is taken.
func (f *Forwarder) find(call [framer.CallIDSize]byte, caller netip.AddrPort) (p *pending, taken bool) {
	a := compactor.Pack(caller)
	p = f.pending[f.key(&call, &a)]
	if p == nil {
		return nil, false
	}
	if p.call != call || p.caller != a {
		return nil, true
	}
	return p, true
}

// Due implements expirer.Item.
func (p *pending) Due() int64 { return int64(p.timeout) }

// SetPosition implements expirer.Item.
func (p *pending) SetPosition(i int32) { p.index = i }
