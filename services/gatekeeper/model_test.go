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

// modelCapacity is low enough for a run of the model to reach it.
const modelCapacity = 6

// server simulates a backend server, which loses its attempts when it restarts.
type server struct {
	address     netip.AddrPort
	incarnation uint64
	attempts    map[uint64]*attempt
}

type attempt struct {
	flowID   uint64
	deadline time.Time
	verb     encapsulator.Verb // reply to a duplicate; 0 while the attempt is queued
	cause    framer.Cause
}

// call is one request with its observed outcome.
type call struct {
	token    sealer.Token
	request  gatekeeper.Request
	deadline time.Time
	gate     int  // number of the gate process that issued the token
	executed bool // an execute datagram reached that gate process
	runs     int
	notRun   bool // the caller received not-run
	replied  bool // the caller received not-run or unknown
}

// model simulates a gate, three backend servers and a network, whose datagrams in flight are closures.
type model struct {
	t            *rapid.T
	now          time.Time
	skew         time.Duration // of the gate's clock; less than the tolerated second
	gate         *gatekeeper.Gatekeeper
	gates        int // number of gate processes started
	servers      []*server
	incarnations map[netip.AddrPort]uint64 // highest incarnation received from each backend server
	callByFlowID map[uint64]*call
	calls        []*call // in the order of their reservations
	network      []func()
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.UnixMilli(1_800_000_000_000), incarnations: map[netip.AddrPort]uint64{}, callByFlowID: map[uint64]*call{},
	}
	for i := range 3 {
		s := &server{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, byte(i)}), 9000)}
		m.servers = append(m.servers, s)
		m.restart(s)
	}
	m.now = m.now.Add(time.Minute)
	m.startGate()
	return m
}

func (m *model) gateNow() time.Time { return m.now.Add(m.skew) }

func (m *model) startGate() {
	m.gates++
	m.gate = gatekeeper.New(gatekeeper.Config{
		Self: gateAddress, Incarnation: uint64(m.gates), Random: rand.New(rand.NewPCG(1, uint64(m.gates))),
		Capacity: modelCapacity,
	})
}

func (m *model) restart(s *server) {
	s.incarnation, s.attempts = uint64(m.now.UnixMilli()), map[uint64]*attempt{}
}

func (m *model) draw(label string, n int) int { return rapid.IntRange(0, n-1).Draw(m.t, label) }

func (m *model) enqueue(deliver func()) { m.network = append(m.network, deliver) }

func (m *model) reserve() {
	a := m.gate.Reserve(m.gateNow())
	if a.Kind != gatekeeper.GrantReservation {
		return
	}
	c := &call{
		gate: m.gates, deadline: m.now.Add(time.Duration(m.draw("deadline", 8000)) * time.Millisecond),
		token: sealer.Token{
			Kind: sealer.KindGate, Target: gateAddress, Incarnation: uint64(m.gates), IssuedAt: a.IssuedAt, FlowID: a.FlowID,
		},
		request: gatekeeper.Request{Caller: callerAddress, Service: serviceAddress, ServiceID: 1},
	}
	c.request.CallID[0] = byte(len(m.calls))
	m.callByFlowID[a.FlowID] = c
	m.calls = append(m.calls, c)
}

// sendFromCaller enqueues a datagram of a random call.
func (m *model) sendFromCaller() {
	if len(m.calls) == 0 {
		return
	}
	c := m.calls[m.draw("call", len(m.calls))]
	switch m.draw("datagram", 5) {
	case 0:
		m.enqueue(func() { m.carryOut(m.gate.Cancel(m.gateNow(), c.token, c.request)) })
	case 1:
		m.enqueue(func() { m.carryOut(m.gate.Fetch(m.gateNow(), c.token, c.request)) })
	default:
		m.enqueue(func() {
			c.executed = c.executed || c.gate == m.gates
			m.carryOut(m.gate.Execute(m.gateNow(), gatekeeper.Execution{
				Token: c.token, Request: c.request, Deadline: c.deadline, Payload: []byte("order"),
			}))
		})
	}
}

// carryOut performs an action as the forwarder does.
func (m *model) carryOut(a gatekeeper.Action) {
	c := m.callByFlowID[a.FlowID]
	gate := m.gates
	switch a.Kind {
	case gatekeeper.ReplyNotRun:
		c.notRun, c.replied = true, true
	case gatekeeper.ReplyUnknown:
		c.replied = true
	case gatekeeper.SendAttempt:
		place := func() {
			if gate == m.gates {
				m.place(a)
			}
		}
		if m.draw("delay the placement", 4) == 0 {
			m.enqueue(place)
		} else {
			place()
		}
	case gatekeeper.ResendAttempt:
		s := m.server(a.BackendServer)
		m.enqueue(func() { s.run(m, a, gate, a.Incarnation) })
	case gatekeeper.SendCancel:
		s := m.server(a.BackendServer)
		m.enqueue(func() { s.cancel(m, a.AttemptID, gate) })
	case gatekeeper.SendFetch, gatekeeper.RepeatAnswerFetch:
		s := m.server(a.BackendServer)
		m.enqueue(func() { s.report(m, a.AttemptID, gate) })
	}
}

func (m *model) server(address netip.AddrPort) *server {
	for _, s := range m.servers {
		if s.address == address {
			return s
		}
	}
	m.t.Fatalf("no backend server has address %s", address)
	return nil
}

func (m *model) place(a gatekeeper.Action) {
	s := m.servers[m.draw("server", len(m.servers))]
	if slices.Contains(a.ExcludedServers, s.address) {
		m.carryOut(m.gate.PlacementFailed(m.gateNow(), a.AttemptID, framer.CauseNoBackendServer))
		return
	}
	ok, reply := m.gate.AuthorizeSend(m.gateNow(), a.AttemptID, s.address, m.incarnations[s.address])
	if !ok {
		m.carryOut(reply)
		return
	}
	gate, incarnation, firstReceiver := m.gates, m.incarnations[s.address], uint64(0)
	m.enqueue(func() {
		// A gate that does not know the incarnation cannot prevent that the network duplicates a run datagram and the
		// duplicate arrives after a restart. The model drops such duplicates.
		if firstReceiver == 0 {
			firstReceiver = s.incarnation
		}
		if incarnation != 0 || firstReceiver == s.incarnation {
			s.run(m, a, gate, incarnation)
		}
	})
}

// run handles a run datagram, which may be a duplicate.
func (s *server) run(m *model, a gatekeeper.Action, gate int, incarnation uint64) {
	if s.attempts[a.AttemptID] == nil {
		t := &attempt{flowID: a.FlowID, deadline: a.Deadline}
		s.attempts[a.AttemptID] = t
		switch {
		case incarnation != 0 && incarnation != s.incarnation:
			t.verb, t.cause = encapsulator.VerbRefused, framer.CauseRestarted
		case !m.now.Before(a.Deadline):
			t.verb, t.cause = encapsulator.VerbRefused, framer.CauseExpired
		case m.draw("refuse", 3) == 0:
			t.verb, t.cause = encapsulator.VerbRefused, framer.CauseShed
		}
	}
	s.report(m, a.AttemptID, gate)
}

func (s *server) cancel(m *model, id uint64, gate int) {
	t := s.attempts[id]
	if t == nil || t.verb == 0 {
		s.attempts[id] = &attempt{verb: encapsulator.VerbCanceled, cause: framer.CauseCanceled}
	}
	s.report(m, id, gate)
}

// report enqueues the reply of the backend server about an attempt.
func (s *server) report(m *model, id uint64, gate int) {
	t := s.attempts[id]
	r := gatekeeper.Reply{AttemptID: id, BackendServer: s.address, Incarnation: s.incarnation, Verb: encapsulator.VerbRefused,
		Cause: framer.CauseUnknownFlow}
	if t != nil {
		r.Verb, r.Cause = t.verb, t.cause
	}
	if r.Verb == 0 {
		r.Verb = encapsulator.VerbAccepted
	}
	m.enqueue(func() {
		m.incarnations[s.address] = max(m.incarnations[s.address], r.Incarnation)
		if gate == m.gates {
			m.carryOut(m.gate.HandleReply(m.gateNow(), r))
		}
	})
}

// step starts a queued attempt, finishes a running one or refuses a queued one late.
func (s *server) step(m *model) {
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
	id := ids[m.draw("attempt", len(ids))]
	t := s.attempts[id]
	switch {
	case t.verb == encapsulator.VerbRunning:
		t.verb = encapsulator.VerbAnswer
	case !m.now.Before(t.deadline):
		t.verb, t.cause = encapsulator.VerbRefused, framer.CauseExpired
	case m.draw("late shed", 3) == 0:
		t.verb, t.cause = encapsulator.VerbRefused, framer.CauseShed
	default:
		t.verb = encapsulator.VerbRunning
		m.callByFlowID[t.flowID].runs++
	}
	s.report(m, id, m.gates)
}

// deliver delivers a random datagram, out of order. Some datagrams are lost or duplicated.
func (m *model) deliver() {
	if len(m.network) == 0 {
		return
	}
	i := m.draw("datagram index", len(m.network))
	deliver := m.network[i]
	chance := m.draw("fate", 10)
	if chance > 1 {
		m.network = slices.Delete(m.network, i, i+1)
	}
	if chance != 9 {
		deliver()
	}
}

func (m *model) tick() {
	for _, a := range m.gate.Tick(m.gateNow(), nil) {
		m.carryOut(a)
	}
}

func (m *model) step() {
	switch m.draw("step", 16) {
	case 0:
		m.reserve()
	case 1, 2, 3:
		m.sendFromCaller()
	case 4, 5, 6, 7, 8, 9:
		m.deliver()
	case 10, 11:
		m.servers[m.draw("server", len(m.servers))].step(m)
	case 12:
		m.now = m.now.Add(time.Duration(m.draw("ms", 300)) * time.Millisecond)
		m.tick()
	case 13: // the gate process is paused: time passes without ticks
		m.now = m.now.Add(time.Duration(m.draw("pause ms", 7000)) * time.Millisecond)
	case 14:
		m.skew = time.Duration(m.draw("skew ms", 900)-450) * time.Millisecond
	case 15:
		switch m.draw("restart", 12) {
		case 0:
			m.startGate()
		case 1, 2, 3:
			m.now = m.now.Add(time.Millisecond) // each restart needs a higher incarnation
			m.restart(m.servers[m.draw("server", len(m.servers))])
		}
	}
}

// checkInvariants fails if the capacity is exceeded, or if a call ran twice or although its caller received not-run.
func (m *model) checkInvariants() {
	if n := m.gate.EntryCount() + m.gate.OutstandingReservations(); n > modelCapacity {
		m.t.Fatalf("%d entries and reservations exceed the capacity %d", n, modelCapacity)
	}
	for i, c := range m.calls {
		if c.runs > 1 {
			m.t.Fatalf("call %d ran %d times", i, c.runs)
		}
		if c.notRun && c.runs > 0 {
			m.t.Fatalf("call %d ran although its caller received not-run", i)
		}
	}
}

// finish delivers all datagrams, ends all attempts and lets all entries expire.
func (m *model) finish() {
	for range 3 {
		for list := m.network; len(list) > 0; list = m.network {
			m.network = nil
			for _, deliver := range list {
				deliver()
			}
			m.checkInvariants()
		}
		for _, s := range m.servers {
			for range len(s.attempts) * 2 {
				s.step(m)
			}
		}
		m.tick()
	}
	m.now = m.now.Add(time.Minute)
	m.tick()
	m.checkInvariants()
}

// TestAtMostOnce guards against a request that runs twice, against a not-run reply for a request that runs, and against
// entries that never expire, under duplicated, reordered and lost datagrams, refusals, cancels, pauses and restarts.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.step()
			m.checkInvariants()
		}
		m.finish()
		if m.gate.EntryCount() != 0 || m.gate.OutstandingReservations() != 0 || m.gate.UnresolvedRequests() != 0 {
			t.Fatalf("%d entries, %d reservations and %d unresolved requests are left", m.gate.EntryCount(), m.gate.OutstandingReservations(), m.gate.UnresolvedRequests())
		}
		if !m.gate.IsDrained(m.gateNow()) {
			t.Fatal("the gate is not drained a minute after the last token")
		}
		for i, c := range m.calls {
			if c.executed && c.gate == m.gates && c.runs == 0 && !c.replied {
				t.Fatalf("call %d reached its gate and did not run, but its caller never received a reply", i)
			}
		}
	})
}
