package gatekeeper_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/modules/sealer"
	"github.com/bluebelldyke/bluebelldyke/services/gatekeeper"
)

const modelCapacity = 6

// server models a backend server: it forgets its attempts when it restarts.
type server struct {
	address     netip.AddrPort
	incarnation uint64
	attempts    map[uint64]*attempt
}

type attempt struct {
	flow     uint64
	deadline time.Time
	verb     encapsulator.Verb // what is reported for a duplicate; 0: queued
	cause    framer.Cause
}

// call is the caller's side of one request.
type call struct {
	token    sealer.Token
	request  gatekeeper.Request
	deadline time.Time
	gate     int // number of the gate process that issued the token
	executed bool
	runs     int
	notRun   bool
	told     bool
}

// world is a gate, three backend servers and a network that holds datagrams as closures.
type world struct {
	t       *rapid.T
	now     time.Time
	skew    time.Duration // of the gate's clock; below the tolerated second
	gate    *gatekeeper.Gatekeeper
	gates   int
	servers []*server
	known   map[netip.AddrPort]uint64
	calls   map[uint64]*call
	order   []*call
	network []func()
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.UnixMilli(1_800_000_000_000), known: map[netip.AddrPort]uint64{}, calls: map[uint64]*call{},
	}
	for i := range 3 {
		s := &server{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, byte(i)}), 9000)}
		w.servers = append(w.servers, s)
		w.restart(s)
	}
	w.now = w.now.Add(time.Minute)
	w.startGate()
	return w
}

func (w *world) gateNow() time.Time { return w.now.Add(w.skew) }

func (w *world) startGate() {
	w.gates++
	w.gate = gatekeeper.New(gatekeeper.Config{
		Self: gateAddress, Incarnation: uint64(w.gates), Random: rand.New(rand.NewPCG(1, uint64(w.gates))),
		Capacity: modelCapacity,
	})
}

func (w *world) restart(s *server) {
	s.incarnation, s.attempts = uint64(w.now.UnixMilli()), map[uint64]*attempt{}
}

func (w *world) draw(label string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, label) }

func (w *world) post(f func()) { w.network = append(w.network, f) }

func (w *world) reserve() {
	a := w.gate.Reserve(w.gateNow())
	if a.Kind != gatekeeper.GrantReservation {
		return
	}
	c := &call{
		gate: w.gates, deadline: w.now.Add(time.Duration(w.draw("deadline", 8000)) * time.Millisecond),
		token: sealer.Token{
			Kind: sealer.KindGate, Target: gateAddress, Incarnation: uint64(w.gates), IssuedAt: a.Issued, FlowID: a.Flow,
		},
		request: gatekeeper.Request{Caller: callerAddress, Service: serviceAddress, ServiceID: 1},
	}
	c.request.Call[0] = byte(len(w.order))
	w.calls[a.Flow] = c
	w.order = append(w.order, c)
}

// callerSends puts one datagram of a caller on the network.
func (w *world) callerSends() {
	if len(w.order) == 0 {
		return
	}
	c := w.order[w.draw("call", len(w.order))]
	switch w.draw("datagram", 5) {
	case 0:
		w.post(func() { w.act(w.gate.Cancel(w.gateNow(), c.token, c.request)) })
	case 1:
		w.post(func() { w.act(w.gate.Fetch(w.gateNow(), c.token, c.request)) })
	default:
		w.post(func() {
			c.executed = c.executed || c.gate == w.gates
			w.act(w.gate.Execute(w.gateNow(), gatekeeper.Execution{
				Token: c.token, Request: c.request, Deadline: c.deadline, Payload: []byte("order"),
			}))
		})
	}
}

// act carries an action out as the forwarder does.
func (w *world) act(a gatekeeper.Action) {
	c := w.calls[a.Flow]
	gate := w.gates
	switch a.Kind {
	case gatekeeper.ReplyNotRun:
		c.notRun, c.told = true, true
	case gatekeeper.ReplyUnknown:
		c.told = true
	case gatekeeper.SendAttempt:
		place := func() {
			if gate == w.gates {
				w.place(a)
			}
		}
		if w.draw("place later", 4) == 0 {
			w.post(place)
		} else {
			place()
		}
	case gatekeeper.ResendAttempt:
		s := w.server(a.BackendServer)
		w.post(func() { s.run(w, a, gate, a.Incarnation) })
	case gatekeeper.SendCancel:
		s := w.server(a.BackendServer)
		w.post(func() { s.cancel(w, a.Attempt, gate) })
	case gatekeeper.SendFetch, gatekeeper.RepeatAnswerFetch:
		s := w.server(a.BackendServer)
		w.post(func() { s.report(w, a.Attempt, gate) })
	}
}

func (w *world) server(address netip.AddrPort) *server {
	for _, s := range w.servers {
		if s.address == address {
			return s
		}
	}
	w.t.Fatalf("no backend server has address %s", address)
	return nil
}

func (w *world) place(a gatekeeper.Action) {
	s := w.servers[w.draw("server", len(w.servers))]
	if slices.Contains(a.Excluded, s.address) {
		w.act(w.gate.NotPlaced(w.gateNow(), a.Attempt, framer.CauseNoBackendServer))
		return
	}
	ok, reply := w.gate.Sent(w.gateNow(), a.Attempt, s.address, w.known[s.address])
	if !ok {
		w.act(reply)
		return
	}
	gate, pinned, seen := w.gates, w.known[s.address], uint64(0)
	w.post(func() {
		// Without a known incarnation, a copy of one datagram on both sides of a restart is outside what a gate can prevent.
		if seen == 0 {
			seen = s.incarnation
		}
		if pinned != 0 || seen == s.incarnation {
			s.run(w, a, gate, pinned)
		}
	})
}

// run handles a run datagram, which may be a duplicate.
func (s *server) run(w *world, a gatekeeper.Action, gate int, pinned uint64) {
	if s.attempts[a.Attempt] == nil {
		t := &attempt{flow: a.Flow, deadline: a.Deadline}
		s.attempts[a.Attempt] = t
		switch {
		case pinned != 0 && pinned != s.incarnation:
			t.verb, t.cause = encapsulator.VerbRefused, framer.CauseRestarted
		case !w.now.Before(a.Deadline):
			t.verb, t.cause = encapsulator.VerbRefused, framer.CauseExpired
		case w.draw("refuse", 3) == 0:
			t.verb, t.cause = encapsulator.VerbRefused, framer.CauseShed
		}
	}
	s.report(w, a.Attempt, gate)
}

func (s *server) cancel(w *world, id uint64, gate int) {
	t := s.attempts[id]
	if t == nil || t.verb == 0 {
		s.attempts[id] = &attempt{verb: encapsulator.VerbCanceled, cause: framer.CauseCanceled}
	}
	s.report(w, id, gate)
}

// report posts what the backend server did with an attempt.
func (s *server) report(w *world, id uint64, gate int) {
	t := s.attempts[id]
	r := gatekeeper.Reply{Attempt: id, BackendServer: s.address, Incarnation: s.incarnation, Verb: encapsulator.VerbRefused,
		Cause: framer.CauseUnknownFlow}
	if t != nil {
		r.Verb, r.Cause = t.verb, t.cause
	}
	if r.Verb == 0 {
		r.Verb = encapsulator.VerbAccepted
	}
	w.post(func() {
		w.known[s.address] = max(w.known[s.address], r.Incarnation)
		if gate == w.gates {
			w.act(w.gate.Reply(w.gateNow(), r))
		}
	})
}

// step lets one queued attempt begin, finish or be shed late.
func (s *server) step(w *world) {
	ids := make([]uint64, 0, len(s.attempts))
	for id, t := range s.attempts {
		if t.verb == 0 || t.verb == encapsulator.VerbRunning {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := ids[w.draw("attempt", len(ids))]
	t := s.attempts[id]
	switch {
	case t.verb == encapsulator.VerbRunning:
		t.verb = encapsulator.VerbAnswer
	case !w.now.Before(t.deadline):
		t.verb, t.cause = encapsulator.VerbRefused, framer.CauseExpired
	case w.draw("late shed", 3) == 0:
		t.verb, t.cause = encapsulator.VerbRefused, framer.CauseShed
	default:
		t.verb = encapsulator.VerbRunning
		w.calls[t.flow].runs++
	}
	s.report(w, id, w.gates)
}

// deliver takes a random datagram off the network, out of order, and loses or duplicates some.
func (w *world) deliver() {
	if len(w.network) == 0 {
		return
	}
	i := w.draw("datagram index", len(w.network))
	f := w.network[i]
	fate := w.draw("fate", 10)
	if fate > 1 {
		w.network = slices.Delete(w.network, i, i+1)
	}
	if fate != 9 {
		f()
	}
}

func (w *world) tick() {
	for _, a := range w.gate.Tick(w.gateNow(), nil) {
		w.act(a)
	}
}

func (w *world) step() {
	switch w.draw("step", 16) {
	case 0:
		w.reserve()
	case 1, 2, 3:
		w.callerSends()
	case 4, 5, 6, 7, 8, 9:
		w.deliver()
	case 10, 11:
		w.servers[w.draw("server", len(w.servers))].step(w)
	case 12:
		w.now = w.now.Add(time.Duration(w.draw("ms", 300)) * time.Millisecond)
		w.tick()
	case 13: // a paused gate: time passes without ticks
		w.now = w.now.Add(time.Duration(w.draw("pause ms", 7000)) * time.Millisecond)
	case 14:
		w.skew = time.Duration(w.draw("skew ms", 900)-450) * time.Millisecond
	case 15:
		switch w.draw("restart", 12) {
		case 0:
			w.startGate()
		case 1, 2, 3:
			w.now = w.now.Add(time.Millisecond) // a restart takes time, so that incarnations grow
			w.restart(w.servers[w.draw("server", len(w.servers))])
		}
	}
}

func (w *world) check() {
	if n := w.gate.Entries() + w.gate.Outstanding(); n > modelCapacity {
		w.t.Fatalf("%d entries and reservations exceed the capacity %d", n, modelCapacity)
	}
	for i, c := range w.order {
		if c.runs > 1 {
			w.t.Fatalf("call %d ran %d times", i, c.runs)
		}
		if c.notRun && c.runs > 0 {
			w.t.Fatalf("call %d was told not-run and ran", i)
		}
	}
}

// finish lets all datagrams arrive and all work end.
func (w *world) finish() {
	for range 3 {
		for list := w.network; len(list) > 0; list = w.network {
			w.network = nil
			for _, f := range list {
				f()
			}
			w.check()
		}
		for _, s := range w.servers {
			for range len(s.attempts) * 2 {
				s.step(w)
			}
		}
		w.tick()
	}
	w.now = w.now.Add(time.Minute)
	w.tick()
	w.check()
}

// TestAtMostOnce guards against a second run of a request, against a not-run for a request that runs, and against
// entries that stay, over duplicated, reordered and lost datagrams, refusals, cancels, pauses and restarts.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			w.step()
			w.check()
		}
		w.finish()
		if w.gate.Entries() != 0 || w.gate.Outstanding() != 0 || w.gate.Unresolved() != 0 {
			t.Fatalf("%d entries, %d reservations, %d unresolved requests stay", w.gate.Entries(), w.gate.Outstanding(), w.gate.Unresolved())
		}
		if !w.gate.Idle(w.gateNow()) {
			t.Fatal("the gate is not idle a minute after the last token")
		}
		for i, c := range w.order {
			if c.executed && c.gate == w.gates && c.runs == 0 && !c.told {
				t.Fatalf("call %d reached its gate, did not run, and its caller was never told", i)
			}
		}
	})
}
