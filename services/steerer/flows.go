package steerer

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

const (
	// maxFlows bounds the flows that are watched. Flows beyond it are forwarded like any other, but not counted.
	maxFlows = 1 << 16
)

// flowKey names a flow.
type flowKey struct{ caller, service netip.AddrPort }

// flow is what a daemon has seen of a flow. It only feeds estimates: no flow depends on it.
type flow struct {
	server   *server
	sequence uint32    // of the newest packet with data, or of the opening packet
	received uint32    // what the caller has acknowledged
	placed   time.Time // when the newest copy of the packet with sequence was sent
	seen     time.Time
	opening  bool
	closing  bool
	struck   bool // counted among the repeating flows of its server
	waiting  bool // a request was sent and no answer was seen
}

func (s *Steerer) begin(now time.Time, key flowKey, p *editor.Packet, target *server) {
	if len(s.flows) >= maxFlows {
		return
	}
	s.flows[key] = &flow{server: target, sequence: p.Sequence, placed: now, seen: now, opening: p.Flags.SYN}
	target.flows++
}

func (s *Steerer) forget(key flowKey) {
	if f, ok := s.flows[key]; ok {
		if !f.closing {
			f.server.flows--
		}
		delete(s.flows, key)
	}
}

// observe learns from a packet of an established flow.
func (s *Steerer) observe(now time.Time, key flowKey, p *editor.Packet, target *server) {
	f, ok := s.flows[key]
	if ok && f.server != target {
		s.forget(key)
		ok = false
	}
	if !ok {
		s.begin(now, key, p, target)
		if f, ok = s.flows[key]; !ok {
			return
		}
		f.received = p.Acknowledged
		if p.DataLength > 0 {
			f.waiting = true
			target.sent(now)
		}
	}
	f.seen = now
	switch {
	case p.Flags.RST:
		s.forget(key)
		return
	case p.Flags.FIN && !f.closing:
		f.closing = true
		f.server.flows--
	}
	switch {
	case f.opening, int32(p.Acknowledged-f.received) > 0:
		f.received = p.Acknowledged
		f.opening = false
		f.server.answered(f)
		if f.waiting {
			f.waiting = false
			f.server.done(now)
		}
	case p.DataLength > 0 && p.Sequence == f.sequence && now.Sub(f.placed) >= repeatSpacing:
		f.placed = now
		f.server.strike(now, f)
	}
	if p.DataLength > 0 && int32(p.Sequence-f.sequence) > 0 {
		f.sequence, f.placed = p.Sequence, now
		if !f.waiting {
			f.waiting = true
			f.server.sent(now)
		}
	}
}
