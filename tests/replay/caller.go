package main

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// request is one request of a user, with its tries.
type request struct {
	zone  int
	began time.Time
	tries int
	done  bool
	flow  *flow // that carries the newest try
}

// flow is an open flow of a user.
type flow struct {
	packet   editor.Packet
	server   *server
	accepted bool // the request on its way waits or runs at the backend server
	held     bool // the backend server acknowledged the request and never answers it
}

// user sends a request on a flow, pauses, and goes on.
func (m *model) user(zone int) { m.next(zone, nil) }

func (m *model) next(zone int, f *flow) {
	r := &request{zone: zone, began: m.now}
	m.owed[int(m.now.Sub(m.began)/window)]++
	m.after(m.deadline, func() {
		if !r.done {
			r.done = true
			m.result.failed++
			m.giveUp(r)
			m.pauseThen(zone, nil)
		}
	})
	if f == nil {
		m.open(r)
		return
	}
	m.send(r, f, firstCopy)
}

// giveUp closes the flow of a request whose deadline has passed.
func (m *model) giveUp(r *request) {
	f := r.flow
	if f == nil {
		return
	}
	f.packet.Flags, f.packet.DataLength = editor.Flags{ACK: true, FIN: true}, 0
	if p := m.daemon(r.zone, &f.packet); p != nil {
		p.Steer(m.now, &f.packet)
	}
}

// close ends a flow whose request was answered.
func (m *model) close(zone int, f *flow) {
	f.packet.Flags, f.packet.DataLength = editor.Flags{ACK: true, FIN: true}, 0
	if p := m.daemon(zone, &f.packet); p != nil {
		p.Steer(m.now, &f.packet)
	}
}

// arrivals sends a request and waits for the next one.
func (m *model) arrivals(zone int) {
	m.next(zone, nil)
	m.after(time.Duration(m.random.ExpFloat64()/float64(m.rate)*float64(time.Second)), func() { m.arrivals(zone) })
}

func (m *model) pauseThen(zone int, f *flow) {
	if m.rate > 0 {
		if f != nil {
			m.close(zone, f)
		}
		return
	}
	if m.fresh > 0 && m.random.Float64() < m.fresh {
		f = nil
	}
	m.after(m.pause/2+time.Duration(m.random.Int64N(int64(m.pause))), func() { m.next(zone, f) })
}

// daemon returns the daemon that the fabric chooses for a flow, nil while all are down.
func (m *model) daemon(zone int, p *editor.Packet) policy {
	if m.down {
		return nil
	}
	list := m.daemons[zone]
	return list[int(p.Source.Port())%len(list)]
}

// open opens a flow for a try of the request.
func (m *model) open(r *request) {
	if r.done {
		return
	}
	r.tries++
	m.port++
	f := &flow{packet: editor.Packet{
		Source: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(r.zone), 1}), m.port), Destination: service, Flags: editor.Flags{SYN: true}, SequenceNumber: 100,
	}}
	opened := false
	for copies, at := range []time.Duration{0, firstCopy, secondCopy} {
		m.after(at+hop, func() {
			if opened || r.done {
				return
			}
			f.packet.AckNumber = uint32(copies)
			p := m.daemon(r.zone, &f.packet)
			if p == nil {
				return
			}
			d := p.Steer(m.now, &f.packet)
			if d.Cause == steerer.Deferred {
				return
			}
			if d.Action != steerer.Forward {
				opened = true
				m.retry(r)
				return
			}
			s := m.byID[d.Server]
			s.placed = m.now
			switch {
			case s.dead && m.resets:
				opened = true
				m.after(hop, func() { m.retry(r) })
			case !s.dead:
				opened = true
				f.server, f.packet.Tag = s, d.Tag
				f.packet.Flags, f.packet.AckNumber = editor.Flags{ACK: true}, 1000
				f.packet.SequenceNumber++ // the opening packet takes a number
				m.after(2*hop, func() { m.send(r, f, firstCopy) })
			}
		})
	}
	m.after(openGiveUp, func() {
		if !opened {
			opened = true
			m.retry(r)
		}
	})
}

func (m *model) retry(r *request) {
	if !r.done && r.tries < tries {
		m.open(r)
	}
}

// send sends a request on an open flow, again with doubled gaps until it is answered.
func (m *model) send(r *request, f *flow, gap time.Duration) {
	if r.done || f.held {
		return
	}
	r.flow = f
	f.packet.DataLength = 200
	if p := m.daemon(r.zone, &f.packet); p != nil {
		d := p.Steer(m.now, &f.packet)
		if d.Action == steerer.Reset {
			if !f.server.dead {
				m.result.falseResets++
			}
			r.flow = nil
			m.retry(r)
			return
		}
		if d.Action == steerer.Forward {
			if f.server.dead && m.resets {
				r.flow = nil
				m.after(hop, func() { m.retry(r) })
				return
			}
			if !f.accepted {
				m.arrive(r, f)
			}
		}
	}
	m.after(gap, func() { m.send(r, f, 2*gap) })
}

// arrive puts a request into its backend server.
func (m *model) arrive(r *request, f *flow) {
	s := f.server
	if s.dead {
		return
	}
	f.accepted = true
	if s.mute && m.random.Float64() < muteShare {
		f.held = true
		return
	}
	run := func() {
		work := time.Duration(float64(m.work) * s.factor * (0.5 + m.random.Float64()))
		m.after(work, func() {
			if s.dead {
				return
			}
			s.served++
			m.answer(r, f)
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			} else {
				s.busy--
			}
		})
	}
	switch {
	case s.busy < slots:
		s.busy++
		run()
	case len(s.waiting) < queue:
		s.waiting = append(s.waiting, run)
	default:
		f.accepted = false
		m.result.shed++
		m.after(hop, func() {
			f.packet.AckNumber += 100 // the rejection
			m.close(r.zone, f)
			m.retry(r)
		})
	}
}

func (m *model) answer(r *request, f *flow) {
	f.accepted = false
	f.packet.SequenceNumber += 200
	f.packet.AckNumber += 1200
	f.packet.DataLength = 0
	if p := m.daemon(r.zone, &f.packet); p != nil {
		p.Steer(m.now, &f.packet) // the acknowledgement
	}
	if r.done {
		return
	}
	r.done = true
	took := m.now.Sub(r.began)
	_ = m.times.RecordValue(min(took.Microseconds(), maxMicros)) // the value is in range
	m.result.answered++
	w := int(r.began.Sub(m.began) / window)
	if took <= m.aim {
		m.worth[w]++
	} else {
		m.result.late++
		m.worth[w] += lateWorth
	}
	m.pauseThen(r.zone, f)
}
