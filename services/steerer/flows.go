package steerer

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

const (
	// quietAfter is how long a flow must be silent to count no longer: callers pause for about a second between requests, and
	// the fabric moves flows to other daemons, which then count them.
	quietAfter = 4 * time.Second
	// maxFlows bounds the flows that are watched. Flows beyond it are forwarded like any other, but not counted.
	maxFlows = 1 << 16
	// maxCopies bounds the count of copies of one opening packet: callers send two.
	maxCopies = 255
)

// flowKey names a flow.
type flowKey struct{ caller, service netip.AddrPort }

// flow is what a daemon has seen of a flow. It only feeds estimates: no flow depends on it.
type flow struct {
	server   *server
	sequence uint32    // of the newest packet with data, or of the opening packet
	received uint32    // what the caller has acknowledged
	began    time.Time // when this daemon saw it first
	awaits   time.Time // when the opening packet was sent whose answer is awaited; zero when none is
	placed   time.Time // when the newest copy of the packet with sequence was sent
	seen     time.Time
	asked    time.Time // when the newest request was first sent; zero if an earlier copy may have been lost on its way here
	copies   int       // of the opening packet
	repeats  int       // of the newest packet with data
	opening  bool
	closing  bool
	counted  bool      // among the open flows of its server
	struck   bool      // counted among the repeating flows of its server
	waiting  bool      // a request was sent and no answer was seen
	sent     time.Time // when that request was first seen
}

func (s *Steerer) begin(now time.Time, key flowKey, p *editor.Packet, target *server) {
	if len(s.flows) >= maxFlows {
		return
	}
	f := &flow{server: target, sequence: p.SequenceNumber, began: now, placed: now, seen: now, opening: p.Flags.SYN}
	s.flows[key] = f
	f.count(true)
	if f.opening {
		// The first copy may have gone through another daemon, and its answer tells nothing of the time since this one.
		f.copies = int(min(p.AckNumber, maxCopies))
		s.awaitOpen(now, key, f)
	}
}

// open is an opening packet whose answer is awaited.
type open struct {
	key    flowKey
	flow   *flow
	server *server
	sent   time.Time
}

// awaitOpen counts the opening packet until it is answered or late.
func (s *Steerer) awaitOpen(now time.Time, key flowKey, f *flow) {
	f.server.opening++
	f.server.unopened++
	f.awaits = now
	s.opens = append(s.opens, open{key, f, f.server, now})
}

// settleOpens ends the wait for answers to opening packets that are late.
func (s *Steerer) settleOpens(now time.Time) {
	n, late := 0, s.roundTrip.late()
	for n < len(s.opens) && now.Sub(s.opens[n].sent) >= late {
		o := &s.opens[n]
		n++
		o.server.opening--
		if o.flow.awaits == o.sent { // neither answered nor sent to another backend server
			o.server.unopened--
			o.flow.awaits = time.Time{}
		}
		if f, ok := s.flows[o.key]; ok && f.opening && f.server == o.server {
			o.server.unanswered(now, f)
		}
	}
	if n > 0 {
		s.opens = append(s.opens[:0], s.opens[n:]...)
	}
}

// await counts a request that was sent on the flow.
func (f *flow) await(now time.Time) {
	f.waiting, f.sent = true, now
	f.server.load.sent(now)
	f.server.began(now)
}

// awaitNoLonger ends the wait for the answer to the opening packet.
func (f *flow) awaitNoLonger() {
	if !f.awaits.IsZero() {
		f.server.unopened--
		f.awaits = time.Time{}
	}
}

// count counts the flow among the open flows of its server, or no longer.
func (f *flow) count(open bool) {
	if f.counted == open {
		return
	}
	f.counted = open
	if open {
		f.server.flows++
	} else {
		f.server.flows--
	}
}

func (s *Steerer) forget(key flowKey) {
	if f, ok := s.flows[key]; ok {
		f.awaitNoLonger()
		f.count(false)
		delete(s.flows, key)
	}
}

// observe learns from a packet of an established flow. It reports whether the packet is the first that shows that the flow is
// open, and how many copies of its opening packet came before.
func (s *Steerer) observe(now time.Time, key flowKey, p *editor.Packet, target *server) (opened bool, copies int) {
	f, ok := s.flows[key]
	if ok && f.server != target {
		s.forget(key)
		ok = false
	}
	if !ok {
		s.begin(now, key, p, target)
		if f, ok = s.flows[key]; !ok {
			return false, 0
		}
		f.received = p.AckNumber
		if p.DataLength > 0 {
			f.await(now)
		}
	}
	f.seen = now
	switch {
	case p.Flags.RST:
		s.forget(key)
		return false, 0
	case p.Flags.FIN:
		if !f.closing && f.waiting && p.AckNumber == f.received && f.acknowledged(now) {
			f.server.gaveUp(now)
		}
		f.closing = true
	}
	f.count(!f.closing)
	opened, copies = f.opening, f.copies
	if opened && copies == 0 {
		s.roundTrip.add(now.Sub(f.placed))
		f.server.way.add(now.Sub(f.placed))
	}
	switch {
	case f.opening, int32(p.AckNumber-f.received) > 0:
		f.received = p.AckNumber
		f.server.answer(now, f)
		f.awaitNoLonger()
		f.opening = false
		if f.waiting {
			f.waiting = false
			f.server.done(now)
			f.server.ended(now, f.sent)
		}
	case p.DataLength > 0 && p.SequenceNumber == f.sequence && now.Sub(f.placed) >= repeatSpacing:
		f.placed = now
		if f.repeats++; f.repeats >= s.roundTrip.proof() {
			f.server.strike(now, f)
		}
	}
	if p.DataLength > 0 && int32(p.SequenceNumber-f.sequence) > 0 {
		f.sequence, f.placed, f.asked, f.repeats = p.SequenceNumber, now, now, 0
		if !f.waiting {
			f.await(now)
		}
	}
	return opened, copies
}

// acknowledged reports whether the backend server has certainly acknowledged the newest request: its caller has not repeated it in
// time. A request that was lost, on a link or with a daemon, says nothing of the backend server.
func (f *flow) acknowledged(now time.Time) bool {
	return f.repeats == 0 && !f.asked.IsZero() && now.Sub(f.asked) >= repeatMost
}

// LostFlow is an open flow whose backend server is lost: Packet is what a reset answers.
type LostFlow struct {
	Packet editor.Packet
	Server directory.ServerID
	Age    time.Duration // since this daemon saw it first
}

// TakeResets returns the flows to reset without waiting for a packet: the open flows whose backend server is lost. A caller that learns
// of it before its next request opens another flow for it, which matters most to requests that must not run twice: they
// can't be tried again once they were sent.
func (s *Steerer) TakeResets(now time.Time) []LostFlow {
	lost := map[*server]bool{}
	for _, b := range s.servers {
		switch {
		case b.lost(now) == CauseNone:
			b.purged = false
		case !b.purged && (b.lost(now) == BackendServerGone || b.stalled > 0 && now.Sub(b.health.since) >= purgeAfter):
			b.purged = true
			lost[b] = true
		}
	}
	if len(lost) == 0 {
		return nil
	}
	var list []LostFlow
	for key, f := range s.flows {
		if !lost[f.server] {
			continue
		}
		if !f.closing && !f.opening {
			list = append(list, LostFlow{
				Packet: editor.Packet{Source: key.caller, Destination: key.service, AckNumber: f.received}, Server: f.server.ID,
				Age: now.Sub(f.began),
			})
		}
		s.forget(key)
	}
	return list
}
